#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/. Needs a compiler and the
# packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  if [ -f "review/$number/case.cpp" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support-2 "review/$number/case.cpp" \
      -o "target/review-2/case-$number"
  fi
done
for trial in endless unframed; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support-2 "review/tried-2/$trial.cpp" \
    -o "target/review-2/$trial"
done
