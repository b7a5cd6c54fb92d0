#!/bin/sh
# Renders the settings template of the users' platform with several sets of bounds and runs the daemon
# on each. Guards against bounds that the daemon rejects because they are fractions or missing, and
# against shutdown times that do not fit the platform's bounds: a request accepted too late after SIGTERM
# is aborted at the end of the drain (skurd-tarragon, hunt-56d9-3).
set -eu
build=${1:-build}
folder=$(mktemp -d)
# An address of its own, so that two runs of the checks on one machine do not meet.
address=127.77.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
pid=''
cleanup () {
  [ -z "$pid" ] || kill -KILL "$pid" 2> /dev/null || true
  rm -rf "$folder"
}
trap cleanup EXIT
fail () {
  echo "deploy: $*"
  exit 1
}
# render NAME=VALUE...: fills in the template, as DEPLOY.md of the platform describes
render () {
  script="s/[{][{]NodeName}}/edge-1/; s/[{][{]Zone}}/zone-1/; s/[{][{]Region}}/region-1/
    s/[{][{]Ip}}/$address/; s/[{][{]Listen.Front}}/$address:18610/
    s/[{][{]Listen.Ready}}/$address:18611/; s/[{][{]PortRange.0}}/18612/
    s/[{][{]Platform.Address}}/$address:18613/"
  for pair in "$@"; do
    name=${pair%%=*}
    script="$script
      s|[{][{][#/]Bounds.$name}}||g; s|[{][{]Bounds.$name}}|${pair#*=}|g"
  done
  # What is left belongs to bounds that the deployment does not state.
  sed "$script" deploy/settings.json.in | sed 's|[{][{]#\([A-Za-z.]*\)}}.*[{][{]/\1}}||g'
}
# number KEY: prints the value in force
number () { awk -v key="$1" '$1 == key {print $2}' "$folder/numbers"; }
# run_daemon GRACE-S: starts the daemon and stops it by SIGTERM, after which it has GRACE-S seconds
run_daemon () {
  "$build/tarragontrackd" --settings "$folder/settings.json" > "$folder/log" 2>&1 &
  pid=$!
  tries=400
  until grep -q edge-1 "$folder/log"; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || { cat "$folder/log"; fail "the daemon does not start with $*"; }
    sleep 0.05
  done
  kill -TERM "$pid"
  wait "$pid" || fail "the daemon ends with status $?"
  pid=''
}
# check GRACE-MS NAME=VALUE...: the bounds of a deployment
check () {
  grace_ms=$1
  shift
  render "$@" > "$folder/settings.json"
  "$build/tarragontrackd" --settings "$folder/settings.json" --check-settings > "$folder/numbers" ||
    fail "invalid settings with $*"
  announce=$(number drain.announce_ms)
  limit=$(number drain.limit_ms)
  [ "$announce" -le 2900 ] || fail "announce_ms is $announce: the maximum is 3000 - 100 ms"
  [ "$limit" -lt "$grace_ms" ] || fail "limit_ms is $limit: processes are killed after $grace_ms ms"
  [ "$announce" -lt "$limit" ] || fail "announce_ms is $announce: nothing is left until $limit ms"
  # Requests that the platform excuses are those still running in the last sixth of the grace period.
  [ $((limit * 6)) -ge $((grace_ms * 5)) ] || fail "limit_ms is $limit: requests are cut too early"
  run_daemon
}

check 8000 CapFactor=2 RetryBudgetRatio=0.2 BudgetSlack=630 BudgetWindowS=10 StableWindowMs=5000 \
  DrainMs=4000 GraceS=8
[ "$(number bounds.repeat_window_ms)" = 10000 ] || fail 'repeat_window_ms is not 10 s'
check 1500 CapFactor=1.75 RetryBudgetRatio=0.15 BudgetSlack=56.5 BudgetWindowS=2.5 \
  StableWindowMs=2500.5 DrainMs=1500.25 GraceS=1.5 NewBound=3
[ "$(number bounds.repeat_window_ms)" = 2500 ] || fail 'repeat_window_ms is not 2.5 s'
[ "$(number bounds.repeat_slack)" = 56.5 ] || fail 'repeat_slack is not 56.5'
check 20000 CapFactor=3 BudgetSlack=0 GraceS=20
[ "$(number bounds.repeat_slack)" = 0 ] || fail 'repeat_slack is not 0'
# An invalid bound is named, with the file and what was expected.
render CapFactor=0.5 GraceS=8 > "$folder/settings.json"
if "$build/tarragontrackd" --settings "$folder/settings.json" --check-settings 2> "$folder/error"; then
  fail 'a load factor below 1 is accepted'
fi
grep -q "settings.json.*bounds.load_factor: expected a number from 1 to 100" "$folder/error" ||
  fail "error without file, key or range: $(cat "$folder/error")"
