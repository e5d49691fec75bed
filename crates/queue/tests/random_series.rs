//! Series of faults drawn from a seed, each after the stores have said that everything is on enough disks: whenever they all say so,
//! it is so, and nothing that was accepted is ever lost.

mod simulation;

use simulation::{Action, Behavior, Fault, Simulation};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Faults in one series.
const FAULTS: usize = 7;

/// Messages are sent until the faults are over.
const MESSAGES: u64 = 150;

/// Between two messages, in milliseconds.
const INTERVAL_MS: u64 = 400;

/// What all stores say is compared with the disks so often, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 25;

/// The stores say that everything is on enough disks at the latest so long after a fault.
const REPAIR_LIMIT_MS: u64 = 20_000;

/// A store that is back counts as present so long after its start.
const CATCH_UP_MS: u64 = 4000;

/// Numbers drawn from a seed: SplitMix64.
struct Dice(u64);

impl Dice {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % bound as u64) as usize
    }
}

fn world(stores: usize, replicas: usize, seed: u64) -> Simulation {
    let mut dice = Dice(seed ^ 0x5eed);
    let mut world = Simulation::new(stores, replicas, seed);
    for n in 0..MESSAGES {
        let behavior = match dice.below(8) {
            0 => Behavior::Refuses,
            1 => Behavior::Slow(300),
            _ => Behavior::Succeeds,
        };
        let delay_ms = [0, 0, 700, 6000, 25_000, 50_000][dice.below(6)];
        world.send(2500 + INTERVAL_MS * n, dice.below(stores), "plain", &[behavior], delay_ms);
    }
    world
}

/// Lets the fault strike, with what belongs to it. As many disks as are tolerated may be lost at once.
fn strike(world: &mut Simulation, dice: &mut Dice, tolerated: usize) -> String {
    let present = world.present_stores();
    let store = present[dice.below(present.len())];
    let at = world.now + 1;
    let what = match dice.below(13) {
        0..=3 => {
            let first = dice.below(present.len());
            let lost = (0..1 + dice.below(tolerated)).map(|n| present[(first + n) % present.len()]);
            lost.map(|store| (0, Action::Inject(store, Fault::DiskLoss))).collect()
        }
        4 => vec![(0, Action::Remove(store)), (800, Action::Add)],
        5 => vec![(0, Action::Retire(store)), (300, Action::Add)],
        6 => vec![(0, Action::PowerLossOfAll)],
        7 => vec![(0, Action::DiskLossInBlackout(store))],
        8 => vec![(0, Action::Inject(store, Fault::Shutdown))],
        9 => vec![(0, Action::Inject(store, Fault::KillLong))],
        10 => stalled_disks(&present, dice),
        11 => present.iter().map(|store| (0, Action::Inject(*store, Fault::Kill))).collect(),
        _ => vec![(0, Action::Inject(store, Fault::Freeze))],
    };
    let line = format!("{at}: {what:?}");
    for (after, action) in what {
        if let Action::Retire(store) = action {
            retire(world, store);
        } else {
            world.act(at + after, action);
        }
    }
    line
}

/// Some disks take longer than a replica may take, while messages come; then all are as before.
fn stalled_disks(present: &[usize], dice: &mut Dice) -> Vec<(u64, Action)> {
    let sync_ms = 100 + dice.below(300) as u64;
    let stalled: Vec<usize> = present.iter().copied().filter(|_| dice.below(3) > 0).collect();
    let begin = stalled.iter().map(|store| (0, Action::DiskSlow(*store, sync_ms)));
    let end = stalled.iter().map(|store| (1500, Action::DiskSlow(*store, 2)));
    begin.chain(end).collect()
}

/// A store is emptied, and is taken away when it says that it is empty.
fn retire(world: &mut Simulation, store: usize) {
    world.act(world.now + 1, Action::Retire(store));
    let limit = world.now + REPAIR_LIMIT_MS;
    while world.retirement_state(store) != Some(stileroute_queue::RetirementState::Empty) {
        assert!(world.now < limit, "store {store} is not empty by {limit}: {}", world.describe(store));
        world.run(world.now + CHECK_INTERVAL_MS);
    }
    world.act(world.now + 1, Action::Remove(store));
}

