//! The figures of a fleet together: from ledgers made by hand, from days with nodes that are wrong on purpose, and from
//! days with each fault between processes, each beside the same day without it.

use stileroute_dispatch::policy::Dispatcher;
use stileroute_dispatch::types::{
    DispatchSettings, ListedExecutor, Op, OpRequest, Outcome, Push, Step, Time, SECOND,
};
use stileroute_testbed::executor::{specs, Availability};
use stileroute_testbed::experiment::read;
use stileroute_testbed::faults::Weather;
use stileroute_testbed::judge::{Answer, End, Judge, Ledger, Life, Saw};
use stileroute_testbed::load::Asked;
use stileroute_testbed::plan::Plan;
use stileroute_testbed::policy::{policy, Policy, Truth};
use stileroute_testbed::report::Played;
use stileroute_testbed::run::{play_simulated, play_with};
use stileroute_testbed::together::{Evidence, Together};

/// Four executors of two slots in two domains, and six nodes; what is added stands before the category.
fn plan(more: &str) -> Plan {
    let text = format!(
        "name = 'day'\nseconds = 12.0\nseeds = [1]\n[fleet]\ndomains = ['a', 'b']\nfar-ms = 2.0\ngrace-ms = 500.0\n\
         {more}\n[[category]]\nname = 'c'\npart = 1.0\nwork-ms = 100.0\nspread = 0.3\ntarget-ms = 400.0\n\
         ttl-ms = 2000.0\neffect = 'redeliverable'\n"
    );
    read("day.toml", &text).unwrap().plan
}

const BASE: &str = "[fleet.list]\nlate-s = [0.2, 0.4]\n[[fleet.kind]]\nname = 'k'\ncount = 4\nslots = 2.0\n\
                    speed = [1.0, 1.0]\n[nodes]\ncount = 6\n[load]\nper-second = 40.0\n";

fn asked(due: Time) -> Asked {
    let (useful, hint) = (due + 4000, None);
    Asked { category: 0, tenant: 0, domain: 0, due, work: 1000.0, hint, useful, tries: 0 }
}

/// The figures of a ledger that was made by hand; of each op, when it was due and what it got.
fn of(plan: &Plan, ledger: &Ledger, gains: &[(Time, f64)]) -> Together {
    let asked: Vec<Asked> = gains.iter().map(|(due, _)| asked(*due)).collect();
    let gains: Vec<(Time, f64, f64)> = gains.iter().map(|(due, got)| (*due, *got, 1.0)).collect();
    let specs = specs(plan, 1);
    let evidence =
        Evidence { plan, specs: &specs, ledger, asked: &asked, gains: &gains, from: 0, slack: 500 };
    evidence.figures(&Judge::new(plan, 50.0))
}

fn ledger(plan: &Plan) -> Ledger {
    let groups = specs(plan, 1).iter().map(|spec| (spec.domain, spec.cell)).collect();
    Ledger::new(groups, plan.replicas())
}

/// An op that comes to an executor at one time, begins at another, and is done and answered a second after that.
fn op(ledger: &mut Ledger, node: usize, x: usize, comes: Time, begins: Time) {
    let job = ledger.sheets.len();
    let op = ledger.open(job, node, 0, comes, comes + 20_000);
    ledger.saw(op, comes, Saw::Pushed(x));
    ledger.saw(op, begins, Saw::Began(x));
    ledger.saw(op, begins + SECOND, Saw::Ended(x, End::Done));
    ledger.saw(op, begins + SECOND, Saw::Answered(Answer::Acked));
}

fn near(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 1e-6
}

