#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are plain JavaScript and need no
# build step; the entry is built by the `build` line of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in stand_ins/*.js [0-9]*/run.js; do
  node --check "$file"
done
