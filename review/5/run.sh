#!/usr/bin/env bash
# Plays the case dropped-route; see ../run-case.sh for the exit status. TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
folder=$(dirname "$0")
exec "$folder/../run-case.sh" dropped-route "$folder"
