#!/bin/sh
# Validates the example documents.
set -eu
for file in examples/*.json; do
  build/tarragonctl check "$file"
done
