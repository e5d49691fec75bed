//! Messages in order: of one FIFO group each message starts when all that were accepted before it was sent have ended.
//!
//! All stores see one order, by [`GroupPosition`]. The time in it is raised at the store beyond all that is known of the
//! group when a message is put, so that clocks of edges don't matter. Edges choose the store for a group by
//! [`preferred_store`]. A store that is not the preferred one, or has not queried the others since its peers changed, queries
//! them *before* it stores the message: they name what they know of the group, and remember the new message. So whoever
//! takes the next one knows of this one, wherever it is. A message that came in another way (taken over, handed over, read
//! from disk) causes a query before it starts. No message waits for a higher one, so no two wait for each other.

use crate::effect::Effect;
use crate::entry::Stage;
use crate::fifo_groups::{PendingQuery, QueryPurpose, GROUP_QUERY_INTERVAL};
use crate::message::{Key, Millis, Node};
use crate::peer::Peer;
use crate::peer_message::{GroupMessage, GroupPosition, PeerMessage};
use crate::pending_writes::PendingWrite;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::BTreeSet;

/// A query of another store about a FIFO group: the fields of [`PeerMessage::GroupQuery`].
pub(crate) struct ReceivedQuery {
    /// Identifies the query in its answer.
    pub(crate) query_id: u64,
    /// The group's ordering key.
    pub(crate) group: String,
    /// The message for which the sender asks, and its position.
    pub(crate) position: GroupPosition,
    /// The sender is about to store that message.
    pub(crate) is_announcement: bool,
}

/// The store, among those given, at which messages of a FIFO group are put.
///
/// Rendezvous hashing: each store is as likely as the others, and few groups move when one goes (Thaler and Ravishankar,
/// 1998).
pub fn preferred_store(group: &str, nodes: impl Iterator<Item = Node>) -> Option<Node> {
    nodes.max_by_key(|node| stileroute_dispatch::types::mark(&format!("{group}/{node}")))
}

impl Queue {
    fn connected_peers(&self) -> BTreeSet<Node> {
        self.peers.iter().filter(|(_, peer)| peer.is_connected).map(|(node, _)| *node).collect()
    }

    /// This store knows all messages of the group: it is the one where all edges would put them, knows all stores that might
    /// have another, and has queried them.
    fn knows_group(&self, group: &str) -> bool {
        let members = || self.peers.iter().filter(|(_, peer)| peer.is_member);
        let nodes = members().map(|(node, _)| *node).chain([self.settings.node]);
        self.knows_members
            && self.control_contact.is_heard
            && members().all(|(_, peer)| peer.is_connected && !peer.is_draining())
            && preferred_store(group, nodes) == Some(self.settings.node)
            && self.ordering.is_current(group)
    }

