#!/bin/bash
# Builds the stand-ins of the cases into target/review/. Uses the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
