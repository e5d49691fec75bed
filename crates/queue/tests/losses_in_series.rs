//! Stores lose their disks one after another. Each single loss is tolerated, and each is repaired before the next
//! one. However long the series, the state of every accepted message is known afterwards.

mod simulation;

use simulation::loss_scenarios::{self, ended_messages, known_ends, lose_disks, MESSAGES};
use simulation::{without_fault, Action, Behavior, Fault, Simulation};

/// Time between two losses: a store is back after 1.5 s, and what it lacks is copied within seconds.
const GAPS_BETWEEN_LOSSES: [u64; 2] = [7000, 13_000];

/// All series of `losses` losses among `stores` stores.
fn series_of(losses: usize, stores: usize) -> Vec<Vec<usize>> {
    (0..losses).fold(vec![Vec::new()], |series, _| {
        let longer = |one: Vec<usize>| (0..stores).map(move |store| [one.as_slice(), &[store]].concat());
        series.into_iter().flat_map(longer).collect()
    })
}

/// Asserts that no series of `losses` losses loses an end.
fn assert_ends_survive(stores: usize, replicas: usize, losses: usize) {
    let mut failed = Vec::new();
    for gap in GAPS_BETWEEN_LOSSES {
        for series in series_of(losses, stores) {
            let mut world = ended_messages(stores, replicas, &without_fault());
            lose_disks(&mut world, &series, gap);
            let known = known_ends(&world);
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

#[test]
fn waiting_messages_survive_a_retirement_a_restart_and_two_losses() {
    loss_scenarios::two_are_lost_after_a_retirement_and_a_restart(&without_fault());
}

#[test]
fn a_store_that_takes_over_counts_no_replica_that_it_has_not_heard_of() {
    loss_scenarios::an_inherited_list_is_out_of_date(&without_fault());
}

#[test]
fn a_replica_that_was_dropped_is_not_confirmed() {
    loss_scenarios::a_dropped_replica_reaches_the_disk(&without_fault());
}

#[test]
fn two_late_replicas_are_replaced_by_two_stores() {
    loss_scenarios::two_replicas_are_late(&without_fault());
}

#[test]
fn repair_ends_though_inherited_lists_name_a_retired_store() {
    loss_scenarios::a_retired_store_is_in_inherited_lists(&without_fault());
}

/// Stores lose their disks in turn for a minute while messages arrive and end, as in the incident that led to this
/// test.
#[test]
fn every_message_is_known_through_nine_losses_under_load() {
    for gap_ms in [5300, 7600] {
        let mut world = Simulation::new(3, 1, gap_ms);
        for n in 0..200 {
            let delay_ms = if n % 10 == 0 { 9000 } else { 0 };
            world.send(2500 + 300 * n as u64, n % 3, "plain", &[Behavior::Succeeds], delay_ms);
        }
        for (n, store) in [2, 1, 0, 2, 1, 0, 2, 1, 0].into_iter().enumerate() {
            world.act(6000 + gap_ms * n as u64, Action::Inject(store, Fault::DiskLoss));
        }
        world.run(85_000);
        world.check(true);
        world.check_replicas();
    }
}
