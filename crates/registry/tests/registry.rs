//! One or two control nodes and the nodes that poll them, on a simulated clock.

mod support;

use assert_matches::assert_matches;
use stileroute_registry::*;
use support::{heartbeat, member};

/// A control node whose table of executors is complete, at 3 s.
fn ready() -> Registry {
    let mut registry = Registry::new(member(1, NodeRole::Control), 77, 1200, 0);
    registry.tick(3000, GroupContact::NOW, None);
    registry.take_effects();
    registry
}

fn update_to(effects: Vec<RegistryEffect>, node: NodeId) -> Option<MembershipUpdate> {
    effects.into_iter().find_map(|e| match e {
        RegistryEffect::SendUpdate { to, update } if to == node => Some(update),
        _ => None,
    })
}

/// Polls as a node does whose last update was `last`, and returns the answer that it gets by `until`.
fn poll(
    registry: &mut Registry,
    now: Millis,
    node: Member,
    last: Option<&MembershipUpdate>,
    until: Millis,
) -> Option<MembershipUpdate> {
    let id = node.node;
    let (incarnation, version) = last.map_or((0, 0), |n| (n.incarnation, n.version));
    registry.record_poll(now, node, incarnation, version);
    registry.tick(now, GroupContact::NOW, None);
    let mut update = update_to(registry.take_effects(), id);
    if update.is_none() {
        registry.tick(until, GroupContact::NOW, None);
        update = update_to(registry.take_effects(), id);
    }
    update
}

fn ids(update: &MembershipUpdate) -> Vec<(String, ExecutorState)> {
    let mut all: Vec<_> =
        update.executors.iter().map(|heartbeat| (heartbeat.id.clone(), heartbeat.state)).collect();
    all.sort_by(|a, b| a.0.cmp(&b.0));
    all
}

#[test]
fn heartbeats_are_merged_by_their_sequence_number() {
    use ExecutorState::*;
    // (heartbeats in the order of their arrival) -> the list for a store that has none
    type Case<'a> = (&'a [Heartbeat], &'a [(&'a str, ExecutorState)]);
    let cases: [Case; 6] = [
        (&[heartbeat("a", 1, 1, Serving)], &[("a", Serving)]),
        (&[heartbeat("a", 1, 2, Draining), heartbeat("a", 1, 1, Serving)], &[("a", Draining)]),
        (&[heartbeat("a", 1, 1, Serving), heartbeat("a", 1, 1, Offline), heartbeat("a", 1, 1, Serving)], &[]),
        (&[heartbeat("a", 1, 1, Offline), heartbeat("a", 1, 2, Serving)], &[("a", Serving)]),
        // Another executor at the address ends the one before.
        (&[heartbeat("a", 1, 9, Serving), heartbeat("b", 1, 1, Serving)], &[("b", Serving)]),
        (&[heartbeat("a", 1, 9, Serving), heartbeat("b", 2, 1, Serving)], &[("a", Serving), ("b", Serving)]),
    ];
    for (number, (heartbeats, want)) in cases.iter().enumerate() {
        let mut registry = ready();
        heartbeats.iter().for_each(|b| registry.record_heartbeat(3000, b.clone()));
        let update = poll(&mut registry, 3001, member(9, NodeRole::Store), None, 4000).expect("an update");
        let want: Vec<(String, ExecutorState)> = want.iter().map(|(id, s)| (id.to_string(), *s)).collect();
        assert_eq!(ids(&update), want, "case {number}");
    }
}

