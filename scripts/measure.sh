#!/usr/bin/env bash
# Measures on this machine, writes CSV and prints the tables that docs/MEASUREMENTS.md and
# docs/CAPACITY.md quote.
#
#   scripts/measure.sh [overhead|slopes|sizes]
#
# slopes: the cost of control at several fleet sizes, with a linear fit. From the
#   environment: MEASURE_SIZES (numbers of routers), MEASURE_ZONES.
# sizes: the cost of one router of a small fleet as other things grow: the host list, the teams, the
#   engines and the requests.
# overhead: the latency that a router adds to an answer, and the load that it sustains.
set -euo pipefail
cd "$(dirname "$0")/.."
export PEARHAVEN_BUILD=${PEARHAVEN_BUILD:-build}
results=${MEASURE_RESULTS:-$PEARHAVEN_BUILD/measured}
sizes=${MEASURE_SIZES:-3 6 9 18 36}
zones=${MEASURE_ZONES:-3}
csv_head='phase,routers,zones,repetition,quantity,value,load_average'
mkdir -p "$results"

describe_run() {
  echo "# $(date -u +%FT%TZ), commit $(git rev-parse --short HEAD 2>/dev/null || echo unknown), $(nproc) processors, load $(cut -d' ' -f1-3 /proc/loadavg)"
}

slopes() {
  local csv=$results/slopes.csv size
  echo "$csv_head" >"$csv"
  for size in $sizes; do
    benchmarks/slopes.sh "$size" "$zones" "$csv"
  done
  benchmarks/fit.sh "$csv" "$zones"
  echo "written: $csv"
}

# vary NAME VARIABLE PHASE VALUES...: fleets of 3 routers that differ in one setting of slopes.sh. In
# the CSV the setting's value replaces the number of routers.
vary() {
  local name=$1 variable=$2 phase=$3 csv=$results/$1.csv value
  shift 3
  echo "$csv_head" >"$csv"
  for value in "$@"; do
    : >"$csv.one"
    env "$variable=$value" SLOPES_PHASES="$phase" benchmarks/slopes.sh 3 3 "$csv.one"
    awk -F, -v OFS=, -v value="$value" '{ $2 = value; print }' "$csv.one" >>"$csv"
  done
  rm -f "$csv.one"
  echo "## $name ($variable=$*)"
  benchmarks/fit.sh "$csv" 3
  echo "written: $csv"
}

sizes() {
  vary host_list SLOPES_HOSTS idle 0 1000 3000 10000
  vary requests SLOPES_REQUESTS load 5 20 50 96
  vary teams SLOPES_TEAMS changes 0 300 1000
  vary engines SLOPES_ENGINES idle 3 12 24
}

overhead() {
  benchmarks/overhead.sh "$results/overhead.csv"
  echo "written: $results/overhead.csv"
}

describe_run
case "${1:-all}" in
slopes) slopes ;;
sizes) sizes ;;
overhead) overhead ;;
all)
  overhead
  slopes
  sizes
  ;;
*)
  echo "measure.sh: found \"$1\", allowed are overhead, slopes and sizes" >&2
  exit 2
  ;;
esac
