#!/usr/bin/env bash
# Runs the build line of deploy/system.toml and checks that its program starts.
set -euo pipefail
cd "$(dirname "$0")/.."
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$line" | tail -n 1
# Without settings it says how it is used and ends with 2.
set +e
target/workshatch-platform >/dev/null 2>&1
code=$?
set -e
[ "$code" -eq 2 ] || { echo "the deployed program ended with $code" >&2; exit 1; }
echo "deployed program: builds and starts"
