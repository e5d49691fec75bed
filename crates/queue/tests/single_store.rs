//! A single store that gets the messages which other stores and executors would send, for situations that a simulated
//! workload seldom produces.

mod simulation;
mod support;

use assert_matches::assert_matches;
use simulation::config;
use std::collections::HashMap;
use stileroute_queue::*;
use support::*;

/// In its first turn after a freeze a store has read what the control nodes sent before they gave it up, but does not
/// know yet that the other stores have given it up. They have run the messages that fell due meanwhile: in a proof
/// run 15 to 19 messages ran twice.
#[test]
fn after_a_long_freeze_nothing_starts_before_the_others_have_reconciled() {
    let mut one = SingleStore::ready(StateTable::default());
    let (_, effects) = one.put_and_confirm(Message { delay_ms: 1000, ..message("plain") });
    assert!(attempts(&effects).is_empty());
    one.now += 5500;
    assert!(attempts(&one.pass(0)).is_empty());
    for other in [B, C] {
        one.queue.peer_disconnected(one.now, other);
    }
    assert!(attempts(&one.pass(500)).is_empty(), "the others may return and say what they ran");
    for other in [B, C] {
        one.queue.peer_connected(one.now, other);
    }
    assert!(attempts(&one.pass(100)).is_empty());
    let mut all = one.receive(B, PeerMessage::Reconciled);
    all.extend(one.receive(C, PeerMessage::Reconciled));
    all.extend(one.pass(50));
    assert!(attempts(&all).is_empty(), "all stores are asked once more and have 100 ms to object");
    for other in [B, C] {
        assert!(was_sent(&all, other, |n| matches!(n, PeerMessage::OwnershipChanged(_))));
    }
    assert_eq!(attempts(&one.pass(100)).len(), 1);
}

/// Another store holds a replica of a message that this store owned and no longer knows. If the message was lost with
/// an earlier disk, the other store takes it over; if it is from this disk and was never completely persisted, it is
/// dropped. When the two were distinguished by wall-clock time, lost messages were dropped if the clock had been set
/// back or both disks were started in the same second: in one bench run, 58 messages that had been answered 202.
#[test]
fn replicas_of_what_a_lost_disk_held_are_not_dropped() {
    let firsts: Vec<u64> = (1..=4).map(|lot| first_number(lot << 37)).collect();
    let mut table = StateTable::default();
    // Two incarnations began with this disk, in any order of their number ranges, and two others with the lost disk.
    for first in [firsts[1], firsts[3]] {
        table.apply_record(Record::IncarnationStarted { disk_id: 7, first_number: first });
    }
    let mut one = SingleStore::ready(table);
    let summary =
        |number| EntrySummary { key: Key { origin: ME, number }, owner: ME, term: 0, has_ended: false };
    let live: Vec<EntrySummary> = firsts.iter().map(|first| summary(first + 5)).collect();
    let keys: Vec<Key> = live.iter().map(|s| s.key).collect();
    let effects = one.receive(
        B,
        PeerMessage::RangeContents { disk_id: 9, reply_wanted: false, ranges: Vec::new(), entries: live },
    );
    assert!(was_sent(
        &effects,
        B,
        |n| matches!(n, PeerMessage::LostWithDisk(all) if *all == [keys[0], keys[2]])
    ));
    assert!(was_sent(&effects, B, |n| matches!(n, PeerMessage::Drop(all) if *all == [keys[1], keys[3]])));
    // A new disk forgets the incarnations of the previous one, and only a limited number is remembered per disk.
    let mut table = StateTable::default();
    table.apply_record(Record::IncarnationStarted { disk_id: 7, first_number: firsts[0] });
    (0..100)
        .for_each(|_| table.apply_record(Record::IncarnationStarted { disk_id: 8, first_number: firsts[1] }));
    assert_eq!(
        (
            table.disk_id,
            table.incarnation_first_numbers.len(),
            table.incarnation_first_numbers.contains(&firsts[0])
        ),
        (Some(8), 64, false)
    );
}

