//! Stores that are emptied: days that a fault in it would not survive.

use super::{Act, Does, Fault, Prepare, World};
use stileroute_queue::{MessageState, RetirementState};

/// Four stores of which one is to be emptied. Of store 3 the copies lie there, its own lie at store 1.
const EMPTIED: usize = 0;
const BEFORE: usize = 3;

fn world(seed: u64, prepare: &Prepare) -> World {
    let mut world = World::new(4, 1, seed);
    world.prepare(prepare);
    world
}

/// As soon as it says that it is empty, its disk is not needed for anything that waits.
fn run_until_empty(world: &mut World, until: u64) {
    while world.retirement_state(EMPTIED) != Some(RetirementState::Empty) {
        assert!(world.now < until, "not empty by {until}");
        world.run(world.now + 1);
    }
    world.check_copies_without(EMPTIED);
}

/// What it has out fails long after the others have said that they count on nothing here, and goes to its successor, which
/// counts on the copy that is left behind.
pub fn a_message_is_handed_over_late(prepare: &Prepare) {
    for sent in (2700..3000).step_by(23) {
        let mut world = world(sent, prepare);
        world.send(sent, EMPTIED, "plain", &[Does::Silent, Does::Down], 0);
        world.act(3000, Act::Retire(EMPTIED));
        run_until_empty(&mut world, 9000);
    }
}

/// The owner is gone for good, and nobody has taken over yet what it owned: one of the two disks is that of the one that is
/// to be emptied.
pub fn an_owner_is_gone(prepare: &Prepare) {
    for after in (0..1000).step_by(70) {
        let mut world = world(after, prepare);
        (0..4).for_each(|n| _ = world.send(2500 + 20 * n, BEFORE, "plain", &[Does::Down], 0));
        world.act(3200, Act::Gone(BEFORE));
        world.act(3200 + after, Act::Retire(EMPTIED));
        run_until_empty(&mut world, 15_000);
    }
}

/// Empty, it runs on. Another is lost, and what it still holds is not counted on: it may be taken away any time.
pub fn another_is_lost_later(prepare: &Prepare) {
    for lost in [1, 2] {
        let mut world = world(5, prepare);
        (0..4).for_each(|n| _ = world.send(2500 + 20 * n, BEFORE, "plain", &[Does::Down], 0));
        world.act(3000, Act::Retire(EMPTIED));
        run_until_empty(&mut world, 9000);
        world.act(9500, Act::Gone(lost));
        world.run(30_000);
        assert_eq!(world.retirement_state(EMPTIED), Some(RetirementState::Empty));
        world.check_copies_without(EMPTIED);
    }
}

/// Both that know an end are emptied one after the other, or one has lost its disk before: the end is told all the same.
pub fn ends_are_asked_for_later(prepare: &Prepare) {
    for (fault, second) in [(None, Some(1)), (Some(Fault::Wipe), None), (Some(Fault::Power), Some(1))] {
        let mut world = world(6, prepare);
        for n in 0..12 {
            let does = if n % 3 == 0 { Does::Refuses } else { Does::Well };
            world.send(2500 + 20 * n, EMPTIED, "plain", &[does], 0);
        }
        fault.into_iter().for_each(|fault| world.act(4000, Act::Strike(1, fault)));
        world.act(8000, Act::Retire(EMPTIED));
        run_until_empty(&mut world, 14_000);
        world.act(14_001, Act::Gone(EMPTIED));
        if let Some(at) = second {
            world.act(20_000, Act::Retire(at));
            world.act(26_000, Act::Gone(at));
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
    for first in [Act::Gone(1), Act::Strike(1, Fault::Wipe)] {
        let mut world = world(8, prepare);
        for n in 0..12 {
            let does = if n % 3 == 0 { Does::Refuses } else { Does::Well };
            world.send(2500 + 20 * n, EMPTIED, "plain", &[does], 0);
        }
        world.act(4000, first.clone());
        world.act(13_000, Act::Gone(EMPTIED));
        world.run(20_000);
        for n in 0..12 {
            let state =
                world.ask(n).map(|(state, bytes)| (matches!(state, MessageState::Failed), bytes.is_some()));
            assert_eq!(state, Some((n % 3 == 0, n % 3 == 0)), "{n} after {first:?}");
        }
    }
}
