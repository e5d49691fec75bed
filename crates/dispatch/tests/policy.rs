//! Tables of cases for the decisions.

use stileroute_dispatch::policy::{split, Dispatcher};
use stileroute_dispatch::types::*;

const MS: Time = 10;

fn category(effect: Effect) -> Category {
    Category { target: 5000, stretch: 2.0, effect, benefit: 1.0, late: 0.0, kind: None, priority: 0 }
}

fn terms() -> Terms {
    Terms {
        tick: 2 * MS,
        nodes: 2,
        cancel: true,
        max_pushes: 4,
        tip_after: SECOND,
        start_share: 0.2,
        warm_within: 10 * SECOND,
        progress: SECOND,
        ..Terms::default()
    }
}

const DEDUPLICATED: Effect = Effect::Deduplicated { scope: Scope::Domain, window: SECOND };
const EVERYWHERE: Effect = Effect::Deduplicated { scope: Scope::All, window: SECOND };
const BY_CELL: Effect = Effect::Deduplicated { scope: Scope::Cell, window: SECOND };

/// Categories 0 to 4: redeliverable, deduplicated by domain, everywhere and by cell, at-most-once.
fn tariff(terms: Terms) -> Tariff {
    let effects = [Effect::Redeliverable, DEDUPLICATED, EVERYWHERE, BY_CELL, Effect::AtMostOnce];
    Tariff {
        terms,
        categories: effects.into_iter().map(category).collect(),
        overload_factor: 3.0,
        gauges: vec![Gauge::Waiting, Gauge::FreeSlots],
        ..Tariff::default()
    }
}

fn line(executor: usize) -> Listed {
    Listed {
        executor,
        domain: executor % 2,
        kind: 0,
        cell: executor / 2,
        active: true,
        weight: 1.0,
        mark: mark(&format!("executor {executor}")),
        started: None,
    }
}

/// An instance that knows `count` warm executors of four slots, alternating between two domains.
fn desk(terms: Terms, seed: u64, count: usize) -> Dispatcher {
    let mut desk = Dispatcher::new(&tariff(terms), seed);
    let lines: Vec<Listed> = (0..count).map(line).collect();
    desk.list(0, true, &lines);
    for executor in 0..count {
        (0..20).for_each(|_| desk.report(0, executor, &[0.0, 4.0]));
    }
    desk
}

fn ask(category: usize) -> Ask {
    Ask {
        category,
        slots: 1.0,
        memory: 0.0,
        hint: Some(1000),
        deadline: i64::MAX / 4,
        limits: Limits::default(),
        tenant: 0,
        key: 0,
    }
}

fn pushed(step: Step) -> usize {
    match step {
        Step::Push { executor } => executor,
        other => panic!("expected a push, got {other:?}"),
    }
}

/// Sends one op at `now` that is acked after `ran`; where it went.
fn serve(desk: &mut Dispatcher, now: Time, category: usize, ran: Time) -> usize {
    let mut op = desk.arrive(now, Ask { deadline: now + 20 * SECOND, ..ask(category) });
    let executor = pushed(desk.place(now, &mut op));
    desk.note(now, &mut op, 0, true, 0.0);
    assert_eq!(desk.settle(now + ran, &mut op, 0, Outcome::Acked, &[0.0, 4.0]), Step::Hold);
    executor
}

#[test]
fn shares_follow_the_cost_model() {
    let third = 1.0 / 3.0;
    let cases: [(&str, &[f64], f64, &[f64]); 7] = [
        ("equal", &[1.0, 1.0, 1.0], 0.6, &[third, third, third]),
        ("unequal, by hand", &[2.0, 1.0, 1.0], 0.6, &[0.62394, 0.18803, 0.18803]),
        ("clamped", &[8.0, 1.0], 0.6, &[1.0, 0.0]),
        ("one", &[5.0], 0.6, &[1.0]),
        ("no spare: by rate alone", &[3.0, 1.0], 1.0, &[0.75, 0.25]),
        ("one is gone", &[1.0, 0.0, 1.0], 0.6, &[0.5, 0.0, 0.5]),
        ("none", &[0.0, 0.0], 0.6, &[0.0, 0.0]),
    ];
    for (name, rates, target_use, wanted) in cases {
        let ones = vec![1.0; rates.len()];
        // The clock's unit scales all rates alike and must not matter.
        for unit in [1.0, 1e-4] {
            let scaled: Vec<f64> = rates.iter().map(|r| r * unit).collect();
            let shares = split(&scaled, &ones, &ones, 1.0, target_use);
            for (share, want) in shares.iter().zip(wanted) {
                assert!((share - want).abs() < 1e-4, "{name}: {shares:?}");
            }
            let sum: f64 = shares.iter().sum();
            assert!(name == "none" || (sum - 1.0).abs() < 1e-9, "{name}: sums to {sum}");
        }
    }
    // A dearer or more variable executor gets less.
    let even = [1.0, 1.0];
    assert!(split(&even, &even, &[4.0, 1.0], 1.0, 0.6)[0] < 0.5);
    assert!(split(&even, &[4.0, 1.0], &even, 1.0, 0.6)[0] < 0.5);
}

#[test]
fn equal_executors_take_even_turns_and_a_new_one_no_burst() {
    for seed in 0..5 {
        let mut desk = desk(terms(), seed, 4);
        let mut counts = [0; 5];
        for n in 0..40 {
            counts[serve(&mut desk, n * SECOND / 4, 0, 100)] += 1;
        }
        assert!(counts[..4].iter().all(|c| (8..=12).contains(c)), "seed {seed}: {counts:?}");
        desk.list(10 * SECOND, false, &[line(4)]);
        let mut late = 0;
        for n in 0..10 {
            late += usize::from(serve(&mut desk, 10 * SECOND + n * SECOND / 4, 0, 100) == 4);
        }
        assert!((1..=4).contains(&late), "seed {seed}: {late} of 10 to the new one");
    }
}

#[test]
fn a_slow_executor_gets_a_smaller_share() {
    let mut desk = desk(terms(), 3, 3);
    let mut counts = [0; 3];
    for n in 0..200 {
        let now = n * SECOND / 4;
        let mut op = desk.arrive(now, Ask { deadline: now + 20 * SECOND, ..ask(0) });
        let executor = pushed(desk.place(now, &mut op));
        desk.note(now, &mut op, 0, true, 0.0);
        let ran = if executor == 0 { 2500 } else { 1000 };
        desk.settle(now + ran, &mut op, 0, Outcome::Acked, &[]);
        counts[executor] += usize::from(n >= 40);
    }
    assert!(counts[0] * 2 < counts[1], "{counts:?}");
}

