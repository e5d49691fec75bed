//! Guards against a message of a FIFO group that starts before an earlier one has ended, because the store of the later one
//! was told to drop its replica of the earlier one. The earlier message may still be live at other stores.

mod simulation;
mod support;

use simulation::START_WALL_CLOCK_MS;
use stileroute_queue::*;
use support::*;

const GROUP: &str = "row\0g";

fn group_message(accepted_at_ms: u64) -> Message {
    Message { ordering_key: Some(GROUP.into()), accepted_at_ms, ..message("row") }
}

/// Answers the group queries among these effects in the name of both other stores, which hold these messages.
fn answer_queries(one: &mut SingleStore, effects: &[Effect], live: &[GroupPosition]) -> Vec<Effect> {
    let mut answered = Vec::new();
    for effect in effects {
        let Effect::Send { to, message: PeerMessage::GroupQuery { query_id, .. } } = effect else { continue };
        let reply =
            PeerMessage::GroupQueryReply { query_id: *query_id, min_accepted_at_ms: 0, live: live.to_vec() };
        answered.extend(one.receive(*to, reply));
    }
    answered
}

#[test]
fn a_message_waits_for_an_earlier_one_of_its_group_whose_replica_here_is_dropped() {
    let mut one = SingleStore::ready(StateTable::default());
    let earlier = ReplicatedMessage {
        message: group_message(START_WALL_CLOCK_MS),
        ..replicated_message(B, vec![ME, C])
    };
    let position = GroupPosition { accepted_at_ms: START_WALL_CLOCK_MS, key: earlier.key };
    one.receive(B, PeerMessage::Replicate(vec![earlier]));
    let queries = one.put(1, group_message(START_WALL_CLOCK_MS + 1));
    let persisted = answer_queries(&mut one, &queries, &[position]);
    let (later, to) = *replicas_sent(&persisted).first().expect("the later message is replicated");
    assert!(attempts(&one.receive(to, PeerMessage::Replicated(vec![later]))).is_empty());

    let mut effects = one.receive(B, PeerMessage::Drop(vec![position.key]));
    effects.extend(one.pass(200));
    assert!(attempts(&effects).is_empty(), "the earlier message may be live at another store");
    let mut effects = answer_queries(&mut one, &effects, &[position]);
    effects.extend(one.pass(200));
    assert!(attempts(&effects).is_empty(), "the earlier message is live at another store");
    let started = answer_queries(&mut one, &effects, &[]);
    assert_eq!(attempts(&started).len(), 1, "no store names the earlier message any more");
}
