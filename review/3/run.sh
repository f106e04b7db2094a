#!/usr/bin/env bash
# Plays the case on 8 hosts. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. review/build.sh and the build of the deploy file come before it.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$here/../bin/standin" ] && [ -x "$root/target/guavaglade" ] || exit 2
exec "$here/../bin/standin" pending "$root" "$here/record.txt"
