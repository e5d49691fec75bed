//! Calls in hand and retirements, without I/O.

use super::disk_records::{bytes, Ledger};
use super::pending_calls::{InHand, Origin};
use super::retirement::{judge, standing, Judgement, Told};
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
fn passed() -> (InHand, u64) {
    let mut in_hand = InHand::new(100);
    let place = in_hand.open(0, CLIENT);
    in_hand.keep(place, ForwardedCall::ReadConfig);
    assert_eq!(in_hand.pass(place, 2), Some(ForwardedCall::ReadConfig));
    (in_hand, place)
}

#[test]
fn only_the_node_that_was_asked_settles_a_call_and_only_once() {
    let (mut in_hand, place) = passed();
    assert!(in_hand.waits_for(place, 2));
    assert!(!in_hand.waits_for(place, 3), "it was not asked");
    assert!(!in_hand.waits_for(place + 1, 2), "no such call");
    assert_eq!(in_hand.close(place), Some(CLIENT));
    // It comes again, late: the place is nobody else's by now.
    let next = in_hand.open(1, Origin::Client(10));
    assert!(!in_hand.waits_for(place, 2) && !in_hand.waits_for(next, 2));
    assert_eq!((in_hand.close(place), in_hand.close(next)), (None, Some(Origin::Client(10))));
}

#[test]
fn a_call_that_this_node_settles_itself_takes_no_answer_from_others() {
    let mut in_hand = InHand::new(100);
    let place = in_hand.open(0, CLIENT);
    in_hand.keep(place, ForwardedCall::ReadConfig);
    assert!(!in_hand.waits_for(place, 2));
}

#[test]
fn a_call_goes_on_once() {
    let (mut in_hand, place) = passed();
    assert_eq!(in_hand.pass(place, 3), None);
    let from_core = in_hand.open(0, Origin::Core(5, 1));
    in_hand.keep(from_core, ForwardedCall::ReadConfig);
    assert_eq!(in_hand.pass(from_core, 3), None, "it was passed on already");
    assert_eq!(in_hand.kind(from_core), Some(ForwardedCallKind::ReadConfig));
}

#[test]
fn each_call_that_waits_for_a_lost_node_is_given_back_and_nothing_is_left_of_those_it_passed() {
    let (mut in_hand, place) = passed();
    let elsewhere = in_hand.open(0, CLIENT);
    in_hand.keep(elsewhere, ForwardedCall::ReadConfig);
    in_hand.pass(elsewhere, 3);
    let from_lost = in_hand.open(0, Origin::Core(2, 1));
    in_hand.keep(from_lost, begin("s-1"));
    in_hand.await_store(from_lost);
    assert_eq!(in_hand.lost(2), [(place, ForwardedCallKind::ReadConfig)]);
    assert_eq!(in_hand.close(from_lost), None);
    assert!(in_hand.awaiting_stores().is_empty());
    in_hand.close(place);
    assert_eq!(in_hand.len(), 1, "the one that another settles");
}

#[test]
fn a_call_that_was_passed_on_and_is_not_answered_is_given_up() {
    let (mut in_hand, place) = passed();
    let own = in_hand.open(0, CLIENT);
    in_hand.keep(own, ForwardedCall::ReadConfig);
    assert!(in_hand.overdue(4000).is_empty());
    assert_eq!(in_hand.overdue(4001), [(place, ForwardedCallKind::ReadConfig)]);
}

