#!/usr/bin/env bash
# Installs, builds, checks format and lint, and runs all tests through CTest: all of them with
# AddressSanitizer and UndefinedBehaviorSanitizer, those with threads once more with ThreadSanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
export PEARHAVEN_BUILD=${PEARHAVEN_BUILD:-build}
# Prints the duration of a step; CI limits the total time.
step() {
  local start=$SECONDS
  "$@"
  echo "step $1: $((SECONDS - start)) s"
}
scripts/packages.sh
export PEARHAVEN_WARNINGS_AS_ERRORS=ON
# Tests need neither debug information nor full optimization; both add minutes to the build. `undefined`
# does not include float-cast-overflow.
build_tests() {
  CXXFLAGS=-O1 PEARHAVEN_BUILD_TYPE=None PEARHAVEN_SANITIZE=address,undefined,float-cast-overflow \
    scripts/build.sh
}
# The tests of multithreaded programs, with three of those that start real routers.
threaded_tests=(adapters_tests router_tests platform_tests standins_tests path_test planned_stop_test platform_path_test)
build_threaded_tests() {
  CXXFLAGS=-O1 PEARHAVEN_BUILD="$PEARHAVEN_BUILD-threads" PEARHAVEN_BUILD_TYPE=None \
    PEARHAVEN_SANITIZE=thread scripts/build.sh "${threaded_tests[@]}"
}
# Runs the tests of a build folder; fails also on a sanitizer report that no test noticed.
run_tests() {
  local folder=$1
  shift
  rm -f "$folder"/sanitizer_reports/*
  local failed=0
  ctest --test-dir "$folder" --output-on-failure --no-tests=error -j 6 "$@" || failed=1
  local report
  for report in "$folder"/sanitizer_reports/*; do
    if [ -e "$report" ]; then
      echo "$report:"
      cat "$report"
      failed=1
    fi
  done
  return "$failed"
}
# Known failures are skipped by name; .ci/run prints them.
if [ -s KNOWN-RED.txt ]; then
  export PEARHAVEN_KNOWN_RED=$PWD/KNOWN-RED.txt
fi
step build_tests
step scripts/check_release.sh
step scripts/lint.sh
# The sample is built like another project, against the release packages.
PEARHAVEN_BUILD="$PEARHAVEN_BUILD-release" step scripts/check_sample.sh
step run_tests "$PEARHAVEN_BUILD"
# The bounds of memory apply to programs without sanitizers.
run_client_crowds() {
  PEARHAVEN_ROUTER_PROGRAM=$(realpath "$PEARHAVEN_BUILD-release/pearhavend") ctest \
    --test-dir "$PEARHAVEN_BUILD" --output-on-failure --no-tests=error -R "^client_crowd_test\$"
}
step run_client_crowds
step build_threaded_tests
step run_tests "$PEARHAVEN_BUILD-threads" -R "^($(IFS='|'; echo "${threaded_tests[*]}"))\$"
