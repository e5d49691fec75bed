use super::*;

const CLIENT: Origin = Origin::Client(9);

fn begin(name: &str) -> ForwardedCall {
    ForwardedCall::BeginRetirement { node: name.to_string() }
}

/// A table with one client call, which was forwarded to control node 2.
fn forwarded() -> (PendingCalls, u64) {
    let mut calls = PendingCalls::new(100);
    let call_id = calls.insert(0, CLIENT);
    calls.set_content(call_id, ForwardedCall::ReadConfig);
    assert_eq!(calls.forward(call_id, 2), Some(ForwardedCall::ReadConfig));
    (calls, call_id)
}

#[test]
fn only_the_node_that_a_call_was_forwarded_to_answers_it_and_only_once() {
    let (mut calls, call_id) = forwarded();
    assert!(calls.is_forwarded_to(call_id, 2));
    assert!(!calls.is_forwarded_to(call_id, 3), "the call was not forwarded to this node");
    assert!(!calls.is_forwarded_to(call_id + 1, 2), "no such call");
    assert_eq!(calls.remove(call_id), Some(CLIENT));
    // The answer arrives again, late: its call id must not match any later call.
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
    let from_control_node = calls.insert(0, Origin::ControlNode { node: 5, request_id: 1 });
    calls.set_content(from_control_node, ForwardedCall::ReadConfig);
    assert_eq!(calls.forward(from_control_node, 3), None, "another node has already forwarded the call");
    assert_eq!(calls.kind(from_control_node), Some(ForwardedCallKind::ReadConfig));
}

#[test]
fn calls_forwarded_to_a_lost_node_are_returned_and_those_it_forwarded_are_dropped() {
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
    assert_eq!(calls.len(), 1, "the call forwarded to another node");
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
