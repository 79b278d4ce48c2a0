#!/usr/bin/env bash
# Repeats the tests behind each of the product's promises more often than CI, and prints a table.
#   scripts/prove.sh [PROMISE] [--seed N] [--repeat N]
# PROMISE is 1 to 10, or one of: crash, silence, pause, outage, peers. Without it: all of them.
# The seed is that of the property tests with random schedules; --repeat increments it with each run.
# The output of a failed run is kept in $PEARHAVEN_BUILD/proofs, and the table names its file.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PEARHAVEN_BUILD:-build}
repeat=1
seed=1
wanted=()
while [ "$#" -gt 0 ]; do
  case "$1" in
    --repeat) repeat=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    -h | --help) sed -n '2,6p' "$0" | cut -c3-; exit 0 ;;
    *) wanted+=("$1"); shift ;;
  esac
done

# Each promise is checked by test programs with a test filter: PROGRAM:GROUP[:NAME].
declare -A proofs=(
  [1]="tests/path_test:path_test:allowed decision_tests:dispatcher_test tests/configuration_test:configuration_test:withdrawn"
  [2]="tests/configuration_test:configuration_test:withdrawn decision_tests:dispatcher_test:withdrawn"
  [3]="tests/answers_test:answers_test:session decision_tests:session_token_test"
  [4]="tests/bills_test:bills_test coordination_tests:bill_ledger_test"
  [5]="tests/answers_test:answers_test:cut tests/answers_test:answers_test:dies router_tests:engine_attempt_test"
  [6]="tests/once_test:once_test tests/bills_test:bills_test"
  [7]="tests/once_test:once_test coordination_tests:once_claims_test"
  [8]="tests/answers_test:answers_test:leaving decision_tests:endpoint_table_test:leav"
  [9]="tests/planned_stop_test:planned_stop_test tests/answers_test:answers_test:rolling"
  [10]="tests/configuration_test:configuration_test coordination_tests:config_replica coordination_tests:config_writer"
  [crash]="tests/answers_test:answers_test:crash decision_tests:suspect"
  [silence]="tests/answers_test:answers_test:silent"
  [pause]="tests/configuration_test:configuration_test:pause coordination_tests:lease_holder"
  [outage]="tests/planned_stop_test:planned_stop_test:outage tests/bills_test:bills_test:outage"
  [peers]="coordination_tests:membership adapters_tests:peer"
)
order=(1 2 3 4 5 6 7 8 9 10 crash silence pause outage peers)
[ "${#wanted[@]}" -gt 0 ] || wanted=("${order[@]}")

mkdir -p "$build/proofs"
total=0
printf '%-8s %5s %10s  %s\n' promise runs violations first_failure
for promise in "${wanted[@]}"; do
  if [ -z "${proofs[$promise]:-}" ]; then
    echo "prove: found \"$promise\", allowed are: ${order[*]}" >&2
    exit 2
  fi
  runs=0
  violations=0
  first=-
  for ((round = 0; round < repeat; round++)); do
    runs=$((runs + 1))
    log=$build/proofs/$promise-$round.log
    : >"$log"
    failed=0
    for proof in ${proofs[$promise]}; do
      IFS=: read -r program group name <<<"$proof"
      filter=(-g "$group")
      [ -z "$name" ] || filter+=(-n "$name")
      RC_PARAMS="seed=$((seed + round))" timeout 300 "$build/$program" "${filter[@]}" -v >>"$log" 2>&1 || failed=1
    done
    if [ "$failed" -eq 0 ]; then
      rm -f "$log"
    else
      violations=$((violations + 1))
      [ "$first" != - ] || first=$log
    fi
  done
  total=$((total + violations))
  printf '%-8s %5d %10d  %s\n' "$promise" "$runs" "$violations" "$first"
done
[ "$total" -eq 0 ]
