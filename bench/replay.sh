#!/usr/bin/env bash
# Replays the days that once violated a rule, as listed in failed-days.txt, and
# reports for each whether it violates one now.
#
# usage: FLEETBENCH=PROGRAM SITES=FOLDER bench/replay.sh
#   SITES  folder of the site files, to which the paths in failed-days.txt belong
set -euo pipefail
cd "$(dirname "$0")/.."
rc=0
while read -r site day seed _; do
  report=$(mktemp)
  "$FLEETBENCH" run "$SITES/$site.toml" "$day" --seed "$seed" --report "$report" --why "a day that broke a rule once" >/dev/null
  if grep -Eq '"breaks": *\{\}' "$report"; then
    echo "kept: $site $day $seed"
  else
    echo "BROKEN: $site $day $seed"
    rc=1
  fi
  rm -f "$report"
done < <(grep -v '^#' bench/failed-days.txt)
exit $rc
