//! Stores that lose their disks one after another. Each loss alone is within what is tolerated, and each is repaired before the
//! next one: whatever the length of the series, the state of every accepted message is known afterwards.

mod simulation;

use simulation::{Action, Behavior, Fault, Simulation};
use stileroute_queue::{MessageState, RetirementState};

/// Messages that each run sends; every third is refused by its executor, and so fails.
const MESSAGES: u64 = 12;

/// Whether the executor refuses the message.
fn is_refused(n: u64) -> bool {
    n.is_multiple_of(3)
}

/// The first loss comes when all messages have ended and their callbacks are delivered.
const FIRST_LOSS_AT: u64 = 6000;

/// Between two losses: a store is back after 1.5 s, and what it lacks is copied within seconds.
const GAPS_BETWEEN_LOSSES: [u64; 2] = [7000, 13_000];

/// All series of so many losses among `stores` stores.
fn series_of(losses: usize, stores: usize) -> Vec<Vec<usize>> {
    (0..losses).fold(vec![Vec::new()], |series, _| {
        let longer = |one: Vec<usize>| (0..stores).map(move |store| [one.as_slice(), &[store]].concat());
        series.into_iter().flat_map(longer).collect()
    })
}

/// Messages that end before the first loss.
fn ended_messages(stores: usize, replicas: usize) -> Simulation {
    let mut world = Simulation::new(stores, replicas, 11);
    for n in 0..MESSAGES {
        let behavior = if is_refused(n) { Behavior::Refuses } else { Behavior::Succeeds };
        world.send(2500 + 40 * n, n as usize % stores, "plain", &[behavior], 0);
    }
    world
}

/// How many of the messages are known at the end with their state, and with their body where they failed.
fn known_ends(world: &Simulation) -> u64 {
    let is_known = |n: &u64| {
        let state = world.ask(*n as usize);
        let state = state.map(|(state, body)| (matches!(state, MessageState::Failed), body.is_some()));
        state == Some((is_refused(*n), is_refused(*n)))
    };
    (0..MESSAGES).filter(is_known).count() as u64
}

/// Each store of the series loses its disk, `gap` after the one before it. Gives how many ends are known afterwards.
fn ends_after_losses(mut world: Simulation, series: &[usize], gap: u64) -> u64 {
    for (n, store) in series.iter().enumerate() {
        world.act(FIRST_LOSS_AT + gap * n as u64, Action::Inject(*store, Fault::DiskLoss));
    }
    world.run(FIRST_LOSS_AT + gap * series.len() as u64);
    known_ends(&world)
}

/// Asserts that no series of so many losses loses an end.
fn assert_ends_survive(stores: usize, replicas: usize, losses: usize) {
    let mut failed = Vec::new();
    for gap in GAPS_BETWEEN_LOSSES {
        for series in series_of(losses, stores) {
            let known = ends_after_losses(ended_messages(stores, replicas), &series, gap);
            if known < MESSAGES {
                failed.push(format!("{series:?} every {gap} ms: {known} of {MESSAGES} known"));
            }
        }
    }
    assert!(failed.is_empty(), "{} series lose ends: {failed:#?}", failed.len());
}

#[test]
fn ends_survive_two_losses_one_after_another() {
    assert_ends_survive(3, 1, 2);
}

#[test]
fn ends_survive_three_losses_one_after_another() {
    assert_ends_survive(3, 1, 3);
}

#[test]
fn ends_survive_four_losses_one_after_another() {
    assert_ends_survive(3, 1, 4);
    assert_ends_survive(4, 1, 4);
}

/// A store is emptied and taken away, all others restart, one of them loses its disk, and then the other one is gone.
#[test]
fn waiting_messages_survive_a_retirement_a_restart_and_two_losses() {
    let mut failed = Vec::new();
    for [retired, wiped, removed] in [[2, 0, 1], [2, 1, 0], [0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0]] {
        let mut world = Simulation::new(3, 1, 12);
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
        let lost = (0..60).filter(|n| world.ask(*n).is_none()).count();
        if lost > 0 {
            failed.push(format!("{retired} retired, {wiped} wiped, {removed} removed: {lost} of 60 lost"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
