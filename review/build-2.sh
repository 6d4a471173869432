#!/bin/sh
# Builds the programs of review/6 to review/10, into build/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for n in 6 7 8 9 10; do
	[ -f "review/$n/case.c" ] || continue
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread \
		-Ireview/rig-2 -o "build/review-2/case$n" \
		"review/$n/case.c" review/rig-2/rig.c -ljansson -lsodium
done
