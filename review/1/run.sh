#!/usr/bin/env bash
# LOST after the restart of a store; some 105 s. TROUBLE=0: the same without the kill. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/standins store-restart-after-91-s review/1
