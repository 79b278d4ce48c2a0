#!/usr/bin/env bash
# Configures and builds everything, or the named targets, below build/ (or $PEARHAVEN_BUILD).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PEARHAVEN_BUILD:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE="${PEARHAVEN_BUILD_TYPE:-RelWithDebInfo}" \
  -DPEARHAVEN_WARNINGS_AS_ERRORS="${PEARHAVEN_WARNINGS_AS_ERRORS:-OFF}" \
  -DPEARHAVEN_SANITIZE="${PEARHAVEN_SANITIZE:-}" >/dev/null
cmake --build "$build" --target "${@:-all}"
