//! The polls of nodes that have not been answered yet.

use crate::messages::{Millis, NodeId, NodeRole};
use std::collections::{BTreeSet, HashMap};

/// A poll for which there is nothing new is answered after so long; the node then polls again at once.
pub const LONG_POLL_TIMEOUT: Millis = 900;
/// A poll is answered after so long if this node does not hear the primary, so that the poller turns to another control node.
pub const PARTITIONED_POLL_TIMEOUT: Millis = 300;

/// A node's question for what is new to it.
pub struct Poll {
    /// The incarnation of the control node that gave `version`; 0 if the node has had no update.
    pub incarnation: u64,
    /// The version that the node has.
    pub version: u64,
    /// The version of the configuration that the node has.
    pub config_version: u64,
    pub received: Millis,
    pub role: NodeRole,
}

/// All that can make an answer to a waiting poll possible. While it is the same, only new polls and time-outs are looked at.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct AnswerableState {
    pub members_changed_in: u64,
    pub executors_changed_in: u64,
    pub config_version: u64,
    pub is_ready: bool,
    pub is_contact_fresh: bool,
}

/// The waiting polls, at most one of each node.
#[derive(Default)]
pub struct PendingPolls {
    polls: HashMap<NodeId, Poll>,
    by_arrival: BTreeSet<(Millis, NodeId)>,
    /// Those that came since they were looked at last.
    unexamined: Vec<NodeId>,
    /// The state in which all were looked at last.
    examined_state: AnswerableState,
}

impl PendingPolls {
    /// Adds a poll, in place of an earlier one of the same node.
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

    /// The nodes whose polls are due, of which one may be there twice. `is_due` must say so of every poll that is older than
    /// `timeout`; all polls are looked at only if the state has changed.
    pub fn due(
        &mut self,
        now: Millis,
        timeout: Millis,
        state: AnswerableState,
        is_due: impl Fn(&Poll) -> bool,
    ) -> Vec<NodeId> {
        let new = std::mem::take(&mut self.unexamined);
        let examined = std::mem::replace(&mut self.examined_state, state);
        if examined != state {
            return self.polls.iter().filter(|(_, poll)| is_due(poll)).map(|(node, _)| *node).collect();
        }
        let timed_out = self.by_arrival.iter().take_while(|(received, _)| now >= received + timeout);
        let candidates = timed_out.map(|(_, node)| *node).chain(new);
        candidates.filter(|node| self.polls.get(node).is_some_and(&is_due)).collect()
    }

    /// When the oldest poll times out; far in the future if there is none.
    pub fn next_timeout(&self) -> Millis {
        self.by_arrival.first().map_or(Millis::MAX, |(received, _)| received + LONG_POLL_TIMEOUT)
    }
}