/// Zones 0 and 1 are in region 0, zone 2 is in region 1; this store is in zone 0. If all replicas were in one
/// zone or region whose loss is to be tolerated, that loss would take messages that were answered 202.
#[test]
fn replicas_are_placed_so_that_tolerated_losses_leave_one() {
    const SAME_ZONE: Node = 11;
    const OTHER_ZONE: Node = 12;
    const OTHER_REGION: Node = 13;
    const SAME_ZONE_TOO: Node = 14;
    let all = [(ME, 0), (SAME_ZONE, 0), (SAME_ZONE_TOO, 0), (OTHER_ZONE, 1), (OTHER_REGION, 2)];
    type Row<'a> = (usize, usize, usize, &'a [Node], &'a [Node]);
    let rows: [Row; 8] = [
        (1, 0, 0, &[], &[SAME_ZONE]),
        (2, 0, 0, &[], &[SAME_ZONE, SAME_ZONE_TOO]),
        (1, 1, 0, &[], &[OTHER_ZONE]),
        (2, 1, 0, &[], &[OTHER_ZONE, SAME_ZONE]),
        (2, 2, 0, &[], &[OTHER_ZONE, OTHER_REGION]),
        (1, 0, 1, &[], &[OTHER_REGION]),
        (2, 1, 1, &[], &[OTHER_REGION, SAME_ZONE]),
        // No store in another zone is connected, so the ones present are chosen: no more than that can be lost.
        (1, 1, 0, &[OTHER_ZONE, OTHER_REGION], &[SAME_ZONE]),
    ];
    for (losses, zones, regions, away, wanted) in rows {
        let mut one = SingleStore::with_placement(
            StateTable::default(),
            losses,
            ToleratedLosses { zones, regions },
            vec![0, 0, 1],
        );
        one.queue.set_members(0, &all);
        for (node, _) in all.iter().filter(|(node, _)| *node != ME && !away.contains(node)) {
            one.queue.peer_connected(0, *node);
        }
        let to: Vec<Node> = replicas_sent(&one.put(1, message("plain"))).iter().map(|(_, to)| *to).collect();
        let mut wanted = wanted.to_vec();
        wanted.sort_unstable();
        assert_eq!(to, wanted, "{losses} machines, {zones} zones, {regions} regions, without {away:?}");
    }
}

fn owned(key: Key, owner: Node, term: u32) -> PeerMessage {
    PeerMessage::OwnershipChanged(vec![Ownership { key, owner, term, replicas: vec![C] }])
}

#[test]
fn a_message_that_another_store_took_over_is_not_retried_here() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = one.put_and_confirm(message("plain"));
    let attempt = attempts(&effects)[0];
    one.receive(B, owned(key, B, 1));
    let mut effects = one.end_attempt(attempt, AttemptOutcome::Failed);
    effects.extend(one.pass(3000));
    assert!(attempts(&effects).is_empty());
}

#[test]
fn the_new_owner_is_notified_when_an_attempt_of_the_former_one_completes() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = one.put_and_confirm(message("plain"));
    // The owner is notified even if neither B nor C is the replica.
    let holder = if replicas_sent(&one.put(2, message("gone")))[0].1 == B { C } else { B };
    one.receive(holder, owned(key, holder, 1));
    one.receive(
        holder,
        PeerMessage::OwnershipChanged(vec![Ownership { key, owner: holder, term: 2, replicas: vec![ME] }]),
    );
    let mut effects = one.end_attempt(attempts(&effects)[0], AttemptOutcome::Completed { seal: "s".into() });
    effects.extend(one.pass(50));
    assert!(
        was_sent(&effects, holder, |n| matches!(n, PeerMessage::Ended(all) if all[0].key == key)),
        "{effects:?}"
    );
    assert!(!effects.iter().any(|e| matches!(e, Effect::CallBack { .. })), "the owner delivers the callback");
}

#[test]
fn a_store_that_learns_that_it_owns_a_message_delivers_it() {
    let mut one = SingleStore::ready(state_with(&replicated_message(B, vec![ME])));
    let key = Key { origin: B, number: 99 };
    let effects = one.receive(B, owned(key, ME, 4));
    assert_eq!(attempts(&effects).len(), 1, "{effects:?}");
}

