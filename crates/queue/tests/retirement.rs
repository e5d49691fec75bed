//! A store that retires leaves nothing behind, whatever happens to other stores, and to its own order, meanwhile.

mod simulation;

use simulation::{retirement_scenarios, without_fault, Action, Behavior, Fault, Simulation};
use stileroute_queue::RetirementState;

#[test]
fn a_message_handed_over_late_is_replicated_before_the_store_is_empty() {
    retirement_scenarios::a_message_is_handed_over_late(&without_fault());
}

#[test]
fn replicas_of_a_lost_owner_are_taken_over_and_handed_over_first() {
    retirement_scenarios::an_owner_is_gone(&without_fault());
}

#[test]
fn an_empty_store_is_not_relied_on_again() {
    retirement_scenarios::another_is_lost_later(&without_fault());
}

#[test]
fn ends_are_transferred() {
    retirement_scenarios::ends_are_asked_for_later(&without_fault());
}

#[test]
fn ends_are_transferred_when_another_disk_with_them_is_lost() {
    retirement_scenarios::ends_outlive_two_disks(&without_fault());
}

#[test]
fn ends_are_transferred_though_their_store_restarts_between_two_losses() {
    retirement_scenarios::ends_outlive_a_restart_between_two_losses(&without_fault());
}

/// The others have heard of the order, but it was not on the store's disk at the power loss: the store is in service
/// like any other.
#[test]
fn a_retirement_order_lost_with_the_power_has_no_effect() {
    let mut world = Simulation::new(4, 1, 7);
    for n in 0..4 {
        world.send(2500 + 20 * n, 3, "plain", &[Behavior::Unreachable], 0);
        world.send(8000 + 20 * n, 3, "plain", &[Behavior::Unreachable], 0);
    }
    world.act(2900, Action::DiskSlow(0, 100));
    world.act(3000, Action::Retire(0));
    world.act(3050, Action::Inject(0, Fault::PowerLoss));
    world.act(3100, Action::DiskSlow(0, 2));
    world.run(40_000);
    assert_eq!(world.retirement_state(0), Some(RetirementState::NotOrdered));
    world.check_replicas();
    let late: u64 = world.replica_bytes.range(200..).map(|(_, bytes)| bytes).sum();
    assert_eq!(late, 0, "bytes of replicas that were sent again and again");
    // The order holds when it is sent again, also twice.
    world.act(40_001, Action::Retire(0));
    world.act(40_002, Action::Retire(0));
    world.run(45_000);
    assert_eq!(world.retirement_state(0), Some(RetirementState::Empty));
    world.check_replicas_without(0);
}

/// Messages have ended and their callbacks are pending when their store retires. A store that gets such an end and
/// never had the message must not report that the callback was delivered.
#[test]
fn pending_callbacks_of_a_retiring_store_are_delivered() {
    for retired_at in (2520..2900).step_by(20) {
        let mut world = Simulation::new(4, 1, retired_at);
        world.callbacks_fail_until = 8000;
        for n in 0..12 {
            world.send(2500 + 20 * n, 0, "plain", &[Behavior::Succeeds], 0);
        }
        world.act(retired_at, Action::Retire(0));
        world.act(retired_at + 4000, Action::Remove(0));
        world.run(40_000);
        world.check(true);
    }
}