#[test]
fn waiting_is_misplaced_only_beside_a_free_executor_of_the_domain() {
    let plan = plan(BASE);
    // Executors 0 and 2 are of domain a, 1 and 3 of b. Whom else ops fill, and the part of all op-seconds misplaced.
    let cases = [
        ("nobody else is busy", None, 0.25),
        ("the other is full", Some(2), 0.0),
        ("b is full", Some(1), 1.0 / 6.0),
    ];
    for (what, full, expected) in cases {
        let mut ledger = ledger(&plan);
        // Two run at executor 0; two more wait there for a second and run then: 2 of 8 op-seconds wait.
        for (comes, begins) in [(0, 0), (0, 0), (0, SECOND), (0, SECOND)] {
            op(&mut ledger, 0, 0, comes, begins);
        }
        // Two more, a second each, stand for a full executor, as long as the others wait.
        (0..2).for_each(|_| full.into_iter().for_each(|x| op(&mut ledger, 0, x, 0, 0)));
        let gains = vec![(0, 1.0); ledger.sheets.len()];
        let figures = of(&plan, &ledger, &gains);
        // Of 4 + 2 op-seconds (or 4 + 2 + 2 with the others) two were waited.
        let all = ledger.sheets.iter().map(|s| s.seen.last().unwrap().0 - s.asked).sum::<Time>() as f64;
        let expected = if expected > 0.0 { 2.0 * SECOND as f64 / all } else { 0.0 };
        assert!(near(figures.misplaced, expected), "{what}: {} for {expected}", figures.misplaced);
        // Idle beside them: the two slots of the other executor of a, for one of twelve seconds of eight slots.
        let idle = if expected > 0.0 { 2.0 / (12.0 * 8.0) } else { 0.0 };
        assert!(near(figures.idle, idle), "{what}: {} for {idle}", figures.idle);
    }
    // An executor that is down, draining or halted is not free.
    for (up, halted) in
        [(Availability::Down, false), (Availability::Draining, false), (Availability::Serving, true)]
    {
        let mut ledger = ledger(&plan);
        [(0, 0), (0, 0), (0, SECOND)].into_iter().for_each(|(c, b)| op(&mut ledger, 0, 0, c, b));
        ledger.lives[2].push(Life { at: 0, up, started: None, halted });
        assert_eq!(of(&plan, &ledger, &[(0, 1.0); 3]).misplaced, 0.0, "{up:?} {halted}");
    }
}

#[test]
fn peaks_stampedes_and_the_worst_nodes_are_counted() {
    let plan =
        plan(&format!("{BASE}[[fault]]\nwhat = 'node-killed'\nnodes = 'all'\nfrom-s = 4.0\nfor-s = 1.0\n"));
    let mut ledger = ledger(&plan);
    // Six of 12 pushes within 500 ms at executor 3, whose fair part of 12 in 12 s is an eighth of a push.
    (0..6).for_each(|n| op(&mut ledger, n, 3, 50_000 + n as Time * 900, 50_000 + n as Time * 900));
    (0..6).for_each(|n| op(&mut ledger, n, n % 3, n as Time * 20_000, n as Time * 20_000));
    // Only nodes 4 and 5 earn nothing, with half of what they were asked each.
    let got = |op: usize| if [4, 5].contains(&op) { 0.0 } else { 1.0 };
    let gains: Vec<(Time, f64)> =
        ledger.sheets.iter().enumerate().map(|(op, sheet)| (sheet.asked, got(op))).collect();
    // Before the fault four connections in 4 s, half of one in 500 ms: that counts as one; then five at once.
    ledger.weather.push((40_000, true, "a fault".to_string()));
    ledger.connected[1] = vec![0, 10_000, 20_000, 30_000, 50_000, 50_001, 50_002, 50_003, 50_004];
    ledger.probed[2] = vec![50_000, 50_100, 50_200];
    // Two calls in each 500 ms before, sixteen at once after, over all replicas.
    ledger.called[0] = (0..8).map(|n| n * 5000).chain(vec![60_000; 8]).collect();
    ledger.called[1] = (0..8).map(|n| n * 5000).chain(vec![60_000; 8]).collect();
    let figures = of(&plan, &ledger, &gains);
    assert!(near(figures.peak[1], 6.0 / 0.125) && figures.peak[0] == figures.peak[1], "{:?}", figures.peak);
    let stampede = &figures.stampede;
    assert!(near(stampede.connections, 5.0) && near(stampede.probes, 3.0), "{stampede:?}");
    assert!(near(stampede.list_calls, 8.0) && near(stampede.pushes, 6.0), "{stampede:?}");
    assert!(near(figures.worst_nodes, 0.5), "{}", figures.worst_nodes);
    assert_eq!((figures.course.list_calls[12], figures.course.connections[10]), (16, 5));
}

