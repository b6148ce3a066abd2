#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays a case of review-case and leaves record.txt in FOLDER. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the disruption is left out.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
if [ ! -x target/review/review-case ] || [ ! -x target/bin/coriander-node ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout --signal=TERM --kill-after=3 115 target/review/review-case "$1" "$work"
status=$?
[ -e "$work/record.txt" ] && cp "$work/record.txt" "$folder/record.txt"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
