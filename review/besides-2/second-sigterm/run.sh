#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -f ../../../target/jackdawfalld.cjs ] || exit 2
exec node run.mjs
