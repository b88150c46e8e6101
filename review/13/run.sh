#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-13
[ -x "$program" ] && [ -x target/build/bin/damaskhill_direct_router ] || exit 2
timeout -k 2 118 "$program" review/13 # writes record.txt there
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