#[test]
fn a_change_is_sent_at_once_and_only_what_is_newer() {
    let mut registry = ready();
    registry.record_heartbeat(3000, heartbeat("a", 1, 1, ExecutorState::Serving));
    let first = poll(&mut registry, 3001, member(9, NodeRole::Store), None, 3001).expect("all at once");
    assert!(first.is_complete && first.members.is_some());
    // Nothing new: the poll waits for its time-out and is answered with an empty update.
    let none = poll(&mut registry, 3010, member(9, NodeRole::Store), Some(&first), 3010 + LONG_POLL_TIMEOUT)
        .expect("after a while");
    assert!(none.executors.is_empty() && none.members.is_none() && !none.is_complete);
    registry.record_poll(4000, member(9, NodeRole::Store), none.incarnation, none.version);
    registry.tick(4001, GroupContact::NOW, None);
    assert_matches!(update_to(registry.take_effects(), 9), None);
    registry.peer_connected(4001, member(2, NodeRole::Control));
    registry.record_heartbeat(4002, heartbeat("a", 1, 2, ExecutorState::Draining));
    registry.tick(4002, GroupContact::NOW, None);
    let effects = registry.take_effects();
    assert!(effects.iter().any(
        |e| matches!(e, RegistryEffect::SendHeartbeats { heartbeats, .. } if heartbeats[0].state == ExecutorState::Draining)
    ));
    assert_eq!(ids(&update_to(effects, 9).expect("at once")), [("a".to_string(), ExecutorState::Draining)]);
    // An edge is sent no executors.
    let edge = poll(&mut registry, 4100, member(8, NodeRole::Edge), None, 5000).expect("an update");
    assert!(edge.executors.is_empty());
}

#[test]
fn a_control_node_that_has_just_started_sends_no_shorter_list() {
    let mut registry = Registry::new(member(1, NodeRole::Control), 78, 1200, 0);
    registry.record_heartbeat(10, heartbeat("a", 1, 5, ExecutorState::Serving));
    let last = MembershipUpdate { incarnation: 77, version: 40, ..MembershipUpdate::default() };
    let update = poll(&mut registry, 20, member(9, NodeRole::Store), Some(&last), 20 + LONG_POLL_TIMEOUT)
        .expect("after a while");
    assert_eq!(
        (update.incarnation, update.version, update.is_complete, update.members),
        (77, 40, false, None)
    );
    // A node without a list takes an incomplete one.
    let update = poll(&mut registry, 1000, member(8, NodeRole::Store), None, 1000).expect("at once");
    assert!(update.is_complete && update.executors.len() == 1);
    // With the table of another control node, or after an interval of heartbeats, it is complete.
    registry.merge_peer_heartbeats(
        1001,
        vec![heartbeat("a", 1, 5, ExecutorState::Serving), heartbeat("b", 2, 5, ExecutorState::Serving)],
    );
    registry.tick(1400, GroupContact::NOW, None);
    registry.take_effects();
    let update = poll(&mut registry, 1401, member(9, NodeRole::Store), Some(&last), 1401).expect("at once");
    assert!(update.is_complete && update.executors.len() == 2);
}

#[test]
fn a_silent_executor_goes_offline_unless_this_node_is_partitioned() {
    for (contact, want) in [(GroupContact::NOW, 0), (GroupContact::Lost, 1)] {
        let mut registry = ready();
        registry.record_heartbeat(3000, heartbeat("a", 1, 1, ExecutorState::Serving));
        for now in (3000..9000).step_by(100) {
            registry.tick(now, contact, None);
        }
        let serving = registry.executors().filter(|k| k.heartbeat.state == ExecutorState::Serving).count();
        assert_eq!(serving, want, "{contact:?}");
    }
}

#[test]
fn an_update_says_how_old_the_contact_with_the_other_control_nodes_is() {
    let mut registry = ready();
    let first = poll(&mut registry, 3001, member(9, NodeRole::Store), None, 3001).expect("an update");
    assert_eq!(first.contact_age_ms, 0);
    registry.record_poll(3100, member(9, NodeRole::Store), first.incarnation, first.version);
    registry.tick(3100 + LONG_POLL_TIMEOUT, GroupContact::Held { age: 1300 }, None);
    assert_eq!(update_to(registry.take_effects(), 9).expect("when the poll times out").contact_age_ms, 1300);
}

