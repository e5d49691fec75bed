//! What a registry asks its program to send.

use crate::messages::{Heartbeat, Member, MembershipUpdate, NodeId};

/// A message that the program has to send. Any of them may be lost: what it says is said again.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryEffect {
    /// Answer a node's poll.
    SendUpdate {
        /// The node that polled.
        to: NodeId,
        /// The answer.
        update: MembershipUpdate,
    },
    /// Tell every connected control node which nodes have a session here; the list replaces the one before.
    BroadcastSessions(Vec<Member>),
    /// Tell every connected control node of executors that sent heartbeats here.
    BroadcastHeartbeats(Vec<Heartbeat>),
    /// Tell one control node, which has just connected, of all executors.
    SendHeartbeats {
        /// The control node.
        to: NodeId,
        /// All that are known, those that are offline too.
        heartbeats: Vec<Heartbeat>,
    },
}
