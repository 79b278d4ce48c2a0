#!/usr/bin/env bash
# Holds every folder but platform/ to the product's own names: the platform's fields, paths and keys
# are decoded once, in platform/. The list is read from platform/src/names.hpp and the store's paths.
set -euo pipefail
cd "$(dirname "$0")/.."
# Names that HTTP or event streams themselves define are everybody's.
common='^(Authorization|Retry-After|Last-Event-Id|Model|Session|Hold|Tenant|Confidence)$'
names=$(grep -oE '= "[^"]+"' platform/src/names.hpp | sed -E 's/^= "(.*)"$/\1/' | grep -vE "$common" | sort -u)
pattern=$(printf '%s\n' "$names" '/v1/kv-' 'PEARHAVEN_BOOT' | sed 's/[.[\*^$/]/\\&/g' | paste -sd'|' -)
if grep -rnE "\"($pattern)" --include='*.hpp' --include='*.cpp' \
    decision coordination adapters router control standins benchmarks tests samples; then
  echo "platform names: the lines above belong into platform/" >&2
  exit 1
fi
