#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
node play.js
code=$?
grep -qs 'verdict: ' record.txt || exit 2
exit "$code"
