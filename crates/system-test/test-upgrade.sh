#!/usr/bin/env bash
# Proves that a running fleet can be upgraded machine by machine from the program that landed before, and rolled back: builds both
# programs, and plays the upgrade under load.
set -euo pipefail
cd "$(dirname "$0")/../.."

# The last commit before the names in the code were changed: it defines the frames and the disk records that must not change.
LANDED_COMMIT=319f5e16d3001a35a80ef24a390cfcd2e5d7a9d3
SOURCE=target/landed-source
BUILD=target/landed

if ! git cat-file -e "$LANDED_COMMIT^{commit}" 2>/dev/null; then
  echo "test-upgrade: NOT RUN: commit $LANDED_COMMIT, whose program is the old one, is not in this clone;" \
    "fetch the whole history first: git fetch --unshallow" >&2
  exit 1
fi

# The name of the commit is written last, so that sources that were unpacked in part are unpacked anew.
if [ "$(cat "$SOURCE/.landed-commit" 2>/dev/null)" != "$LANDED_COMMIT" ]; then
  rm -rf "$SOURCE"
  mkdir -p "$SOURCE"
  git archive "$LANDED_COMMIT" | tar -x -C "$SOURCE"
  echo "$LANDED_COMMIT" > "$SOURCE/.landed-commit"
fi
cargo build --release --locked --manifest-path "$SOURCE/Cargo.toml" --target-dir "$BUILD" -p stileroute-server
cargo build --release --locked -p stileroute-server -p stileroute-system-test

exec target/release/stileroute-system-test prove-upgrade --landed "$BUILD/release/stilerouted" "$@"
