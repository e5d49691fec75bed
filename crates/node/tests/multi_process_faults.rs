//! Several node processes with faults, checked by the testbed's judge. Each faulty scenario runs beside a
//! fault-free one, so that the effect of the fault is shown.

use std::path::Path;
use std::sync::{Condvar, Mutex};
use stileroute_testbed::experiment::read;
use stileroute_testbed::no_verdict_log;
use stileroute_testbed::plan::Plan;
use stileroute_testbed::play::play;
use stileroute_testbed::report::Played;

fn plan(nodes: &str, list: &str, faults: &str) -> Plan {
    // Two partitions that consider each other dead try to reconnect every five seconds, so such a scenario
    // lasts longer.
    let seconds = if nodes.contains("members") { 20.0 } else { 6.0 };
    let text = format!(
        "name = 'day'\nseconds = {seconds:?}\nseeds = [1]\n[fleet]\ndomains = ['a', 'b']\nfar-ms = 2.0\ngrace-ms = 500.0\n\
         [fleet.list]\nlate-s = [0.1, 0.2]\n{list}\n[[fleet.kind]]\nname = 'k'\ncount = 6\nslots = 4.0\n\
         speed = [1.0, 1.2]\n[nodes]\n{nodes}\n[load]\nper-second = 60.0\n[[category]]\nname = 'c'\npart = 1.0\n\
         work-ms = 60.0\nspread = 0.3\nhint = 0.2\ntarget-ms = 500.0\nttl-ms = 3000.0\neffect = 'redeliverable'\n{faults}"
    );
    read("day.toml", &text).unwrap_or_else(|wrong| panic!("{wrong}")).plan
}

/// Maximum number of concurrent scenarios; used on a machine with at least twice as many processors.
const MAX_CONCURRENT_SCENARIOS: usize = 10;

/// How often a scenario is repeated, without others beside it, if the machine was too busy for a verdict.
const MAX_REPEATS: usize = 3;

/// Number of scenarios that may still start, over all tests; `None` before the first one asks.
static FREE_PERMITS: (Mutex<Option<usize>>, Condvar) = (Mutex::new(None), Condvar::new());

/// A scenario has ten processes or more, so it needs two processors.
fn concurrent_scenarios() -> usize {
    let processors = std::thread::available_parallelism().map_or(2, usize::from);
    (processors / 2).clamp(2, MAX_CONCURRENT_SCENARIOS)
}

/// A permit to run scenarios, returned when dropped.
struct Permit {
    scenarios: usize,
}

impl Permit {
    /// Waits until this many more scenarios may run.
    fn wait_for(scenarios: usize) -> Permit {
        let free = FREE_PERMITS.0.lock().unwrap();
        let mut free = FREE_PERMITS
            .1
            .wait_while(free, |free| *free.get_or_insert_with(concurrent_scenarios) < scenarios)
            .unwrap();
        *free = free.map(|free| free - scenarios);
        Permit { scenarios }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut free = FREE_PERMITS.0.lock().unwrap();
        *free = free.map(|free| free + self.scenarios);
        FREE_PERMITS.1.notify_all();
    }
}

/// Runs one scenario. A run without a verdict says nothing about the program, so it is repeated alone; it is an
/// error if no run gives a verdict.
fn run_scenario(nodes: &str, list: &str, faults: &str) -> Played {
    let mut played = {
        let _permit = Permit::wait_for(1);
        run_once(nodes, list, faults)
    };
    for _ in 0..MAX_REPEATS {
        let Some(reason) = &played.no_verdict else { break };
        eprintln!("no verdict, played again alone: {reason}\n{faults}");
        no_verdict_log::list_played_again("processes", reason);
        let _all_permits = Permit::wait_for(concurrent_scenarios());
        played = run_once(nodes, list, faults);
    }
    assert!(played.no_verdict.is_none(), "{faults}: {:?}", played.no_verdict);
    played
}

/// Runs one scenario once. A broken rule in a run with a verdict fails the test at once.
fn run_once(nodes: &str, list: &str, faults: &str) -> Played {
    let played = play(&plan(nodes, list, faults), 1, Path::new(env!("CARGO_BIN_EXE_stileroute"))).unwrap();
    assert!(
        played.no_verdict.is_some() || played.broken.is_empty(),
        "{faults}: {:#?}",
        played.broken.first()
    );
    played
}

/// Runs scenarios concurrently, each with its own processes.
fn run_scenarios<const N: usize>(scenarios: [(&'static str, &'static str, String); N]) -> [Played; N] {
    scenarios
        .map(|(nodes, list, faults)| std::thread::spawn(move || run_scenario(nodes, list, &faults)))
        .map(|scenario| scenario.join().unwrap())
}

