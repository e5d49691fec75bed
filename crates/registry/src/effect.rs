//! The messages that the registry asks the control node to send.

use crate::messages::{Heartbeat, Member, MembershipUpdate, NodeId};

/// A message for the control node to send. Losing any of them is harmless, because the registry repeats its
/// content later.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryEffect {
    /// Answers a node's long poll.
    SendUpdate {
        /// The node that polled.
        to: NodeId,
        /// The membership update that answers the poll.
        update: MembershipUpdate,
    },
    /// Sends every connected control node the complete list of nodes that have a session here. The list
    /// replaces the previous one.
    BroadcastSessions(Vec<Member>),
    /// Sends executor records to control nodes, regardless of which control node receives the heartbeats. A
    /// control node that has just connected gets the whole table; control nodes of an earlier release get every
    /// heartbeat that arrives here.
    SendHeartbeats {
        /// The control nodes to which the heartbeats are sent.
        to: Vec<NodeId>,
        /// The executors' heartbeats, including those of offline executors.
        heartbeats: Vec<Heartbeat>,
    },
    /// Sends control nodes the executors whose heartbeats arrive at this control node, including those that
    /// have since gone offline.
    SendHeldExecutors {
        /// The receiving control nodes; each relies on this control node to report when these executors go
        /// offline.
        to: Vec<NodeId>,
        /// Heartbeats of the executors that this control node holds or held.
        heartbeats: Vec<Heartbeat>,
    },
    /// Tells a newly connected control node that this one relies on it to report when the executors that it
    /// holds (those whose heartbeats it receives) go offline.
    SayHolderAware {
        /// The newly connected control node that is told.
        to: NodeId,
    },
}
