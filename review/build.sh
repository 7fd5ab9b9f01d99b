#!/bin/sh
# Builds what the cases start: the project's programs. The stand-ins in review/lib are plain JavaScript, which Node runs as it is.
cd "$(dirname "$0")/.." || exit 2
[ node_modules -nt package-lock.json ] || npm ci --silent || exit 2
npm run --silent build
