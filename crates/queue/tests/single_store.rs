//! One store alone, told what other stores and executors would say: what a whole day seldom brings about.

mod simulation;
mod support;

use assert_matches::assert_matches;
use simulation::config;
use std::collections::HashMap;
use stileroute_queue::*;
use support::*;

/// In its first turn after a freeze it has read what the control nodes said before they gave it up, and not yet that the other
/// stores have. What fell due meanwhile they have run: seen in the proof, 15 to 19 messages twice.
#[test]
fn after_a_long_freeze_nothing_starts_before_the_others_have_reconciled() {
    let mut one = SingleStore::ready(StateTable::default());
    let (_, effects) = one.taken(Message { delay_ms: 1000, ..message("plain") });
    assert!(attempts(&effects).is_empty());
    one.now += 5500;
    assert!(attempts(&one.pass(0)).is_empty());
    for other in [B, C] {
        one.queue.peer_disconnected(one.now, other);
    }
    assert!(attempts(&one.pass(500)).is_empty(), "they may be back, and say what they ran");
    for other in [B, C] {
        one.queue.peer_connected(one.now, other);
    }
    assert!(attempts(&one.pass(100)).is_empty());
    let mut all = one.note(B, PeerMessage::Reconciled);
    all.extend(one.note(C, PeerMessage::Reconciled));
    all.extend(one.pass(50));
    assert!(attempts(&all).is_empty(), "all are asked once more, and have 100 ms to object");
    for other in [B, C] {
        assert!(said(&all, other, |n| matches!(n, PeerMessage::OwnershipChanged(_))));
    }
    assert_eq!(attempts(&one.pass(100)).len(), 1);
}

/// Another store holds a copy of what this one owned and does not know. Lost with the disk before, it is taken over; given with
/// this disk and never finished taking, it is dropped. Told apart by the time of day, what was lost would be dropped where the
/// clock was put back, or both disks began in one second: seen on a bench day, 58 messages that had been answered 202.
#[test]
fn replicas_of_what_a_lost_disk_held_are_not_dropped() {
    let lines: Vec<u64> = (1..=4).map(|lot| first_number(lot << 37)).collect();
    let mut ledger = StateTable::default();
    // Two lives began with this disk, in any order of their lots; two others with the one that is lost.
    for first in [lines[1], lines[3]] {
        ledger.apply_record(Record::IncarnationStarted { disk_id: 7, first_number: first });
    }
    let mut one = SingleStore::ready(ledger);
    let stands =
        |number| EntrySummary { key: Key { origin: ME, number }, owner: ME, term: 0, has_ended: false };
    let live: Vec<EntrySummary> = lines.iter().map(|first| stands(first + 5)).collect();
    let keys: Vec<Key> = live.iter().map(|s| s.key).collect();
    let effects = one.note(
        B,
        PeerMessage::RangeContents { disk_id: 9, reply_wanted: false, ranges: Vec::new(), entries: live },
    );
    assert!(said(&effects, B, |n| matches!(n, PeerMessage::LostWithDisk(all) if *all == [keys[0], keys[2]])));
    assert!(said(&effects, B, |n| matches!(n, PeerMessage::Drop(all) if *all == [keys[1], keys[3]])));
    // Another disk forgets the lives of the one before, and of one disk only so many are remembered.
    let mut ledger = StateTable::default();
    ledger.apply_record(Record::IncarnationStarted { disk_id: 7, first_number: lines[0] });
    (0..100)
        .for_each(|_| ledger.apply_record(Record::IncarnationStarted { disk_id: 8, first_number: lines[1] }));
    assert_eq!(
        (
            ledger.disk_id,
            ledger.incarnation_first_numbers.len(),
            ledger.incarnation_first_numbers.contains(&lines[0])
        ),
        (Some(8), 64, false)
    );
}

