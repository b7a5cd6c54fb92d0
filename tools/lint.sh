#!/bin/sh
# Runs clang-tidy on all sources that the build compiles. Skips a file if it passed before and its
# content, all headers and the configuration are unchanged.
set -eu
build=${1:-build}
cache=${TT_LINT_CACHE:-$build/lint-cache}
mkdir -p "$cache"
config_hash=$(cat .clang-tidy $(git ls-files '*.h') | sha256sum | cut -c1-16)
export cache config_hash build
git ls-files -co --exclude-standard 'src/*.c' 'test/*.c' 'bench/*.c' 'examples/*.c' |
  while read -r file; do
    [ ! -e "$file" ] || ! grep -q "/$file\"" "$build/compile_commands.json" || echo "$file"
  done |
  xargs -P 6 -I{} sh -c '
    key="$cache/$(echo "$config_hash {}" | cat - {} | sha256sum | cut -c1-32)"
    [ -e "$key" ] || { clang-tidy --quiet -p "$build" {} 2> /dev/null && touch "$key"; }'
