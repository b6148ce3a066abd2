#!/usr/bin/env bash
# Plays the case many-ends; see ../run-case.sh for the exit status.
folder=$(dirname "$0")
exec "$folder/../run-case.sh" many-ends "$folder"
