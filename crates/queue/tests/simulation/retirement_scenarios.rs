//! Stores that are emptied: days that a fault in it would not survive.

use super::{Action, Behavior, Fault, Prepare, Simulation};
use stileroute_queue::{MessageState, RetirementState};

/// Four stores of which one is to be emptied. Of store 3 the copies lie there, its own lie at store 1.
const EMPTIED: usize = 0;
const BEFORE: usize = 3;

fn world(seed: u64, prepare: &Prepare) -> Simulation {
    let mut world = Simulation::new(4, 1, seed);
    world.prepare(prepare);
    world
}

/// As soon as it says that it is empty, its disk is not needed for anything that waits.
fn run_until_empty(world: &mut Simulation, until: u64) {
    while world.retirement_state(EMPTIED) != Some(RetirementState::Empty) {
        assert!(world.now < until, "not empty by {until}");
        world.run(world.now + 1);
    }
    world.check_replicas_without(EMPTIED);
}

/// What it has out fails long after the others have said that they count on nothing here, and goes to its successor, which
/// counts on the copy that is left behind.
pub fn a_message_is_handed_over_late(prepare: &Prepare) {
    for sent in (2700..3000).step_by(23) {
        let mut world = world(sent, prepare);
        world.send(sent, EMPTIED, "plain", &[Behavior::NeverAnswers, Behavior::Unreachable], 0);
        world.act(3000, Action::Retire(EMPTIED));
        run_until_empty(&mut world, 9000);
    }
}

/// The owner is gone for good, and nobody has taken over yet what it owned: one of the two disks is that of the one that is
/// to be emptied.
pub fn an_owner_is_gone(prepare: &Prepare) {
    for after in (0..1000).step_by(70) {
        let mut world = world(after, prepare);
        (0..4).for_each(|n| _ = world.send(2500 + 20 * n, BEFORE, "plain", &[Behavior::Unreachable], 0));
        world.act(3200, Action::Remove(BEFORE));
        world.act(3200 + after, Action::Retire(EMPTIED));
        run_until_empty(&mut world, 15_000);
    }
}

/// Empty, it runs on. Another is lost, and what it still holds is not counted on: it may be taken away any time.
pub fn another_is_lost_later(prepare: &Prepare) {
    for lost in [1, 2] {
        let mut world = world(5, prepare);
        (0..4).for_each(|n| _ = world.send(2500 + 20 * n, BEFORE, "plain", &[Behavior::Unreachable], 0));
        world.act(3000, Action::Retire(EMPTIED));
        run_until_empty(&mut world, 9000);
        world.act(9500, Action::Remove(lost));
        world.run(30_000);
        assert_eq!(world.retirement_state(EMPTIED), Some(RetirementState::Empty));
        world.check_replicas_without(EMPTIED);
    }
}

/// Both that know an end are emptied one after the other, or one has lost its disk before: the end is told all the same.
pub fn ends_are_asked_for_later(prepare: &Prepare) {
    for (fault, second) in [(None, Some(1)), (Some(Fault::DiskLoss), None), (Some(Fault::PowerLoss), Some(1))]
    {
        let mut world = world(6, prepare);
        for n in 0..12 {
            let does = if n % 3 == 0 { Behavior::Refuses } else { Behavior::Succeeds };
            world.send(2500 + 20 * n, EMPTIED, "plain", &[does], 0);
        }
        fault.into_iter().for_each(|fault| world.act(4000, Action::Inject(1, fault)));
        world.act(8000, Action::Retire(EMPTIED));
        run_until_empty(&mut world, 14_000);
        world.act(14_001, Action::Remove(EMPTIED));
        if let Some(at) = second {
            world.act(20_000, Action::Retire(at));
            world.act(26_000, Action::Remove(at));
        }
        world.run(30_000);
        for n in 0..12 {
            let state =
                world.ask(n).map(|(state, bytes)| (matches!(state, MessageState::Failed), bytes.is_some()));
            assert_eq!(state, Some((n % 3 == 0, n % 3 == 0)), "{n} after {fault:?}");
        }
        world.check(true);
    }
}

/// One store is lost for good, or back with another disk; when copies are made anew, one of those that held the same messages
/// is lost, too. What had ended is told all the same.
pub fn ends_outlive_two_disks(prepare: &Prepare) {
    for first in [Action::Remove(1), Action::Inject(1, Fault::DiskLoss)] {
        let mut world = world(8, prepare);
        for n in 0..12 {
            let does = if n % 3 == 0 { Behavior::Refuses } else { Behavior::Succeeds };
            world.send(2500 + 20 * n, EMPTIED, "plain", &[does], 0);
        }
        world.act(4000, first.clone());
        world.act(13_000, Action::Remove(EMPTIED));
        world.run(20_000);
        for n in 0..12 {
            let state =
                world.ask(n).map(|(state, bytes)| (matches!(state, MessageState::Failed), bytes.is_some()));
            assert_eq!(state, Some((n % 3 == 0, n % 3 == 0)), "{n} after {first:?}");
        }
    }
}

/// A store restarts while another is back with another disk, and is lost when the ends that both knew should be on other disks.
pub fn ends_outlive_a_restart_between_two_losses(prepare: &Prepare) {
    for restarted_at in [4100, 5200] {
        let mut world = world(9, prepare);
        for n in 0..12 {
            let does = if n % 3 == 0 { Behavior::Refuses } else { Behavior::Succeeds };
            world.send(2500 + 20 * n, EMPTIED, "plain", &[does], 0);
        }
        world.act(4000, Action::Inject(1, Fault::DiskLoss));
        world.act(restarted_at, Action::Inject(EMPTIED, Fault::QuickRestart));
        world.act(13_000, Action::Remove(EMPTIED));
        world.run(20_000);
        for n in 0..12 {
            let state =
                world.ask(n).map(|(state, bytes)| (matches!(state, MessageState::Failed), bytes.is_some()));
            assert_eq!(state, Some((n % 3 == 0, n % 3 == 0)), "{n} after a restart at {restarted_at}");
        }
    }
}
