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

/// Whether messages with idempotency keys may lie at a peer that no other store knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum KeyHolder {
    /// They may.
    Counts,
    /// It was never connected to this store: the control group lists it, or lists of replicas on the disk name it.
    #[default]
    Unheard,
    /// It is gone for good: what it held lies elsewhere by now, or its keys may be used again. That is on disk.
    Gone,
}

/// Whether a peer has lost its disk, and does not know yet which messages lay there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerRecovery {
    /// It has not said so on this connection.
    #[default]
    None,
    /// It has.
    Pending,
}

/// Whether a peer takes notices of failed attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum FailureNotices {
    /// It has not said so on this connection; an earlier version never does.
    #[default]
    Unsupported,
    /// It has.
    Supported,
}

/// Which disks a peer has named.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerDisk {
    /// None.
    #[default]
    Unnamed,
    /// Always the same one.
    First(u64),
    /// This one, and another one before: that is lost.
    Replacement(u64),
}

impl PeerDisk {
    /// What is known once the peer has named this disk.
    pub(crate) fn named(self, disk_id: u64) -> PeerDisk {
        match self {
            PeerDisk::Unnamed => PeerDisk::First(disk_id),
            PeerDisk::First(known) | PeerDisk::Replacement(known) if known == disk_id => self,
            PeerDisk::First(_) | PeerDisk::Replacement(_) => PeerDisk::Replacement(disk_id),
        }
    }

    /// Another disk was known before.
    pub(crate) fn is_replacement(self) -> bool {
        matches!(self, PeerDisk::Replacement(_))
    }
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
    /// When it was last sent that this store needs no replica there.
    pub(crate) released_at: Millis,
    /// When the messages that it owned were last listed for a takeover.
    pub(crate) orphans_listed_at: Millis,
    /// Whether its replicas count.
    pub(crate) replica_status: ReplicaStatus,
    /// Whether messages with idempotency keys may lie there alone.
    pub(crate) key_holder: KeyHolder,
    /// Whether it recovers from the loss of its disk.
    pub(crate) recovery: PeerRecovery,
    /// Whether it takes notices of failed attempts.
    pub(crate) failure_notices: FailureNotices,
    /// Its disk, as it has named it, or as this store had recorded it before its start.
    pub(crate) disk: PeerDisk,
    /// When it was last seen to have another disk than before.
    pub(crate) disk_lost_at: Option<Millis>,
    /// When digests were last compared with it.
    pub(crate) compared_at: Millis,
    /// Until then other stores are preferred for replicas: it was slow, or its disk was full.
    pub(crate) avoided_until: Millis,
    /// When a message of it came last, or its connection was opened.
    pub(crate) last_heard_at: Millis,
    /// A replica of a message accepted at that time was not confirmed in time, and the store has not been heard since: its
    /// connection may be dead.
    pub(crate) unresponsive_since: Option<i64>,
    /// It refused a replica, and is not offered another before then.
    pub(crate) refuses_until: Millis,
    /// What it is sent at the end of the turn.
    pub(crate) outbox: Outbox,
}

impl Peer {
    /// A store that was not known before, and that the control group lists: as long as it is never connected it is others that know
    /// whether what it holds matters.
    pub(crate) fn listed(now: Millis) -> Peer {
        Peer { connection_changed_at: now, ..Peer::default() }
    }

    /// A store that is known from the disk, and is not connected.
    pub(crate) fn new(now: Millis) -> Peer {
        Peer { connection_changed_at: now, key_holder: KeyHolder::Counts, ..Peer::default() }
    }

    /// It accepts neither messages nor replicas: it shuts down or is being retired.
    pub(crate) fn is_draining(&self) -> bool {
        self.service != ServiceState::InService
    }

    /// It is being retired.
    pub(crate) fn is_retiring(&self) -> bool {
        self.service == ServiceState::Retiring
    }

    /// It may claim shards of idempotency keys: it is connected, in service, and has not lost its disk.
    pub(crate) fn can_hold_shards(&self) -> bool {
        self.is_connected && !self.is_draining() && self.recovery == PeerRecovery::None
    }

    /// A replica may be sent to it: it is connected, in service, and neither silent nor known to refuse.
    pub(crate) fn takes_replicas(&self, now: Millis) -> bool {
        self.is_connected
            && !self.is_draining()
            && self.unresponsive_since.is_none()
            && now >= self.refuses_until
    }

    /// Notices of failed attempts may be sent to it.
    pub(crate) fn takes_failure_notices(&self) -> bool {
        self.is_connected && self.failure_notices == FailureNotices::Supported
    }

    /// Notes that a message of it has come.
    pub(crate) fn heard(&mut self, now: Millis) {
        self.last_heard_at = now;
        self.unresponsive_since = None;
    }

    /// A replica sent to it, of a message that was accepted at that time, was not confirmed in time.
    pub(crate) fn replica_overdue(&mut self, accepted_at: i64) {
        if (self.last_heard_at as i64) < accepted_at {
            self.unresponsive_since.get_or_insert(accepted_at);
        }
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