/// Zones 0 and 1 in region 0, zone 2 in region 1; this store is in zone 0. Lost as a whole with copies beside it, a zone or
/// region that has to be borne would take a message that was answered 202.
#[test]
fn replicas_are_placed_so_that_tolerated_losses_leave_one() {
    const NEAR: Node = 11;
    const ZONE: Node = 12;
    const REGION: Node = 13;
    const NEAR_TOO: Node = 14;
    let all = [(ME, 0), (NEAR, 0), (NEAR_TOO, 0), (ZONE, 1), (REGION, 2)];
    type Row<'a> = (usize, usize, usize, &'a [Node], &'a [Node]);
    let rows: [Row; 8] = [
        (1, 0, 0, &[], &[NEAR]),
        (2, 0, 0, &[], &[NEAR, NEAR_TOO]),
        (1, 1, 0, &[], &[ZONE]),
        (2, 1, 0, &[], &[ZONE, NEAR]),
        (2, 2, 0, &[], &[ZONE, REGION]),
        (1, 0, 1, &[], &[REGION]),
        (2, 1, 1, &[], &[REGION, NEAR]),
        // Nothing is there of what is wanted: what is there is taken, for no more than that can be lost.
        (1, 1, 0, &[ZONE, REGION], &[NEAR]),
    ];
    for (losses, zones, regions, away, wanted) in rows {
        let mut one = SingleStore::placed(
            StateTable::default(),
            losses,
            ToleratedLosses { zones, regions },
            vec![0, 0, 1],
        );
        one.queue.set_members(0, &all);
        for (node, _) in all.iter().filter(|(node, _)| *node != ME && !away.contains(node)) {
            one.queue.peer_connected(0, *node);
        }
        let to: Vec<Node> = copies(&one.put(1, message("plain"))).iter().map(|(_, to)| *to).collect();
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
    let (key, effects) = one.taken(message("plain"));
    let attempt = attempts(&effects)[0];
    one.note(B, owned(key, B, 1));
    let mut effects = one.answered(attempt, AttemptOutcome::Failed);
    effects.extend(one.pass(3000));
    assert!(attempts(&effects).is_empty());
}

#[test]
fn the_new_owner_is_notified_when_an_attempt_of_the_former_one_completes() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, effects) = one.taken(message("plain"));
    // Neither B nor C is the copy: the owner is told all the same.
    let copy = if copies(&one.put(2, message("gone")))[0].1 == B { C } else { B };
    one.note(copy, owned(key, copy, 1));
    one.note(
        copy,
        PeerMessage::OwnershipChanged(vec![Ownership { key, owner: copy, term: 2, replicas: vec![ME] }]),
    );
    let mut effects = one.answered(attempts(&effects)[0], AttemptOutcome::Completed { seal: "s".into() });
    effects.extend(one.pass(50));
    assert!(
        said(&effects, copy, |n| matches!(n, PeerMessage::Ended(all) if all[0].key == key)),
        "{effects:?}"
    );
    assert!(!effects.iter().any(|e| matches!(e, Effect::CallBack { .. })), "the owner calls back");
}

#[test]
fn a_store_that_is_told_to_own_a_message_delivers_it() {
    let mut one = SingleStore::ready(ledger(&shared(B, vec![ME])));
    let key = Key { origin: B, number: 99 };
    let effects = one.note(B, owned(key, ME, 4));
    assert_eq!(attempts(&effects).len(), 1, "{effects:?}");
}

#[test]
fn messages_of_an_owner_that_was_gone_before_the_start_are_taken_over() {
    let mut one = SingleStore::new(ledger(&shared(B, vec![ME])), 1);
    one.queue.set_members(0, &[(ME, 0), (C, 2)]);
    one.queue.peer_connected(0, C);
    one.configure(1);
    assert!(attempts(&one.pass(1900)).is_empty());
    let effects = one.pass(1500);
    assert_eq!(attempts(&effects).len(), 1);
    // All are told, for a copy that nobody knows of would be taken over too.
    assert!(said(&effects, C, |n| matches!(n, PeerMessage::OwnershipChanged(all) if all[0].owner == ME)));
}

/// The owner is back with an empty disk, and the store that is first in the list does not take over.
#[test]
fn what_an_owner_lost_is_taken_over_when_the_control_group_is_heard_again() {
    let mut one = SingleStore::ready(ledger(&shared(B, vec![C, ME])));
    one.note(B, PeerMessage::LostWithDisk(vec![Key { origin: B, number: 99 }]));
    one.queue.control_contact.is_reachable = false;
    assert!(attempts(&one.pass(2000)).is_empty());
    one.queue.control_contact.is_reachable = true;
    assert_eq!(attempts(&one.pass(600)).len(), 1);
}

