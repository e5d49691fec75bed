//! Scenarios that a fault in the retirement of a store would not survive.

use super::{
    Action, Behavior, Fault, Prepare, Simulation, StoreBounds, DEFAULT_CATCH_UP_MS, LONG_CATCH_UP_MS,
};
use stileroute_queue::{MessageState, RetirementState};

/// Four stores, of which this one retires. The replicas of store 3 are here, its own are at store 1.
const RETIRING: usize = 0;
const PREDECESSOR: usize = 3;

fn world(seed: u64, prepare: &Prepare) -> Simulation {
    let mut world = Simulation::new(4, 1, seed);
    world.prepare(prepare);
    world
}

/// Runs until the retiring store reports that it is empty; from then on no waiting message may need its disk.
fn run_until_empty(world: &mut Simulation, until: u64) {
    while world.retirement_state(RETIRING) != Some(RetirementState::Empty) {
        assert!(world.now < until, "not empty by {until}");
        world.run(world.now + 1);
    }
    world.check_replicas_without(RETIRING);
}

/// An attempt of the retiring store fails long after the other stores have said that they need nothing from it. The
/// message goes to a successor that counts on the replica left behind.
pub fn a_message_is_handed_over_late(prepare: &Prepare) {
    for sent in (2700..3000).step_by(23) {
        let mut world = world(sent, prepare);
        world.send(sent, RETIRING, "plain", &[Behavior::NeverAnswers, Behavior::Unreachable], 0);
        world.act(3000, Action::Retire(RETIRING));
        run_until_empty(&mut world, 9000);
    }
}

/// The owner of messages is gone for good, and no store has taken them over yet. One of the two disks with the
/// messages is that of the retiring store.
pub fn an_owner_is_gone(prepare: &Prepare) {
    for after in (0..1000).step_by(70) {
        let mut world = world(after, prepare);
        (0..4).for_each(|n| _ = world.send(2500 + 20 * n, PREDECESSOR, "plain", &[Behavior::Unreachable], 0));
        world.act(3200, Action::Remove(PREDECESSOR));
        world.act(3200 + after, Action::Retire(RETIRING));
        run_until_empty(&mut world, 15_000);
    }
}

/// The empty store keeps running. Another store is lost, and the replicas that the empty store still holds must not
/// be counted: it may be removed at any time.
pub fn another_is_lost_later(prepare: &Prepare) {
    for lost in [1, 2] {
        let mut world = world(5, prepare);
        (0..4).for_each(|n| _ = world.send(2500 + 20 * n, PREDECESSOR, "plain", &[Behavior::Unreachable], 0));
        world.act(3000, Action::Retire(RETIRING));
        run_until_empty(&mut world, 9000);
        world.act(9500, Action::Remove(lost));
        world.run(30_000);
        assert_eq!(world.retirement_state(RETIRING), Some(RetirementState::Empty));
        world.check_replicas_without(RETIRING);
    }
}

/// Both stores that know an end retire one after the other, or one of them has lost its disk before. The end can
/// still be looked up.
pub fn ends_are_asked_for_later(prepare: &Prepare) {
    for (fault, second) in [(None, Some(1)), (Some(Fault::DiskLoss), None), (Some(Fault::PowerLoss), Some(1))]
    {
        let mut world = world(6, prepare);
        for n in 0..12 {
            let behavior = if n % 3 == 0 { Behavior::Rejects } else { Behavior::Succeeds };
            world.send(2500 + 20 * n, RETIRING, "plain", &[behavior], 0);
        }
        fault.into_iter().for_each(|fault| world.act(4000, Action::Inject(1, fault)));
        world.act(8000, Action::Retire(RETIRING));
        run_until_empty(&mut world, 14_000);
        world.act(14_001, Action::Remove(RETIRING));
        if let Some(at) = second {
            world.act(20_000, Action::Retire(at));
            world.act(26_000, Action::Remove(at));
        }
        world.run(30_000);
        for n in 0..12 {
            let state = world
                .lookup(n)
                .map(|(state, bytes)| (matches!(state, MessageState::Failed), bytes.is_some()));
            assert_eq!(state, Some((n % 3 == 0, n % 3 == 0)), "{n} after {fault:?}");
        }
        world.check(true);
    }
}

/// One store is lost for good, or returns with another disk. After the replicas were restored, one of the stores that
/// held the same messages is lost too. The ends can still be looked up.
pub fn ends_outlive_two_disks(prepare: &Prepare) {
    for first in [Action::Remove(1), Action::Inject(1, Fault::DiskLoss)] {
        let mut world = world(8, prepare);
        for n in 0..12 {
            let behavior = if n % 3 == 0 { Behavior::Rejects } else { Behavior::Succeeds };
            world.send(2500 + 20 * n, RETIRING, "plain", &[behavior], 0);
        }
        world.act(4000, first.clone());
        world.act(13_000, Action::Remove(RETIRING));
        world.run(20_000);
        for n in 0..12 {
            let state = world
                .lookup(n)
                .map(|(state, bytes)| (matches!(state, MessageState::Failed), bytes.is_some()));
            assert_eq!(state, Some((n % 3 == 0, n % 3 == 0)), "{n} after {first:?}");
        }
    }
}

/// A store restarts while another has returned with a new disk, and is lost when the ends that both knew should be on
/// other disks. With a long `catch_up_s` the ends are not copied while the other store is away, so that only its new disk
/// shows that they are missing there.
pub fn ends_outlive_a_restart_between_two_losses(prepare: &Prepare) {
    let short = [4100, 5200].map(|restarted_at| (DEFAULT_CATCH_UP_MS, restarted_at));
    let long = [4100, 5200].map(|restarted_at| (LONG_CATCH_UP_MS, restarted_at));
    for (catch_up_ms, restarted_at) in short.into_iter().chain(long) {
        let mut world = Simulation::with_bounds(4, 1, 9, StoreBounds::with_catch_up(catch_up_ms));
        world.prepare(prepare);
        for n in 0..12 {
            let behavior = if n % 3 == 0 { Behavior::Rejects } else { Behavior::Succeeds };
            world.send(2500 + 20 * n, RETIRING, "plain", &[behavior], 0);
        }
        world.act(4000, Action::Inject(1, Fault::DiskLoss));
        world.act(restarted_at, Action::Inject(RETIRING, Fault::QuickRestart));
        world.act(13_000, Action::Remove(RETIRING));
        world.run(20_000);
        for n in 0..12 {
            let state = world
                .lookup(n)
                .map(|(state, bytes)| (matches!(state, MessageState::Failed), bytes.is_some()));
            let expected = Some((n % 3 == 0, n % 3 == 0));
            assert_eq!(state, expected, "{n} after a restart at {restarted_at}, catch-up {catch_up_ms} ms");
        }
    }
}
