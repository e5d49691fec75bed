#!/bin/sh
# Builds the stand-ins of the second review into target/review-2: the standard library alone, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2021 -O "$source" -o "target/review-2/$name"
done
