#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start, into target/review-2. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O2 -pthread -Wall -Wextra "$source" -o "target/review-2/$name"
done
