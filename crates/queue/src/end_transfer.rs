//! Transfer of ends to other stores. Ends are known on as many disks as messages lie on: before a store that retires is gone,
//! so many others have the ends that it knows; and when a store is lost for good, or back with another disk, those that know ends
//! which lie on too few disks now transfer them. Else a question within the time that states are kept would be answered as if
//! there had been no such message.

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
use crate::repair_budget::REPAIR_BYTES_PER_SECOND;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Bytes at each check, of which there are four a second: the rate of repair.
const MAX_BYTES_PER_CHECK: u64 = REPAIR_BYTES_PER_SECOND / 4;

/// Ends that are looked at in one check, where too few stores are there to take them.
const MAX_ENDS_PER_CHECK: usize = 8000;

/// Estimated bytes of an end beside the body of a message that failed.
const END_OVERHEAD_BYTES: u64 = 80;

/// The ends that are sent to each store in one check.
#[derive(Default)]
struct EndBatches {
    by_receiver: BTreeMap<Node, Vec<TransferredEnd>>,
    bytes: u64,
}

impl EndBatches {
    fn has_room(&self) -> bool {
        self.bytes < MAX_BYTES_PER_CHECK
    }

    fn add(&mut self, to: Node, key: Key, entry: &Entry) {
        self.bytes += END_OVERHEAD_BYTES + entry.message.body.len() as u64;
        self.by_receiver.entry(to).or_default().extend(transferred_end(key, entry));
    }
}

impl Queue {
    /// Transfers, at a bounded rate, the ends that too few other stores hold.
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

    /// This store is being retired: one more of the others than elsewhere has to confirm each end, for its own disk goes.
    fn transfer_all_ends(&mut self, now: Millis) {
        if self.end_replication.is_complete() {
            return;
        }
        let is_able = |peer: &Peer| peer.is_member && peer.is_connected && !peer.is_draining();
        let able = self.peers.iter().filter(|(_, peer)| is_able(peer));
        let stores: Vec<Node> = able.map(|(node, _)| *node).collect();
        let wanted = stores.len().min(self.settings.replica_count + 1);
        if wanted == 0 {
            return;
        }
        let mut is_complete = true;
        let mut batches = EndBatches::default();
        // One whose callback is pending is its owner's to replicate, whole: a store that has the end alone takes the callback for
        // delivered.
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
            tracing::info!("all ends lie on enough other disks: this store's is not needed for them");
        }
        self.send_end_batches(now, batches);
    }

    /// The stores to which a retiring store sends an end now. Those that held the message come first: they know its end already,
    /// most often.
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

    /// Copies the ends that lie on too few disks to other stores.
    fn replicate_ends(&mut self, now: Millis) {
        if self.end_replication.under_replicated.is_empty() {
            return self.ends_replicated(now);
        }
        // What ends after a loss with a holder that is not certain is copied too, and is too little to be told each time.
        if self.end_replication.under_replicated_since.is_none()
            && !self.end_replication.lost_stores.is_empty()
        {
            let ends = self.end_replication.under_replicated.len();
            tracing::info!(ends, "ends lie on too few disks: they are copied to other stores");
            self.end_replication.under_replicated_since = Some(now);
        }
        let keys = self.next_ends_to_check();
        let mut batches = EndBatches::default();
        let mut next_look_from = keys.last().copied().filter(|_| keys.len() == MAX_ENDS_PER_CHECK);
        for key in keys {
            if !batches.has_room() {
                next_look_from = Some(key);
                break;
            }
            let Some(entry) = self.entries.get(&key).filter(|entry| self.is_end_under_replicated(entry))
            else {
                self.end_replication.under_replicated.remove(&key);
                continue;
            };
            for to in self.end_receivers(now, key, entry) {
                batches.add(to, key, entry);
            }
        }
        self.end_replication.next_look_from = next_look_from;
        self.send_end_batches(now, batches);
    }

    /// The ends to look at in this check: from where the last one stopped.
    fn next_ends_to_check(&mut self) -> Vec<Key> {
        let ends = &self.end_replication;
        let from = ends.next_look_from.map_or(Bound::Unbounded, Bound::Included);
        ends.under_replicated.range((from, Bound::Unbounded)).take(MAX_ENDS_PER_CHECK).copied().collect()
    }

    /// The stores that are sent an end now, beside those that hold it. All that know the end choose the same ones, so that it does
    /// not come to lie on more disks than it has to.
    fn end_receivers(&self, now: Millis, key: Key, entry: &Entry) -> Vec<Node> {
        let holders: Vec<Node> = entry.other_holders(self.settings.node).collect();
        let lacking = self.settings.replica_count.saturating_sub(self.lasting_holders(entry));
        let preference = |node: Node| mix(&[u64::from(key.origin), key.number, u64::from(node)]);
        let mut receivers = self.choose_stores(now, &holders, &holders, lacking, preference);
        receivers.retain(|node| !self.end_replication.is_in_flight(now, *node, key));
        receivers
    }

    fn send_end_batches(&mut self, now: Millis, batches: EndBatches) {
        for (to, ends) in batches.by_receiver {
            self.end_replication.mark_sent(now, to, &ends);
            self.metrics.ends_transferred += ends.len() as u64;
            self.emit(Effect::Send { to, message: PeerMessage::TransferEnds(ends) });
        }
    }

    /// No end lies on too few disks: the disks that other stores have now are recorded in the place of those that they have lost.
    fn ends_replicated(&mut self, now: Millis) {
        if let Some(since) = self.end_replication.under_replicated_since.take() {
            let ms = now.saturating_sub(since);
            let ends_sent = self.metrics.ends_transferred;
            tracing::info!(ms, ends_sent, "all ends are on enough disks again");
        }
        let restored = std::mem::take(&mut self.end_replication.lost_stores);
        self.record_replaced_disks(restored);
    }

    /// Another store has these ends on its disk.
    pub(crate) fn ends_stored_at(&mut self, node: Node, keys: Vec<Key>) {
        if self.is_retiring() {
            return self.end_replication.confirm(node, &keys);
        }
        for key in keys {
            self.end_replication.sent_end_settled(node, key);
            self.add_end_holder(key, node);
        }
    }

    /// Stores the ends that another store transfers, and confirms each once it is on disk. The sender holds them as well, unless
    /// it is being retired.
    pub(crate) fn store_ends(&mut self, now: Millis, from: Node, ends: Vec<TransferredEnd>) {
        let is_tracked = !self.planted(PlantedFault::EndsCopiedOnce);
        let lasting_sender = Some(from).filter(|from| is_tracked && self.counts_copies_at(*from));
        for TransferredEnd { key, end, callback_pending, failed_message } in ends {
            let known = self.entries.get(&key);
            let callback_pending = match known {
                Some(entry) if entry.end.is_some() => entry.callback_pending,
                Some(_) => callback_pending,
                None => false,
            };
            let (is_known, is_live) = (known.is_some(), known.is_some_and(|entry| entry.end.is_none()));
            // The end first: what is read of a torn batch is never a live message.
            let ended_at_ms = self.wall_clock_ms(now);
            self.record(&Record::Ended { key, end: end.clone(), callback_pending, ended_at_ms }, true);
            if is_live {
                self.close_entry(now, key, end, callback_pending);
            } else if !is_known {
                self.insert_end(now, key, end, failed_message, lasting_sender);
            }
            if let Some(sender) = lasting_sender {
                self.end_replication.sent_end_settled(sender, key);
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

/// The end of a message as it is transferred; of one that failed the body goes along, for clients may ask for it.
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
