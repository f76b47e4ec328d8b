#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start. The programs of the deploy file are built first,
# by its own build line.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/harness ./review/11/_harness
