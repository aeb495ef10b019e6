#!/usr/bin/env bash
# Compiles the stand-ins and runners of the cases, each to review/N/case; needs the packages of
# deploy/system.toml. Usage: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/[1-5]/case.cc; do
    g++ -std=c++20 -O1 -pthread -o "${source%.cc}" "$source"
done
