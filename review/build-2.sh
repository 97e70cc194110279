#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 to 10: one program, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins-2 review/standins-2.rs
