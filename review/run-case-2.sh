#!/bin/sh
# Runs the test of a folder of the second review: run-case-2.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the test couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] || exit 2
timeout -s KILL 120 "$program" "$folder"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
