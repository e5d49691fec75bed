//! Tests of one or two control nodes and of the nodes that poll them, on a simulated clock.

mod support;

use assert_matches::assert_matches;
use stileroute_registry::*;
use support::{heartbeat, member};

/// Creates a control node that is ready: at 3 s its executor table is complete.
fn ready_registry() -> Registry {
    let mut registry = Registry::new(member(1, NodeRole::Control), 77, 1200, 0);
    registry.tick(3000, GroupContact::NOW, None);
    registry.take_effects();
    registry
}

fn update_to(effects: Vec<RegistryEffect>, node: NodeId) -> Option<MembershipUpdate> {
    effects.into_iter().find_map(|effect| match effect {
        RegistryEffect::SendUpdate { to, update } if to == node => Some(update),
        _ => None,
    })
}

/// Polls as a node whose last update was `last`, and returns the update that answers the poll at `now` or at
/// `until`.
fn poll(
    registry: &mut Registry,
    now: Millis,
    node: Member,
    last: Option<&MembershipUpdate>,
    until: Millis,
) -> Option<MembershipUpdate> {
    let id = node.node;
    let (incarnation, version) = last.map_or((0, 0), |update| (update.incarnation, update.version));
    registry.record_poll(now, node, incarnation, version);
    registry.tick(now, GroupContact::NOW, None);
    let mut update = update_to(registry.take_effects(), id);
    if update.is_none() {
        registry.tick(until, GroupContact::NOW, None);
        update = update_to(registry.take_effects(), id);
    }
    update
}

fn executor_states(update: &MembershipUpdate) -> Vec<(String, ExecutorState)> {
    let mut states: Vec<_> =
        update.executors.iter().map(|heartbeat| (heartbeat.id.clone(), heartbeat.state)).collect();
    states.sort_by(|a, b| a.0.cmp(&b.0));
    states
}

#[test]
fn heartbeats_are_merged_by_their_sequence_number() {
    use ExecutorState::*;
    // Each case: the heartbeats in the order of their arrival, and the executors that a store without any list
    // is then sent.
    type Case<'a> = (&'a [Heartbeat], &'a [(&'a str, ExecutorState)]);
    let cases: [Case; 6] = [
        (&[heartbeat("a", 1, 1, Serving)], &[("a", Serving)]),
        (&[heartbeat("a", 1, 2, Draining), heartbeat("a", 1, 1, Serving)], &[("a", Draining)]),
        (&[heartbeat("a", 1, 1, Serving), heartbeat("a", 1, 1, Offline), heartbeat("a", 1, 1, Serving)], &[]),
        (&[heartbeat("a", 1, 1, Offline), heartbeat("a", 1, 2, Serving)], &[("a", Serving)]),
        // Another executor at the same address sets the previous one offline.
        (&[heartbeat("a", 1, 9, Serving), heartbeat("b", 1, 1, Serving)], &[("b", Serving)]),
        (&[heartbeat("a", 1, 9, Serving), heartbeat("b", 2, 1, Serving)], &[("a", Serving), ("b", Serving)]),
    ];
    for (number, (heartbeats, expected)) in cases.iter().enumerate() {
        let mut registry = ready_registry();
        heartbeats.iter().for_each(|heartbeat| registry.record_heartbeat(3000, heartbeat.clone()));
        let update = poll(&mut registry, 3001, member(9, NodeRole::Store), None, 4000).expect("an update");
        let expected: Vec<(String, ExecutorState)> =
            expected.iter().map(|(id, state)| (id.to_string(), *state)).collect();
        assert_eq!(executor_states(&update), expected, "case {number}");
    }
}

#[test]
fn a_poll_is_answered_at_once_with_only_newer_changes() {
    let mut registry = ready_registry();
    registry.record_heartbeat(3000, heartbeat("a", 1, 1, ExecutorState::Serving));
    let first =
        poll(&mut registry, 3001, member(9, NodeRole::Store), None, 3001).expect("a complete update at once");
    assert!(first.is_complete && first.members.is_some());
    // If nothing is new, the poll is answered at its time-out, with an empty update.
    let unchanged =
        poll(&mut registry, 3010, member(9, NodeRole::Store), Some(&first), 3010 + LONG_POLL_TIMEOUT)
            .expect("an update when the poll times out");
    assert!(unchanged.executors.is_empty() && unchanged.members.is_none() && !unchanged.is_complete);
    registry.record_poll(4000, member(9, NodeRole::Store), unchanged.incarnation, unchanged.version);
    registry.tick(4001, GroupContact::NOW, None);
    assert_matches!(update_to(registry.take_effects(), 9), None);
    registry.peer_connected(4001, member(2, NodeRole::Control));
    registry.record_heartbeat(4002, heartbeat("a", 1, 2, ExecutorState::Draining));
    registry.tick(4002, GroupContact::NOW, None);
    let effects = registry.take_effects();
    assert!(effects.iter().any(
        |e| matches!(e, RegistryEffect::SendHeartbeats { heartbeats, .. } if heartbeats[0].state == ExecutorState::Draining)
    ));
    assert_eq!(
        executor_states(&update_to(effects, 9).expect("an update at once")),
        [("a".to_string(), ExecutorState::Draining)]
    );
    // An edge node is sent no executors.
    let edge = poll(&mut registry, 4100, member(8, NodeRole::Edge), None, 5000).expect("an update");
    assert!(edge.executors.is_empty());
}

