#!/bin/sh
# Builds the tests of the second review and their stand-ins into target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra"
for source in review/standin2/*.cpp; do
    g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
cases="6 7 8 9 10 besides-2/guarantee besides-2/reserve"
for name in $cases; do
    g++ $flags "review/$name/case.cpp" "$out"/*.o -o "$out/case-$(basename "$name")" -pthread &
done
wait
for name in $cases; do
    [ -x "$out/case-$(basename "$name")" ]
done
