#!/bin/sh
# Builds the stand-ins and clients of the cases into target/review, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/kit review/kit/main.rs
