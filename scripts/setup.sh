#!/usr/bin/env bash
# Installs the npm packages unless those of the current lock file are already installed.
set -euo pipefail
cd "$(dirname "$0")/.."
exec 9>.setup.lock
flock 9
stamp=node_modules/.cicadapost-lock
if ! cmp -s package-lock.json "$stamp"; then
	npm ci --no-audit --no-fund --prefer-offline >&2
	cp package-lock.json "$stamp"
fi
