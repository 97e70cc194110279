#!/bin/sh
# Builds the stand-ins of the cases; the standard library only, no network. Needs no other build than the deploy file's.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-standins review/standins.rs