#[test]
fn messages_of_an_owner_that_was_gone_before_the_start_are_taken_over() {
    let mut one = SingleStore::new(state_with(&replicated_message(B, vec![ME])), 1);
    one.queue.set_members(0, &[(ME, 0), (C, 2)]);
    one.queue.peer_connected(0, C);
    one.configure(1);
    assert!(attempts(&one.pass(1900)).is_empty());
    let effects = one.pass(1500);
    assert_eq!(attempts(&effects).len(), 1);
    // All stores are notified, since one with a replica that is in no list would take over too.
    assert!(was_sent(&effects, C, |n| matches!(n, PeerMessage::OwnershipChanged(all) if all[0].owner == ME)));
}

/// The owner is back with an empty disk, and the first store in the replica list does not take over.
#[test]
fn what_an_owner_lost_is_taken_over_when_the_control_group_is_heard_again() {
    let mut one = SingleStore::ready(state_with(&replicated_message(B, vec![C, ME])));
    one.receive(B, PeerMessage::LostWithDisk(vec![Key { origin: B, number: 99 }]));
    one.queue.control_contact.is_reachable = false;
    assert!(attempts(&one.pass(2000)).is_empty());
    one.queue.control_contact.is_reachable = true;
    assert_eq!(attempts(&one.pass(600)).len(), 1);
}

#[test]
fn a_message_that_was_handed_over_late_expires() {
    let mut one = SingleStore::ready(state_with(&replicated_message(B, vec![ME])));
    one.pass(61_600);
    let key = Key { origin: B, number: 99 };
    one.queue.set_executors(one.now, one.now as i64 * 10, HashMap::new());
    one.receive(B, PeerMessage::Handover(vec![HandoverOffer { key, term: 0, attempts: 0 }]));
    one.pass(300);
    assert_matches!(one.queue.lookup(key), Some((MessageState::Failed, _)));
}

#[test]
fn no_tokens_are_granted_before_the_members_are_known() {
    let mut one = SingleStore::new(StateTable::default(), 0);
    one.configure(1);
    one.put(1, message("paid"));
    assert!(attempts(&one.pass(5000)).is_empty());
    one.queue.set_members(one.now, &[(ME, 0)]);
    assert_eq!(attempts(&one.pass(3000)).len(), 1);
}

#[test]
fn a_slow_replica_is_replaced_and_the_new_list_is_on_disk_before_the_acknowledgement() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, slow) = replicas_sent(&one.put(1, message("plain")))[0];
    one.is_disk_stalled = true;
    let effects = one.pass(220);
    let other = if slow == B { C } else { B };
    assert_eq!(replicas_sent(&effects), [(key, other)]);
    assert!(was_sent(&effects, slow, |n| *n == PeerMessage::Drop(vec![key])));
    let effects = one.receive(other, PeerMessage::Replicated(vec![key]));
    assert!(
        !effects.iter().any(|e| matches!(e, Effect::PutResult { .. })),
        "the new replica list is not on disk yet"
    );
    one.is_disk_stalled = false;
    let effects = one.pass(1);
    assert!(effects.iter().any(|e| matches!(e, Effect::PutResult { result: Ok(_), .. })));
}

#[test]
fn a_message_that_is_not_replicated_in_time_is_rolled_back() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, first) = replicas_sent(&one.put(1, message("plain")))[0];
    let effects = one.pass(395);
    let is_rejected = |e: &Effect| matches!(e, Effect::PutResult { result: Err(PutError::Uncertain), .. });
    assert!(effects.iter().any(is_rejected), "{effects:?}");
    assert!(was_sent(&effects, first, |n| matches!(n, PeerMessage::Drop(all) if all.contains(&key))));
    assert_eq!(one.queue.unfinished_count(), 0);
    assert_eq!(one.queue.lookup(key), None);
    assert!(one.records.contains(&Record::Dropped { key }));
}

