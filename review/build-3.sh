#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start, into target/review-3. The router itself is built
# by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    case_number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -o "target/review-3/case-$case_number" "$source" -lpthread
done
