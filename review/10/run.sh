#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-10
[ -x "$program" ] && [ -x target/pimentostage-entry ] || exit 2
timeout -k 5 110 "$program" review/10
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
