#!/usr/bin/env bash
# Prepares what the scripts of this review start besides the daemon: the
# stand-ins are plain modules without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs besides-3/*/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