#[test]
fn a_message_that_was_handed_over_late_expires() {
    let mut one = SingleStore::ready(ledger(&shared(B, vec![ME])));
    one.pass(61_600);
    let key = Key { origin: B, number: 99 };
    one.queue.set_executors(one.now, one.now as i64 * 10, HashMap::new());
    one.note(B, PeerMessage::Handover(vec![HandoverOffer { key, term: 0, attempts: 0 }]));
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
    let (key, slow) = copies(&one.put(1, message("plain")))[0];
    one.disk_silent = true;
    let effects = one.pass(220);
    let other = if slow == B { C } else { B };
    assert_eq!(copies(&effects), [(key, other)]);
    assert!(said(&effects, slow, |n| *n == PeerMessage::Drop(vec![key])));
    let effects = one.note(other, PeerMessage::Replicated(vec![key]));
    assert!(!effects.iter().any(|e| matches!(e, Effect::PutResult { .. })), "not yet on disk who has it");
    one.disk_silent = false;
    let effects = one.pass(1);
    assert!(effects.iter().any(|e| matches!(e, Effect::PutResult { result: Ok(_), .. })));
}

#[test]
fn a_message_that_is_not_replicated_in_time_is_rolled_back() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, first) = copies(&one.put(1, message("plain")))[0];
    let effects = one.pass(395);
    let refused = |e: &Effect| matches!(e, Effect::PutResult { result: Err(PutError::Uncertain), .. });
    assert!(effects.iter().any(refused), "{effects:?}");
    assert!(said(&effects, first, |n| matches!(n, PeerMessage::Drop(all) if all.contains(&key))));
    assert_eq!(one.queue.unfinished_count(), 0);
    assert_eq!(one.queue.lookup(key), None);
    assert!(one.records.contains(&Record::Dropped { key }));
}

#[test]
fn a_draining_store_does_not_wait_for_a_successor_that_is_gone() {
    let mut one = SingleStore::ready(StateTable::default());
    let late = Message { delay_ms: 5000, ..message("plain") };
    let (_, copy) = copies(&one.put(1, late))[0];
    let key = Key { origin: ME, number: copies(&one.put(2, message("plain")))[0].0.number - 1 };
    one.note(copy, PeerMessage::Replicated(vec![key]));
    one.queue.begin_draining(one.now);
    let effects = one.pass(400);
    assert!(said(&effects, copy, |n| matches!(n, PeerMessage::Handover(_))));
    assert_eq!(one.queue.unfinished_count(), 1);
    one.queue.peer_disconnected(one.now, copy);
    one.pass(0);
    assert_eq!(one.queue.unfinished_count(), 0);
    // Told once, however often the program says that it is to end.
    one.queue.begin_draining(one.now);
    let effects = one.pass(10);
    assert!(!said(&effects, B, |_| true) && !said(&effects, C, |_| true), "{effects:?}");
}

#[test]
fn a_handover_of_an_unknown_message_is_rejected() {
    let mut one = SingleStore::ready(StateTable::default());
    let key = Key { origin: B, number: 5 };
    let effects = one.note(B, PeerMessage::Handover(vec![HandoverOffer { key, term: 0, attempts: 0 }]));
    assert!(said(&effects, B, |n| *n == PeerMessage::HandoverRejected(vec![key])));
}

#[test]
fn a_callback_slot_is_freed_though_its_message_is_gone() {
    let mut one = SingleStore::ready(StateTable::default());
    for round in 0..3 {
        let mut keys = Vec::new();
        for _ in 0..4 {
            let (key, effects) = one.taken(message("plain"));
            let effects = one.answered(attempts(&effects)[0], AttemptOutcome::Completed { seal: "s".into() });
            assert!(effects.iter().any(|e| matches!(e, Effect::CallBack { .. })), "none in round {round}");
            keys.push(key);
        }
        one.note(B, PeerMessage::CallbacksDelivered(keys.clone()));
        keys.into_iter().for_each(|key| one.queue.callback_ended(one.now, key, true));
    }
}

#[test]
fn a_delivered_callback_of_another_store_keeps_a_live_message_whole() {
    let mut one = SingleStore::ready(ledger(&shared(B, vec![ME])));
    let key = Key { origin: B, number: 99 };
    one.note(B, PeerMessage::CallbacksDelivered(vec![key]));
    assert_eq!(one.queue.lookup(key), Some((MessageState::Waiting, Some(b"bytes".as_slice()))));
}

#[test]
fn messages_read_from_disk_wait_for_the_stores_with_replicas() {
    let mut one = SingleStore::new(ledger(&shared(ME, vec![B])), 1);
    one.queue.set_members(0, &[(ME, 0), (B, 1)]);
    one.queue.peer_connected(0, B);
    one.configure(1);
    assert!(attempts(&one.pass(8000)).is_empty());
    assert_eq!(attempts(&one.note(B, PeerMessage::Reconciled)).len(), 1);
}

