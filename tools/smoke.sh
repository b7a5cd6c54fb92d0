#!/bin/sh
# End-to-end test with real processes on loopback: 1 platform, 2 engines, 1 service, 2 daemons. Checks
# that responses are complete, also while a daemon drains. Usage: smoke.sh [BUILD] [BASE-PORT]
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
base=${2:-18400}
limit_s=60 # timeout of each wait for a condition, and of each HTTP call
lifetime_s=300
folder=$(mktemp -d)
pids=''
cleanup () {
  for pid in $pids; do kill "$pid" 2> /dev/null || true; done
  for pid in $pids; do wait "$pid" 2> /dev/null || true; done
  [ -n "${SMOKE_KEEP:-}" ] || rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

platform=$base engine0=$((base + 1)) engine1=$((base + 2)) service=$((base + 3))
fail () {
  echo "smoke: FAILED: $*"
  tail -n 20 "$folder"/*.log
  exit 1
}
# wait_for TEXT COMMAND...: retries the command until it succeeds; fails with TEXT after limit_s
wait_for () {
  text=$1
  shift
  tries=$((limit_s * 20))
  until "$@" > /dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || fail "$text within $limit_s s"
    sleep 0.05
  done
}
call () { curl -s -m "$limit_s" --noproxy '*' "$@"; }
start () {
  name=$1
  shift
  "$@" > "$folder/$name.log" 2>&1 &
  pids="$pids $!"
}

start platform "$build/standin_platform" --port "$platform" --lifetime "$lifetime_s"
for port in $engine0 $engine1; do
  start "engine-$port" "$build/standin_engine" --port "$port" --lifetime "$lifetime_s" --token-ms 10
done
start service "$build/standin_service" --port "$service" --lifetime "$lifetime_s"
wait_for 'the platform responds' call -f "http://127.0.0.1:$platform/control/stats"

host () {
  printf '{"name":"%s","address":"127.0.0.1","port":%d,"domain":"z1","service":"%s",' "$1" "$2" "$3"
  printf '"weight":1,"batch_limit":8,"fencing":true}'
}
printf '{"hosts":[%s,%s,%s]}' "$(host engine-0 "$engine0" chat)" \
  "$(host engine-1 "$engine1" chat)" "$(host ledger-0 "$service" ledger)" > "$folder/hosts.json"
call -f -X POST --data-binary "@$folder/hosts.json" \
  "http://127.0.0.1:$platform/control/hosts" > /dev/null || fail 'the host list is set'
cat > "$folder/document.json" << 'END'
{ // Team of the smoke test.
  "team": "demo", "schema": 1,
  "services": [ { "name": "chat", "type": "model" },
                { "name": "ledger", "type": "plain", "path_prefix": "/ledger", "repeatable": true } ],
  "accounts": [ { "name": "small" } ] }
END
text=$(sed -e 's/\\/\\\\/g' -e 's/"/\\"/g' "$folder/document.json" | awk '{printf "%s\\n", $0}')
printf '{"team":"demo","author":"smoke","staged_s":1,"text":"%s"}' "$text" > "$folder/object.json"
hash=$(sha256sum "$folder/object.json" | cut -d' ' -f1)
put () { call -f -X PUT -H 'If-Match: 0' --data-binary "@$2" "http://127.0.0.1:$platform/objects/$1"; }
put "documents/$hash" "$folder/object.json" > /dev/null || fail 'the document is written'
printf '{"generation":1,"epoch":1,"teams":[{"team":"demo","epoch":1,"hash":"%s"}]}' "$hash" \
  > "$folder/head.json"
put config/head "$folder/head.json" > /dev/null || fail 'the head is written'

for n in 1 2; do
  port=$((base + 10 * n))
  cat > "$folder/d$n.json" << END
{ "fleet": "smoke", "name": "d$n", "domain": "z1", "region": "r1",
  "caller": { "address": "127.0.0.1", "port": $port },
  "operator": { "address": "127.0.0.1", "port": $((port + 1)) },
  "peer": { "address": "127.0.0.1", "port": $((port + 2)) },
  "platform": { "url": "http://127.0.0.1:$platform" },
  "limits": { "body_bytes": 65536 },
  "drain": { "announce_ms": 300 } }
END
  "$build/tarragontrackd" --check-settings --settings "$folder/d$n.json" > "$folder/numbers" || fail 'the settings are valid'
  start "d$n" "$build/tarragontrackd" --settings "$folder/d$n.json"
  eval "daemon$n=\$!"
done
d1="http://127.0.0.1:$((base + 10))"
d2="http://127.0.0.1:$((base + 20))"
for n in 1 2; do
  wait_for "daemon $n is ready" call -f "http://127.0.0.1:$((base + 10 * n + 1))/readyz"
done

# expect_match NAME PATTERN TEXT: fails with TEXT unless a line of the file matches PATTERN
expect_match () { grep -q "$2" "$folder/$1" || { cat "$folder/$1"; fail "$3"; }; }
chat () {
  printf '{"model":"chat","stream":%s,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}' \
    "$1" "$2" "$3"
}
call -i -H 'X-Client-Account: small' -d "$(chat false 8 hello)" "$d1/v1/chat/completions" \
  > "$folder/plain"
expect_match plain '^HTTP/1.1 200' 'a non-streaming chat succeeds'
expect_match plain '"completion_tokens":8' 'a non-streaming chat is complete'
expect_match plain '^x-outcome: complete' 'a non-streaming chat has an outcome header'

call -i -H 'X-Client-Account: small' -d "$(chat true 20 hello)" "$d2/v1/chat/completions" \
  > "$folder/stream"
expect_match stream 'data: \[DONE\]' 'a stream ends with [DONE]'
[ "$(grep -c '"content"' "$folder/stream")" = 20 ] || fail 'a stream has all its tokens'
request=$(tr -d '\r' < "$folder/stream" | awk 'tolower($1) == "x-request-id:" {print $2}')
call "http://127.0.0.1:$((base + 21))/explain/$request" > "$folder/explain"
expect_match explain '"backend": "engine-' 'a placement is explained'

call -i -X POST -H 'X-Client-Account: small' -H 'Idempotency-Key: key-1' -d '{"award":1}' \
  "$d1/ledger/awards" > "$folder/service"
expect_match service '"result":"executed"' 'a call of a plain service succeeds'
call "http://127.0.0.1:$service/executions" > "$folder/executions"
expect_match executions '"total":1' 'a plain service runs a call once'

call -i -H 'X-Client-Account: small' -d '{"model":' "$d1/v1/chat/completions" > "$folder/bad"
expect_match bad '^HTTP/1.1 400' 'a malformed request is rejected'
expect_match bad '^x-outcome: not-run' 'a rejected request did not run'
head -c 100000 /dev/zero | tr '\0' ' ' > "$folder/large.json"
call -i -H 'Expect:' --data-binary "@$folder/large.json" "$d1/v1/chat/completions" \
  > "$folder/large"
expect_match large '^HTTP/1.1 413' 'an oversized request is rejected'
call "http://127.0.0.1:$((base + 11))/metrics" > "$folder/metrics"
expect_match metrics '^tarragontrack_requests_complete_total 2$' 'requests are counted'

# Drains a daemon while it relays a stream, after the first token and before most of the others.
call -N -H 'X-Client-Account: small' -d "$(chat true 200 drain)" "$d1/v1/chat/completions" \
  > "$folder/drain" &
stream=$!
pids="$pids $stream"
wait_for 'a stream begins' grep -q '"content"' "$folder/drain"
kill -TERM "$daemon1"
wait_for 'readiness is false' sh -c \
  "[ \"\$(curl -s --noproxy '*' -o /dev/null -w '%{http_code}' http://127.0.0.1:$((base + 11))/readyz)\" = 503 ]"
! grep -q 'DONE' "$folder/drain" || fail 'the daemon drains while the stream runs'
wait "$stream" || fail 'the stream of a draining daemon ends without an error'
expect_match drain 'data: \[DONE\]' 'the stream of a draining daemon is complete'
[ "$(grep -c '"content"' "$folder/drain")" = 200 ] || fail 'a draining daemon loses no token'
wait "$daemon1" || fail 'a drained daemon exits with 0'
call -i -H 'X-Client-Account: small' -d "$(chat false 4 after)" "$d2/v1/chat/completions" \
  > "$folder/after"
expect_match after '^HTTP/1.1 200' 'the other daemon keeps serving'
echo 'smoke: passed'
