#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
rig="$root/target/review-2/rig"
if [ ! -x "$rig" ] || [ ! -x "$root/target/release/comfreyturn" ]; then
    echo "build first: cargo build --release, then review/build-2.sh"
    exit 2
fi
cd "$root" || exit 2
timeout -k 2 115 "$rig" silent-member "$root" "$here/record.txt"
code=$?
[ "$code" -le 2 ] && exit "$code"
echo "ended with $code"
exit 2
