#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/cassia-gateway ] && [ -x target/review-3 ] || exit 2
RECORD="$here/record.txt" exec timeout 115 target/review-3
