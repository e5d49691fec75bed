//! Random series of faults, drawn from a seed; each fault strikes after the stores have reported that everything is
//! on enough disks. The tests check that such a report is always true, and that nothing that was accepted is ever
//! lost.

mod simulation;

use simulation::{Action, Behavior, Fault, Simulation};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Number of faults in one series.
const FAULTS_PER_SERIES: usize = 7;

/// Number of messages; they are sent until the faults are over.
const MESSAGES: u64 = 150;

/// Time between two messages, in milliseconds.
const INTERVAL_MS: u64 = 400;

/// Interval at which the stores' reports are compared with the disks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 25;

/// Longest time after a fault until all stores report that everything is on enough disks.
const REPAIR_LIMIT_MS: u64 = 20_000;

/// Time after its start from which on a store counts as present.
const CATCH_UP_MS: u64 = 4000;

/// Pseudo-random numbers drawn from a seed: SplitMix64.
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % bound as u64) as usize
    }
}

fn world(stores: usize, replicas: usize, seed: u64) -> Simulation {
    let mut rng = Rng(seed ^ 0x5eed);
    let mut world = Simulation::new(stores, replicas, seed);
    for n in 0..MESSAGES {
        let behavior = match rng.below(8) {
            0 => Behavior::Rejects,
            1 => Behavior::Slow(300),
            _ => Behavior::Succeeds,
        };
        let delay_ms = [0, 0, 700, 6000, 25_000, 50_000][rng.below(6)];
        world.send(2500 + INTERVAL_MS * n, rng.below(stores), "plain", &[behavior], delay_ms);
    }
    world
}

/// Injects a random fault with the actions that belong to it. As many disks as are tolerated may be lost at once.
fn inject_fault(world: &mut Simulation, rng: &mut Rng, tolerated: usize) -> String {
    let present = world.present_stores();
    let store = present[rng.below(present.len())];
    let at = world.now + 1;
    let actions = match rng.below(13) {
        0..=3 => {
            let first = rng.below(present.len());
            let lost = (0..1 + rng.below(tolerated)).map(|n| present[(first + n) % present.len()]);
            lost.map(|store| (0, Action::Inject(store, Fault::DiskLoss))).collect()
        }
        4 => vec![(0, Action::Remove(store)), (800, Action::Add)],
        5 => vec![(0, Action::Retire(store)), (300, Action::Add)],
        6 => vec![(0, Action::PowerLossOfAll)],
        7 => vec![(0, Action::DiskLossInBlackout(store))],
        8 => vec![(0, Action::Inject(store, Fault::Shutdown))],
        9 => vec![(0, Action::Inject(store, Fault::KillLong))],
        10 => stalled_disks(&present, rng),
        11 => present.iter().map(|store| (0, Action::Inject(*store, Fault::Kill))).collect(),
        _ => vec![(0, Action::Inject(store, Fault::Freeze))],
    };
    let line = format!("{at}: {actions:?}");
    for (after, action) in actions {
        if let Action::Retire(store) = action {
            retire(world, store);
        } else {
            world.act(at + after, action);
        }
    }
    line
}

/// Makes some disks slower than the replication time-out while messages arrive, and then restores them.
fn stalled_disks(present: &[usize], rng: &mut Rng) -> Vec<(u64, Action)> {
    let sync_ms = 100 + rng.below(300) as u64;
    let stalled: Vec<usize> = present.iter().copied().filter(|_| rng.below(3) > 0).collect();
    let begin = stalled.iter().map(|store| (0, Action::DiskSlow(*store, sync_ms)));
    let end = stalled.iter().map(|store| (1500, Action::DiskSlow(*store, 2)));
    begin.chain(end).collect()
}

/// Retires a store and removes it once it reports that it is empty.
fn retire(world: &mut Simulation, store: usize) {
    world.act(world.now + 1, Action::Retire(store));
    let limit = world.now + REPAIR_LIMIT_MS;
    while world.retirement_state(store) != Some(stileroute_queue::RetirementState::Empty) {
        assert!(world.now < limit, "store {store} is not empty by {limit}: {}", world.describe(store));
        world.run(world.now + CHECK_INTERVAL_MS);
    }
    world.act(world.now + 1, Action::Remove(store));
}

/// Waits until all stores report that the next loss is tolerated, and compares each such report with the disks.
fn wait_for_repair(world: &mut Simulation, replicas: usize) {
    let (earliest, limit) = (world.now + CATCH_UP_MS, world.now + REPAIR_LIMIT_MS);
    while world.now < earliest || !world.says_fully_replicated() {
        assert!(world.now < limit, "not repaired by {limit}");
        world.run(world.now + CHECK_INTERVAL_MS);
        world.check_disks(if world.says_fully_replicated() { replicas + 1 } else { 1 });
    }
}

/// Submissions with idempotency keys instead of messages without: up to four per key, some at once, some seconds
/// apart, and for about half of them the edge cannot reach one of the stores.
fn world_of_keys(stores: usize, replicas: usize, seed: u64) -> Simulation {
    let mut rng = Rng(seed ^ 0x5eed);
    let mut world = Simulation::new(stores, replicas, seed);
    for n in 0..MESSAGES {
        let delay_ms = [0, 0, 0, 700, 6000, 25_000, 50_000][rng.below(7)];
        for _ in 0..1 + rng.below(4) {
            let after = [0, 3, 150, 700, 2500, 8000][rng.below(6)];
            let unreachable = (rng.below(2) == 0).then(|| rng.below(stores));
            let at = 2500 + INTERVAL_MS * n + after;
            world.send_with_key(at, unreachable, &format!("k-{n}"), delay_ms);
        }
    }
    world
}

/// Creates the stores and messages of a series from the number of stores, the number of losses tolerated at once, and
/// the seed.
type MakeWorld = fn(usize, usize, u64) -> Simulation;

fn play(make: MakeWorld, stores: usize, replicas: usize, seed: u64, log: &mut Vec<String>) {
    let mut rng = Rng(seed);
    let mut world = make(stores, replicas, seed);
    world.run(5000);
    for _ in 0..FAULTS_PER_SERIES {
        log.push(inject_fault(&mut world, &mut rng, replicas));
        wait_for_repair(&mut world, replicas);
    }
    world.run(2500 + INTERVAL_MS * MESSAGES + 70_000);
    world.check(true);
    world.check_replicas();
}

/// The seeds to play. `HOLD_WIDE=20 cargo test -p stileroute-queue --test random_series` plays 20 times as many;
/// `HOLD_SEED` selects a single seed.
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

/// A removed store that was never connected must not count after a restart. One store was removed and another added,
/// which was never connected to the first but got messages whose replica lists contain it. Then all machines lost
/// power at once, and one of them lost its disk too. After its restart the added store counted the removed one
/// because of those lists. With three stores that may lose one, that is one loss too many besides the blank store,
/// which was still recovering 20 s later (`not repaired by 54600`) and would have been until the idempotency window
/// was over, 70 s after its start.
#[test]
fn a_store_that_was_never_heard_counts_as_little_after_a_restart() {
    assert_series_pass(world_of_keys, 3, 1, 116..117);
}
