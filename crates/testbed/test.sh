#!/usr/bin/env bash
# The proof of the rig: a socket day and a simulated day with overlapping faults keep the rules, wrong policies are
# caught, and the same day gives the same report in one thread and in eight. Wants a release build; under a minute.
set -euo pipefail
cd "$(dirname "$0")/../.."
begun=$SECONDS
rig=target/release/stileroute-testbed
here=$(mktemp -d)
trap 'rm -rf "$here"' EXIT
$rig play crates/testbed/experiments/prove-sockets.toml --out "$here/sockets.json" | tee "$here/sockets" &
sockets=$!
$rig sim crates/testbed/experiments/overlap-all.toml --threads 1 --out "$here/one.json" >"$here/one"
$rig sim crates/testbed/experiments/overlap-all.toml --threads 8 --out "$here/eight.json" >"$here/eight"
cmp "$here/one.json" "$here/eight.json"
cargo test --release --locked -q -p stileroute-testbed --test judge >"$here/judge" 2>&1 || { cat "$here/judge"; exit 1; }
wait "$sockets"
benefit() { grep -m1 -o '^stileroute .*benefit [0-9.]*' "$1" | grep -o '[0-9.]*$'; }
caught=$(grep -c '^        (Wrong::' crates/testbed/tests/judge.rs)
echo "test-testbed: benefit $(benefit "$here/sockets") on sockets, $(benefit "$here/one") simulated, no rule broken," \
    "$caught wrong policies caught, same report in 1 and 8 threads, $((SECONDS - begun)) s"
