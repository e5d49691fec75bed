//! Counts the disks that hold a message or its recorded end. Repair, retirement, the transfer of ends and the metrics
//! all use these functions.
//!
//! A replica counts only if its holder has confirmed it with the disk it has now, and if the holder is neither retiring
//! nor absent for so long that its replicas are recreated elsewhere.

use crate::entry::Entry;
use crate::message::Node;
use crate::peer::{Peer, ReplicaStatus};
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

/// Numbers of messages and ends that are stored on too few disks, as known to one store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingReplicas {
    /// Messages that have not ended, or whose callback is pending: those owned by this store, and those whose owner
    /// lost them with its disk and that no store has taken over yet.
    pub messages: usize,
    /// Ended messages known to this store.
    pub ends: usize,
}

impl Queue {
    /// Counts what is stored on too few disks now. While either number is above zero, the next loss of a disk may lose
    /// data.
    pub fn missing_replicas(&self) -> MissingReplicas {
        MissingReplicas {
            messages: self.under_replicated.len() + self.lost_by_owner.len(),
            ends: self.end_replication.under_replicated.len(),
        }
    }

    /// Whether the loss of one more disk would be tolerated, as far as this store knows: nothing is stored on too few
    /// disks, and every store whose replicas count has reported what it holds since it last connected.
    pub fn is_fully_replicated(&self) -> bool {
        let mut counted = self.peers.values().filter(|peer| peer.is_member || !peer.is_written_off());
        self.missing_replicas() == MissingReplicas::default()
            && self.knows_members
            && self.are_shards_safe()
            && self.orphans.is_empty()
            && counted.all(|peer| peer.is_connected && peer.is_reconciled)
            && self.owned_here().all(|(_, entry)| self.counted_replicas(entry) >= self.settings.replica_count)
    }

    /// Whether replicas stored at another store count: it is neither retiring, nor absent for so long that they are
    /// recreated elsewhere.
    pub(crate) fn counts_replicas_at(&self, node: Node) -> bool {
        let is_planted = self.planted(PlantedFault::GoneReplicasCounted);
        let is_counted = |peer: &Peer| peer.replica_status == ReplicaStatus::CountedOn || is_planted;
        self.peers.get(&node).is_some_and(|peer| !peer.is_retiring() && is_counted(peer))
    }

    /// Whether replicas stored at another store may count again: it is neither retiring nor written off.
    pub(crate) fn may_count_replicas_at(&self, node: Node) -> bool {
        let is_planted = self.planted(PlantedFault::GoneReplicasCounted);
        let may_count = |peer: &Peer| !peer.is_written_off() || is_planted;
        self.peers.get(&node).is_some_and(|peer| !peer.is_retiring() && may_count(peer))
    }

    /// Whether another store is absent for so long that its replicas are recreated elsewhere, and may still return.
    pub(crate) fn is_suspected(&self, node: Node) -> bool {
        self.peers.get(&node).is_some_and(|peer| peer.replica_status == ReplicaStatus::Suspected)
    }

    /// Whether confirmations of replicas are awaited. That of a store that is suspected is not: it may return with it.
    pub(crate) fn awaits_replicas(&self, entry: &Entry) -> bool {
        entry.unconfirmed.iter().any(|node| !self.is_suspected(*node))
    }

    /// Whether enough replicas of a message are confirmed by stores whose replicas count, and no further confirmation
    /// is awaited.
    pub(crate) fn has_enough_replicas(&self, entry: &Entry) -> bool {
        self.counted_replicas(entry) >= self.settings.replica_count && !self.awaits_replicas(entry)
    }

    /// Number of replicas of a message at stores whose replicas count, including replicas that are not confirmed yet.
    pub(crate) fn counted_replicas(&self, entry: &Entry) -> usize {
        entry.replicas.iter().filter(|node| self.counts_replicas_at(**node)).count()
    }

    /// Number of other stores that hold the end of a message and whose replicas count.
    pub(crate) fn counted_holders(&self, entry: &Entry) -> usize {
        entry.other_holders(self.settings.node).filter(|node| self.counts_replicas_at(*node)).count()
    }

    /// Whether only the end of this message is kept and is stored on too few disks.
    pub(crate) fn is_end_under_replicated(&self, entry: &Entry) -> bool {
        entry.is_settled() && self.counted_holders(entry) < self.settings.replica_count
    }

    /// Whether a store that was to hold a message may not hold it now, because it has not confirmed its replica or has
    /// lost a disk since the message was accepted.
    pub(crate) fn is_holder_uncertain(&self, entry: &Entry, node: Node) -> bool {
        let disk_lost_at = self.peers.get(&node).and_then(|peer| peer.disk_lost_at);
        entry.unconfirmed.contains(&node) || disk_lost_at.is_some_and(|at| entry.accepted_at <= at as i64)
    }
}
