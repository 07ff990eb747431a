#!/usr/bin/env bash
# Measures what one router adds to streamed answers: platform, engines and the
# router run as processes of their own on loopback, and `cuminrockctl load`
# makes the same seeded load straight at the engines and through the router.
#
# usage: bench/load.sh RATE TOKENS ENGINE_RATE DURATION [ROUNDS]
#   RATE requests a second, TOKENS length of each answer, ENGINE_RATE tokens a
#   second of one stream, DURATION such as 20s.
# Open streams are about RATE * TOKENS / ENGINE_RATE, streamed tokens a second
# RATE * TOKENS. Environment: SEED (1), ENGINES (2),
# WARMUP (3s), and for the router
# GOMAXPROCS (ROUTER_PROCS).
set -euo pipefail
cd "$(dirname "$0")/.."
rate=$1 tokens=$2 engine_rate=$3 duration=$4 rounds=${5:-1}
seed=${SEED:-1} engines=${ENGINES:-2}
work=$(mktemp -d)
pids=()
# The router stops before the platform, which its last bills need.
stop() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop EXIT

go build -o "$work/ctl" ./ctl/cmd/cuminrockctl
go build -o "$work/router" ./router/cmd/cuminrock-router

# start NAME COMMAND...: runs a process and waits for its line of addresses.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.json" 2>"$work/$name.log" &
  pids+=($!)
  for _ in $(seq 100); do
    [ -s "$work/$name.json" ] && return
    sleep 0.05
  done
  cat "$work/$name.log" >&2
  exit 1
}
field() { sed -E "s/.*\"$2\":\"([^\"]*)\".*/\1/" "$work/$1.json"; }

start platform "$work/ctl" emulate platform
direct=()
{
  echo "record,name,workspace,service,provider,budget,kind,path,key_sha256,tokens,data_centre,address"
  echo "service,model-pool,,,old,,model"
  echo "call,,,model-pool,,,model,v1/chat/completions"
} >"$work/sheet.csv"
for i in $(seq "$engines"); do
  start "engine$i" "$work/ctl" emulate engine --seed "$seed" --rate "$engine_rate" --slots 4096
  direct+=("$(field "engine$i" address)")
  echo "target,engine-$i,,model-pool,old,,,,,,dc,${direct[-1]}" >>"$work/sheet.csv"
done
key=$(printf 'load-key' | sha256sum | cut -d' ' -f1)
{
  echo "workspace,load,,,,load-budget,,,$key"
  echo "budget,load-budget,load"
  echo "top-up,load-1,,,,load-budget,,,,1000000000000"
} >>"$work/sheet.csv"
cat >"$work/settings.json" <<JSON
{"name":"router-1","data_centre":"dc","region":"r",
 "doors":{"caller":"127.0.0.1:0","operator":"127.0.0.1:0","peer":"127.0.0.1:0"},
 "platform":{"address":"$(field platform address)"},
 "routing":{"max_in_flight_per_target":4096},
 "stop_limit":"20s","log":{"level":"warn"}}
JSON
GOMAXPROCS=${ROUTER_PROCS:-} start router "$work/router" -settings "$work/settings.json"
"$work/ctl" sheet-apply --platform "$(field platform address)" --author bench --wait --routers "$(field router operator)" "$work/sheet.csv" >"$work/apply.log"

echo "commit $(git rev-parse --short HEAD)$(git diff --quiet HEAD || echo ' with changes'), $(go version | cut -d' ' -f3), $(nproc) cores, load average $(cut -d' ' -f1 /proc/loadavg) at the start"
echo "bench/load.sh $*, seed $seed, $engines engines, router GOMAXPROCS ${ROUTER_PROCS:-default}"
status=0
"$work/ctl" load --direct "$(IFS=,; echo "${direct[*]}")" --doors "$(field router caller)" --key load-key \
  --routers "$(field router operator)" --rate "$rate" --tokens "$tokens" --duration "$duration" --warmup "${WARMUP:-3s}" \
  --rounds "$rounds" --seed "$seed" || status=$?
"$work/ctl" budget show --platform "$(field platform address)" load-budget | head -2
head -c 2000 "$work/router.log" >&2
exit $status
