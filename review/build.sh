#!/usr/bin/env bash
# Compiles the stand-ins and runners of the cases into review/bin; needs the packages of
# deploy/system.toml. Usage: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -o "review/bin/case-$number" "$source"
done
