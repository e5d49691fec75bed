#!/usr/bin/env bash
# The proof with many processes: a hundred and twenty of the program, with sets of them, ways, discovery and what they keep
# broken, come to what the day expects; the model comes near it; and stand-ins for nodes that are wrong are found out.
# Wants a release build; under 55 s.
set -euo pipefail
cd "$(dirname "$0")/../.."
begun=$SECONDS
rig=target/release/stileroute-testbed
here=$(mktemp -d)
trap 'rm -rf "$here"' EXIT
# The last line tells what was missed, not only that something was.
say() {
    cat "$here/$1"
    why=$(grep -m2 -oE '(MISSED|rule [0-9] broken|error|stileroute-testbed: ).*' "$here/$1" | paste -sd';' || true)
    echo "test-processes: $2${why:+ ($why)}"
    exit 1
}
# Lists a play without a verdict for the end of CI.
list() {
    echo "$1 $(grep -m1 -o 'NO VERDICT: .*' "$here/$2" | cut -c13-)" >>"${NO_VERDICT_LOG:-/dev/null}"
}
# A machine too busy for the bounds that count time gives no verdict, and the reason; that is neither a yes nor a no.
none() {
    list "NO VERDICT test-processes $1:" "$1"
    echo "test-processes: NO VERDICT: $(grep -m1 -o 'NO VERDICT: .*' "$here/$1" | cut -c13-)"
    [ "${PROVE_ALLOW_NO_VERDICT:-}" = 1 ] && exit 0
    exit 3
}
day=crates/testbed/experiments/prove-processes.toml
code=0
$rig play "$day" >"$here/play" 2>&1 || code=$?
if [ "$code" = 3 ]; then
    list "PLAYED AGAIN test-processes:" play
    code=0
    $rig play "$day" >"$here/play" 2>&1 || code=$?
fi
[ "$code" != 3 ] || none play
[ "$code" = 0 ] || say play "the day on sockets is not what it should be"
$rig sim "$day" >"$here/sim" || say sim "the day in the model is not what it should be"
stand_in() {
    WRONG=$1 $rig play crates/testbed/experiments/wrong-nodes.toml --node target/release/stileroute-wrong-node \
        >"$here/$1" 2>&1 && echo 0 >"$here/$1.code" || echo $? >"$here/$1.code"
}
stand_ins="right herds old-list twice"
for wrong in $stand_ins; do stand_in "$wrong" & done
wait
# Each is a day of its own, and each may have no verdict: 3 is not "not found out". Once more, with nothing beside it.
for wrong in $stand_ins; do
    if [ "$(cat "$here/$wrong.code")" = 3 ]; then
        list "PLAYED AGAIN test-processes $wrong:" "$wrong"
        stand_in "$wrong"
    fi
    [ "$(cat "$here/$wrong.code")" != 3 ] || none "$wrong"
done
[ "$(cat "$here/right.code")" = 0 ] || say right "a stand-in that is right is found wrong"
for found in 'herds:MISSED peak' 'old-list:MISSED stale decisions' 'twice:MISSED longest overlap' \
    'old-list:rule 3 broken' 'twice:rule 2 broken'; do
    wrong=${found%%:*}
    [ "$(cat "$here/$wrong.code")" = 1 ] || say "$wrong" "a stand-in that is wrong ($wrong) is not found out"
    grep -q "  ${found#*:}" "$here/$wrong" || say "$wrong" "of a stand-in ($wrong) it is not said: ${found#*:}"
done
benefit() { grep -m1 -o 'benefit [0-9.]*' "$here/$1" | grep -o '[0-9.]*$'; }
grep -A3 '^stileroute' "$here/play"
echo "test-processes: 120 processes, benefit $(benefit play) on sockets, $(benefit sim) simulated, no rule broken, three" \
    "wrong stand-ins found, $((SECONDS - begun)) s"
