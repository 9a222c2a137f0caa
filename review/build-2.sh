#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review: one program of the standard library only. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/cases review/standins-2/main.rs
