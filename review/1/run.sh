#!/bin/bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Needs the deploy file's build and review/build.sh.
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/platformnode ] || exit 2
exec target/review/standin -case deadly -record review/1/record.txt
