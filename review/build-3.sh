#!/bin/sh
# Builds the programs of the cases of the third review, after the build of the deploy file. They use the standard library
# only, and go to target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.rs; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O --crate-name "case_$name" -o "target/review-3/case-$name" "$source"
done
