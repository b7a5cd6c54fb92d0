#!/bin/sh
# Measures the overhead of the daemon: sends the same paced load directly to a stand-in engine and
# through one daemon, in alternating rounds of one run. Writes docs/measurements/daemon.md.
# Usage: bench-daemon.sh [BUILD] [BASE-PORT]
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
idle_connections=1000
page=docs/measurements/daemon.md
. tools/processes.sh
base=${2:-$(free_base)}
processes_open bench-daemon
direct="http://127.0.0.1:$((base + 1))"
daemon="http://127.0.0.1:$((base + 10)),http://127.0.0.1:$((base + 11))"
ticks=$(getconf CLK_TCK)

# field FILE OBJECT... KEY: prints one number of a JSON report with one key per line
field () {
  file=$1
  shift
  awk -v keys="$*" 'BEGIN { n = split(keys, key, " "); i = 1 }
    index($0, "\"" key[i] "\":") { if (i == n) { sub(/.*: */, ""); sub(/,$/, ""); print; exit } i++ }' "$file"
}
calc () { awk -v f="$1" "BEGIN { printf f, $2 }"; }
cpu_ticks () { sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'; }
peak_rss_kb () { awk '/^VmHWM/ { print $2 }' "/proc/$1/status"; }
# load NAME TARGET RATE SECONDS TOKENS OPTION...: runs the load generator and writes NAME.report
load () {
  report=$1 target=$2 rate=$3 seconds=$4 tokens=$5
  shift 5
  start "load_$report" "$build/tt_load" --target "$target" --seed 11 --rate "$rate" \
    --duration "$seconds" --model clearance-writer --turns 1 --account pitch-desk:1 \
    --kind "pitch:1:stream:$tokens" --json "$folder/$report.report" --all-whole "$@"
  wait_end "load_$report"
  [ "$code" = 0 ] || { cat "$folder/load_$report.log" >&2; fail "load $report"; }
}
restart_daemon () { # COMMAND...
  if [ -n "${pid_d1:-}" ]; then
    kill -TERM "$pid_d1"
    wait_end d1
  fi
  start d1 "$@" "$build/tarragontrackd" --settings "$folder/d1.json"
  wait_ready $((base + 10))
}

start_platform "$base"
start_engine engine_1 $((base + 1)) z1 clearance-writer 256 --token-ms 2 --prefill-us 0
add_daemon d1 $((base + 10)) z1 0 60000
set_hosts
"$build/tarragonctl" apply --platform "$platform_url" --author bench examples/raagmala.json > /dev/null
limit_s=120

# Memory: peak resident size of a newly started daemon, then of one with idle connections.
restart_daemon
memory_new=$(peak_rss_kb "$pid_d1")
load idle "$daemon" 20 2 10 --idle "$idle_connections"
memory_idle=$(peak_rss_kb "$pid_d1")

# Latency: direct and routed load alternate, so that both run under similar load of the machine.
restart_daemon
for round in 1 2 3; do
  load "direct_$round" "$direct" 100 6 20
  load "routed_$round" "$daemon" 100 6 20
done
median () { # PREFIX KEYS...: prints the median of three rounds
  prefix=$1
  shift
  for round in 1 2 3; do field "$folder/${prefix}_$round.report" "$@"; done | sort -g | sed -n 2p
}

# Processor time: many short responses, then fewer long ones. The two loads give the cost of a request
# and of a token.
before=$(cpu_ticks "$pid_d1")
load short "$daemon" 400 10 1
after_short=$(cpu_ticks "$pid_d1")
load long "$daemon" 100 10 200
after_long=$(cpu_ticks "$pid_d1")
requests_short=$(field "$folder/short.report" all requests)
tokens_short=$(field "$folder/short.report" all tokens)
requests_long=$(field "$folder/long.report" all requests)
tokens_long=$(field "$folder/long.report" all tokens)
cpu_short=$(calc %.6f "($after_short - $before) / $ticks")
cpu_long=$(calc %.6f "($after_long - $after_short) / $ticks")
# Solves the two equations cpu = requests * request_cost + tokens * token_cost.
token_us=$(calc %.2f "1e6 * ($cpu_long * $requests_short - $cpu_short * $requests_long) / ($tokens_long * $requests_short - $tokens_short * $requests_long)")
request_us=$(calc %.0f "(1e6 * $cpu_short - $tokens_short * $token_us) / $requests_short")

# Instructions: the same requests with short and with long responses, each on a newly started daemon.
instructions () { # REPORT TOKENS
  restart_daemon valgrind --tool=callgrind --callgrind-out-file=/dev/null
  load "$1" "$daemon" 10 6 "$2"
  kill -TERM "$pid_d1"
  wait_end d1
  sum=$(sed -n 's/.*Collected : *\([0-9]*\).*/\1/p' "$folder/d1.log")
  pid_d1=''
}
instructions few 1 && sum_few=$sum
instructions many 100 && sum_many=$sum
tokens_few=$(field "$folder/few.report" all tokens)
tokens_many=$(field "$folder/many.report" all tokens)
token_instructions=$(calc %.0f "($sum_many - $sum_few) / ($tokens_many - $tokens_few)")

row () { # LABEL KEYS...
  label=$1
  shift
  a=$(median direct all "$@") b=$(median routed all "$@")
  printf '| %s | %.2f | %.2f | %+.2f | %s |\n' "$label" "$a" "$b" "$(calc %.4f "$b - $a")" "$(calc %.2f "$b / $a")"
}
mkdir -p "$(dirname "$page")"
{
  cat << END_PAGE
# Cost of the daemon

Written by \`make bench-daemon\` (\`sh tools/bench-daemon.sh build\`) on a shared machine. Compare
columns of one run, not single times of different runs. All processes are on one host, on loopback;
the engine is a stand-in that makes a token every 2 ms in steps of 1 ms.

## Added latency

100 requests/s with streams of 20 tokens, directly to the engine and through one daemon, alternating,
3 times each; medians of the 3 in ms from the intended send time.

| | direct | through the daemon | added | ratio |
|---|---|---|---|---|
END_PAGE
  row 'first token, p50' first_token_ms p50
  row 'first token, p99' first_token_ms p99
  row 'between tokens, p50' token_gap_ms p50
  row 'between tokens, p99' token_gap_ms p99
  row 'complete response, p50' latency_ms p50
  row 'complete response, p99' latency_ms p99
  cat << END_PAGE

## Processor time

From /proc/PID/stat over 10 s each: $requests_short requests with $tokens_short tokens used $cpu_short s, $requests_long
requests with $tokens_long tokens used $cpu_long s. Two loads give two equations for the two costs.

| | |
|---|---|
| a request without its tokens | $request_us µs |
| a relayed token | $token_us µs |
| requests/s with one token on one core, by processor time | $(calc %.0f "$requests_short / $cpu_short") |
| requests/s with $(calc %.0f "$tokens_long / $requests_long") tokens on one core, by processor time | $(calc %.0f "$requests_long / $cpu_long") |
| tokens/s on one core in such requests | $(calc %.0f "$tokens_long / $cpu_long") |
| instructions of a relayed token (callgrind, $tokens_few and $tokens_many tokens) | $token_instructions |

The figures for one core are extrapolated from the processor time of a paced load.

## Memory

| | VmHWM |
|---|---|
| a new daemon | $memory_new kB |
| with $idle_connections idle connections | $memory_idle kB |
| for an idle connection | $(calc %.1f "($memory_idle - $memory_new) / $idle_connections") kB |
END_PAGE
} > "$folder/page.md"
mv "$folder/page.md" "$page"
cat "$page"
