# Sourced by scripts that start a small fleet of real processes on 127.0.0.1. Every process started
# with `start` is stopped when the script ends or is interrupted.

fleet_logs=$(mktemp -d)
fleet_pids=()

fleet_stop() {
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  fleet_pids=()
  rm -rf "$fleet_logs"
}
trap fleet_stop EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM ARGUMENTS...: runs the program in the background with output to $fleet_logs/NAME.
start() {
  local name=$1
  shift
  "$@" >"$fleet_logs/$name" 2>"$fleet_logs/$name.err" &
  fleet_pids+=("$!")
  eval "pid_$name=$!"
}

# line NAME PREFIX: waits for a line of the program's output with the prefix, and prints its rest.
line() {
  local tries=0 found
  while [ "$tries" -lt 300 ]; do
    found=$(sed -n "s/^$2//p" "$fleet_logs/$1" 2>/dev/null | head -n 1)
    if [ -n "$found" ]; then
      printf '%s\n' "$found"
      return 0
    fi
    sleep 0.05
    tries=$((tries + 1))
  done
  echo "fleet: $1 printed no line \"$2...\"" >&2
  cat "$fleet_logs/$1.err" >&2
  return 1
}

# until_true COMMAND...: retries the command until it succeeds, for up to 30 s.
until_true() {
  local tries=0
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -ge 300 ]; then
      echo "fleet: still failing after 30 s: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}
