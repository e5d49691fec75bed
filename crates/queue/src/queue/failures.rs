//! Distribution of the number of failed attempts of a message: it is recorded, sent to the stores that hold the
//! message, and received from them.
//!
//! Every known number is a lower bound (see [`FailureCount`](crate::failure_count::FailureCount)), so a notice may
//! arrive late or more than once.

use super::Queue;
use crate::entry::Entry;
use crate::message::{Key, Millis, Node};
use crate::peer::FailureNotices;
use crate::peer_message::FailureNotice;
use crate::planted_fault::PlantedFault;
use crate::record::Record;

/// How a store learned that an attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureSource {
    /// The store read the response itself, or owns the message from now on; the number is synced to disk at once.
    Own,
    /// Another store sent a notice. That store had recorded the number before, so its restart does not lose it.
    Notice,
}

impl Queue {
    /// Records the number of failed attempts of a message, so that a restart does not grant it all of its attempts
    /// again.
    pub(crate) fn record_failed_attempts(&mut self, key: Key, source: FailureSource) {
        let Some(entry) = self.entries.get(&key) else { return };
        if self.planted(PlantedFault::FailedAttemptsForgotten) {
            return;
        }
        let record = Record::AttemptFailed { key, failed_attempts: entry.failures.total() };
        let needs_sync = source == FailureSource::Own;
        if self.planted(PlantedFault::FailuresKeptByDiskAlone) {
            return self.record(&record, needs_sync);
        }
        self.pending_writes.add_failure(key, &record, needs_sync);
    }

    /// Notifies the other stores that hold a message of its failed attempts, at the end of this turn, because any of
    /// them may become its owner. `source` is the store from which the number came; it is left out.
    pub(crate) fn announce_failed_attempts(&mut self, key: Key, source: Option<Node>) {
        let Some(entry) = self.entries.get(&key) else { return };
        let holders = entry.other_holders(self.settings.node).filter(|node| Some(*node) != source);
        let holders: Vec<Node> = holders.collect();
        for node in holders {
            self.send_failed_attempts(node, key);
        }
    }

    /// Notifies one other store of the failed attempts of a message, if it accepts such notices.
    pub(crate) fn send_failed_attempts(&mut self, to: Node, key: Key) {
        if self.planted(PlantedFault::FailuresUnannounced) {
            return;
        }
        let notice = self.entries.get(&key).and_then(|entry| failure_notice(key, entry, self.settings.node));
        let peer = self.peers.get_mut(&to).filter(|peer| peer.takes_failure_notices());
        if let Some((peer, notice)) = peer.zip(notice) {
            peer.outbox.failures.push(notice);
        }
    }

    /// Handles a peer's announcement that it accepts notices of failed attempts. It gets those of all messages that
    /// both stores hold, because earlier notices were lost with the connection and an attempt may have ended meanwhile.
    pub(crate) fn peer_takes_failure_notices(&mut self, node: Node) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        peer.failure_notices = FailureNotices::Supported;
        let shared = self.shared_with(node).filter(|(_, entry)| entry.failures.total() > 0);
        let keys: Vec<Key> = shared.map(|(key, _)| key).collect();
        for key in keys {
            self.send_failed_attempts(node, key);
        }
    }

    /// Applies notices of failed attempts from another store.
    pub(crate) fn apply_failure_notices(&mut self, now: Millis, from: Node, notices: Vec<FailureNotice>) {
        for FailureNotice { key, failed_attempts, read_by_sender } in notices {
            let entry = self.entries.get_mut(&key).filter(|entry| entry.end.is_none());
            let Some(entry) = entry else { continue };
            let is_raised = entry.failures.raise(failed_attempts);
            let is_raised = entry.failures.raise_read_by(from, read_by_sender) || is_raised;
            if !is_raised {
                continue;
            }
            entry.has_run = true;
            self.record_failed_attempts(key, FailureSource::Notice);
            self.announce_failed_attempts(key, Some(from));
            // A message that waits here may have used up its attempts, so it is scheduled again.
            self.unschedule(key);
            self.schedule(now, key);
        }
    }
}

fn failure_notice(key: Key, entry: &Entry, sender: Node) -> Option<FailureNotice> {
    let failed_attempts = entry.failures.total();
    let is_open = entry.end.is_none() && failed_attempts > 0;
    is_open.then_some(FailureNotice { key, failed_attempts, read_by_sender: entry.failures.read_by(sender) })
}
