#!/usr/bin/env bash
# Measures the latency that one router adds to an answer and the load that it sustains, compared with
# calling the simulated engines directly in the same run.
#
#   benchmarks/overhead.sh CSV [latency] [streams] [tokens] [requests]      (default: all four)
#
# Writes lines `part,repetition,quantity,value,load_average` to CSV and prints median and spread of each
# quantity, then a line for each target. From the environment: PEARHAVEN_BUILD, and the sizes below.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PEARHAVEN_BUILD:-build}
csv=$1
shift
parts=${*:-latency streams tokens requests}
repetitions=${OVERHEAD_REPETITIONS:-5}
load_repetitions=${OVERHEAD_LOADS:-3}        # of each of the other parts
seconds=${OVERHEAD_SECONDS:-10}          # of one repetition
first_seed=${OVERHEAD_SEED:-1}
rate=${OVERHEAD_RATE:-100}               # requests a second in the part about latency
streams=${OVERHEAD_STREAMS:-2000}       # concurrent
relay_callers=${OVERHEAD_CALLERS:-100 200 400 800}
ulimit -n "$(ulimit -Hn)"
source scripts/fleet.sh

export PEARHAVEND_FLEET_KEY=overhead-fleet-key-0123456789ab PEARHAVEND_OPERATOR_KEY=overhead-operators-key
ticks_per_second=$(getconf CLK_TCK)
seed=$first_seed

# start_fleet ENGINES ENGINE_ARGUMENTS...: the platform, engines and one router.
start_fleet() {
  local engines=$1 entries="" number engine digest
  shift
  start kv "$build/standins/standin_kv" --listen 127.0.0.1:0
  kv=$(line kv 'listening on ')
  direct=""
  for ((number = 1; number <= engines; number++)); do
    start "engine_$number" "$build/standins/standin_engine" --listen 127.0.0.1:0 --versions adjudicator-1 "$@"
    engine=$(line "engine_$number" 'listening on ')
    direct+="${direct:+,}$engine"
    entries+="${entries:+,}{\"name\":\"engine-$number\",\"address\":\"$engine\",\"zone\":\"osu\",\"incarnation\":1,\"state\":\"live\",\"labels\":{\"role\":\"engine\"}}"
  done
  echo "[$entries]" >"$fleet_logs/hosts.json"
  start hosts "$build/standins/standin_hosts" --listen 127.0.0.1:0 --file "$fleet_logs/hosts.json"
  hosts=$(line hosts 'listening on ')
  digest=$(printf 'key-of-deposits' | "$build/pearhavenctl" key-digest)
  cat >"$fleet_logs/one.yaml" <<YAML
kind: team
name: deposits
spec: {key_sha256: [$digest], max_in_flight: 4096, versions: {channel: stable}}
---
kind: version
name: adjudicator-1
labels: {channel: stable}
spec: {model: adjudicator}
---
kind: pool
name: engines
spec: {hosts: {role: engine}, versions: {model: adjudicator}, slots_per_host: 1024}
YAML
  "$build/pearhavenctl" apply -f "$fleet_logs/one.yaml" --kv "http://$kv" >/dev/null
  start router "$build/pearhavend" --zone osu --caller_port 0 --caller_threads "$((streams + 100))" \
    --key_value_url "http://$kv" --host_list_url "http://$hosts"
  router=127.0.0.1:$(line router 'callers on ')
  operators=127.0.0.1:$(line router 'operators on ')
  until_true curl -sf "http://$operators/readyz"
  sleep 2 # the first host list and load reports are in
}

end_fleet() {
  fleet_stop
  fleet_logs=$(mktemp -d)
}

# record PART REPETITION QUANTITY VALUE
record() {
  echo "$1,$2,$3,$4,$(cut -d' ' -f1 /proc/loadavg)" | tee -a "$csv" >>"$fleet_logs/recorded"
}

# load NAME TARGETS STREAM: one run with a new seed; its table row goes to NAME.
load() {
  seed=$((seed + 1))
  "$build/benchmarks/load" --targets "$2" --seconds "$seconds" --warm_up 2 --seed "$seed" \
    --streams "name=run,key=key-of-deposits,model=adjudicator-1,$3" >"$fleet_logs/$1"
}

# column NAME NUMBER: of the load's table.
column() { awk -v number="$2" '$1 == "run" { print $number }' "$fleet_logs/$1"; }

cpu_ticks() { sed 's/.*) //' "/proc/$pid_router/stat" | awk '{ print $12 + $13 }'; }

# record_load PART REPETITION PREFIX NAME
record_load() {
  record "$1" "$2" "$3sent" "$(column "$4" 2)"
  record "$1" "$2" "$3completed" "$(column "$4" 3)"
  record "$1" "$2" "$3requests_per_s" "$(column "$4" 4)"
  record "$1" "$2" "$3tokens_per_s" "$(column "$4" 5)"
  record "$1" "$2" "$3first_token_ms_50" "$(column "$4" 6)"
  record "$1" "$2" "$3first_token_ms_99" "$(column "$4" 8)"
  record "$1" "$2" "$3whole_ms_50" "$(column "$4" 9)"
  record "$1" "$2" "$3whole_ms_99" "$(column "$4" 11)"
}

difference() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.3f", b - a }'; }

