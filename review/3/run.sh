#!/usr/bin/env bash
# QUOTA after all machines with a disk were killed; some 29 s. TROUBLE=0: the same without the kills. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/standins quota-after-restart-of-all review/3
