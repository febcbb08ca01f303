#!/bin/sh
# Builds the stand-ins of the scripts; run it in the repository.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/standin/main.rs
