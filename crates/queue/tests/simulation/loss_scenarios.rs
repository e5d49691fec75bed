//! Stores that lose their disks one after another, each after the previous loss was repaired.

use super::{Action, Behavior, Fault, Prepare, Simulation};
use stileroute_queue::{MessageState, RetirementState};

/// Number of messages that end before the first loss. Every third one is rejected by its executor and so fails.
pub const MESSAGES: u64 = 12;

/// Time of the first loss: all messages have ended and their callbacks are delivered.
const FIRST_LOSS_AT_MS: u64 = 6000;

/// Whether the executor rejects the message.
fn is_rejected(n: u64) -> bool {
    n.is_multiple_of(3)
}

/// A simulation whose messages end before the first loss.
pub fn ended_messages(stores: usize, replicas: usize, prepare: &Prepare) -> Simulation {
    let mut world = Simulation::new(stores, replicas, 11);
    world.prepare(prepare);
    for n in 0..MESSAGES {
        let behavior = if is_rejected(n) { Behavior::Rejects } else { Behavior::Succeeds };
        world.send(2500 + 40 * n, n as usize % stores, "plain", &[behavior], 0);
    }
    world
}

/// Number of messages whose state is known at the end, together with the body if they failed.
pub fn known_ends(world: &Simulation) -> u64 {
    let is_known = |n: &u64| {
        let state = world.lookup(*n as usize);
        let state = state.map(|(state, body)| (matches!(state, MessageState::Failed), body.is_some()));
        state == Some((is_rejected(*n), is_rejected(*n)))
    };
    (0..MESSAGES).filter(is_known).count() as u64
}

/// Lets each store of the series lose its disk, `gap` milliseconds after the one before it.
pub fn lose_disks(world: &mut Simulation, series: &[usize], gap: u64) {
    for (n, store) in series.iter().enumerate() {
        world.act(FIRST_LOSS_AT_MS + gap * n as u64, Action::Inject(*store, Fault::DiskLoss));
    }
    world.run(FIRST_LOSS_AT_MS + gap * series.len() as u64);
}

/// The two stores that know an end lose their disks in turn. At the second loss the end is only where it was copied to
/// at the first: at the store that was lost, or at the third one.
pub fn ends_outlive_three_losses(prepare: &Prepare) {
    for series in [[0, 1, 0], [1, 2, 1], [2, 0, 2], [0, 1, 2], [1, 2, 0], [2, 0, 1]] {
        let mut world = ended_messages(3, 1, prepare);
        lose_disks(&mut world, &series, 8000);
        assert_eq!(known_ends(&world), MESSAGES, "{series:?}");
    }
}

/// A slow store is replaced in a message's replica list after another store has received its replica with the old
/// list. That other store takes the message over and must not count on the slow one.
pub fn an_inherited_list_is_out_of_date(prepare: &Prepare) {
    for seed in 0..4 {
        let mut world = Simulation::new(5, 2, seed);
        world.prepare(prepare);
        world.act(2400, Action::DiskSlow(2, 180));
        for n in 0..6 {
            world.send(2500 + 150 * n, 0, "plain", &[Behavior::Unreachable], 0);
        }
        world.act(5000, Action::DiskSlow(2, 2));
        world.act(5500, Action::Remove(0));
        world.run(10_000);
        world.check_replicas();
        world.act(10_001, Action::Remove(1));
        world.run(15_000);
        world.check(false);
    }
}

/// A store is retired and removed, all others restart, one of them loses its disk, and then the last one is removed.
/// The messages wait all the time.
pub fn two_are_lost_after_a_retirement_and_a_restart(prepare: &Prepare) {
    let mut failed = Vec::new();
    for [retired, wiped, removed] in [[2, 0, 1], [2, 1, 0], [0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0]] {
        let mut world = Simulation::new(3, 1, 12);
        world.prepare(prepare);
        for n in 0..60 {
            world.send(2500 + 20 * n as u64, n % 3, "plain", &[Behavior::Unreachable], 60_000);
        }
        world.act(6000, Action::Retire(retired));
        world.run(9000);
        assert_eq!(world.retirement_state(retired), Some(RetirementState::Empty));
        world.act(9001, Action::Remove(retired));
        for store in [wiped, removed] {
            world.act(9500, Action::Inject(store, Fault::Kill));
        }
        world.act(18_000, Action::Inject(wiped, Fault::DiskLoss));
        world.act(26_000, Action::Remove(removed));
        world.run(32_000);
        let lost = (0..60).filter(|n| world.lookup(*n).is_none()).count();
        if lost > 0 {
            failed.push(format!("{retired} retired, {wiped} wiped, {removed} removed: {lost} of 60 lost"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Disks are slower than the replication time-out while messages arrive, so replicas are replaced, dropped and sent
/// again. Afterwards every accepted message is on enough disks.
fn disks_stall(stores: usize, replicas: usize, stalled: &[usize], prepare: &Prepare) {
    for sync_ms in (110..380).step_by(9) {
        let mut world = Simulation::new(stores, replicas, sync_ms);
        world.prepare(prepare);
        for store in stalled {
            world.act(3000, Action::DiskSlow(*store, sync_ms));
            world.act(4500, Action::DiskSlow(*store, 2));
        }
        for n in 0..40 {
            world.send(2950 + 35 * n as u64, n % stores, "plain", &[Behavior::Unreachable], 50_000);
        }
        world.run(9000);
        assert!(world.says_fully_replicated());
        world.check_disks(replicas + 1);
    }
}

/// All disks stall: a replica is dropped, and its record reaches the disk afterwards.
pub fn a_dropped_replica_reaches_the_disk(prepare: &Prepare) {
    disks_stall(4, 1, &[0, 1, 2, 3], prepare);
}

/// Two replicas of one message are late at the same time.
pub fn two_replicas_are_late(prepare: &Prepare) {
    disks_stall(5, 2, &[0, 3, 4], prepare);
}

/// A store was retired and removed. Another store loses its disk, and the replica lists inherited from it still
/// contain the removed store. All messages are on enough disks again, and the stores report it.
pub fn a_retired_store_is_in_inherited_lists(prepare: &Prepare) {
    for (retired, lost) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let mut world = Simulation::new(3, 1, 12);
        world.prepare(prepare);
        for n in 0..30 {
            world.send(2500 + 20 * n as u64, n % 3, "plain", &[Behavior::Unreachable], 50_000);
        }
        world.act(4000, Action::Retire(retired));
        world.run(7000);
        assert_eq!(world.retirement_state(retired), Some(RetirementState::Empty));
        world.act(7001, Action::Remove(retired));
        world.act(7300, Action::Add);
        world.act(16_000, Action::Inject(lost, Fault::DiskLoss));
        world.run(25_000);
        assert!(world.says_fully_replicated(), "{retired} retired, {lost} lost its disk");
        world.check_disks(2);
    }
}
