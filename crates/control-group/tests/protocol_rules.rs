//! Tests of single protocol rules that random schedules seldom exercise, on one node at a time.

use stileroute_control_group::{
    ControlGroup, ControlState, Effect, GroupSettings, Heartbeat, HeartbeatAck, Message, NodeId,
    PersistedState, Rank, Verdict, View,
};

const HEARTBEAT: Message = heartbeat(5, None);

const fn heartbeat(sent_at: u64, last_acked: Option<u64>) -> Message {
    Message::Heartbeat(Heartbeat {
        epoch: 4,
        sent_at,
        committed: Rank { version: 0, serial: 0 },
        committed_digest: 0,
        last_acked,
    })
}

fn voter(i: u8) -> NodeId {
    NodeId::new([10, 0, 0, i].into(), 9000)
}
fn view(epoch: u64, primary: u8, replicas: [u8; 2], membership_epoch: u64) -> View {
    let voters = (1..=3).map(voter).collect();
    View { epoch, primary: voter(primary), replicas: replicas.map(voter).to_vec(), voters, membership_epoch }
}
/// Starts node `me` at time 0 with this view and a control state on its disk.
fn started_node(me: u8, view: View) -> ControlGroup {
    let persisted = PersistedState {
        view: Some(view),
        state: Some(ControlState::default()),
        ..PersistedState::default()
    };
    ControlGroup::new(GroupSettings::new(voter(me), (1..=3).map(voter).collect(), false, 1, 1), persisted, 0)
}
fn sent(effects: &[Effect], to: u8) -> Vec<Message> {
    let message = |e: &Effect| match e {
        Effect::Send { to: t, message } if *t == voter(to) => Some(message.clone()),
        _ => None,
    };
    effects.iter().filter_map(message).collect()
}
/// Delivers a message, completes the node's disk writes, and returns the messages sent back to the sender.
fn deliver(node: &mut ControlGroup, now: u64, from: u8, message: Message) -> Vec<Message> {
    node.handle_message(now, voter(from), message);
    sent(&sync_disk(node, now), from)
}
fn propose(node: &mut ControlGroup, now: u64, view: &View, by_handover: bool) -> Vec<Message> {
    let proposed_view = Message::Propose { view: view.clone(), by_handover };
    deliver(node, now, view.primary.ip().octets()[3], proposed_view)
}
fn ack(epoch: u64, sent_at: u64) -> Message {
    Message::HeartbeatAck(HeartbeatAck { epoch, sent_at, is_voting: true, has_state: true })
}
/// Completes the node's disk writes and returns all its effects.
fn sync_disk(node: &mut ControlGroup, now: u64) -> Vec<Effect> {
    let mut all = node.take_effects();
    let mut done = 0;
    while let Some(effect) = all.get(done) {
        if let Effect::Persist { ticket, .. } = effect {
            node.persisted(now, *ticket, true);
            all.extend(node.take_effects());
        }
        done += 1;
    }
    all
}
fn last_stored_write(effects: &[Effect], to: u8) -> Option<(u64, u64)> {
    sent(effects, to).into_iter().rev().find_map(|s| match s {
        Message::Store { epoch, write_id, .. } => Some((epoch, write_id)),
        _ => None,
    })
}
/// Returns node 1, the primary of the first view, with node 2 as the other replica and a first write on both, at time 100.
fn settled_primary() -> ControlGroup {
    let settings = GroupSettings::new(voter(1), (1..=3).map(voter).collect(), true, 1, 1);
    let mut node = ControlGroup::new(settings, PersistedState::default(), 0);
    sync_disk(&mut node, 0);
    node.handle_message(0, voter(2), Message::Granted { view: view(1, 1, [1, 2], 1) });
    (2..=3).for_each(|from| node.handle_message(0, voter(from), ack(1, 0)));
    let (epoch, write_id) = last_stored_write(&sync_disk(&mut node, 0), 2).unwrap_or_default();
    node.handle_message(100, voter(2), Message::Stored { epoch, write_id });
    (2..=3).for_each(|from| node.handle_message(100, voter(from), ack(1, 100)));
    sync_disk(&mut node, 100);
    node
}

