//! Another store, as this one knows it.

use crate::message::{Millis, Node};
use crate::outbox::Outbox;
use std::collections::BTreeMap;

/// The other stores, by their identifiers.
pub(crate) type Peers = BTreeMap<Node, Peer>;

/// A replica that is not confirmed for so long is requested from another store: well before an edge gives up a silent
/// store (200 ms).
pub(crate) const REPLICA_CONFIRM_LIMIT: Millis = 120;

/// Whether a peer takes part in the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ServiceState {
    /// It accepts messages and replicas.
    #[default]
    InService,
    /// It shuts down, and accepts nothing more.
    Draining,
    /// It is being retired: it accepts nothing more, and no replica there is relied on.
    Retiring,
}

/// Whether the replicas at a peer still count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReplicaStatus {
    /// They count: the peer is there, or not away for long.
    #[default]
    CountedOn,
    /// The peer was away so long that its replicas are made anew elsewhere.
    WrittenOff,
}

/// Another store: its membership, its connection, and what is about to be sent to it.
#[derive(Debug, Default)]
pub struct Peer {
    /// Index of its zone.
    pub(crate) zone: usize,
    /// It is a member, as the control group says.
    pub(crate) is_member: bool,
    /// A connection to it is open.
    pub(crate) is_connected: bool,
    /// It has said, on this connection, all that it knows about the messages that both hold.
    pub(crate) is_reconciled: bool,
    /// When its connection was last opened or lost.
    pub(crate) connection_changed_at: Millis,
    /// Whether it accepts messages.
    pub(crate) service: ServiceState,
    /// When it was last told that this store needs no replica there.
    pub(crate) told_unneeded_at: Millis,
    /// When the messages that it owned were last listed for a takeover.
    pub(crate) orphans_listed_at: Millis,
    /// Whether its replicas count.
    pub(crate) replica_status: ReplicaStatus,
    /// When digests were last compared with it.
    pub(crate) compared_at: Millis,
    /// Until then other stores are preferred for replicas: it was slow, or its disk was full.
    pub(crate) avoided_until: Millis,
    /// Identifies its disk, once it has named it.
    pub(crate) disk_id: Option<u64>,
    /// What it is sent at the end of the turn.
    pub(crate) outbox: Outbox,
}

impl Peer {
    /// A store that has just become known, and is not connected.
    pub(crate) fn new(now: Millis) -> Peer {
        Peer { connection_changed_at: now, ..Peer::default() }
    }

    /// It accepts neither messages nor replicas: it shuts down or is being retired.
    pub(crate) fn is_draining(&self) -> bool {
        self.service != ServiceState::InService
    }

    /// It is being retired.
    pub(crate) fn is_retiring(&self) -> bool {
        self.service == ServiceState::Retiring
    }

    /// Its replicas no longer count.
    pub(crate) fn is_written_off(&self) -> bool {
        self.replica_status == ReplicaStatus::WrittenOff
    }

    /// It is a member or connected: what it knows may still be heard from it.
    pub(crate) fn is_present(&self) -> bool {
        self.is_member || self.is_connected
    }
}
