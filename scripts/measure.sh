#!/usr/bin/env bash
# Measures on this machine, writes CSV and prints the tables that docs/MEASUREMENTS.md and
# docs/CAPACITY.md quote.
#
#   scripts/measure.sh [overhead|slopes]
#
# slopes: what control costs at several sizes of the fleet, and the lines through it. From the
#   environment: MEASURE_SIZES (numbers of routers), MEASURE_ZONES.
# overhead: what a router adds to an answer, and what it carries.
set -euo pipefail
cd "$(dirname "$0")/.."
export PEARHAVEN_BUILD=${PEARHAVEN_BUILD:-build}
results=${MEASURE_RESULTS:-$PEARHAVEN_BUILD/measured}
sizes=${MEASURE_SIZES:-3 6 9 18 36}
zones=${MEASURE_ZONES:-3}
mkdir -p "$results"

describe_run() {
  echo "# $(date -u +%FT%TZ), commit $(git rev-parse --short HEAD 2>/dev/null || echo unknown), $(nproc) processors, load $(cut -d' ' -f1-3 /proc/loadavg)"
}

slopes() {
  local csv=$results/slopes.csv size
  echo 'phase,routers,zones,repetition,quantity,value,load_average' >"$csv"
  for size in $sizes; do
    benchmarks/slopes.sh "$size" "$zones" "$csv"
  done
  benchmarks/fit.sh "$csv" "$zones"
  echo "written: $csv"
}

overhead() {
  benchmarks/overhead.sh "$results/overhead.csv"
  echo "written: $results/overhead.csv"
}

describe_run
case "${1:-all}" in
slopes) slopes ;;
overhead) overhead ;;
all)
  overhead
  slopes
  ;;
*)
  echo "measure.sh: found \"$1\", allowed are overhead and slopes" >&2
  exit 2
  ;;
esac
