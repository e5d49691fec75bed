//! What one store knows of the FIFO groups: the messages of the same ordering key, and the queries about them to other stores.

use crate::message::{Key, Millis, Node};
use crate::peer_message::{GroupMessage, GroupPosition};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// While another store holds an earlier message, it is queried again so often, should its word that it has ended get lost.
pub(crate) const GROUP_QUERY_INTERVAL: Millis = 100;

/// A group is remembered so long after its last message: whoever adds one later queries the others first.
const GROUP_IDLE_LIMIT: Millis = 60_000;

/// Messages that are named in one answer at the most: the lowest, for those are what the asking store waits for.
const MAX_POSITIONS_PER_REPLY: usize = 64;

/// The messages of one ordering key, as far as this store knows.
#[derive(Debug, Default)]
pub(crate) struct FifoGroup {
    /// Messages that lie here: owned or replicas.
    pub(crate) live: BTreeSet<GroupPosition>,
    /// Messages that only other stores hold.
    pub(crate) elsewhere: BTreeSet<GroupPosition>,
    /// When all other stores had last answered a query.
    pub(crate) queried_at: Option<Millis>,
    /// A query for a message that is due waits for answers.
    pub(crate) is_query_open: bool,
    /// The next query for a message that is due is sent no earlier.
    pub(crate) next_query_at: Millis,
    /// When a message was last added, here or at a store that has announced it.
    pub(crate) last_used_at: Millis,
}

impl FifoGroup {
    /// The time beyond all messages that are known but this one.
    pub(crate) fn time_after_others(&self, key: Key) -> u64 {
        let all = self.live.iter().rev().chain(self.elsewhere.iter().rev());
        let others = all.filter(|other| other.key != key);
        others.map(|other| other.accepted_at_ms + 1).max().unwrap_or(0)
    }

    /// The lowest messages that lie here, but this one: what an answer to a query names.
    pub(crate) fn lowest_others(&self, key: Key) -> Vec<GroupPosition> {
        let others = self.live.iter().filter(|other| other.key != key);
        others.take(MAX_POSITIONS_PER_REPLY).copied().collect()
    }

    /// A message at another store has this position now.
    pub(crate) fn set_elsewhere(&mut self, position: GroupPosition) {
        self.remove_elsewhere(position.key);
        self.elsewhere.insert(position);
    }

    /// A message at another store has ended, or lies here now.
    pub(crate) fn remove_elsewhere(&mut self, key: Key) {
        self.elsewhere.retain(|other| other.key != key);
    }

    /// No message elsewhere is known to come before this position.
    pub(crate) fn is_before_elsewhere(&self, position: GroupPosition) -> bool {
        self.elsewhere.first().is_none_or(|other| *other > position)
    }

    /// This position is the lowest of all that are known, here and elsewhere.
    fn is_first(&self, position: GroupPosition) -> bool {
        self.live.first() == Some(&position) && self.is_before_elsewhere(position)
    }

    fn is_idle(&self, now: Millis) -> bool {
        self.live.is_empty() && !self.is_query_open && now >= self.last_used_at + GROUP_IDLE_LIMIT
    }
}

/// Why the other stores are queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryPurpose {
    /// A new message is about to be stored here.
    Announce,
    /// A message that came another way (takeover, handover, restart) is due.
    Start,
}

/// A query to all connected stores that has not been answered by all.
#[derive(Debug)]
pub(crate) struct PendingQuery {
    /// The group's ordering key.
    pub(crate) group: String,
    /// The message for which the others are asked.
    pub(crate) key: Key,
    /// Why they are asked.
    pub(crate) purpose: QueryPurpose,
    /// Stores whose answers are awaited.
    pub(crate) awaited: BTreeSet<Node>,
    /// Stores that have answered.
    pub(crate) answered: BTreeSet<Node>,
    /// Messages that they have named.
    pub(crate) found: BTreeSet<GroupPosition>,
    /// A new message is to be placed no earlier.
    pub(crate) min_accepted_at_ms: u64,
    /// Messages that others have announced meanwhile: an answer from before does not undo that.
    pub(crate) announced_meanwhile: BTreeSet<GroupPosition>,
}

impl PendingQuery {
    /// A query of which no store has been heard yet.
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

    fn announced(&mut self, position: GroupPosition) {
        self.announced_meanwhile.retain(|other| other.key != position.key);
        self.announced_meanwhile.insert(position);
    }
}

/// All FIFO groups that this store knows of.
#[derive(Debug, Default)]
pub(crate) struct FifoGroups {
    groups: HashMap<String, FifoGroup>,
    pending_queries: HashMap<u64, PendingQuery>,
    last_query_id: u64,
    /// Groups in which a message may have become the first: looked at in this turn.
    changed_groups: BTreeSet<String>,
    /// Groups that are looked at again at a given time.
    delayed_groups: BTreeSet<(Millis, String)>,
    /// Messages that have ended and were announced to others.
    ended: Vec<GroupMessage>,
    idle_checks: VecDeque<(Millis, String)>,
    /// When members or connections last changed: what was learned before that may be outdated.
    pub(crate) peers_changed_at: Millis,
}