#[test]
fn each_effect_keeps_its_rule_after_each_outcome() {
    // What follows an outcome: a further push, a nack or a dead letter.
    let ran = [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled];
    let never = [Outcome::Full, Outcome::NotConnected, Outcome::Moot];
    for outcome in ran.into_iter().chain(never) {
        for kind in 0..5 {
            let mut desk = desk(terms(), 7, 4);
            let mut op = desk.arrive(0, ask(kind));
            let first = pushed(desk.place(0, &mut op));
            let step = desk.settle(MS, &mut op, 0, outcome, &[]);
            match (kind, ran.contains(&outcome)) {
                (4, true) => assert_eq!(step, Step::DeadLetter, "{outcome:?}: may have run once"),
                (1, true) => assert_eq!(pushed(step) % 2, first % 2, "{outcome:?}: same domain"),
                (3, true) => assert_eq!(pushed(step) / 2, first / 2, "{outcome:?}: same cell"),
                _ => assert_ne!(pushed(step), first, "{outcome:?} of category {kind}: elsewhere"),
            }
        }
    }
}

#[test]
fn a_deduplicated_op_is_not_resent_after_its_window() {
    for (kind, wanted) in [(1, Step::DeadLetter), (2, Step::Nack { come_back: 0 })] {
        let mut desk = desk(terms(), 7, 4);
        let mut op = desk.arrive(0, ask(kind));
        pushed(desk.place(0, &mut op));
        assert_eq!(desk.settle(SECOND, &mut op, 0, Outcome::Error, &[]), wanted);
    }
}

#[test]
fn a_push_may_not_leave_after_its_window_or_its_time() {
    // Category, outcome of the first push, until when the second may leave.
    let cases = [
        (2, Outcome::Error, SECOND),
        (2, Outcome::Full, 9 * SECOND),
        (0, Outcome::Error, 9 * SECOND),
        (4, Outcome::NotConnected, 9 * SECOND),
    ];
    for (category, outcome, by) in cases {
        let mut desk = desk(terms(), 1, 4);
        let mut op = desk.arrive(0, Ask { deadline: 9 * SECOND, ..ask(category) });
        pushed(desk.place(0, &mut op));
        assert_eq!(op.leave_by(tariff(terms()).categories[category].effect), 9 * SECOND);
        pushed(desk.settle(100, &mut op, 0, outcome, &[]));
        assert_eq!(op.leave_by(tariff(terms()).categories[category].effect), by, "{category} {outcome:?}");
        op.end_by(SECOND / 2);
        assert_eq!(op.leave_by(Effect::AtMostOnce), SECOND / 2);
    }
}

#[test]
fn every_op_ends_before_its_ttl() {
    let harmless = [true, false, true, false, false];
    for (kind, harmless) in harmless.into_iter().enumerate() {
        let mut desk = desk(Terms { cancel: false, ..terms() }, 1, 2);
        let mut op = desk.arrive(0, Ask { deadline: SECOND, ..ask(kind) });
        pushed(desk.place(0, &mut op));
        desk.note(MS, &mut op, 0, true, 0.0);
        let mut now = MS;
        let last = loop {
            let next = desk.wait(now, &op);
            assert!(next > now && next < SECOND);
            now = next;
            let step = desk.place(now, &mut op);
            if step != Step::Hold {
                break step;
            }
        };
        assert!(now < SECOND && op.closed);
        assert_eq!(last, if harmless { Step::Nack { come_back: 0 } } else { Step::DeadLetter });
        // The late outcome of an answered op leads to nothing.
        assert_eq!(desk.settle(2 * SECOND, &mut op, 0, Outcome::Error, &[]), Step::Hold);
    }
}

#[test]
fn nothing_goes_to_a_drained_or_dropped_executor() {
    let mut desk = desk(terms(), 5, 4);
    desk.list(MS, false, &[Listed { active: false, ..line(1) }]);
    assert!((0..20).all(|n| serve(&mut desk, MS + n * SECOND / 4, 0, 100) != 1));
    // A whole list replaces what was known.
    desk.list(6 * SECOND, true, &[line(2)]);
    assert!((0..8).all(|n| serve(&mut desk, 6 * SECOND + n * SECOND / 4, 0, 100) == 2));
    desk.list(9 * SECOND, true, &[]);
    let mut op = desk.arrive(9 * SECOND, ask(0));
    assert_eq!(desk.place(9 * SECOND, &mut op), Step::Hold);
    let mut now = 9 * SECOND;
    while !op.closed {
        now = desk.wait(now, &op);
        assert!(now <= 9 * SECOND + 2500, "kept with nothing out");
        assert!(matches!(desk.place(now, &mut op), Step::Hold | Step::Nack { .. }));
    }
}

#[test]
fn a_cold_executor_gets_no_more_than_its_part_of_the_budget() {
    let mut desk = desk(terms(), 5, 1);
    desk.list(0, false, &[Listed { started: Some(1), ..line(1) }]);
    // Half of 3 times a fifth of four slots for a second, shared by two nodes.
    let budget = 0.5 * 3.0 * 0.25 * 4.0 * SECOND as f64 / 2.0;
    let mut work = 0.0;
    for n in 0..60 {
        let mut op = desk.arrive(n * MS, ask(0));
        if desk.place(n * MS, &mut op) == (Step::Push { executor: 1 }) {
            work += 1000.0;
        }
    }
    assert!(work > 0.0 && work <= budget, "{work} of {budget}");
}

#[test]
fn a_failing_executor_is_set_aside_and_comes_back() {
    let mut desk = desk(terms(), 5, 2);
    let mut bad = 0;
    for n in 0..200 {
        let now = n * SECOND / 10;
        let mut op = desk.arrive(now, ask(0));
        let executor = pushed(desk.place(now, &mut op));
        let failing = executor == 0 && n < 100;
        bad += usize::from(failing);
        desk.note(now, &mut op, 0, true, 0.0);
        desk.settle(now + MS, &mut op, 0, if failing { Outcome::Error } else { Outcome::Acked }, &[]);
    }
    assert!((1..=6).contains(&bad), "{bad} ops met the failing executor");
    let back = (0..20).filter(|n| serve(&mut desk, 20 * SECOND + n * SECOND / 4, 0, MS) == 0).count();
    assert!(back >= 5, "{back} of 20 after it recovered");
}

#[test]
fn an_op_stuck_on_a_silent_executor_is_moved() {
    for copies in [false, true] {
        let mut desk = desk(Terms { second_copies: copies, ..terms() }, 5, 2);
        let mut op = desk.arrive(0, Ask { hint: Some(3 * SECOND), deadline: 20 * SECOND, ..ask(0) });
        let first = pushed(desk.place(0, &mut op));
        desk.note(0, &mut op, 0, true, 0.0);
        let now = desk.wait(0, &op);
        assert!(now >= 2 * SECOND, "progress is due each second");
        let step = desk.place(now, &mut op);
        if copies {
            assert_ne!(pushed(step), first);
        } else {
            // Never two at once: the first is called off and owes its outcome before the next.
            assert_eq!(step, Step::Stop { push: 0 });
            assert_eq!(desk.place(now, &mut op), Step::Hold);
            assert_ne!(pushed(desk.settle(now + MS, &mut op, 0, Outcome::Cancelled, &[])), first);
        }
    }
}

#[test]
fn an_op_that_cannot_be_in_time_is_nacked_at_once() {
    let mut desk = desk(Terms { come_back: 2 * SECOND, ..terms() }, 5, 2);
    let mut last = Step::Hold;
    for n in 0..200 {
        let mut op: Op = desk.arrive(n, ask(0));
        last = desk.place(n, &mut op);
        if let Step::Nack { come_back } = last {
            assert!(come_back > 0 && come_back <= 2 * SECOND && op.pushes.is_empty());
            return;
        }
    }
    panic!("never full: {last:?}");
}

