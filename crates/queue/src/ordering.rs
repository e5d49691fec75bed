//! Ordered delivery: a message of a FIFO group starts only when all messages of the group that were accepted before it
//! was sent have ended.
//!
//! All stores use the same order, given by [`GroupPosition`]. When a message is put, the store raises the time in its
//! position beyond all known messages of the group, so that the clocks of edges do not matter. Edges choose the store
//! for a group with [`preferred_store`]. A store that is not the preferred one, or has not queried the other stores
//! since its peers changed, queries them before it stores the message: they report what they know of the group and
//! remember the new message. Whichever store accepts the next message therefore knows of this one, wherever it is
//! stored. For a message that was taken over, handed over or read from disk, the other stores are queried before it
//! starts. No message waits for one with a higher position, so no two messages wait for each other.

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

/// A query from another store about a FIFO group: the fields of [`PeerMessage::GroupQuery`].
pub(crate) struct ReceivedQuery {
    /// Identifies the query in the reply.
    pub(crate) query_id: u64,
    /// The group's ordering key.
    pub(crate) group: String,
    /// Key and position of the message for which the query is made.
    pub(crate) position: GroupPosition,
    /// Whether the sender is about to store that message.
    pub(crate) is_announcement: bool,
}

/// The store at which messages of a FIFO group are put, among the given stores.
///
/// Rendezvous hashing: each store is equally likely, and few groups move when a store leaves (Thaler and Ravishankar,
/// 1998).
pub fn preferred_store(group: &str, nodes: impl Iterator<Item = Node>) -> Option<Node> {
    nodes.max_by_key(|node| stileroute_dispatch::types::name_hash(&format!("{group}/{node}")))
}

impl Queue {
    fn connected_peers(&self) -> BTreeSet<Node> {
        self.peers.iter().filter(|(_, peer)| peer.is_connected).map(|(node, _)| *node).collect()
    }

    /// Whether this store knows all messages of the group: it is the preferred store for the group at all edges, knows
    /// all stores that might hold other messages of the group, and has queried them.
    fn knows_group(&self, group: &str) -> bool {
        let members = || self.peers.iter().filter(|(_, peer)| peer.is_member);
        let nodes = members().map(|(node, _)| *node).chain([self.settings.node]);
        self.knows_members
            && self.control_contact.is_reachable
            && members().all(|(_, peer)| peer.is_connected && !peer.is_draining())
            && preferred_store(group, nodes) == Some(self.settings.node)
            && self.ordering.is_current(group)
    }

    /// Assigns a new message its position in its FIFO group, if it has one. Returns true if the message may be
    /// persisted at once, and false if other stores are queried first.
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
        // If there is no store to query, this call persists the message already.
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

    /// Answers a group query of another store, which may announce a message that it is about to store.
    pub(crate) fn answer_group_query(&mut self, now: Millis, from: Node, query: ReceivedQuery) {
        let ReceivedQuery { query_id, group: name, position, is_announcement } = query;
        let key = position.key;
        let group = self.ordering.group_mut(&name);
        group.last_used_at = now;
        // Messages that are known when a message is first announced precede it; later ones are placed after it.
        let is_known = group.elsewhere.iter().any(|other| other.key == key);
        let min_accepted_at_ms = if is_known || !is_announcement { 0 } else { group.time_after_others(key) };
        let live = group.lowest_others(key);
        if is_announcement && !self.entries.contains_key(&key) {
            self.ordering.record_announcement(&name, position);
        }
        let message = PeerMessage::GroupQueryReply { query_id, min_accepted_at_ms, live };
        self.emit(Effect::Send { to: from, message });
    }

    /// Handles the reply of another store to a query.
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

    /// Stops waiting for replies of a store that cannot answer any more. The stores with replicas of its messages are
    /// queried too.
    pub(crate) fn stop_awaiting_answers_of(&mut self, now: Millis, node: Node) {
        self.ordering.peers_changed_at = now;
        for query_id in self.ordering.pending_query_ids() {
            let query = self.ordering.pending_query_mut(query_id);
            if query.is_some_and(|query| query.awaited.remove(&node)) {
                self.finish_query(now, query_id);
            }
        }
    }

    /// Whether enough stores have answered to know all accepted messages of a group. An accepted message is stored on
    /// `replica_count` + 1 stores, so if no more than `replica_count` stores have not answered, each accepted message
    /// is named in a reply.
    fn is_quorum(&self, answered: &BTreeSet<Node>) -> bool {
        let may_know = |peer: &Peer| peer.is_member || !peer.is_written_off();
        let silent = self.peers.iter().filter(|(node, peer)| may_know(peer) && !answered.contains(node));
        silent.count() <= self.settings.replica_count && self.knows_members
    }

    /// Acts on the replies to a query once no more replies are awaited.
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
            self.apply_replies(now, query);
        } else if query.purpose == QueryPurpose::Start {
            group.is_query_open = false;
            group.next_query_at = now + GROUP_QUERY_INTERVAL;
            group.elsewhere.extend(query.announced_meanwhile);
            self.ordering.check_later(now + GROUP_QUERY_INTERVAL, query.group);
        }
        // A new message without a quorum is rolled back when its time limit passes, and its edge asks another store.
    }

    fn apply_replies(&mut self, now: Millis, query: PendingQuery) {
        let PendingQuery {
            group: name, key, purpose, found, min_accepted_at_ms, announced_meanwhile, ..
        } = query;
        let Some(entry) = self.entries.get_mut(&key) else {
            self.ordering.mark_changed(name);
            return;
        };
        let is_new = purpose == QueryPurpose::Announce;
        let is_raised = is_new && min_accepted_at_ms > entry.message.accepted_at_ms;
        if is_raised {
            entry.message.accepted_at_ms = min_accepted_at_ms;
        }
        entry.order.is_confirmed = true;
        let position = GroupPosition { accepted_at_ms: entry.message.accepted_at_ms, key };
        // Earlier messages that no store names have ended. This says nothing about later messages: those announced here
        // since the query wait for the earlier ones.
        let group = self.ordering.group_mut(&name);
        group.elsewhere.retain(|other| is_new || *other > position);
        let known = found.into_iter().chain(announced_meanwhile);
        group.elsewhere.extend(known.filter(|other| !self.entries.contains_key(&other.key)));
        self.ordering.mark_changed(name.clone());
        if is_raised {
            // The other stores learn the new position before the message is stored, and place later messages after it.
            self.reindex(key);
            self.query_group(now, name, key, QueryPurpose::Announce);
        } else if is_new {
            self.persist_new_message(now, key);
        }
    }

    /// Persists a new message whose position is known, at this store and at the stores that hold its replicas.
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

    /// Whether its FIFO group allows a due message to start. If not, the message is scheduled again when that changes.
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

    /// Removes messages from their groups that another store had announced and reports as ended.
    pub(crate) fn group_messages_ended(&mut self, ended: Vec<GroupMessage>) {
        for GroupMessage { group, key } in ended {
            self.ordering.group_mut(&group).remove_elsewhere(key);
            self.ordering.mark_changed(group);
        }
    }

    /// Schedules the next message in groups that have changed, and notifies other stores of ended messages.
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
