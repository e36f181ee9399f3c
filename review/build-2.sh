#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start; needs the Rust toolchain, and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
