#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the project's own program:
# the rig with the stand-ins. It needs the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A warnings -o target/review-2/rig review/rig-2/main.rs
