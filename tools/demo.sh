#!/bin/sh
# Demonstration on loopback: stand-ins for the platform, 6 engines and 3 service workers, and 4 daemons
# in 3 failure domains. Sends returning chats, service calls and grants, restarts a daemon during the
# load and prints a report. The exit code is 0 only if all responses were complete and each grant ran
# once.
# Usage: demo.sh [BUILD] [BASE-PORT]
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
rate=25
load_s=30
. tools/processes.sh
base=${2:-$(free_base)}
processes_open demo
title () { printf '\n== %s\n' "$*"; }

title 'stand-ins and daemons'
start_platform "$base"
services=''
for zone in 1 2 3; do
  for n in 1 2; do
    start_engine "engine_$zone$n" $((base + 10 * zone + n)) "z$zone" clearance-writer 16 \
      --token-ms 10 --prefill-us 100
  done
  start_service "licensing_$zone" $((base + 10 * zone + 3)) "z$zone" licensing
  services="$services --service http://127.0.0.1:$((base + 10 * zone + 3))"
done
targets=''
for n in 1 2 3 4; do
  port=$((base + 40 + 10 * n))
  add_daemon "d$n" "$port" "z$(((n - 1) % 3 + 1))"
  targets="$targets --target http://127.0.0.1:$port,http://127.0.0.1:$((port + 1))"
done
set_hosts
for n in 1 2 3 4; do start_daemon "d$n"; done
d1="http://127.0.0.1:$((base + 50))" d3="http://127.0.0.1:$((base + 70))"
echo "6 engines, 3 service workers and 4 daemons in 3 failure domains"

title 'team document'
"$build/tarragonctl" check examples/raagmala.json
code=0
"$build/tarragonctl" apply --platform "$platform_url" --author demo --wait 15 \
  examples/raagmala.json || code=$?
# Exit code 5: staged, but not accepted within the wait time. Daemons also serve requests with a staged
# document.
[ "$code" = 0 ] || [ "$code" = 5 ] || fail "the document was rejected, exit code $code"
for n in 1 2 3 4; do wait_ready $((base + 40 + 10 * n)); done

title "$load_s s of returning chats, service calls and grants; d2 restarts after a third of the time"
# shellcheck disable=SC2086
start load "$build/tt_load" $targets $services --seed 7 --rate "$rate" --duration "$load_s" \
  --model clearance-writer --path /licensing/grants --turns 5 --pause-ms 1500 --repeat 1 \
  --account pitch-desk:4 --account cue-sheets:2 --account contracts:1 \
  --kind pitch:6:stream:25 --kind cue-note:3:chat:15 --kind contract-summary:0.4:stream:250 \
  --kind licence-lookup:2:call:1 --kind licence-grant:1:grant:1 \
  --json "$folder/load.json" --all-whole
sleep $((load_s / 3)) & wait $!
kill -TERM "$pid_d2"
wait_end d2
[ "$code" = 0 ] || fail "d2 ended with exit code $code while it drained"
echo 'd2 drained and exited'
start_daemon d2
wait_ready $((base + 60))
echo 'd2 is ready again'
wait_end load
load_code=$code
cat "$folder/load.log"

title 'a grant, and a retry of the same grant at another daemon'
grant () {
  call -o "$folder/response" -w '%{http_code}' -X POST -H 'X-Client-Account: contracts' \
    -H 'X-Work-Kind: licence-grant' -H 'Idempotency-Key: demo-grant' -d '{"work":"raga"}' \
    "$1/licensing/grants" || true
}
first=$(grant "$d1") && echo "d1 responds $first: $(cat "$folder/response")"
# The outcome is recorded just after the response; until then another daemon responds "unknown".
outcome_recorded () { again=$(grant "$d3") && [ "$again" != 409 ]; }
wait_for 'the outcome of the grant is recorded' outcome_recorded
echo "d3 responds $again: $(cat "$folder/response")"
ran=0
for zone in 1 2 3; do
  ran=$((ran + $(call "http://127.0.0.1:$((base + 10 * zone + 3))/executions" |
    grep -o '"demo-grant":[0-9]*' | cut -d: -f2 | grep . || echo 0)))
done
echo "executions of the grant: $ran"

title 'status of d1'
"$build/tarragonctl" status --daemon "http://127.0.0.1:$((base + 51))" || fail 'status'
title 'audit trail'
"$build/tarragonctl" audit --platform "$platform_url" || fail 'audit'

title 'result'
[ "$load_code" = 0 ] || fail 'a response was incomplete, or a grant did not run exactly once'
[ "$first" = 200 ] && [ "$again" = 200 ] && [ "$ran" = 1 ] || fail 'the grant did not run once'
echo 'all responses were complete; each grant ran once'
