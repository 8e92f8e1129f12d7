#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ashvane-node ] && [ -x target/review-2/case-4 ] || exit 2
target/review-2/case-4
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