#[test]
fn a_store_is_told_at_once_of_contact_that_is_there_again_and_no_other_node() {
    let mut registry = ready();
    let nodes = [(8, NodeRole::Edge), (9, NodeRole::Store)];
    nodes.iter().for_each(|(node, role)| registry.record_poll(3001, member(*node, *role), 0, 0));
    // The store is listed by then.
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
fn a_partitioned_control_node_says_so_and_sends_nothing_stale() {
    let mut registry = ready();
    let first = poll(&mut registry, 3001, member(9, NodeRole::Edge), None, 3001).expect("an update");
    registry.record_poll(3100, member(9, NodeRole::Edge), first.incarnation, first.version);
    registry.tick(3100 + PARTITIONED_POLL_TIMEOUT, GroupContact::Lost, None);
    assert!(update_to(registry.take_effects(), 9).expect("soon").is_partitioned);
    // A configuration that the node lacks is sent all the same: it was committed, however long ago.
    registry.record_poll(4000, member(9, NodeRole::Edge), first.incarnation, first.version);
    registry.tick(
        4000 + PARTITIONED_POLL_TIMEOUT,
        GroupContact::Lost,
        Some(CommittedConfig { version: 3, body: b"{}" }),
    );
    let update = update_to(registry.take_effects(), 9).expect("soon");
    assert!(!update.is_partitioned && update.config.is_some());
}

#[test]
fn a_store_is_a_member_while_it_has_a_session_anywhere_and_for_the_grace_period() {
    let (mut here, mut there) = (ready(), ready());
    let stores = |r: &Registry| r.members().iter().filter(|m| m.role == NodeRole::Store).count();
    here.record_poll(3000, member(9, NodeRole::Store), 0, 0);
    here.tick(3000, GroupContact::NOW, None);
    let sessions = here.take_effects().into_iter().find_map(|e| match e {
        RegistryEffect::BroadcastSessions(all) => Some(all),
        _ => None,
    });
    there.record_peer_sessions(3001, 1, sessions.expect("broadcast at once"));
    there.tick(3001, GroupContact::NOW, None);
    assert_eq!((stores(&here), stores(&there)), (1, 1));
    here.session_disconnected(3100, 9);
    here.tick(3100 + SESSION_GRACE - 100, GroupContact::NOW, None);
    assert_eq!(stores(&here), 1);
    here.tick(3100 + SESSION_GRACE + 300, GroupContact::NOW, None);
    // Broadcast as soon as it no longer counts. Where no broadcast arrives, it counts as long as its control node is heard.
    let update = here
        .take_effects()
        .into_iter()
        .any(|e| matches!(e, RegistryEffect::BroadcastSessions(all) if all.is_empty()));
    assert!(update);
    there.peer_heard(1, 4000);
    there.tick(4000 + SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL - 1, GroupContact::NOW, None);
    assert_eq!((stores(&here), stores(&there)), (0, 1));
    there.tick(4000 + SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL + 300, GroupContact::NOW, None);
    assert_eq!(stores(&there), 0);
    // A reconnect within the grace period changes no list.
    here.record_poll(6000, member(9, NodeRole::Store), 0, 0);
    here.tick(6000, GroupContact::NOW, None);
    let before = here.take_effects().len();
    here.session_disconnected(6100, 9);
    here.record_poll(6500, member(9, NodeRole::Store), 77, u64::MAX);
    here.tick(6500, GroupContact::NOW, None);
    assert!(before > 0 && stores(&here) == 1);
}

#[test]
fn a_retiring_store_counts_as_leaving_whoever_reports_it() {
    let mut registry = ready();
    let store = |node, retirement| Member { retirement, ..member(node, NodeRole::Store) };
    for node in [7, 8, 9] {
        registry.record_poll(3000, store(node, RetirementState::NotRetiring), 0, 0);
    }
    registry.tick(3000, GroupContact::NOW, None);
    assert_eq!(registry.stores_remaining_without(|node| node == 7).count(), 2);
    // Ordered, and not yet confirmed: the caller names it beside the one that is to leave.
    assert_eq!(registry.stores_remaining_without(|node| [7, 8].contains(&node)).count(), 1);
    // It has its session here, and another control node reports the session that it had before.
    registry.record_poll(6100, store(8, RetirementState::Draining), 0, 0);
    registry.record_peer_sessions(
        6101,
        2,
        vec![store(8, RetirementState::NotRetiring), store(9, RetirementState::NotRetiring)],
    );
    registry.tick(6101, GroupContact::NOW, None);
    assert_eq!(registry.store_named("n8").map(|m| m.retirement), Some(RetirementState::Draining));
    assert_eq!(registry.stores_remaining_without(|node| node == 7).count(), 1);
    registry.record_poll(6200, store(8, RetirementState::Complete), 0, 0);
    registry.record_peer_sessions(6201, 2, vec![store(8, RetirementState::Draining)]);
    registry.tick(6201, GroupContact::NOW, None);
    assert_eq!(registry.store_named("n8").map(|m| m.retirement), Some(RetirementState::Complete));
}

#[test]
fn broadcasts_do_not_grow_with_the_square_of_the_fleet() {
    // One new session per millisecond: each broadcast holds all sessions, so several are reported together.
    let mut registry = ready();
    let (mut lists, mut entries) = (0, 0);
    let mut count = |registry: &mut Registry, now: Millis| {
        registry.tick(now, GroupContact::NOW, None);
        for effect in registry.take_effects() {
            if let RegistryEffect::BroadcastSessions(all) = effect {
                (lists, entries) = (lists + 1, entries + all.len());
            }
        }
    };
    for node in 0..1000 {
        registry.record_poll(3000 + u64::from(node), member(10 + node, NodeRole::Edge), 0, 0);
        count(&mut registry, 3000 + u64::from(node));
    }
    // With nothing new the sessions are broadcast rarely, and polls are answered as they time out.
    for now in (4000..9000).step_by(10) {
        for node in 0..20 {
            registry.record_poll(now, member(10 + node, NodeRole::Edge), 77, u64::MAX);
        }
        count(&mut registry, now);
    }
    assert!(lists <= 5 && entries <= 4000, "{lists} lists, {entries} entries");
}

/// All stores of a large fleet are back within half a second, and every node polls again as soon as it is answered.
#[test]
fn a_storm_of_stores_sends_each_node_few_lists() {
    let mut registry = ready();
    let (mut lists, mut entries) = (0, 0);
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
                (lists, entries) = (lists + 1, entries + members.len());
            }
        }
    }
    let stores = registry.members().iter().filter(|member| member.role == NodeRole::Store).count();
    assert_eq!(stores, 63);
    assert!(lists <= 14, "{lists} lists with {entries} entries");
}