#[test]
fn the_list_is_subscribed_to_again_after_a_refusal() {
    let mut desk = desk(Terms { subscribe: true, ..terms() }, 5, 2);
    assert!(desk.upkeep(0));
    desk.refused(MS, false);
    assert!(!desk.upkeep(2 * MS), "not at once: all nodes would call together");
    assert!(desk.upkeep(2 * SECOND));
    desk.list(3 * SECOND, false, &[]);
    assert!(!desk.upkeep(30 * SECOND), "subscribed");
}

#[test]
fn whoever_is_turned_away_asks_less_often_the_more_nodes_there_are() {
    // Nodes, calls turned away in a row, whether they were, and the longest wait then, in seconds.
    let cases = [
        (2, 6, true, 1.27),
        (48, 1, true, 3.21),
        (48, 3, true, 12.1),
        (48, 9, true, 24.25),
        (48, 9, false, 1.73),
    ];
    for (nodes, calls, away, most) in cases {
        let waits = (0..200).map(|seed| {
            let mut desk = desk(Terms { nodes, subscribe: true, ..terms() }, seed, 4);
            (0..calls).for_each(|_| desk.refused(0, away));
            (0..).map(|n| n * SECOND / 20).find(|at| desk.upkeep(*at)).unwrap() as f64 / SECOND as f64
        });
        let waits: Vec<f64> = waits.collect();
        let (least, longest) =
            waits.iter().fold((f64::MAX, 0.0), |(l, m), w| (f64::min(l, *w), f64::max(m, *w)));
        assert!(
            longest <= most + 0.05 && longest > most * 0.9 && least < 0.25 + most * 0.1,
            "{nodes} {calls}: {least} {longest}"
        );
    }
    // One list, and it counts from the beginning.
    let mut desk = desk(Terms { nodes: 48, subscribe: true, ..terms() }, 1, 4);
    (0..9).for_each(|_| desk.refused(0, true));
    desk.list(0, false, &[]);
    desk.refused(0, true);
    assert!((0..33).any(|n| desk.upkeep(n * SECOND / 10)));
}

#[test]
fn the_same_seed_and_events_give_the_same_answers() {
    let run = |seed| {
        let mut desk = desk(terms(), seed, 5);
        (0..50).map(|n| serve(&mut desk, n * SECOND / 10, (n % 5) as usize, 300 + n * 7)).collect::<Vec<_>>()
    };
    assert_eq!(run(11), run(11));
    assert_ne!(run(11), run(12), "ties come from the instance's seed");
}

#[test]
fn room_is_judged_for_the_op_at_hand() {
    // Reports of two executors (waiting, free slots), the op's width, and where it has to go.
    let cases = [
        ("a wide op waits for most of an executor", [0.0, 2.0], [0.0, 4.0], 4.0, 1),
        ("a queue behind free slots is no room", [2.0, 2.0], [0.0, 1.0], 1.0, 1),
        ("held is worse than free", [0.0, 4.0], [0.0, 0.0], 1.0, 0),
    ];
    for (name, first, second, slots, wanted) in cases {
        for seed in 0..8 {
            let mut desk = desk(terms(), seed, 2);
            desk.report(MS, 0, &first);
            desk.report(MS, 1, &second);
            let mut op = desk.arrive(MS, Ask { slots, deadline: 30 * SECOND, ..ask(0) });
            assert_eq!(pushed(desk.place(MS, &mut op)), wanted, "{name}, seed {seed}");
        }
    }
}

#[test]
fn a_waiting_push_is_moved_but_never_copied() {
    // What waits runs all the same where copies are allowed: a copy would only waste work. A short op, whose
    // wait is less than the time between two looks, stayed behind others for as long as it lasted.
    for (copies, hint) in [(false, SECOND), (false, SECOND / 10), (true, SECOND)] {
        let mut desk = desk(Terms { second_copies: copies, ..terms() }, 5, 2);
        let mut op = desk.arrive(0, Ask { hint: Some(hint), deadline: 20 * SECOND, ..ask(0) });
        let first = pushed(desk.place(0, &mut op));
        let now = 2 * desk.wait(0, &op);
        if hint == SECOND {
            desk.report(now, first, &[9.0, 0.0]);
        }
        desk.report(now, 1 - first, &[0.0, 4.0]);
        assert_eq!(desk.place(now, &mut op), if copies { Step::Hold } else { Step::Stop { push: 0 } });
    }
}

#[test]
fn a_crossing_is_taken_only_when_it_pays() {
    for (cross, held, wanted) in [(0.0, 4.0, 1), (0.5, 4.0, 0), (0.05, 40.0, 1)] {
        let mut desk = desk(Terms { cross, ..terms() }, 5, 2);
        desk.report(MS, 0, &[held - 4.0, 0.0]);
        desk.report(MS, 1, &[0.0, 4.0]);
        let mut op = desk.arrive(MS, Ask { deadline: 30 * SECOND, ..ask(0) });
        assert_eq!(pushed(desk.place(MS, &mut op)), wanted, "price {cross}, held {held}");
    }
}

#[test]
fn an_op_may_cross_before_it_is_turned_away() {
    // Price, nodes, what is held near here, and whether the op goes across; else it stays, or is turned away.
    for (cross, nodes, held, across) in [
        (0.3, 2, 4.0, false),
        (0.3, 2, 8.0, true),
        (0.3, 9, 8.0, false),
        (1.5, 2, 8.0, false),
        (0.0, 2, 8.0, true),
    ] {
        let mut posted = tariff(Terms { cross, ..terms() });
        posted.terms.nodes = nodes;
        posted.categories.iter_mut().for_each(|category| category.target = 1000);
        let mut desk = Dispatcher::new(&posted, 5);
        desk.list(0, true, &[line(0), line(1)]);
        (0..20).for_each(|_| (0..2).for_each(|executor| desk.report(0, executor, &[0.0, 4.0])));
        desk.report(MS, 0, &[held - 4.0, 0.0]);
        desk.report(MS, 1, &[0.0, 4.0]);
        let mut op = desk.arrive(MS, Ask { deadline: 30 * SECOND, ..ask(0) });
        let step = desk.place(MS, &mut op);
        assert_eq!(step == Step::Push { executor: 1 }, across, "{cross}, {nodes}, {held}: {step:?}");
    }
}

#[test]
fn many_nodes_that_hear_of_a_start_together_do_not_push_it_over() {
    // Each node's part is a fraction of one op: were the first op free, all would send one at once.
    let nodes = 300;
    let (mut first, mut all) = (0, 0);
    for seed in 0..nodes {
        let wide = tariff(Terms { nodes: nodes as usize, ..terms() });
        let mut desk = Dispatcher::new(&wide, seed);
        desk.list(0, true, &[Listed { started: Some(1), ..line(0) }]);
        (0..20).for_each(|_| desk.report(0, 0, &[0.0, 4.0]));
        for n in 0..10 {
            let mut op = desk.arrive(n * SECOND, ask(0));
            if let Step::Push { .. } = desk.place(n * SECOND, &mut op) {
                (first, all) = (first + usize::from(n == 0), all + 1);
                desk.settle(n * SECOND, &mut op, 0, Outcome::Full, &[]);
            }
        }
    }
    // Ops of 0.1 s against 3 times 0.2 to 1 of four slots for a second, less than half of it used.
    assert!(first <= 3, "{first} at once");
    assert!((20..=400).contains(&all), "{all} while it warms up");
}