#[test]
fn full_service_is_counted_from_the_last_that_is_back() {
    let plan = plan(BASE);
    let mut ledger = ledger(&plan);
    // By second, from the fault at 3 s on: half, nothing, half, half, and whole again from 7 s on; back at 5.5 s.
    let got = [1.0, 1.0, 1.0, 0.5, 0.0, 0.5, 0.5, 1.0, 1.0, 1.0, 1.0, 1.0];
    let gains: Vec<(Time, f64)> = (0..120).map(|n| (n * 1000 + 1, got[(n / 10) as usize])).collect();
    ledger.weather.push((3 * SECOND, true, "killed".to_string()));
    let figures = of(&plan, &ledger, &gains);
    assert!(
        !figures.came_back && figures.full_after.is_none() && near(figures.lost, 2.5),
        "{}",
        figures.lost
    );
    ledger.back = vec![4 * SECOND, 5 * SECOND + SECOND / 2];
    let figures = of(&plan, &ledger, &gains);
    assert_eq!((figures.came_back, figures.full_after), (true, Some(1.5)));
    assert!(near(figures.lost, 2.5), "{}", figures.lost);
    // Two good seconds in a row are not enough.
    let short: Vec<(Time, f64)> =
        gains.iter().map(|(due, got)| (*due, if due / SECOND == 9 { 0.9 } else { *got })).collect();
    assert_eq!(of(&plan, &ledger, &short).full_after, None);
}

#[test]
fn decisions_are_stale_by_what_a_node_had_been_told() {
    let plan = plan(BASE);
    let serving = |at, started| Life { at, up: Availability::Serving, started, halted: false };
    let down = |at, up| Life { at, up, started: None, halted: false };
    // What the executor was, whether the node had been told at 1 s, and what a push at 2 s counts as.
    let cases = [
        ("told that it drains", vec![down(5000, Availability::Draining)], true, (0, 1, 0)),
        ("told that it is gone", vec![down(5000, Availability::Fallen)], true, (1, 0, 0)),
        ("not told", vec![down(5000, Availability::Draining)], false, (0, 0, 0)),
        ("it serves all the same", vec![serving(5000, None)], true, (0, 0, 0)),
    ];
    for (what, lives, told, expected) in cases {
        let mut ledger = ledger(&plan);
        ledger.lives[1] = lives;
        if told {
            ledger.told(0, 1, SECOND, false);
        }
        op(&mut ledger, 0, 1, 2 * SECOND, 2 * SECOND);
        // Another node was told nothing.
        op(&mut ledger, 1, 1, 2 * SECOND, 2 * SECOND);
        let stale = of(&plan, &ledger, &[(0, 1.0); 2]).stale;
        assert_eq!((stale.gone, stale.draining, stale.disabled), expected, "{what}");
        assert_eq!(stale.age_ms[1], if stale.all() > 0 { 1000.0 } else { 0.0 }, "{what}");
    }
    // Taken out by hand, and back in.
    let mut by_hand = ledger(&plan);
    by_hand.disabled.insert((0, 1), vec![(SECOND, true), (3 * SECOND, false)]);
    [500, 2 * SECOND, 4 * SECOND].into_iter().for_each(|at| op(&mut by_hand, 0, 1, at, at));
    let broken = Judge::new(&plan, 50.0).read(&by_hand);
    assert_eq!(of(&plan, &by_hand, &[(0, 1.0); 3]).stale.disabled, 1);
    assert!(broken.len() == 1 && broken[0].rule == 3 && broken[0].what.contains("by hand"), "{broken:?}");
    // What it kept was lost to it: a stale decision, but it can't have known.
    by_hand.forgot.insert(0, vec![SECOND + 100]);
    assert!(Judge::new(&plan, 50.0).read(&by_hand).is_empty());
    assert_eq!(of(&plan, &by_hand, &[(0, 1.0); 3]).stale.disabled, 1);
    // Cold: its start was told, and more was sent within the time in which it tips than the settings let it bear.
    let mut cold = ledger(&plan);
    cold.lives[1] = vec![serving(SECOND, Some(SECOND))];
    cold.told_start(0, 1, SECOND, SECOND);
    (0..40).for_each(|n| op(&mut cold, 0, 1, 2 * SECOND + n, 2 * SECOND + n));
    let stale = of(&plan, &cold, &[(0, 1.0); 40]).stale.cold;
    assert!((1..40).contains(&stale), "{stale}");
    cold.started_told.clear();
    assert_eq!(of(&plan, &cold, &[(0, 1.0); 40]).stale.cold, 0, "nobody had told it");
}

