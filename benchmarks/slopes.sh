#!/usr/bin/env bash
# Runs one fleet of real processes and measures its cost of control: idle, under a steady load, and
# while the configuration changes.
#
#   benchmarks/slopes.sh ROUTERS ZONES CSV
#
# Appends lines `phase,routers,zones,repetition,quantity,value,load_average` to CSV. Quantities that
# begin with `router_` are for one router (mean over the fleet, or the named one), all others for the
# whole fleet. From the environment: PEARHAVEN_BUILD, and the sizes below.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PEARHAVEN_BUILD:-build}
routers=$1
zones=$2
csv=$3
seconds=${SLOPES_SECONDS:-8}              # of one repetition
repetitions=${SLOPES_REPETITIONS:-3}      # in each phase
engines=${SLOPES_ENGINES:-3}
unused_hosts=${SLOPES_HOSTS:-0}            # further entries of the host list, which belong to no pool
teams=${SLOPES_TEAMS:-0}                   # further teams in the configuration
requests_per_router=${SLOPES_REQUESTS:-5} # a second, in the phase with load
seconds_per_change=${SLOPES_CHANGE:-1.35} # 64,000 changes a day are one each 1.35 s
waited_changes=${SLOPES_WAITED:-6}        # changes whose time until in force everywhere is measured
phases=${SLOPES_PHASES:-idle load changes}
# Simulated engines and stores have a thread for each connection; thousands in each of many engines would
# use up the machine's process ids.
store_threads=$((64 + 16 * routers))
engine_threads=$((routers < 40 ? 64 + 24 * routers : 1024))
ulimit -n "$(ulimit -Hn)"
source scripts/fleet.sh

export PEARHAVEND_FLEET_KEY=slopes-fleet-key-0123456789abcdef PEARHAVEND_OPERATOR_KEY=slopes-operators-key
export PEARHAVENCTL_OPERATOR_KEY=$PEARHAVEND_OPERATOR_KEY
ticks_per_second=$(getconf CLK_TCK)

start_platform() {
  start kv "$build/standins/standin_kv" --listen 127.0.0.1:0 --threads "$store_threads"
  kv=$(line kv 'listening on ')
  local entries="" number engine
  for ((number = 1; number <= engines; number++)); do
    start "engine_$number" "$build/standins/standin_engine" --listen 127.0.0.1:0 --versions adjudicator-1 \
      --step_us 2000 --step_us_per_run 0 --batch 256 --queue 1024 --threads "$engine_threads" --tokens_per_write 4
    engine=$(line "engine_$number" 'listening on ')
    entries+="${entries:+,}{\"name\":\"engine-$number\",\"address\":\"$engine\",\"zone\":\"zone-$((number % zones + 1))\","
    entries+="\"incarnation\":1,\"state\":\"live\",\"labels\":{\"role\":\"engine\"}}"
  done
  for ((number = 1; number <= unused_hosts; number++)); do
    entries+=",{\"name\":\"spare-$number\",\"address\":\"127.0.0.1:$((number % 60000 + 1))\",\"zone\":\"zone-$((number % zones + 1))\","
    entries+="\"incarnation\":1,\"state\":\"live\",\"labels\":{\"role\":\"spare\"}}"
  done
  echo "[$entries]" >"$fleet_logs/hosts.json"
  start hosts "$build/standins/standin_hosts" --listen 127.0.0.1:0 --threads "$store_threads" --file "$fleet_logs/hosts.json"
  hosts=$(line hosts 'listening on ')
}

start_routers() {
  local number
  for ((number = 1; number <= routers; number++)); do
    start "router_$number" "$build/pearhavend" --zone "zone-$((number % zones + 1))" --caller_port 0 \
      --caller_threads 16 --key_value_url "http://$kv" --host_list_url "http://$hosts"
  done
  callers=""
  for ((number = 1; number <= routers; number++)); do
    callers+="${callers:+,}127.0.0.1:$(line "router_$number" 'callers on ')"
    operators[number]=127.0.0.1:$(line "router_$number" 'operators on ')
    local pid="pid_router_$number"
    pids[number]=${!pid}
  done
}

