#!/usr/bin/env bash
# Builds the programs of the third review's scripts into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in 1[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/$(basename "$source" .cpp)" "$source" standins-3/kit.cpp
done