#[test]
fn a_cold_executor_is_warmed_by_the_nodes_that_send_there() {
    // Of 90 nodes in three domains those of its own use the budget; the others are too far off to. Dealt out
    // evenly they gave it 35 of these ops in 5 s, an eighth of what all may send.
    let (mut work, mut near) = (0.0, 0.0);
    for seed in 0..90 {
        let domain = seed as usize % 3;
        let wide = tariff(Terms { nodes: 90, domain, cross: 0.2, ..terms() });
        let mut desk = Dispatcher::new(&wide, seed);
        let lines = (0..3).map(|x| Listed { domain: x, started: (x == 0).then_some(1), ..line(x) });
        desk.list(0, true, &lines.collect::<Vec<_>>());
        (0..3).for_each(|x| (0..20).for_each(|_| desk.report(0, x, &[0.0, 4.0])));
        for n in 0..50 {
            let now = n * SECOND / 10;
            // Who is warm is full: a node that may send to the cold one does.
            (1..3).for_each(|x| desk.report(now, x, &[9.0, 0.0]));
            let mut op = desk.arrive(now, ask(0));
            if desk.place(now, &mut op) == (Step::Push { executor: 0 }) {
                (work, near) = (work + 1000.0, near + if domain == 0 { 1000.0 } else { 0.0 });
                desk.settle(now, &mut op, 0, Outcome::Full, &[]);
            }
        }
    }
    let budget = 3.0 * 0.5 * 4.0 * 5.0 * SECOND as f64;
    assert!(near > budget / 5.0 && work < budget / 2.0, "{near} and {work} of {budget}");
}

