#!/usr/bin/env bash
# Plays the case cancelled-submission; see ../run-case.sh for the exit status.
folder=$(dirname "$0")
exec "$folder/../run-case.sh" cancelled-submission "$folder"