#[test]
fn two_pushes_out_are_told_however_short_and_name_the_faults_of_the_moment() {
    let plan = plan(BASE);
    let mut ledger = ledger(&plan);
    let op = ledger.open(0, 4, 0, SECOND, 3 * SECOND);
    ledger.weather = vec![
        (0, true, "slow on all".to_string()),
        (SECOND / 2, false, "slow on all".to_string()),
        (SECOND, true, "deaf on all of nodes node:4".to_string()),
    ];
    for (at, saw) in
        [(0, Saw::Pushed(0)), (20, Saw::Pushed(1)), (50, Saw::GivenUp(0)), (900, Saw::Ended(1, End::Done))]
    {
        ledger.saw(op, SECOND + at, saw);
    }
    ledger.saw(op, SECOND + 900, Saw::Answered(Answer::Acked));
    let figures = of(&plan, &ledger, &[(0, 1.0)]);
    assert_eq!(figures.overlap_ms, 3.0);
    let line = figures.overlap.join("\n");
    assert!(line.contains("node n4") && line.contains("deaf on all of nodes node:4"), "{line}");
    assert!(!line.contains("slow"), "it was over by then: {line}");
    assert!(Judge::new(&plan, 50.0).read(&ledger).is_empty(), "3 ms are a call-off on its way");
}

/// How a stand-in for a node is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wrong {
    /// All go to the same executor for half a second, and then all to the next.
    Herds,
    /// Goes on with the list that it was told first.
    OldList,
    /// Sends each op twice.
    Twice,
}

struct Planted {
    wrong: Wrong,
    lines: Vec<ListedExecutor>,
    turn: usize,
}

impl Policy for Planted {
    fn arrive(&mut self, _now: Time, ask: OpRequest) -> Op {
        let mut op = Op::default();
        (op.category, op.deadline) = (ask.category, ask.deadline);
        op
    }
    fn place(&mut self, now: Time, op: &mut Op, _truth: &Truth) -> Step {
        if op.closed || (op.out() && !(self.wrong == Wrong::Twice && op.pushes.len() < 2)) {
            return Step::Wait;
        }
        let may: Vec<usize> =
            self.lines.iter().filter(|line| line.active).map(|line| line.executor).collect();
        if op.pushes.len() > 8 || may.is_empty() {
            op.closed = true;
            return Step::DeadLetter;
        }
        self.turn += 1;
        let at = if self.wrong == Wrong::Herds { (now / (SECOND / 2)) as usize } else { self.turn };
        let mut push = Push::default();
        push.executor = may[at % may.len()];
        let executor = push.executor;
        op.pushes.push(push);
        Step::Push { executor }
    }
    fn settle(
        &mut self,
        now: Time,
        op: &mut Op,
        push: usize,
        outcome: Outcome,
        _v: &[f64],
        truth: &Truth,
    ) -> Step {
        op.pushes[push].outcome = Some(outcome);
        op.closed |= outcome == Outcome::Acked;
        self.place(now, op, truth)
    }
    fn wait(&self, _now: Time, op: &Op) -> Time {
        op.deadline
    }
    fn list(&mut self, _now: Time, _whole: bool, lines: &[ListedExecutor]) {
        for line in lines {
            match self.lines.iter_mut().find(|own| own.executor == line.executor) {
                Some(own) if self.wrong != Wrong::OldList => *own = *line,
                Some(_) => {}
                None => self.lines.push(*line),
            }
        }
    }
}

