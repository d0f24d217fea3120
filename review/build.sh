#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. Needs nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
