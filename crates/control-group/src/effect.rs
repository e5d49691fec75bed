//! What the state machine wants its caller to do.

use crate::{ControlState, Message, NodeId, Record};
use serde::{Deserialize, Serialize};

/// Something the caller has to do, in the order in which effects come out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send a message. It may get lost; messages to one node must not overtake each other.
    Send {
        /// Another control node, never this one.
        to: NodeId,
        /// What to send.
        message: Message,
    },
    /// Append the record to the log and sync it, then call [`ControlGroup::persisted`](crate::ControlGroup::persisted).
    Persist {
        /// To be handed back.
        ticket: u64,
        /// What to write.
        record: Record,
    },
    /// The answer to a call that changes the state, or to a read that this node may not serve.
    Answer {
        /// As the caller gave it.
        ticket: u64,
        /// How the call ended.
        verdict: Verdict,
    },
    /// The answer to a read.
    ReadAnswer {
        /// As the caller gave it.
        ticket: u64,
        /// None: no configuration has been submitted yet.
        state: Option<ControlState>,
    },
    /// [`ControlGroup::committed`](crate::ControlGroup::committed) has another value.
    Committed {
        /// Of the value.
        serial: u64,
    },
    /// The node's role, or the membership by which it leads, has changed; for the log.
    RoleChanged {
        /// Of the view that it is about.
        epoch: u64,
        /// What changed.
        change: RoleChange,
    },
    /// Leadership is handed over, and the node is no voter that is missed: the process may exit.
    ReadyToExit,
}

/// How an operator's call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It is on all replicas, and committed.
    Accepted,
    /// The present value has it, or something newer: acknowledged, and nothing is changed.
    Unchanged,
    /// This node does not decide.
    NotPrimary {
        /// Whom to ask instead, as far as is known here.
        primary: Option<NodeId>,
    },
    /// It may be committed, or may yet be.
    Uncertain,
    /// It is not committed and will not be, unless it is sent again.
    NotCommitted,
}

/// A change of a node's role, or of the membership by which it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoleChange {
    /// It proposes itself as primary.
    BecameCandidate,
    /// A majority has granted its view.
    BecamePrimary,
    /// It was candidate or primary, and is a backup now.
    SteppedDown,
    /// A majority has granted the primary other replicas or voters, or the same ones under its own epoch.
    MembershipChanged,
}

impl RoleChange {
    /// The words for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RoleChange::BecameCandidate => "became candidate",
            RoleChange::BecamePrimary => "became primary",
            RoleChange::SteppedDown => "stepped down",
            RoleChange::MembershipChanged => "membership changed",
        }
    }
}
