#!/usr/bin/env bash
# Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export CASE_DIR="$PWD"
cd ../.. || exit 2
exec target/review/release/single_version
