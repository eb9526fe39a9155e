#!/bin/bash
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
folder=$PWD root=$(cd ../.. && pwd)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$run" ] && [ -x "$root/review/bin/case2" ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec timeout -k 5 115 "$root/review/bin/case2" "$root" "$folder" "$run"
