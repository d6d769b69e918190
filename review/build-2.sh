#!/usr/bin/env bash
# Builds the stand-ins and scripts of review/6 and later; they use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
