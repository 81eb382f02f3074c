#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain modules that need no build. Checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib-3/harness.js 11/case.js 12/case.js 13/case.js 14/case.js 15/case.js; do
	[ ! -e "$file" ] || node --check "$file"
done
