#!/usr/bin/env bash
# Builds the stand-ins, clients and checks of the cases 11 to 15. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-3/Cargo.toml --target-dir target/review-3
