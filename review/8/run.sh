#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/release/review-cases-2
if [ ! -x "$program" ] || [ ! -x target/release/oleanderlock ]; then
    echo "not built" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 110 "$program" agents-apart review/8 "$temporary"
code=$?
if [ "$code" -gt 2 ]; then
    # It was ended from outside: the processes that it started are left.
    xargs -r kill -9 <"$temporary/pids" 2>/dev/null
    code=2
fi
exit "$code"
