//! Tests that a deregistered executor stays offline. They guard against a heartbeat that was in flight when the
//! executor deregistered and that brings it back online, on whichever control node it arrives.

mod support;

use stileroute_registry::*;
use support::member;

fn control_node(node: NodeId) -> Registry {
    let mut registry = Registry::new(member(node, NodeRole::Control), u64::from(node), 1200, 0);
    registry.peer_connected(0, member(node + 1, NodeRole::Control));
    registry.tick(3000, GroupContact::NOW, None);
    registry.take_effects();
    registry
}

fn heartbeat(sequence: u64) -> Heartbeat {
    support::heartbeat("e", 80, sequence, ExecutorState::Serving)
}

fn is_serving(registry: &Registry) -> bool {
    registry.executors().any(|executor| executor.heartbeat.state == ExecutorState::Serving)
}

/// Returns the heartbeats that a control node sends to the others when it is ticked at `now`.
fn broadcasts(registry: &mut Registry, now: Millis) -> Vec<Heartbeat> {
    registry.tick(now, GroupContact::NOW, None);
    let effects = registry.take_effects().into_iter();
    let heartbeats = effects.filter_map(|effect| match effect {
        RegistryEffect::SendHeartbeats { heartbeats, .. } => Some(heartbeats),
        _ => None,
    });
    heartbeats.flatten().collect()
}

#[test]
fn a_late_heartbeat_does_not_bring_back_a_deregistered_executor() {
    let mut registry = control_node(1);
    registry.record_heartbeat(3000, heartbeat(4));
    assert!(is_serving(&registry));
    registry.deregister_executor(3100, "e");
    for sequence in [4, 5, 6, 999_999] {
        registry.record_heartbeat(3200, heartbeat(sequence));
        assert!(!is_serving(&registry), "heartbeat {sequence}");
    }
}

#[test]
fn a_late_heartbeat_at_another_control_node_does_not_bring_back_a_deregistered_executor() {
    let (mut first, mut second) = (control_node(1), control_node(2));
    first.record_heartbeat(3000, heartbeat(4));
    second.merge_peer_heartbeats(3001, broadcasts(&mut first, 3001));
    first.deregister_executor(3100, "e");
    second.merge_peer_heartbeats(3102, broadcasts(&mut first, 3101));
    assert!(!is_serving(&second));
    second.record_heartbeat(4500, heartbeat(5));
    first.merge_peer_heartbeats(4502, broadcasts(&mut second, 4501));
    assert!(!is_serving(&first) && !is_serving(&second));
}

/// All control nodes were restarted, and the first thing that one of them learns about the executor is its
/// deregistration.
#[test]
fn deregistration_of_an_unknown_executor_is_remembered_by_all_control_nodes() {
    let (mut first, mut second) = (control_node(1), control_node(2));
    first.deregister_executor(3100, "e");
    second.merge_peer_heartbeats(3102, broadcasts(&mut first, 3101));
    second.record_heartbeat(3500, heartbeat(9));
    first.record_heartbeat(3500, heartbeat(9));
    assert!(!is_serving(&first) && !is_serving(&second));
}

#[test]
fn an_executor_that_timed_out_is_online_again_with_its_next_heartbeat() {
    let mut registry = control_node(1);
    registry.record_heartbeat(3000, heartbeat(4));
    registry.tick(9000, GroupContact::NOW, None);
    registry.tick(15_000, GroupContact::NOW, None);
    assert!(!is_serving(&registry));
    registry.record_heartbeat(15_100, heartbeat(5));
    assert!(is_serving(&registry));
}

/// A departure that is acknowledged has to be sent on by each control node that learns of it, and only by those: the node
/// that took the call may be cut off before it has reached all others.
#[test]
fn a_departure_is_news_once_and_known_from_then_on() {
    let (mut first, mut second) = (control_node(1), control_node(2));
    first.record_heartbeat(3000, heartbeat(4));
    second.merge_peer_heartbeats(3001, broadcasts(&mut first, 3001));
    assert_eq!((first.departure(3050, "e"), second.departure(3050, "unknown")), (None, None));
    first.record_heartbeat(3100, support::heartbeat("e", 80, 5, ExecutorState::Draining));
    for (at, state) in [(3200, ExecutorState::Draining), (3300, ExecutorState::Offline)] {
        if state == ExecutorState::Offline {
            first.deregister_executor(at, "e");
        }
        let departure = first.departure(at, "e").unwrap();
        assert_eq!(departure.state, state);
        assert!(second.merge_departure(at, departure.clone()));
        assert!(!second.merge_departure(at, departure), "news once only");
        assert_eq!(second.departure(at, "e").map(|heartbeat| heartbeat.state), Some(state));
    }
}

/// Guards against a departure that a control node confirms although it goes on listing the executor.
#[test]
fn a_departure_older_than_what_is_known_changes_nothing() {
    let mut registry = control_node(1);
    registry.record_heartbeat(3000, heartbeat(9));
    let late = support::heartbeat("e", 80, 5, ExecutorState::Draining);
    assert!(!registry.merge_departure(3100, late));
    assert_eq!(registry.departure(3100, "e"), None);
}
