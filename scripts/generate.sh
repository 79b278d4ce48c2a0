#!/usr/bin/env bash
# Regenerates the committed code for messages between peers. Needs flatc (flatbuffers-compiler) in the
# version of libflatbuffers-dev; the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --scoped-enums --filename-ext hpp -o adapters/src adapters/schema/peer.fbs