#[test]
fn answers_of_a_node_that_can_not_know_end_no_operators_call() {
    let kinds = [
        ForwardedCallKind::ReplaceConfig,
        ForwardedCallKind::ReadConfig,
        ForwardedCallKind::BeginRetirement,
        ForwardedCallKind::ReadRetirement,
    ];
    for kind in kinds {
        assert_eq!(kind.not_now().status, 503, "{kind:?}");
        assert!(kind.uncertain().status >= 500, "{kind:?}");
    }
    assert_eq!(ForwardedCallKind::ReplaceConfig.uncertain().status, 504);
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
fn judged(name: &str, held: &ControlState, soon: &[&str], registry: &Registry) -> Judgement {
    let soon: Vec<u32> = soon.iter().map(|name| node_id(name)).collect();
    judge(name, held, &soon, registry, |zones| zones.len() >= 2)
}

const FOUR: [(&str, RetirementState); 4] = [
    ("s-1", RetirementState::NotRetiring),
    ("s-2", RetirementState::NotRetiring),
    ("s-3", RetirementState::NotRetiring),
    ("s-4", RetirementState::NotRetiring),
];

#[test]
fn two_orders_at_one_moment_never_leave_too_few() {
    let registry = registry(&FOUR, true);
    let none = held(&[]);
    assert_eq!(judged("s-1", &none, &[], &registry), Judgement::Take);
    // The first is being written: two would stay, and then one.
    assert_eq!(judged("s-2", &none, &["s-1"], &registry), Judgement::Take);
    assert_eq!(
        judged("s-3", &none, &["s-1", "s-2"], &registry),
        Judgement::NotNow,
        "they may come to nothing"
    );
    // They are agreed on, and no store has said so yet.
    let agreed = held(&[("s-1", RetirementStage::Ordered), ("s-2", RetirementStage::Ordered)]);
    assert_eq!(judged("s-3", &agreed, &[], &registry), Judgement::TooFew);
    // One that was said to be empty is gone by now, and one that never was a member counts for none.
    assert_eq!(judged("s-1", &held(&[("s-9", RetirementStage::Complete)]), &[], &registry), Judgement::Take);
    assert_eq!(judged("s-9", &none, &[], &registry), Judgement::Unknown);
}

#[test]
fn an_order_sent_again_is_never_refused_also_when_the_machine_is_gone() {
    let left = registry(&FOUR[1..3], true);
    for stage in [RetirementStage::Ordered, RetirementStage::Draining, RetirementStage::Complete] {
        assert_eq!(judged("s-1", &held(&[("s-1", stage)]), &[], &left), Judgement::Known);
    }
}

#[test]
fn a_control_node_that_does_not_know_yet_who_is_there_refuses_nothing_for_good() {
    let young = registry(&FOUR[..2], false);
    assert_eq!(judged("s-9", &held(&[]), &[], &young), Judgement::NotNow);
    assert_eq!(judged("s-1", &held(&[]), &[], &young), Judgement::NotNow);
}

#[test]
fn complete_is_what_the_store_has_said_and_no_other_machine_of_its_name_contradicts() {
    let complete = held(&[("s-1", RetirementStage::Complete)]);
    let rolling = held(&[("s-1", RetirementStage::Draining)]);
    let says = |retiring| registry(&[("s-1", retiring)], true);
    let gone = registry(&[], true);
    let of = |state, registry: &Registry| standing("s-1", Some(state), registry);
    assert_matches!(of(&complete, &gone), Some(RetirementProgress::Complete));
    assert_matches!(of(&complete, &says(RetirementState::Complete)), Some(RetirementProgress::Complete));
    // It is restarting: nobody has said that it is empty.
    assert_matches!(of(&rolling, &gone), Some(RetirementProgress::Draining));
    // It has said so to one node, and the value does not: whoever restarts would have forgotten it.
    assert_matches!(of(&rolling, &says(RetirementState::Complete)), Some(RetirementProgress::Draining));
    // A new machine of the name.
    assert_matches!(of(&complete, &says(RetirementState::NotRetiring)), Some(RetirementProgress::Draining));
    assert_matches!(of(&held(&[]), &says(RetirementState::Complete)), None);
    assert_matches!(standing("s-1", None, &gone), None);
}

#[test]
fn a_store_is_told_where_its_session_is_until_it_says_that_it_retires() {
    let agreed = held(&[
        ("s-1", RetirementStage::Ordered),
        ("s-2", RetirementStage::Draining),
        ("s-9", RetirementStage::Ordered),
    ]);
    let mut here = registry(&FOUR, true);
    let mut told = Told::default();
    let (first, second) = (node_id("s-1"), node_id("s-2"));
    // The second has lost its disk, or is another machine of its name.
    assert_eq!(told.due(3000, &agreed, &here), [first, second]);
    assert!(told.due(3499, &agreed, &here).is_empty());
    assert_eq!(told.due(3500, &agreed, &here), [first, second]);
    here.record_poll(3600, store("s-1", RetirementState::Draining), 0, 0);
    here.session_disconnected(3600, second);
    assert!(told.due(9000, &agreed, &here).is_empty());
    here.record_poll(9100, store("s-2", RetirementState::NotRetiring), 0, 0);
    assert_eq!(told.due(9100, &agreed, &here), [second]);
}

/// The largest there is, with as many retirements as are remembered, of the longest names that are read.
fn largest() -> ControlState {
    let name = |i: usize| format!("{i:0>255}");
    let retirement = |i| Retirement { node: i as u32, name: name(i), stage: RetirementStage::Complete };
    let body = (0..LARGEST_CONFIGURATION).map(|i| i as u8).collect();
    ControlState { serial: 70, version: 7, body, retirements: (0..MAX_RETIREMENTS).map(retirement).collect() }
}

#[test]
fn the_largest_value_that_is_taken_is_also_taken_by_the_disk() {
    let record = bytes(&Record::ControlState(largest()));
    assert!(record.len() <= MAX_RECORD_BYTES);
    let mut ledger = Ledger::default();
    ledger.apply(&record);
    assert_eq!(ledger.0.state, Some(largest()));
    // A checkpoint holds the same.
    let mut again = Ledger::default();
    ledger.snapshot(&mut |record| again.apply(record));
    assert_eq!(again.0, ledger.0);
}

#[test]
fn an_older_builds_record_is_read() {
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
    let mut ledger = Ledger::default();
    ledger.apply(&older);
    let read = ControlState { serial: 7, version: 7, body: b"seven".to_vec(), retirements: Vec::new() };
    assert_eq!(ledger.0.state, Some(read));
}
