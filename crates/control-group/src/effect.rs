//! The effects that the state machine asks its caller to carry out.

use crate::{ControlState, Message, NodeId, Record};
use serde::{Deserialize, Serialize};

/// An action for the caller. Effects have to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send a message. It may be lost, but messages to one node must not be reordered.
    Send {
        /// The receiver: another control node, never this one.
        to: NodeId,
        /// The message to send.
        message: Message,
    },
    /// Append the record to the log and sync it, then call [`ControlGroup::persisted`](crate::ControlGroup::persisted).
    Persist {
        /// Identifies the record; to be passed to [`ControlGroup::persisted`](crate::ControlGroup::persisted).
        ticket: u64,
        /// The record to write.
        record: Record,
    },
    /// The answer to a call that changes the state, or to a read that this node may not serve.
    Answer {
        /// The ticket that the caller passed with the request.
        ticket: u64,
        /// The result of the request.
        verdict: Verdict,
    },
    /// The answer to a read of the control state.
    ReadAnswer {
        /// The ticket that the caller passed with the read.
        ticket: u64,
        /// The committed control state; `None` if no configuration has been submitted yet.
        state: Option<ControlState>,
    },
    /// The value of [`ControlGroup::committed`](crate::ControlGroup::committed) has changed.
    Committed {
        /// The serial of the newly committed control state.
        serial: u64,
    },
    /// The node's role, or the membership under which it leads, has changed. The caller logs it.
    RoleChanged {
        /// The epoch of the view to which the change refers.
        epoch: u64,
        /// The kind of change.
        change: RoleChange,
    },
    /// The process may exit: leadership is handed over, and the node is no longer a voter that the group needs.
    ReadyToExit,
}

/// The result of an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The change is on all replicas and committed.
    Accepted,
    /// The current control state already contains this change or a newer one; the request is acknowledged and nothing is
    /// changed.
    Unchanged,
    /// This node is not the primary.
    NotPrimary {
        /// The primary to ask instead, as far as this node knows it.
        primary: Option<NodeId>,
    },
    /// The change may be committed already, or may still be committed later.
    Uncertain,
    /// The change is not committed and will not be, unless it is submitted again.
    NotCommitted,
}

/// A change of a node's role, or of the membership under which it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoleChange {
    /// The node proposes itself as primary.
    BecameCandidate,
    /// A majority has granted the node's view.
    BecamePrimary,
    /// The node was candidate or primary, and is now a backup.
    SteppedDown,
    /// A majority has granted the primary a view with other replicas or voters, or with the same ones under its own epoch.
    MembershipChanged,
}

impl RoleChange {
    /// The text for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RoleChange::BecameCandidate => "became candidate",
            RoleChange::BecamePrimary => "became primary",
            RoleChange::SteppedDown => "stepped down",
            RoleChange::MembershipChanged => "membership changed",
        }
    }
}
