#!/usr/bin/env bash
# TWICE for keys after a store was added; some 105 s. TROUBLE=0: the same without the new store. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/standins key-after-a-store-is-added review/2
