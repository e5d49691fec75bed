//! Tracks the disks of other stores.
//!
//! A store that returns with a different disk has lost the ends that it knew, and the other stores that know them
//! transfer them to other disks. A peer's disk is recorded on this store's disk, and the record is replaced only when
//! that transfer is complete, so that a restart of this store loses neither the peer's previous disk nor an incomplete
//! transfer.

use crate::message::{Millis, Node};
use crate::peer::Peer;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::BTreeMap;

impl Queue {
    /// Restores the disks of other stores that were recorded before this store started. These stores are waited for
    /// like those that hold replicas.
    pub(crate) fn restore_peer_disks(&mut self, now: Millis, peer_disks: BTreeMap<Node, u64>) {
        for (node, disk_id) in &peer_disks {
            let peer = self.peers.entry(*node).or_insert_with(|| Peer::new(now));
            peer.disk = peer.disk.named(*disk_id);
        }
        self.peer_disks = peer_disks;
    }

    /// Handles another store's report of its disk.
    pub(crate) fn disk_identified(&mut self, now: Millis, from: Node, disk_id: u64) {
        let peer = self.peers.entry(from).or_default();
        peer.disk = peer.disk.named(disk_id);
        let known = self.peer_disks.insert(from, disk_id);
        if known == Some(disk_id) {
            return;
        }
        let is_trusted = self.planted(PlantedFault::PeerDisksForgotten) || !self.is_end_holder(from);
        if known.is_none() && is_trusted {
            return self.record_peer_disk(from, Some(disk_id));
        }
        // A store that is listed as a holder of ends is treated as having lost its disk even if no earlier disk is
        // known, because the list may be old.
        tracing::info!(
            node = from,
            "peer has a different disk than before; the ends on its previous disk are lost"
        );
        self.peers.entry(from).or_default().disk_lost_at = Some(now);
        self.holder_lost(from);
    }

    /// Records the current disks of these stores, because the ends that they may have lost are stored on enough disks
    /// again.
    pub(crate) fn record_replaced_disks(&mut self, stores: impl IntoIterator<Item = Node>) {
        for node in stores {
            let is_present = self.peers.get(&node).is_some_and(Peer::is_present);
            if !is_present {
                self.peer_disks.remove(&node);
            }
            self.record_peer_disk(node, self.peer_disks.get(&node).copied());
        }
    }

    fn record_peer_disk(&mut self, node: Node, disk_id: Option<u64>) {
        if !self.planted(PlantedFault::PeerDisksForgotten) {
            self.record(&Record::PeerDiskKnown { node, disk_id }, false);
        }
    }
}
