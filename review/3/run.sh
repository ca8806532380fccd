#!/usr/bin/env bash
# Plays the case; needs the build of the deploy file and review/build.sh. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/guavapier ] && [ -x target/review-standin ] || exit 2
exec timeout --kill-after=5 110 target/review-standin killed-fleet review/3/record.txt
