#!/usr/bin/env bash
# Installs the embeddable packages into a scratch folder, then builds and runs the sample against them,
# as another project would.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(cd "${PEARHAVEN_BUILD:-build}" && pwd)
cmake --install "$build" --prefix "$build/installed" >/dev/null
cmake -S samples -B "$build/sample" -G Ninja -DCMAKE_PREFIX_PATH="$build/installed" >/dev/null
cmake --build "$build/sample" >/dev/null
"$build/sample/embed"
