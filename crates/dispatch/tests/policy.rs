//! Decision tests of the dispatcher, mostly tables of cases.

use stileroute_dispatch::policy::{split, Dispatcher};
use stileroute_dispatch::types::*;

const MS: Time = 10;

fn category(effect: Effect) -> Category {
    Category { target: 5000, stretch: 2.0, effect, benefit: 1.0, late: 0.0, kind: None, priority: 0 }
}

fn terms() -> InstanceSettings {
    InstanceSettings {
        tick: 2 * MS,
        nodes: 2,
        cancel: true,
        max_pushes: 4,
        tip_after: SECOND,
        start_share: 0.2,
        warm_within: 10 * SECOND,
        progress: SECOND,
        ..InstanceSettings::default()
    }
}

const DEDUPLICATED_BY_DOMAIN: Effect = Effect::Deduplicated { scope: Scope::Domain, window: SECOND };
const DEDUPLICATED_EVERYWHERE: Effect = Effect::Deduplicated { scope: Scope::All, window: SECOND };
const DEDUPLICATED_BY_CELL: Effect = Effect::Deduplicated { scope: Scope::Cell, window: SECOND };

/// Categories 0 to 4: redeliverable, deduplicated by domain, everywhere and by cell, at-most-once.
fn dispatch_settings(terms: InstanceSettings) -> DispatchSettings {
    let effects = [
        Effect::Redeliverable,
        DEDUPLICATED_BY_DOMAIN,
        DEDUPLICATED_EVERYWHERE,
        DEDUPLICATED_BY_CELL,
        Effect::AtMostOnce,
    ];
    DispatchSettings {
        terms,
        categories: effects.into_iter().map(category).collect(),
        overload_factor: 3.0,
        gauges: vec![Gauge::Waiting, Gauge::FreeSlots],
        ..DispatchSettings::default()
    }
}

fn list_entry(executor: usize) -> ListedExecutor {
    ListedExecutor {
        executor,
        domain: executor % 2,
        kind: 0,
        cell: executor / 2,
        active: true,
        weight: 1.0,
        name_hash: name_hash(&format!("executor {executor}")),
        started: None,
    }
}

/// An instance that knows `count` warm executors of four slots, alternating between two domains.
fn warm_dispatcher(terms: InstanceSettings, seed: u64, count: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(&dispatch_settings(terms), seed);
    let lines: Vec<ListedExecutor> = (0..count).map(list_entry).collect();
    dispatcher.list(0, true, &lines);
    for executor in 0..count {
        (0..20).for_each(|_| dispatcher.report(0, executor, &[0.0, 4.0]));
    }
    dispatcher
}

