#!/usr/bin/env bash
# Builds the programs of the second review's cases, with their stand-ins, into target/review-2.
# Needs the Rust compiler only: no network, no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.rs; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  rustc --edition 2021 -O -A warnings -o "target/review-2/case-$number" "$source"
done
