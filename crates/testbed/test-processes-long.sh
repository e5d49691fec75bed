#!/usr/bin/env bash
# Three hundred processes on each day of the large fleet at 0.6 and 0.8 of its load, on sockets and, beside all baselines,
# in the model; as many executors as they stay on time with; and the starved fleet again and again. Not for CI: some ten
# minutes, on a machine with nothing else to do. Ends with 1 if the module broke a rule or a day had no verdict.
set -uo pipefail
cd "$(dirname "$0")/../.."
rig=target/release/stileroute-testbed
out=${1:-target/long}
mkdir -p "$out"
code=0
# A day of the crates/testbed/experiments folder with more to it: its name, what it is called here, lines before its tables, lines after.
day() { printf 'extends = "%s"\nname = "%s"\n%s\n%s\n' "$PWD/crates/testbed/experiments/$1.toml" "$2" "$3" "$4" >"$out/$2.toml"; }
# Plays it in one way.
run() {
    $rig "$1" "$out/$2.toml" --out "$out/$2-$1.json" >"$out/$2-$1.txt"
    local ended=$?
    echo "== $2 ($1)"
    grep -E -A3 '^(stileroute|random|turn|least|two|seeing)' "$out/$2-$1.txt" | grep -vE '^(--|  rule|  MISSED|    (  )?[a-z]+ )'
    grep -E '^  rule' "$out/$2-$1.txt" | head -3
    [ $ended = 0 ] || { echo "not well: exit code $ended"; code=1; }
}
both='"load.part" = [0.6, 0.8]'
all='policy = ["stileroute", "random", "turn-by-turn", "least-in-flight", "two-choices", "seeing"]'
for name in fleet fleet-killed fleet-site-lost fleet-overbooked; do
    day $name "$name-loads" "" "[vary]
$all
$both"
    run sim "$name-loads"
    run play "$name-loads"
done
day fleet-wide wide "" ""
run sim wide
run play wide
for seed in 1 2 3 4 5 6; do
    day fleet-starved "starved-$seed" "seeds = [$seed]" ""
    run play "starved-$seed"
done
exit $code
