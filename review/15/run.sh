#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-3.sh; see claim.txt.
set -u
cd "$(dirname "$0")"
program=../../target/review-3/release/review-3
if [ ! -x "$program" ] || [ ! -x ../../target/release/oleanderlock ]; then
    echo "not run: run the build of the deploy file and review/build-3.sh first"
    exit 2
fi
REVIEW_ROOT=../.. "$program" 15
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
