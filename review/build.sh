#!/bin/bash
# Builds the program that plays all scripted cases, with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/1/cases ./review/1/_cases
