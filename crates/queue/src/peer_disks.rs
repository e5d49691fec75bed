//! The disks of other stores. A store that is back with another disk has lost the ends that it knew, and those that knew them
//! with it transfer them to other disks. So that a restart of this store forgets neither the disk that the other had before
//! nor a transfer that is not complete, the disk is recorded, and recorded anew only when the transfer is.

use crate::message::{Millis, Node};
use crate::peer::Peer;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use std::collections::BTreeMap;

impl Queue {
    /// Enters the disks that were known before this store started. Their stores are waited for as those that hold replicas.
    pub(crate) fn restore_peer_disks(&mut self, now: Millis, peer_disks: BTreeMap<Node, u64>) {
        for (node, disk_id) in &peer_disks {
            let peer = self.peers.entry(*node).or_insert_with(|| Peer::new(now));
            peer.disk = peer.disk.named(*disk_id);
        }
        self.peer_disks = peer_disks;
    }

    /// Another store has identified its disk.
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
        // Also where nothing is known of an earlier disk, and the store is said to hold ends: by whom it was said may be long ago.
        tracing::info!(node = from, "a store is back with another disk");
        self.peers.entry(from).or_default().disk_lost_at = Some(now);
        self.holder_lost(from);
    }

    /// The ends that these stores may have lost lie on enough disks: from now on the disks that they have now are known.
    pub(crate) fn record_replaced_disks(&mut self, stores: impl IntoIterator<Item = Node>) {
        for node in stores {
            let is_there = self.peers.get(&node).is_some_and(Peer::is_present);
            if !is_there {
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
