#!/usr/bin/env bash
# Sets up, builds and passes all the tests: unit tests, then scenarios against real processes.
# Tests named in KNOWN-RED.txt are printed and do not count as failed.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh || exit 1
scripts/build.sh || exit 1

passed=0
failed=0
report=run/test-report.txt
mkdir -p run
: >"$report"

# Titles of the unit tests in KNOWN-RED.txt, joined by commas.
known_red_units=""
if [ -f KNOWN-RED.txt ]; then
  known_red_units=$(sed -n 's/^unit test "\([^"]*\)":.*/\1/p' KNOWN-RED.txt | paste -sd ,)
fi
build/workshatch-unit-tests --test-case-exclude="$known_red_units" | tee -a "$report"
if [ -n "$known_red_units" ]; then
  grep '^unit test "' KNOWN-RED.txt | sed 's/^/known red: /'
fi
counts=$(grep -o 'test cases: *[0-9]* | *[0-9]* passed | *[0-9]* failed' "$report" | tail -n 1)
passed=$(sed 's/.*| *\([0-9]*\) passed.*/\1/' <<<"$counts")
failed=$(sed 's/.*| *\([0-9]*\) failed/\1/' <<<"$counts")
if [ -z "$counts" ]; then
  echo "the unit tests did not end"
  failed=$((failed + 1))
fi

for file in tests/scenario/*.scn; do
  name=$(basename "$file" .scn)
  if build/workshatch-scenario run "$file" --seed "${SEED:-1}" | tee -a "$report" |
    grep -E '^(passed|FAILED|    violated)' && tail -n 1 "$report" | grep -q ' 0 failed'; then
    passed=$((passed + 1))
  elif [ -f KNOWN-RED.txt ] && grep -q "^$name:" KNOWN-RED.txt; then
    echo "known red: $(grep "^$name:" KNOWN-RED.txt)"
  else
    failed=$((failed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
