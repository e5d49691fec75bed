#!/usr/bin/env bash
# Three hundred processes on each day of the large fleet, on sockets and in the model, and the starved fleet again and
# again. Not for CI: about ten minutes, and the machine should have nothing else to do. Ends with 1 if a rule was broken.
set -uo pipefail
cd "$(dirname "$0")/.."
rig=target/release/stileroute-rig
out=${1:-target/long}
mkdir -p "$out"
code=0
for day in fleet fleet-killed fleet-site-lost fleet-overbooked fleet-wide; do
    for how in play sim; do
        $rig $how "rig/experiments/$day.toml" --out "$out/$day-$how.json" | tee "$out/$day-$how.txt" | grep -A3 '^stileroute'
        [ "${PIPESTATUS[0]}" = 0 ] || { echo "$day ($how): not well"; code=1; }
    done
done
for seed in 1 2 3 4 5 6; do
    sed "s/^name = .*/name = \"starved-$seed\"\nseeds = [$seed]/; s|^extends = \"|&$PWD/rig/experiments/|" \
        rig/experiments/fleet-starved.toml >"$out/starved-$seed.toml"
    $rig play "$out/starved-$seed.toml" | grep -A3 '^stileroute'
    [ "${PIPESTATUS[0]}" = 0 ] || { echo "starved, seed $seed: not well"; code=1; }
done
exit $code
