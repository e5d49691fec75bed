//! Peers: the other stores, as this one knows them.

use crate::message::{Millis, Node};
use crate::outbox::Outbox;
use std::collections::BTreeMap;

/// The other stores, by node identifier.
pub(crate) type Peers = BTreeMap<Node, Peer>;

/// A replica that is not confirmed within this time is requested from another store. The limit is well below the 200 ms
/// after which an edge gives up on a silent store.
pub(crate) const REPLICA_CONFIRM_LIMIT: Millis = 120;

/// Whether a peer is in service, shutting down or retiring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ServiceState {
    /// The peer accepts messages and replicas.
    #[default]
    InService,
    /// The peer is shutting down and accepts nothing more.
    Draining,
    /// The peer is retiring: it accepts nothing more, and no replica there is relied on.
    Retiring,
}

/// Whether the replicas at a peer still count as copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReplicaStatus {
    /// The replicas count: the peer is present, or has not been away for long.
    #[default]
    CountedOn,
    /// The peer is absent and its replicas are recreated elsewhere, but it may return with them: it stays in the replica
    /// lists, and in all other respects counts as before.
    Suspected,
    /// The peer was away for so long that it is taken to be gone for good.
    WrittenOff,
}

/// Whether a peer may hold messages with idempotency keys that no other store knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum KeyHolder {
    /// The peer may hold such messages.
    Counts,
    /// The peer was never connected to this store: the control group lists it, or replica lists on disk name it.
    #[default]
    NeverConnected,
    /// The peer is gone for good: what it held is stored elsewhere by now, or its keys may be used again. This fact is
    /// on disk.
    Gone,
}

/// Whether a peer has lost its disk and does not know yet which messages were on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerRecovery {
    /// The peer has not reported a lost disk on this connection.
    #[default]
    None,
    /// The peer has reported a lost disk on this connection.
    Pending,
}

/// Whether a peer accepts notices of failed attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum FailureNotices {
    /// The peer has not announced on this connection that it accepts such notices. Earlier versions never do.
    #[default]
    Unsupported,
    /// The peer has announced on this connection that it accepts such notices.
    Supported,
}

/// Disk identifiers that a peer has reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerDisk {
    /// The peer has not reported a disk.
    #[default]
    Unnamed,
    /// The peer has always reported this disk.
    First(u64),
    /// The peer reports this disk, and reported a different one before, which is lost.
    Replacement(u64),
}

impl PeerDisk {
    /// The state after the peer has reported the disk `disk_id`.
    pub(crate) fn named(self, disk_id: u64) -> PeerDisk {
        match self {
            PeerDisk::Unnamed => PeerDisk::First(disk_id),
            PeerDisk::First(known) | PeerDisk::Replacement(known) if known == disk_id => self,
            PeerDisk::First(_) | PeerDisk::Replacement(_) => PeerDisk::Replacement(disk_id),
        }
    }

    /// Whether the peer reported a different disk before.
    pub(crate) fn is_replacement(self) -> bool {
        matches!(self, PeerDisk::Replacement(_))
    }
}

