#!/bin/sh
# Needs target/auburnlatch-entry, by the build of deploy/system.toml, and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/auburnlatch-entry ] && [ -x bin/review-2/rig-2 ] || exit 2
exec timeout -k 5 110 bin/review-2/rig-2 stop review/5
