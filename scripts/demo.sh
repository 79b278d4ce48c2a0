#!/usr/bin/env bash
# Demonstrates the complete request path on this machine: a simulated platform, three routers, and the
# callers' and operators' views. Ends with `demo: N of N as expected` and status 0, and leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PEARHAVEN_BUILD:-build}
programs=(pearhavend pearhavenctl standin_kv standin_engine standin_plain standin_hosts)

echo "demo: checking the packages that the build needs"
scripts/packages.sh
echo "demo: building ${programs[*]}"
scripts/build.sh "${programs[@]}"
echo "demo: starting stand-ins and three routers"
source scripts/fleet.sh

expected=0
shown=0
# check WHAT PATTERN TEXT: prints the caller's view and counts whether it matches the pattern.
check() {
  shown=$((shown + 1))
  if grep -qE "$2" <<<"$3"; then
    expected=$((expected + 1))
    printf '\n== %s: as expected\n' "$1"
  else
    printf '\n== %s: NOT as expected (wanted %s)\n' "$1" "$2"
  fi
  printf '%s\n' "$3" | cut -c1-160 | head -n 14
}

export PEARHAVEND_FLEET_KEY=demo-fleet-key-0123456789abcdef PEARHAVEND_OPERATOR_KEY=demo-operators-key
export PEARHAVENCTL_OPERATOR_KEY=$PEARHAVEND_OPERATOR_KEY

start kv "$build/standins/standin_kv" --listen 127.0.0.1:0
start engine_1 "$build/standins/standin_engine" --listen 127.0.0.1:0 --versions adjudicator-1,adjudicator-2
start engine_2 "$build/standins/standin_engine" --listen 127.0.0.1:0 --versions adjudicator-1,adjudicator-2
start booking_1 "$build/standins/standin_plain" --listen 127.0.0.1:0 --service booking
kv=$(line kv 'listening on ')
engine_1=$(line engine_1 'listening on ')
engine_2=$(line engine_2 'listening on ')
booking_1=$(line booking_1 'listening on ')
cat >"$fleet_logs/hosts.json" <<JSON
[{"name":"engine-1","address":"$engine_1","zone":"osu","incarnation":1,"state":"live","labels":{"role":"engine"}},
 {"name":"engine-2","address":"$engine_2","zone":"tema","incarnation":1,"state":"live","labels":{"role":"engine"}},
 {"name":"booking-1","address":"$booking_1","zone":"osu","incarnation":1,"state":"live","labels":{"role":"booking"}}]
JSON
start hosts "$build/standins/standin_hosts" --listen 127.0.0.1:0 --file "$fleet_logs/hosts.json"
hosts=$(line hosts 'listening on ')

position=0
for zone in osu tema legon; do
  position=$((position + 1))
  start "router_$position" "$build/pearhavend" --zone "$zone" --caller_port 0 --caller_threads 32 \
    --key_value_url "http://$kv" --host_list_url "http://$hosts"
done
router_1=127.0.0.1:$(line router_1 'callers on ')
router_2=127.0.0.1:$(line router_2 'callers on ')
router_3=127.0.0.1:$(line router_3 'callers on ')
operators_1=127.0.0.1:$(line router_1 'operators on ')
operators_2=127.0.0.1:$(line router_2 'operators on ')
operators_3=127.0.0.1:$(line router_3 'operators on ')

pearhavenctl() { "$build/pearhavenctl" "$@" --kv "http://$kv"; }
digest=$(printf 'key-of-deposits' | "$build/pearhavenctl" key-digest)
cat >"$fleet_logs/demo.yaml" <<YAML
kind: team
name: deposits
spec: {key_sha256: [$digest], versions: {channel: stable}}
---
kind: version
name: adjudicator-1
labels: {channel: stable}
spec: {model: adjudicator}
---
kind: version
name: adjudicator-2
labels: {channel: canary}
spec: {model: adjudicator}
---
kind: pool
name: engines
spec: {hosts: {role: engine}, versions: {model: adjudicator}}
---
kind: service
name: booking
spec: {hosts: {role: booking}, idempotent: false, idempotent_methods: [GET]}
YAML
check "the operator applies a configuration" "" "$(pearhavenctl apply -f "$fleet_logs/demo.yaml" --wait)"
for operators in "$operators_1" "$operators_2" "$operators_3"; do
  until_true curl -sf "http://$operators/readyz"
done

chat() { # chat ROUTER MODEL [CURL ARGUMENTS...]
  local router=$1 model=$2
  shift 2
  curl -s --max-time 30 "http://$router/v1/chat/completions" -H 'Authorization: Bearer key-of-deposits' "$@" \
    -d "{\"model\":\"$model\",\"max_tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"Is the deposit due?\"}],\"stream\":${stream:-false}}"
}
check "a streamed chat" 'data: \[DONE\]' "$(stream=true chat "$router_1" adjudicator)"

first=$(chat "$router_1" adjudicator -D "$fleet_logs/head" -H 'Pearhaven-Session: new')
token=$(sed -n 's/^Pearhaven-Session: //p' "$fleet_logs/head" | tr -d '\r')
check "turn 1 of a session, on router 1" '"model":"adjudicator-1"' "$first"
check "turn 2, on router 2" '"model":"adjudicator-1"' "$(chat "$router_2" adjudicator -H "Pearhaven-Session: $token")"
check "turn 3, on router 3" '"model":"adjudicator-1"' "$(chat "$router_3" adjudicator -H "Pearhaven-Session: $token")"

book() {
  curl -s --max-time 30 -i -X POST "http://$1/services/booking/seats" -H 'Authorization: Bearer key-of-deposits' \
    -H 'Idempotency-Key: seat-12a' -d '{"seat":"12A"}'
}
check "a booking that must run at most once" '"count":1' "$(book "$router_1")"
check "the same booking sent again, to another router" '"run":"ran"|"count":1' "$(book "$router_2")"
ran=$(curl -s "http://$booking_1/control/runs" | grep -o '"run"' | wc -l)
check "runs of that booking by the service's own record" '^1$' "$ran"

check "a version that the team may not use" '"code":"not_allowed"' "$(chat "$router_1" adjudicator-2)"
check "the operator withdraws a version" "" "$(pearhavenctl version withdraw adjudicator-1 --wait)"
check "a withdrawn version" '"code":"version_withdrawn"' "$(chat "$router_2" adjudicator-1)"
check "a session on a withdrawn version" '"code":"session_ended"' \
  "$(chat "$router_3" adjudicator -H "Pearhaven-Session: $token")"
check "the bills" 'deposits' "$(pearhavenctl bills)"

printf '\ndemo: %d of %d as expected\n' "$expected" "$shown"
[ "$expected" -eq "$shown" ]
