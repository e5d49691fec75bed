use super::*;
use crate::protocol::Member;
use assert_matches::assert_matches;
use std::net::Ipv4Addr;
use stileroute_registry::GroupContact;

fn store(name: &str, retirement: RetirementState) -> Member {
    Member {
        node: store_id(name),
        name: name.to_string(),
        role: NodeRole::Store,
        zone: "z".to_string(),
        ip: Ipv4Addr::LOCALHOST,
        incarnation: 1,
        control_address: None,
        config_version: 0,
        retirement,
    }
}

/// A registry with the given stores; with `is_ready` it has been running long enough to know all members.
fn registry(stores: &[(&str, RetirementState)], is_ready: bool) -> Registry {
    let mut registry = Registry::new(
        Member { role: NodeRole::Control, ..store("core-1", RetirementState::NotRetiring) },
        77,
        1200,
        0,
    );
    let now = if is_ready { 3000 } else { 10 };
    for (name, retiring) in stores {
        registry.record_poll(now, store(name, *retiring), 0, 0);
    }
    registry.tick(now, GroupContact::NOW, None);
    registry.take_effects();
    registry
}

fn state(retirements: &[(&str, RetirementStage)]) -> ControlState {
    let one = |(name, stage): &(&str, RetirementStage)| Retirement {
        node: store_id(name),
        name: name.to_string(),
        stage: *stage,
    };
    ControlState { serial: 9, retirements: retirements.iter().map(one).collect(), ..ControlState::default() }
}

/// The decision on an order when two stores have to remain.
fn decision(name: &str, state: &ControlState, pending: &[&str], registry: &Registry) -> OrderDecision {
    let pending: Vec<u32> = pending.iter().map(|name| store_id(name)).collect();
    decide(name, state, &pending, registry, |zones| zones.len() >= 2)
}

const FOUR_STORES: [(&str, RetirementState); 4] = [
    ("s-1", RetirementState::NotRetiring),
    ("s-2", RetirementState::NotRetiring),
    ("s-3", RetirementState::NotRetiring),
    ("s-4", RetirementState::NotRetiring),
];

#[test]
fn simultaneous_retirement_orders_never_leave_too_few_stores() {
    let registry = registry(&FOUR_STORES, true);
    let none = state(&[]);
    assert_eq!(decision("s-1", &none, &[], &registry), OrderDecision::Propose);
    // With the order for s-1 still being committed, retiring s-2 leaves two stores, which suffice; retiring s-3 as
    // well would leave only one.
    assert_eq!(decision("s-2", &none, &["s-1"], &registry), OrderDecision::Propose);
    assert_eq!(
        decision("s-3", &none, &["s-1", "s-2"], &registry),
        OrderDecision::NotNow,
        "the pending orders may still fail"
    );
    // Both orders are committed, but neither store has reported that it is retiring.
    let committed = state(&[("s-1", RetirementStage::Ordered), ("s-2", RetirementStage::Ordered)]);
    assert_eq!(decision("s-3", &committed, &[], &registry), OrderDecision::TooFewRemaining);
    // A store reported as empty that has since disconnected, and one that never was a member, do not count.
    assert_eq!(
        decision("s-1", &state(&[("s-9", RetirementStage::Complete)]), &[], &registry),
        OrderDecision::Propose
    );
    assert_eq!(decision("s-9", &none, &[], &registry), OrderDecision::UnknownStore);
}

#[test]
fn a_repeated_order_is_never_rejected_even_when_the_store_is_gone() {
    let left = registry(&FOUR_STORES[1..3], true);
    for stage in [RetirementStage::Ordered, RetirementStage::Draining, RetirementStage::Complete] {
        assert_eq!(decision("s-1", &state(&[("s-1", stage)]), &[], &left), OrderDecision::AlreadyCommitted);
    }
}

