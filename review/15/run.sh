#!/bin/sh
# Runs the case. See claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-3/case-15 ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3/case-15 "$here"
