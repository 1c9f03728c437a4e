#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/6 to review/10 start. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-bench2 ./review/bench2
