#!/usr/bin/env bash
# Runs the unit tests and one scenario in a build with a sanitizer: "address" or "thread". Run it
# by hand: the build alone takes about ten minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-address}
case "$kind" in
  address) flags="-fsanitize=address" ;;
  thread) flags="-fsanitize=thread" ;;
  *) echo "expected address or thread" >&2; exit 2 ;;
esac
# gRPC and protobuf are not instrumented: the thread sanitizer reports races inside them and has
# crashed there, so its run excludes the unit tests that make gRPC calls, and the scenario.
left_out=""
if [ "$kind" = thread ]; then
  left_out="*control_stop_test*,*control_role_test*,*replica_transport_test*"
fi
export TSAN_OPTIONS="history_size=7"
export ASAN_OPTIONS="detect_leaks=0 detect_stack_use_after_return=0"
build=build-$kind
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_FLAGS="$flags -O1 -g1" >/dev/null
ninja -C "$build" -j "${JOBS:-$(nproc)}" workshatch-unit-tests workshatchd workshatch-standin workshatch-scenario |
  tail -n 1
"$build/workshatch-unit-tests" --source-file-exclude="$left_out" "${@:2}"
if [ "$kind" = thread ]; then
  exit 0
fi
"$build/workshatch-scenario" run tests/scenario/planned-stop-pressed.scn --programs "$build" --folder "run/sanitize-$kind"
if grep -l "Sanitizer" "run/sanitize-$kind"/*/logs/*.log; then
  echo "a sanitizer reported an error in the logs above" >&2
  exit 1
fi
