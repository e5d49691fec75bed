//! Two control nodes and those that ask them, with a clock of the test's own.

use assert_matches::assert_matches;
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_registry::*;

fn member(node: NodeId, role: NodeRole) -> Member {
    let control =
        (role == NodeRole::Control).then(|| SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9000 + node as u16));
    let ip = Ipv4Addr::LOCALHOST;
    Member {
        node,
        name: format!("n{node}"),
        role,
        zone: "z".into(),
        ip,
        incarnation: 1,
        control_address: control,
        config_version: 0,
        retirement: RetirementState::NotRetiring,
    }
}

fn heartbeat(id: &str, port: u16, count: u64, state: ExecutorState) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        backend: "s".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        zone: "z".into(),
        capacity: 4,
        state,
        warmup_left_ms: 3000,
        sequence: count,
        age_ms: 0,
    }
}

/// A control node that knows enough to tell, at 3 s.
fn ready() -> Registry {
    let mut registry = Registry::new(member(1, NodeRole::Control), 77, 1200, 0);
    registry.tick(3000, true, None);
    registry.take_effects();
    registry
}

fn news(effects: Vec<RegistryEffect>, node: NodeId) -> Option<MembershipUpdate> {
    effects.into_iter().find_map(|e| match e {
        RegistryEffect::SendUpdate { to, update } if to == node => Some(update),
        _ => None,
    })
}

/// Asks as a node does that has `had`, and gives what it is told by `until`.
fn ask(
    registry: &mut Registry,
    now: Millis,
    node: Member,
    had: Option<&MembershipUpdate>,
    until: Millis,
) -> Option<MembershipUpdate> {
    let id = node.node;
    let (incarnation, version) = had.map_or((0, 0), |n| (n.incarnation, n.version));
    registry.record_poll(now, node, incarnation, version);
    registry.tick(now, true, None);
    let mut told = news(registry.take_effects(), id);
    if told.is_none() {
        registry.tick(until, true, None);
        told = news(registry.take_effects(), id);
    }
    told
}

fn ids(news: &MembershipUpdate) -> Vec<(String, ExecutorState)> {
    let mut all: Vec<_> = news.executors.iter().map(|b| (b.id.clone(), b.state)).collect();
    all.sort_by(|a, b| a.0.cmp(&b.0));
    all
}

#[test]
fn calls_are_merged_by_their_count() {
    use ExecutorState::*;
    // (what comes, one after the other) -> what a store that knows nothing is told
    type Case<'a> = (&'a [Heartbeat], &'a [(&'a str, ExecutorState)]);
    let cases: [Case; 6] = [
        (&[heartbeat("a", 1, 1, Serving)], &[("a", Serving)]),
        (&[heartbeat("a", 1, 2, Draining), heartbeat("a", 1, 1, Serving)], &[("a", Draining)]),
        (&[heartbeat("a", 1, 1, Serving), heartbeat("a", 1, 1, Offline), heartbeat("a", 1, 1, Serving)], &[]),
        (&[heartbeat("a", 1, 1, Offline), heartbeat("a", 1, 2, Serving)], &[("a", Serving)]),
        // Another life at the address ends the one before.
        (&[heartbeat("a", 1, 9, Serving), heartbeat("b", 1, 1, Serving)], &[("b", Serving)]),
        (&[heartbeat("a", 1, 9, Serving), heartbeat("b", 2, 1, Serving)], &[("a", Serving), ("b", Serving)]),
    ];
    for (number, (heartbeats, want)) in cases.iter().enumerate() {
        let mut registry = ready();
        heartbeats.iter().for_each(|b| registry.record_heartbeat(3000, b.clone()));
        let told = ask(&mut registry, 3001, member(9, NodeRole::Store), None, 4000).expect("news");
        let want: Vec<(String, ExecutorState)> = want.iter().map(|(id, s)| (id.to_string(), *s)).collect();
        assert_eq!(ids(&told), want, "case {number}");
    }
}

#[test]
fn a_change_is_told_at_once_and_only_what_is_newer() {
    let mut registry = ready();
    registry.record_heartbeat(3000, heartbeat("a", 1, 1, ExecutorState::Serving));
    let first = ask(&mut registry, 3001, member(9, NodeRole::Store), None, 3001).expect("all at once");
    assert!(first.is_complete && first.members.is_some());
    // Nothing new: held, then answered with nothing.
    let none = ask(&mut registry, 3010, member(9, NodeRole::Store), Some(&first), 3010 + LONG_POLL_TIMEOUT)
        .expect("after a while");
    assert!(none.executors.is_empty() && none.members.is_none() && !none.is_complete);
    registry.record_poll(4000, member(9, NodeRole::Store), none.incarnation, none.version);
    registry.tick(4001, true, None);
    assert_matches!(news(registry.take_effects(), 9), None);
    registry.record_heartbeat(4002, heartbeat("a", 1, 2, ExecutorState::Draining));
    registry.tick(4002, true, None);
    let effects = registry.take_effects();
    assert!(effects.iter().any(
        |e| matches!(e, RegistryEffect::BroadcastHeartbeats(all) if all[0].state == ExecutorState::Draining)
    ));
    assert_eq!(ids(&news(effects, 9).expect("at once")), [("a".to_string(), ExecutorState::Draining)]);
    // An edge is told of no executors.
    let edge = ask(&mut registry, 4100, member(8, NodeRole::Edge), None, 5000).expect("news");
    assert!(edge.executors.is_empty());
}