pearhavenctl() { "$build/pearhavenctl" "$@" --kv "http://$kv"; }

configure() {
  local digest
  digest=$(printf 'key-of-deposits' | "$build/pearhavenctl" key-digest)
  cat >"$fleet_logs/fleet.yaml" <<YAML
kind: team
name: deposits
spec: {key_sha256: [$digest], versions: {channel: stable}}
---
kind: version
name: adjudicator-1
labels: {channel: stable}
spec: {model: adjudicator}
---
kind: pool
name: engines
spec: {hosts: {role: engine}, versions: {model: adjudicator}}
YAML
  local number
  for ((number = 1; number <= teams; number++)); do
    printf -- "---\nkind: team\nname: team-%d\nspec: {key_sha256: [%064x], versions: {channel: stable}}\n" "$number" "$number"
  done >>"$fleet_logs/fleet.yaml"
  pearhavenctl apply -f "$fleet_logs/fleet.yaml" >/dev/null
}

# Succeeds if every router is ready and has all others as members in the state alive.
is_joined() {
  local number alive
  for ((number = 1; number <= routers; number++)); do
    curl -sf --max-time 5 "http://${operators[number]}/readyz" >/dev/null || return 1
    alive=$(curl -sf --max-time 5 "http://${operators[number]}/v1/status" \
      -H "Authorization: Bearer $PEARHAVEND_OPERATOR_KEY" | grep -o '"alive"' | wc -l)
    [ "$alive" -eq "$((routers - 1))" ] || return 1
  done
}

# snapshot FILE: lines `subject time quantity value`, where the values only grow.
snapshot() {
  local number ticks
  for ((number = 1; number <= routers; number++)); do
    curl -sf --max-time 5 "http://${operators[number]}/metrics" |
      awk -v who="router_$number" -v at="$EPOCHREALTIME" '
        /^pearhaven_peer_(bytes|frames)_sent/ { sub("pearhaven_", "", $1); print who, at, "router_" $1, $2 }
        /^pearhaven_store_calls_total/ { split($1, part, "\""); print who, at, "calls_of_" part[2], $2 }'
    ticks=$(sed 's/.*) //' "/proc/${pids[number]}/stat" | awk '{ print $12 + $13 }')
    echo "router_$number $EPOCHREALTIME router_cpu_ticks $ticks"
  done
  calls_of kv "$kv"
  calls_of hosts "$hosts"
  for ((number = 1; number <= engines; number++)); do
    calls_of "engine" "$(line "engine_$number" 'listening on ')" "engine_$number"
  done
} >"$1"

# calls_of KIND ADDRESS [SUBJECT]: the calls that a simulated service has counted, by kind.
calls_of() {
  curl -sf --max-time 5 "http://$2/control/stats" | grep -o '"calls":{[^}]*}' | grep -o '"[a-z]*":[0-9][0-9]*' |
    tr -d '"' | awk -F: -v kind="$1" -v who="${3:-$1}" -v at="$EPOCHREALTIME" '{ print who, at, kind "_" $1, $2 }'
}

# record PHASE REPETITION QUANTITY VALUE
record() {
  echo "$1,$routers,$zones,$2,$3,$4,$(cut -d' ' -f1 /proc/loadavg)" >>"$csv"
}

# rates BEFORE AFTER: lines `quantity value` a second. Of routers the mean, and for the processor also
# the busiest one; of the store's callers and the simulated services the sum over all.
rates() {
  awk -v ticks="$ticks_per_second" -v routers="$routers" '
    NR == FNR { old[$1 " " $3] = $4; begun[$1 " " $3] = $2; next }
    {
      key = $1 " " $3
      if (!(key in begun)) next # the first call of its kind came in between
      rate = ($4 - old[key]) / ($2 - begun[key])
      name = $3
      if (name == "router_cpu_ticks") {
        rate = 100 * rate / ticks
        name = "router_cpu_percent"
        if (rate > busiest) busiest = rate
      }
      if (name ~ /^router_peer/ && rate > most[name]) most[name] = rate
      sum[name] += rate
    }
    END {
      for (name in sum) printf "%s %.4f\n", name, (name ~ /^router_/ ? sum[name] / routers : sum[name])
      for (name in most) printf "%s_busiest %.4f\n", name, most[name]
      printf "router_cpu_percent_busiest %.4f\n", busiest
    }' "$1" "$2"
}

