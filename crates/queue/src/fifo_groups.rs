//! State of the FIFO groups at one store. A group consists of the messages with the same ordering key; the state
//! includes the pending queries about groups to other stores.

use crate::message::{Key, Millis, Node};
use crate::peer_message::{GroupMessage, GroupPosition};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Interval at which a store that holds an earlier message of a group is queried again, in case its notice that the
/// message has ended gets lost.
pub(crate) const GROUP_QUERY_INTERVAL: Millis = 100;

/// A group is remembered for this time after its last message. A store that receives a message of the group later
/// queries the other stores first.
const GROUP_IDLE_LIMIT: Millis = 60_000;

/// Maximum number of messages named in one reply to a group query. The lowest are named, because the querying store
/// waits for those.
const MAX_POSITIONS_PER_REPLY: usize = 64;

/// The messages of one ordering key that this store knows.
#[derive(Debug, Default)]
pub(crate) struct FifoGroup {
    /// Messages of the group that this store holds, as owner or as replicas.
    pub(crate) live: BTreeSet<GroupPosition>,
    /// Messages of the group that only other stores hold.
    pub(crate) elsewhere: BTreeSet<GroupPosition>,
    /// Time at which all other stores had last answered a query about the group.
    pub(crate) queried_at: Option<Millis>,
    /// A query for a due message of the group is waiting for replies.
    pub(crate) is_query_open: bool,
    /// Earliest time of the next query for a due message of the group.
    pub(crate) next_query_at: Millis,
    /// Time at which a message was last added to the group, at this store or at one that has record_announcement it.
    pub(crate) last_used_at: Millis,
}

impl FifoGroup {
    /// The lowest time of acceptance that is after all known messages of the group other than `key`, in milliseconds
    /// since 1970.
    pub(crate) fn time_after_others(&self, key: Key) -> u64 {
        let all = self.live.iter().rev().chain(self.elsewhere.iter().rev());
        let others = all.filter(|other| other.key != key);
        others.map(|other| other.accepted_at_ms + 1).max().unwrap_or(0)
    }

    /// The lowest messages of the group held by this store, except `key`, as named in a reply to a query.
    pub(crate) fn lowest_others(&self, key: Key) -> Vec<GroupPosition> {
        let others = self.live.iter().filter(|other| other.key != key);
        others.take(MAX_POSITIONS_PER_REPLY).copied().collect()
    }

    /// Records the position of a message that another store holds.
    pub(crate) fn set_elsewhere(&mut self, position: GroupPosition) {
        self.remove_elsewhere(position.key);
        self.elsewhere.insert(position);
    }

    /// Removes a message of another store, because it has ended or is now held by this store.
    pub(crate) fn remove_elsewhere(&mut self, key: Key) {
        self.elsewhere.retain(|other| other.key != key);
    }

    /// Whether no message that only other stores hold is known to precede this position.
    pub(crate) fn is_before_elsewhere(&self, position: GroupPosition) -> bool {
        self.elsewhere.first().is_none_or(|other| *other > position)
    }

    /// Whether this position is the lowest of all known messages of the group, here and at other stores.
    fn is_first(&self, position: GroupPosition) -> bool {
        self.live.first() == Some(&position) && self.is_before_elsewhere(position)
    }

    fn is_idle(&self, now: Millis) -> bool {
        self.live.is_empty() && !self.is_query_open && now >= self.last_used_at + GROUP_IDLE_LIMIT
    }
}

/// Why other stores are queried about a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryPurpose {
    /// A new message of the group is about to be stored here.
    Announce,
    /// A message that was not submitted here (taken over, handed over, or read from disk after a restart) is due.
    Start,
}

/// A query that was sent to all connected stores and that some have not answered.
#[derive(Debug)]
pub(crate) struct PendingQuery {
    /// The group's ordering key.
    pub(crate) group: String,
    /// The message for which the query is made.
    pub(crate) key: Key,
    /// Why the other stores are queried.
    pub(crate) purpose: QueryPurpose,
    /// Stores that have not replied yet.
    pub(crate) awaited: BTreeSet<Node>,
    /// Stores that have replied.
    pub(crate) answered: BTreeSet<Node>,
    /// Messages of the group that the replies have named.
    pub(crate) found: BTreeSet<GroupPosition>,
    /// Lower bound for the time of acceptance of a new message, in milliseconds since 1970.
    pub(crate) min_accepted_at_ms: u64,
    /// Messages that other stores have record_announcement since the query was sent. A reply sent before the announcement does
    /// not cancel it.
    pub(crate) announced_meanwhile: BTreeSet<GroupPosition>,
}

impl PendingQuery {
    /// Creates a query to which no store has replied yet.
    pub(crate) fn new(
        group: String,
        key: Key,
        purpose: QueryPurpose,
        awaited: BTreeSet<Node>,
    ) -> PendingQuery {
        PendingQuery {
            group,
            key,
            purpose,
            awaited,
            answered: BTreeSet::new(),
            found: BTreeSet::new(),
            min_accepted_at_ms: 0,
            announced_meanwhile: BTreeSet::new(),
        }
    }

    fn record_announcement(&mut self, position: GroupPosition) {
        self.announced_meanwhile.retain(|other| other.key != position.key);
        self.announced_meanwhile.insert(position);
    }
}

