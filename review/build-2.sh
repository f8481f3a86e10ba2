#!/bin/bash
# Builds the stand-ins that the scripts in review/6 to review/10 start. Runs after the
# build of deploy/system.toml and needs no network and no development dependency.
set -eu
cd "$(dirname "$0")/.."
npx --no-install tsc -p review/tsconfig-2.json