fn request(category: usize) -> OpRequest {
    OpRequest {
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

fn pushed_executor(step: Step) -> usize {
    match step {
        Step::Push { executor } => executor,
        other => panic!("expected a push, got {other:?}"),
    }
}

/// Sends one op at `now` that is acked after `ran`, and returns the executor that it went to.
fn run_op(dispatcher: &mut Dispatcher, now: Time, category: usize, ran: Time) -> usize {
    let mut op = dispatcher.arrive(now, OpRequest { deadline: now + 20 * SECOND, ..request(category) });
    let executor = pushed_executor(dispatcher.place(now, &mut op));
    dispatcher.note(now, &mut op, 0, true, 0.0);
    assert_eq!(dispatcher.settle(now + ran, &mut op, 0, Outcome::Acked, &[0.0, 4.0]), Step::Wait);
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
        ("no idle capacity: by rate alone", &[3.0, 1.0], 1.0, &[0.75, 0.25]),
        ("one is gone", &[1.0, 0.0, 1.0], 0.6, &[0.5, 0.0, 0.5]),
        ("none", &[0.0, 0.0], 0.6, &[0.0, 0.0]),
    ];
    for (name, rates, target_use, expected) in cases {
        let ones = vec![1.0; rates.len()];
        // The unit of the clock scales all rates alike and must not change the shares.
        for unit in [1.0, 1e-4] {
            let scaled: Vec<f64> = rates.iter().map(|r| r * unit).collect();
            let shares = split(&scaled, &ones, &ones, 1.0, target_use);
            for (share, want) in shares.iter().zip(expected) {
                assert!((share - want).abs() < 1e-4, "{name}: {shares:?}");
            }
            let sum: f64 = shares.iter().sum();
            assert!(name == "none" || (sum - 1.0).abs() < 1e-9, "{name}: sums to {sum}");
        }
    }
    // An executor with a higher cost or a more variable service time gets a smaller share.
    let even = [1.0, 1.0];
    assert!(split(&even, &even, &[4.0, 1.0], 1.0, 0.6)[0] < 0.5);
    assert!(split(&even, &[4.0, 1.0], &even, 1.0, 0.6)[0] < 0.5);
}

#[test]
fn equal_executors_take_even_turns_and_a_new_one_no_burst() {
    for seed in 0..5 {
        let mut dispatcher = warm_dispatcher(terms(), seed, 4);
        let mut counts = [0; 5];
        for n in 0..40 {
            counts[run_op(&mut dispatcher, n * SECOND / 4, 0, 100)] += 1;
        }
        assert!(counts[..4].iter().all(|c| (8..=12).contains(c)), "seed {seed}: {counts:?}");
        dispatcher.list(10 * SECOND, false, &[list_entry(4)]);
        let mut late = 0;
        for n in 0..10 {
            late += usize::from(run_op(&mut dispatcher, 10 * SECOND + n * SECOND / 4, 0, 100) == 4);
        }
        assert!((1..=4).contains(&late), "seed {seed}: {late} of 10 ops to the new executor");
    }
}

#[test]
fn a_slow_executor_gets_a_smaller_share() {
    let mut dispatcher = warm_dispatcher(terms(), 3, 3);
    let mut counts = [0; 3];
    for n in 0..200 {
        let now = n * SECOND / 4;
        let mut op = dispatcher.arrive(now, OpRequest { deadline: now + 20 * SECOND, ..request(0) });
        let executor = pushed_executor(dispatcher.place(now, &mut op));
        dispatcher.note(now, &mut op, 0, true, 0.0);
        let ran = if executor == 0 { 2500 } else { 1000 };
        dispatcher.settle(now + ran, &mut op, 0, Outcome::Acked, &[]);
        counts[executor] += usize::from(n >= 40);
    }
    assert!(counts[0] * 2 < counts[1], "{counts:?}");
}

#[test]
fn each_effect_keeps_its_rule_after_each_outcome() {
    // What follows an outcome: a retry, a nack or a dead letter.
    let ran = [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled];
    let never = [Outcome::Full, Outcome::NotConnected, Outcome::NeverStarted];
    for outcome in ran.into_iter().chain(never) {
        for kind in 0..5 {
            let mut dispatcher = warm_dispatcher(terms(), 7, 4);
            let mut op = dispatcher.arrive(0, request(kind));
            let first = pushed_executor(dispatcher.place(0, &mut op));
            let step = dispatcher.settle(MS, &mut op, 0, outcome, &[]);
            match (kind, ran.contains(&outcome)) {
                (4, true) => assert_eq!(step, Step::DeadLetter, "{outcome:?}: may have run once"),
                (1, true) => assert_eq!(pushed_executor(step) % 2, first % 2, "{outcome:?}: same domain"),
                (3, true) => assert_eq!(pushed_executor(step) / 2, first / 2, "{outcome:?}: same cell"),
                _ => assert_ne!(pushed_executor(step), first, "{outcome:?} of category {kind}: elsewhere"),
            }
        }
    }
}

#[test]
fn a_deduplicated_op_is_not_resent_after_its_window() {
    for (kind, expected) in [(1, Step::DeadLetter), (2, Step::Nack { retry_after: 0 })] {
        let mut dispatcher = warm_dispatcher(terms(), 7, 4);
        let mut op = dispatcher.arrive(0, request(kind));
        pushed_executor(dispatcher.place(0, &mut op));
        assert_eq!(dispatcher.settle(SECOND, &mut op, 0, Outcome::Error, &[]), expected);
    }
}

#[test]
fn a_push_is_not_sent_after_its_window_or_its_deadline() {
    // Category, outcome of the first push, latest time at which the second push may be sent.
    let cases = [
        (2, Outcome::Error, SECOND),
        (2, Outcome::Full, 9 * SECOND),
        (0, Outcome::Error, 9 * SECOND),
        (4, Outcome::NotConnected, 9 * SECOND),
    ];
    for (category, outcome, by) in cases {
        let mut dispatcher = warm_dispatcher(terms(), 1, 4);
        let mut op = dispatcher.arrive(0, OpRequest { deadline: 9 * SECOND, ..request(category) });
        pushed_executor(dispatcher.place(0, &mut op));
        assert_eq!(op.send_deadline(dispatch_settings(terms()).categories[category].effect), 9 * SECOND);
        pushed_executor(dispatcher.settle(100, &mut op, 0, outcome, &[]));
        assert_eq!(
            op.send_deadline(dispatch_settings(terms()).categories[category].effect),
            by,
            "{category} {outcome:?}"
        );
        op.limit_deadline(SECOND / 2);
        assert_eq!(op.send_deadline(Effect::AtMostOnce), SECOND / 2);
    }
}

#[test]
fn every_op_ends_before_its_ttl() {
    let harmless = [true, false, true, false, false];
    for (kind, harmless) in harmless.into_iter().enumerate() {
        let mut dispatcher = warm_dispatcher(InstanceSettings { cancel: false, ..terms() }, 1, 2);
        let mut op = dispatcher.arrive(0, OpRequest { deadline: SECOND, ..request(kind) });
        pushed_executor(dispatcher.place(0, &mut op));
        dispatcher.note(MS, &mut op, 0, true, 0.0);
        let mut now = MS;
        let last = loop {
            let next = dispatcher.wait(now, &op);
            assert!(next > now && next < SECOND);
            now = next;
            let step = dispatcher.place(now, &mut op);
            if step != Step::Wait {
                break step;
            }
        };
        assert!(now < SECOND && op.closed);
        assert_eq!(last, if harmless { Step::Nack { retry_after: 0 } } else { Step::DeadLetter });
        // The late outcome of an op that has its final answer causes no further step.
        assert_eq!(dispatcher.settle(2 * SECOND, &mut op, 0, Outcome::Error, &[]), Step::Wait);
    }
}

#[test]
fn nothing_goes_to_a_draining_or_unlisted_executor() {
    let mut dispatcher = warm_dispatcher(terms(), 5, 4);
    dispatcher.list(MS, false, &[ListedExecutor { active: false, ..list_entry(1) }]);
    assert!((0..20).all(|n| run_op(&mut dispatcher, MS + n * SECOND / 4, 0, 100) != 1));
    // A complete list replaces all that was known.
    dispatcher.list(6 * SECOND, true, &[list_entry(2)]);
    assert!((0..8).all(|n| run_op(&mut dispatcher, 6 * SECOND + n * SECOND / 4, 0, 100) == 2));
    dispatcher.list(9 * SECOND, true, &[]);
    let mut op = dispatcher.arrive(9 * SECOND, request(0));
    assert_eq!(dispatcher.place(9 * SECOND, &mut op), Step::Wait);
    let mut now = 9 * SECOND;
    while !op.closed {
        now = dispatcher.wait(now, &op);
        assert!(now <= 9 * SECOND + 2500, "the op was kept with no push in flight");
        assert!(matches!(dispatcher.place(now, &mut op), Step::Wait | Step::Nack { .. }));
    }
}

#[test]
fn a_cold_executor_gets_no_more_than_its_part_of_the_budget() {
    let mut dispatcher = warm_dispatcher(terms(), 5, 1);
    dispatcher.list(0, false, &[ListedExecutor { started: Some(1), ..list_entry(1) }]);
    // Half of 3 times a fifth of four slots for a second, shared by two nodes.
    let budget = 0.5 * 3.0 * 0.25 * 4.0 * SECOND as f64 / 2.0;
    let mut work = 0.0;
    for n in 0..60 {
        let mut op = dispatcher.arrive(n * MS, request(0));
        if dispatcher.place(n * MS, &mut op) == (Step::Push { executor: 1 }) {
            work += 1000.0;
        }
    }
    assert!(work > 0.0 && work <= budget, "{work} of {budget}");
}

#[test]
fn a_failing_executor_is_ejected_and_returns() {
    let mut dispatcher = warm_dispatcher(terms(), 5, 2);
    let mut bad = 0;
    for n in 0..200 {
        let now = n * SECOND / 10;
        let mut op = dispatcher.arrive(now, request(0));
        let executor = pushed_executor(dispatcher.place(now, &mut op));
        let failing = executor == 0 && n < 100;
        bad += usize::from(failing);
        dispatcher.note(now, &mut op, 0, true, 0.0);
        dispatcher.settle(now + MS, &mut op, 0, if failing { Outcome::Error } else { Outcome::Acked }, &[]);
    }
    assert!((1..=6).contains(&bad), "{bad} ops went to the failing executor");
    let after_recovery =
        (0..20).filter(|n| run_op(&mut dispatcher, 20 * SECOND + n * SECOND / 4, 0, MS) == 0).count();
    assert!(after_recovery >= 5, "{after_recovery} of 20 after it recovered");
}

#[test]
fn an_op_stuck_on_a_silent_executor_is_moved() {
    for copies in [false, true] {
        let mut dispatcher = warm_dispatcher(InstanceSettings { hedging: copies, ..terms() }, 5, 2);
        let mut op =
            dispatcher.arrive(0, OpRequest { hint: Some(3 * SECOND), deadline: 20 * SECOND, ..request(0) });
        let first = pushed_executor(dispatcher.place(0, &mut op));
        dispatcher.note(0, &mut op, 0, true, 0.0);
        let now = dispatcher.wait(0, &op);
        assert!(now >= 2 * SECOND, "progress is due each second");
        let step = dispatcher.place(now, &mut op);
        if copies {
            assert_ne!(pushed_executor(step), first);
        } else {
            // Never two pushes at once: the first is cancelled, and its outcome has to arrive before the next
            // is sent.
            assert_eq!(step, Step::Cancel { push: 0 });
            assert_eq!(dispatcher.place(now, &mut op), Step::Wait);
            assert_ne!(
                pushed_executor(dispatcher.settle(now + MS, &mut op, 0, Outcome::Cancelled, &[])),
                first
            );
        }
    }
}

#[test]
fn an_op_that_cannot_be_in_time_is_nacked_at_once() {
    let mut dispatcher = warm_dispatcher(InstanceSettings { retry_after: 2 * SECOND, ..terms() }, 5, 2);
    let mut last = Step::Wait;
    for n in 0..200 {
        let mut op: Op = dispatcher.arrive(n, request(0));
        last = dispatcher.place(n, &mut op);
        if let Step::Nack { retry_after } = last {
            assert!(retry_after > 0 && retry_after <= 2 * SECOND && op.pushes.is_empty());
            return;
        }
    }
    panic!("no op was rejected, last step: {last:?}");
}

#[test]
fn the_list_is_subscribed_to_again_after_a_refusal() {
    let mut dispatcher = warm_dispatcher(InstanceSettings { subscribe: true, ..terms() }, 5, 2);
    assert!(dispatcher.upkeep(0));
    dispatcher.list_call_failed(MS, false);
    assert!(!dispatcher.upkeep(2 * MS), "not at once: all nodes would call together");
    assert!(dispatcher.upkeep(2 * SECOND));
    dispatcher.list(3 * SECOND, false, &[]);
    assert!(!dispatcher.upkeep(30 * SECOND), "subscribed");
}

#[test]
fn the_list_backoff_grows_with_rejections_and_nodes() {
    // Nodes, list calls rejected in a row, whether for lack of capacity, and the longest wait after that in
    // seconds.
    let cases = [
        (2, 6, true, 1.27),
        (48, 1, true, 3.21),
        (48, 3, true, 12.1),
        (48, 9, true, 24.25),
        (48, 9, false, 1.73),
    ];
    for (nodes, calls, capacity_rejection, most) in cases {
        let waits = (0..200).map(|seed| {
            let mut dispatcher =
                warm_dispatcher(InstanceSettings { nodes, subscribe: true, ..terms() }, seed, 4);
            (0..calls).for_each(|_| dispatcher.list_call_failed(0, capacity_rejection));
            (0..).map(|n| n * SECOND / 20).find(|at| dispatcher.upkeep(*at)).unwrap() as f64 / SECOND as f64
        });
        let waits: Vec<f64> = waits.collect();
        let (least, longest) =
            waits.iter().fold((f64::MAX, 0.0), |(l, m), w| (f64::min(l, *w), f64::max(m, *w)));
        assert!(
            longest <= most + 0.05 && longest > most * 0.9 && least < 0.25 + most * 0.1,
            "{nodes} {calls}: {least} {longest}"
        );
    }
    // A single list update resets the backoff to its start.
    let mut dispatcher = warm_dispatcher(InstanceSettings { nodes: 48, subscribe: true, ..terms() }, 1, 4);
    (0..9).for_each(|_| dispatcher.list_call_failed(0, true));
    dispatcher.list(0, false, &[]);
    dispatcher.list_call_failed(0, true);
    assert!((0..33).any(|n| dispatcher.upkeep(n * SECOND / 10)));
}

#[test]
fn the_same_seed_and_events_give_the_same_answers() {
    let run = |seed| {
        let mut dispatcher = warm_dispatcher(terms(), seed, 5);
        (0..50)
            .map(|n| run_op(&mut dispatcher, n * SECOND / 10, (n % 5) as usize, 300 + n * 7))
            .collect::<Vec<_>>()
    };
    assert_eq!(run(11), run(11));
    assert_ne!(run(11), run(12), "the seed decides between equal executors");
}

#[test]
fn capacity_is_judged_for_the_width_of_the_op() {
    // Reports of two executors (waiting, free slots), the op's width, and the executor it has to go to.
    let cases = [
        ("a wide op waits for most of an executor", [0.0, 2.0], [0.0, 4.0], 4.0, 1),
        ("a queue behind free slots leaves no capacity", [2.0, 2.0], [0.0, 1.0], 1.0, 1),
        ("slots in use are worse than free slots", [0.0, 4.0], [0.0, 0.0], 1.0, 0),
    ];
    for (name, first, second, slots, expected) in cases {
        for seed in 0..8 {
            let mut dispatcher = warm_dispatcher(terms(), seed, 2);
            dispatcher.report(MS, 0, &first);
            dispatcher.report(MS, 1, &second);
            let mut op = dispatcher.arrive(MS, OpRequest { slots, deadline: 30 * SECOND, ..request(0) });
            assert_eq!(pushed_executor(dispatcher.place(MS, &mut op)), expected, "{name}, seed {seed}");
        }
    }
}

#[test]
fn a_queued_push_is_moved_but_never_hedged() {
    // A queued push runs in any case where hedging is allowed, so a second push would only waste work. This
    // guards against a short op, whose expected wait is less than the interval between two checks, staying
    // queued behind others indefinitely.
    for (copies, hint) in [(false, SECOND), (false, SECOND / 10), (true, SECOND)] {
        let mut dispatcher = warm_dispatcher(InstanceSettings { hedging: copies, ..terms() }, 5, 2);
        let mut op =
            dispatcher.arrive(0, OpRequest { hint: Some(hint), deadline: 20 * SECOND, ..request(0) });
        let first = pushed_executor(dispatcher.place(0, &mut op));
        let now = 2 * dispatcher.wait(0, &op);
        if hint == SECOND {
            dispatcher.report(now, first, &[9.0, 0.0]);
        }
        dispatcher.report(now, 1 - first, &[0.0, 4.0]);
        assert_eq!(
            dispatcher.place(now, &mut op),
            if copies { Step::Wait } else { Step::Cancel { push: 0 } }
        );
    }
}

#[test]
fn a_push_crosses_domains_only_when_it_pays() {
    for (cross, held, expected) in [(0.0, 4.0, 1), (0.5, 4.0, 0), (0.05, 40.0, 1)] {
        let mut dispatcher = warm_dispatcher(InstanceSettings { cross, ..terms() }, 5, 2);
        dispatcher.report(MS, 0, &[held - 4.0, 0.0]);
        dispatcher.report(MS, 1, &[0.0, 4.0]);
        let mut op = dispatcher.arrive(MS, OpRequest { deadline: 30 * SECOND, ..request(0) });
        assert_eq!(pushed_executor(dispatcher.place(MS, &mut op)), expected, "price {cross}, held {held}");
    }
}

#[test]
fn an_op_may_cross_before_it_is_turned_away() {
    // Price, nodes, slots in use in this domain, and whether the op crosses; otherwise it stays or is
    // rejected.
    for (cross, nodes, held, across) in [
        (0.3, 2, 4.0, false),
        (0.3, 2, 8.0, true),
        (0.3, 9, 8.0, false),
        (1.5, 2, 8.0, false),
        (0.0, 2, 8.0, true),
    ] {
        let mut posted = dispatch_settings(InstanceSettings { cross, ..terms() });
        posted.terms.nodes = nodes;
        posted.categories.iter_mut().for_each(|category| category.target = 1000);
        let mut dispatcher = Dispatcher::new(&posted, 5);
        dispatcher.list(0, true, &[list_entry(0), list_entry(1)]);
        (0..20).for_each(|_| (0..2).for_each(|executor| dispatcher.report(0, executor, &[0.0, 4.0])));
        dispatcher.report(MS, 0, &[held - 4.0, 0.0]);
        dispatcher.report(MS, 1, &[0.0, 4.0]);
        let mut op = dispatcher.arrive(MS, OpRequest { deadline: 30 * SECOND, ..request(0) });
        let step = dispatcher.place(MS, &mut op);
        assert_eq!(step == Step::Push { executor: 1 }, across, "{cross}, {nodes}, {held}: {step:?}");
    }
}

#[test]
fn nodes_that_learn_of_a_start_together_do_not_overload_the_executor() {
    // Each node's part of the warm-up budget is a fraction of one op: if the first op were free, all nodes
    // would send one at once.
    let nodes = 300;
    let (mut first, mut all) = (0, 0);
    for seed in 0..nodes {
        let settings = dispatch_settings(InstanceSettings { nodes: nodes as usize, ..terms() });
        let mut dispatcher = Dispatcher::new(&settings, seed);
        dispatcher.list(0, true, &[ListedExecutor { started: Some(1), ..list_entry(0) }]);
        (0..20).for_each(|_| dispatcher.report(0, 0, &[0.0, 4.0]));
        for n in 0..10 {
            let mut op = dispatcher.arrive(n * SECOND, request(0));
            if let Step::Push { .. } = dispatcher.place(n * SECOND, &mut op) {
                (first, all) = (first + usize::from(n == 0), all + 1);
                dispatcher.settle(n * SECOND, &mut op, 0, Outcome::Full, &[]);
            }
        }
    }
    // Ops of 0.1 s against 3 times 0.2 to 1 of four slots for a second, less than half of which is used.
    assert!(first <= 3, "{first} ops at once");
    assert!((20..=400).contains(&all), "{all} ops during warm-up");
}

#[test]
fn nodes_of_its_own_domain_warm_a_cold_executor() {
    // Of 90 nodes in three domains, only those of the executor's domain use the warm-up budget, as crossing
    // is too expensive for the others. Divided evenly, the budget let through only 35 of these ops in 5 s, an
    // eighth of what all nodes may send.
    let (mut work, mut near) = (0.0, 0.0);
    for seed in 0..90 {
        let domain = seed as usize % 3;
        let settings = dispatch_settings(InstanceSettings { nodes: 90, domain, cross: 0.2, ..terms() });
        let mut dispatcher = Dispatcher::new(&settings, seed);
        let lines =
            (0..3).map(|x| ListedExecutor { domain: x, started: (x == 0).then_some(1), ..list_entry(x) });
        dispatcher.list(0, true, &lines.collect::<Vec<_>>());
        (0..3).for_each(|x| (0..20).for_each(|_| dispatcher.report(0, x, &[0.0, 4.0])));
        for n in 0..50 {
            let now = n * SECOND / 10;
            // The warm executors are full, so a node that may send to the cold one does.
            (1..3).for_each(|x| dispatcher.report(now, x, &[9.0, 0.0]));
            let mut op = dispatcher.arrive(now, request(0));
            if dispatcher.place(now, &mut op) == (Step::Push { executor: 0 }) {
                (work, near) = (work + 1000.0, near + if domain == 0 { 1000.0 } else { 0.0 });
                dispatcher.settle(now, &mut op, 0, Outcome::Full, &[]);
            }
        }
    }
    let budget = 3.0 * 0.5 * 4.0 * 5.0 * SECOND as f64;
    assert!(near > budget / 5.0 && work < budget / 2.0, "{near} and {work} of {budget}");
}

#[test]
fn all_nodes_together_never_overload_a_cold_executor() {
    // 90 nodes and twelve executors in three domains. A case gives the start time of each executor by its
    // number, and the time at which each node learns of it by the node's number. Each node has an op every
    // tenth of a second, and no warm executor has a free slot.
    type Case = (&'static str, fn(usize) -> Option<Time>, fn(u64) -> Time);
    let cases: [Case; 3] = [
        ("a domain returns cold", |x| (x % 3 == 0).then_some(1), |n| (n % 5) as Time * SECOND / 10),
        ("a fleet replaced in steps", |x| (x < 8).then_some(1 + x as Time * SECOND / 2), |_| 0),
        ("a mass start among cold executors", |_| Some(1), |_| SECOND),
    ];
    for (what, started, heard) in cases {
        let mut sent: Vec<Vec<Time>> = vec![Vec::new(); 12];
        for node in 0..90 {
            let domain = node as usize % 3;
            let settings = dispatch_settings(InstanceSettings {
                nodes: 90,
                domain,
                cross: 0.2,
                live_weights: true,
                ..terms()
            });
            let mut dispatcher = Dispatcher::new(&settings, node);
            let lines = |now: Time| -> Vec<ListedExecutor> {
                let entry = |x| ListedExecutor {
                    domain: x % 3,
                    started: started(x).filter(|at| *at <= now),
                    ..list_entry(x)
                };
                (0..12).map(entry).collect()
            };
            for n in 0..60 {
                let now = heard(node) + n * SECOND / 10 + node as Time;
                dispatcher.list(now, n == 0, &lines(now));
                for x in (0..12).filter(|x| started(*x).is_none_or(|at| at > now)) {
                    dispatcher.report(now, x, &[9.0, 0.0]);
                }
                let mut op = dispatcher.arrive(now, request(0));
                let mut step = dispatcher.place(now, &mut op);
                while let Step::Push { executor } = step {
                    sent[executor].push(now);
                    let last = op.pushes.len() - 1;
                    step = dispatcher.settle(now, &mut op, last, Outcome::Full, &[]);
                }
            }
        }
        for (x, sent) in sent.iter_mut().enumerate() {
            let Some(start) = started(x) else { continue };
            sent.sort_unstable();
            for from in sent.iter().filter(|at| **at >= start) {
                // Three times its capacity at that time, in ops of a tenth of a second, over the one second
                // after which it is overloaded.
                let warm = 0.2 + 0.8 * (*from - start) as f64 / (10 * SECOND) as f64;
                let within = sent.iter().filter(|at| (*from..from + SECOND).contains(*at)).count();
                assert!((within as f64) <= 3.0 * 4.0 * warm * 10.0, "{what}: {within} in a second to {x}");
            }
            assert!(sent.iter().any(|at| *at >= start), "{what}: nothing to {x}");
        }
    }
}

#[test]
fn an_unreachable_domain_is_ejected_as_a_whole() {
    // In a large fleet, each executor of an unreachable domain would cost a push of an op that has only a
    // few.
    for (outcome, expected) in [(Outcome::NotConnected, 2), (Outcome::Error, 8)] {
        let mut dispatcher = warm_dispatcher(terms(), 5, 16);
        let mut receivers = 0;
        for n in 0..40 {
            let mut op = dispatcher.arrive(n * MS, request(0));
            let mut step = dispatcher.place(n * MS, &mut op);
            while let Step::Push { executor } = step {
                let bad = executor % 2 == 0;
                receivers += usize::from(bad);
                let outcome = if bad { outcome } else { Outcome::Acked };
                let last = op.pushes.len() - 1;
                step = dispatcher.settle(n * MS, &mut op, last, outcome, &[0.0, 4.0]);
            }
        }
        assert_eq!(receivers, expected, "{outcome:?}");
    }
}

#[test]
fn nodes_with_the_same_weights_do_not_all_choose_the_same_executor() {
    let mut counts = vec![0; 60];
    for seed in 0..200 {
        let many = dispatch_settings(InstanceSettings { nodes: 200, live_weights: true, ..terms() });
        let mut dispatcher = Dispatcher::new(&many, seed);
        let lines: Vec<ListedExecutor> =
            (0..60).map(|x| ListedExecutor { domain: 0, ..list_entry(x) }).collect();
        dispatcher.list(0, true, &lines);
        // All executors but one have far more work than they can run.
        let busy =
            lines.iter().map(|l| ListedExecutor { weight: if l.executor == 7 { 1.0 } else { 0.1 }, ..*l });
        dispatcher.list(MS, false, &busy.collect::<Vec<_>>());
        let mut op = dispatcher.arrive(MS, OpRequest { deadline: 60 * SECOND, ..request(0) });
        if let Step::Push { executor } = dispatcher.place(MS, &mut op) {
            counts[executor] += 1;
        }
    }
    // With eight executors compared per node the number was some 27, each node with an op for an executor that
    // has capacity for a few.
    assert!((2..16).contains(&counts[7]), "{counts:?} of 200 nodes chose the executor with free slots");
}

#[test]
fn a_slow_executor_does_not_lengthen_the_time_left() {
    // The target latency follows from the op's own work, so a run that takes many times as long is late.
    for (late, expected) in [(0.0, false), (0.5, true)] {
        let mut slow = dispatch_settings(terms());
        (slow.categories[0].late, slow.categories[2].late) = (late, 0.9);
        let mut dispatcher = Dispatcher::new(&slow, 5);
        // Both categories are learned at one executor before an executor that is many times slower joins.
        for n in 0..40 {
            let (category, executor, ran) = if n < 20 { (n % 2 * 2, 1, 1000) } else { (2, 0, 20_000) };
            dispatcher.list(n * SECOND, true, &[list_entry(executor)]);
            run_op(&mut dispatcher, n * SECOND, category as usize, ran);
        }
        dispatcher.report(60 * SECOND, 0, &[0.0, 4.0]);
        let mut op = dispatcher
            .arrive(60 * SECOND, OpRequest { hint: Some(SECOND), deadline: 90 * SECOND, ..request(0) });
        let sent = matches!(dispatcher.place(60 * SECOND, &mut op), Step::Push { .. });
        assert_eq!(sent, expected, "late answers earn {late}");
    }
}

#[test]
fn one_report_of_running_and_free_slots_gives_all_slots() {
    // Reports of held and waiting ops and free slots. Guards against slow learning of the slots: a node that
    // gets a report every few seconds needed half a minute.
    for (report, slots) in [([4.0, 0.0, 0.0], 4.0), ([7.0, 3.0, 0.0], 4.0), ([1.0, 0.0, 1.0], 2.0)] {
        let mut all = dispatch_settings(terms());
        all.gauges = vec![Gauge::Held, Gauge::Waiting, Gauge::FreeSlots];
        let mut dispatcher = Dispatcher::new(&all, 1);
        dispatcher.list(0, true, &[list_entry(0)]);
        dispatcher.report(MS, 0, &report);
        assert_eq!(dispatcher.learned_state().slots, [slots], "{report:?}");
    }
}

#[test]
fn a_short_op_that_was_held_up_does_not_make_all_ops_long() {
    // One op in ten has a hint of 1 ms and took 100 ms behind others; the rest take as long as their hints
    // say.
    let mut dispatcher = warm_dispatcher(terms(), 1, 1);
    for n in 0..10 {
        let hint = if n == 4 { 10 } else { 1000 };
        let mut op = dispatcher.arrive(n * SECOND, OpRequest { hint: Some(hint), ..request(0) });
        pushed_executor(dispatcher.place(n * SECOND, &mut op));
        dispatcher.note(n * SECOND, &mut op, 0, true, 0.0);
        dispatcher.settle(n * SECOND + 1000, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
        let mean = dispatcher.learned_state().categories[0].mean;
        assert!((0.8..1.3).contains(&mean), "{mean} after {n}");
    }
}

#[test]
fn network_delay_is_not_taken_for_a_queueing_wait() {
    // Where ops start as soon as they arrive, a near-zero expected wait must not be corrected by a factor of
    // four.
    let mut dispatcher = warm_dispatcher(InstanceSettings { by_priority: true, ..terms() }, 1, 1);
    for n in 0..20 {
        let mut op = dispatcher.arrive(n * SECOND, request(0));
        pushed_executor(dispatcher.place(n * SECOND, &mut op));
        dispatcher.note(n * SECOND + 3 * MS, &mut op, 0, true, 0.0);
        dispatcher.settle(n * SECOND + 1000, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
    }
    // Six ops wait before four slots: an op of 0.1 s is expected to start after 0.18 s, and may take 0.7 s in
    // all.
    dispatcher.report(20 * SECOND, 0, &[6.0, 0.0]);
    let mut op = dispatcher.arrive(20 * SECOND, OpRequest { deadline: 30 * SECOND, ..request(0) });
    assert_eq!(pushed_executor(dispatcher.place(20 * SECOND, &mut op)), 0);
}

#[test]
fn an_at_most_once_op_goes_to_executors_that_have_acked() {
    // Nodes, the executors that have acked, a category, and the executors to which its ops may go.
    let cases: [(usize, &[usize], usize, &[usize]); 5] = [
        (9, &[1], 4, &[1]),
        (9, &[1, 2], 4, &[1, 2]),
        (9, &[], 4, &[0, 1, 2, 3]),
        (9, &[1], 0, &[0, 1, 2, 3]),
        (2, &[1], 4, &[0, 1, 2, 3]),
    ];
    for (nodes, answered, category, allowed) in cases {
        let mut went = std::collections::BTreeSet::new();
        for seed in 0..40 {
            let mut dispatcher = warm_dispatcher(InstanceSettings { nodes, ..terms() }, seed, 4);
            for executor in answered {
                let mut op = dispatcher.arrive(SECOND, request(1));
                while pushed_executor(dispatcher.place(SECOND, &mut op)) != *executor {
                    op = dispatcher.arrive(SECOND, request(1));
                }
                dispatcher.settle(SECOND + 500, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
            }
            let mut op = dispatcher.arrive(2 * SECOND, request(category));
            went.insert(pushed_executor(dispatcher.place(2 * SECOND, &mut op)));
        }
        assert!(went.iter().all(|executor| allowed.contains(executor)), "{answered:?} {category}: {went:?}");
        let free = answered.is_empty() || nodes == 2;
        assert!(!free || went.len() > 1, "{nodes} {answered:?}: only {went:?}");
    }
}

#[test]
fn a_category_that_is_not_started_is_blocked_alone() {
    let mut dispatcher = warm_dispatcher(terms(), 3, 4);
    let mut stuck = vec![];
    let mut elsewhere = 0;
    for turn in 0..200 {
        let now = turn * 20 * MS;
        // Executor 1 starts no at-most-once op; all other ops succeed everywhere.
        let mut op = dispatcher.arrive(now, OpRequest { deadline: now + 20 * SECOND, ..request(4) });
        let executor = pushed_executor(dispatcher.place(now, &mut op));
        if executor == 1 {
            stuck.push((now, op));
        } else {
            dispatcher.note(now, &mut op, 0, true, 0.0);
            dispatcher.settle(now + 5 * MS, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
        }
        elsewhere += usize::from(run_op(&mut dispatcher, now, 2, 5 * MS) == 1);
        for (sent, op) in &mut stuck {
            if (now - *sent) % (130 * MS) < 20 * MS {
                // The op gets its final answer as soon as it can no longer be in time.
                let step = dispatcher.place(now, op);
                assert!(matches!(step, Step::Wait | Step::DeadLetter | Step::Cancel { .. }), "{step:?}");
            }
        }
    }
    // Only ops sent before the first one was overdue are stuck; other categories still go to the executor all
    // the time.
    assert!(
        stuck.len() <= 8 && elsewhere > 20,
        "{} stuck, {elsewhere} ops of other categories there",
        stuck.len()
    );
}

#[test]
fn a_fault_of_one_connection_does_not_eject_the_executor() {
    // Outcomes at one executor in turn, and whether it is ejected after them.
    use Outcome::*;
    let cases: [(&[Outcome], bool); 9] = [
        (&[Reset], false),
        (&[Reset, Reset], true),
        (&[Reset, Acked, Reset], false),
        (&[Cut], false),
        (&[Cut, Cut], true),
        (&[Error], true),
        (&[NotConnected], true),
        (&[Rejected, Rejected, Rejected], false),
        (&[Broken, Broken, Broken], false),
    ];
    for (outcomes, expect_ejected) in cases {
        let mut dispatcher = warm_dispatcher(terms(), 5, 1);
        for (turn, outcome) in outcomes.iter().enumerate() {
            let now = SECOND + turn as Time * 100 * MS;
            let mut op = dispatcher.arrive(now, OpRequest { deadline: now + 20 * SECOND, ..request(0) });
            pushed_executor(dispatcher.place(now, &mut op));
            dispatcher.note(now, &mut op, 0, true, 0.0);
            dispatcher.settle(now + 10 * MS, &mut op, 0, *outcome, &[]);
        }
        let ejected = dispatcher.log.iter().any(|line| line.contains("set aside"));
        assert_eq!(ejected, expect_ejected, "{outcomes:?}");
    }
    // A push without progress counts against its executor once, not at each check.
    let mut dispatcher = warm_dispatcher(terms(), 5, 2);
    let mut op = dispatcher.arrive(0, OpRequest { deadline: 20 * SECOND, ..request(4) });
    let executor = pushed_executor(dispatcher.place(0, &mut op));
    dispatcher.note(0, &mut op, 0, true, 0.0);
    for second in 1..18 {
        dispatcher.place(second * SECOND, &mut op);
    }
    let prefix = format!("executor {executor} set aside: silent");
    assert_eq!(dispatcher.log.iter().filter(|line| line.starts_with(&prefix)).count(), 1);
}

#[test]
fn route_limits_apply_and_only_narrow_the_category() {
    let open = |dispatcher: &mut Dispatcher, category, limits| {
        let mut op = dispatcher.arrive(0, OpRequest { deadline: 9 * SECOND, limits, ..request(category) });
        let first = pushed_executor(dispatcher.place(0, &mut op));
        (op, first)
    };
    // The limit, the outcome of a first push after 100 ms, and what follows for a redeliverable op.
    let none = Limits::default();
    let budget_wait = 700 * MS;
    let cases = [
        ("nothing", none, Outcome::Error, None),
        ("one push", Limits { pushes: 1, ..none }, Outcome::Error, Some(Step::Nack { retry_after: 0 })),
        (
            "the retry budget",
            Limits { over_budget: budget_wait, ..none },
            Outcome::Error,
            Some(Step::Nack { retry_after: budget_wait }),
        ),
        ("a backoff", Limits { pause: 50 * MS, ..none }, Outcome::Error, Some(Step::Wait)),
        (
            "the effect",
            Limits { effect: Some(Effect::AtMostOnce), ..none },
            Outcome::Error,
            Some(Step::DeadLetter),
        ),
    ];
    for (what, limits, outcome, expected) in cases {
        let mut dispatcher = warm_dispatcher(InstanceSettings { retry_after: SECOND, ..terms() }, 3, 4);
        let (mut op, _) = open(&mut dispatcher, 0, limits);
        let step = dispatcher.settle(100 * MS, &mut op, 0, outcome, &[]);
        match expected {
            Some(expected) => assert_eq!(step, expected, "{what}"),
            None => assert!(matches!(step, Step::Push { .. }), "{what}: {step:?}"),
        }
        if limits.pause > 0 {
            assert_eq!(dispatcher.wait(100 * MS, &op), 150 * MS);
            pushed_executor(dispatcher.place(150 * MS, &mut op));
        }
    }
    // A push without a start, or without progress since its start, is cancelled exactly at its time-out.
    let limits = Limits { no_start: 200 * MS, no_progress: 300 * MS, ..none };
    for category in [0, 1, 4] {
        for started in [false, true] {
            let mut dispatcher = warm_dispatcher(terms(), 5, 4);
            let (mut op, first) = open(&mut dispatcher, category, limits);
            let due = if started { 350 * MS } else { 200 * MS };
            // The other executors have no free slot, otherwise the op would be moved earlier.
            (0..4).filter(|x| *x != first).for_each(|x| dispatcher.report(due - 1, x, &[2.0, 0.0]));
            if started {
                dispatcher.note(50 * MS, &mut op, 0, true, 0.0);
            }
            assert!(dispatcher.wait(100 * MS, &op) <= due);
            assert!(!matches!(dispatcher.place(due - 1, &mut op), Step::Cancel { .. }));
            assert_eq!(dispatcher.place(due, &mut op), Step::Cancel { push: 0 });
            // An at-most-once op that times out becomes a dead letter and is never pushed again.
            let step = dispatcher.settle(due + 1, &mut op, 0, Outcome::Cancelled, &[]);
            assert_eq!(step == Step::DeadLetter, category == 4, "{category}: {step:?}");
        }
    }
    // Excluded kinds and domains get no op, and a hedged request is sent at its time where two pushes at once
    // are allowed.
    for copies in [false, true] {
        let mut dispatcher = warm_dispatcher(InstanceSettings { hedging: copies, ..terms() }, 7, 6);
        let (mut op, first) =
            open(&mut dispatcher, 0, Limits { domains: 0b10, copy_after: 400 * MS, ..none });
        assert_eq!(first % 2, 1);
        dispatcher.note(MS, &mut op, 0, true, 0.0);
        assert_eq!(dispatcher.place(399 * MS, &mut op), Step::Wait);
        match dispatcher.place(400 * MS, &mut op) {
            Step::Push { executor } => assert!(copies && executor % 2 == 1 && executor != first),
            step => assert!(!copies, "{step:?}"),
        }
        // An at-most-once op is never hedged, whatever its limits say.
        let (mut op, _) = open(&mut dispatcher, 4, Limits { copy_after: 10 * MS, ..none });
        assert!(!matches!(dispatcher.place(500 * MS, &mut op), Step::Push { .. }));
    }
}

// ---- No load reports, messages between instances, priced connections, quotas of tenants ----

/// Settings of a deployment whose executors report nothing; `nodes` instances may send one another messages.
fn settings_without_reports(me: usize, nodes: usize) -> DispatchSettings {
    let terms = InstanceSettings {
        me,
        nodes,
        peers: true,
        message_price: 0.01,
        surplus: 0.05,
        progress: 0,
        ..terms()
    };
    DispatchSettings { gauges: vec![], quotas: vec![100.0, 100.0], ..dispatch_settings(terms) }
}

fn entry_of_size(executor: usize, weight: f64) -> ListedExecutor {
    ListedExecutor { weight, domain: 0, kind: weight as usize, ..list_entry(executor) }
}

#[test]
fn without_load_reports_the_listed_sizes_are_the_slots() {
    let mut dispatcher = Dispatcher::new(&settings_without_reports(0, 1), 3);
    dispatcher.list(0, true, &[entry_of_size(0, 5.0), entry_of_size(1, 1.0)]);
    let mut counts = [0; 2];
    for _ in 0..6 {
        let mut op = dispatcher.arrive(MS, OpRequest { deadline: 20 * SECOND, ..request(0) });
        counts[pushed_executor(dispatcher.place(MS, &mut op))] += 1;
        dispatcher.note(MS, &mut op, 0, true, 0.0);
    }
    assert_eq!(counts, [5, 1]);
}

#[test]
fn partitions_cover_the_fleet_and_each_instance_keeps_to_its_own() {
    // 126 instances can pay for messages to 42 peers each, which makes three partitions.
    let lines: Vec<ListedExecutor> = (0..30).map(|x| entry_of_size(x, 2.0)).collect();
    let mut receivers = vec![0; 30];
    for me in 0..3 {
        let mut dispatcher = Dispatcher::new(&settings_without_reports(me, 126), me as u64);
        dispatcher.list(0, true, &lines);
        let own: Vec<usize> = (0..60).map(|n| run_op(&mut dispatcher, n * 50 * MS, 0, 100)).collect();
        let mut own: Vec<usize> = own.into_iter().collect();
        own.sort_unstable();
        own.dedup();
        assert_eq!(own.len(), 10, "instance {me}: {own:?}");
        own.into_iter().for_each(|x| receivers[x] += 1);
    }
    assert_eq!(receivers, vec![1; 30]);
}

#[test]
fn open_connections_are_reused_where_connecting_has_a_price() {
    for (handshake, most) in [(0.05, 2), (0.0, 8)] {
        let priced =
            InstanceSettings { handshake, keepalive: 10 * SECOND, ..settings_without_reports(0, 1).terms };
        let mut dispatcher =
            Dispatcher::new(&DispatchSettings { terms: priced, ..settings_without_reports(0, 1) }, 7);
        dispatcher.list(0, true, &(0..8).map(|x| entry_of_size(x, 2.0)).collect::<Vec<_>>());
        let mut receivers: Vec<usize> =
            (0..40).map(|n| run_op(&mut dispatcher, n * 100 * MS, 0, 50 * MS)).collect();
        receivers.sort_unstable();
        receivers.dedup();
        assert!(
            receivers.len() <= most && (handshake > 0.0 || receivers.len() == 8),
            "price {handshake}: {receivers:?}"
        );
    }
}

#[test]
fn ops_of_one_key_go_to_the_same_executors_at_every_instance() {
    let lines: Vec<ListedExecutor> = (0..20).map(|x| entry_of_size(x, 4.0)).collect();
    let executors_by_key = |seed: u64, reversed: bool| -> Vec<u64> {
        let mut dispatcher = Dispatcher::new(&settings_without_reports(0, 1), seed);
        // Executor indices differ between instances; executor names do not.
        let own = |x: usize| if reversed { 19 - x } else { x };
        let lines: Vec<ListedExecutor> =
            lines.iter().map(|l| ListedExecutor { executor: own(l.executor), ..*l }).collect();
        dispatcher.list(0, true, &lines);
        (1..40u64)
            .map(|key| {
                let now = key as Time * 100 * MS;
                let key = name_hash(&format!("key {key}"));
                let mut op =
                    dispatcher.arrive(now, OpRequest { key, deadline: now + 20 * SECOND, ..request(0) });
                let x = pushed_executor(dispatcher.place(now, &mut op));
                dispatcher.note(now, &mut op, 0, true, 0.0);
                dispatcher.settle(now + 50 * MS, &mut op, 0, Outcome::Acked, &[]);
                lines.iter().find(|l| l.executor == x).map_or(0, |l| l.name_hash)
            })
            .collect()
    };
    let first = executors_by_key(1, false);
    assert_eq!(first, executors_by_key(2, true));
    let mut receivers = first;
    receivers.sort_unstable();
    receivers.dedup();
    assert!(receivers.len() > 8, "keys are spread: {} executors", receivers.len());
}

/// Two instances with the same executors; messages of the first reach the second at once.
fn pair_of_instances(nodes: usize, count: usize) -> (Dispatcher, Dispatcher) {
    let lines: Vec<ListedExecutor> = (0..count).map(|x| entry_of_size(x, 2.0)).collect();
    let mut both = [0, 1].map(|me| Dispatcher::new(&settings_without_reports(me, nodes), 5 + me as u64));
    both.iter_mut().for_each(|dispatcher| dispatcher.list(0, true, &lines));
    let [one, two] = both;
    (one, two)
}

fn deliver_messages(now: Time, from: &mut Dispatcher, to: &mut Dispatcher) {
    from.upkeep(now);
    from.outgoing.drain(..).for_each(|letter| to.receive_message(now, 0, &letter.text));
}

#[test]
fn ops_over_quota_need_spare_capacity_and_get_an_early_retry_after() {
    // Each tenant has a quota of 100 ops a second. A peer reports that tenant 0 sends 550 a second there, and
    // the slots it uses.
    for (held, over) in [(0, 0.95..=1.01), (2, 0.05..=0.35)] {
        let (mut dispatcher, _) = pair_of_instances(2, 12);
        let mut served = [0.0; 2];
        for n in 0..800 {
            let now = (n + 1) * 10 * MS;
            if n % 100 == 0 {
                let mut text = vec![1, 2, (5500 % 256) as u8, (5500 / 256) as u8, 0, 0];
                for x in 0..12 {
                    text.extend((list_entry(x).name_hash as u16).to_le_bytes());
                    text.push(held);
                }
                dispatcher.receive_message(now, 1, &text);
            }
            let tenant = (n % 2) as usize;
            let mut op =
                dispatcher.arrive(now, OpRequest { tenant, deadline: now + 20 * SECOND, ..request(0) });
            match dispatcher.place(now, &mut op) {
                Step::Push { .. } => {
                    dispatcher.note(now, &mut op, 0, true, 0.0);
                    dispatcher.settle(now + MS, &mut op, 0, Outcome::Acked, &[]);
                    // The first seconds are needed to learn the rates.
                    served[tenant] += if n >= 400 { 1.0 / 200.0 } else { 0.0 };
                }
                Step::Nack { retry_after } => assert!(retry_after <= 1250, "{retry_after}"),
                other => panic!("{other:?}"),
            }
        }
        assert!(served[1] > 0.99 && over.contains(&served[0]), "{held} held: {served:?}");
    }
}

#[test]
fn the_reported_rate_of_a_node_without_arrivals_decays() {
    let (mut dispatcher, _) = pair_of_instances(2, 4);
    (0..100).for_each(|n| _ = run_op(&mut dispatcher, n * 100 * MS, 0, MS));
    for (now, expected) in [(11 * SECOND, true), (60 * SECOND, false)] {
        dispatcher.outgoing.clear();
        dispatcher.upkeep(now);
        let text = &dispatcher.outgoing[0].text;
        assert_eq!(text[1], 2, "the message has two rates");
        assert_eq!(u16::from_le_bytes([text[2], text[3]]) > 50, expected, "at {now}: {text:?}");
    }
}

#[test]
fn peers_block_a_category_that_one_of_them_saw_unstarted() {
    let (mut one, mut two) = pair_of_instances(2, 2);
    let mut op = one.arrive(0, OpRequest { deadline: 60 * SECOND, ..request(4) });
    let x = pushed_executor(one.place(0, &mut op));
    // The op does not start for longer than a quarter of its target latency and twice the expected wait.
    one.place(130 * MS, &mut op);
    deliver_messages(2 * SECOND, &mut one, &mut two);
    let blocked = |dispatcher: &mut Dispatcher, category: usize| {
        (0..20).all(|n| {
            let now = 2 * SECOND + n * MS;
            let mut op =
                dispatcher.arrive(now, OpRequest { deadline: now + 60 * SECOND, ..request(category) });
            let at = pushed_executor(dispatcher.place(now, &mut op));
            dispatcher.note(now, &mut op, 0, true, 0.0);
            dispatcher.settle(now, &mut op, 0, Outcome::Acked, &[]);
            at != x
        })
    };
    assert!(blocked(&mut two, 4), "the category that was not started is blocked");
    assert!(!blocked(&mut two, 0), "other categories still go there");
}

#[test]
fn an_op_that_cannot_be_in_time_any_more_gets_its_answer_at_once() {
    // An answer later than 500 ms plus twice the op's own work is worth nothing; the op's TTL is 20 s.
    for (category, expected) in [(4, Step::DeadLetter), (0, Step::Nack { retry_after: 0 })] {
        let mut dispatcher = Dispatcher::new(&settings_without_reports(0, 1), 3);
        dispatcher.list(0, true, &[entry_of_size(0, 2.0)]);
        let mut op = dispatcher.arrive(0, OpRequest { deadline: 20 * SECOND, ..request(category) });
        pushed_executor(dispatcher.place(0, &mut op));
        let (mut now, mut step) = (0, Step::Wait);
        while step == Step::Wait && now < 20 * SECOND {
            now = dispatcher.wait(now, &op);
            step = dispatcher.place(now, &mut op);
        }
        assert!(step == expected && now < 8000, "category {category}: {step:?} at {now}");
        assert_eq!(
            dispatcher.place(now, &mut op),
            Step::Cancel { push: 0 },
            "a push that nobody waits for is cancelled"
        );
    }
}

#[test]
fn hundreds_of_nodes_with_few_ops_send_few_messages() {
    // A simulated day of 693 nodes was aborted at four million messages.
    let mut dispatcher = Dispatcher::new(&settings_without_reports(0, 693), 3);
    dispatcher.list(0, true, &(0..473).map(|x| entry_of_size(x, 2.0)).collect::<Vec<_>>());
    let mut sent = 0;
    for n in 0..400 {
        let now = n * SECOND / 20;
        if n % 5 == 0 {
            run_op(&mut dispatcher, now, 0, 10);
        }
        dispatcher.upkeep(now);
        sent += dispatcher.outgoing.drain(..).count();
    }
    // 20 s, 80 ops, 43 peers.
    assert!((500..1200).contains(&sent), "{sent} messages");
}

#[test]
fn the_first_progress_note_reveals_a_slowed_executor() {
    for (done, expected) in [(0.0, true), (0.5, true), (0.05, false)] {
        let mut dispatcher = Dispatcher::new(&settings_without_reports(0, 1), 5);
        dispatcher.list(0, true, &[entry_of_size(0, 4.0), entry_of_size(1, 4.0)]);
        (0..40).for_each(|n| _ = run_op(&mut dispatcher, n * 250 * MS, 0, 1000));
        let now = 10 * SECOND;
        // One op at each executor; the first progress note comes after a tenth of a second of running.
        let mut out: Vec<(usize, Op)> = (0..2)
            .map(|_| {
                let mut op = dispatcher.arrive(now, OpRequest { deadline: now + 60 * SECOND, ..request(0) });
                let x = pushed_executor(dispatcher.place(now, &mut op));
                dispatcher.note(now, &mut op, 0, true, 0.0);
                (x, op)
            })
            .collect();
        let (slow, op) = &mut out[0];
        (0..8).for_each(|_| {
            // Only the first progress note of a push counts.
            dispatcher.note(now + 500, op, 0, false, done);
        });
        dispatcher.list(now + 500, false, &[]);
        let slow = *slow;
        let mut next = dispatcher.arrive(now + 500, OpRequest { deadline: now + 60 * SECOND, ..request(0) });
        dispatcher.place(now + 500, &mut next);
        let share = dispatcher.shares().nth(slow).unwrap();
        assert_eq!(share > 0.35, expected, "{done} done after half the usual time: share {share}");
    }
}

#[test]
fn an_op_waits_for_a_cached_key_no_longer_than_a_setup_takes() {
    for (held, same_executor) in [(0, true), (1, true), (12, false)] {
        let (mut dispatcher, _) = pair_of_instances(2, 6);
        (0..30).for_each(|n| _ = run_op(&mut dispatcher, n * 250 * MS, 0, 1000));
        let now = 10 * SECOND;
        let key = name_hash("a key");
        let mut place_op = |now: Time, settle: bool| {
            let mut op = dispatcher.arrive(now, OpRequest { key, deadline: now + 60 * SECOND, ..request(0) });
            let x = pushed_executor(dispatcher.place(now, &mut op));
            dispatcher.note(now, &mut op, 0, true, 0.0);
            if settle {
                dispatcher.settle(now + MS, &mut op, 0, Outcome::Acked, &[]);
                let mut text = vec![1, 0];
                text.extend((list_entry(x).name_hash as u16).to_le_bytes());
                text.push(held);
                dispatcher.receive_message(now + MS, 1, &text);
            }
            x
        };
        let first = place_op(now, true);
        assert_eq!(
            place_op(now + 2 * MS, false) == first,
            same_executor,
            "{held} of two slots in use by a peer"
        );
    }
}

#[test]
fn a_disabled_executor_gets_nothing_and_returns_cold() {
    let mut dispatcher = warm_dispatcher(terms(), 3, 3);
    let mut now = SECOND;
    (0..60).for_each(|n| {
        run_op(&mut dispatcher, now + n * 100, 0, 900);
    });
    // A push held back because its executor was disabled counts against no executor and uses up none of the
    // op's pushes.
    let mut op =
        dispatcher.arrive(now, OpRequest { limits: Limits { pushes: 2, ..Limits::default() }, ..request(4) });
    let first = pushed_executor(dispatcher.place(now, &mut op));
    dispatcher.disable(now, first, true);
    let second = pushed_executor(dispatcher.settle(now, &mut op, 0, Outcome::Withheld, &[]));
    let third = pushed_executor(dispatcher.settle(now, &mut op, 1, Outcome::NotConnected, &[]));
    assert!(second != first && third != first && dispatcher.avoids(now, first));
    assert_eq!(dispatcher.settle(now, &mut op, 2, Outcome::Acked, &[]), Step::Wait);
    // The executor stays disabled when a list names it again, when it restarts, and when it is disabled a
    // second time.
    for round in 0..3 {
        now += SECOND;
        let started = (round == 2).then_some(now);
        dispatcher.list(
            now,
            round == 1,
            &[list_entry(0), list_entry(1), ListedExecutor { started, ..list_entry(first) }, list_entry(2)],
        );
        dispatcher.disable(now, first, true);
        for n in 0..30 {
            assert_ne!(run_op(&mut dispatcher, now + n * 300, 0, 500), first, "round {round}");
        }
        assert_eq!(dispatcher.shares().nth(first), Some(0.0));
    }
    // With all executors disabled, an op is nacked and nothing is pushed.
    (0..3).for_each(|executor| dispatcher.disable(now, executor, true));
    let mut none = dispatcher.arrive(now, request(0));
    assert_eq!(dispatcher.place(now, &mut none), Step::Wait);
    assert!(matches!(dispatcher.place(now + SECOND, &mut none), Step::Nack { .. }));
    (0..3)
        .filter(|executor| *executor != first)
        .for_each(|executor| dispatcher.disable(now, executor, false));
    // Once enabled again the executor is cold whatever the list says of its start, and an older start changes
    // nothing.
    now += 20 * SECOND;
    dispatcher.disable(now, first, false);
    dispatcher.list(now, false, &[ListedExecutor { started: Some(now - 3 * SECOND), ..list_entry(first) }]);
    assert!(!dispatcher.avoids(now, first));
    let mut sent = Vec::new();
    for n in 0..200 {
        let at = now + n * 250;
        if run_op(&mut dispatcher, at, 0, 500) == first {
            sent.push(at - now);
        }
    }
    let early = sent.iter().filter(|at| **at < SECOND).count();
    assert!(early <= 3 && sent.first().is_some_and(|at| *at < 5 * SECOND), "{sent:?}");
}

#[test]
fn a_successor_takes_over_what_was_learned_and_no_more() {
    let mut old = warm_dispatcher(terms(), 3, 4);
    // Executor 1 runs ops three times as long, executor 2 has just failed, executor 3 restarts meanwhile.
    for n in 0..300 {
        let now = SECOND + n * 400;
        let mut op = old.arrive(now, OpRequest { deadline: now + 20 * SECOND, ..request(0) });
        let executor = pushed_executor(old.place(now, &mut op));
        old.note(now, &mut op, 0, true, 0.0);
        let ran = if executor == 1 { 3000 } else { 1000 };
        old.settle(now + ran, &mut op, 0, Outcome::Acked, &[0.0, 4.0]);
    }
    let now = 14 * SECOND;
    let mut op = old.arrive(now, request(0));
    while pushed_executor(old.place(now, &mut op)) != 2 {
        op = old.arrive(now, request(0));
    }
    old.settle(now, &mut op, 0, Outcome::NotConnected, &[]);
    let memory = old.learned_state();
    let successor = || {
        let mut new = Dispatcher::new(&dispatch_settings(terms()), 9);
        new.list(
            now,
            true,
            &[
                list_entry(0),
                list_entry(1),
                list_entry(2),
                ListedExecutor { started: Some(now - 10), ..list_entry(3) },
            ],
        );
        new
    };
    let shares = |new: &mut Dispatcher| {
        let mut op = new.arrive(now, request(0));
        new.place(now, &mut op);
        new.shares().collect::<Vec<f64>>()
    };
    let (mut bare, mut new) = (successor(), successor());
    new.restore(now, memory.clone());
    let (bare, shares) = (shares(&mut bare), shares(&mut new));
    assert!(bare[1] > 0.2 && bare[2] > 0.2, "{bare:?}");
    assert!(shares[1] < shares[0] / 2.0 && shares[2] == 0.0 && new.avoids(now, 2), "{shares:?}");
    assert!(shares[3] < shares[0] / 2.0, "it has restarted since and is cold: {shares:?}");
    // The learned state of an instance with other categories is not taken over.
    let mut other = successor();
    let categories = memory.categories[..2].to_vec();
    other.restore(now, stileroute_dispatch::state::LearnedState { categories, ..memory });
    assert!(!other.avoids(now, 2));
}
