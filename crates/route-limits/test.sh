#!/usr/bin/env bash
# Tests the routes: invalid files are rejected, the check at load agrees with every possible request of a small platform,
# budgets contain a retry storm, and files are reloaded under load. Uses a release build; takes less than a minute.
set -euo pipefail
cd "$(dirname "$0")/../.."
started=$SECONDS
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
run() { cargo test --release --locked -q -p "$1" --test "$2" -- --nocapture >"$logs/$1-$2" 2>&1 || { cat "$logs/$1-$2"; exit 1; }; }
run stileroute-route-limits files
run stileroute-route-limits safe
run stileroute-testbed routes
run stileroute-node routes
# A printed figure may share its line with the test runner's progress dots, so it is cut out of the line.
figure() { grep -ho "$1" "$logs"/* | head -1; }
echo "test-routes: $(figure '[0-9]* bad files refused'), $(figure '[0-9]* random files loaded and [0-9]* refused')," \
    "$(figure '[0-9]* further pushes after one that may have run, [0-9]* copies, none forbidden')," \
    "storm $(figure '[0-9.]* pushes an op without a budget, [0-9.]* with one on each route'), $((SECONDS - started)) s"
