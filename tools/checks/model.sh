#!/bin/sh
# Verifies all Promela models exhaustively with spin. Each variant listed by a comment `broken: NAME`
# omits one check of the design and must end in a violation.
set -eu
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
status=0

# run_model MODEL OPTIONS: prints "pass", "violation" or "incomplete".
run_model () {
  rm -rf "$work/run"
  mkdir "$work/run"
  cp "$1" "$work/run/model.pml"
  (
    cd "$work/run"
    # shellcheck disable=SC2086
    spin $2 -a model.pml > spin.log 2>&1
    cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c
    ./pan -m200000 -E > pan.log 2>&1 || true
    if grep -q 'errors: [1-9]' pan.log; then
      echo violation
    elif grep -q 'errors: 0' pan.log && ! grep -q 'Search not completed\|max search depth' pan.log; then
      echo pass
    else
      echo incomplete
    fi
  )
}

for model in spec/*.pml; do
  verdict=$(run_model "$model" '')
  echo "$model: $verdict ($(awk '/states, stored/ {print $1; exit}' "$work/run/pan.log") states)"
  [ "$verdict" = pass ] || status=1
  for name in $(sed -n 's/.*broken: \([A-Z_0-9]*\).*/\1/p' "$model"); do
    verdict=$(run_model "$model" "-D$name")
    echo "$model -D$name: $verdict"
    [ "$verdict" = violation ] || status=1
  done
done
exit $status
