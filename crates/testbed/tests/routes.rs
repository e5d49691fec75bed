//! Routes on simulated days: a retry storm held by budgets, and time-outs that cross late answers.

use stileroute_testbed::experiment::read;
use stileroute_testbed::plan::Plan;
use stileroute_testbed::run::play_simulated;

fn day(effect: &str, operator: &str, more: &str) -> Plan {
    let text = format!(
        "name = 'day'\nseconds = 16.0\nseeds = [1]\noperator = '''{operator}'''\n[fleet]\ndomains = ['a', 'b']\n\
         max-pushes = 6\n[[fleet.kind]]\nname = 'k'\ncount = 8\nslots = 4.0\nspeed = [1.0, 1.0]\n[nodes]\ncount = 3\n\
         [load]\npart = 0.4\nretries = 1\nretry-wait-ms = 100.0\n[[category]]\nname = 'c'\npart = 1.0\nwork-ms = 100.0\n\
         spread = 0.4\nhint = 0.2\ntarget-ms = 500.0\nttl-ms = 3000.0\neffect = '{effect}'\nwindow-ms = 2000.0\n\
         group = 'domain'\n{more}"
    );
    read("day.toml", &text).unwrap().plan
}

const STORM: &str = "[[fault]]\nwhat = 'errors'\nfrom-s = 4.0\nfor-s = 6.0\npart = 0.9\n";

#[test]
fn a_fleet_wide_failure_costs_no_more_pushes_than_the_budgets_leave() {
    let (part, window, least) = (0.1, 4.0, 5.0);
    let budget = format!("retry-budget = {{ part = {part}, window = '{window}s', least = {least} }}\n");
    let without = play_simulated(&day("redeliverable", "", STORM), 1).unwrap();
    let with = play_simulated(&day("redeliverable", &format!("[defaults]\n{budget}"), STORM), 1).unwrap();
    let node = play_simulated(&day("redeliverable", &format!("[node]\n{budget}"), STORM), 1).unwrap();
    assert!(without.broken.is_empty() && with.broken.is_empty() && node.broken.is_empty());
    let per_op = |p: &stileroute_testbed::report::Played| p.pushes as f64 / p.ops as f64;
    assert!(per_op(&without) > 1.8, "no storm: {}", per_op(&without));
    for held in [&with, &node] {
        // The window slides by a sixteenth; three nodes count each for themselves.
        let windows = 16.0 / window * 17.0 / 16.0 + 1.0;
        let most = held.ops as f64 * (1.0 + part) + least * windows * 3.0;
        assert!((held.pushes as f64) <= most, "{} pushes, {most} at most", held.pushes);
        // No first push is starved: what was nacked was pushed before, but for a few that find everyone set aside.
        let unpushed = held.nacks.get("never pushed").copied().unwrap_or(0);
        assert!(unpushed * 100 < held.jobs, "{:?}", held.nacks);
        assert!(held.nacked > without.nacked);
    }
    println!(
        "retry storm: {:.2} pushes an op without a budget, {:.2} with one on each route, {:.2} with one on the node",
        per_op(&without),
        per_op(&with),
        per_op(&node)
    );
}

#[test]
fn a_time_out_that_crosses_a_late_answer_breaks_nothing() {
    // Nothing is told between start and end, so that many pushes are called off shortly before they answer.
    let far = "[[fault]]\nwhat = 'delay'\nfrom-s = 2.0\nfor-s = 10.0\non = 'part:0.5'\nms = 20.0\n";
    let tight = "[defaults]\nno-progress = '90ms'\n";
    for effect in ["at-most-once", "deduplicated", "redeliverable"] {
        let loose = play_simulated(&day(effect, "", far), 2).unwrap();
        let played = play_simulated(&day(effect, tight, far), 2).unwrap();
        assert!(played.broken.is_empty(), "{effect}: {:?}", played.broken.first());
        // A time-out of an at-most-once push is a dead letter, never a push.
        let further = played.pushes > played.ops + played.ops / 10;
        assert_eq!(
            further,
            effect != "at-most-once",
            "{effect}: {} pushes of {} ops",
            played.pushes,
            played.ops
        );
        if effect == "at-most-once" {
            assert!(
                played.dead_lettered > loose.dead_lettered + played.jobs / 10,
                "{}",
                played.dead_lettered
            );
            assert_eq!(played.nacked, loose.nacked);
        }
    }
}

#[test]
fn a_route_keeps_its_ops_to_its_kinds_and_domains() {
    let mut plan = day("redeliverable", "[defaults]\ndomains = ['a']\n", "");
    let played = play_simulated(&plan, 1).unwrap();
    let to_b: u64 = played.executors.iter().filter(|x| x.domain == "b").map(|x| x.pushes).sum();
    assert!(to_b == 0 && played.acked > 100, "{to_b}");
    plan.operator = Some("[defaults]\nin-hand = 4\nwait = '300ms'\nwaiting = 3\n".to_string());
    let played = play_simulated(&plan, 1).unwrap();
    assert!(played.broken.is_empty(), "{:?}", played.broken.first());
    assert!(played.nacks["never pushed"] > 10 && played.acked > 100, "{:?}", played.nacks);
}
