#!/usr/bin/env bash
# Bundles the scripts of cases 6 to 10 with their stand-ins into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
	node_modules/.bin/esbuild "review/$case/run.ts" --bundle --platform=node --format=esm --target=node20 --log-level=warning \
		--outfile="target/review-2/case-$case.mjs"
done
