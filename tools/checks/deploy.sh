#!/bin/sh
# Checks that the shutdown times in the settings template for the users' platform stay within that
# platform's bounds. Guards against a request that is accepted too late after SIGTERM and is aborted at
# the end of the drain (skurd-tarragon, hunt-56d9-3).
set -eu
value () { # NAME: prints the number after "NAME": in the template
  sed -n "s/.*\"$1\": *\([0-9]*\).*/\1/p" deploy/settings.json.in
}
announce=$(value announce_ms)
limit=$(value limit_ms)
[ "$announce" -le 2900 ] || { echo "announce_ms is $announce: the maximum is 3000 - 100 ms"; exit 1; }
[ "$limit" -lt 8000 ] || { echo "limit_ms is $limit: processes are killed after 8000 ms"; exit 1; }
