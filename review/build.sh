#!/bin/bash
# Builds the programs of the scripts, which hold their stand-ins, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/*.rs; do
    case "$source" in review/common/*) continue ;; esac
    rustc --edition 2024 -O -A warnings -o "target/review/$(basename "$source" .rs)" "$source"
done
