#!/usr/bin/env bash
# Bundles the scripts of cases 11 to 15 with their stand-ins into target/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/1[1-5]/case.ts; do
	[ -f "$script" ] || continue
	node_modules/.bin/esbuild "$script" --bundle --platform=node --format=esm --target=node20 --log-level=warning \
		--main-fields=module,main --alias:msgpackr-extract=./scripts/unavailable-module.cjs \
		--banner:js='import {createRequire} from "node:module"; const require = createRequire(import.meta.url);' \
		--outfile="target/review-3/case-$(basename "$(dirname "$script")").mjs"
done