#[test]
fn a_grant_is_on_disk_before_it_is_sent() {
    let mut node = started_node(3, view(4, 1, [1, 2], 4));
    let proposed_view = view(5, 2, [1, 2], 4);
    let request = Message::Propose { view: proposed_view.clone(), by_handover: true };
    for (now, ticket) in [(10, 1), (20, 2)] {
        node.handle_message(now, voter(2), request.clone());
        node.handle_message(now + 1, voter(2), request.clone());
        assert!(sent(&node.take_effects(), 2).is_empty());
        // The disk refuses the first write of the view and accepts the second.
        node.persisted(now + 2, ticket, ticket == 2);
    }
    assert_eq!(sent(&node.take_effects(), 2), [Message::Granted { view: proposed_view }]);
}

#[test]
fn no_vote_right_after_a_start_nor_by_an_old_handover_nor_for_an_older_membership() {
    let mut node = started_node(3, view(4, 1, [1, 2], 4));
    let denied = [Message::Denied { view: view(4, 1, [1, 2], 4) }];
    assert_eq!(propose(&mut node, 850, &view(5, 2, [1, 2], 4), false), denied);
    assert_eq!(propose(&mut node, 850, &view(6, 2, [1, 2], 4), true), denied);
    assert_eq!(propose(&mut node, 950, &view(9, 2, [1, 2], 2), false), denied);
    let proposed_view = view(5, 2, [1, 2], 4);
    assert_eq!(propose(&mut node, 950, &proposed_view, false), [Message::Granted { view: proposed_view }]);
}

#[test]
fn learning_of_a_view_does_not_free_a_vote() {
    let mut node = started_node(3, view(4, 1, [1, 2], 4));
    assert_eq!(deliver(&mut node, 2000, 1, HEARTBEAT).len(), 1);
    let learned_view = view(5, 2, [1, 2], 4);
    deliver(&mut node, 2010, 1, Message::ViewReply { view: Some(learned_view.clone()) });
    let denied = [Message::Denied { view: learned_view.clone() }];
    assert_eq!(propose(&mut node, 2100, &learned_view, false), denied);
    assert_eq!(propose(&mut node, 2100, &view(6, 2, [1, 2], 4), false), denied);
    assert_eq!(propose(&mut node, 2950, &learned_view, false), [Message::Granted { view: learned_view }]);
}

#[test]
fn epoch_and_membership_are_adopted_independently() {
    let mut node = started_node(2, view(4, 1, [1, 2], 2));
    deliver(&mut node, 2000, 3, Message::Denied { view: view(4, 3, [2, 3], 4) });
    assert_eq!(node.view(), Some(&view(4, 1, [2, 3], 4)));
    deliver(&mut node, 2000, 3, Message::Denied { view: view(6, 3, [1, 3], 3) });
    assert_eq!(node.view(), Some(&view(6, 3, [2, 3], 4)));
}

#[test]
fn a_candidate_that_acknowledges_a_heartbeat_withdraws() {
    let mut node = started_node(2, view(4, 1, [1, 2], 4));
    node.tick(1500);
    assert!(!sent(&node.take_effects(), 3).is_empty());
    // Another candidate for the same epoch does not get the vote that this node has given itself.
    let other = view(5, 1, [1, 2], 4);
    deliver(&mut node, 1505, 3, Message::Denied { view: other.clone() });
    assert_eq!(propose(&mut node, 1505, &other, false), [Message::Denied { view: view(4, 1, [1, 2], 4) }]);
    deliver(&mut node, 1510, 1, HEARTBEAT);
    deliver(&mut node, 1520, 3, Message::Granted { view: view(5, 2, [1, 2], 4) });
    assert_eq!(node.view().map(|w| w.epoch), Some(4));
}

