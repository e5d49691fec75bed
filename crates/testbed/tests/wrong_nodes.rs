//! Stand-ins for nodes, as processes, that are wrong on purpose: the judge of a day on sockets finds each out, and finds
//! nothing where they are right.

use stileroute_testbed::experiment::read;
use stileroute_testbed::no_verdict_log;
use stileroute_testbed::play::play;
use stileroute_testbed::report::Played;

/// A play on a machine that is too busy has no verdict: then the day is played again, at most so often in all. What the judge finds is
/// asserted of the first play with a verdict.
const PLAYS: usize = 3;

fn day(wrong: &str) -> Played {
    let text = "name = 'day'\nseconds = 6.0\nseeds = [1]\n[fleet]\ndomains = ['a', 'b']\ngrace-ms = 500.0\n\
        [fleet.list]\nlate-s = [0.1, 0.2]\n[[fleet.kind]]\nname = 'k'\ncount = 6\nslots = 3.0\nspeed = [1.0, 1.0]\n\
        [nodes]\ncount = 8\n[load]\nper-second = 50.0\n[[category]]\nname = 'c'\npart = 1.0\nwork-ms = 100.0\n\
        spread = 0.2\ntarget-ms = 900.0\nttl-ms = 4000.0\neffect = 'redeliverable'\n\
        [[fault]]\nwhat = 'release'\non = 'part:0.5'\nfrom-s = 1.0\nfor-s = 4.5\n";
    // A script sets what the stand-in does: all of a day's processes are started with one environment.
    let script = std::env::temp_dir().join(format!("stileroute-wrong-{wrong}-{}.sh", std::process::id()));
    std::fs::write(
        &script,
        format!("#!/bin/sh\nWRONG={wrong} exec {}\n", env!("CARGO_BIN_EXE_stileroute-wrong-node")),
    )
    .unwrap();
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    let plan = read("day.toml", text).unwrap().plan;
    let mut played = play(&plan, 1, &script).unwrap();
    for _ in 1..PLAYS {
        let Some(reason) = &played.no_verdict else { break };
        eprintln!("{wrong}, played again: {reason}");
        no_verdict_log::list_played_again(&format!("wrong_nodes {wrong}"), reason);
        played = play(&plan, 1, &script).unwrap();
    }
    std::fs::remove_file(&script).unwrap();
    assert!(played.no_verdict.is_none(), "{wrong}: {:?}", played.no_verdict);
    played
}

#[test]
fn the_judge_finds_out_who_herds_who_has_an_old_list_and_who_sends_twice() {
    let all = ["right", "herds", "old-list", "twice"].map(|wrong| std::thread::spawn(move || day(wrong)));
    let [right, herds, old, twice] = all.map(|day| day.join().unwrap());
    let rules = |played: &Played| {
        let mut rules: Vec<u8> = played.broken.iter().map(|broken| broken.rule).collect();
        rules.dedup();
        rules
    };
    assert_eq!(rules(&right), [0; 0], "{:?}", right.broken.first());
    assert_eq!((right.together.stale.all(), right.together.overlap_ms), (0, 0.0), "{:?}", right.together);
    assert!(right.together.peak[1] < 6.0 && right.together.misplaced < 0.25, "{:?}", right.together);
    assert!(
        herds.together.peak[1] > 1.5 * right.together.peak[1],
        "{:?} {:?}",
        herds.together.peak,
        right.together.peak
    );
    assert!(herds.together.misplaced > 2.0 * right.together.misplaced, "{:?}", herds.together.misplaced);
    assert!(old.together.stale.draining > 0 && rules(&old).contains(&3), "{:?}", old.together.stale);
    assert!(
        twice.together.overlap_ms > 50.0 && rules(&twice).contains(&2),
        "{:?}",
        twice.together.overlap_ms
    );
    assert!(!twice.together.overlap.is_empty());
}
