#!/usr/bin/env bash
# Plays the case unrecorded-leave. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/buckthornlatch target/review-bench2; do
  [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh"; exit 2; }
done
exec target/review-bench2 unrecorded-leave target/buckthornlatch review/8/record.txt
