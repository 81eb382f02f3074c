#!/bin/bash
# Checks the stand-ins and scripts of the cases 6 to 10, which need no build of their own: they run as they are, with Node.js alone.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do
	[ ! -e "$file" ] || node --check "$file" || exit 1
done
