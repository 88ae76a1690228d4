#!/usr/bin/env bash
# Fails if docs/EVENTS.md does not list a log event or metric of the relay and group roles.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=0
names=$(
  # Join the lines, because the event name may be on the line after the start of the call.
  cat $(git ls-files 'src/daemon/relay/*.cc' 'src/daemon/group/*.cc' 'platform/*.cc') | tr '\n' ' ' |
    grep -oE 'line_log::write\( *"[a-z_]+"|expose[A-Za-z]*\((out|text), "[a-z_]+"' |
    grep -oE '"[a-z_]+"' | tr -d '"' | sort -u
)
[ -n "$names" ] || { echo "no event or metric was found in the source" >&2; exit 1; }
for name in $names; do
  if ! grep -qE "\`$name(\`|\{)" docs/EVENTS.md; then
    echo "docs/EVENTS.md lacks $name" >&2
    missing=1
  fi
done
[ "$missing" -eq 0 ]
echo "docs: $(wc -w <<<"$names") events and metrics are listed"