# measured_load PART REPETITION PREFIX STREAM: a load through the router, with the router's processor
# time and largest memory while it ran.
measured_load() {
  local begun=$EPOCHREALTIME ticks largest=0 rss in_flight most=0
  ticks=$(cpu_ticks)
  load "$3run" "$router" "$4" &
  local runner=$!
  while kill -0 "$runner" 2>/dev/null; do
    rss=$(awk '/^VmRSS/ { print $2 }' "/proc/$pid_router/status")
    in_flight=$(curl -s --max-time 2 "http://$operators/metrics" | awk '/^pearhaven_in_flight/ { print int($2) }')
    if [ "${rss:-0}" -gt "$largest" ]; then largest=$rss; fi
    if [ "${in_flight:-0}" -gt "$most" ]; then most=$in_flight; fi
    sleep 0.5
  done
  wait "$runner"
  seed=$((seed + 1))
  record_load "$1" "$2" "$3" "$3run"
  record "$1" "$2" "$3router_cpu_percent" "$(awk -v t="$(($(cpu_ticks) - ticks))" -v hz="$ticks_per_second" \
    -v a="$begun" -v b="$EPOCHREALTIME" 'BEGIN { printf "%.1f", 100 * t / hz / (b - a) }')"
  record "$1" "$2" "$3router_rss_mib" "$(awk -v k="$largest" 'BEGIN { printf "%.1f", k / 1024 }')"
  record "$1" "$2" "$3most_in_flight" "$most"
}

measure_latency() {
  local repetition stream="rate=$rate,tokens=8,prompt=200"
  start_fleet 1 --step_us 500 --step_us_per_run 0 --batch 256 --queue 1024
  for ((repetition = 1; repetition <= repetitions; repetition++)); do
    load direct "$direct" "$stream"
    load routed "$router" "$stream"
    record_load latency "$repetition" direct_ direct
    record_load latency "$repetition" routed_ routed
    record latency "$repetition" added_first_token_ms_50 "$(difference "$(column direct 6)" "$(column routed 6)")"
    record latency "$repetition" added_first_token_ms_99 "$(difference "$(column direct 8)" "$(column routed 8)")"
    record latency "$repetition" added_whole_ms_50 "$(difference "$(column direct 9)" "$(column routed 9)")"
    record latency "$repetition" added_whole_ms_99 "$(difference "$(column direct 11)" "$(column routed 11)")"
  done
  end_fleet
}

measure_streams() {
  local repetition
  start_fleet 4 --step_us 100000 --step_us_per_run 0 --batch 1024 --queue 2048 --threads 2048 --kv_tokens 4000000 --prefill_tokens_per_s 10000000 --prefill_chunk 100000
  record streams 1 router_rss_mib_idle "$(awk '/^VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$pid_router/status")"
  for ((repetition = 1; repetition <= load_repetitions; repetition++)); do
    measured_load streams "$repetition" "" "callers=$streams,tokens=60,prompt=200"
  done
  end_fleet
}

measure_tokens() {
  local repetition callers
  start_fleet 4 --step_us 5000 --step_us_per_run 0 --batch 1024 --queue 2048 --threads 2048 --kv_tokens 4000000 --prefill_tokens_per_s 10000000 --prefill_chunk 100000 --tokens_per_write 1
  for callers in $relay_callers; do
    for ((repetition = 1; repetition <= load_repetitions; repetition++)); do
      measured_load tokens "$repetition" "callers_${callers}_" "callers=$callers,tokens=200,prompt=200"
    done
  done
  end_fleet
}

measure_requests() {
  local repetition
  start_fleet 2 --step_us 500 --step_us_per_run 0 --batch 512 --queue 1024 --threads 1024 --prefill_tokens_per_s 10000000 --prefill_chunk 100000
  for ((repetition = 1; repetition <= load_repetitions; repetition++)); do
    measured_load requests "$repetition" "" "callers=400,tokens=1,prompt=200"
    record requests "$repetition" requests_per_core_s "$(awk -F, -v r="$repetition" '
      $1 == "requests" && $2 == r { value[$3] = $4 }
      END { printf "%.0f", 100 * value["requests_per_s"] / value["router_cpu_percent"] }' "$csv")"
  done
  end_fleet
}

print_table() {
  sort -t, -k1,1 -k3,3 -k4,4n "$csv" | awk -F, '
    function end_quantity() {
      if (n > 0) printf "%-9s %-36s median %10.3f  from %10.3f to %10.3f  (%d runs)\n", part, quantity,
        n % 2 ? values[(n + 1) / 2] : (values[n / 2] + values[n / 2 + 1]) / 2, values[1], values[n], n
      n = 0
    }
    $1 == "part" { next }
    $1 != part || $3 != quantity { end_quantity(); part = $1; quantity = $3 }
    { values[++n] = $4 }
    END { end_quantity() }'
}

# aim TEXT COMPARISON LIMIT PATTERN: prints whether the median of the matching quantity meets the target.
aim() {
  print_table | awk -v text="$1" -v less="$2" -v limit="$3" -v wanted="$4" '
    $1 " " $2 ~ wanted && (!seen || $4 > best) { best = $4; seen = 1 }
    END {
      if (!seen) { print "aim: " text ": not run"; exit }
      met = less == "under" ? best < limit : best >= limit
      printf "aim: %s: measured %s, %s %s: %s\n", text, best, less, limit, met ? "met" : "not met"
    }'
}

echo 'part,repetition,quantity,value,load_average' >"$csv"
for part in $parts; do "measure_$part"; done
print_table
aim "added time to the first token, median, ms" under 0.5 '^latency added_first_token_ms_50$'
aim "added time to the first token, 99th, ms" under 2 '^latency added_first_token_ms_99$'
aim "memory of the router at $streams streams, MiB (190.7 are 200 MB)" under 190.7 '^streams router_rss_mib$'
aim "tokens a second relayed by one router" "at least" 100000 '^tokens callers_[0-9]*_tokens_per_s$'