#[test]
fn a_restarted_control_node_sends_no_incomplete_list_to_a_node_that_has_one() {
    let mut registry = Registry::new(member(1, NodeRole::Control), 78, 1200, 0);
    registry.record_heartbeat(10, heartbeat("a", 1, 5, ExecutorState::Serving));
    let last = MembershipUpdate { incarnation: 77, version: 40, ..MembershipUpdate::default() };
    let update = poll(&mut registry, 20, member(9, NodeRole::Store), Some(&last), 20 + LONG_POLL_TIMEOUT)
        .expect("an update when the poll times out");
    assert_eq!(
        (update.incarnation, update.version, update.is_complete, update.members),
        (77, 40, false, None)
    );
    // A node without any list is sent one that may be incomplete.
    let update =
        poll(&mut registry, 1000, member(8, NodeRole::Store), None, 1000).expect("an update at once");
    assert!(update.is_complete && update.executors.len() == 1);
    // The executor table is complete after the table of another control node has arrived, or after one
    // heartbeat interval.
    registry.merge_peer_heartbeats(
        1001,
        vec![heartbeat("a", 1, 5, ExecutorState::Serving), heartbeat("b", 2, 5, ExecutorState::Serving)],
    );
    registry.tick(1400, GroupContact::NOW, None);
    registry.take_effects();
    let update =
        poll(&mut registry, 1401, member(9, NodeRole::Store), Some(&last), 1401).expect("an update at once");
    assert!(update.is_complete && update.executors.len() == 2);
}

#[test]
fn an_executor_without_heartbeats_goes_offline_unless_the_control_node_is_partitioned() {
    for (contact, expected) in [(GroupContact::NOW, 0), (GroupContact::Lost, 1)] {
        let mut registry = ready_registry();
        registry.record_heartbeat(3000, heartbeat("a", 1, 1, ExecutorState::Serving));
        for now in (3000..9000).step_by(100) {
            registry.tick(now, contact, None);
        }
        let serving =
            registry.executors().filter(|record| record.heartbeat.state == ExecutorState::Serving).count();
        assert_eq!(serving, expected, "{contact:?}");
    }
}

#[test]
fn an_update_carries_the_age_of_contact_with_the_other_control_nodes() {
    let mut registry = ready_registry();
    let first = poll(&mut registry, 3001, member(9, NodeRole::Store), None, 3001).expect("an update");
    assert_eq!(first.contact_age_ms, 0);
    registry.record_poll(3100, member(9, NodeRole::Store), first.incarnation, first.version);
    registry.tick(3100 + LONG_POLL_TIMEOUT, GroupContact::Held { age: 1300 }, None);
    assert_eq!(
        update_to(registry.take_effects(), 9).expect("an update when the poll times out").contact_age_ms,
        1300
    );
}

#[test]
fn only_stores_are_notified_at_once_of_renewed_contact() {
    let mut registry = ready_registry();
    let nodes = [(8, NodeRole::Edge), (9, NodeRole::Store)];
    nodes.iter().for_each(|(node, role)| registry.record_poll(3001, member(*node, *role), 0, 0));
    // By 3500 ms the store is in the member list.
    registry.tick(3500, GroupContact::NOW, None);
    registry.take_effects();
    for (node, role) in nodes {
        let first = poll(&mut registry, 3500, member(node, role), None, 3500).expect("an update");
        registry.record_poll(3600, member(node, role), first.incarnation, first.version);
    }
    let mut receivers = |now, age| {
        registry.tick(now, GroupContact::Held { age }, None);
        let updates = registry.take_effects().into_iter().filter_map(|effect| match effect {
            RegistryEffect::SendUpdate { to, update } => Some((to, update.contact_age_ms)),
            _ => None,
        });
        updates.collect::<Vec<_>>()
    };
    assert_eq!(receivers(3700, 1000), []);
    assert_eq!(receivers(3800, 200), [(9, 200)]);
    assert_eq!(receivers(3900, 300), []);
}

