#!/usr/bin/env bash
# run-case-3.sh CASE FOLDER: plays a case of the third review and writes record.txt into its folder.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
program=target/bin/coriander-node
standin=target/standin3/case3
for file in "$program" "$standin"; do
    [ -x "$file" ] || { echo "$file is missing: build as the deploy file says, then run review/build-3.sh" >&2; exit 2; }
done
scratch=$(mktemp -d)
timeout -k 3 114 "$standin" "$case" "$program" "$scratch" "$folder/record.txt" 2>/dev/null
code=$?
rm -rf "$scratch"
[ "$code" -le 1 ] || code=2
tail -n 2 "$folder/record.txt"
exit "$code"
