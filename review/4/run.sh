#!/usr/bin/env bash
# Plays the case hopeless-urgent; see ../run-case.sh for the exit status.
folder=$(dirname "$0")
exec "$folder/../run-case.sh" hopeless-urgent "$folder"