#[test]
fn a_new_configuration_keeps_the_backoff_after_a_failure() {
    let mut one = SingleStore::ready(StateTable::default());
    let (_, effects) = one.taken(message("plain"));
    one.answered(attempts(&effects)[0], AttemptOutcome::Failed);
    one.configure(2);
    assert!(attempts(&one.pass(70)).is_empty());
    assert_eq!(attempts(&one.pass(30)).len(), 1);
}

#[test]
fn a_newer_replica_in_place_of_a_waiting_message_is_not_started() {
    let mut one = SingleStore::ready(StateTable::default());
    one.queue.set_executors(one.now, 0, HashMap::new());
    let (key, _) = one.taken(message("plain"));
    let newer = ReplicatedMessage { key, owner: B, term: 3, ..shared(B, vec![ME]) };
    one.note(B, PeerMessage::Replicate(vec![newer]));
    one.configure(2);
    assert!(attempts(&one.pass(3000)).is_empty());
    assert_eq!(one.queue.lookup(key), Some((MessageState::Waiting, Some(b"bytes".as_slice()))));
}

#[test]
fn the_edge_is_answered_uncertain_when_another_store_owns_an_unconfirmed_message() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = copies(&one.put(1, message("plain")))[0];
    let effects = one.note(to, owned(key, to, 1));
    assert!(effects.iter().any(|e| matches!(e, Effect::PutResult { result: Err(PutError::Uncertain), .. })));
    assert_eq!(one.queue.unfinished_count(), 0);
}

#[test]
fn a_failed_replica_write_does_not_drop_a_message_taken_over_meanwhile() {
    let mut one = SingleStore::ready(StateTable::default());
    one.disk_silent = true;
    let shared = shared(B, vec![ME]);
    one.note(B, PeerMessage::Replicate(vec![shared.clone()]));
    let ticket = one.waiting[0].0;
    one.note(B, PeerMessage::Handover(vec![HandoverOffer { key: shared.key, term: 0, attempts: 1 }]));
    one.queue.write_completed(one.now, ticket, false);
    one.pass(0);
    assert_matches!(one.queue.lookup(shared.key), Some((MessageState::Waiting, Some(_))));
}

#[test]
fn a_replica_whose_end_is_never_notified_is_dropped_from_disk() {
    let mut one = SingleStore::ready(ledger(&shared(B, vec![ME])));
    let key = Key { origin: B, number: 99 };
    one.pass(61_600 + 120_500);
    assert_eq!(one.queue.lookup(key), None);
    assert!(one.records.contains(&Record::Dropped { key }));
}

/// An edge that heard nothing has offered the message to another store, which keeps it.
#[test]
fn a_superseded_message_is_dropped_at_each_stage_but_in_flight() {
    let kept = Some(Key { origin: 9, number: 9 });
    let dropped = |one: &SingleStore, key: Key| one.queue.lookup(key).is_none();
    // Not yet safe, waiting for its time, and a copy that is taken over later.
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = copies(&one.put(1, message("plain")))[0];
    one.queue.drop_superseded("m", message("plain").fingerprint(), kept);
    let effects = one.pass(0);
    assert!(
        dropped(&one, key) && said(&effects, to, |n| matches!(n, PeerMessage::Drop(keys) if keys[0] == key))
    );
    let delayed = Message { delay_ms: 5000, ..message("plain") };
    let (key, _) = one.taken(delayed.clone());
    one.queue.drop_superseded("m", delayed.fingerprint(), Some(key));
    assert!(!dropped(&one, key), "the one that is kept");
    one.queue.drop_superseded("m", message("paid").fingerprint(), kept);
    assert!(!dropped(&one, key), "another message under the same id");
    one.queue.drop_superseded("m", delayed.fingerprint(), kept);
    assert!(dropped(&one, key));
    let shared = shared(B, vec![ME]);
    one.note(B, PeerMessage::Replicate(vec![shared.clone()]));
    one.queue.drop_superseded(&shared.message.id, shared.message.fingerprint(), kept);
    one.queue.set_members(one.now, &[(ME, 0), (C, 2)]);
    one.queue.peer_disconnected(one.now, B);
    let effects = one.pass(9000);
    assert_eq!((dropped(&one, shared.key), attempts(&effects).len()), (true, 0));
    // What is out may have run: it is left.
    let timely = Message { accepted_at_ms: simulation::WALL + one.now, ..message("plain") };
    let (key, effects) = one.taken(timely.clone());
    assert_eq!(attempts(&effects).len(), 1);
    one.queue.drop_superseded("m", timely.fingerprint(), kept);
    assert!(!dropped(&one, key));
}

