//! The messages between control nodes. Their order and fields are the wire format: see `tests/encoding.rs`.

use crate::{ControlState, Millis, Rank, View};
use serde::{Deserialize, Serialize};

/// A message from one control node to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To all voters: a candidate, or a primary that changes the membership, asks them to grant a view.
    Propose {
        /// Its primary is the sender.
        view: View,
        /// The primary of the epoch before has stepped down and named the sender, so its lease need not run out first.
        by_handover: bool,
    },
    /// The sender has this view on disk. The epoch alone would not name it: a candidate that lost power may propose another view
    /// of the same epoch.
    Granted {
        /// The view as it was proposed.
        view: View,
    },
    /// The sender did not grant what was proposed, or the receiver acts by an old view.
    Denied {
        /// The newest view that the sender knows.
        view: View,
    },
    /// From the primary: write this value to disk.
    Store {
        /// Of the primary's view.
        epoch: u64,
        /// Names the write in the answer.
        write_id: u64,
        /// The value.
        state: ControlState,
    },
    /// The value is on the sender's disk.
    Stored {
        /// As in [`Message::Store`].
        epoch: u64,
        /// As in [`Message::Store`].
        write_id: u64,
    },
    /// From the primary to all voters and learners.
    Heartbeat(Heartbeat),
    /// The answer to a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// The primary has stepped down and names the receiver as the next candidate.
    Handover {
        /// Of the view by which the sender was primary.
        epoch: u64,
        /// The sender's process ends; else it steps down for another reason, such as a failing disk.
        is_shutting_down: bool,
    },
    /// A voter's process ends, and the group is one larger than it needs to be: it asks to be removed.
    Leave {
        /// Of the sender's view.
        epoch: u64,
    },
    /// Asks for the receiver's view.
    ViewRequest,
    /// The view that the sender knows or has proposed; also sent unasked.
    ViewReply {
        /// None: the sender has lost its view too.
        view: Option<View>,
    },
    /// Asks for the value that is committed at the receiver.
    StateRequest,
    /// The value that is committed at the sender.
    StateReply {
        /// The value.
        state: ControlState,
    },
}

/// A primary's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Of the primary's view.
    pub epoch: u64,
    /// By the primary's clock. An acknowledgement returns it, and renews the lease from then on.
    pub sent_at: Millis,
    /// The rank of the value that is committed at the primary.
    pub committed: Rank,
    /// The digest of that value.
    pub committed_digest: u64,
    /// The `sent_at` of the last heartbeat that the receiver has acknowledged; none if the primary has not got the lease.
    pub last_acked: Option<Millis>,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// Of the heartbeat.
    pub epoch: u64,
    /// Of the heartbeat, by the primary's clock.
    pub sent_at: Millis,
    /// The sender grants nothing to others for a grace period, so this counts for the primary's lease.
    pub is_voting: bool,
    /// The sender has a value on disk. Without one it may be named as a replica, but has to be filled first.
    pub has_state: bool,
}
