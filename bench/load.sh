#!/usr/bin/env bash
# Measures the overhead that one router adds to streamed responses. The platform
# stand-in, the engine stand-ins and the router run as separate processes on
# loopback, and `cuminrockctl load` sends the same seeded load directly to the
# engines and through the router.
#
# usage: bench/load.sh RATE TOKENS ENGINE_RATE DURATION [ROUNDS]
#   RATE         requests per second
#   TOKENS       length of each response
#   ENGINE_RATE  tokens per second of one stream
#   DURATION     duration of the load, such as 20s
#   ROUNDS       number of repetitions of the load (1)
# About RATE * TOKENS / ENGINE_RATE streams are open at a time, and RATE * TOKENS
# tokens per second are streamed.
# Environment: SEED (1), ENGINES (2), WARMUP (3s), and ROUTER_PROCS, the
# GOMAXPROCS of the router (the default of Go).
set -euo pipefail
cd "$(dirname "$0")/.."
rate=$1 tokens=$2 engine_rate=$3 duration=$4 rounds=${5:-1}
seed=${SEED:-1} engines=${ENGINES:-2}
work=$(mktemp -d)
pids=()
# Stops the processes in reverse order: the router needs the platform to settle
# its last bills.
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

# start NAME COMMAND...: starts a process and waits until it has printed the line
# with its addresses, for up to 5 seconds.
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
# field NAME KEY: prints a string field of the line that process NAME printed.
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
