#!/usr/bin/env bash
# Builds both programs as users do: optimized, without tests, and without treating warnings as errors.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PEARHAVEN_BUILD:-build}-release
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release -DPEARHAVEN_TESTS=OFF >/dev/null
cmake --build "$build" --target pearhavend pearhavenctl
