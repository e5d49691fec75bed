#!/usr/bin/env bash
# The proof of the routes: bad files refused, the check held against every request of a small world, a retry storm held
# by its budgets, new files under load. Wants a release build; under a minute.
set -euo pipefail
cd "$(dirname "$0")/../.."
begun=$SECONDS
here=$(mktemp -d)
trap 'rm -rf "$here"' EXIT
run() { cargo test --release --locked -q -p "$1" --test "$2" -- --nocapture >"$here/$1-$2" 2>&1 || { cat "$here/$1-$2"; exit 1; }; }
run stileroute-route-limits files
run stileroute-route-limits safe
run stileroute-testbed routes
run stileroute-node routes
# The printed figures may share a line with the runner's dots.
told() { grep -ho "$1" "$here"/* | head -1; }
echo "test-routes: $(told '[0-9]* bad files refused'), $(told '[0-9]* random files loaded and [0-9]* refused')," \
    "$(told '[0-9]* further pushes after one that may have run, [0-9]* copies, none forbidden')," \
    "storm $(told '[0-9.]* pushes an op without a budget, [0-9.]* with one on each route'), $((SECONDS - begun)) s"
