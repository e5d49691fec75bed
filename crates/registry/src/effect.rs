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
    /// Tell control nodes of executors, wherever these send their heartbeats: one that has just connected of all, and those of an
    /// earlier version of each heartbeat.
    SendHeartbeats {
        /// The control nodes.
        to: Vec<NodeId>,
        /// The executors, those that are offline too.
        heartbeats: Vec<Heartbeat>,
    },
    /// Tell control nodes of executors that send their heartbeats here, or have done so and are offline.
    SendHeldExecutors {
        /// Control nodes that take this one's word for it.
        to: Vec<NodeId>,
        /// The executors.
        heartbeats: Vec<Heartbeat>,
    },
    /// Tell a control node that has just connected that its word is taken for the executors that it holds.
    SayHolderAware {
        /// The control node.
        to: NodeId,
    },
}
