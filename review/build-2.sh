#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the daemons. Their
# stand-ins are plain Node modules without dependencies, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in kit-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  node --check "$file"
done
