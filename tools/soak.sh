#!/bin/sh
# Runs the fault soak test for COUNT seeds from FIRST on, several in parallel. A run that violates a
# property prints the violation and keeps the daemons' logs.
# Usage: soak.sh BUILD FIRST COUNT [SECONDS [OPTION]]
set -eu
cd "$(dirname "$0")/.."
build=$1 first=$2 count=$3 seconds=${4:-20} option=${5:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# Callers keep seeds that failed earlier in the range; docs/soak.md gives the causes.
seeds="$(seq "$first" $((first + count - 1)))"
echo "$seeds" | xargs -P "${SOAK_JOBS:-3}" -I{} sh -c \
  "$build/soak --program $build/tarragontrackd --seed {} --seconds $seconds $option > $work/{} 2>&1 || echo {} >> $work/failed"
for seed in $seeds; do tail -n 1 "$work/$seed" | grep '^seed' || cat "$work/$seed"; done
[ ! -e "$work/failed" ] || {
  for seed in $(cat "$work/failed"); do cat "$work/$seed"; done
  exit 1
}