/// Another store: its membership, its connection, and what is to be sent to it.
#[derive(Debug, Default)]
pub struct Peer {
    /// Index of the zone that the peer runs in.
    pub(crate) zone: usize,
    /// Whether the control group lists the peer as a member.
    pub(crate) is_member: bool,
    /// Whether a connection to the peer is open.
    pub(crate) is_connected: bool,
    /// Whether the peer has reported, on this connection, all that it knows about the messages that both stores hold.
    pub(crate) is_reconciled: bool,
    /// Time at which the connection to the peer was last opened or lost.
    pub(crate) connection_changed_at: Millis,
    /// Whether the peer accepts messages and replicas.
    pub(crate) service: ServiceState,
    /// Time at which the peer was last notified that this store needs no replica there.
    pub(crate) released_at: Millis,
    /// Time at which the messages owned by the peer were last listed for a takeover.
    pub(crate) orphans_listed_at: Millis,
    /// Whether the replicas at the peer count as copies.
    pub(crate) replica_status: ReplicaStatus,
    /// Whether the peer may be the only holder of messages with idempotency keys.
    pub(crate) key_holder: KeyHolder,
    /// Whether the peer is recovering from the loss of its disk.
    pub(crate) recovery: PeerRecovery,
    /// Whether the peer accepts notices of failed attempts.
    pub(crate) failure_notices: FailureNotices,
    /// The peer's disk, as the peer reported it or as this store had recorded it before its start.
    pub(crate) disk: PeerDisk,
    /// Time at which the peer was last seen to have a different disk than before.
    pub(crate) disk_lost_at: Option<Millis>,
    /// Time at which message digests were last compared with the peer.
    pub(crate) compared_at: Millis,
    /// Time until which other stores are preferred for replicas, because the peer was slow or its disk was full.
    pub(crate) avoided_until: Millis,
    /// Time at which the last message of the peer arrived or its connection was opened.
    pub(crate) last_heard_at: Millis,
    /// Time of acceptance of a message whose replica the peer did not confirm in time. Set while nothing has been
    /// received from the peer since, so that its connection may be dead.
    pub(crate) unresponsive_since: Option<i64>,
    /// Time until which the peer is offered no replica, because it rejected one.
    pub(crate) rejects_replicas_until: Millis,
    /// Items that are sent to the peer at the end of the turn.
    pub(crate) outbox: Outbox,
}

impl Peer {
    /// Creates a peer that was unknown before and that the control group lists. As long as it has never been connected,
    /// the other stores know whether what it holds matters.
    pub(crate) fn listed(now: Millis) -> Peer {
        Peer { connection_changed_at: now, ..Peer::default() }
    }

    /// Creates a peer that is known from disk and is not connected.
    pub(crate) fn new(now: Millis) -> Peer {
        Peer { connection_changed_at: now, key_holder: KeyHolder::Counts, ..Peer::default() }
    }

    /// Whether the peer accepts neither messages nor replicas, because it is shutting down or retiring.
    pub(crate) fn is_draining(&self) -> bool {
        self.service != ServiceState::InService
    }

    /// Whether the peer is retiring.
    pub(crate) fn is_retiring(&self) -> bool {
        self.service == ServiceState::Retiring
    }

    /// Whether the peer may claim shards of idempotency keys: it is connected, in service, and has not lost its disk.
    pub(crate) fn can_hold_shards(&self) -> bool {
        self.is_connected && !self.is_draining() && self.recovery == PeerRecovery::None
    }

    /// Whether a replica may be sent to the peer: it is connected, in service, responsive, and has not just rejected
    /// one.
    pub(crate) fn takes_replicas(&self, now: Millis) -> bool {
        self.is_connected
            && !self.is_draining()
            && self.unresponsive_since.is_none()
            && now >= self.rejects_replicas_until
    }

    /// Whether notices of failed attempts may be sent to the peer.
    pub(crate) fn takes_failure_notices(&self) -> bool {
        self.is_connected && self.failure_notices == FailureNotices::Supported
    }

    /// Notes that a message of the peer has arrived.
    pub(crate) fn record_contact(&mut self, now: Millis) {
        self.last_heard_at = now;
        self.unresponsive_since = None;
    }

    /// Notes that the peer did not confirm in time a replica of a message that was accepted at `accepted_at`.
    pub(crate) fn replica_overdue(&mut self, accepted_at: i64) {
        if (self.last_heard_at as i64) < accepted_at {
            self.unresponsive_since.get_or_insert(accepted_at);
        }
    }

    /// Whether the peer is taken to be gone for good.
    pub(crate) fn is_written_off(&self) -> bool {
        self.replica_status == ReplicaStatus::WrittenOff
    }

    /// Whether the peer is a member or connected, so that its state can still be learned from it.
    pub(crate) fn is_present(&self) -> bool {
        self.is_member || self.is_connected
    }
}
