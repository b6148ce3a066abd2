#!/bin/sh
# Builds the tests of the second review and their stand-ins into target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Ireview/standin2"
for source in review/standin2/*.cpp; do
    g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for folder in review/[6-9] review/1[0-9]; do
    [ -f "$folder/case.cpp" ] || continue
    g++ $flags "$folder/case.cpp" "$out"/*.o -o "$out/case-$(basename "$folder")" -pthread &
done
wait
for folder in review/[6-9] review/1[0-9]; do
    [ ! -f "$folder/case.cpp" ] || [ -x "$out/case-$(basename "$folder")" ]
done
