#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out; rig_open() in ../rig/rig.c reads it.
cd "$(dirname "$0")" || exit 2
exec ../bin/case-4