#[test]
fn a_draining_store_does_not_wait_for_a_successor_that_is_gone() {
    let mut one = SingleStore::ready(StateTable::default());
    let late = Message { delay_ms: 5000, ..message("plain") };
    let (_, holder) = replicas_sent(&one.put(1, late))[0];
    let key = Key { origin: ME, number: replicas_sent(&one.put(2, message("plain")))[0].0.number - 1 };
    one.receive(holder, PeerMessage::Replicated(vec![key]));
    one.queue.begin_draining(one.now);
    let effects = one.pass(400);
    assert!(was_sent(&effects, holder, |n| matches!(n, PeerMessage::Handover(_))));
    assert_eq!(one.queue.unfinished_count(), 1);
    one.queue.peer_disconnected(one.now, holder);
    one.pass(0);
    assert_eq!(one.queue.unfinished_count(), 0);
    // The others are notified once, however often the process is told to shut down.
    one.queue.begin_draining(one.now);
    let effects = one.pass(10);
    assert!(!was_sent(&effects, B, |_| true) && !was_sent(&effects, C, |_| true), "{effects:?}");
}

#[test]
fn a_handover_of_an_unknown_message_is_rejected() {
    let mut one = SingleStore::ready(StateTable::default());
    let key = Key { origin: B, number: 5 };
    let effects = one.receive(B, PeerMessage::Handover(vec![HandoverOffer { key, term: 0, attempts: 0 }]));
    assert!(was_sent(&effects, B, |n| *n == PeerMessage::HandoverRejected(vec![key])));
}

#[test]
fn a_callback_slot_is_freed_though_its_message_is_gone() {
    let mut one = SingleStore::ready(StateTable::default());
    for round in 0..3 {
        let mut keys = Vec::new();
        for _ in 0..4 {
            let (key, effects) = one.put_and_confirm(message("plain"));
            let effects =
                one.end_attempt(attempts(&effects)[0], AttemptOutcome::Completed { seal: "s".into() });
            assert!(effects.iter().any(|e| matches!(e, Effect::CallBack { .. })), "none in round {round}");
            keys.push(key);
        }
        one.receive(B, PeerMessage::CallbacksDelivered(keys.clone()));
        keys.into_iter().for_each(|key| one.queue.callback_ended(one.now, key, true));
    }
}

#[test]
fn a_delivered_callback_of_another_store_keeps_a_live_message_whole() {
    let mut one = SingleStore::ready(state_with(&replicated_message(B, vec![ME])));
    let key = Key { origin: B, number: 99 };
    one.receive(B, PeerMessage::CallbacksDelivered(vec![key]));
    assert_eq!(one.queue.lookup(key), Some((MessageState::Waiting, Some(b"bytes".as_slice()))));
}

#[test]
fn messages_read_from_disk_wait_for_the_stores_with_replicas() {
    let mut one = SingleStore::new(state_with(&replicated_message(ME, vec![B])), 1);
    one.queue.set_members(0, &[(ME, 0), (B, 1)]);
    one.queue.peer_connected(0, B);
    one.configure(1);
    assert!(attempts(&one.pass(8000)).is_empty());
    assert_eq!(attempts(&one.receive(B, PeerMessage::Reconciled)).len(), 1);
}

#[test]
fn a_new_configuration_keeps_the_backoff_after_a_failure() {
    let mut one = SingleStore::ready(StateTable::default());
    let (_, effects) = one.put_and_confirm(message("plain"));
    one.end_attempt(attempts(&effects)[0], AttemptOutcome::Failed);
    one.configure(2);
    assert!(attempts(&one.pass(70)).is_empty());
    assert_eq!(attempts(&one.pass(30)).len(), 1);
}

#[test]
fn a_newer_replica_in_place_of_a_waiting_message_is_not_started() {
    let mut one = SingleStore::ready(StateTable::default());
    one.queue.set_executors(one.now, 0, HashMap::new());
    let (key, _) = one.put_and_confirm(message("plain"));
    let newer = ReplicatedMessage { key, owner: B, term: 3, ..replicated_message(B, vec![ME]) };
    one.receive(B, PeerMessage::Replicate(vec![newer]));
    one.configure(2);
    assert!(attempts(&one.pass(3000)).is_empty());
    assert_eq!(one.queue.lookup(key), Some((MessageState::Waiting, Some(b"bytes".as_slice()))));
}

