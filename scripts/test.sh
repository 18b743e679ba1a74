#!/usr/bin/env bash
# Runs all checks, locally and in CI: lint, build, unit and process tests, fixed-seed fuzz runs, models.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
npm run --silent lint
npm run --silent build
npm run --silent unit
npm run --silent fuzz -- --runs 80 --known-red KNOWN-RED.txt
npm run --silent model
npm run --silent unit:isolated
