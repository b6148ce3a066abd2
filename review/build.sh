#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Run the build of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/standin/*.cpp lib/Transport/{AsyncHttpServer,AsyncHttpClient,Http,UriText}.cpp; do
    object=target/review/$(basename "$source" .cpp).o
    g++ -std=c++20 -O1 -Wall -Iinclude -Ireview/standin -c "$source" -o "$object" &
    objects+=("$object")
done
failed=0
for job in $(jobs -p); do
    wait "$job" || failed=1
done
[ "$failed" -eq 0 ]
g++ "${objects[@]}" target/lib/libcorianderSupport.a -lpthread -o target/review/review-case