#[test]
fn a_thousand_simultaneous_heartbeats_are_not_compared_with_each_other() {
    let mut registry = ready();
    let all = (0..1000).map(|n| heartbeat(&format!("old-{n}"), n, 5, ExecutorState::Serving)).collect();
    registry.merge_peer_heartbeats(3000, all);
    // A new executor at each address ends the one that was there, and no other.
    for n in 0..500 {
        registry.record_heartbeat(3100, heartbeat(&format!("new-{n}"), n, 1, ExecutorState::Serving));
    }
    let serving =
        |r: &Registry| r.executors().filter(|k| k.heartbeat.state == ExecutorState::Serving).count();
    assert_eq!(serving(&registry), 1000);
    assert!(registry
        .executors()
        .filter(|k| k.heartbeat.state == ExecutorState::Offline)
        .all(|k| k.heartbeat.id.starts_with("old-")));
    // One that moves to an address ends nobody there; an executor that starts there later ends it.
    registry.record_heartbeat(3200, heartbeat("old-900", 4000, 6, ExecutorState::Serving));
    registry.record_heartbeat(3300, heartbeat("third", 4000, 1, ExecutorState::Serving));
    assert_eq!(serving(&registry), 1000);
}

#[test]
fn the_sessions_that_a_peer_reported_hold_while_it_is_connected() {
    let mut registry = ready();
    let stores = |r: &Registry| r.members().iter().filter(|m| m.role == NodeRole::Store).count();
    registry.peer_connected(3000, member(2, NodeRole::Control));
    registry.record_peer_sessions(3000, 2, vec![member(8, NodeRole::Store)]);
    registry.tick(3000, GroupContact::NOW, None);
    // This process was suspended: nothing was heard, but the connection still exists.
    registry.tick(9000, GroupContact::NOW, None);
    assert_eq!(stores(&registry), 1);
    registry.peer_heard(2, 9000);
    registry.peer_disconnected(9000, 2);
    registry.tick(10_900, GroupContact::NOW, None);
    assert_eq!(stores(&registry), 1);
    registry.tick(11_300, GroupContact::NOW, None);
    assert_eq!(stores(&registry), 0);
}
