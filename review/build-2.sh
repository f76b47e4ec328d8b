#!/bin/bash
# Builds the program that plays the scripted cases from 6 on, with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/6/scripts ./review/6/_scripts
