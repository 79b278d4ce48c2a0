#!/usr/bin/env bash
# Checks the format, runs clang-tidy and checks the purity of the decision packages. Needs a configured build folder.
# `scripts/lint.sh FOLDER...` checks only the named packages.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PEARHAVEN_BUILD:-build}
folders=("$@")
[ "${#folders[@]}" -gt 0 ] || folders=(decision coordination adapters router control platform standins benchmarks tests samples)

mapfile -t files < <(find "${folders[@]}" \( -name '*.cpp' -o -name '*.hpp' \) ! -name '*_generated.*' | sort)
clang-format --dry-run --Werror "${files[@]}"

# Reverse order: the slowest file, in tests/, takes two minutes and would prolong the run if started last.
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' | grep -v '^samples/' | sort -r)
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "${PEARHAVEN_JOBS:-$(nproc)}" \
  clang-tidy --quiet -p "$build" 2>&1 | { grep -vE '^[0-9]+ warnings? (generated|treated)|^Suppressed|^Use -header-filter' || true; }
[ "${PIPESTATUS[1]}" -eq 0 ]
scripts/check_purity.sh
scripts/check_platform_names.sh
