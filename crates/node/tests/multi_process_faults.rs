//! Several processes of the program, with faults between them, under the rig's judge. Each fault is played beside the same
//! day without it, so that it is seen to have come to pass.

use std::path::Path;
use std::sync::{Condvar, Mutex};
use stileroute_testbed::experiment::read;
use stileroute_testbed::no_verdict_log;
use stileroute_testbed::plan::Plan;
use stileroute_testbed::play::play;
use stileroute_testbed::report::Played;

fn plan(nodes: &str, list: &str, faults: &str) -> Plan {
    // Two sides that hold each other dead look for each other every five seconds.
    let seconds = if nodes.contains("members") { 20.0 } else { 6.0 };
    let text = format!(
        "name = 'day'\nseconds = {seconds:?}\nseeds = [1]\n[fleet]\ndomains = ['a', 'b']\nfar-ms = 2.0\ngrace-ms = 500.0\n\
         [fleet.list]\nlate-s = [0.1, 0.2]\n{list}\n[[fleet.kind]]\nname = 'k'\ncount = 6\nslots = 4.0\n\
         speed = [1.0, 1.2]\n[nodes]\n{nodes}\n[load]\nper-second = 60.0\n[[category]]\nname = 'c'\npart = 1.0\n\
         work-ms = 60.0\nspread = 0.3\nhint = 0.2\ntarget-ms = 500.0\nttl-ms = 3000.0\neffect = 'redeliverable'\n{faults}"
    );
    read("day.toml", &text).unwrap_or_else(|wrong| panic!("{wrong}")).plan
}

/// Days that are played at once on a machine with twice as many processors or more.
const DAYS_AT_ONCE: usize = 10;

/// How often a day is played again, with no other beside it, when the machine was too busy for a verdict.
const PLAYED_AGAIN: usize = 3;

/// The days that may begin now, over all tests; none before the first has asked.
static FREE_DAYS: (Mutex<Option<usize>>, Condvar) = (Mutex::new(None), Condvar::new());

/// A day has ten processes or more: two processors for each day.
fn days_at_once() -> usize {
    let processors = std::thread::available_parallelism().map_or(2, usize::from);
    (processors / 2).clamp(2, DAYS_AT_ONCE)
}

/// Leave to play, given back when it is dropped.
struct Leave {
    days: usize,
}

impl Leave {
    /// Waits until so many days more may be played.
    fn wait_for(days: usize) -> Leave {
        let free = FREE_DAYS.0.lock().unwrap();
        let mut free =
            FREE_DAYS.1.wait_while(free, |free| *free.get_or_insert_with(days_at_once) < days).unwrap();
        *free = free.map(|free| free - days);
        Leave { days }
    }
}

impl Drop for Leave {
    fn drop(&mut self) {
        let mut free = FREE_DAYS.0.lock().unwrap();
        *free = free.map(|free| free + self.days);
        FREE_DAYS.1.notify_all();
    }
}

/// Plays one day. One that has no verdict says nothing of the program: it is played again alone, and fails if it never has one.
fn day(nodes: &str, list: &str, faults: &str) -> Played {
    let mut played = {
        let _beside_others = Leave::wait_for(1);
        one_day(nodes, list, faults)
    };
    for _ in 0..PLAYED_AGAIN {
        let Some(reason) = &played.no_verdict else { break };
        eprintln!("no verdict, played again alone: {reason}\n{faults}");
        no_verdict_log::list_played_again("processes", reason);
        let _alone = Leave::wait_for(days_at_once());
        played = one_day(nodes, list, faults);
    }
    assert!(played.no_verdict.is_none(), "{faults}: {:?}", played.no_verdict);
    played
}

/// Plays one day once. A rule that is broken while there is a verdict fails at once.
fn one_day(nodes: &str, list: &str, faults: &str) -> Played {
    let played = play(&plan(nodes, list, faults), 1, Path::new(env!("CARGO_BIN_EXE_stileroute"))).unwrap();
    assert!(
        played.no_verdict.is_some() || played.broken.is_empty(),
        "{faults}: {:#?}",
        played.broken.first()
    );
    played
}

/// Plays some days side by side, each with its own processes.
fn days<const N: usize>(days: [(&'static str, &'static str, String); N]) -> [Played; N] {
    days.map(|(nodes, list, faults)| std::thread::spawn(move || day(nodes, list, &faults)))
        .map(|day| day.join().unwrap())
}

fn fault(what: &str, from_s: f64, for_s: f64) -> String {
    format!("[[fault]]\nwhat = '{what}'\nfrom-s = {from_s:?}\nfor-s = {for_s:?}\n")
}

const TEN: &str = "count = 10";

