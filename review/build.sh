#!/usr/bin/env bash
# Builds the stand-ins and drivers of all scripts of the review into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
