//! Transfer of ends to other stores. Ends are known on as many disks as messages lie on: before a store that retires is gone,
//! so many others have the ends that it knows; and when a store is lost for good, or back with another disk, those that knew
//! ends together with it transfer them. Else a question within the time that states are kept would be answered as if there
//! had been no such message.

use crate::effect::Effect;
use crate::entry::{Entry, Stage};
use crate::message::{End, Key, Message, Millis, Node, ReplicatedMessage};
use crate::peer::Peer;
use crate::peer_message::{PeerMessage, TransferredEnd};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use crate::repair_budget::REPAIR_BYTES_PER_SECOND;
use std::collections::BTreeMap;

/// Bytes at each check, of which there are four a second: the rate of repair.
const MAX_BYTES_PER_CHECK: u64 = REPAIR_BYTES_PER_SECOND / 4;

/// Estimated bytes of an end beside the body of a message that failed.
const END_OVERHEAD_BYTES: u64 = 80;

impl Queue {
    /// Transfers, at a bounded rate, the ends that too few other stores have confirmed.
    pub(crate) fn transfer_ends(&mut self, now: Millis) {
        let is_wanted = self.is_retiring() || self.end_replication.has_lost_stores();
        if self.end_replication.is_complete() || !is_wanted || self.planted(PlantedFault::EndsGoAlong) {
            return;
        }
        let is_able = |peer: &Peer| peer.is_member && peer.is_connected && !peer.is_draining();
        let able = self.peers.iter().filter(|(_, peer)| is_able(peer));
        let stores: Vec<Node> = able.map(|(node, _)| *node).collect();
        // A retiring store counts for none of the disks.
        let own_disk = usize::from(self.is_retiring());
        let wanted = stores.len().min(self.settings.replica_count + own_disk);
        if wanted == 0 {
            return;
        }
        let mut is_complete = true;
        let mut bytes = 0;
        let mut batches: BTreeMap<Node, Vec<TransferredEnd>> = BTreeMap::new();
        for (key, entry) in self.entries.iter().filter(|(_, entry)| self.is_end_transferred(entry)) {
            let confirmed = stores.iter().filter(|node| self.end_replication.is_confirmed(**node, *key));
            let lacking = wanted.saturating_sub(confirmed.count());
            if lacking == 0 {
                continue;
            }
            is_complete = false;
            for to in self.end_receivers(now, *key, entry, &stores, lacking) {
                if bytes < MAX_BYTES_PER_CHECK {
                    bytes += END_OVERHEAD_BYTES + entry.message.body.len() as u64;
                    batches.entry(to).or_default().extend(transferred_end(*key, entry));
                }
            }
        }
        if is_complete {
            let restored = self.end_replication.complete(self.is_retiring());
            let ends_sent = self.metrics.ends_transferred;
            tracing::info!(stores = ?restored, ends_sent, "the ends that a lost store knew are on enough disks again");
            self.record_replaced_disks(restored);
        }
        for (to, ends) in batches {
            self.end_replication.mark_sent(now, to, &ends);
            self.metrics.ends_transferred += ends.len() as u64;
            self.emit(Effect::Send { to, message: PeerMessage::TransferEnds(ends) });
        }
    }

    fn is_end_transferred(&self, entry: &Entry) -> bool {
        let is_concerned =
            || self.is_retiring() || self.end_replication.concerns(entry.owner, &entry.replicas);
        entry.end.is_some() && is_concerned()
    }

    /// The stores that are sent an end now. Those that held the message come first: they know its end already, most often.
    fn end_receivers(
        &self,
        now: Millis,
        key: Key,
        entry: &Entry,
        stores: &[Node],
        lacking: usize,
    ) -> Vec<Node> {
        let unconfirmed = stores.iter().copied();
        let mut receivers: Vec<Node> =
            unconfirmed.filter(|node| !self.end_replication.is_confirmed(*node, key)).collect();
        receivers.sort_by_key(|node| {
            let has_held = *node == entry.owner || entry.replicas.contains(node);
            (!has_held, node.wrapping_sub(self.settings.node))
        });
        receivers.truncate(lacking);
        receivers.retain(|node| !self.end_replication.is_in_flight(now, *node, key));
        receivers
    }

    /// Stores the ends that a retiring store transfers, and confirms each once it is on disk.
    pub(crate) fn store_ends(&mut self, now: Millis, from: Node, ends: Vec<TransferredEnd>) {
        for TransferredEnd { key, end, callback_pending, failed_message } in ends {
            match self.entries.get(&key).map(|entry| entry.end.is_some()) {
                Some(true) => {}
                Some(false) => self.close_entry(now, key, end.clone(), callback_pending),
                None => self.insert_end(now, key, end.clone(), failed_message.clone()),
            }
            let Some(callback_pending) = self.entries.get(&key).map(|entry| entry.callback_pending) else {
                continue;
            };
            // The end first: what is read of a torn batch is never a live message.
            let ended_at_ms = self.wall_clock_ms(now);
            self.record(&Record::Ended { key, end, callback_pending, ended_at_ms }, true);
            if let Some(message) = failed_message {
                let replica = ended_message(self.settings.node, key, message);
                self.record(&Record::Put { replica }, true);
            }
            self.after_write(PendingWrite::EndFrom(from, key));
        }
    }

    fn insert_end(&mut self, now: Millis, key: Key, end: End, failed_message: Option<Message>) {
        let message = failed_message.unwrap_or_default();
        let mut entry = Entry::from_shared(&ended_message(self.settings.node, key, message), now);
        entry.stage = Stage::Ended;
        entry.end = Some(end);
        self.entries.insert(key, entry);
        self.metrics.ends_received += 1;
        self.schedule_forget(now, key);
    }
}

fn ended_message(owner: Node, key: Key, message: Message) -> ReplicatedMessage {
    ReplicatedMessage { key, owner, message, ..ReplicatedMessage::default() }
}

/// The end of a message as it is transferred; of one that failed the body goes along, for clients may ask for it.
fn transferred_end(key: Key, entry: &Entry) -> Option<TransferredEnd> {
    let end = entry.end.clone()?;
    let message = &entry.message;
    let has_body = end == End::Failed && message.accepted_at_ms > 0;
    let failed_message = has_body.then(|| Message {
        body: message.body.clone(),
        accepted_at_ms: message.accepted_at_ms,
        ..Message::default()
    });
    Some(TransferredEnd { key, end, callback_pending: entry.callback_pending, failed_message })
}