/// Waits until all stores say that the next loss is tolerated, and compares that with the disks whenever they do.
fn wait_for_repair(world: &mut Simulation, replicas: usize) {
    let (earliest, limit) = (world.now + CATCH_UP_MS, world.now + REPAIR_LIMIT_MS);
    while world.now < earliest || !world.says_fully_replicated() {
        assert!(world.now < limit, "not repaired by {limit}");
        world.run(world.now + CHECK_INTERVAL_MS);
        world.check_disks(if world.says_fully_replicated() { replicas + 1 } else { 1 });
    }
}

/// Tries with idempotency keys in the place of messages without: of each key up to four, some at once, some seconds apart, and of every
/// second one the edge can't reach some store.
fn world_of_keys(stores: usize, replicas: usize, seed: u64) -> Simulation {
    let mut dice = Dice(seed ^ 0x5eed);
    let mut world = Simulation::new(stores, replicas, seed);
    for n in 0..MESSAGES {
        let delay_ms = [0, 0, 0, 700, 6000, 25_000, 50_000][dice.below(7)];
        for _ in 0..1 + dice.below(4) {
            let after = [0, 3, 150, 700, 2500, 8000][dice.below(6)];
            let unreachable = (dice.below(2) == 0).then(|| dice.below(stores));
            let at = 2500 + INTERVAL_MS * n + after;
            world.send_with_key(at, unreachable, &format!("k-{n}"), delay_ms);
        }
    }
    world
}

/// Makes the stores and the messages of a series: how many stores, how many may be lost at once, and the seed.
type MakeWorld = fn(usize, usize, u64) -> Simulation;

fn play(make: MakeWorld, stores: usize, replicas: usize, seed: u64, log: &mut Vec<String>) {
    let mut dice = Dice(seed);
    let mut world = make(stores, replicas, seed);
    world.run(5000);
    for _ in 0..FAULTS {
        log.push(strike(&mut world, &mut dice, replicas));
        wait_for_repair(&mut world, replicas);
    }
    world.run(2500 + INTERVAL_MS * MESSAGES + 70_000);
    world.check(true);
    world.check_replicas();
}

/// So many times more seeds are played where somebody asks for it: `HOLD_WIDE=20 cargo test -p stileroute-queue --test random_series`; or
/// one seed alone, with `HOLD_SEED`.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match number("HOLD_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..count * number("HOLD_WIDE").unwrap_or(1),
    }
}

fn assert_nothing_is_lost(make: MakeWorld, stores: usize, replicas: usize, count: u64) {
    assert_series_pass(make, stores, replicas, seeds(count));
}

fn assert_series_pass(make: MakeWorld, stores: usize, replicas: usize, seeds: std::ops::Range<u64>) {
    let mut failed = Vec::new();
    for seed in seeds.clone() {
        let mut log = Vec::new();
        let played = catch_unwind(AssertUnwindSafe(|| play(make, stores, replicas, seed, &mut log)));
        if let Err(reason) = played {
            let reason = reason.downcast_ref::<String>().cloned().unwrap_or_default();
            failed.push(format!("seed {seed}: {reason}\n  {}", log.join("\n  ")));
        }
    }
    assert!(failed.is_empty(), "{} of {} series: {}", failed.len(), seeds.count(), failed.join("\n"));
}

#[test]
fn three_stores_lose_nothing() {
    assert_nothing_is_lost(world, 3, 1, 30);
}

#[test]
fn four_stores_lose_nothing() {
    assert_nothing_is_lost(world, 4, 1, 20);
}

#[test]
fn five_stores_that_may_lose_two_lose_nothing() {
    assert_nothing_is_lost(world, 5, 2, 15);
}

#[test]
fn three_stores_run_each_key_once() {
    assert_nothing_is_lost(world_of_keys, 3, 1, 30);
}

#[test]
fn five_stores_that_may_lose_two_run_each_key_once() {
    assert_nothing_is_lost(world_of_keys, 5, 2, 15);
}

/// A store was removed and another one added, which never heard the first but got messages whose lists of replicas name it. Then all
/// machines lost power at once, and one of them its disk as well. After its restart the added store counted the removed one, from those lists
/// alone; of three stores that may lose one that is a loss too many beside a blank one, which said 20 s later still that it recovered
/// (`not repaired by 54600`), and would have until the window of the keys was over, 70 s after its start.
#[test]
fn a_store_that_was_never_heard_counts_as_little_after_a_restart() {
    assert_series_pass(world_of_keys, 3, 1, 116..117);
}
