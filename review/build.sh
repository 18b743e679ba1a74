#!/usr/bin/env bash
# Bundles the scripts of the cases and their stand-ins into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.ts review/stand-ins/*-process.ts; do
	[ -e "$source" ] || continue
	name=$(basename "$(dirname "$source")")
	[ "$name" = stand-ins ] && name=$(basename "$source" .ts) || name=case-$name
	node_modules/.bin/esbuild "$source" --bundle --platform=node --format=cjs --target=node20 --log-level=warning \
		--alias:msgpackr-extract=./scripts/unavailable-module.cjs --outfile="target/review/$name.cjs"
done