impl FifoGroups {
    /// The group, which is created if it is not known.
    pub(crate) fn group_mut(&mut self, name: &str) -> &mut FifoGroup {
        if !self.groups.contains_key(name) {
            self.groups.insert(name.to_string(), FifoGroup::default());
            self.idle_checks.push_back((GROUP_IDLE_LIMIT, name.to_string()));
        }
        self.groups.entry(name.to_string()).or_default()
    }

    /// A message lies here, at this position of its group.
    pub(crate) fn insert(&mut self, name: &str, position: GroupPosition) {
        let group = self.group_mut(name);
        group.remove_elsewhere(position.key);
        group.live.insert(position);
    }

    /// A message does not lie here any more, or not at this position. `tell_others`: it has ended, and others remember it.
    pub(crate) fn remove(&mut self, name: &str, position: GroupPosition, tell_others: bool) {
        self.group_mut(name).live.remove(&position);
        self.mark_changed(name.to_string());
        if tell_others {
            self.ended.push(GroupMessage { group: name.to_string(), key: position.key });
        }
    }

    /// No message of the group is known to come before this position.
    pub(crate) fn is_first(&self, name: &str, position: GroupPosition) -> bool {
        self.groups.get(name).is_none_or(|group| group.is_first(position))
    }

    /// When a group is to be looked at again.
    pub(crate) fn next_check_at(&self) -> Millis {
        self.delayed_groups.first().map_or(Millis::MAX, |(at, _)| *at)
    }

    /// All other stores have answered a query about the group since members or connections last changed.
    pub(crate) fn is_current(&self, name: &str) -> bool {
        let queried_at = self.groups.get(name).and_then(|group| group.queried_at);
        queried_at.is_some_and(|at| at > self.peers_changed_at)
    }

    /// A message of the group may have become the first.
    pub(crate) fn mark_changed(&mut self, name: String) {
        self.changed_groups.insert(name);
    }

    /// The group is looked at again at that time.
    pub(crate) fn check_later(&mut self, at: Millis, name: String) {
        self.delayed_groups.insert((at, name));
    }

    /// The identifier for the next query.
    pub(crate) fn next_query_id(&mut self) -> u64 {
        self.last_query_id += 1;
        self.last_query_id
    }

    /// A query was sent.
    pub(crate) fn open_query(&mut self, query_id: u64, query: PendingQuery) {
        self.pending_queries.insert(query_id, query);
    }

    /// The identifiers of all queries that are not answered by all.
    pub(crate) fn pending_query_ids(&self) -> Vec<u64> {
        self.pending_queries.keys().copied().collect()
    }

    /// A query that is not answered by all.
    pub(crate) fn pending_query_mut(&mut self, query_id: u64) -> Option<&mut PendingQuery> {
        self.pending_queries.get_mut(&query_id)
    }

    /// Takes a query once no answer to it is awaited.
    pub(crate) fn take_answered_query(&mut self, query_id: u64) -> Option<PendingQuery> {
        self.pending_queries.get(&query_id).filter(|query| query.awaited.is_empty())?;
        self.pending_queries.remove(&query_id)
    }

    /// Another store has announced a message of the group.
    pub(crate) fn announced(&mut self, name: &str, position: GroupPosition) {
        self.group_mut(name).set_elsewhere(position);
        for query in self.pending_queries.values_mut().filter(|query| query.group == name) {
            query.announced(position);
        }
        self.mark_changed(name.to_string());
    }

    /// Takes the messages that have ended and that others remember.
    pub(crate) fn take_ended(&mut self) -> Vec<GroupMessage> {
        std::mem::take(&mut self.ended)
    }

    /// Marks the groups as changed whose time has come.
    pub(crate) fn mark_due(&mut self, now: Millis) {
        while self.delayed_groups.first().is_some_and(|(at, _)| *at <= now) {
            let (_, name) = self.delayed_groups.pop_first().unwrap_or_default();
            self.changed_groups.insert(name);
        }
    }

    /// Takes the next changed group that has messages here, and gives the first of these.
    pub(crate) fn pop_changed(&mut self) -> Option<Key> {
        while let Some(name) = self.changed_groups.pop_first() {
            let first = self.groups.get(&name).and_then(|group| group.live.first());
            if let Some(position) = first {
                return Some(position.key);
            }
        }
        None
    }

    /// Forgets groups that were not used for long. What is remembered of other stores' messages goes too: whoever puts the
    /// next message here queries them first.
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
