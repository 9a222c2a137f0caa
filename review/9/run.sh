#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/cases
if [ ! -x "$program" ] || [ ! -x target/release/lycheeyard-node ]; then
    echo "build the deploy file's program and run review/build-2.sh first" >&2
    exit 2
fi
exec "$program" advice "$folder"