#[test]
fn the_edge_is_answered_uncertain_when_another_store_owns_an_unconfirmed_message() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = replicas_sent(&one.put(1, message("plain")))[0];
    let effects = one.receive(to, owned(key, to, 1));
    assert!(effects.iter().any(|e| matches!(e, Effect::PutResult { result: Err(PutError::Uncertain), .. })));
    assert_eq!(one.queue.unfinished_count(), 0);
}

#[test]
fn a_failed_replica_write_does_not_drop_a_message_taken_over_meanwhile() {
    let mut one = SingleStore::ready(StateTable::default());
    one.is_disk_stalled = true;
    let replica = replicated_message(B, vec![ME]);
    one.receive(B, PeerMessage::Replicate(vec![replica.clone()]));
    let ticket = one.waiting[0].0;
    one.receive(B, PeerMessage::Handover(vec![HandoverOffer { key: replica.key, term: 0, attempts: 1 }]));
    one.queue.write_completed(one.now, ticket, false);
    one.pass(0);
    assert_matches!(one.queue.lookup(replica.key), Some((MessageState::Waiting, Some(_))));
}

#[test]
fn a_replica_whose_end_is_never_notified_is_dropped_from_disk() {
    let mut one = SingleStore::ready(state_with(&replicated_message(B, vec![ME])));
    let key = Key { origin: B, number: 99 };
    one.pass(61_600 + 120_500);
    assert_eq!(one.queue.lookup(key), None);
    assert!(one.records.contains(&Record::Dropped { key }));
}

/// An edge that got no answer has offered the message to another store, which keeps it.
#[test]
fn a_superseded_message_is_dropped_at_each_stage_but_in_flight() {
    let kept = Some(Key { origin: 9, number: 9 });
    let dropped = |one: &SingleStore, key: Key| one.queue.lookup(key).is_none();
    // A message that is not persisted yet, one that waits until it is due, and a replica that is taken over later.
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = replicas_sent(&one.put(1, message("plain")))[0];
    one.queue.drop_superseded("m", message("plain").fingerprint(), kept);
    let effects = one.pass(0);
    assert!(
        dropped(&one, key)
            && was_sent(&effects, to, |n| matches!(n, PeerMessage::Drop(keys) if keys[0] == key))
    );
    let delayed = Message { delay_ms: 5000, ..message("plain") };
    let (key, _) = one.put_and_confirm(delayed.clone());
    one.queue.drop_superseded("m", delayed.fingerprint(), Some(key));
    assert!(!dropped(&one, key), "the kept submission");
    one.queue.drop_superseded("m", message("paid").fingerprint(), kept);
    assert!(!dropped(&one, key), "another message under the same id");
    one.queue.drop_superseded("m", delayed.fingerprint(), kept);
    assert!(dropped(&one, key));
    let replica = replicated_message(B, vec![ME]);
    one.receive(B, PeerMessage::Replicate(vec![replica.clone()]));
    one.queue.drop_superseded(&replica.message.id, replica.message.fingerprint(), kept);
    one.queue.set_members(one.now, &[(ME, 0), (C, 2)]);
    one.queue.peer_disconnected(one.now, B);
    let effects = one.pass(9000);
    assert_eq!((dropped(&one, replica.key), attempts(&effects).len()), (true, 0));
    // A message in flight may have run, so it is kept.
    let timely = Message { accepted_at_ms: simulation::START_WALL_CLOCK_MS + one.now, ..message("plain") };
    let (key, effects) = one.put_and_confirm(timely.clone());
    assert_eq!(attempts(&effects).len(), 1);
    one.queue.drop_superseded("m", timely.fingerprint(), kept);
    assert!(!dropped(&one, key));
}

/// For two minutes an edge tells a store that has returned which submissions were superseded. If the client has
/// meanwhile submitted the same content under the same id again and was answered 202, that is another message.
#[test]
fn a_resubmitted_message_is_not_dropped_with_its_first_submission() {
    let mut one = SingleStore::ready(StateTable::default());
    let first = Message { delay_ms: 5000, ..message("plain") };
    let again = Message { accepted_at_ms: first.accepted_at_ms + 700, ..first.clone() };
    let (key, _) = one.put_and_confirm(again.clone());
    one.queue.drop_superseded("m", first.fingerprint(), None);
    assert!(one.queue.lookup(key).is_some(), "the second submission was accepted");
    one.queue.drop_superseded("m", again.fingerprint(), None);
    assert!(one.queue.lookup(key).is_none());
}

