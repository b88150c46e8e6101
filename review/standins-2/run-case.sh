#!/usr/bin/env bash
# Runs one case: run-case.sh NAME RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -uo pipefail
record=$2
cd "$(dirname "$0")/../.." || exit 2
binary=target/review-2/$1
program=$PWD/$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -1)
if [ ! -x "$binary" ] || [ ! -x "$program" ]; then
    echo "couldn't run: build the deploy file and run review/build-2.sh first" | tee "$record" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout --kill-after=2 115 "$binary" "$program" "$work" "$record"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
