#!/usr/bin/env bash
# Checks that the users' platform's fields, paths and keys occur in platform/ only: all other folders
# use the product's own names. The list comes from platform/src/names.hpp and the store's paths.
set -euo pipefail
cd "$(dirname "$0")/.."
# Names that are defined by HTTP or event streams are allowed everywhere.
common='^(Authorization|Retry-After|Last-Event-Id|Model|Session|Hold|Tenant|Confidence)$'
names=$(grep -oE '= "[^"]+"' platform/src/names.hpp | sed -E 's/^= "(.*)"$/\1/' | grep -vE "$common" | sort -u)
pattern=$(printf '%s\n' "$names" '/v1/kv-' 'PEARHAVEN_BOOT' | sed 's/[.[\*^$/]/\\&/g' | paste -sd'|' -)
if grep -rnE "\"($pattern)" --include='*.hpp' --include='*.cpp' \
    decision coordination adapters router control standins benchmarks tests samples; then
  echo "platform names: the lines above belong in platform/" >&2
  exit 1
fi
