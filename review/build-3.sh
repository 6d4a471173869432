#!/bin/sh
# Builds the stand-ins and clients of cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p $out
for n in 11 12 13 14 15; do
	[ -f review/$n/case.c ] || continue
	gcc -D_GNU_SOURCE -std=gnu11 -Wall -Wextra -O2 -g -pthread \
	    -Ireview/rig-3 -o $out/case-$n review/$n/case.c \
	    review/rig-3/rig.c -ljansson
done