#[test]
fn a_partitioned_control_node_reports_it_and_sends_no_stale_list() {
    let mut registry = ready_registry();
    let first = poll(&mut registry, 3001, member(9, NodeRole::Edge), None, 3001).expect("an update");
    registry.record_poll(3100, member(9, NodeRole::Edge), first.incarnation, first.version);
    registry.tick(3100 + PARTITIONED_POLL_TIMEOUT, GroupContact::Lost, None);
    assert!(update_to(registry.take_effects(), 9).expect("an update at the shorter time-out").is_partitioned);
    // A configuration that the node lacks is sent even without contact, because it stays committed, however
    // long ago that was.
    registry.record_poll(4000, member(9, NodeRole::Edge), first.incarnation, first.version);
    registry.tick(
        4000 + PARTITIONED_POLL_TIMEOUT,
        GroupContact::Lost,
        Some(CommittedConfig { version: 3, body: b"{}" }),
    );
    let update = update_to(registry.take_effects(), 9).expect("an update at the shorter time-out");
    assert!(!update.is_partitioned && update.config.is_some());
}

#[test]
fn a_store_is_a_member_while_it_has_a_session_anywhere_and_for_the_grace_period() {
    let (mut here, mut there) = (ready_registry(), ready_registry());
    let stores = |r: &Registry| r.members().iter().filter(|member| member.role == NodeRole::Store).count();
    here.record_poll(3000, member(9, NodeRole::Store), 0, 0);
    here.tick(3000, GroupContact::NOW, None);
    let sessions = here.take_effects().into_iter().find_map(|effect| match effect {
        RegistryEffect::BroadcastSessions(sessions) => Some(sessions),
        _ => None,
    });
    there.record_peer_sessions(3001, 1, sessions.expect("a broadcast of the sessions at once"));
    there.tick(3001, GroupContact::NOW, None);
    assert_eq!((stores(&here), stores(&there)), (1, 1));
    here.session_disconnected(3100, 9);
    here.tick(3100 + SESSION_GRACE - 100, GroupContact::NOW, None);
    assert_eq!(stores(&here), 1);
    here.tick(3100 + SESSION_GRACE + 300, GroupContact::NOW, None);
    // The end of a session is broadcast as soon as the session no longer counts. A control node that gets no
    // broadcast counts the session for as long as it hears the control node that reported it.
    let was_broadcast = here
        .take_effects()
        .into_iter()
        .any(|e| matches!(e, RegistryEffect::BroadcastSessions(sessions) if sessions.is_empty()));
    assert!(was_broadcast);
    there.peer_heard(1, 4000);
    there.tick(4000 + SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL - 1, GroupContact::NOW, None);
    assert_eq!((stores(&here), stores(&there)), (0, 1));
    there.tick(4000 + SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL + 300, GroupContact::NOW, None);
    assert_eq!(stores(&there), 0);
    // A reconnect within the grace period does not change the member list.
    here.record_poll(6000, member(9, NodeRole::Store), 0, 0);
    here.tick(6000, GroupContact::NOW, None);
    let effect_count = here.take_effects().len();
    here.session_disconnected(6100, 9);
    here.record_poll(6500, member(9, NodeRole::Store), 77, u64::MAX);
    here.tick(6500, GroupContact::NOW, None);
    assert!(effect_count > 0 && stores(&here) == 1);
}

#[test]
fn a_retiring_store_counts_as_leaving_whichever_control_node_reports_it() {
    let mut registry = ready_registry();
    let store = |node, retirement| Member { retirement, ..member(node, NodeRole::Store) };
    for node in [7, 8, 9] {
        registry.record_poll(3000, store(node, RetirementState::NotRetiring), 0, 0);
    }
    registry.tick(3000, GroupContact::NOW, None);
    assert_eq!(registry.stores_remaining_without(|node| node == 7).count(), 2);
    // The retirement of one store is ordered, but the store has not confirmed it yet. So the caller names that store
    // beside the one that is to leave.
    assert_eq!(registry.stores_remaining_without(|node| [7, 8].contains(&node)).count(), 1);
    // Store 8 has its session here, while another control node still reports the session that the store had
    // there before.
    registry.record_poll(6100, store(8, RetirementState::Draining), 0, 0);
    registry.record_peer_sessions(
        6101,
        2,
        vec![store(8, RetirementState::NotRetiring), store(9, RetirementState::NotRetiring)],
    );
    registry.tick(6101, GroupContact::NOW, None);
    assert_eq!(registry.store_named("n8").map(|member| member.retirement), Some(RetirementState::Draining));
    assert_eq!(registry.stores_remaining_without(|node| node == 7).count(), 1);
    registry.record_poll(6200, store(8, RetirementState::Complete), 0, 0);
    registry.record_peer_sessions(6201, 2, vec![store(8, RetirementState::Draining)]);
    registry.tick(6201, GroupContact::NOW, None);
    assert_eq!(registry.store_named("n8").map(|member| member.retirement), Some(RetirementState::Complete));
}

