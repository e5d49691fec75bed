//! Transfer of ends to other stores.
//!
//! An end is stored on as many disks as a message. Before a retiring store is removed, that many other stores have the
//! ends that it knows. When a store is lost for good or returns with a different disk, the stores that know ends which
//! are now on too few disks transfer them. Otherwise a lookup within the retention period would be answered as if the
//! message had never existed.

use crate::effect::Effect;
use crate::entry::{Entry, Stage};
use crate::hashing::mix;
use crate::message::{End, Key, Message, Millis, Node, ReplicatedMessage};
use crate::peer::Peer;
use crate::peer_message::{PeerMessage, TransferredEnd};
use crate::pending_writes::PendingWrite;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;
use crate::record::Record;
use crate::repair_settings::{RepairSettings, MIN_BYTES_PER_SECOND};
use std::collections::BTreeMap;

/// Number of checks a second, one at each upkeep.
const CHECKS_PER_SECOND: u64 = 4;

/// Maximum bytes in one message to another store. A longer one would hold up heartbeats on a slow link.
const MAX_BYTES_PER_TRANSFER: u64 = 256_000;

/// Maximum number of ends examined in one check, which bounds the work when too few stores are available to receive
/// ends.
const MAX_ENDS_PER_CHECK: usize = 8000;

/// Estimated size of an end without the body of a failed message, in bytes.
const END_OVERHEAD_BYTES: u64 = 80;

/// Ends to send in one check, by receiving store.
struct EndBatches {
    by_receiver: BTreeMap<Node, Vec<TransferredEnd>>,
    bytes: u64,
    max_bytes: u64,
}

impl EndBatches {
    fn new(max_bytes: u64) -> EndBatches {
        EndBatches { by_receiver: BTreeMap::new(), bytes: 0, max_bytes }
    }

    fn has_room(&self) -> bool {
        self.bytes < self.max_bytes
    }

    fn add(&mut self, to: Node, key: Key, entry: &Entry) {
        self.bytes += end_bytes(entry);
        self.by_receiver.entry(to).or_default().extend(transferred_end(key, entry));
    }
}

impl Queue {
    /// Transfers the ends that too few other stores hold, at a bounded rate.
    pub(crate) fn transfer_ends(&mut self, now: Millis) {
        if self.planted(PlantedFault::EndsGoAlong) {
            return;
        }
        if self.is_retiring() {
            self.transfer_all_ends(now);
        } else {
            self.replicate_ends(now);
        }
    }

    /// Transfers all ends of a retiring store. One more of the other stores than usual has to confirm each end, because
    /// this store's own disk goes away.
    fn transfer_all_ends(&mut self, now: Millis) {
        if self.end_replication.is_complete() {
            return;
        }
        let is_eligible = |peer: &Peer| peer.is_member && peer.is_connected && !peer.is_draining();
        let eligible = self.peers.iter().filter(|(_, peer)| is_eligible(peer));
        let stores: Vec<Node> = eligible.map(|(node, _)| *node).collect();
        let wanted = stores.len().min(self.settings.replica_count + 1);
        if wanted == 0 {
            return;
        }
        let mut is_complete = true;
        let mut batches = EndBatches::new(MIN_BYTES_PER_SECOND / CHECKS_PER_SECOND);
        // An end whose callback is pending is left to its owner, which replicates the complete message: a store that
        // has only the end would assume that the callback was delivered.
        for (key, entry) in self.entries.iter().filter(|(_, entry)| entry.is_settled()) {
            let confirmed = stores.iter().filter(|node| self.end_replication.is_confirmed(**node, *key));
            let lacking = wanted.saturating_sub(confirmed.count());
            if lacking == 0 {
                continue;
            }
            is_complete = false;
            for to in self.retirement_receivers(now, *key, entry, &stores, lacking) {
                if batches.has_room() {
                    batches.add(to, *key, entry);
                }
            }
        }
        if is_complete {
            self.end_replication.mark_complete();
            tracing::info!("all ends are stored on enough other disks; the disk of this store is no longer needed for them");
        }
        self.send_end_batches(now, batches);
    }