#[test]
fn a_control_node_that_has_just_begun_tells_no_shorter_list() {
    let mut registry = Registry::new(member(1, NodeRole::Control), 78, 1200, 0);
    registry.record_heartbeat(10, heartbeat("a", 1, 5, ExecutorState::Serving));
    let had = MembershipUpdate { incarnation: 77, version: 40, ..MembershipUpdate::default() };
    let told = ask(&mut registry, 20, member(9, NodeRole::Store), Some(&had), 20 + LONG_POLL_TIMEOUT)
        .expect("after a while");
    assert_eq!((told.incarnation, told.version, told.is_complete, told.members), (77, 40, false, None));
    // One that knows nobody takes what there is.
    let told = ask(&mut registry, 1000, member(8, NodeRole::Store), None, 1000).expect("at once");
    assert!(told.is_complete && told.executors.len() == 1);
    // With the table of another control node, or after an interval of heartbeats, it is whole.
    registry.merge_peer_heartbeats(
        1001,
        vec![heartbeat("a", 1, 5, ExecutorState::Serving), heartbeat("b", 2, 5, ExecutorState::Serving)],
    );
    registry.tick(1400, true, None);
    registry.take_effects();
    let told = ask(&mut registry, 1401, member(9, NodeRole::Store), Some(&had), 1401).expect("at once");
    assert!(told.is_complete && told.executors.len() == 2);
}

#[test]
fn silence_ends_an_executor_but_not_where_this_node_is_the_one_that_is_cut_off() {
    for (in_touch, want) in [(true, 0), (false, 1)] {
        let mut registry = ready();
        registry.record_heartbeat(3000, heartbeat("a", 1, 1, ExecutorState::Serving));
        for now in (3000..9000).step_by(100) {
            registry.tick(now, in_touch, None);
        }
        let serving = registry.executors().filter(|k| k.heartbeat.state == ExecutorState::Serving).count();
        assert_eq!(serving, want, "in touch: {in_touch}");
    }
}

#[test]
fn one_that_hears_no_primary_says_so_and_tells_nothing_old() {
    let mut registry = ready();
    let first = ask(&mut registry, 3001, member(9, NodeRole::Edge), None, 3001).expect("news");
    registry.record_poll(3100, member(9, NodeRole::Edge), first.incarnation, first.version);
    registry.tick(3100 + PARTITIONED_POLL_TIMEOUT, false, None);
    assert!(news(registry.take_effects(), 9).expect("soon").is_partitioned);
    // A configuration that the node lacks is told all the same: it is in force, however old.
    registry.record_poll(4000, member(9, NodeRole::Edge), first.incarnation, first.version);
    registry.tick(4000 + PARTITIONED_POLL_TIMEOUT, false, Some(CommittedConfig { version: 3, body: b"{}" }));
    let told = news(registry.take_effects(), 9).expect("soon");
    assert!(!told.is_partitioned && told.config.is_some());
}

#[test]
fn a_store_is_a_member_while_a_session_stands_anywhere_and_a_little_longer() {
    let (mut here, mut there) = (ready(), ready());
    let stores = |r: &Registry| r.members().iter().filter(|m| m.role == NodeRole::Store).count();
    here.record_poll(3000, member(9, NodeRole::Store), 0, 0);
    here.tick(3000, true, None);
    let sessions = here.take_effects().into_iter().find_map(|e| match e {
        RegistryEffect::BroadcastSessions(all) => Some(all),
        _ => None,
    });
    there.record_peer_sessions(3001, 1, sessions.expect("told at once"));
    there.tick(3001, true, None);
    assert_eq!((stores(&here), stores(&there)), (1, 1));
    here.session_disconnected(3100, 9);
    here.tick(3100 + SESSION_GRACE - 100, true, None);
    assert_eq!(stores(&here), 1);
    here.tick(3100 + SESSION_GRACE + 300, true, None);
    // Told as soon as it counts no more; and with no word of the node that told it, it counts as long as that is heard.
    let told = here
        .take_effects()
        .into_iter()
        .any(|e| matches!(e, RegistryEffect::BroadcastSessions(all) if all.is_empty()));
    assert!(told);
    there.peer_heard(1, 4000);
    there.tick(4000 + SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL - 1, true, None);
    assert_eq!((stores(&here), stores(&there)), (0, 1));
    there.tick(4000 + SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL + 300, true, None);
    assert_eq!(stores(&there), 0);
    // Back within the time nobody is told of anything.
    here.record_poll(6000, member(9, NodeRole::Store), 0, 0);
    here.tick(6000, true, None);
    let before = here.take_effects().len();
    here.session_disconnected(6100, 9);
    here.record_poll(6500, member(9, NodeRole::Store), 77, u64::MAX);
    here.tick(6500, true, None);
    assert!(before > 0 && stores(&here) == 1);
}

