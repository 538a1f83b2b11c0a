#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 and later start. They use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standin-2.rs
