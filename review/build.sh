#!/bin/bash
# Builds the program that plays the scripted cases, with all stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/cases ./review/_cases