#[test]
fn sets_of_nodes_go_together_and_come_back_side_by_side() {
    let killed = format!("{}nodes = 'part:0.7'\n", fault("node-killed", 1.5, 1.0));
    let spread = format!("{}nodes = 'domain:a'\nspread-s = 1.5\n", fault("node-killed", 1.5, 1.0));
    let site = format!("{}on = 'domain:b'\n", fault("site-lost", 1.5, 2.0));
    let stopped = format!("{}nodes = 'part:0.5'\n", fault("node-stopped", 1.0, 4.0));
    let replaced = format!("{}nodes = 'all'\n", fault("node-replaced", 1.0, 4.5));
    let paused = format!("{}nodes = 'part:0.5'\n", fault("node-paused", 2.0, 1.0));
    let [killed, spread, site, stopped, replaced, paused, calm] = days([
        (TEN, "", killed),
        (TEN, "", spread),
        ("count = 10\nfront-ms = 300.0", "replicas = 2", site),
        (TEN, "", stopped),
        ("count = 10\nkeep = true", "", replaced),
        (TEN, "", paused),
        (TEN, "", String::new()),
    ]);
    // One after the other seven starts would take seven times as long as one.
    assert_eq!(killed.together.restarted, 7);
    assert!(killed.together.restarted_within < 1.0, "{}", killed.together.restarted_within);
    assert_eq!(spread.together.restarted, 5);
    assert!((1.0..2.5).contains(&spread.together.restarted_within), "{}", spread.together.restarted_within);
    assert_eq!((site.together.restarted, site.together.came_back), (5, true));
    assert!(site.benefit > 0.7 && site.benefit < calm.benefit, "{} {}", site.benefit, calm.benefit);
    assert_eq!((stopped.together.restarted, replaced.together.restarted), (5, 10));
    assert!(replaced.benefit > 0.97 && stopped.benefit > 0.97, "{} {}", replaced.benefit, stopped.benefit);
    assert!(paused.benefit < calm.benefit - 0.03, "{} {}", paused.benefit, calm.benefit);
    assert_eq!((calm.together.restarted, calm.together.stale.all()), (0, 0));
}

/// Lines of the log that say so.
fn said(played: &Played, word: &str) -> usize {
    played.log.iter().filter(|line| line.contains(word)).count()
}

#[test]
fn a_set_of_nodes_reads_its_configuration_again() {
    let reload = format!("{}nodes = 'part:0.5'\n", fault("node-reload", 1.5, 4.0));
    let [reload] = days([(TEN, "", reload)]);
    // Five of ten, when the fault begins and when it ends; the rest keep theirs.
    assert_eq!(said(&reload, "configuration read again"), 10);
    assert!(reload.benefit > 0.97 && reload.together.restarted == 0, "{}", reload.benefit);
}

#[test]
fn a_partition_between_nodes_is_seen_by_both_sides_and_heals() {
    const MEMBERS: &str = "count = 12\nmembers-ms = 200.0";
    let cut = format!("{}on = 'domain:b'\n", fault("domain-cut", 1.0, 4.8));
    let lost = format!("{}between = 'nodes'\npart = 0.2\n", fault("loss", 0.0, 19.0));
    let deaf = format!("{}between = 'nodes'\nnodes = 'node:7'\n", fault("deaf", 1.0, 18.0));
    let [cut, lost, deaf, calm] =
        days([(MEMBERS, "", cut), (MEMBERS, "", lost), (MEMBERS, "", deaf), (MEMBERS, "", String::new())]);
    // Six on each side; budgets on cold executors go on by twelve.
    assert!(said(&cut, "members: 6 live, 12 may be sending") >= 10, "{:#?}", cut.log);
    // Each has counted twelve at the start, and again when the partition was over.
    assert!(said(&cut, "members: 12 live, 12 may be sending") >= 24, "{:#?}", cut.log);
    assert!(said(&deaf, "members: 11 live, 12 may be sending") >= 10, "{:#?}", deaf.log);
    // With a fifth of all messages lost a suspicion may be held for true, and is taken back.
    assert!(said(&lost, "members: 12 live, 12 may be sending") >= 12, "{:#?}", lost.log);
    assert_eq!(said(&calm, "members: 12 live, 12 may be sending"), 12, "{:#?}", calm.log);
}

#[test]
fn ways_of_some_nodes_break_and_those_of_others_don_t() {
    let of_node = |what: &str, more: &str| format!("{}nodes = 'node:3'\n{more}\n", fault(what, 1.0, 4.5));
    let [deaf, there, back, refused, half_open, lossy, slow, starved, calm] = days([
        (TEN, "", of_node("deaf", "")),
        (TEN, "", of_node("deaf", "only = 'there'")),
        (TEN, "", of_node("deaf", "only = 'back'")),
        // Connections that are up go on; so these come before any is.
        (TEN, "", format!("{}nodes = 'node:3'\n", fault("refuse", 0.0, 5.5))),
        (TEN, "", format!("{}nodes = 'node:3'\n", fault("half-open", 0.0, 5.5))),
        (TEN, "", format!("{}part = 0.7\nms = 250.0\n", fault("loss", 1.0, 4.5))),
        (TEN, "", of_node("delay", "ms = 400.0")),
        (TEN, "", format!("{}nodes = 'all'\npart = 0.1\n", fault("node-starved", 1.0, 4.5))),
        (TEN, "", String::new()),
    ]);
    for (what, played) in
        [("deaf", &deaf), ("there", &there), ("back", &back), ("half-open", &half_open), ("delay", &slow)]
    {
        // The worst tenth of ten nodes is that one; the nine others go on.
        let figures = &played.together;
        assert!(
            figures.worst_nodes < 0.6 && played.benefit > 0.85,
            "{what}: {} {}",
            figures.worst_nodes,
            played.benefit
        );
    }
    assert!(refused.together.worst_nodes < 0.9 && refused.benefit > 0.85, "{:?}", refused.together);
    assert!(calm.together.worst_nodes > 0.9 && calm.benefit > 0.97, "{}", calm.benefit);
    // Of requests and answers more than half come a quarter of a second later.
    let median = |played: &Played| played.categories[0].latency[0];
    assert!(median(&lossy) > median(&calm) + 80.0, "{} {}", median(&lossy), median(&calm));
    assert!(median(&starved) > median(&calm) + 15.0, "{} {}", median(&starved), median(&calm));
}

