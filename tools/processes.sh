# Functions for scripts that run daemons and stand-ins on loopback. A script sources this file and
# calls processes_open NAME. All processes that it starts are terminated when the script exits, also if
# it fails or is interrupted. Variables: folder, pids, limit_s, lifetime_s.
limit_s=${LIMIT_S:-30} # timeout of each wait for a condition, and of each HTTP call
lifetime_s=300         # stand-ins exit on their own after this time
pids=''

# free_base: prints the first of 100 consecutive ports of 127.0.0.1 without a listener, below the
# kernel's ephemeral port range. The scan starts at an offset derived from the process id, so that
# concurrent scripts use different ports.
free_base () {
  n=$(($$ % 200))
  while :; do
    candidate=$((10000 + n * 100))
    last=$((candidate + 99))
    awk -v from="$candidate" -v to="$last" '
      function number (text, i, v) {
        for (i = 1; i <= length (text); i++) v = v * 16 + index ("0123456789ABCDEF", substr (text, i, 1)) - 1
        return v
      }
      $4 == "0A" { split ($2, part, ":"); port = number(part[2]); if (port >= from && port <= to) in_use = 1 }
      END { exit in_use }' /proc/net/tcp && break
    n=$(((n + 1) % 200))
  done
  echo "$candidate"
}

# Terminates the processes in $pids: SIGTERM, then SIGKILL for those still running after 3 s. Sends
# SIGCONT first, because a stopped process handles SIGTERM only after it resumes.
processes_close () {
  trap '' INT TERM HUP
  for pid in $pids; do kill -CONT "$pid" 2> /dev/null && kill -TERM "$pid" 2> /dev/null || true; done
  tries=60
  for pid in $pids; do
    while is_running "$pid" && [ "$tries" -gt 0 ]; do
      tries=$((tries - 1))
      sleep 0.05
    done
    is_running "$pid" && kill -KILL "$pid" 2> /dev/null || true
    wait "$pid" 2> /dev/null || true
  done
  [ -n "${KEEP:-}" ] || rm -rf "$folder"
}

# Succeeds if the process PID runs. A zombie (exited, but not waited for) does not count as running.
is_running () { # PID
  [ -r "/proc/$1/stat" ] && [ "$(sed 's/.*) //' "/proc/$1/stat" 2> /dev/null | cut -c1)" != Z ]
}

# watch_parent PID: waits until the script with this id has exited, then kills its remaining processes.
# They remain if the script was killed by SIGKILL, and daemons have no lifetime limit.
watch_parent () {
  trap '' INT HUP
  while kill -0 "$1" 2> /dev/null; do sleep 1; done
  [ ! -e "$folder/pids" ] || while read -r pid; do kill -KILL "$pid" 2> /dev/null; done < "$folder/pids"
  rm -rf "$folder"
}

processes_open () {
  script=$1
  folder=$(mktemp -d)
  : > "$folder/pids"
  trap processes_close EXIT
  trap 'exit 130' INT TERM HUP
  watch_parent $$ > /dev/null 2>&1 &
  pids="$pids $!"
}

# fail TEXT: prints the expectation that does not hold, or the fault, and exits with 1. With VERBOSE
# set, also prints the end of each log.
fail () {
  echo "$script: FAILED: $*" >&2
  [ -z "${VERBOSE:-}" ] || tail -n 30 "$folder"/*.log >&2
  exit 1
}

# start NAME COMMAND...: runs the command in the background; sets $pid and $pid_NAME
start () {
  name=$1
  shift
  "$@" > "$folder/$name.log" 2>&1 &
  pid=$!
  pids="$pids $pid"
  echo "$pid" >> "$folder/pids"
  eval "pid_$name=$pid"
}

# wait_for TEXT COMMAND...: retries the command until it succeeds; fails with TEXT after limit_s
wait_for () {
  text=$1
  shift
  end=$(($(date +%s) + limit_s))
  until "$@" > /dev/null 2>&1; do
    [ "$(date +%s)" -lt "$end" ] || fail "not within $limit_s s: $text"
    sleep 0.05
  done
}

call () { curl -s -m "$limit_s" --noproxy '*' "$@"; }

# responds URL: succeeds if the URL returns 200; fails the script if the process started last has exited
responds () {
  is_running "$pid" || fail "$name exited: $(tail -n 2 "$folder/$name.log")"
  call -f "$1"
}

start_platform () { # PORT
  platform_url="http://127.0.0.1:$1"
  start platform "$build/standin_platform" --port "$1" --lifetime "$lifetime_s"
  wait_for 'the platform responds' responds "$platform_url/control/stats"
}

hosts=''
add_host () { hosts="$hosts${hosts:+,}$1"; }

start_engine () { # NAME PORT DOMAIN MODEL BATCH OPTION...
  engine_name=$1 port=$2 batch=$5
  add_host "$(printf '{"name":"%s","address":"127.0.0.1","port":%d,"domain":"%s","service":"%s","weight":1,"batch_limit":%d,"fencing":true}' \
    "$1" "$2" "$3" "$4" "$5")"
  shift 5
  start "$engine_name" "$build/standin_engine" --port "$port" --lifetime "$lifetime_s" --batch "$batch" \
    "$@"
  wait_for "$engine_name responds" responds "http://127.0.0.1:$port/load"
}

start_service () { # NAME PORT DOMAIN SERVICE
  add_host "$(printf '{"name":"%s","address":"127.0.0.1","port":%d,"domain":"%s","service":"%s","weight":1,"batch_limit":16,"fencing":true}' \
    "$1" "$2" "$3" "$4")"
  start "$1" "$build/standin_service" --port "$2" --lifetime "$lifetime_s"
  wait_for "$1 responds" responds "http://127.0.0.1:$2/executions"
}

# add_daemon NAME PORT DOMAIN [ANNOUNCE-MS [READ-TIMEOUT-MS]]: writes the settings file and adds an
# entry to the host list. The operator port is PORT + 1, the peer port PORT + 2.
add_daemon () {
  add_host "$(printf '{"name":"%s","address":"127.0.0.1","port":%d,"domain":"%s","entry_host":true}' \
    "$1" $(($2 + 2)) "$3")"
  cat > "$folder/$1.json" << SETTINGS
{ "fleet": "$script", "name": "$1", "domain": "$3", "region": "r1",
  "caller": { "address": "127.0.0.1", "port": $2 },
  "operator": { "address": "127.0.0.1", "port": $(($2 + 1)) },
  "peer": { "address": "127.0.0.1", "port": $(($2 + 2)) },
  "platform": { "url": "$platform_url" },
  "limits": { "body_bytes": 262144, "header_bytes": 8192, "read_timeout_ms": ${5:-10000} },
  "drain": { "announce_ms": ${4:-1000} } }
SETTINGS
}

set_hosts () {
  printf '{"hosts":[%s]}' "$hosts" > "$folder/hosts.json"
  call -f -X POST --data-binary "@$folder/hosts.json" "$platform_url/control/hosts" > /dev/null ||
    fail 'the platform rejected the host list'
}

start_daemon () { start "$1" "$build/tarragontrackd" --settings "$folder/$1.json"; }

wait_ready () { # PORT
  wait_for "the daemon at port $1 is ready" call -f "http://127.0.0.1:$(($1 + 1))/readyz"
}

# wait_end NAME: waits for a process of this script; sets $code to its exit code
wait_end () {
  eval "pid=\$pid_$1"
  code=0
  wait "$pid" || code=$?
}
