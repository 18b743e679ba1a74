#!/usr/bin/env bash
# The one test command: lint, build, unit and process tests, fixed-seed fuzz runs, models.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
npm run --silent lint
npm run --silent build
npm run --silent unit
if [ -f packages/fuzz/src/main.ts ]; then npm run --silent fuzz; fi
if [ -f packages/model/src/main.ts ]; then npm run --silent model; fi
