#!/bin/bash
# Plays the case "label" on a small deployment of real processes. TROUBLE=0 leaves the disruption out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platformnode ] && [ -x target/standin-2 ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/standin-2 -case label -record review/9/record.txt
