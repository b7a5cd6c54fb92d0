#!/bin/sh
# Runs the fuzzer of each decoder for a fixed number of inputs from a fixed seed. Address randomisation,
# the timed reload of the corpus and environment variables would change the generated inputs, so the
# first two are disabled and the environment is empty.
set -eu
build=build-fuzz
CC=clang cmake -S . -B "$build" -DTT_FUZZ=ON -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build "$build" -j "${JOBS:-6}" --target fuzzers > "$build/build.log" 2>&1 || {
  tail -40 "$build/build.log"
  exit 1
}
status=0
run () { # NAME INPUTS
  corpus=$build/corpus-$1
  rm -rf "$corpus"
  mkdir "$corpus"
  if env -i setarch -R "$build/$1_fuzz" -seed=1 -reload=0 -runs="$2" -max_len=4096 -timeout=10 -rss_limit_mb=1024 \
      -artifact_prefix="$build/$1-" "$corpus" "test/fuzz/corpus/$1" > "$build/$1.log" 2>&1; then
    grep -E '^Done|DONE' "$build/$1.log" | sed "s/^/$1: /"
  else
    status=1
    echo "$1: failed, inputs are in $build/$1-*"
    tail -40 "$build/$1.log"
  fi
}
run settings 150000
run document 150000
run peer 300000
run object 200000
run store 150000
run dialect 150000
run request_scan 150000
exit $status