/// An edge tells a store that is back, for two minutes, which offers came to nothing. A client that has sent the same once
/// more under the same id meanwhile, and was answered 202, means another message.
#[test]
fn a_resubmitted_message_is_not_dropped_with_its_first_submission() {
    let mut one = SingleStore::ready(StateTable::default());
    let first = Message { delay_ms: 5000, ..message("plain") };
    let again = Message { accepted_at_ms: first.accepted_at_ms + 700, ..first.clone() };
    let (key, _) = one.taken(again.clone());
    one.queue.drop_superseded("m", first.fingerprint(), None);
    assert!(one.queue.lookup(key).is_some(), "it was accepted");
    one.queue.drop_superseded("m", again.fingerprint(), None);
    assert!(one.queue.lookup(key).is_none());
}

/// It read what was sent to it before it stood still; the edge has gone elsewhere since.
#[test]
fn an_abandoned_put_is_rolled_back() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = copies(&one.put(4, message("plain")))[0];
    one.queue.drop_abandoned(4);
    let effects = one.note(to, PeerMessage::Replicated(vec![key]));
    assert!(one.queue.lookup(key).is_none() && attempts(&effects).is_empty());
}

/// What it took would wait behind what the disk has: another store takes it in time.
#[test]
fn a_store_with_a_stalled_disk_accepts_neither_messages_nor_replicas() {
    let mut one = SingleStore::ready(StateTable::default());
    one.disk_silent = true;
    one.put(1, message("plain"));
    one.pass(150);
    let effects = one.put(2, Message { id: "n".into(), ..message("plain") });
    let refused = |e: &Effect| matches!(e, Effect::PutResult { ticket: 2, result: Err(PutError::Rejected) });
    assert!(effects.iter().any(refused));
    let effects = one.note(B, PeerMessage::Replicate(vec![shared(B, vec![ME])]));
    assert!(said(&effects, B, |n| matches!(n, PeerMessage::ReplicationRejected(_))));
}

/// The second message does not wait for the store that left the first without an answer.
#[test]
fn a_store_that_confirmed_a_replica_late_is_avoided() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, slow) = copies(&one.put(1, message("plain")))[0];
    let other = if slow == B { C } else { B };
    while copies(&one.pass(5)).is_empty() {
        assert!(one.now < 1000);
    }
    one.note(other, PeerMessage::Replicated(vec![key]));
    let (_, next) = copies(&one.put(2, Message { id: "n".into(), ..message("plain") }))[0];
    assert_ne!(next, slow);
}

/// Sent all the same, it would find no connection free and wait longer after each try.
#[test]
fn no_more_is_sent_to_an_executor_than_this_store_has_connections_for() {
    let mut one = SingleStore::ready(StateTable::default());
    let fine = one.now as i64 * 10;
    one.queue.configure(one.now, fine, config(2, "few", 3, 60.0));
    let mut sent = Vec::new();
    for n in 0..4 {
        let (key, to) = copies(&one.put(n, Message { id: format!("m{n}"), ..message("plain") }))[0];
        sent.extend(attempts(&one.note(to, PeerMessage::Replicated(vec![key]))));
    }
    sent.extend(attempts(&one.pass(100)));
    assert_eq!(sent.len(), 2);
    let effects = one.answered(sent[0], AttemptOutcome::Completed { seal: "s".into() });
    assert_eq!(attempts(&effects).len(), 1);
}

/// A store that has slept, or is back from a cut, may have been taken over from: it hears the control nodes first, and then
/// all that hold copies, and starts nothing before that.
#[test]
fn a_fenced_store_starts_nothing_before_the_others_have_reconciled() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = copies(&one.put(1, Message { delay_ms: 6000, ..message("plain") }))[0];
    one.note(to, PeerMessage::Replicated(vec![key]));
    one.now += 7000;
    one.queue.control_contact.session_may_have_lapsed = true;
    assert!(attempts(&one.pass(100)).is_empty());
    [B, C].into_iter().for_each(|other| one.queue.peer_disconnected(one.now, other));
    one.queue.control_contact.session_may_have_lapsed = false;
    one.queue.peer_connected(one.now, B);
    assert!(attempts(&one.note(B, PeerMessage::Reconciled)).is_empty());
    assert!(attempts(&one.pass(200)).is_empty());
    assert_eq!(one.queue.metrics.fence_activations, 1);
    one.queue.peer_connected(one.now, C);
    let effects = one.note(C, PeerMessage::Reconciled);
    assert!(
        attempts(&effects).is_empty() && said(&effects, B, |n| matches!(n, PeerMessage::OwnershipChanged(_)))
    );
    assert_eq!(attempts(&one.pass(110)).len(), 1);
}

