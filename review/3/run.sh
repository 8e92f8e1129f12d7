#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ashvane-node ] && [ -x target/review/standins ] || exit 2
exec target/review/standins coverage review/3
