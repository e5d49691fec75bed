//! On how many lasting disks a message, or the end of one, lies: decided here alone, for repair, retirement, the transfer of ends
//! and the metrics. A copy counts only where its holder has confirmed it with the disk that it has now, and is neither being
//! retired nor written off.

use crate::entry::Entry;
use crate::message::Node;
use crate::peer::Peer;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

/// What lies on too few disks, as one store knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingCopies {
    /// Messages that have not ended, or whose callback is pending: those owned here, and those whose owner has lost them with its
    /// disk and which nobody has taken over yet.
    pub messages: usize,
    /// Ends known here.
    pub ends: usize,
}

impl Queue {
    /// What lies on too few disks now. While either number is above zero the next loss of a disk may lose something.
    pub fn missing_copies(&self) -> MissingCopies {
        MissingCopies {
            messages: self.under_replicated.len() + self.lost_by_owner.len(),
            ends: self.end_replication.under_replicated.len(),
        }
    }

    /// Whether the loss of one more disk is tolerated, for all that this store knows: nothing lies on too few disks, and all stores
    /// whose copies count have said since they were last connected what they hold.
    pub fn is_fully_replicated(&self) -> bool {
        let mut counted = self.peers.values().filter(|peer| peer.is_member || !peer.is_written_off());
        self.missing_copies() == MissingCopies::default()
            && self.knows_members
            && self.are_shards_safe()
            && self.orphans.is_empty()
            && counted.all(|peer| peer.is_connected && peer.is_reconciled)
            && self.owned_here().all(|(_, entry)| self.lasting_replicas(entry) >= self.settings.replica_count)
    }

    /// Whether copies at another store count.
    pub(crate) fn counts_copies_at(&self, node: Node) -> bool {
        let is_gone = |peer: &Peer| peer.is_written_off() && !self.planted(PlantedFault::GoneReplicasCounted);
        self.peers.get(&node).is_some_and(|peer| !peer.is_retiring() && !is_gone(peer))
    }

    /// The replicas of a message that count, those not confirmed yet among them.
    pub(crate) fn lasting_replicas(&self, entry: &Entry) -> usize {
        entry.replicas.iter().filter(|node| self.counts_copies_at(**node)).count()
    }

    /// The other stores that hold the end of a message, and count.
    pub(crate) fn lasting_holders(&self, entry: &Entry) -> usize {
        entry.other_holders(self.settings.node).filter(|node| self.counts_copies_at(*node)).count()
    }

    /// The end of a message, and nothing else of it, is kept, and lies on too few disks.
    pub(crate) fn is_end_under_replicated(&self, entry: &Entry) -> bool {
        entry.is_settled() && self.lasting_holders(entry) < self.settings.replica_count
    }

    /// Whether a store that was to hold a message may not hold it now: it has not confirmed its copy, or has lost a disk since the
    /// message was accepted.
    pub(crate) fn is_holder_uncertain(&self, entry: &Entry, node: Node) -> bool {
        let disk_lost_at = self.peers.get(&node).and_then(|peer| peer.disk_lost_at);
        entry.unconfirmed.contains(&node) || disk_lost_at.is_some_and(|at| entry.accepted_at <= at as i64)
    }
}