#[test]
fn planted_nodes_show_and_a_calm_day_raises_nothing() {
    let release = "[[fault]]\nwhat = 'release'\non = 'part:0.5'\nfrom-s = 3.0\nfor-s = 7.0\n";
    let played = |wrong: Option<Wrong>, more: &str| -> Played {
        let plan = plan(&format!("{BASE}{more}"));
        let make = |_: usize, tariff: &DispatchSettings, seed: u64| -> Box<dyn Policy> {
            match wrong {
                Some(wrong) => Box::new(Planted { wrong, lines: Vec::new(), turn: 0 }),
                None => Box::new(Dispatcher::new(tariff, seed)),
            }
        };
        play_with(&plan, 1, &make).unwrap()
    };
    let calm = played(None, "");
    let figures = &calm.together;
    assert!(calm.broken.is_empty() && figures.stale.all() == 0 && figures.overlap_ms < 2.5, "{figures:?}");
    assert!(figures.misplaced < 0.1 && figures.to_gone == 0 && figures.to_cold == 0, "{figures:?}");
    let herd = played(Some(Wrong::Herds), "").together;
    assert!(herd.peak[1] > 1.5 * figures.peak[1] && herd.misplaced > 3.0 * figures.misplaced, "{herd:?}");
    assert!(herd.idle > figures.idle && herd.stampede.pushes > figures.stampede.pushes, "{herd:?}");
    let told = played(None, release);
    let old = played(Some(Wrong::OldList), release);
    assert!(told.broken.is_empty() && told.together.stale.all() == 0, "{:?}", told.together.stale);
    assert!(old.together.stale.draining > 5 && old.together.to_gone > 5, "{:?}", old.together.stale);
    assert!(old.broken.iter().any(|broken| broken.rule == 3));
    let twice = played(Some(Wrong::Twice), "");
    assert!(twice.together.overlap_ms > 20.0 && twice.broken.iter().any(|broken| broken.rule == 2));
}

/// Days of the module with a fault between processes.
fn day(more: &str) -> Played {
    play_simulated(&plan(more), 1).unwrap()
}

fn fault(text: &str) -> String {
    format!("{BASE}[[fault]]\n{text}\nfrom-s = 3.0\nfor-s = 4.0\n")
}

#[test]
fn each_fault_of_nodes_and_ways_shows_in_the_model() {
    let calm = day(BASE);
    let killed = day(&fault("what = 'node-killed'\nnodes = 'part:0.7'"));
    assert_eq!((killed.together.restarted, killed.together.restarted_within), (5, 0.0));
    let spread = day(&fault("what = 'node-killed'\nnodes = 'domain:b'\nspread-s = 1.0"));
    assert_eq!((spread.together.restarted, spread.together.restarted_within), (3, 1.0));
    // One node that reaches nobody, and one that hears nothing back, cost themselves alone.
    let calm_worst = calm.together.worst_nodes;
    for only in ["both", "there", "back"] {
        let cut = day(&fault(&format!("what = 'deaf'\nnodes = 'node:2'\nonly = '{only}'")));
        assert!(cut.together.worst_nodes < calm_worst - 0.2, "{only}: {}", cut.together.worst_nodes);
        assert!(cut.benefit > calm.benefit - 0.12, "{only}: {}", cut.benefit);
    }
    let lossy = day(&fault("what = 'loss'\npart = 0.5\nms = 300.0"));
    assert!(lossy.categories[0].latency[2] > calm.categories[0].latency[2] + 100.0, "{:?}", lossy.categories);
    let starved = day(&fault("what = 'node-starved'\nnodes = 'all'\npart = 0.1"));
    assert!(
        starved.categories[0].latency[0] > calm.categories[0].latency[0] + 10.0,
        "{:?}",
        starved.categories
    );
    let spoilt = day(&fault("what = 'spoilt'\npart = 0.5"));
    assert!(spoilt.pushes as f64 > 1.1 * calm.pushes as f64, "{} {}", spoilt.pushes, calm.pushes);
    // A new connection costs the executor: with half of a slot's second for each, service suffers.
    let dear = day(&BASE.replace("[fleet.list]", "handshake-work-ms = 400.0\n[fleet.list]"));
    assert!(dear.together.misplaced != calm.together.misplaced && dear.benefit <= calm.benefit);
}

