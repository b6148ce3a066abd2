#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/standin3. Run it after the build of the deploy file, whose packages
# it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/standin3
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/standin3/case3 review/standin3/main.cpp review/standin3/standin.cpp
