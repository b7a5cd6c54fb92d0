#!/bin/sh
# The example documents are valid.
set -eu
for file in examples/*.json; do
  build/tarragonctl check "$file"
done