/// The store read the put before it was frozen; the edge has gone to another store since.
#[test]
fn an_abandoned_put_is_rolled_back() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = replicas_sent(&one.put(4, message("plain")))[0];
    one.queue.drop_abandoned(4);
    let effects = one.receive(to, PeerMessage::Replicated(vec![key]));
    assert!(one.queue.lookup(key).is_none() && attempts(&effects).is_empty());
}

/// Anything the store accepted would wait behind the writes that the disk already has; another store can accept it in
/// time.
#[test]
fn a_store_with_a_stalled_disk_accepts_neither_messages_nor_replicas() {
    let mut one = SingleStore::ready(StateTable::default());
    one.is_disk_stalled = true;
    one.put(1, message("plain"));
    one.pass(150);
    let effects = one.put(2, Message { id: "n".into(), ..message("plain") });
    let is_rejected =
        |e: &Effect| matches!(e, Effect::PutResult { ticket: 2, result: Err(PutError::Rejected) });
    assert!(effects.iter().any(is_rejected));
    let effects = one.receive(B, PeerMessage::Replicate(vec![replicated_message(B, vec![ME])]));
    assert!(was_sent(&effects, B, |n| matches!(n, PeerMessage::ReplicationRejected(_))));
}

/// The second message does not wait for the store that did not confirm the first.
#[test]
fn a_store_that_confirmed_a_replica_late_is_avoided() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, slow) = replicas_sent(&one.put(1, message("plain")))[0];
    let other = if slow == B { C } else { B };
    while replicas_sent(&one.pass(5)).is_empty() {
        assert!(one.now < 1000);
    }
    one.receive(other, PeerMessage::Replicated(vec![key]));
    let (_, next) = replicas_sent(&one.put(2, Message { id: "n".into(), ..message("plain") }))[0];
    assert_ne!(next, slow);
}

/// A further attempt would find no free connection and wait longer after each failure.
#[test]
fn no_more_is_sent_to_an_executor_than_this_store_has_connections_for() {
    let mut one = SingleStore::ready(StateTable::default());
    let dispatch_time = one.now as i64 * 10;
    one.queue.configure(one.now, dispatch_time, config(2, "few", 3, 60.0));
    let mut sent = Vec::new();
    for n in 0..4 {
        let (key, to) = replicas_sent(&one.put(n, Message { id: format!("m{n}"), ..message("plain") }))[0];
        sent.extend(attempts(&one.receive(to, PeerMessage::Replicated(vec![key]))));
    }
    sent.extend(attempts(&one.pass(100)));
    assert_eq!(sent.len(), 2);
    let effects = one.end_attempt(sent[0], AttemptOutcome::Completed { seal: "s".into() });
    assert_eq!(attempts(&effects).len(), 1);
}

/// Other stores may have taken over from a store that was frozen or cut off. It starts nothing before it has heard
/// the control nodes and then all stores with replicas.
#[test]
fn a_fenced_store_starts_nothing_before_the_others_have_reconciled() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = replicas_sent(&one.put(1, Message { delay_ms: 6000, ..message("plain") }))[0];
    one.receive(to, PeerMessage::Replicated(vec![key]));
    one.now += 7000;
    one.queue.control_contact.session_may_have_lapsed = true;
    assert!(attempts(&one.pass(100)).is_empty());
    [B, C].into_iter().for_each(|other| one.queue.peer_disconnected(one.now, other));
    one.queue.control_contact.session_may_have_lapsed = false;
    one.queue.peer_connected(one.now, B);
    assert!(attempts(&one.receive(B, PeerMessage::Reconciled)).is_empty());
    assert!(attempts(&one.pass(200)).is_empty());
    assert_eq!(one.queue.metrics.fence_activations, 1);
    one.queue.peer_connected(one.now, C);
    let effects = one.receive(C, PeerMessage::Reconciled);
    assert!(
        attempts(&effects).is_empty()
            && was_sent(&effects, B, |n| matches!(n, PeerMessage::OwnershipChanged(_)))
    );
    assert_eq!(attempts(&one.pass(110)).len(), 1);
}

