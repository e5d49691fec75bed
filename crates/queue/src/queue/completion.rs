//! Handling of the end of a message: it is recorded, and sent to the stores that hold replicas.

use super::Queue;
use crate::entry::Stage;
use crate::message::{End, Key, Millis};
use crate::peer_message::EndNotice;
use crate::planted_fault::PlantedFault;
use crate::record::Record;

/// Maximum delay of an end that is sent to other stores, because ends are sent in batches.
pub(super) const END_BATCH_INTERVAL_MS: Millis = 40;

impl Queue {
    /// Ends a message at this store.
    pub(crate) fn finish(&mut self, now: Millis, key: Key, end: End) {
        self.unschedule(key);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let callback_pending = entry.message.callback_url.is_some();
        (entry.stage, entry.end, entry.callback_pending) =
            (Stage::Ended, Some(end.clone()), callback_pending);
        entry.discard_content();
        self.expiring.remove(&(entry.expires_at, key));
        let mut peers_to_notify = entry.replicas.clone();
        // Another store may have become the owner while the message ran here, and is then responsible for the callback.
        if entry.owner != self.settings.node && !entry.replicas.contains(&entry.owner) {
            peers_to_notify.push(entry.owner);
        }
        match end {
            End::Complete { .. } => self.metrics.completed += 1,
            End::Failed => self.metrics.failed += 1,
        }
        self.schedule_forget(now, key);
        self.record_end(now, key, &end, callback_pending);
        for peer in peers_to_notify {
            self.outbox(peer).ends.push(EndNotice { key, end: end.clone(), callback_pending });
        }
        self.flush_ends_at.get_or_insert(now + END_BATCH_INTERVAL_MS);
        self.handovers.remove(&key);
        self.reindex(key);
        if callback_pending {
            self.queue_callback(key);
        }
        self.track_end(key);
    }

    /// Records an end that other stores know already or will know soon. It must survive a restart of the process before
    /// it is on disk.
    pub(crate) fn record_end(&mut self, now: Millis, key: Key, end: &End, callback_pending: bool) {
        if self.planted(PlantedFault::EndUnkept) {
            return;
        }
        let ended_at_ms = self.wall_clock_ms(now);
        let record = Record::Ended { key, end: end.clone(), callback_pending, ended_at_ms };
        if self.planted(PlantedFault::EndKeptByDiskAlone) {
            return self.record(&record, false);
        }
        self.pending_writes.add_end(key, &record);
    }

    /// Converts a time of the steady clock to the time of day, in milliseconds since 1970.
    pub(crate) fn wall_clock_ms(&self, now: Millis) -> u64 {
        self.wall_clock_offset_ms + now
    }

    /// Ends a message here that another store has ended; this store owns it or holds a replica.
    pub(crate) fn close_entry(&mut self, now: Millis, key: Key, end: End, callback_pending: bool) {
        self.unschedule(key);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        (entry.stage, entry.end, entry.callback_pending) = (Stage::Ended, Some(end), callback_pending);
        entry.discard_content();
        self.expiring.remove(&(entry.expires_at, key));
        if let Some(at) = entry.persist_check_at.take() {
            self.persisting.remove(&(at, key));
        }
        let ticket = entry.ticket.take();
        let is_owned_here = entry.owner == self.settings.node;
        self.unreleased.remove(&key);
        self.handovers.remove(&key);
        self.reindex(key);
        self.schedule_forget(now, key);
        self.report_unknown_outcome(ticket);
        if is_owned_here && callback_pending {
            self.queue_callback(key);
        }
        self.track_end(key);
    }

    /// Sends all collected ends to the peers now, as is done before the process ends.
    pub fn flush_ends(&mut self) {
        self.send_ends();
    }
}
