//! Pending calls, retirements and records on disk, without I/O.

use super::disk_records::{encode, DiskRecords};
use super::pending_calls::{Origin, PendingCalls};
use super::retirement::{decide, progress, OrderDecision, RetirementNotices};
use crate::calls::{RetirementProgress, LARGEST_CONFIGURATION};
use crate::node::node_id;
use crate::protocol::{ForwardedCall, ForwardedCallKind, Member, NodeRole, RetirementState};
use assert_matches::assert_matches;
use std::net::Ipv4Addr;
use stileroute_control_group::{ControlState, Record, Retirement, RetirementStage, MAX_RETIREMENTS};
use stileroute_registry::Registry;
use stileroute_wal::{StateMachine, MAX_RECORD_BYTES};

const CLIENT: Origin = Origin::Client(9);

fn begin(name: &str) -> ForwardedCall {
    ForwardedCall::BeginRetirement { node: name.to_string() }
}

/// A call of a client that was passed to the control node 2.
fn forwarded() -> (PendingCalls, u64) {
    let mut calls = PendingCalls::new(100);
    let call_id = calls.insert(0, CLIENT);
    calls.set_content(call_id, ForwardedCall::ReadConfig);
    assert_eq!(calls.forward(call_id, 2), Some(ForwardedCall::ReadConfig));
    (calls, call_id)
}

#[test]
fn only_the_node_that_was_asked_answers_a_call_and_only_once() {
    let (mut calls, call_id) = forwarded();
    assert!(calls.is_forwarded_to(call_id, 2));
    assert!(!calls.is_forwarded_to(call_id, 3), "it was not asked");
    assert!(!calls.is_forwarded_to(call_id + 1, 2), "no such call");
    assert_eq!(calls.remove(call_id), Some(CLIENT));
    // It comes again, late: the call_id is nobody else's by now.
    let next = calls.insert(1, Origin::Client(10));
    assert!(!calls.is_forwarded_to(call_id, 2) && !calls.is_forwarded_to(next, 2));
    assert_eq!((calls.remove(call_id), calls.remove(next)), (None, Some(Origin::Client(10))));
}

#[test]
fn a_call_that_was_not_forwarded_takes_no_answer_from_others() {
    let mut calls = PendingCalls::new(100);
    let call_id = calls.insert(0, CLIENT);
    calls.set_content(call_id, ForwardedCall::ReadConfig);
    assert!(!calls.is_forwarded_to(call_id, 2));
}

#[test]
fn a_call_is_forwarded_once() {
    let (mut calls, call_id) = forwarded();
    assert_eq!(calls.forward(call_id, 3), None);
    let from_core = calls.insert(0, Origin::ControlNode { node: 5, request_id: 1 });
    calls.set_content(from_core, ForwardedCall::ReadConfig);
    assert_eq!(calls.forward(from_core, 3), None, "it was passed on already");
    assert_eq!(calls.kind(from_core), Some(ForwardedCallKind::ReadConfig));
}

#[test]
fn calls_forwarded_to_a_lost_node_are_given_back_and_those_it_forwarded_are_forgotten() {
    let (mut calls, call_id) = forwarded();
    let elsewhere = calls.insert(0, CLIENT);
    calls.set_content(elsewhere, ForwardedCall::ReadConfig);
    calls.forward(elsewhere, 3);
    let from_lost = calls.insert(0, Origin::ControlNode { node: 2, request_id: 1 });
    calls.set_content(from_lost, begin("s-1"));
    calls.await_store(from_lost);
    assert_eq!(calls.control_node_lost(2), [(call_id, ForwardedCallKind::ReadConfig)]);
    assert_eq!(calls.remove(from_lost), None);
    assert!(calls.unconfirmed_orders().is_empty());
    calls.remove(call_id);
    assert_eq!(calls.len(), 1, "the one that another settles");
}

#[test]
fn a_forwarded_call_without_an_answer_is_overdue_after_four_seconds() {
    let (mut calls, call_id) = forwarded();
    let own = calls.insert(0, CLIENT);
    calls.set_content(own, ForwardedCall::ReadConfig);
    assert!(calls.overdue(4000).is_empty());
    assert_eq!(calls.overdue(4001), [(call_id, ForwardedCallKind::ReadConfig)]);
}