#[test]
fn a_voter_that_is_no_replica_sends_its_view_to_the_replicas_and_is_idle_once_it_may_exit() {
    let own_view = view(4, 1, [1, 2], 4);
    let mut node = started_node(3, own_view.clone());
    node.tick(1500);
    assert_eq!(sent(&node.take_effects(), 2), [Message::ViewReply { view: Some(own_view) }]);
    node.shut_down(1600);
    assert!(node.take_effects() == [Effect::ReadyToExit] && node.next_tick(5000) > 5500);
}

#[test]
fn a_view_request_gets_the_proposed_view_and_a_begun_write_is_answered_as_uncertain() {
    let mut node = settled_primary();
    node.replace_configuration(100, 7, 1, b"new".to_vec());
    sync_disk(&mut node, 105);
    node.peer_disconnected(110, voter(2));
    node.tick(120);
    let (epoch, write_id) = last_stored_write(&sync_disk(&mut node, 120), 3).unwrap_or_default();
    node.handle_message(130, voter(3), Message::Stored { epoch, write_id });
    sync_disk(&mut node, 130);
    let replies = deliver(&mut node, 140, 2, Message::ViewRequest);
    assert_eq!(replies, [Message::ViewReply { view: Some(view(2, 1, [1, 3], 2)) }]);
    node.handle_message(150, voter(3), Message::Denied { view: view(9, 2, [1, 2], 1) });
    assert!(node.take_effects().contains(&Effect::Answer { ticket: 7, verdict: Verdict::Uncertain }));
}

#[test]
fn a_replica_that_lost_its_disk_gets_the_state_again_and_a_lost_joining_node_is_abandoned() {
    let mut node = settled_primary();
    node.handle_message(
        110,
        voter(2),
        Message::HeartbeatAck(HeartbeatAck { epoch: 1, sent_at: 105, is_voting: true, has_state: false }),
    );
    assert!(last_stored_write(&sync_disk(&mut node, 110), 2).is_some());
    node.peer_disconnected(110, voter(2));
    node.tick(120);
    assert!(last_stored_write(&sync_disk(&mut node, 120), 3).is_some());
    node.peer_disconnected(130, voter(3));
    node.peer_connected(130, voter(2));
    node.replace_configuration(140, 7, 1, b"new".to_vec());
    assert!(last_stored_write(&sync_disk(&mut node, 140), 2).is_some());
}

/// Guards against taking the arrival of a heartbeat as proof of contact with a primary that holds the lease.
#[test]
fn heartbeats_that_are_delayed_or_without_a_lease_are_no_contact() {
    let mut node = started_node(3, view(4, 1, [1, 2], 4));
    deliver(&mut node, 1000, 1, heartbeat(50, None));
    assert!(!node.is_in_contact(1001), "no heartbeat shows that the primary holds the lease");
    deliver(&mut node, 1200, 1, heartbeat(250, Some(50)));
    assert!(
        node.is_in_contact(2799) && !node.is_in_contact(2801),
        "the heartbeat was sent after the acknowledgement at 1000"
    );
    assert_eq!(node.last_contact(1300), Some(1000));
    // The primary is partitioned together with this node, and continues without its lease.
    (1..10).for_each(|i| {
        deliver(&mut node, 1200 + i * 200, 1, heartbeat(250 + i * 200, None));
    });
    assert!(!node.is_in_contact(3001));
    // The node was frozen until now, so the delayed heartbeats confirm only old acknowledgements.
    (1..10).for_each(|i| {
        deliver(&mut node, 9000, 1, heartbeat(2050 + i * 200, Some(1850)));
    });
    assert!(!node.is_in_contact(9000));
    deliver(&mut node, 9200, 1, heartbeat(9000, Some(3850)));
    assert!(node.is_in_contact(9200));
}

