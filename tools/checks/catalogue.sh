#!/bin/sh
# Checks that the catalogues in docs/ list the same events, counters and keys as the code.
set -eu
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
status=0

# compare NAME CODE PAGE: prints the differences between the list in the file CODE and the list in PAGE
compare () {
  if ! diff "$2" "$3" > "$work/diff"; then
    echo "$1: < only in the code, > only in the page"
    grep '^[<>]' "$work/diff"
    status=1
  fi
}

tr '\n' ' ' < src/tarragontrack/board/logevent_defs.h | grep -oE 'X \([A-Z_]+, *[0-9]+, *[A-Z]+\)' |
  sed -E 's/X \(([A-Z_]+), *([0-9]+), *([A-Z]+)\)/\2 \3 \1/' | sort > "$work/events.code"
awk -F'|' '$2 ~ /^ [0-9]+ $/ {gsub (/ /, "", $0); split ($0, f, "|"); print f[2], f[3], f[4]}' \
  docs/events.md | sort > "$work/events.page"
compare 'log events' "$work/events.code" "$work/events.page"

grep -oE '"tarragontrack_[a-z_]+"' src/tarragontrack/board/counter_defs.h | tr -d '"' | sort -u > "$work/counters.code"
grep -oE '^\| `tarragontrack_[a-z_]+`' docs/counters.md | tr -d '|` ' | sort -u > "$work/counters.page"
compare 'counters' "$work/counters.code" "$work/counters.page"

# Checks that the sources use each event and counter.
sed -E 's/.* //' "$work/events.code" | while read -r name; do
  grep -rqE "TT_LOG_$name\b" src --include='*.c' || echo "event $name is never raised"
done > "$work/unused"
grep -oE 'X \([A-Z_]+,' src/tarragontrack/board/counter_defs.h | tr -d 'X (,' | while read -r name; do
  grep -rqE "TT_COUNT_$name\b" src --include='*.c' || echo "counter $name is never raised"
done >> "$work/unused"
if [ -s "$work/unused" ]; then cat "$work/unused"; status=1; fi

build/test/print_keys | sort > "$work/keys.code"
sed -nE 's/^\| `([a-z]+\.[a-z_0-9]+)`.*/\1/p' docs/operations/document.md docs/operations/settings.md |
  sort > "$work/keys.page"
compare 'document and settings keys' "$work/keys.code" "$work/keys.page"
exit $status