#[test]
fn discovery_turns_callers_away_lags_and_is_lost() {
    let two = "replicas = 2\nlag-s = [0.0, 1.0]";
    let drain = format!("{}on = 'part:0.5'\n", fault("release", 1.5, 3.5));
    let cut = format!("{}between = 'discovery'\nnodes = 'part:0.9'\n", fault("deaf", 1.0, 4.8));
    let restart = format!("{}nodes = 'all'\n", fault("node-killed", 2.0, 0.5));
    let [overbooked, bounded, unheard, empty, old, lagging, calm] = days([
        (TEN, two, format!("{}factor = 1.0\n", fault("list-overbooked", 0.5, 5.0)) + &drain),
        (TEN, "calls-per-s = 1.0\nlines-per-s = 6.0", drain.clone() + &restart),
        (TEN, "replicas = 2", drain.clone() + &cut),
        (TEN, two, fault("list-empty", 1.0, 1.8) + &restart),
        (TEN, two, format!("{}ms = 4000.0\n", fault("list-old", 1.0, 1.8)) + &restart),
        (TEN, "replicas = 2\nlag-s = [1.8]", drain.clone()),
        (TEN, "replicas = 2", drain),
    ]);
    assert!(overbooked.together.turned_away > 3, "{}", overbooked.together.turned_away);
    assert!(bounded.together.turned_away > 3, "{}", bounded.together.turned_away);
    // Who is cut off from discovery goes on pushing to executors that drain, and was told nothing.
    let gone = |played: &Played| played.together.to_gone;
    assert!(gone(&unheard) > gone(&calm) + 3, "{} {}", gone(&unheard), gone(&calm));
    assert!(gone(&lagging) > gone(&calm) + 3, "{} {}", gone(&lagging), gone(&calm));
    assert_eq!([&overbooked, &unheard, &calm].map(|played| played.together.stale.all()), [0; 3]);
    // Nobody is known to nodes that start while the list is empty; an old list names all.
    assert!(empty.benefit < old.benefit - 0.02, "{} {}", empty.benefit, old.benefit);
    assert!(calm.together.stampede.list_calls > 0.0 && calm.together.turned_away == 0);
}

/// An executor is taken out by hand at all nodes, which are killed a while later; what they keep meets a fault meanwhile.
#[test]
fn what_nodes_keep_is_kept_lost_old_damaged_or_swapped() {
    let keep = "count = 6\nkeep = true";
    let by_hand = format!("{}on = 'executor:1'\nnodes = 'all'\n", fault("disabled", 1.0, 4.8));
    let killed = format!("{}nodes = 'all'\n", fault("node-killed", 2.5, 0.6));
    let meets = |what: &str, from: f64| {
        by_hand.clone() + &killed + &format!("{}nodes = 'all'\n", fault(what, from, 2.0))
    };
    let [kept, lost, old, damaged, swapped, full, read_only] = days([
        (keep, "", by_hand.clone() + &killed),
        (keep, "", meets("state-lost", 2.8)),
        (keep, "", meets("state-old", 2.8)),
        (keep, "", meets("state-damaged", 2.8) + "bytes = 5\n"),
        (keep, "", meets("state-swapped", 2.8)),
        (keep, "", meets("state-full", 0.5)),
        (keep, "", meets("state-read-only", 0.5)),
    ]);
    let disabled = |played: &Played| played.together.stale.disabled;
    assert_eq!((kept.together.by_hand, disabled(&kept)), ([12, 0], 0), "{:?}", kept.together.by_hand);
    assert_eq!(kept.together.restarted, 6);
    for (what, played) in [("lost", &lost), ("old", &old), ("swapped", &swapped)] {
        // They can't know, and the judge says so: stale decisions, no rule broken.
        assert!(disabled(played) > 3, "{what}: {}", disabled(played));
    }
    // Whatever can be read of a damaged set stays out.
    assert_eq!(disabled(&damaged), 0);
    assert!(damaged.log.iter().any(|line| line.contains("damaged")), "nothing was damaged");
    // A no to each call that takes it out, for that could not be kept; each that puts it back changes nothing.
    for (what, played) in [("full", &full), ("read-only", &read_only)] {
        assert_eq!((played.together.by_hand, disabled(played)), ([6, 6], 0), "{what}");
    }
}
