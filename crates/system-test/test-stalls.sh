#!/usr/bin/env bash
# Builds the daemon with stalls of its disk, tests that its log waits for them, and plays lost disks, restarts and kills of all stores
# whose disks stall meanwhile. Each of the seeds kills all stores within a stall, one of them twice.
set -euo pipefail
cd "$(dirname "$0")/../.."

# Apart from the builds without the feature, which must not be replaced by this one.
BUILD=target/stalled-disk

cargo test --locked --target-dir "$BUILD" -p stileroute-wal --features stalled-disk --test scheduled_stalls
cargo build --release --locked --target-dir "$BUILD" -p stileroute-server --features stalled-disk
cargo build --release --locked -p stileroute-system-test

if [ $# -eq 0 ]; then
  set -- --seed 1418 --seeds 3 --jobs 3 --faults 2 --keys
fi
exec target/release/stileroute-system-test prove-losses --stalls --stilerouted "$BUILD/release/stilerouted" "$@"
