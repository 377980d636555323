#!/usr/bin/env bash
# Builds the stand-ins of the cases with the standard library alone. The programs under test are
# those of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
