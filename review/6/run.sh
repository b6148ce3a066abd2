#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(dirname "$0")
exec "$folder/../run-case-2.sh" "$folder"
