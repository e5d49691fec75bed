//! Scenarios in which a single rule of the idempotency keys keeps a key from running twice.

use super::*;

const KEYS: u64 = 40;
const BEGIN_MS: u64 = 4000;

/// Three stores that tolerate one loss and have divided the shards among themselves by [`BEGIN_MS`].
fn world(seed: u64, prepare: &Prepare) -> Simulation {
    let mut world = Simulation::new(3, 1, seed);
    world.prepare(prepare);
    world.act(200, Action::Configure("quota"));
    world
}

/// Sends one submission of each key through edges that cannot reach the store `unreachable`.
fn send_keys(world: &mut Simulation, at: u64, unreachable: usize) {
    for n in 0..KEYS {
        world.send_with_key(at + 5 * n, Some(unreachable), &format!("k-{n}"), 0);
    }
}

/// Each submission of a key reaches a different store.
pub fn tries_reach_different_stores(prepare: &Prepare) {
    let mut world = world(1, prepare);
    send_keys(&mut world, BEGIN_MS, 0);
    send_keys(&mut world, BEGIN_MS + 500, 1);
    send_keys(&mut world, BEGIN_MS + 1000, 2);
    world.run(BEGIN_MS + 20_000);
    world.check(true);
}

/// Two stores are not connected. The second claims the shards that the first holds, and the first does not learn of
/// it.
pub fn an_earlier_holder_has_not_heard_of_its_successor(prepare: &Prepare) {
    let mut world = world(2, prepare);
    world.act(BEGIN_MS, Action::Cut(0, 1));
    send_keys(&mut world, BEGIN_MS + 1500, 0);
    send_keys(&mut world, BEGIN_MS + 2500, 1);
    world.act(BEGIN_MS + 6000, Action::Reconnect(0, 1));
    world.run(BEGIN_MS + 30_000);
    world.check(true);
}

/// Two stores are not connected, and the third store, which had granted the claim, loses its disk before the first
/// holder sends it a replica.
pub fn the_store_that_granted_a_claim_loses_its_disk(prepare: &Prepare) {
    let mut world = world(3, prepare);
    world.act(BEGIN_MS, Action::Cut(0, 1));
    send_keys(&mut world, BEGIN_MS + 1500, 0);
    world.act(BEGIN_MS + 2500, Action::Inject(2, Fault::DiskLoss));
    for round in 0..8 {
        send_keys(&mut world, BEGIN_MS + 4050 + 60 * round, 1);
    }
    world.act(BEGIN_MS + 9000, Action::Reconnect(0, 1));
    world.run(BEGIN_MS + 30_000);
    world.check(false);
}

/// More stores are added at once than may be lost.
pub fn many_stores_are_added(prepare: &Prepare) {
    let mut world = world(5, prepare);
    send_keys(&mut world, BEGIN_MS, 0);
    (0..3).for_each(|_| world.act(BEGIN_MS + 1000, Action::Add));
    for round in 1..6 {
        for n in 0..KEYS {
            world.send_with_key(BEGIN_MS + 2000 * round + 5 * n, None, &format!("k-{round}-{n}"), 0);
        }
    }
    world.run(BEGIN_MS + 30_000);
    world.check(true);
    let (accepted, sent) = world.accepted_keys();
    assert_eq!(accepted, sent, "keys that were never accepted");
}

/// All stores lose power while messages of each key are being written, and one store loses its disk; further
/// submissions come before and after.
pub fn uncertain_messages_of_one_key_survive_a_blackout(prepare: &Prepare) {
    for seed in 0..60 {
        let mut world = Simulation::new(3, 1, seed);
        world.prepare(prepare);
        for n in 0..4 {
            for (k, after) in [0, 9, 250, 1200, 4000].into_iter().enumerate() {
                let unreachable = (k % 2 == 1).then_some((k + n as usize) % 3);
                world.send_with_key(3000 + 60 * n + after, unreachable, &format!("k-{n}"), 0);
            }
        }
        world.act(3000 + 5 * seed, Action::DiskLossInBlackout(seed as usize % 3));
        world.run(40_000);
        world.check(true);
    }
}
