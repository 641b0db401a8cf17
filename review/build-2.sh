#!/bin/sh
# Builds the stand-ins of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compile="g++ -std=c++20 -O1 -pthread -Wall -Wextra -Werror"
for part in harness model client; do
    $compile -c "review/standins-2/$part.cpp" -o "target/review-2/$part.o" &
    parts="$parts target/review-2/$part.o"
done
wait
for case in review/standins-2/case-*.cpp; do
    $compile "$case" $parts -o "target/review-2/$(basename "$case" .cpp)"
done
