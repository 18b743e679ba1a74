#!/usr/bin/env bash
# Runs packages/<tool>/src/main.ts with the remaining arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
tool=$1
shift
exec node --import tsx "packages/$tool/src/main.ts" "$@"
