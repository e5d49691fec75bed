#!/usr/bin/env bash
# DRAIN at a core machine that was cut off; some 18 s. TROUBLE=0: the same without the cut. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/standins leave-at-a-cut-off-core review/3