/// All FIFO groups that this store knows.
#[derive(Debug, Default)]
pub(crate) struct FifoGroups {
    groups: HashMap<String, FifoGroup>,
    pending_queries: HashMap<u64, PendingQuery>,
    last_query_id: u64,
    /// Groups whose first message may have changed; they are examined in this turn.
    changed_groups: BTreeSet<String>,
    /// Groups to examine again, each with the time at which this is done.
    delayed_groups: BTreeSet<(Millis, String)>,
    /// Ended messages that were record_announcement to other stores, which are to be notified.
    ended: Vec<GroupMessage>,
    idle_checks: VecDeque<(Millis, String)>,
    /// Time at which the membership or a connection last changed. What was learned before it may be outdated.
    pub(crate) peers_changed_at: Millis,
}

impl FifoGroups {
    /// Returns the group, creating it if it is unknown.
    pub(crate) fn group_mut(&mut self, name: &str) -> &mut FifoGroup {
        if !self.groups.contains_key(name) {
            self.groups.insert(name.to_string(), FifoGroup::default());
            self.idle_checks.push_back((GROUP_IDLE_LIMIT, name.to_string()));
        }
        self.groups.entry(name.to_string()).or_default()
    }

    /// Records that this store holds a message at this position of its group.
    pub(crate) fn insert(&mut self, name: &str, position: GroupPosition) {
        let group = self.group_mut(name);
        group.remove_elsewhere(position.key);
        group.live.insert(position);
    }

    /// Removes a message that this store no longer holds, or no longer holds at this position. With `notify_peers` the
    /// message has ended and the other stores that remember it are notified.
    pub(crate) fn remove(&mut self, name: &str, position: GroupPosition, notify_peers: bool) {
        self.group_mut(name).live.remove(&position);
        self.mark_changed(name.to_string());
        if notify_peers {
            self.ended.push(GroupMessage { group: name.to_string(), key: position.key });
        }
    }

    /// Whether no message of the group is known to precede this position.
    pub(crate) fn is_first(&self, name: &str, position: GroupPosition) -> bool {
        self.groups.get(name).is_none_or(|group| group.is_first(position))
    }

    /// Time at which the next group is to be examined again.
    pub(crate) fn next_check_at(&self) -> Millis {
        self.delayed_groups.first().map_or(Millis::MAX, |(at, _)| *at)
    }

    /// Whether all other stores have answered a query about the group since the membership or a connection last
    /// changed.
    pub(crate) fn is_current(&self, name: &str) -> bool {
        let queried_at = self.groups.get(name).and_then(|group| group.queried_at);
        queried_at.is_some_and(|at| at > self.peers_changed_at)
    }

    /// Marks a group whose first message may have changed.
    pub(crate) fn mark_changed(&mut self, name: String) {
        self.changed_groups.insert(name);
    }

    /// Schedules another examination of the group at the time `at`.
    pub(crate) fn check_later(&mut self, at: Millis, name: String) {
        self.delayed_groups.insert((at, name));
    }

    /// Returns the identifier for the next query.
    pub(crate) fn next_query_id(&mut self) -> u64 {
        self.last_query_id += 1;
        self.last_query_id
    }

    /// Records a query that was sent.
    pub(crate) fn open_query(&mut self, query_id: u64, query: PendingQuery) {
        self.pending_queries.insert(query_id, query);
    }

    /// Identifiers of all queries that some stores have not answered.
    pub(crate) fn pending_query_ids(&self) -> Vec<u64> {
        self.pending_queries.keys().copied().collect()
    }

    /// Returns a query that some stores have not answered.
    pub(crate) fn pending_query_mut(&mut self, query_id: u64) -> Option<&mut PendingQuery> {
        self.pending_queries.get_mut(&query_id)
    }

    /// Removes and returns a query once no more replies to it are awaited.
    pub(crate) fn take_answered_query(&mut self, query_id: u64) -> Option<PendingQuery> {
        self.pending_queries.get(&query_id).filter(|query| query.awaited.is_empty())?;
        self.pending_queries.remove(&query_id)
    }

    /// Records a message of the group that another store has record_announcement.
    pub(crate) fn record_announcement(&mut self, name: &str, position: GroupPosition) {
        self.group_mut(name).set_elsewhere(position);
        for query in self.pending_queries.values_mut().filter(|query| query.group == name) {
            query.record_announcement(position);
        }
        self.mark_changed(name.to_string());
    }

    /// Takes the ended messages that other stores remember and have to be notified of.
    pub(crate) fn take_ended(&mut self) -> Vec<GroupMessage> {
        std::mem::take(&mut self.ended)
    }

    /// Marks the groups as changed whose scheduled time has come.
    pub(crate) fn mark_due(&mut self, now: Millis) {
        while self.delayed_groups.first().is_some_and(|(at, _)| *at <= now) {
            let (_, name) = self.delayed_groups.pop_first().unwrap_or_default();
            self.changed_groups.insert(name);
        }
    }

    /// Takes the next changed group that has messages at this store, and returns the first of these messages.
    pub(crate) fn pop_changed(&mut self) -> Option<Key> {
        while let Some(name) = self.changed_groups.pop_first() {
            let first = self.groups.get(&name).and_then(|group| group.live.first());
            if let Some(position) = first {
                return Some(position.key);
            }
        }
        None
    }

    /// Removes groups that have not been used for [`GROUP_IDLE_LIMIT`], with what is known of other stores' messages in
    /// them. The store that accepts the next message of the group queries the others first.
    pub(crate) fn forget_idle(&mut self, now: Millis) {
        while self.idle_checks.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, name)) = self.idle_checks.pop_front() else { break };
            let Some(group) = self.groups.get(&name) else { continue };
            if group.is_idle(now) {
                self.groups.remove(&name);
            } else {
                self.idle_checks.push_back((now + GROUP_IDLE_LIMIT, name));
            }
        }
    }
}
