#!/usr/bin/env bash
# Builds everything into build/. JOBS sets the number of parallel jobs.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C build -j "${JOBS:-$(nproc)}" | tail -n 1
