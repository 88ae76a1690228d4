#!/usr/bin/env bash
# Ablation test: runs bench days in a clone of HEAD, with one mechanism of the relay policy disabled
# per run.
#   scripts/ablation.sh BENCH FOLDER SITE "DAY..." MECHANISM...
# BENCH     the users' bench program
# FOLDER    gets the clone, which is built once, and one report per run
# MECHANISM a member of the policy in src/core/relay/policy.h, or "none" to disable nothing
set -euo pipefail
bench=$1 folder=$2 site=$3 days=$4
shift 4
here=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$folder"
[ -d "$folder/clone" ] || git clone -q "$here" "$folder/clone"
cd "$folder/clone"
template=deploy/relay.json.template
for mechanism in "$@"; do
  git checkout -q -- "$template"
  if [ "$mechanism" != none ]; then
    sed -i "s/^  \"bounds\": {/  \"policy\": {\"$mechanism\": false},\n&/" "$template"
  fi
  for day in $days; do
    report=$folder/$(basename "$site" .toml).$(basename "$day" .toml).$mechanism.txt
    "$bench" run "$site" "$day" --jobs 1 --why "Ablation: without $mechanism" >"$report" 2>&1 || true
    printf '%-20s %s\n' "$mechanism" "$(grep -aE '^[a-z0-9-]+ +[0-9]+/[0-9]+ ' "$report")"
  done
done