/// As docs/replace.md describes, a group that has lost most of its disks restarts its serials but not its versions.
#[test]
fn a_restarted_group_is_followed_only_with_a_higher_version() {
    let mut node = started_node(3, view(4, 1, [1, 2], 4));
    let state =
        |version, serial| ControlState { version, serial, body: b"any".to_vec(), ..ControlState::default() };
    let committed_after = |node: &mut ControlGroup, state: ControlState| {
        node.handle_message(10, voter(1), Message::StateReply { state });
        node.committed().map(|c| (c.version, c.serial))
    };
    assert_eq!(committed_after(&mut node, state(7, 12)), Some((7, 12)));
    assert_eq!(committed_after(&mut node, state(7, 1)), Some((7, 12)));
    assert_eq!(committed_after(&mut node, state(6, 13)), Some((7, 12)));
    let heartbeat = |node: &mut ControlGroup, state: &ControlState| {
        let (committed, committed_digest) = (state.rank(), state.digest());
        deliver(
            node,
            20,
            1,
            Message::Heartbeat(Heartbeat {
                epoch: 4,
                sent_at: 15,
                committed,
                committed_digest,
                last_acked: None,
            }),
        )
    };
    assert!(!heartbeat(&mut node, &state(7, 1)).contains(&Message::StateRequest));
    assert!(heartbeat(&mut node, &state(9, 2)).contains(&Message::StateRequest));
    assert_eq!(committed_after(&mut node, state(9, 2)), Some((9, 2)));
}

/// Voter 3 of the voters 1, 2 and 3 is silent and node 4 has joined, so the primary asks 1 and 2 to continue without 3. Without
/// `revert_stuck_voter_change` it would repeat that proposal for ever.
#[test]
fn a_change_of_voters_that_is_not_granted_is_reverted() {
    let mut node = settled_primary();
    node.replace_configuration(100, 7, 1, b"new".to_vec());
    let (epoch, write_id) = last_stored_write(&sync_disk(&mut node, 100), 2).unwrap_or_default();
    node.handle_message(110, voter(2), Message::Stored { epoch, write_id });
    node.peer_connected(120, voter(4));
    node.add_learner(voter(4));
    [2, 4].into_iter().for_each(|from| node.handle_message(2000, voter(from), ack(1, 1990)));
    let proposed = |effects: &[Effect], to| {
        sent(effects, to).into_iter().rev().find_map(|s| match s {
            Message::Propose { view, .. } => Some((view.epoch, view.voters)),
            _ => None,
        })
    };
    let two = vec![voter(1), voter(2)];
    assert_eq!(proposed(&sync_disk(&mut node, 2000), 2), Some((2, two.clone())));
    node.tick(3010);
    let three = (1..=3).map(voter).collect();
    assert_eq!(proposed(&sync_disk(&mut node, 3010), 3), Some((3, three)));
    // Node 2 had granted the reverted view and reports it. That view is an older one of this node's own proposals.
    let older = View { voters: two, ..view(2, 1, [1, 2], 2) };
    node.handle_message(3020, voter(2), Message::ViewReply { view: Some(older) });
    node.handle_message(3030, voter(3), Message::Granted { view: view(3, 1, [1, 2], 3) });
    assert_eq!(node.view(), Some(&view(3, 1, [1, 2], 3)));
}

/// With nodes 2 and 3 silent no change of voters is proposed, because the voters that would have to grant it are absent.
#[test]
fn no_change_of_voters_is_proposed_without_a_majority_present() {
    let mut node = settled_primary();
    node.replace_configuration(100, 7, 1, b"new".to_vec());
    let (epoch, write_id) = last_stored_write(&sync_disk(&mut node, 100), 2).unwrap_or_default();
    node.handle_message(110, voter(2), Message::Stored { epoch, write_id });
    node.peer_connected(120, voter(4));
    node.add_learner(voter(4));
    node.peer_disconnected(120, voter(3));
    (2..=4).for_each(|from| node.handle_message(200, voter(from), ack(1, 190)));
    sync_disk(&mut node, 200);
    node.peer_disconnected(650, voter(2));
    node.handle_message(850, voter(4), ack(1, 840));
    node.tick(860);
    let effects = sync_disk(&mut node, 860);
    assert!(!sent(&effects, 2).iter().any(|s| matches!(s, Message::Propose { .. })));
}
