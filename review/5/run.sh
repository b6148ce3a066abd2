#!/usr/bin/env bash
# Plays the case dropped-route; see ../run-case.sh for the exit status.
folder=$(dirname "$0")
exec "$folder/../run-case.sh" dropped-route "$folder"
