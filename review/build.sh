#!/bin/sh
# Builds the stand-ins of the review cases. Run at the root of the repository.
set -eu
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins.rs