#[test]
fn answers_without_a_decision_have_a_server_error_status() {
    let kinds = [
        ForwardedCallKind::ReplaceConfig,
        ForwardedCallKind::ReadConfig,
        ForwardedCallKind::BeginRetirement,
        ForwardedCallKind::ReadRetirement,
    ];
    for kind in kinds {
        assert_eq!(kind.unavailable().status, 503, "{kind:?}");
        assert!(kind.outcome_unknown().status >= 500, "{kind:?}");
    }
    assert_eq!(ForwardedCallKind::ReplaceConfig.outcome_unknown().status, 504);
}

fn store(name: &str, retiring: RetirementState) -> Member {
    Member {
        node: node_id(name),
        name: name.to_string(),
        role: NodeRole::Store,
        zone: "z".to_string(),
        ip: Ipv4Addr::LOCALHOST,
        incarnation: 1,
        control_address: None,
        config_version: 0,
        retirement: retiring,
    }
}

/// Knows these stores; `ready` if it has been up for long enough.
fn registry(stores: &[(&str, RetirementState)], ready: bool) -> Registry {
    let mut registry = Registry::new(
        Member { role: NodeRole::Control, ..store("core-1", RetirementState::NotRetiring) },
        77,
        1200,
        0,
    );
    let now = if ready { 3000 } else { 10 };
    for (name, retiring) in stores {
        registry.record_poll(now, store(name, *retiring), 0, 0);
    }
    registry.tick(now, true, None);
    registry.take_effects();
    registry
}

fn held(retirements: &[(&str, RetirementStage)]) -> ControlState {
    let one = |(name, stage): &(&str, RetirementStage)| Retirement {
        node: node_id(name),
        name: name.to_string(),
        stage: *stage,
    };
    ControlState { serial: 9, retirements: retirements.iter().map(one).collect(), ..ControlState::default() }
}

/// Two have to stay.
fn decision(name: &str, held: &ControlState, soon: &[&str], registry: &Registry) -> OrderDecision {
    let soon: Vec<u32> = soon.iter().map(|name| node_id(name)).collect();
    decide(name, held, &soon, registry, |zones| zones.len() >= 2)
}

const FOUR: [(&str, RetirementState); 4] = [
    ("s-1", RetirementState::NotRetiring),
    ("s-2", RetirementState::NotRetiring),
    ("s-3", RetirementState::NotRetiring),
    ("s-4", RetirementState::NotRetiring),
];

#[test]
fn simultaneous_retirement_orders_never_leave_too_few_stores() {
    let registry = registry(&FOUR, true);
    let none = held(&[]);
    assert_eq!(decision("s-1", &none, &[], &registry), OrderDecision::Propose);
    // The first is being written: two would stay, and then one.
    assert_eq!(decision("s-2", &none, &["s-1"], &registry), OrderDecision::Propose);
    assert_eq!(
        decision("s-3", &none, &["s-1", "s-2"], &registry),
        OrderDecision::NotNow,
        "they may come to nothing"
    );
    // They are agreed on, and no store has said so yet.
    let agreed = held(&[("s-1", RetirementStage::Ordered), ("s-2", RetirementStage::Ordered)]);
    assert_eq!(decision("s-3", &agreed, &[], &registry), OrderDecision::TooFewRemaining);
    // One that was said to be empty is gone by now, and one that never was a member counts for none.
    assert_eq!(
        decision("s-1", &held(&[("s-9", RetirementStage::Complete)]), &[], &registry),
        OrderDecision::Propose
    );
    assert_eq!(decision("s-9", &none, &[], &registry), OrderDecision::UnknownStore);
}

#[test]
fn a_repeated_order_is_never_rejected_even_when_the_store_is_gone() {
    let left = registry(&FOUR[1..3], true);
    for stage in [RetirementStage::Ordered, RetirementStage::Draining, RetirementStage::Complete] {
        assert_eq!(decision("s-1", &held(&[("s-1", stage)]), &[], &left), OrderDecision::AlreadyCommitted);
    }
}

