#!/usr/bin/env bash
# Plays the case once. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0
# leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/eelgrassd ] && [ -x target/review-3/harness ] || { echo "build first: the deploy file's line, then review/build-3.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-3/harness --scenario evacuation-skipped-after-restore --eelgrassd target/eelgrassd --folder "$folder" --record "$here/record.txt"