    /// Places a new message in its FIFO group, if it has one. True: it may be persisted at once; else other stores are queried
    /// first.
    pub(crate) fn place_in_group(&mut self, now: Millis, key: Key) -> bool {
        let Some(name) = self.entries.get(&key).and_then(|entry| entry.message.ordering_key.clone()) else {
            return true;
        };
        let group = self.ordering.group_mut(&name);
        group.last_used_at = now;
        let min_accepted_at_ms = group.time_after_others(key);
        let knows_group = self.knows_group(&name);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.message.accepted_at_ms = entry.message.accepted_at_ms.max(min_accepted_at_ms);
            entry.order.is_confirmed = true;
            entry.order.awaits_answers = !knows_group;
        }
        self.reindex(key);
        if knows_group {
            return true;
        }
        // With no store to query it is persisted by this call already.
        self.query_group(now, name, key, QueryPurpose::Announce);
        false
    }

    fn query_group(&mut self, now: Millis, group: String, key: Key, purpose: QueryPurpose) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let accepted_at_ms = entry.message.accepted_at_ms;
        let is_announcement = purpose == QueryPurpose::Announce;
        entry.order.is_announced |= is_announcement;
        let query_id = self.ordering.next_query_id();
        let awaited = self.connected_peers();
        for to in &awaited {
            let message = PeerMessage::GroupQuery {
                query_id,
                group: group.clone(),
                accepted_at_ms,
                key,
                is_announcement,
            };
            self.emit(Effect::Send { to: *to, message });
        }
        self.ordering.open_query(query_id, PendingQuery::new(group, key, purpose, awaited));
        self.finish_query(now, query_id);
    }

    /// Another store queries a group, and may announce a message that it is about to store.
    pub(crate) fn answer_group_query(&mut self, now: Millis, from: Node, query: ReceivedQuery) {
        let ReceivedQuery { query_id, group: name, position, is_announcement } = query;
        let key = position.key;
        let group = self.ordering.group_mut(&name);
        group.last_used_at = now;
        // What is known when it is first heard of comes before it; what comes later is put behind it.
        let is_known = group.elsewhere.iter().any(|other| other.key == key);
        let min_accepted_at_ms = if is_known || !is_announcement { 0 } else { group.time_after_others(key) };
        let live = group.lowest_others(key);
        if is_announcement && !self.entries.contains_key(&key) {
            self.ordering.record_announcement(&name, position);
        }
        let message = PeerMessage::GroupQueryReply { query_id, min_accepted_at_ms, live };
        self.emit(Effect::Send { to: from, message });
    }

    /// Another store has answered a query.
    pub(crate) fn group_query_answered(
        &mut self,
        now: Millis,
        from: Node,
        query_id: u64,
        min_accepted_at_ms: u64,
        live: Vec<GroupPosition>,
    ) {
        let Some(query) = self.ordering.pending_query_mut(query_id) else { return };
        query.awaited.remove(&from);
        query.answered.insert(from);
        query.min_accepted_at_ms = query.min_accepted_at_ms.max(min_accepted_at_ms);
        query.found.extend(live);
        self.finish_query(now, query_id);
    }

    /// A store can't answer any more: what it had lies with its replicas, whose stores are queried too.
    pub(crate) fn stop_awaiting_answers_of(&mut self, now: Millis, node: Node) {
        self.ordering.peers_changed_at = now;
        for query_id in self.ordering.pending_query_ids() {
            let query = self.ordering.pending_query_mut(query_id);
            if query.is_some_and(|query| query.awaited.remove(&node)) {
                self.finish_query(now, query_id);
            }
        }
    }

    /// Enough stores have answered to know all accepted messages of a group: an accepted message lies on one store more than
    /// `replica_count`, so if no more than `replica_count` stores are silent, each is named.
    fn is_quorum(&self, answered: &BTreeSet<Node>) -> bool {
        let may_know = |peer: &Peer| peer.is_member || !peer.is_written_off();
        let silent = self.peers.iter().filter(|(node, peer)| may_know(peer) && !answered.contains(node));
        silent.count() <= self.settings.replica_count && self.knows_members
    }

    /// Acts on the answers to a query once none is awaited any more.
    fn finish_query(&mut self, now: Millis, query_id: u64) {
        let Some(query) = self.ordering.take_answered_query(query_id) else { return };
        let has_quorum = self.is_quorum(&query.answered);
        let group = self.ordering.group_mut(&query.group);
        if has_quorum {
            group.queried_at = Some(now);
            group.next_query_at = now + GROUP_QUERY_INTERVAL;
            if query.purpose == QueryPurpose::Start {
                group.is_query_open = false;
            }
            self.apply_answers(now, query);
        } else if query.purpose == QueryPurpose::Start {
            group.is_query_open = false;
            group.next_query_at = now + GROUP_QUERY_INTERVAL;
            group.elsewhere.extend(query.announced_meanwhile);
            self.ordering.check_later(now + GROUP_QUERY_INTERVAL, query.group);
        }
        // Without a quorum a new message is rolled back soon, and its edge asks another store.
    }

    fn apply_answers(&mut self, now: Millis, query: PendingQuery) {
        let PendingQuery {
            group: name, key, purpose, found, min_accepted_at_ms, announced_meanwhile, ..
        } = query;
        let Some(entry) = self.entries.get_mut(&key) else {
            self.ordering.mark_changed(name);
            return;
        };
        let is_new = purpose == QueryPurpose::Announce;
        let is_moved = is_new && min_accepted_at_ms > entry.message.accepted_at_ms;
        if is_moved {
            entry.message.accepted_at_ms = min_accepted_at_ms;
        }
        entry.order.is_confirmed = true;
        let position = GroupPosition { accepted_at_ms: entry.message.accepted_at_ms, key };
        // Earlier ones that no store names have ended. Of later ones nothing is known by that: those that came
        // since then and were record_announcement here wait for them.
        let group = self.ordering.group_mut(&name);
        group.elsewhere.retain(|other| is_new || *other > position);
        let known = found.into_iter().chain(announced_meanwhile);
        group.elsewhere.extend(known.filter(|other| !self.entries.contains_key(&other.key)));
        self.ordering.mark_changed(name.clone());
        if is_moved {
            // The others learn its new position before it is stored, and put what comes next behind it.
            self.reindex(key);
            self.query_group(now, name, key, QueryPurpose::Announce);
        } else if is_new {
            self.persist_new_message(now, key);
        }
    }

    /// The position of a new message is known: it is stored, here and at its replicas.
    pub(crate) fn persist_new_message(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.stage == Stage::Persisting) else {
            return;
        };
        entry.order.awaits_answers = false;
        let replicas = entry.replicas.clone();
        let Some(replica) = self.replicated_message(now, key) else { return };
        self.record(&Record::Put { replica: replica.clone() }, true);
        self.after_write(PendingWrite::Ownership(key));
        for to in replicas {
            self.send_replica(to, replica.clone());
        }
    }

    /// Whether a message that is due may start, as far as its group goes. If not, it is scheduled again when that changes.
    pub(crate) fn may_start(&mut self, now: Millis, key: Key) -> bool {
        let Some(entry) = self.entries.get(&key) else { return false };
        let Some(name) = entry.message.ordering_key.clone() else { return true };
        let position = GroupPosition { accepted_at_ms: entry.message.accepted_at_ms, key };
        let is_order_confirmed = entry.order.is_confirmed;
        let group = self.ordering.group_mut(&name);
        if group.live.first() != Some(&position) {
            return false;
        }
        if is_order_confirmed && group.is_before_elsewhere(position) {
            return true;
        }
        if group.is_query_open {
            return false;
        }
        if now >= group.next_query_at {
            group.is_query_open = true;
            self.query_group(now, name, key, QueryPurpose::Start);
        } else {
            let next_query_at = group.next_query_at;
            self.ordering.check_later(next_query_at, name);
        }
        false
    }

    /// Messages that another store had record_announcement have ended.
    pub(crate) fn group_messages_ended(&mut self, ended: Vec<GroupMessage>) {
        for GroupMessage { group, key } in ended {
            self.ordering.group_mut(&group).remove_elsewhere(key);
            self.ordering.mark_changed(group);
        }
    }

    /// Starts what comes next in groups that have changed, and tells others what has ended.
    pub(crate) fn advance_groups(&mut self, now: Millis) {
        let ended = self.ordering.take_ended();
        if !ended.is_empty() {
            for to in self.connected_peers() {
                self.emit(Effect::Send { to, message: PeerMessage::GroupMessagesEnded(ended.clone()) });
            }
        }
        self.ordering.mark_due(now);
        while let Some(key) = self.ordering.pop_changed() {
            if self.entries.get(&key).is_some_and(|entry| entry.owner == self.settings.node) {
                self.schedule(now, key);
            }
        }
        self.ordering.forget_idle(now);
    }
}
