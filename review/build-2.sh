#!/bin/sh
# Builds the project's stand-ins, which the scripts in review/6 to review/10 start in their own process, into
# target/review-2/. To be run after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec node_modules/.bin/esbuild packages/standins/src/index.ts --bundle --platform=node --format=esm --target=node20 --log-level=warning \
	--outfile=target/review-2/standins.js
