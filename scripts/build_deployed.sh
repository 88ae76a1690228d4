#!/usr/bin/env bash
# Runs the build command of deploy/system.toml and checks that the resulting program starts.
set -euo pipefail
cd "$(dirname "$0")/.."
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$line" | tail -n 1
# Without settings, the program prints its usage and exits with code 2.
set +e
target/workshatch-platform >/dev/null 2>&1
code=$?
set -e
[ "$code" -eq 2 ] || { echo "the deployed program exited with code $code instead of 2" >&2; exit 1; }
echo "deployed program: builds and starts"
