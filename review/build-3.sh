#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, with the compiler alone: they use no dependency.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
exec rustc --edition 2024 -O -o target/review/rig-3 review/rig-3/main.rs
