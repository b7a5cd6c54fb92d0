#!/bin/sh
# Runs all checks of the project, ordered so that a failure shows as early as possible. Called by
# .ci/run.
set -eu
cd "$(dirname "$0")/.."
jobs=${JOBS:-6}

step () { printf '== %s\n' "$*"; }

step packages
sh tools/install-packages.sh
step format
git ls-files -co --exclude-standard '*.c' '*.h' | xargs clang-format --dry-run -Werror
step build
cmake -S . -B build > /dev/null
cmake --build build -j "$jobs" > build/build.log 2>&1 || { tail -40 build/build.log; exit 1; }
step 'library symbols'
sh tools/check-symbols.sh build/libtarragontrack.a
step lint
sh tools/lint.sh build
for script in tools/checks/*.sh; do
  [ -e "$script" ] || continue
  step "$(basename "$script" .sh)"
  sh "$script"
done
step processes
sh tools/process-test.sh build
step smoke
sh tools/smoke.sh build "$(. tools/processes.sh; free_base)"
step crowds
sh tools/run-tests.sh build crowd
step soak
sh tools/soak.sh build 1 4
sh tools/soak.sh build 1 2 20 --planned
step 'tests with sanitizers'
cmake -S . -B build-check -DTT_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug > /dev/null
cmake --build build-check -j "$jobs" > build-check/build.log 2>&1 || {
  tail -40 build-check/build.log
  exit 1
}
sh tools/run-tests.sh build-check
