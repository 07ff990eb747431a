#!/usr/bin/env bash
# Regenerates the slopes of docs/CAPACITY.md and writes them, with the commit,
# to docs/measurements/slopes.txt. Seeds are fixed in the benchmarks. Takes
# about four minutes; run it on a machine that is otherwise idle.
set -euo pipefail
cd "$(dirname "$0")/../.."

out=docs/measurements/slopes.txt

bench() { # module, pattern, benchtime, packages
  local module=$1 pattern=$2 time=$3
  shift 3
  printf '\n$ go test -run ^$ -bench %s -benchtime %s %s   (in %s)\n' "$pattern" "$time" "$*" "$module"
  (cd "$module" && go test -p 1 -run '^$' -bench "$pattern" -benchtime "$time" "$@") |
    grep -E '^(pkg|Benchmark.*ns/op|FAIL|---.*FAIL)' || true
}

rates() { # routers in each of seven data centres, in simulated time
  printf '\n$ go test -run TestRates -v ./configwatch -per-centre %s   (in router)\n' "$1"
  (cd router && go test -count=1 -run TestRates -v ./configwatch -per-centre "$1") | grep -E 'rate_test|FAIL' || true
}

{
  printf 'commit %s\n%s\n' "$(git rev-parse --short HEAD)" "$(go version)"
  printf 'processors %s, load %s\n' "$(getconf _NPROCESSORS_ONLN)" "$(cut -d' ' -f1-3 /proc/loadavg)"
  bench fleet Slope 300ms ./route ./memberlist ./timeline ./budget
  bench fleet Slope 3x ./sheet
  bench fleet 'Load|Apply|Lookup|Home' 300ms ./config ./member
  bench router Slope 300ms ./peer ./target ./membership
  bench router SlopeReserve 300ms ./ledger
  bench router SlopeUnsettled 3x ./ledger
  bench router SlopeColdDraws 1x ./ledger
  for centre in 4 13 52; do
    rates "$centre"
  done
  bench ctl Slope 1x ./processtest
} | sed -E 's/[[:space:]]+/ /g' | tee "$out"
