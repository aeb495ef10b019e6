#!/bin/bash
# Builds the stand-ins of the scripts of the second review into target/review-2/. The build of the
# deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    source=review/$number/case.cc
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$number" "$source" -pthread
done
