//! One run for an idempotency key.
//!
//! No store read the key, so each further try became a message of its own: on the recorded day two messages of one key were answered
//! 202 and run 1.95 s apart, at one edge and two stores, and two others 3.95 s apart, at two edges. Nothing had failed.
//!
//! Here stores fail at each of their steps in turn, and whatever fails, one message of a key runs at the most, and a key that was
//! accepted runs once.

mod simulation;

use simulation::{key_scenarios, without_fault, Action, Fault, Simulation};

/// The first message is sent when all stores have found each other.
const BEGIN_MS: u64 = 3000;

/// All that waits has run by then, also what waited for a store that is away for long.
const END_MS: u64 = 60_000;

/// When further tries with the same key are sent, in milliseconds after the first: in the same moment, while the first runs, after a
/// fault was noticed, and after a takeover.
const TRIES_AFTER_MS: [u64; 6] = [0, 9, 250, 1200, 4000, 9000];

/// Tries of each key; of every second one the edge can't reach one of the stores.
fn send_tries(world: &mut Simulation, key: &str, at: u64) {
    let stores = world.stores.len();
    for (n, after) in TRIES_AFTER_MS.into_iter().enumerate() {
        let unreachable = (n % 2 == 1).then_some((n + at as usize) % stores);
        world.send_with_key(at + after, unreachable, key, 0);
    }
}

fn world(stores: usize, replicas: usize, seed: u64) -> Simulation {
    let mut world = Simulation::new(stores, replicas, seed);
    for n in 0..4 {
        send_tries(&mut world, &format!("k-{n}"), BEGIN_MS + 60 * n);
    }
    world
}

#[test]
fn tries_in_calm_are_one_message() {
    for (stores, replicas) in [(2, 1), (3, 1), (5, 2), (1, 0)] {
        let mut world = world(stores, replicas, 7);
        world.run(END_MS);
        world.check(true);
        assert_eq!(world.accepted_keys(), (4, 4), "{stores} stores");
        let refused = world.messages.iter().filter(|sent| sent.name.is_none()).count();
        let unreachable = if stores == 1 { TRIES_AFTER_MS.len() / 2 * 4 } else { 0 };
        assert!(refused <= unreachable + 4, "{stores} stores: {refused} tries were refused in calm");
    }
}

/// The faults that a store has, one at a time.
const FAULTS: [Fault; 7] = [
    Fault::Kill,
    Fault::KillLong,
    Fault::PowerLoss,
    Fault::DiskLoss,
    Fault::Shutdown,
    Fault::QuickRestart,
    Fault::Freeze,
];

/// A fault strikes at each numbered step of the stores in turn.
fn assert_one_run_whatever_fails(stores: usize, replicas: usize, step: usize) {
    let mut counted = world(stores, replicas, 11);
    counted.run(BEGIN_MS - 1);
    let first = counted.effect_count;
    counted.run(BEGIN_MS + 1500);
    let last = counted.effect_count;
    for fault in FAULTS {
        for effect in (first..last).step_by(step) {
            let mut world = world(stores, replicas, 11);
            world.fault_at_effect = Some((effect, fault));
            world.run(END_MS);
            println!("{stores} stores, {fault:?} at effect {effect}: accepted {:?}", world.accepted_keys());
            world.check(true);
            assert_eq!(world.accepted_keys(), (4, 4), "{fault:?} at effect {effect}");
        }
    }
}

#[test]
fn one_of_three_stores_fails_at_each_step() {
    assert_one_run_whatever_fails(3, 1, 2);
}

#[test]
fn one_of_five_stores_fails_at_each_step() {
    assert_one_run_whatever_fails(5, 2, 9);
}

/// A store is cut off from all others and from the control nodes, and comes back with what it knew.
#[test]
fn a_store_that_was_cut_off_runs_nothing_twice() {
    for seed in 0..40 {
        for store in 0..3 {
            let mut world = world(3, 1, seed);
            world.act(BEGIN_MS + 7 * seed, Action::Isolate(store, [900, 4000, 15_000][seed as usize % 3]));
            world.run(END_MS);
            println!("seed {seed}, store {store}");
            world.check(true);
        }
    }
}

/// All stores lose power, and one of them its disk.
#[test]
fn keys_survive_a_blackout_with_a_lost_disk() {
    for seed in 0..40 {
        let mut world = world(3, 1, seed);
        world.act(BEGIN_MS + 11 * seed, Action::DiskLossInBlackout(seed as usize % 3));
        world.run(END_MS);
        println!("seed {seed}");
        world.check(true);
    }
}

/// Of a key whose first message was rolled back nothing runs before, and another try is the first.
#[test]
fn a_message_whose_delay_lasts_is_the_one_of_its_key() {
    let mut world = Simulation::new(3, 1, 3);
    world.send_with_key(BEGIN_MS, None, "late", 9000);
    world.send_with_key(BEGIN_MS + 500, None, "late", 0);
    world.run(BEGIN_MS + 8000);
    assert!(world.executions.is_empty(), "the second try stands for the first, whose time has not come");
    world.run(END_MS);
    world.check(true);
    assert_eq!(world.accepted_keys(), (1, 1));
}

/// Three blank stores each waited for the other two to say which claims they had granted, and granted none: with one loss tolerated no
/// shard could be claimed any more.
#[test]
fn stores_that_are_added_at_once_learn_who_holds_the_shards() {
    key_scenarios::many_stores_are_added(&without_fault());
}

#[test]
fn no_key_runs_twice_on_the_days_of_its_rules() {
    key_scenarios::tries_reach_different_stores(&without_fault());
    key_scenarios::an_earlier_holder_has_not_heard_of_its_successor(&without_fault());
    key_scenarios::the_store_that_granted_a_claim_loses_its_disk(&without_fault());
    key_scenarios::uncertain_messages_of_one_key_survive_a_blackout(&without_fault());
}