fn fault(what: &str, from_s: f64, for_s: f64) -> String {
    format!("[[fault]]\nwhat = '{what}'\nfrom-s = {from_s:?}\nfor-s = {for_s:?}\n")
}

const TEN_NODES: &str = "count = 10";

#[test]
fn groups_of_nodes_fail_and_restart_together() {
    let killed = format!("{}nodes = 'part:0.7'\n", fault("node-killed", 1.5, 1.0));
    let spread = format!("{}nodes = 'domain:a'\nspread-s = 1.5\n", fault("node-killed", 1.5, 1.0));
    let site = format!("{}on = 'domain:b'\n", fault("site-lost", 1.5, 2.0));
    let stopped = format!("{}nodes = 'part:0.5'\n", fault("node-stopped", 1.0, 4.0));
    let replaced = format!("{}nodes = 'all'\n", fault("node-replaced", 1.0, 4.5));
    let paused = format!("{}nodes = 'part:0.5'\n", fault("node-paused", 2.0, 1.0));
    let [killed, spread, site, stopped, replaced, paused, calm] = run_scenarios([
        (TEN_NODES, "", killed),
        (TEN_NODES, "", spread),
        ("count = 10\nfront-ms = 300.0", "replicas = 2", site),
        (TEN_NODES, "", stopped),
        ("count = 10\nkeep = true", "", replaced),
        (TEN_NODES, "", paused),
        (TEN_NODES, "", String::new()),
    ]);
    // Seven nodes restarted one after another would take seven times as long as one.
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

/// Number of log lines that contain this text.
fn count_log_lines(played: &Played, word: &str) -> usize {
    played.log.iter().filter(|line| line.contains(word)).count()
}

#[test]
fn group_of_nodes_reloads_its_configuration() {
    let reload = format!("{}nodes = 'part:0.5'\n", fault("node-reload", 1.5, 4.0));
    let [reload] = run_scenarios([(TEN_NODES, "", reload)]);
    // Five of ten nodes reload when the fault begins and when it ends; the others keep their configuration.
    assert_eq!(count_log_lines(&reload, "configuration read again"), 10);
    assert!(reload.benefit > 0.97 && reload.together.restarted == 0, "{}", reload.benefit);
}

#[test]
fn both_sides_detect_a_partition_between_nodes_and_it_heals() {
    const MEMBERS: &str = "count = 12\nmembers-ms = 200.0";
    let cut = format!("{}on = 'domain:b'\n", fault("domain-cut", 1.0, 4.8));
    let lost = format!("{}between = 'nodes'\npart = 0.2\n", fault("loss", 0.0, 19.0));
    let deaf = format!("{}between = 'nodes'\nnodes = 'node:7'\n", fault("deaf", 1.0, 18.0));
    let [cut, lost, deaf, calm] = run_scenarios([
        (MEMBERS, "", cut),
        (MEMBERS, "", lost),
        (MEMBERS, "", deaf),
        (MEMBERS, "", String::new()),
    ]);
    // Each side has six live nodes, while budgets on executors that are warming up still assume twelve.
    assert!(count_log_lines(&cut, "members: 6 live, 12 may be sending") >= 10, "{:#?}", cut.log);
    // Each node has counted twelve at the start, and again after the partition healed.
    assert!(count_log_lines(&cut, "members: 12 live, 12 may be sending") >= 24, "{:#?}", cut.log);
    assert!(count_log_lines(&deaf, "members: 11 live, 12 may be sending") >= 10, "{:#?}", deaf.log);
    // With 20 % of all messages lost, a suspicion may be confirmed wrongly and is then refuted.
    assert!(count_log_lines(&lost, "members: 12 live, 12 may be sending") >= 12, "{:#?}", lost.log);
    assert_eq!(count_log_lines(&calm, "members: 12 live, 12 may be sending"), 12, "{:#?}", calm.log);
}

#[test]
fn network_faults_of_some_nodes_leave_the_others_unaffected() {
    let of_node = |what: &str, more: &str| format!("{}nodes = 'node:3'\n{more}\n", fault(what, 1.0, 4.5));
    let [deaf, there, back, refused, half_open, lossy, slow, starved, calm] = run_scenarios([
        (TEN_NODES, "", of_node("deaf", "")),
        (TEN_NODES, "", of_node("deaf", "only = 'there'")),
        (TEN_NODES, "", of_node("deaf", "only = 'back'")),
        // Open connections continue, so these faults begin before any connection is open.
        (TEN_NODES, "", format!("{}nodes = 'node:3'\n", fault("refuse", 0.0, 5.5))),
        (TEN_NODES, "", format!("{}nodes = 'node:3'\n", fault("half-open", 0.0, 5.5))),
        (TEN_NODES, "", format!("{}part = 0.7\nms = 250.0\n", fault("loss", 1.0, 4.5))),
        (TEN_NODES, "", of_node("delay", "ms = 400.0")),
        (TEN_NODES, "", format!("{}nodes = 'all'\npart = 0.1\n", fault("node-starved", 1.0, 4.5))),
        (TEN_NODES, "", String::new()),
    ]);
    for (what, played) in
        [("deaf", &deaf), ("there", &there), ("back", &back), ("half-open", &half_open), ("delay", &slow)]
    {
        // The worst tenth of ten nodes is the faulty node; the other nine continue.
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
    // More than half of all requests and responses are delayed by a quarter of a second.
    let median = |played: &Played| played.categories[0].latency[0];
    assert!(median(&lossy) > median(&calm) + 80.0, "{} {}", median(&lossy), median(&calm));
    assert!(median(&starved) > median(&calm) + 15.0, "{} {}", median(&starved), median(&calm));
}

#[test]
fn discovery_rejects_requests_lags_and_is_unreachable() {
    let two = "replicas = 2\nlag-s = [0.0, 1.0]";
    let drain = format!("{}on = 'part:0.5'\n", fault("release", 1.5, 3.5));
    let cut = format!("{}between = 'discovery'\nnodes = 'part:0.9'\n", fault("deaf", 1.0, 4.8));
    let restart = format!("{}nodes = 'all'\n", fault("node-killed", 2.0, 0.5));
    let [overbooked, bounded, unheard, empty, old, lagging, calm] = run_scenarios([
        (TEN_NODES, two, format!("{}factor = 1.0\n", fault("list-overbooked", 0.5, 5.0)) + &drain),
        (TEN_NODES, "calls-per-s = 1.0\nlines-per-s = 6.0", drain.clone() + &restart),
        (TEN_NODES, "replicas = 2", drain.clone() + &cut),
        (TEN_NODES, two, fault("list-empty", 1.0, 1.8) + &restart),
        (TEN_NODES, two, format!("{}ms = 4000.0\n", fault("list-old", 1.0, 1.8)) + &restart),
        (TEN_NODES, "replicas = 2\nlag-s = [1.8]", drain.clone()),
        (TEN_NODES, "replicas = 2", drain),
    ]);
    assert!(overbooked.together.turned_away > 3, "{}", overbooked.together.turned_away);
    assert!(bounded.together.turned_away > 3, "{}", bounded.together.turned_away);
    // Nodes cut off from discovery keep pushing to draining executors, because they have not been notified.
    let gone = |played: &Played| played.together.to_gone;
    assert!(gone(&unheard) > gone(&calm) + 3, "{} {}", gone(&unheard), gone(&calm));
    assert!(gone(&lagging) > gone(&calm) + 3, "{} {}", gone(&lagging), gone(&calm));
    assert_eq!([&overbooked, &unheard, &calm].map(|played| played.together.stale.all()), [0; 3]);
    // Nodes that start while the list is empty know no executors; an old list names all of them.
    assert!(empty.benefit < old.benefit - 0.02, "{} {}", empty.benefit, old.benefit);
    assert!(calm.together.stampede.list_calls > 0.0 && calm.together.turned_away == 0);
}

/// Guards the persistence of disabled executors: an operator disables one at all nodes, which are killed later,
/// and meanwhile their stored state meets a fault.
#[test]
fn disabled_executors_with_stored_state_intact_lost_old_damaged_or_swapped() {
    let keep = "count = 6\nkeep = true";
    let by_hand = format!("{}on = 'executor:1'\nnodes = 'all'\n", fault("disabled", 1.0, 4.8));
    let killed = format!("{}nodes = 'all'\n", fault("node-killed", 2.5, 0.6));
    let meets = |what: &str, from: f64| {
        by_hand.clone() + &killed + &format!("{}nodes = 'all'\n", fault(what, from, 2.0))
    };
    let [kept, lost, old, damaged, swapped, full, read_only] = run_scenarios([
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
        // These nodes cannot know that the executor is disabled. The judge counts stale decisions but no broken
        // rule.
        assert!(disabled(played) > 3, "{what}: {}", disabled(played));
    }
    // All readable names of a damaged set stay disabled.
    assert_eq!(disabled(&damaged), 0);
    assert!(damaged.log.iter().any(|line| line.contains("damaged")), "no file was damaged");
    // Each request to disable fails, because the set could not be stored; each request to enable changes
    // nothing.
    for (what, played) in [("full", &full), ("read-only", &read_only)] {
        assert_eq!((played.together.by_hand, disabled(played)), ([6, 6], 0), "{what}");
    }
}
