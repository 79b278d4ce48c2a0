#!/usr/bin/env bash
# Checks that `decision` and `coordination` only map events to actions: no I/O, threads, clocks or
# global random state. Inspects their includes and the undefined symbols of their archives.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PEARHAVEN_BUILD:-build}
status=0

forbidden_headers='<(thread|mutex|shared_mutex|atomic|condition_variable|future|iostream|fstream|filesystem|random|ctime|cstdio|cstdlib|unistd\.h|sys/.*|netinet/.*|poll\.h|pthread\.h|curl/.*|civetweb\.h|spdlog/.*|sodium.*|gflags/.*)>'
if grep -rnE "#include $forbidden_headers" decision/include decision/src coordination/include coordination/src; then
  echo "purity: the includes above are not allowed in decision and coordination" >&2
  status=1
fi
if grep -rnE '(steady_clock|system_clock|high_resolution_clock)|\b(s?rand|random_device)\b *\(' \
    decision/include decision/src coordination/include coordination/src; then
  echo "purity: the clocks and random sources above are not allowed in decision and coordination" >&2
  status=1
fi

forbidden_symbols='^(pthread_create|clock_gettime|gettimeofday|time|nanosleep|socket|connect|send|recv|open|fopen|read|write|rand|srand|getenv|mg_.*|curl_.*)$'
for package in decision coordination; do
  archive=$build/libpearhaven_$package.a
  if nm --undefined-only --format=posix "$archive" 2>/dev/null | cut -d' ' -f1 | grep -E "$forbidden_symbols"; then
    echo "purity: $archive uses the symbols above, which are not allowed" >&2
    status=1
  fi
done
exit "$status"
