#!/bin/sh
# Runs the capacity benchmark and writes docs/measurements/capacity.md.
# Usage: capacity.sh [BUILD] [SEED]
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
seed=${2:-1}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Counts instructions of the board's steps under callgrind. The difference between the counts of a
# short and a long run excludes the startup cost.
count_instructions () {
  valgrind --tool=callgrind --toggle-collect=tt_board_step --callgrind-out-file=/dev/null \
    "$build/bench/capacity_bench" "$seed" "$@" 2>&1 | awk '/Collected/ { print $4 }'
}
if [ "${3:-}" = instructions ]; then
  shift 3
  a=$(count_instructions "$@" 5)
  b=$(count_instructions "$@" 9)
  echo "| $1 | $2 | $3 | $(((b - a) / (4 * $2))) |"
  exit
fi

# The first list holds the parts of the benchmark: 0 to 5 are whole fleets, 6 the tables of one daemon
# (memory, messages, objects, restart, faults). The second list holds the sizes of the fleets measured
# under callgrind: failure domains, daemons, engines.
printf '%s\n' 4 3 2 1 0 5 6 |
  xargs -P "${JOBS:-3}" -I{} sh -c "$build/bench/capacity_bench $seed {} > '$work/part-{}'"
printf '%s\n' '1 11 80' '1 22 80' '1 33 80' '11 33 440' '11 33 880' '11 66 880' |
  xargs -P "${JOBS:-3}" -I{} sh -c \
    "sh tools/capacity.sh '$build' $seed instructions {} > '$work/instructions-{}'"
{
  cat << HEAD
# Capacity

Measured by \`bench/capacity_bench.c\`; reproduce with \`tools/capacity.sh BUILD $seed\`, the second
argument is the seed. Counts and bytes follow from the seed; processor times do not, and those of
whole fleets are of one process that runs all daemons, so that caches are colder than in a daemon of
its own. Bytes are those of the encoder (codec/peer.c), without the framing of ZeroMQ, CURVE and TCP.
docs/CAPACITY.md says what follows.
HEAD
  cat "$work/part-6"
  printf '\n## Instructions of a second of one daemon\n\n'
  printf 'All steps of the board at 15.6 requests a second of 3 s (callgrind).\n\n'
  printf '| failure domains | daemons | engines | instructions a second |\n|---|---|---|---|\n'
  for size in '1 11 80' '1 22 80' '1 33 80' '11 33 440' '11 33 880' '11 66 880'; do
    cat "$work/instructions-$size"
  done
  printf '\n## Whole fleets under load\n\n'
  printf 'Each daemon gets 15.6 requests a second of 13 s; 17 documents with 1,105 client accounts; a\n'
  printf 'change every 10 s. Rates are means over 20 simulated seconds.\n'
  cat "$work/part-0" "$work/part-5" "$work/part-1" "$work/part-2" "$work/part-3" "$work/part-4"
} > docs/measurements/capacity.md
