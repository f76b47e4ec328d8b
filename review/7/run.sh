#!/bin/bash
# Plays the case of claim.txt. TROUBLE=0 leaves out the disruption. Needs the build of deploy/system.toml and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/eelgrassd && -x review/6/scripts ]] || exit 2
exec review/6/scripts slow review/7
