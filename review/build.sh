#!/bin/sh
# Builds the stand-ins of the cases: they are plain Node modules without
# dependencies, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs besides/*.mjs; do
  node --check "$file"
done