/// A control node that is cut off together with the store keeps answering it, while the others may have listed the
/// store as gone.
#[test]
fn a_store_without_its_peers_and_with_a_control_node_that_may_be_cut_off_starts_nothing() {
    for (group_may_be_lost, started) in [(false, 1), (true, 0)] {
        let mut one = SingleStore::ready(StateTable::default());
        let (key, to) = replicas_sent(&one.put(1, Message { delay_ms: 3000, ..message("plain") }))[0];
        one.receive(to, PeerMessage::Replicated(vec![key]));
        [B, C].into_iter().for_each(|other| one.queue.peer_disconnected(one.now, other));
        one.queue.control_contact.group_may_be_lost = group_may_be_lost;
        let sent: usize = (0..35).map(|_| attempts(&one.pass(100)).len()).sum();
        assert_eq!(sent, started, "may be lost: {group_may_be_lost}");
    }
}

/// Two stores that both act as the token holder would together grant more than the rate limit.
#[test]
fn tokens_from_a_store_that_is_not_their_holder_are_rejected_and_counted() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = replicas_sent(&one.put(1, message("paid")))[0];
    let effects = one.receive(to, PeerMessage::Replicated(vec![key]));
    let asked = |e: &Effect| match e {
        Effect::Send { to, message: PeerMessage::RequestTokens { .. } } => Some(*to),
        _ => None,
    };
    let holder = effects.iter().find_map(asked).expect("another store is the token holder");
    let former = if holder == B { C } else { B };
    let tokens = PeerMessage::GrantTokens { service: "point".into(), count: 1 };
    assert!(attempts(&one.receive(former, tokens.clone())).is_empty());
    assert_eq!(one.queue.metrics.stale_claims, 1);
    assert_eq!(attempts(&one.receive(holder, tokens)).len(), 1);
}

/// Once its session may be declared expired, another store may begin to grant tokens: the holder grants none from
/// then on, and continues at once when the control group is heard again.
#[test]
fn a_token_holder_whose_session_may_have_lapsed_grants_nothing() {
    let mut one = SingleStore::ready(StateTable::default());
    let wanted = || PeerMessage::RequestTokens { service: "point".into(), count: 1 };
    one.queue.set_members(one.now, &[(ME, 0)]);
    one.pass(2500);
    let got = |effects: &[Effect], count| {
        was_sent(effects, B, |n| matches!(n, PeerMessage::GrantTokens { count: c, .. } if *c == count))
    };
    assert!(got(&one.receive(B, wanted()), 1));
    one.queue.control_contact.session_may_have_lapsed = true;
    one.pass(100);
    assert!(got(&one.receive(B, wanted()), 0));
    one.queue.control_contact.session_may_have_lapsed = false;
    one.pass(100);
    assert!(got(&one.receive(B, wanted()), 1));
}

/// A message of a retiring store arrives late: it requests replicas that it should have held, or lists those left
/// there.
#[test]
fn a_retiring_store_is_not_relied_on_again() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, _) = one.put_and_confirm(Message { delay_ms: 30_000, ..message("plain") });
    one.receive(B, PeerMessage::Retiring);
    assert_eq!(replicas_sent(&one.pass(600)), [(key, C)]);
    one.receive(C, PeerMessage::Replicated(vec![key]));
    assert!(replicas_sent(&one.receive(B, PeerMessage::RequestReplicas(vec![key]))).is_empty());
    assert!(replicas_sent(&one.pass(1000)).is_empty());
    one.queue.peer_disconnected(one.now, C);
    one.queue.set_members(one.now, &[(ME, 0), (B, 1)]);
    one.pass(5500);
    let live = vec![EntrySummary { key, owner: ME, term: 0, has_ended: false }];
    one.receive(
        B,
        PeerMessage::RangeContents { disk_id: 9, reply_wanted: false, ranges: Vec::new(), entries: live },
    );
    let counted = one.queue.message_view(one.now, key).unwrap().replicas;
    assert!(counted.is_empty(), "{counted:?}");
}
