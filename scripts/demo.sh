#!/usr/bin/env bash
# Demo: installs dependencies, builds, and runs five daemons, six runners and a platform stand-in as
# processes on loopback addresses. Prints each step and the routing decision of each request.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh

run=run/demo
example=examples/acampar-demo
control=127.0.10.1:8070,127.0.10.2:8070,127.0.10.3:8070
rm -rf "$run"
mkdir -p "$run/settings" "$run/logs"
install -m 600 "$example"/settings/*.json "$run/settings/"
(umask 077 && echo example-operator-token-change-me >"$run/token")

pids=()
stop_all() {
  [ "${#pids[@]}" -eq 0 ] && return
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  pids=()
}
trap stop_all EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" 2>"$run/logs/$name.log" &
  pids+=("$!")
}

step() { printf '\n== %s\n' "$*"; }

operator() { build/workshatch "$@" --control "$control" --token_file "$run/token"; }

decision() { # REQUEST-ID
  cat "$run"/logs/entry-*.log | grep routing_decision | grep -F "\"request_id\":\"$1\"" | tail -n 1
}

start platform build/workshatch-standin --kind platform --listen 127.0.10.100:8000 \
  --machines "$example/machines.json"
for i in 1 2 3 4; do
  start "assistant-$i" build/workshatch-standin --kind model --engines 2 --name "assistant-$i" \
    --listen "127.0.10.2$i:8000"
done
for i in 1 2; do
  start "booking-$i" build/workshatch-standin --kind service --name "booking-$i" \
    --listen "127.0.10.2$((i + 4)):8000"
done
for i in 1 2 3 4 5; do
  start "entry-$i" build/workshatchd --config "$run/settings/entry-$i.json"
done

step "wait until all five routers have registered"
for _ in $(seq 100); do
  [ "$(operator status | grep -c '^router')" = 5 ] && break
  sleep 0.1
done
step "check and apply the declarations"
operator check "$example/declarations"
operator apply "$example/declarations"
operator status

step "ask any router which address to use for session trail-1"
any=127.0.10.4:8080
build/workshatch resolve --router "$any" --service assistant --session trail-1 --tenant rangers
address=$(build/workshatch resolve --router "$any" --service assistant --session trail-1 \
  --tenant rangers | head -n 1 | cut -d' ' -f1)

chat() { # REQUEST-ID BODY
  curl -sSN --fail-with-body "http://$address/v1/chat/completions" -H 'X-Tenant: rangers' \
    -H 'X-Session-Id: trail-1' -H "X-Request-Id: $1" -H 'Content-Type: application/json' -d "$2"
}
rules=$(printf 'Fires only in the rings; quiet after ten; dogs on a lead. %.0s' $(seq 20))
first="{\"role\":\"system\",\"content\":\"$rules\"},{\"role\":\"user\",\"content\":\"Is pitch 7 free?\"}"

step "stream one answer from $address"
chat demo-1 "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":8,\"messages\":[$first]}" |
  tee "$run/first.txt"
decision demo-1

step "come back to the same chat: same engine, and its prefix is in the cache"
chat demo-2 "{\"model\":\"assistant\",\"max_tokens\":8,\"messages\":[$first,{\"role\":\"user\",\"content\":\"And pitch 8?\"}]}" |
  tee "$run/second.txt"
echo
decision demo-2
engine_of() { decision "$1" | sed 's/.*"duration_us":[0-9]*,"engine":"\([^"]*\)".*/\1/'; }
[ "$(engine_of demo-1)" = "$(engine_of demo-2)" ] || { echo "a different engine served the second request"; exit 1; }
grep -q '"cached_tokens":[1-9]' "$run/second.txt" || { echo "no prefix-cache hit"; exit 1; }
grep -q '\[DONE\]' "$run/first.txt" || { echo "the stream did not end"; exit 1; }

step "send a booking confirmation, and send it again through another router"
confirm() { # ADDRESS REQUEST-ID
  curl -sS --fail-with-body "http://$1/v1/services/booking/confirmations" -H 'X-Tenant: rangers' \
    -H 'Idempotency-Key: booking-4711' -H "X-Request-Id: $2" -d '{"pitch":7,"nights":2}'
}
confirm 127.0.10.4:8080 demo-3 | tee "$run/third.txt"
echo
decision demo-3
confirm 127.0.10.5:8080 demo-4 | tee "$run/fourth.txt"
echo
cmp -s "$run/third.txt" "$run/fourth.txt" || { echo "the repeated request got a different response"; exit 1; }
grep -h 'request_outcome' "$run"/logs/entry-5.log | grep demo-4

step "stop everything"
for pid in "${pids[@]}"; do
  kill "$pid"
done
for pid in "${pids[@]}"; do
  wait "$pid" || { echo "process $pid did not stop cleanly"; exit 1; }
done
pids=()
echo "all processes stopped with exit code 0"
