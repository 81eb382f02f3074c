#!/usr/bin/env bash
# Builds the project's stand-ins, which the scripts of the cases start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc --build packages/standins/tsconfig.build.json
