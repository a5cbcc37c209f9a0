#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
target/review-3/case14 review/14
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