#[test]
fn each_fault_of_discovery_and_of_a_site_shows_in_the_model() {
    let replicas = BASE.replace("late-s", "replicas = 2\nlag-s = [0.0, 1.5]\nlate-s");
    let with = |faults: &str| day(&format!("{replicas}{faults}"));
    let calm = with("");
    assert!(
        calm.broken.is_empty() && calm.together.turned_away == 0 && calm.together.stampede.list_calls > 0.0
    );
    // A node that stands behind a slower replica is told later: of a drain, each told time of its ledger is.
    let plan = plan(&format!(
        "{replicas}[[fault]]\nwhat = 'release'\non = 'executor:0'\nfrom-s = 3.0\nfor-s = 2.0\n"
    ));
    let make = |_: usize, tariff: &DispatchSettings, seed: u64| policy(plan.policy, tariff, seed);
    let sim = stileroute_testbed::sim::Sim::new(&plan, 1, &make).unwrap().play();
    let told = |node: usize| sim.ledger.told[&(node, 0)].iter().find(|(_, active)| !active).unwrap().0;
    assert!((32_000..34_500).contains(&told(0)) && told(1) > told(0) + SECOND, "{} {}", told(0), told(1));
    let overbooked = with("[[fault]]\nwhat = 'list-overbooked'\nfactor = 1.0\nfrom-s = 2.0\nfor-s = 9.0\n");
    assert!(overbooked.together.turned_away > 5, "{}", overbooked.together.turned_away);
    let bounded = day(&replicas.replace("late-s", "calls-per-s = 0.5\nlate-s"));
    assert!(bounded.together.turned_away > 5, "{}", bounded.together.turned_away);
    // A drain that some nodes can't hear of, for they are cut off from discovery, is stale for nobody: none was told.
    let drain = "[[fault]]\nwhat = 'release'\non = 'executor:0'\nfrom-s = 5.0\nfor-s = 2.0\n";
    let cut =
        "[[fault]]\nwhat = 'deaf'\nbetween = 'discovery'\nnodes = 'part:0.5'\nfrom-s = 3.0\nfor-s = 6.0\n";
    let heard = with(drain);
    let unheard = with(&format!("{drain}{cut}"));
    assert!(unheard.together.to_gone > heard.together.to_gone, "{:?}", unheard.together);
    assert_eq!(unheard.together.stale.all(), 0);
    // Lost and back with an old list: nodes that start then are told again of who is gone. Back empty: they know nobody
    // until each executor has told of itself.
    let gone = "[[fault]]\nwhat = 'killed'\non = 'executor:0'\nfrom-s = 2.0\nfor-s = 10.0\n";
    let restart = "[[fault]]\nwhat = 'node-killed'\nnodes = 'all'\nfrom-s = 6.0\nfor-s = 0.5\n";
    let lost = |what: &str| format!("[[fault]]\nwhat = '{what}'\nfrom-s = 4.0\nfor-s = 2.6\nms = 5600.0\n");
    let revived = |faults: &str| {
        let plan = self::plan(&format!("{replicas}{faults}"));
        let make = |_: usize, tariff: &DispatchSettings, seed: u64| policy(plan.policy, tariff, seed);
        let day = stileroute_testbed::sim::Sim::new(&plan, 1, &make).unwrap().play();
        day.ledger.told[&(0, 0)].iter().any(|(at, active)| *active && (60_000..119_000).contains(at))
    };
    assert!(
        !revived(&format!("{gone}{restart}")) && revived(&format!("{gone}{restart}{}", lost("list-old")))
    );
    let empty = with(&format!("{restart}{}", lost("list-empty")));
    assert!(empty.benefit < with(restart).benefit - 0.02, "{}", empty.benefit);
    // A site: its executors and nodes go together, and its clients turn to the others when their front has found out.
    let site = "[[fault]]\nwhat = 'site-lost'\non = 'domain:b'\nfrom-s = 4.0\nfor-s = 3.0\n";
    let lost = with(site);
    assert_eq!(lost.together.restarted, 3);
    let late = day(&format!("{}{site}", replicas.replace("count = 6", "count = 6\nfront-ms = 1500.0")));
    assert!(late.benefit < lost.benefit - 0.01, "{} {}", late.benefit, lost.benefit);
    // Cut off, nobody is restarted, and what happens in the site is heard outside when the cut is over.
    let cut_off = "[[fault]]\nwhat = 'site-cut'\non = 'domain:b'\nfrom-s = 4.0\nfor-s = 4.0\n";
    let dies = "[[fault]]\nwhat = 'killed'\non = 'executor:1'\nfrom-s = 4.5\nfor-s = 7.0\n";
    let heard = |faults: &str| {
        let plan = self::plan(&format!("{replicas}{faults}"));
        let make = |_: usize, tariff: &DispatchSettings, seed: u64| policy(plan.policy, tariff, seed);
        let day = stileroute_testbed::sim::Sim::new(&plan, 1, &make).unwrap().play();
        [0, 1].map(|node| day.ledger.told[&(node, 1)].iter().find(|(_, active)| !active).unwrap().0)
    };
    let ([outside, inside], [apart, within]) = (heard(dies), heard(&format!("{cut_off}{dies}")));
    assert!(outside < 60_000 && apart >= 80_000, "{outside} {apart}");
    assert!(inside < 70_000 && within < 70_000, "{inside} {within}");
    let cut_off = with(cut_off);
    assert!(cut_off.together.restarted == 0 && cut_off.broken.is_empty() && lost.broken.is_empty());
}