/// A control node that is cut off together with the store goes on answering it, while the others may have listed it as gone.
#[test]
fn a_store_without_its_peers_and_with_a_control_node_that_may_be_cut_off_starts_nothing() {
    for (group_may_be_lost, started) in [(false, 1), (true, 0)] {
        let mut one = SingleStore::ready(StateTable::default());
        let (key, to) = copies(&one.put(1, Message { delay_ms: 3000, ..message("plain") }))[0];
        one.note(to, PeerMessage::Replicated(vec![key]));
        [B, C].into_iter().for_each(|other| one.queue.peer_disconnected(one.now, other));
        one.queue.control_contact.group_may_be_lost = group_may_be_lost;
        let sent: usize = (0..35).map(|_| attempts(&one.pass(100)).len()).sum();
        assert_eq!(sent, started, "may be lost: {group_may_be_lost}");
    }
}

/// Two that both take themselves for the holder would together hand out more than the ceiling.
#[test]
fn tokens_from_a_store_that_is_not_their_holder_are_rejected_and_counted() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, to) = copies(&one.put(1, message("paid")))[0];
    let effects = one.note(to, PeerMessage::Replicated(vec![key]));
    let asked = |e: &Effect| match e {
        Effect::Send { to, message: PeerMessage::RequestTokens { .. } } => Some(*to),
        _ => None,
    };
    let holder = effects.iter().find_map(asked).expect("another store holds the duty");
    let former = if holder == B { C } else { B };
    let tokens = PeerMessage::GrantTokens { service: "point".into(), count: 1 };
    assert!(attempts(&one.note(former, tokens.clone())).is_empty());
    assert_eq!(one.queue.metrics.stale_claims, 1);
    assert_eq!(attempts(&one.note(holder, tokens)).len(), 1);
}

/// Its session may be called lapsed, and another may begin to hand out tokens: it hands out none from then on, and goes on
/// at once when it is heard.
#[test]
fn a_token_holder_whose_session_may_have_lapsed_grants_nothing() {
    let mut one = SingleStore::ready(StateTable::default());
    let wanted = || PeerMessage::RequestTokens { service: "point".into(), count: 1 };
    one.queue.set_members(one.now, &[(ME, 0)]);
    one.pass(2500);
    let got = |effects: &[Effect], count| {
        said(effects, B, |n| matches!(n, PeerMessage::GrantTokens { count: c, .. } if *c == count))
    };
    assert!(got(&one.note(B, wanted()), 1));
    one.queue.control_contact.session_may_have_lapsed = true;
    one.pass(100);
    assert!(got(&one.note(B, wanted()), 0));
    one.queue.control_contact.session_may_have_lapsed = false;
    one.pass(100);
    assert!(got(&one.note(B, wanted()), 1));
}

/// A word of one that is to be emptied comes late: it asks for what it should have held, or names what is left there.
#[test]
fn a_retiring_store_is_not_relied_on_again() {
    let mut one = SingleStore::ready(StateTable::default());
    let (key, _) = one.taken(Message { delay_ms: 30_000, ..message("plain") });
    one.note(B, PeerMessage::Retiring);
    assert_eq!(copies(&one.pass(600)), [(key, C)]);
    one.note(C, PeerMessage::Replicated(vec![key]));
    assert!(copies(&one.note(B, PeerMessage::RequestReplicas(vec![key]))).is_empty());
    assert!(copies(&one.pass(1000)).is_empty());
    one.queue.peer_disconnected(one.now, C);
    one.queue.set_members(one.now, &[(ME, 0), (B, 1)]);
    one.pass(5500);
    let live = vec![EntrySummary { key, owner: ME, term: 0, has_ended: false }];
    one.note(
        B,
        PeerMessage::RangeContents { disk_id: 9, reply_wanted: false, ranges: Vec::new(), entries: live },
    );
    let counted = one.queue.message_view(one.now, key).unwrap().replicas;
    assert!(counted.is_empty(), "{counted:?}");
}
