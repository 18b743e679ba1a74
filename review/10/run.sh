#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 112 node "$folder/../../target/review-2/case-$(basename "$folder").mjs" "$folder"
case $? in
	0) exit 0 ;;
	# Node.js itself ends with 1 if it can't run the script.
	3) exit 1 ;;
	*) exit 2 ;;
esac
