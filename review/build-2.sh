#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  [ -e "review/$number/case.c" ] || continue
  ${CC:-cc} -D_GNU_SOURCE -O1 -g -Wall -Wextra -Ireview/rig-2 $(pkg-config --cflags json-c) \
    -o "target/review-2/case$number" "review/$number/case.c" review/rig-2/*.c \
    $(pkg-config --libs json-c) -pthread
done
