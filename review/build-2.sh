#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4, 5 and 6 start. They need no packages.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
exec rustc --edition 2024 -O -o target/review-2/harness review/harness-2/main.rs