    /// The stores to which a retiring store sends an end now. Stores that held the message come first, because most of
    /// them already know its end.
    fn retirement_receivers(
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

    /// Copies ends that are stored on too few disks to other stores.
    fn replicate_ends(&mut self, now: Millis) {
        if self.end_replication.under_replicated.is_empty() {
            return self.finish_end_replication(now);
        }
        // Logged only after the loss of a store. Ends with an uncertain holder are copied too, but are too few to log
        // each time.
        if self.end_replication.under_replicated_since.is_none()
            && !self.end_replication.lost_stores.is_empty()
        {
            let ends = self.end_replication.under_replicated.len();
            tracing::info!(ends, "ends are stored on too few disks; copying them to other stores");
            self.end_replication.under_replicated_since = Some(now);
        }
        let from = self.end_replication.next_check_from;
        let ends = self.end_replication.under_replicated.from(from, MAX_ENDS_PER_CHECK);
        let mut batches = EndBatches::new(self.end_bytes_per_check(now));
        let mut next_check_from = ends.last().copied().filter(|_| ends.len() == MAX_ENDS_PER_CHECK);
        for (_, key) in ends {
            if !batches.has_room() {
                // The next check begins with the smallest ends again.
                next_check_from = None;
                break;
            }
            let Some(entry) = self.entries.get(&key).filter(|entry| self.is_end_under_replicated(entry))
            else {
                self.end_replication.under_replicated.remove(key);
                continue;
            };
            for to in self.end_receivers(now, key, entry) {
                batches.add(to, key, entry);
            }
        }
        self.end_replication.next_check_from = next_check_from;
        self.send_end_batches(now, batches);
    }

    /// Bytes of ends that may be sent in this check, so that all are copied in time. No more than a second's bytes wait
    /// for their confirmation.
    fn end_bytes_per_check(&mut self, now: Millis) -> u64 {
        let settings: RepairSettings = self.settings.repair;
        let missing_bytes = self.end_replication.under_replicated.total_bytes();
        let rate = self.end_replication.deadline.bytes_per_second(now, missing_bytes, settings);
        let in_flight = self.end_replication.bytes_in_flight(now);
        (rate / CHECKS_PER_SECOND).min(rate.saturating_sub(in_flight))
    }

    /// The stores to send an end to now, in addition to those that hold it. All stores that know the end choose the
    /// same ones, so that it is not stored on more disks than needed.
    fn end_receivers(&self, now: Millis, key: Key, entry: &Entry) -> Vec<Node> {
        let holders: Vec<Node> = entry.other_holders(self.settings.node).collect();
        let lacking = self.settings.replica_count.saturating_sub(self.counted_holders(entry));
        let preference = |node: Node| mix(&[u64::from(key.origin), key.number, u64::from(node)]);
        let mut receivers = self.choose_stores(now, &holders, &holders, lacking, preference);
        receivers.retain(|node| !self.end_replication.is_in_flight(now, *node, key));
        receivers
    }

    fn send_end_batches(&mut self, now: Millis, batches: EndBatches) {
        for (to, ends) in batches.by_receiver {
            self.end_replication.mark_sent(now, to, &ends);
            self.metrics.ends_transferred += ends.len() as u64;
            for part in split_by_bytes(ends) {
                self.emit(Effect::Send { to, message: PeerMessage::TransferEnds(part) });
            }
        }
    }

    /// Called when no end is stored on too few disks. Records the disks that other stores have now, in place of the
    /// ones they lost.
    fn finish_end_replication(&mut self, now: Millis) {
        self.end_replication.deadline.repair_finished();
        if let Some(since) = self.end_replication.under_replicated_since.take() {
            let ms = now.saturating_sub(since);
            let ends_sent = self.metrics.ends_transferred;
            tracing::info!(ms, ends_sent, "all ends are stored on enough disks again");
        }
        let restored = std::mem::take(&mut self.end_replication.lost_stores);
        self.record_replaced_disks(restored);
    }

    /// Handles the confirmation of another store that these ends are on its disk.
    pub(crate) fn ends_stored_at(&mut self, node: Node, keys: Vec<Key>) {
        if self.is_retiring() {
            return self.end_replication.confirm(node, &keys);
        }
        for key in keys {
            self.end_replication.clear_in_flight(node, key);
            self.add_end_holder(key, node);
        }
    }

    /// Stores the ends that another store transfers, and confirms each one once it is on disk. The sender is recorded
    /// as a holder as well, unless it is retiring.
    pub(crate) fn store_ends(&mut self, now: Millis, from: Node, ends: Vec<TransferredEnd>) {
        let is_tracked = !self.planted(PlantedFault::EndsCopiedOnce);
        let counted_sender = Some(from).filter(|from| is_tracked && self.counts_replicas_at(*from));
        for TransferredEnd { key, end, callback_pending, failed_message } in ends {
            let known = self.entries.get(&key);
            let callback_pending = match known {
                Some(entry) if entry.end.is_some() => entry.callback_pending,
                Some(_) => callback_pending,
                None => false,
            };
            let (is_known, is_live) = (known.is_some(), known.is_some_and(|entry| entry.end.is_none()));
            // The end is recorded first, so that a torn batch never leaves a live message on disk.
            let ended_at_ms = self.wall_clock_ms(now);
            self.record(&Record::Ended { key, end: end.clone(), callback_pending, ended_at_ms }, true);
            if is_live {
                self.close_entry(now, key, end, callback_pending);
            } else if !is_known {
                self.insert_end(now, key, end, failed_message, counted_sender);
            }
            if let Some(sender) = counted_sender {
                self.end_replication.clear_in_flight(sender, key);
                self.add_end_holder(key, sender);
            }
            self.after_write(PendingWrite::EndFrom(from, key));
        }
    }

    fn insert_end(
        &mut self,
        now: Millis,
        key: Key,
        end: End,
        failed_message: Option<Message>,
        holder: Option<Node>,
    ) {
        let message = failed_message.unwrap_or_default();
        let replicas = holder.into_iter().collect();
        let replica = ReplicatedMessage {
            key,
            owner: self.settings.node,
            replicas,
            message,
            ..ReplicatedMessage::default()
        };
        let mut entry = Entry::from_shared(&replica, now);
        entry.stage = Stage::Ended;
        entry.end = Some(end);
        self.record(&Record::Put { replica }, true);
        self.entries.insert(key, entry);
        self.metrics.ends_received += 1;
        self.schedule_forget(now, key);
        if !self.planted(PlantedFault::EndsCopiedOnce) {
            self.track_end(key);
        }
    }
}

/// Splits ends into messages of limited size.
fn split_by_bytes(ends: Vec<TransferredEnd>) -> Vec<Vec<TransferredEnd>> {
    let mut parts: Vec<Vec<TransferredEnd>> = Vec::new();
    let mut bytes_left = 0;
    for end in ends {
        let bytes = transferred_bytes(&end);
        match parts.last_mut().filter(|_| bytes <= bytes_left) {
            Some(part) => {
                part.push(end);
                bytes_left -= bytes;
            }
            None => {
                parts.push(vec![end]);
                bytes_left = MAX_BYTES_PER_TRANSFER.saturating_sub(bytes);
            }
        }
    }
    parts
}

/// Estimated size of the end of this message when it is transferred.
pub(crate) fn end_bytes(entry: &Entry) -> u64 {
    END_OVERHEAD_BYTES + entry.message.body.len() as u64
}

/// Estimated size of a transferred end.
pub(crate) fn transferred_bytes(end: &TransferredEnd) -> u64 {
    let body_bytes = end.failed_message.as_ref().map_or(0, |message| message.body.len() as u64);
    END_OVERHEAD_BYTES + body_bytes
}

/// The end of a message in the form in which it is transferred. The body of a failed message is included, because
/// clients may ask for it.
fn transferred_end(key: Key, entry: &Entry) -> Option<TransferredEnd> {
    let end = entry.end.clone()?;
    let message = &entry.message;
    let has_body = end == End::Failed && message.accepted_at_ms > 0;
    let is_identified = message.tenant.is_some() || message.idempotency_key.is_some();
    let failed_message = (has_body || is_identified).then(|| Message {
        body: if has_body { message.body.clone() } else { Vec::new() },
        accepted_at_ms: if has_body { message.accepted_at_ms } else { 0 },
        tenant: message.tenant.clone(),
        idempotency_key: message.idempotency_key.clone(),
        ..Message::default()
    });
    Some(TransferredEnd { key, end, callback_pending: entry.callback_pending, failed_message })
}
