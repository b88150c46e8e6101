#!/usr/bin/env bash
# Builds the stand-ins of all cases that have a script into target/review. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/case-$number" "$source" -pthread
done