memory() { # lines `quantity value`
  local number
  for ((number = 1; number <= routers; number++)); do
    awk '/^VmRSS/ { rss = $2 } /^Threads/ { threads = $2 } END { print rss / 1024, threads }' \
      "/proc/${pids[number]}/status"
  done | awk '{ rss += $1; threads += $2; if ($1 > most) most = $1 }
    END { printf "router_rss_mib %.3f\nrouter_rss_mib_largest %.3f\nrouter_threads %.2f\n", rss / NR, most, threads / NR }'
}

# The mean number of waiting watches over the seconds of one repetition.
sleep_and_count_watches() {
  local sum=0 second
  for ((second = 0; second < seconds; second++)); do
    sleep 1
    sum=$((sum + $(curl -sf --max-time 5 "http://$kv/control/stats" | grep -o '"waiting_watches":[0-9]*' | cut -d: -f2)))
  done
  awk -v sum="$sum" -v count="$seconds" 'BEGIN { printf "%.3f\n", sum / count }'
}

measure() { # PHASE
  local repetition watches quantity value
  for ((repetition = 1; repetition <= repetitions; repetition++)); do
    snapshot "$fleet_logs/before"
    watches=$(sleep_and_count_watches)
    snapshot "$fleet_logs/after"
    record "$1" "$repetition" kv_waiting_watches "$watches"
    { rates "$fleet_logs/before" "$fleet_logs/after"; memory; } | while read -r quantity value; do
      record "$1" "$repetition" "$quantity" "$value"
    done
  done
}

change_for_ever() {
  local number=0
  while true; do
    number=$((number + 1))
    pearhavenctl label team deposits "tier=step-$number" >/dev/null || true
    sleep "$seconds_per_change"
  done
}

measure_time_in_force() {
  local number begun
  for ((number = 1; number <= waited_changes; number++)); do
    begun=$EPOCHREALTIME
    if pearhavenctl label team deposits "tier=waited-$number" --wait --timeout 30 >/dev/null; then
      record changes "$number" in_force_everywhere_s "$(awk -v a="$begun" -v b="$EPOCHREALTIME" 'BEGIN { printf "%.3f", b - a }')"
    else
      record changes "$number" not_in_force_after_30_s 1
    fi
  done
}

measure_load() {
  local length=$(((seconds + 2) * repetitions + 8)) rate=$((requests_per_router * routers))
  start load "$build/benchmarks/load" --targets "$callers" --seconds "$length" --warm_up 2 --seed "$((routers * 100 + zones))" \
    --streams "name=lookups,key=key-of-deposits,rate=$rate,tokens=8,prompt=200"
  sleep 4
  measure load
  wait "$pid_load" || true
  awk '/^lookups/ { print $2, $3, $6, $8 }' "$fleet_logs/load" | {
    read -r sent completed first_50 first_99
    record load 1 requests_sent "$sent"
    record load 1 requests_completed "$completed"
    record load 1 first_token_ms_50 "$first_50"
    record load 1 first_token_ms_99 "$first_99"
  }
}

measure_idle() { measure idle; }

measure_changes() {
  sleep 2
  start change change_for_ever
  sleep 2
  measure changes
  kill "$pid_change"
  measure_time_in_force
}

operators=()
pids=()
start_platform
configure
start_routers
begun=$EPOCHREALTIME
until_true is_joined
record start 1 joined_s "$(awk -v a="$begun" -v b="$EPOCHREALTIME" 'BEGIN { printf "%.2f", b - a }')"
record start 1 host_list_bytes "$(curl -sf "http://$hosts/v1/hosts" | wc -c)"
sleep 3 # what follows a join, such as its gossip, is over
for phase in $phases; do "measure_$phase"; done
