#!/usr/bin/env bash
# Runs the case: 1 the rule was broken, 0 it held, 2 it couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)
CASE_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TMP"' EXIT
export RUN CASE_TMP
target/review-2/standins-2 gone-client "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
