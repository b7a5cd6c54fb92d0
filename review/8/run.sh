#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x "target/review-2/case$number" ] && [ -x target/tarragontrackd ] || exit 2
exec "target/review-2/case$number" "$folder" target/tarragontrackd
