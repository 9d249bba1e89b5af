#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. First: the build of the deploy file, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
target/review-2/harness slow-turn review/5 "$work"
