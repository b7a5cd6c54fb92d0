#!/bin/sh
# Checks that the embeddable library does not use the event loop, sockets, clocks, entropy, threads or
# logging, and has no mutable static data. Usage: check-symbols.sh ARCHIVE
set -eu
archive=$1
status=0
forbidden=$(nm -u "$archive" | awk '$1 == "U" {print $2}' | sort -u | grep -E \
  '^(uv_|h2o_|zmq_|log4c_|curl_|json_|msgpack_|pthread_|clock_|gettimeofday|time$|socket$|connect$|send|recv|getrandom|getentropy|rand|srand|random|open$|fopen|read$|write$|printf$|puts$|fork|exec)' || true)
if [ -n "$forbidden" ]; then
  echo "$archive uses: $forbidden"
  status=1
fi
# Constant tables of pointers are placed in .data.rel.ro, which is read-only after relocation.
mutable_data=$(nm -f sysv "$archive" | awk -F'|' '{gsub (/ /, "", $7); if ($7 ~ /^(\.data|\.bss|\.tdata|\.tbss|\*COM\*)/ && $7 !~ /^\.data\.rel\.ro/) print $1}' || true)
if [ -n "$mutable_data" ]; then
  echo "$archive has mutable static data: $mutable_data"
  status=1
fi
exit $status
