#!/usr/bin/env bash
# Builds the stand-ins of all cases that are scripts into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -Isupport "$source" -o "build/case-$(dirname "$source")"
done
