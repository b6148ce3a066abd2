#!/usr/bin/env bash
# Plays the case hopeless-urgent; see ../run-case.sh for the exit status. TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
folder=$(dirname "$0")
exec "$folder/../run-case.sh" hopeless-urgent "$folder"
