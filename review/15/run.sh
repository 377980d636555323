#!/bin/sh
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 in the environment, the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
rig=target/review/rig-3
if [ ! -x "$rig" ] || [ -n "$(find review/rig-3 -newer "$rig")" ]; then
    review/build-3.sh || exit 2
fi
[ -x target/release/comfreyturn ] || exit 2
exec "$rig" two-servers "$folder/record.txt"
