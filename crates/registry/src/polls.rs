//! Long polls of nodes that have not been answered yet.

use crate::messages::{Millis, NodeId, NodeRole};
use std::collections::{BTreeSet, HashMap};

/// A poll for which nothing new arrives is answered after this time; the node then polls again at once.
pub const LONG_POLL_TIMEOUT: Millis = 900;
/// Poll time-out while this control node does not hear the primary. It is shorter than `LONG_POLL_TIMEOUT`, so
/// that the polling node soon turns to another control node.
pub const PARTITIONED_POLL_TIMEOUT: Millis = 300;

/// A node's request for everything that has changed since its last update.
pub struct Poll {
    /// The incarnation of the control node that issued `version`; 0 if the node has not had an update.
    pub incarnation: u64,
    /// The registry version that the node has.
    pub version: u64,
    /// The version of the configuration that the node has.
    pub config_version: u64,
    pub received: Millis,
    pub role: NodeRole,
}

/// All state that can make a waiting poll answerable. While it is unchanged, only new and timed-out polls are
/// examined.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct AnswerableState {
    pub members_version: u64,
    pub executors_version: u64,
    pub config_version: u64,
    pub is_ready: bool,
    pub is_contact_fresh: bool,
}

/// The waiting polls, at most one for each node.
#[derive(Default)]
pub struct PendingPolls {
    polls: HashMap<NodeId, Poll>,
    by_arrival: BTreeSet<(Millis, NodeId)>,
    /// Nodes whose polls have arrived since the last examination.
    unexamined: Vec<NodeId>,
    /// The state for which all polls were last examined.
    examined_state: AnswerableState,
}

impl PendingPolls {
    /// Adds a poll; it replaces an earlier one of the same node.
    pub fn insert(&mut self, node: NodeId, poll: Poll) {
        let received = poll.received;
        if let Some(earlier) = self.polls.insert(node, poll) {
            self.by_arrival.remove(&(earlier.received, node));
        }
        self.by_arrival.insert((received, node));
        self.unexamined.push(node);
    }

    pub fn remove(&mut self, node: NodeId) -> Option<Poll> {
        let poll = self.polls.remove(&node)?;
        self.by_arrival.remove(&(poll.received, node));
        Some(poll)
    }

    /// Returns the nodes whose polls are due; a node may occur twice. `is_due` must return true for every poll
    /// that is at least `timeout` old. All polls are examined only if `state` has changed since the last call.
    pub fn due(
        &mut self,
        now: Millis,
        timeout: Millis,
        state: AnswerableState,
        is_due: impl Fn(&Poll) -> bool,
    ) -> Vec<NodeId> {
        let new_nodes = std::mem::take(&mut self.unexamined);
        let examined = std::mem::replace(&mut self.examined_state, state);
        if examined != state {
            return self.polls.iter().filter(|(_, poll)| is_due(poll)).map(|(node, _)| *node).collect();
        }
        let timed_out = self.by_arrival.iter().take_while(|(received, _)| now >= received + timeout);
        let candidates = timed_out.map(|(_, node)| *node).chain(new_nodes);
        candidates.filter(|node| self.polls.get(node).is_some_and(&is_due)).collect()
    }

    /// When the oldest poll times out; `Millis::MAX` if no poll is waiting.
    pub fn next_timeout(&self) -> Millis {
        self.by_arrival.first().map_or(Millis::MAX, |(received, _)| received + LONG_POLL_TIMEOUT)
    }
}
