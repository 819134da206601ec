#!/bin/sh
# The stand-ins of cases 6 to 10 are plain modules that need Node alone: there
# is nothing to compile, so they are only checked for syntax errors.
set -e
cd "$(dirname "$0")"
for module in harness-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -f "$module" ]; then node --check "$module"; fi
done
