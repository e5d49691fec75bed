//! The messages between control nodes. The order of variants and fields is the wire format: see `tests/encoding.rs`.

use crate::{ControlState, Millis, Rank, View};
use serde::{Deserialize, Serialize};

/// A message from one control node to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks a voter to grant a view. Sent to all voters by a candidate, or by a primary that changes the membership.
    Propose {
        /// The proposed view. Its primary is the sender.
        view: View,
        /// Whether the primary of the previous epoch has stepped down and named the sender, so that its lease need not expire
        /// first.
        by_handover: bool,
    },
    /// The sender has written this view to disk. The message carries the whole view because the epoch does not identify it: a
    /// candidate that lost power may propose a different view with the same epoch.
    Granted {
        /// The granted view, as it was proposed.
        view: View,
    },
    /// The sender did not grant the proposed view, or the receiver is acting under an old view.
    Denied {
        /// The newest view that the sender knows.
        view: View,
    },
    /// The primary asks the receiver to write this control state to disk.
    Store {
        /// The epoch of the primary's view.
        epoch: u64,
        /// Identifies the write in the answer.
        write_id: u64,
        /// The control state to write.
        state: ControlState,
    },
    /// The control state of a [`Message::Store`] is on the sender's disk.
    Stored {
        /// The epoch of the [`Message::Store`] that this answers.
        epoch: u64,
        /// The number of the write that this answers.
        write_id: u64,
    },
    /// A heartbeat, sent by the primary to all voters and learners.
    Heartbeat(Heartbeat),
    /// A voter's or learner's answer to the primary's heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// The primary has stepped down and names the receiver as the next candidate.
    Handover {
        /// The epoch of the view in which the sender was primary.
        epoch: u64,
        /// Whether the sender's process is shutting down. If false, it stepped down for another reason, such as a failing disk.
        is_shutting_down: bool,
    },
    /// A voter whose process is shutting down asks to be removed, because the group has one voter more than it needs.
    Leave {
        /// The epoch of the sender's view.
        epoch: u64,
    },
    /// Asks for the view that the receiver knows or proposes.
    ViewRequest,
    /// The view that the sender knows or has proposed. Also sent without a request.
    ViewReply {
        /// The sender's view; `None` if the sender does not know a view either.
        view: Option<View>,
    },
    /// Asks for the control state that is committed at the receiver.
    StateRequest,
    /// The control state that is committed at the sender.
    StateReply {
        /// The committed control state.
        state: ControlState,
    },
}

/// A primary's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The epoch of the primary's view.
    pub epoch: u64,
    /// When the heartbeat was sent, by the primary's clock. The acknowledgement returns this time, and the renewed lease counts
    /// from it.
    pub sent_at: Millis,
    /// The rank of the control state that is committed at the primary.
    pub committed: Rank,
    /// The digest of the control state that is committed at the primary.
    pub committed_digest: u64,
    /// The `sent_at` of the last heartbeat that the receiver has acknowledged; `None` if there is none or the primary does not
    /// hold the lease.
    pub last_acked: Option<Millis>,
}

/// A voter's or learner's answer to the primary's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// The epoch of the acknowledged heartbeat.
    pub epoch: u64,
    /// The `sent_at` of the acknowledged heartbeat, by the primary's clock.
    pub sent_at: Millis,
    /// Whether the sender grants no view to other nodes for a grace period, so that this acknowledgement counts for the
    /// primary's lease.
    pub is_voting: bool,
    /// Whether the sender has a control state on disk. A node without one may be named as a replica, but the primary has to send
    /// it the value first.
    pub has_state: bool,
}
