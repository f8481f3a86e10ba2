#!/bin/bash
# The stand-ins are plain modules without libraries, so nothing is compiled: checks
# that they parse and that the program of the deploy file has been built.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
[ -e ../target/bundle/main.js ] || { echo 'target/bundle/main.js is missing: run the build of deploy/system.toml first' >&2; exit 1; }
