#!/bin/sh
# Runs the fault soak for a number of seeds, a few at a time. A seed with a broken promise prints what
# was seen and keeps the daemons' logs. Usage: soak.sh BUILD FIRST COUNT [SECONDS [OPTION]]
set -eu
cd "$(dirname "$0")/.."
build=$1 first=$2 count=$3 seconds=${4:-20} option=${5:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# Seeds that failed once stay in the list; docs/soak.md gives their causes.
seeds="$(seq "$first" $((first + count - 1)))"
echo "$seeds" | xargs -P "${SOAK_JOBS:-3}" -I{} sh -c \
  "$build/soak --program $build/tarragontrackd --seed {} --seconds $seconds $option > $work/{} 2>&1 || echo {} >> $work/broken"
for seed in $seeds; do tail -n 1 "$work/$seed" | grep '^seed' || cat "$work/$seed"; done
[ ! -e "$work/broken" ] || {
  for seed in $(cat "$work/broken"); do cat "$work/$seed"; done
  exit 1
}
