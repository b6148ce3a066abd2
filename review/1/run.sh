#!/usr/bin/env bash
# Plays the case cancelled-schedule; see ../run-case.sh for the exit status.
folder=$(dirname "$0")
exec "$folder/../run-case.sh" cancelled-schedule "$folder"