#[test]
fn a_store_that_is_to_be_emptied_counts_as_one_that_goes_whoever_tells_of_it() {
    let mut registry = ready();
    let store = |node, retirement| Member { retirement, ..member(node, NodeRole::Store) };
    for node in [7, 8, 9] {
        registry.record_poll(3000, store(node, RetirementState::NotRetiring), 0, 0);
    }
    registry.tick(3000, true, None);
    assert_eq!(registry.stores_remaining_without(|node| node == 7).count(), 2);
    // Ordered, and not yet confirmed: who asks names it with the one that is to go.
    assert_eq!(registry.stores_remaining_without(|node| [7, 8].contains(&node)).count(), 1);
    // It has its session here, and another control node tells of the one that it had before.
    registry.record_poll(6100, store(8, RetirementState::Draining), 0, 0);
    registry.record_peer_sessions(
        6101,
        2,
        vec![store(8, RetirementState::NotRetiring), store(9, RetirementState::NotRetiring)],
    );
    registry.tick(6101, true, None);
    assert_eq!(registry.store_named("n8").map(|m| m.retirement), Some(RetirementState::Draining));
    assert_eq!(registry.stores_remaining_without(|node| node == 7).count(), 1);
    registry.record_poll(6200, store(8, RetirementState::Complete), 0, 0);
    registry.record_peer_sessions(6201, 2, vec![store(8, RetirementState::Draining)]);
    registry.tick(6201, true, None);
    assert_eq!(registry.store_named("n8").map(|m| m.retirement), Some(RetirementState::Complete));
}

#[test]
fn what_is_told_does_not_grow_with_the_square_of_the_fleet() {
    // Sessions that come one a millisecond: each list told holds all, so they are told of together.
    let mut registry = ready();
    let (mut lists, mut entries) = (0, 0);
    let mut count = |registry: &mut Registry, now: Millis| {
        registry.tick(now, true, None);
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
    // With nothing new they are told again only now and then, and what was asked is answered when its time is over.
    for now in (4000..9000).step_by(10) {
        for node in 0..20 {
            registry.record_poll(now, member(10 + node, NodeRole::Edge), 77, u64::MAX);
        }
        count(&mut registry, now);
    }
    assert!(lists <= 12 && entries <= 7000, "{lists} lists, {entries} entries");
}

#[test]
fn a_thousand_executors_that_call_at_once_are_not_compared_with_each_other() {
    let mut registry = ready();
    let all = (0..1000).map(|n| heartbeat(&format!("old-{n}"), n, 5, ExecutorState::Serving)).collect();
    registry.merge_peer_heartbeats(3000, all);
    // A new life at each address ends the one that was there, and no other.
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
    // One that moves to an address ends nobody there, and whoever begins there after it ends it.
    registry.record_heartbeat(3200, heartbeat("old-900", 4000, 6, ExecutorState::Serving));
    registry.record_heartbeat(3300, heartbeat("third", 4000, 1, ExecutorState::Serving));
    assert_eq!(serving(&registry), 1000);
}

#[test]
fn what_another_control_node_told_holds_as_long_as_it_is_connected() {
    let mut registry = ready();
    let stores = |r: &Registry| r.members().iter().filter(|m| m.role == NodeRole::Store).count();
    registry.peer_connected(3000, member(2, NodeRole::Control));
    registry.record_peer_sessions(3000, 2, vec![member(8, NodeRole::Store)]);
    registry.tick(3000, true, None);
    // This node has slept: nothing was heard, but the connection stands.
    registry.tick(9000, true, None);
    assert_eq!(stores(&registry), 1);
    registry.peer_heard(2, 9000);
    registry.peer_disconnected(2);
    registry.tick(10_900, true, None);
    assert_eq!(stores(&registry), 1);
    registry.tick(11_300, true, None);
    assert_eq!(stores(&registry), 0);
}