#[test]
fn a_control_node_that_is_not_ready_rejects_no_order_for_good() {
    let young = registry(&FOUR[..2], false);
    assert_eq!(decision("s-9", &held(&[]), &[], &young), OrderDecision::NotNow);
    assert_eq!(decision("s-1", &held(&[]), &[], &young), OrderDecision::NotNow);
}

#[test]
fn a_retirement_is_complete_when_state_and_store_both_say_so() {
    let complete = held(&[("s-1", RetirementStage::Complete)]);
    let rolling = held(&[("s-1", RetirementStage::Draining)]);
    let says = |retiring| registry(&[("s-1", retiring)], true);
    let gone = registry(&[], true);
    let of = |state, registry: &Registry| progress("s-1", Some(state), registry);
    assert_matches!(of(&complete, &gone), Some(RetirementProgress::Complete));
    assert_matches!(of(&complete, &says(RetirementState::Complete)), Some(RetirementProgress::Complete));
    // It is restarting: nobody has said that it is empty.
    assert_matches!(of(&rolling, &gone), Some(RetirementProgress::Draining));
    // It has said so to one node, and the value does not: whoever restarts would have forgotten it.
    assert_matches!(of(&rolling, &says(RetirementState::Complete)), Some(RetirementProgress::Draining));
    // A new machine of the name.
    assert_matches!(of(&complete, &says(RetirementState::NotRetiring)), Some(RetirementProgress::Draining));
    assert_matches!(of(&held(&[]), &says(RetirementState::Complete)), None);
    assert_matches!(progress("s-1", None, &gone), None);
}

#[test]
fn a_store_with_a_session_here_is_notified_until_it_says_that_it_retires() {
    let agreed = held(&[
        ("s-1", RetirementStage::Ordered),
        ("s-2", RetirementStage::Draining),
        ("s-9", RetirementStage::Ordered),
    ]);
    let mut here = registry(&FOUR, true);
    let mut notices = RetirementNotices::default();
    let (first, second) = (node_id("s-1"), node_id("s-2"));
    // The second has lost its disk, or is another machine of its name.
    assert_eq!(notices.due(3000, &agreed, &here), [first, second]);
    assert!(notices.due(3499, &agreed, &here).is_empty());
    assert_eq!(notices.due(3500, &agreed, &here), [first, second]);
    here.record_poll(3600, store("s-1", RetirementState::Draining), 0, 0);
    here.session_disconnected(3600, second);
    assert!(notices.due(9000, &agreed, &here).is_empty());
    here.record_poll(9100, store("s-2", RetirementState::NotRetiring), 0, 0);
    assert_eq!(notices.due(9100, &agreed, &here), [second]);
}

/// The largest there is, with as many retirements as are remembered, of the longest names that are read.
fn largest() -> ControlState {
    let name = |i: usize| format!("{i:0>255}");
    let retirement = |i| Retirement { node: i as u32, name: name(i), stage: RetirementStage::Complete };
    let body = (0..LARGEST_CONFIGURATION).map(|i| i as u8).collect();
    ControlState { serial: 70, version: 7, body, retirements: (0..MAX_RETIREMENTS).map(retirement).collect() }
}

#[test]
fn the_largest_state_fits_into_one_record_and_survives_a_snapshot() {
    let record = encode(&Record::ControlState(largest()));
    assert!(record.len() <= MAX_RECORD_BYTES);
    let mut records = DiskRecords::default();
    records.apply(&record);
    assert_eq!(records.0.state, Some(largest()));
    // A checkpoint holds the same.
    let mut restored = DiskRecords::default();
    records.snapshot(&mut |record| restored.apply(record));
    assert_eq!(restored.0, records.0);
}

#[test]
fn a_record_of_an_older_build_is_read() {
    #[derive(serde::Serialize)]
    enum Older {
        #[allow(dead_code)]
        Watch,
        ControlState {
            version: u64,
            body: Vec<u8>,
        },
    }
    let older = postcard::to_stdvec(&Older::ControlState { version: 7, body: b"seven".to_vec() }).unwrap();
    let mut records = DiskRecords::default();
    records.apply(&older);
    let read = ControlState { serial: 7, version: 7, body: b"seven".to_vec(), retirements: Vec::new() };
    assert_eq!(records.0.state, Some(read));
}
