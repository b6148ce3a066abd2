#!/usr/bin/env bash
# Plays the case same-rack; see ../run-case.sh for the exit status.
folder=$(dirname "$0")
exec "$folder/../run-case.sh" same-rack "$folder"