#[test]
fn messages_between_nodes_meet_their_ways() {
    let talk = BASE.replace("count = 6", "count = 6\ntalk = true");
    let deaf = "[[fault]]\nwhat = 'deaf'\nbetween = 'nodes'\nnodes = 'node:1'\nfrom-s = 3.0\nfor-s = 4.0\n";
    let plan = plan(&format!("{talk}{deaf}"));
    let (mut weather, changes) = Weather::new(&plan, &specs(&plan, 1), 1);
    assert!(!weather.between_nodes((1, 1), (2, 0)).shut_there);
    weather.turn(changes[0]);
    let shut = |from: usize, to: usize| weather.between_nodes((from, from % 2), (to, to % 2)).shut_there;
    assert!(shut(1, 2) && shut(2, 1) && !shut(2, 3));
    // Told by the others who holds what, the module decides otherwise than without; and where nothing of it arrives, not.
    let all_deaf = "[[fault]]\nwhat = 'deaf'\nbetween = 'nodes'\nfrom-s = 0.0\nfor-s = 12.0\n";
    let (quiet, talking, deaf) = (day(BASE), day(&talk), day(&format!("{talk}{all_deaf}")));
    assert!([&quiet, &talking, &deaf].iter().all(|played| played.broken.is_empty()));
    assert!(quiet.events != talking.events && talking.events != deaf.events);
}
