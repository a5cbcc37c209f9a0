#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/build/case3 ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
exec review/build/case3 review/3