#[test]
fn a_control_node_that_is_not_ready_rejects_no_order_permanently() {
    let not_ready = registry(&FOUR_STORES[..2], false);
    assert_eq!(decision("s-9", &state(&[]), &[], &not_ready), OrderDecision::NotNow);
    assert_eq!(decision("s-1", &state(&[]), &[], &not_ready), OrderDecision::NotNow);
}

#[test]
fn a_retirement_is_complete_when_state_and_store_both_say_so() {
    let complete = state(&[("s-1", RetirementStage::Complete)]);
    let draining = state(&[("s-1", RetirementStage::Draining)]);
    let registry_reporting = |retiring| registry(&[("s-1", retiring)], true);
    let gone = registry(&[], true);
    let progress_of = |state, registry: &Registry| progress("s-1", Some(state), registry);
    assert_matches!(progress_of(&complete, &gone), Some(RetirementProgress::Complete));
    assert_matches!(
        progress_of(&complete, &registry_reporting(RetirementState::Complete)),
        Some(RetirementProgress::Complete)
    );
    // The store is restarting, so nobody has reported that it is empty.
    assert_matches!(progress_of(&draining, &gone), Some(RetirementProgress::Draining));
    // The store reported completion to one node but the replicated state lacks it, so a restarted control node would
    // have lost that report.
    assert_matches!(
        progress_of(&draining, &registry_reporting(RetirementState::Complete)),
        Some(RetirementProgress::Draining)
    );
    // A new machine has the store's name.
    assert_matches!(
        progress_of(&complete, &registry_reporting(RetirementState::NotRetiring)),
        Some(RetirementProgress::Draining)
    );
    assert_matches!(progress_of(&state(&[]), &registry_reporting(RetirementState::Complete)), None);
    assert_matches!(progress("s-1", None, &gone), None);
}

#[test]
fn a_store_with_a_session_here_is_notified_until_it_says_that_it_retires() {
    let committed = state(&[
        ("s-1", RetirementStage::Ordered),
        ("s-2", RetirementStage::Draining),
        ("s-9", RetirementStage::Ordered),
    ]);
    let mut here = registry(&FOUR_STORES, true);
    let mut notices = RetirementNotices::default();
    let (first, second) = (store_id("s-1"), store_id("s-2"));
    // The second store has lost its disk, or a new machine has its name.
    assert_eq!(notices.due(3000, &committed, &here), [first, second]);
    assert!(notices.due(3499, &committed, &here).is_empty());
    assert_eq!(notices.due(3500, &committed, &here), [first, second]);
    here.record_poll(3600, store("s-1", RetirementState::Draining), 0, 0);
    here.session_disconnected(3600, second);
    assert!(notices.due(9000, &committed, &here).is_empty());
    here.record_poll(9100, store("s-2", RetirementState::NotRetiring), 0, 0);
    assert_eq!(notices.due(9100, &committed, &here), [second]);
}

#[test]
fn a_machine_with_one_of_an_even_number_of_voters_is_not_released() {
    let voter = |host: u8| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 9000);
    let machine = Ipv4Addr::new(10, 0, 0, 4);
    assert!(is_voter_needed(&[1, 2, 3, 4].map(voter), machine));
    assert!(!is_voter_needed(&[1, 2, 3].map(voter), machine), "the voter on this machine has been removed");
    assert!(!is_voter_needed(&[1, 2, 3, 4, 5].map(voter), machine), "four of five voters remain");
}

#[test]
fn a_store_is_not_retired_if_its_machine_takes_too_many_voters_with_it() {
    let voter = |host: u8| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 9000);
    let (shared, separate) = (Ipv4Addr::new(10, 0, 0, 3), Ipv4Addr::new(10, 0, 0, 9));
    assert!(!are_voters_sufficient(&[1, 2, 3].map(voter), shared, 1));
    assert!(are_voters_sufficient(&[1, 2, 3].map(voter), separate, 1));
    assert!(are_voters_sufficient(&[1, 2, 3, 4].map(voter), shared, 1));
    assert!(!are_voters_sufficient(&[1, 2, 3, 4, 5].map(voter), shared, 2));
}