#[test]
fn all_nodes_together_never_push_a_cold_executor_over() {
    // Of 90 nodes and twelve executors in three domains: which executors start and when, by their number, and when
    // nodes hear of it, by theirs. Each node has an op every tenth of a second and nobody warm has room.
    type Case = (&'static str, fn(usize) -> Option<Time>, fn(u64) -> Time);
    let cases: [Case; 3] = [
        ("a domain returns cold", |x| (x % 3 == 0).then_some(1), |n| (n % 5) as Time * SECOND / 10),
        ("a fleet replaced in steps", |x| (x < 8).then_some(1 + x as Time * SECOND / 2), |_| 0),
        ("a mass start amid cold ones", |_| Some(1), |_| SECOND),
    ];
    for (what, started, heard) in cases {
        let mut sent: Vec<Vec<Time>> = vec![Vec::new(); 12];
        for node in 0..90 {
            let domain = node as usize % 3;
            let wide = tariff(Terms { nodes: 90, domain, cross: 0.2, live_weights: true, ..terms() });
            let mut desk = Dispatcher::new(&wide, node);
            let lines = |now: Time| -> Vec<Listed> {
                let line =
                    |x| Listed { domain: x % 3, started: started(x).filter(|at| *at <= now), ..line(x) };
                (0..12).map(line).collect()
            };
            for n in 0..60 {
                let now = heard(node) + n * SECOND / 10 + node as Time;
                desk.list(now, n == 0, &lines(now));
                for x in (0..12).filter(|x| started(*x).is_none_or(|at| at > now)) {
                    desk.report(now, x, &[9.0, 0.0]);
                }
                let mut op = desk.arrive(now, ask(0));
                let mut step = desk.place(now, &mut op);
                while let Step::Push { executor } = step {
                    sent[executor].push(now);
                    let last = op.pushes.len() - 1;
                    step = desk.settle(now, &mut op, last, Outcome::Full, &[]);
                }
            }
        }
        for (x, sent) in sent.iter_mut().enumerate() {
            let Some(start) = started(x) else { continue };
            sent.sort_unstable();
            for from in sent.iter().filter(|at| **at >= start) {
                // Three times its capacity at the time, in ops of a tenth of a second, over the second that tips it.
                let warm = 0.2 + 0.8 * (*from - start) as f64 / (10 * SECOND) as f64;
                let within = sent.iter().filter(|at| (*from..from + SECOND).contains(*at)).count();
                assert!((within as f64) <= 3.0 * 4.0 * warm * 10.0, "{what}: {within} in a second to {x}");
            }
            assert!(sent.iter().any(|at| *at >= start), "{what}: nothing to {x}");
        }
    }
}

#[test]
fn a_domain_out_of_reach_is_left_alone_as_a_whole() {
    // At size each executor of a lost domain would cost a push of an op that has but a few.
    for (outcome, wanted) in [(Outcome::NotConnected, 2), (Outcome::Error, 8)] {
        let mut desk = desk(terms(), 5, 16);
        let mut met = 0;
        for n in 0..40 {
            let mut op = desk.arrive(n * MS, ask(0));
            let mut step = desk.place(n * MS, &mut op);
            while let Step::Push { executor } = step {
                let bad = executor % 2 == 0;
                met += usize::from(bad);
                let outcome = if bad { outcome } else { Outcome::Acked };
                let last = op.pushes.len() - 1;
                step = desk.settle(n * MS, &mut op, last, outcome, &[0.0, 4.0]);
            }
        }
        assert_eq!(met, wanted, "{outcome:?}");
    }
}

#[test]
fn nodes_that_hear_the_same_do_not_all_choose_the_same() {
    let mut counts = vec![0; 60];
    for seed in 0..200 {
        let many = tariff(Terms { nodes: 200, live_weights: true, ..terms() });
        let mut desk = Dispatcher::new(&many, seed);
        let lines: Vec<Listed> = (0..60).map(|x| Listed { domain: 0, ..line(x) }).collect();
        desk.list(0, true, &lines);
        // All but one hold far more than they can run.
        let busy = lines.iter().map(|l| Listed { weight: if l.executor == 7 { 1.0 } else { 0.1 }, ..*l });
        desk.list(MS, false, &busy.collect::<Vec<_>>());
        let mut op = desk.arrive(MS, Ask { deadline: 60 * SECOND, ..ask(0) });
        if let Step::Push { executor } = desk.place(MS, &mut op) {
            counts[executor] += 1;
        }
    }
    // With eight compared it was some 27, each with an op for one who has room for a few.
    assert!((2..16).contains(&counts[7]), "{counts:?} of 200 nodes to the one with room");
}

#[test]
fn a_slow_executor_does_not_lengthen_the_time_left() {
    // The target is set by the op's own work: what runs there many times as long is late.
    for (late, wanted) in [(0.0, false), (0.5, true)] {
        let mut slow = tariff(terms());
        (slow.categories[0].late, slow.categories[2].late) = (late, 0.9);
        let mut desk = Dispatcher::new(&slow, 5);
        // Both categories are learned at one executor, then one that is many times slower is met.
        for n in 0..40 {
            let (category, executor, ran) = if n < 20 { (n % 2 * 2, 1, 1000) } else { (2, 0, 20_000) };
            desk.list(n * SECOND, true, &[line(executor)]);
            serve(&mut desk, n * SECOND, category as usize, ran);
        }
        desk.report(60 * SECOND, 0, &[0.0, 4.0]);
        let mut op = desk.arrive(60 * SECOND, Ask { hint: Some(SECOND), deadline: 90 * SECOND, ..ask(0) });
        let sent = matches!(desk.place(60 * SECOND, &mut op), Step::Push { .. });
        assert_eq!(sent, wanted, "late answers earn {late}");
    }
}

#[test]
fn one_report_tells_the_slots_where_it_tells_what_runs_and_what_is_free() {
    // Held, waiting, free; a node that sees an executor every few seconds learned them in half a minute.
    for (report, slots) in [([4.0, 0.0, 0.0], 4.0), ([7.0, 3.0, 0.0], 4.0), ([1.0, 0.0, 1.0], 2.0)] {
        let mut all = tariff(terms());
        all.gauges = vec![Gauge::Held, Gauge::Waiting, Gauge::FreeSlots];
        let mut desk = Dispatcher::new(&all, 1);
        desk.list(0, true, &[line(0)]);
        desk.report(MS, 0, &report);
        assert_eq!(desk.memory().slots, [slots], "{report:?}");
    }
}

#[test]
fn a_short_op_that_was_held_up_does_not_make_all_ops_long() {
    // One op in ten has a hint of 1 ms and took 100 ms behind others; the rest take what their hints say.
    let mut desk = desk(terms(), 1, 1);
    for n in 0..10 {
        let hint = if n == 4 { 10 } else { 1000 };
        let mut op = desk.arrive(n * SECOND, Ask { hint: Some(hint), ..ask(0) });
        pushed(desk.place(n * SECOND, &mut op));
        desk.note(n * SECOND, &mut op, 0, true, 0.0);
        desk.settle(n * SECOND + 1000, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
        let mean = desk.memory().categories[0].mean;
        assert!((0.8..1.3).contains(&mean), "{mean} after {n}");
    }
}

#[test]
fn the_way_to_an_executor_is_no_wait() {
    // Where an op starts as soon as it has come there, what little was expected is not taken four times.
    let mut desk = desk(Terms { by_priority: true, ..terms() }, 1, 1);
    for n in 0..20 {
        let mut op = desk.arrive(n * SECOND, ask(0));
        pushed(desk.place(n * SECOND, &mut op));
        desk.note(n * SECOND + 3 * MS, &mut op, 0, true, 0.0);
        desk.settle(n * SECOND + 1000, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
    }
    // Six wait before four slots: an op of 0.1 s is to start after 0.18 s, and may take 0.7 s in all.
    desk.report(20 * SECOND, 0, &[6.0, 0.0]);
    let mut op = desk.arrive(20 * SECOND, Ask { deadline: 30 * SECOND, ..ask(0) });
    assert_eq!(pushed(desk.place(20 * SECOND, &mut op)), 0);
}

#[test]
fn an_at_most_once_op_goes_to_who_has_answered_here() {
    // Nodes, which executors have answered, and where ops of a category may go.
    let cases: [(usize, &[usize], usize, &[usize]); 5] = [
        (9, &[1], 4, &[1]),
        (9, &[1, 2], 4, &[1, 2]),
        (9, &[], 4, &[0, 1, 2, 3]),
        (9, &[1], 0, &[0, 1, 2, 3]),
        (2, &[1], 4, &[0, 1, 2, 3]),
    ];
    for (nodes, answered, category, may) in cases {
        let mut went = std::collections::BTreeSet::new();
        for seed in 0..40 {
            let mut desk = desk(Terms { nodes, ..terms() }, seed, 4);
            for executor in answered {
                let mut op = desk.arrive(SECOND, ask(1));
                while pushed(desk.place(SECOND, &mut op)) != *executor {
                    op = desk.arrive(SECOND, ask(1));
                }
                desk.settle(SECOND + 500, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
            }
            let mut op = desk.arrive(2 * SECOND, ask(category));
            went.insert(pushed(desk.place(2 * SECOND, &mut op)));
        }
        assert!(went.iter().all(|executor| may.contains(executor)), "{answered:?} {category}: {went:?}");
        let free = answered.is_empty() || nodes == 2;
        assert!(!free || went.len() > 1, "{nodes} {answered:?}: only {went:?}");
    }
}

#[test]
fn a_category_that_is_not_started_bars_the_executor_for_itself_alone() {
    let mut desk = desk(terms(), 3, 4);
    let mut stuck = vec![];
    let mut elsewhere = 0;
    for turn in 0..200 {
        let now = turn * 20 * MS;
        // Executor 1 starts no at-most-once op; all else goes well everywhere.
        let mut op = desk.arrive(now, Ask { deadline: now + 20 * SECOND, ..ask(4) });
        let executor = pushed(desk.place(now, &mut op));
        if executor == 1 {
            stuck.push((now, op));
        } else {
            desk.note(now, &mut op, 0, true, 0.0);
            desk.settle(now + 5 * MS, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
        }
        elsewhere += usize::from(serve(&mut desk, now, 2, 5 * MS) == 1);
        for (sent, op) in &mut stuck {
            if (now - *sent) % (130 * MS) < 20 * MS {
                // It is told its end as soon as it can't be in time any more.
                let step = desk.place(now, op);
                assert!(matches!(step, Step::Hold | Step::DeadLetter | Step::Stop { .. }), "{step:?}");
            }
        }
    }
    // Those sent before the first was overdue; it is free for others all the while.
    assert!(stuck.len() <= 8 && elsewhere > 20, "{} stuck, {elsewhere} others there", stuck.len());
}

#[test]
fn a_fault_that_may_be_the_connections_alone_leaves_an_executor_in_place() {
    // Outcomes at one executor in turn, and whether it is set aside after them.
    use Outcome::*;
    let cases: [(&[Outcome], bool); 9] = [
        (&[Reset], false),
        (&[Reset, Reset], true),
        (&[Reset, Acked, Reset], false),
        (&[Cut], false),
        (&[Cut, Cut], true),
        (&[Error], true),
        (&[NotConnected], true),
        (&[Unfit, Unfit, Unfit], false),
        (&[Broken, Broken, Broken], false),
    ];
    for (outcomes, aside) in cases {
        let mut desk = desk(terms(), 5, 1);
        for (turn, outcome) in outcomes.iter().enumerate() {
            let now = SECOND + turn as Time * 100 * MS;
            let mut op = desk.arrive(now, Ask { deadline: now + 20 * SECOND, ..ask(0) });
            pushed(desk.place(now, &mut op));
            desk.note(now, &mut op, 0, true, 0.0);
            desk.settle(now + 10 * MS, &mut op, 0, *outcome, &[]);
        }
        let told = desk.log.iter().any(|line| line.contains("set aside"));
        assert_eq!(told, aside, "{outcomes:?}");
    }
    // A push that has gone silent is held against its executor once, not each time it is looked at.
    let mut desk = desk(terms(), 5, 2);
    let mut op = desk.arrive(0, Ask { deadline: 20 * SECOND, ..ask(4) });
    let executor = pushed(desk.place(0, &mut op));
    desk.note(0, &mut op, 0, true, 0.0);
    for second in 1..18 {
        desk.place(second * SECOND, &mut op);
    }
    let word = format!("executor {executor} set aside: silent");
    assert_eq!(desk.log.iter().filter(|line| line.starts_with(&word)).count(), 1);
}

#[test]
fn limits_of_a_route_are_kept_and_only_narrow() {
    let open = |desk: &mut Dispatcher, category, limits| {
        let mut op = desk.arrive(0, Ask { deadline: 9 * SECOND, limits, ..ask(category) });
        let first = pushed(desk.place(0, &mut op));
        (op, first)
    };
    // What is limited, the outcome of a first push after 100 ms, and what follows for a redeliverable op.
    let none = Limits::default();
    let back = 700 * MS;
    let cases = [
        ("nothing", none, Outcome::Error, None),
        ("one push", Limits { pushes: 1, ..none }, Outcome::Error, Some(Step::Nack { come_back: 0 })),
        (
            "the budget",
            Limits { over_budget: back, ..none },
            Outcome::Error,
            Some(Step::Nack { come_back: back }),
        ),
        ("a pause", Limits { pause: 50 * MS, ..none }, Outcome::Error, Some(Step::Hold)),
        (
            "the effect",
            Limits { effect: Some(Effect::AtMostOnce), ..none },
            Outcome::Error,
            Some(Step::DeadLetter),
        ),
    ];
    for (what, limits, outcome, expected) in cases {
        let mut desk = desk(Terms { come_back: SECOND, ..terms() }, 3, 4);
        let (mut op, _) = open(&mut desk, 0, limits);
        let step = desk.settle(100 * MS, &mut op, 0, outcome, &[]);
        match expected {
            Some(expected) => assert_eq!(step, expected, "{what}"),
            None => assert!(matches!(step, Step::Push { .. }), "{what}: {step:?}"),
        }
        if limits.pause > 0 {
            assert_eq!(desk.wait(100 * MS, &op), 150 * MS);
            pushed(desk.place(150 * MS, &mut op));
        }
    }
    // A push without a start, or without news since, is called off at its time, and not before.
    let limits = Limits { no_start: 200 * MS, no_progress: 300 * MS, ..none };
    for category in [0, 1, 4] {
        for started in [false, true] {
            let mut desk = desk(terms(), 5, 4);
            let (mut op, first) = open(&mut desk, category, limits);
            let due = if started { 350 * MS } else { 200 * MS };
            // The others have no room, or it would be moved before.
            (0..4).filter(|x| *x != first).for_each(|x| desk.report(due - 1, x, &[2.0, 0.0]));
            if started {
                desk.note(50 * MS, &mut op, 0, true, 0.0);
            }
            assert!(desk.wait(100 * MS, &op) <= due);
            assert!(!matches!(desk.place(due - 1, &mut op), Step::Stop { .. }));
            assert_eq!(desk.place(due, &mut op), Step::Stop { push: 0 });
            // Of an at-most-once op a time-out is a dead letter, never a push.
            let step = desk.settle(due + 1, &mut op, 0, Outcome::Cancelled, &[]);
            assert_eq!(step == Step::DeadLetter, category == 4, "{category}: {step:?}");
        }
    }
    // Kinds and domains are left out, and a second copy goes at its time where two pushes are allowed at all.
    for copies in [false, true] {
        let mut desk = desk(Terms { second_copies: copies, ..terms() }, 7, 6);
        let (mut op, first) = open(&mut desk, 0, Limits { domains: 0b10, copy_after: 400 * MS, ..none });
        assert_eq!(first % 2, 1);
        desk.note(MS, &mut op, 0, true, 0.0);
        assert_eq!(desk.place(399 * MS, &mut op), Step::Hold);
        match desk.place(400 * MS, &mut op) {
            Step::Push { executor } => assert!(copies && executor % 2 == 1 && executor != first),
            step => assert!(!copies, "{step:?}"),
        }
        // Never of an at-most-once op, whatever is asked for.
        let (mut op, _) = open(&mut desk, 4, Limits { copy_after: 10 * MS, ..none });
        assert!(!matches!(desk.place(500 * MS, &mut op), Step::Push { .. }));
    }
}

// ---- No load reports, messages between instances, priced connections, shares of tenants ----

/// Settings of a deployment whose executors report nothing; `nodes` may send one another messages.
fn silent(me: usize, nodes: usize) -> Tariff {
    let terms = Terms { me, nodes, peers: true, price_peer: 0.01, surplus: 0.05, progress: 0, ..terms() };
    Tariff { gauges: vec![], quotas: vec![100.0, 100.0], ..tariff(terms) }
}

fn sized(executor: usize, weight: f64) -> Listed {
    Listed { weight, domain: 0, kind: weight as usize, ..line(executor) }
}

#[test]
fn where_nothing_is_reported_the_listed_sizes_are_the_slots() {
    let mut desk = Dispatcher::new(&silent(0, 1), 3);
    desk.list(0, true, &[sized(0, 5.0), sized(1, 1.0)]);
    let mut counts = [0; 2];
    for _ in 0..6 {
        let mut op = desk.arrive(MS, Ask { deadline: 20 * SECOND, ..ask(0) });
        counts[pushed(desk.place(MS, &mut op))] += 1;
        desk.note(MS, &mut op, 0, true, 0.0);
    }
    assert_eq!(counts, [5, 1]);
}

#[test]
fn parts_cover_the_fleet_and_each_instance_keeps_to_its_own() {
    // 126 instances can pay for 42 peers each: three parts.
    let lines: Vec<Listed> = (0..30).map(|x| sized(x, 2.0)).collect();
    let mut met = vec![0; 30];
    for me in 0..3 {
        let mut desk = Dispatcher::new(&silent(me, 126), me as u64);
        desk.list(0, true, &lines);
        let own: Vec<usize> = (0..60).map(|n| serve(&mut desk, n * 50 * MS, 0, 100)).collect();
        let mut own: Vec<usize> = own.into_iter().collect();
        own.sort_unstable();
        own.dedup();
        assert_eq!(own.len(), 10, "instance {me}: {own:?}");
        own.into_iter().for_each(|x| met[x] += 1);
    }
    assert_eq!(met, vec![1; 30]);
}

#[test]
fn an_open_connection_is_worth_its_price() {
    for (handshake, most) in [(0.05, 2), (0.0, 8)] {
        let priced = Terms { handshake, keepalive: 10 * SECOND, ..silent(0, 1).terms };
        let mut desk = Dispatcher::new(&Tariff { terms: priced, ..silent(0, 1) }, 7);
        desk.list(0, true, &(0..8).map(|x| sized(x, 2.0)).collect::<Vec<_>>());
        let mut met: Vec<usize> = (0..40).map(|n| serve(&mut desk, n * 100 * MS, 0, 50 * MS)).collect();
        met.sort_unstable();
        met.dedup();
        assert!(met.len() <= most && (handshake > 0.0 || met.len() == 8), "price {handshake}: {met:?}");
    }
}

#[test]
fn ops_of_one_key_go_to_the_same_executors_at_every_instance() {
    let lines: Vec<Listed> = (0..20).map(|x| sized(x, 4.0)).collect();
    let homes = |seed: u64, turned: bool| -> Vec<u64> {
        let mut desk = Dispatcher::new(&silent(0, 1), seed);
        // Their indices differ from instance to instance; what they are called does not.
        let own = |x: usize| if turned { 19 - x } else { x };
        let lines: Vec<Listed> = lines.iter().map(|l| Listed { executor: own(l.executor), ..*l }).collect();
        desk.list(0, true, &lines);
        (1..40u64)
            .map(|key| {
                let now = key as Time * 100 * MS;
                let key = mark(&format!("key {key}"));
                let mut op = desk.arrive(now, Ask { key, deadline: now + 20 * SECOND, ..ask(0) });
                let x = pushed(desk.place(now, &mut op));
                desk.note(now, &mut op, 0, true, 0.0);
                desk.settle(now + 50 * MS, &mut op, 0, Outcome::Acked, &[]);
                lines.iter().find(|l| l.executor == x).map_or(0, |l| l.mark)
            })
            .collect()
    };
    let first = homes(1, false);
    assert_eq!(first, homes(2, true));
    let mut met = first;
    met.sort_unstable();
    met.dedup();
    assert!(met.len() > 8, "keys are spread: {} executors", met.len());
}

/// Two instances before the same executors; what the first sends comes to the second at once.
fn pair(nodes: usize, count: usize) -> (Dispatcher, Dispatcher) {
    let lines: Vec<Listed> = (0..count).map(|x| sized(x, 2.0)).collect();
    let mut both = [0, 1].map(|me| Dispatcher::new(&silent(me, nodes), 5 + me as u64));
    both.iter_mut().for_each(|desk| desk.list(0, true, &lines));
    let [one, two] = both;
    (one, two)
}

fn carry(now: Time, from: &mut Dispatcher, to: &mut Dispatcher) {
    from.upkeep(now);
    from.letters.drain(..).for_each(|letter| to.heard(now, 0, &letter.text));
}

#[test]
fn what_is_over_a_share_waits_for_room_and_is_told_to_come_back_in_time() {
    // Each tenant may send 100 ops a second. A peer tells that tenant 0 sends 550 there, and what it holds.
    for (held, over) in [(0, 0.95..=1.01), (2, 0.05..=0.35)] {
        let (mut desk, _) = pair(2, 12);
        let mut served = [0.0; 2];
        for n in 0..800 {
            let now = (n + 1) * 10 * MS;
            if n % 100 == 0 {
                let mut text = vec![1, 2, (5500 % 256) as u8, (5500 / 256) as u8, 0, 0];
                for x in 0..12 {
                    text.extend((line(x).mark as u16).to_le_bytes());
                    text.push(held);
                }
                desk.heard(now, 1, &text);
            }
            let tenant = (n % 2) as usize;
            let mut op = desk.arrive(now, Ask { tenant, deadline: now + 20 * SECOND, ..ask(0) });
            match desk.place(now, &mut op) {
                Step::Push { .. } => {
                    desk.note(now, &mut op, 0, true, 0.0);
                    desk.settle(now + MS, &mut op, 0, Outcome::Acked, &[]);
                    // The first seconds are needed to learn the rates.
                    served[tenant] += if n >= 400 { 1.0 / 200.0 } else { 0.0 };
                }
                Step::Nack { come_back } => assert!(come_back <= 1250, "{come_back}"),
                other => panic!("{other:?}"),
            }
        }
        assert!(served[1] > 0.99 && over.contains(&served[0]), "{held} held: {served:?}");
    }
}

#[test]
fn a_node_that_gets_nothing_any_more_tells_no_rate() {
    let (mut desk, _) = pair(2, 4);
    (0..100).for_each(|n| _ = serve(&mut desk, n * 100 * MS, 0, MS));
    for (now, wanted) in [(11 * SECOND, true), (60 * SECOND, false)] {
        desk.letters.clear();
        desk.upkeep(now);
        let text = &desk.letters[0].text;
        assert_eq!(text[1], 2, "rates are told");
        assert_eq!(u16::from_le_bytes([text[2], text[3]]) > 50, wanted, "at {now}: {text:?}");
    }
}

#[test]
fn peers_shun_who_one_of_them_saw_fail_a_category_and_come_back_later() {
    let (mut one, mut two) = pair(2, 2);
    let mut op = one.arrive(0, Ask { deadline: 60 * SECOND, ..ask(4) });
    let x = pushed(one.place(0, &mut op));
    // It does not start, for longer than a quarter of its target and twice the wait expected.
    one.place(130 * MS, &mut op);
    carry(2 * SECOND, &mut one, &mut two);
    let barred = |desk: &mut Dispatcher, category: usize| {
        (0..20).all(|n| {
            let now = 2 * SECOND + n * MS;
            let mut op = desk.arrive(now, Ask { deadline: now + 60 * SECOND, ..ask(category) });
            let at = pushed(desk.place(now, &mut op));
            desk.note(now, &mut op, 0, true, 0.0);
            desk.settle(now, &mut op, 0, Outcome::Acked, &[]);
            at != x
        })
    };
    assert!(barred(&mut two, 4), "the category that was not started");
    assert!(!barred(&mut two, 0), "others are free to go there");
}

#[test]
fn an_op_that_cannot_be_in_time_any_more_gets_its_answer_at_once() {
    // An answer past 500 ms and twice its own work is worth nothing; its TTL is 20 s.
    for (category, wanted) in [(4, Step::DeadLetter), (0, Step::Nack { come_back: 0 })] {
        let mut desk = Dispatcher::new(&silent(0, 1), 3);
        desk.list(0, true, &[sized(0, 2.0)]);
        let mut op = desk.arrive(0, Ask { deadline: 20 * SECOND, ..ask(category) });
        pushed(desk.place(0, &mut op));
        let (mut now, mut step) = (0, Step::Hold);
        while step == Step::Hold && now < 20 * SECOND {
            now = desk.wait(now, &op);
            step = desk.place(now, &mut op);
        }
        assert!(step == wanted && now < 8000, "category {category}: {step:?} at {now}");
        assert_eq!(desk.place(now, &mut op), Step::Stop { push: 0 }, "what nobody waits for is called off");
    }
}

#[test]
fn hundreds_of_nodes_with_few_ops_send_few_messages() {
    // A day of 693 nodes broke off at four million messages.
    let mut desk = Dispatcher::new(&silent(0, 693), 3);
    desk.list(0, true, &(0..473).map(|x| sized(x, 2.0)).collect::<Vec<_>>());
    let mut sent = 0;
    for n in 0..400 {
        let now = n * SECOND / 20;
        if n % 5 == 0 {
            serve(&mut desk, now, 0, 10);
        }
        desk.upkeep(now);
        sent += desk.letters.drain(..).count();
    }
    // 20 s, 80 ops, 43 peers.
    assert!((500..1200).contains(&sent), "{sent} messages");
}

#[test]
fn the_share_done_tells_of_a_slowed_executor_before_its_op_ends() {
    for (done, wanted) in [(0.0, true), (0.5, true), (0.05, false)] {
        let mut desk = Dispatcher::new(&silent(0, 1), 5);
        desk.list(0, true, &[sized(0, 4.0), sized(1, 4.0)]);
        (0..40).for_each(|n| _ = serve(&mut desk, n * 250 * MS, 0, 1000));
        let now = 10 * SECOND;
        // One op at each; the first note comes after a tenth of a second of running.
        let mut out: Vec<(usize, Op)> = (0..2)
            .map(|_| {
                let mut op = desk.arrive(now, Ask { deadline: now + 60 * SECOND, ..ask(0) });
                let x = pushed(desk.place(now, &mut op));
                desk.note(now, &mut op, 0, true, 0.0);
                (x, op)
            })
            .collect();
        let (slow, op) = &mut out[0];
        (0..8).for_each(|_| {
            // Only the first note of a push counts.
            desk.note(now + 500, op, 0, false, done);
        });
        desk.list(now + 500, false, &[]);
        let slow = *slow;
        let mut next = desk.arrive(now + 500, Ask { deadline: now + 60 * SECOND, ..ask(0) });
        desk.place(now + 500, &mut next);
        let share = desk.shares().nth(slow).unwrap();
        assert_eq!(share > 0.35, wanted, "{done} done after half the usual time: share {share}");
    }
}

#[test]
fn an_op_waits_for_who_keeps_what_it_needs_but_not_for_longer_than_a_set_up() {
    for (held, stays) in [(0, true), (1, true), (12, false)] {
        let (mut desk, _) = pair(2, 6);
        (0..30).for_each(|n| _ = serve(&mut desk, n * 250 * MS, 0, 1000));
        let now = 10 * SECOND;
        let key = mark("a key");
        let mut home = |now: Time, settle: bool| {
            let mut op = desk.arrive(now, Ask { key, deadline: now + 60 * SECOND, ..ask(0) });
            let x = pushed(desk.place(now, &mut op));
            desk.note(now, &mut op, 0, true, 0.0);
            if settle {
                desk.settle(now + MS, &mut op, 0, Outcome::Acked, &[]);
                let mut text = vec![1, 0];
                text.extend((line(x).mark as u16).to_le_bytes());
                text.push(held);
                desk.heard(now + MS, 1, &text);
            }
            x
        };
        let first = home(now, true);
        assert_eq!(home(now + 2 * MS, false) == first, stays, "{held} slots of two held by a peer");
    }
}

#[test]
fn who_is_out_by_hand_gets_nothing_and_comes_back_cold() {
    let mut desk = desk(terms(), 3, 3);
    let mut now = SECOND;
    (0..60).for_each(|n| {
        serve(&mut desk, now + n * 100, 0, 900);
    });
    // A push there that was kept back is held against nobody and takes none of the op's pushes.
    let mut op = desk.arrive(now, Ask { limits: Limits { pushes: 2, ..Limits::default() }, ..ask(4) });
    let first = pushed(desk.place(now, &mut op));
    desk.disable(now, first, true);
    let second = pushed(desk.settle(now, &mut op, 0, Outcome::Withheld, &[]));
    let third = pushed(desk.settle(now, &mut op, 1, Outcome::NotConnected, &[]));
    assert!(second != first && third != first && desk.avoids(now, first));
    assert_eq!(desk.settle(now, &mut op, 2, Outcome::Acked, &[]), Step::Hold);
    // Not by a list that names it anew, nor under a fresh start, nor twice out and asked again.
    for round in 0..3 {
        now += SECOND;
        let started = (round == 2).then_some(now);
        desk.list(now, round == 1, &[line(0), line(1), Listed { started, ..line(first) }, line(2)]);
        desk.disable(now, first, true);
        for n in 0..30 {
            assert_ne!(serve(&mut desk, now + n * 300, 0, 500), first, "round {round}");
        }
        assert_eq!(desk.shares().nth(first), Some(0.0));
    }
    // All are out: what comes is nacked, and nothing is pushed.
    (0..3).for_each(|executor| desk.disable(now, executor, true));
    let mut none = desk.arrive(now, ask(0));
    assert_eq!(desk.place(now, &mut none), Step::Hold);
    assert!(matches!(desk.place(now + SECOND, &mut none), Step::Nack { .. }));
    (0..3).filter(|executor| *executor != first).for_each(|executor| desk.disable(now, executor, false));
    // Back, it is cold whatever the list knows of its start, and an older start is no news.
    now += 20 * SECOND;
    desk.disable(now, first, false);
    desk.list(now, false, &[Listed { started: Some(now - 3 * SECOND), ..line(first) }]);
    assert!(!desk.avoids(now, first));
    let mut sent = Vec::new();
    for n in 0..200 {
        let at = now + n * 250;
        if serve(&mut desk, at, 0, 500) == first {
            sent.push(at - now);
        }
    }
    let early = sent.iter().filter(|at| **at < SECOND).count();
    assert!(early <= 3 && sent.first().is_some_and(|at| *at < 5 * SECOND), "{sent:?}");
}

#[test]
fn a_successor_takes_over_what_was_learned_and_no_more() {
    let mut old = desk(terms(), 3, 4);
    // Executor 1 runs three times as long, executor 2 has failed just now, executor 3 restarts meanwhile.
    for n in 0..300 {
        let now = SECOND + n * 400;
        let mut op = old.arrive(now, Ask { deadline: now + 20 * SECOND, ..ask(0) });
        let executor = pushed(old.place(now, &mut op));
        old.note(now, &mut op, 0, true, 0.0);
        let ran = if executor == 1 { 3000 } else { 1000 };
        old.settle(now + ran, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
    }
    let now = 14 * SECOND;
    let mut op = old.arrive(now, ask(0));
    while pushed(old.place(now, &mut op)) != 2 {
        op = old.arrive(now, ask(0));
    }
    old.settle(now, &mut op, 0, Outcome::NotConnected, &[]);
    let memory = old.memory();
    let begin = || {
        let mut new = Dispatcher::new(&tariff(terms()), 9);
        new.list(now, true, &[line(0), line(1), line(2), Listed { started: Some(now - 10), ..line(3) }]);
        new
    };
    let shares = |new: &mut Dispatcher| {
        let mut op = new.arrive(now, ask(0));
        new.place(now, &mut op);
        new.shares().collect::<Vec<f64>>()
    };
    let (mut bare, mut new) = (begin(), begin());
    new.recall(now, memory.clone());
    let (bare, shares) = (shares(&mut bare), shares(&mut new));
    assert!(bare[1] > 0.2 && bare[2] > 0.2, "{bare:?}");
    assert!(shares[1] < shares[0] / 2.0 && shares[2] == 0.0 && new.avoids(now, 2), "{shares:?}");
    assert!(shares[3] < shares[0] / 2.0, "it has restarted since and is cold: {shares:?}");
    // One that knows other categories has learned of something else.
    let mut other = begin();
    let categories = memory.categories[..2].to_vec();
    other.recall(now, stileroute_dispatch::state::Memory { categories, ..memory });
    assert!(!other.avoids(now, 2));
}