#[test]
fn broadcasts_do_not_grow_with_the_square_of_the_fleet() {
    // One node starts a session in each millisecond. Each broadcast holds all sessions, so one broadcast has to
    // report several new ones.
    let mut registry = ready_registry();
    let (mut list_count, mut entry_count) = (0, 0);
    let mut tick_and_count = |registry: &mut Registry, now: Millis| {
        registry.tick(now, GroupContact::NOW, None);
        for effect in registry.take_effects() {
            if let RegistryEffect::BroadcastSessions(sessions) = effect {
                (list_count, entry_count) = (list_count + 1, entry_count + sessions.len());
            }
        }
    };
    for node in 0..1000 {
        registry.record_poll(3000 + u64::from(node), member(10 + node, NodeRole::Edge), 0, 0);
        tick_and_count(&mut registry, 3000 + u64::from(node));
    }
    // While nothing changes, the sessions are broadcast rarely, and polls are answered only at their time-out.
    for now in (4000..9000).step_by(10) {
        for node in 0..20 {
            registry.record_poll(now, member(10 + node, NodeRole::Edge), 77, u64::MAX);
        }
        tick_and_count(&mut registry, now);
    }
    assert!(list_count <= 5 && entry_count <= 4000, "{list_count} broadcasts with {entry_count} sessions");
}

/// Guards against a member list for each change: all stores of a large fleet reconnect within half a second,
/// and every node polls again as soon as it is answered.
#[test]
fn simultaneous_reconnects_of_stores_send_each_node_few_member_lists() {
    let mut registry = ready_registry();
    let (mut list_count, mut entry_count) = (0, 0);
    let mut last_change = 0;
    for now in 3000..4000 {
        if now < 3500 && now % 8 == 0 {
            registry.record_poll(now, member(1000 + (now / 8) as NodeId, NodeRole::Store), 0, 0);
        }
        for node in 0..20 {
            registry.record_poll(now, member(10 + node, NodeRole::Edge), 77, last_change);
        }
        registry.tick(now, GroupContact::NOW, None);
        for effect in registry.take_effects() {
            let RegistryEffect::SendUpdate { to: 10, update } = effect else { continue };
            last_change = update.version;
            if let Some(members) = update.members {
                (list_count, entry_count) = (list_count + 1, entry_count + members.len());
            }
        }
    }
    let stores = registry.members().iter().filter(|member| member.role == NodeRole::Store).count();
    assert_eq!(stores, 63);
    assert!(list_count <= 14, "{list_count} member lists with {entry_count} members");
}

#[test]
fn a_thousand_simultaneous_heartbeats_are_not_compared_with_each_other() {
    let mut registry = ready_registry();
    let heartbeats =
        (0..1000).map(|n| heartbeat(&format!("old-{n}"), n, 5, ExecutorState::Serving)).collect();
    registry.merge_peer_heartbeats(3000, heartbeats);
    // A new executor at each address sets the previous executor at that address offline, and no other.
    for n in 0..500 {
        registry.record_heartbeat(3100, heartbeat(&format!("new-{n}"), n, 1, ExecutorState::Serving));
    }
    let serving =
        |r: &Registry| r.executors().filter(|entry| entry.heartbeat.state == ExecutorState::Serving).count();
    assert_eq!(serving(&registry), 1000);
    assert!(registry
        .executors()
        .filter(|record| record.heartbeat.state == ExecutorState::Offline)
        .all(|record| record.heartbeat.id.starts_with("old-")));
    // An executor that moves to an address sets none offline there; an executor that starts there later sets it
    // offline.
    registry.record_heartbeat(3200, heartbeat("old-900", 4000, 6, ExecutorState::Serving));
    registry.record_heartbeat(3300, heartbeat("third", 4000, 1, ExecutorState::Serving));
    assert_eq!(serving(&registry), 1000);
}

#[test]
fn sessions_reported_by_a_peer_stay_valid_while_it_is_connected() {
    let mut registry = ready_registry();
    let stores = |r: &Registry| r.members().iter().filter(|member| member.role == NodeRole::Store).count();
    registry.peer_connected(3000, member(2, NodeRole::Control));
    registry.record_peer_sessions(3000, 2, vec![member(8, NodeRole::Store)]);
    registry.tick(3000, GroupContact::NOW, None);
    // This process was suspended, so it heard nothing from its peer for 6 s, but the connection still exists.
    registry.tick(9000, GroupContact::NOW, None);
    assert_eq!(stores(&registry), 1);
    registry.peer_heard(2, 9000);
    registry.peer_disconnected(9000, 2);
    registry.tick(10_900, GroupContact::NOW, None);
    assert_eq!(stores(&registry), 1);
    registry.tick(11_300, GroupContact::NOW, None);
    assert_eq!(stores(&registry), 0);
}
