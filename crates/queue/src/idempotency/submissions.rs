//! Submissions with an idempotency key: each is either the first with its key, or is answered with the name of the
//! first message.

use super::digest::IdempotencyDigest;
use super::shard_table::WaitingSubmission;
use crate::effect::Effect;
use crate::entry::{Acceptance, Entry, Stage};
use crate::message::{Key, Message, Millis, PutError};
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

/// How long a submission waits until this store holds its shard, in milliseconds. Its edge asks another store after
/// 200 ms without an answer.
const SHARD_WAIT_TIMEOUT_MS: Millis = 160;

/// Minimum time between two claims of a shard because of a message that is in doubt.
const IN_DOUBT_CLAIM_INTERVAL_MS: Millis = 1000;

/// How long the key of a message that was rolled back is not used again: a replica that is to be dropped may still be
/// on its way.
const ROLLBACK_RETENTION_MS: Millis = 2000;

/// How long this store may be without control nodes before it accepts no new key: other stores may then soon treat
/// this one as gone.
const CONTROL_LOSS_LIMIT_MS: Millis = 6000;

/// Idempotency window by which reported messages are kept if [`PlantedFault::ReportsKeptForFixedTime`] is planted: 90 s
/// with its margin.
const PLANTED_WINDOW_MS: Millis = 80_000;

/// What is known of the message with a given key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Submission {
    /// No message with the key is known here.
    Unknown,
    /// A message with the key is accepted.
    Accepted(Key),
    /// A message with the key is being persisted at this store.
    Persisting(Key),
    /// Only a replica of a message with the key is known; it may be dropped, or taken over.
    InDoubt,
}

impl Queue {
    /// Handles a submission whose message has an idempotency key.
    pub(crate) fn submit_once(
        &mut self,
        now: Millis,
        ticket: u64,
        message: Message,
        digest: IdempotencyDigest,
    ) {
        self.shards.are_used = true;
        match self.known_submission(digest) {
            Submission::Accepted(key) => self.answer_with_first(ticket, key),
            Submission::Persisting(key) => self.shards.duplicates.entry(key).or_default().push(ticket),
            Submission::Unknown if self.shards.was_rolled_back(digest) || self.is_control_lost(now) => {
                self.reject(ticket);
            }
            Submission::Unknown => match self.shards.held_term(digest.shard()) {
                Some(term) => {
                    let message = Message { shard_term: term, ..message };
                    self.admit(now, ticket, message, false);
                }
                None => self.wait_for_shard(now, ticket, message, digest),
            },
            Submission::InDoubt
                if now < self.shards.claimed_at(digest.shard()) + IN_DOUBT_CLAIM_INTERVAL_MS =>
            {
                self.reject(ticket);
            }
            Submission::InDoubt => {
                self.shards.release(digest.shard());
                self.wait_for_shard(now, ticket, message, digest);
            }
        }
    }

    fn known_submission(&self, digest: IdempotencyDigest) -> Submission {
        let mut known = Submission::Unknown;
        for key in self.entries.with_digest(digest) {
            match self.entries.get(&key) {
                Some(entry) if self.is_accepted(entry) => return Submission::Accepted(key),
                Some(entry) if self.is_being_persisted(entry) => known = Submission::Persisting(key),
                Some(_) if known == Submission::Unknown => known = Submission::InDoubt,
                _ => {}
            }
        }
        for reported in self.shards.reported(digest) {
            if reported.is_accepted {
                return Submission::Accepted(reported.key);
            }
            if known == Submission::Unknown {
                known = Submission::InDoubt;
            }
        }
        known
    }

    /// Whether a message was certainly accepted, or will be delivered in any case.
    pub(super) fn is_accepted(&self, entry: &Entry) -> bool {
        let is_owned_here = entry.owner == self.settings.node;
        entry.end.is_some()
            || (is_owned_here && entry.stage != Stage::Persisting && entry.acceptance == Acceptance::Certain)
    }

    fn is_being_persisted(&self, entry: &Entry) -> bool {
        entry.owner == self.settings.node && entry.stage == Stage::Persisting
    }

    fn is_control_lost(&self, now: Millis) -> bool {
        self.shards.control_lost_since.is_some_and(|since| now >= since + CONTROL_LOSS_LIMIT_MS)
    }

    fn reject(&mut self, ticket: u64) {
        self.metrics.rejected += 1;
        self.emit(Effect::PutResult { ticket, result: Err(PutError::Rejected) });
    }

    /// Answers a further submission with the name of the first message with its key.
    fn answer_with_first(&mut self, ticket: u64, key: Key) {
        self.metrics.deduplicated += 1;
        self.emit(Effect::PutResult { ticket, result: Ok(key.to_text(None)) });
    }

    fn wait_for_shard(&mut self, now: Millis, ticket: u64, message: Message, digest: IdempotencyDigest) {
        // Rejected without waiting: its edge then asks another store, or its client retries.
        if self.is_recovering() || self.is_quorum_unreachable() {
            return self.reject(ticket);
        }
        self.shards.shards_to_claim.insert(digest.shard());
        let deadline = now + SHARD_WAIT_TIMEOUT_MS;
        self.shards.waiting.push(WaitingSubmission { ticket, message, deadline });
        self.start_claim(now);
    }

    /// Rejects the submissions that wait for a shard.
    pub(super) fn reject_waiting(&mut self) {
        for submission in std::mem::take(&mut self.shards.waiting) {
            self.reject(submission.ticket);
        }
    }

    /// Retries the submissions that wait for a shard, after a claim has succeeded.
    pub(super) fn resume_waiting(&mut self, now: Millis) {
        for submission in std::mem::take(&mut self.shards.waiting) {
            let WaitingSubmission { ticket, message, deadline } = submission;
            let Some(digest) = message.idempotency_digest() else { continue };
            if self.shards.held_term(digest.shard()).is_some() {
                self.submit_once(now, ticket, message, digest);
            } else {
                self.shards.waiting.push(WaitingSubmission { ticket, message, deadline });
            }
        }
    }

    /// Rejects submissions whose wait has timed out, and answers further submissions once the first message with
    /// their key is no longer being persisted.
    pub(crate) fn settle_submissions(&mut self, now: Millis) {
        while let Some(late) = self.shards.waiting.iter().position(|waiting| waiting.deadline <= now) {
            let ticket = self.shards.waiting.remove(late).ticket;
            self.metrics.shard_timeouts += 1;
            self.reject(ticket);
        }
        let is_settled =
            |key: &Key| self.entries.get(key).is_none_or(|entry| !self.is_being_persisted(entry));
        let settled: Vec<Key> = self.shards.duplicates.keys().copied().filter(is_settled).collect();
        for key in settled {
            let is_accepted = self.entries.get(&key).is_some_and(|entry| self.is_accepted(entry));
            for ticket in self.shards.duplicates.remove(&key).unwrap_or_default() {
                if is_accepted {
                    self.answer_with_first(ticket, key);
                } else {
                    self.report_unknown_outcome(Some(ticket));
                }
            }
        }
    }

    /// Time at which [`Queue::settle_submissions`] must be called next.
    pub(crate) fn next_submission_deadline(&self) -> Millis {
        self.shards.waiting.iter().map(|waiting| waiting.deadline).min().unwrap_or(Millis::MAX)
    }

    /// Remembers the idempotency key of a message that is rolled back.
    pub(crate) fn note_rolled_back_submission(&mut self, key: Key) {
        let digest = self.entries.get(&key).and_then(|entry| entry.message.idempotency_digest());
        if let Some(digest) = digest {
            self.shards.note_rolled_back(self.last_tick_at, digest);
        }
    }

    /// Whether further submissions wait for the outcome of a message, besides the one that submitted it.
    pub(crate) fn has_followers(&self, key: Key) -> bool {
        self.shards.duplicates.contains_key(&key)
    }

    /// Forgets a submission whose connection is gone, so that nobody waits for its answer.
    pub(crate) fn forget_submission(&mut self, ticket: u64) {
        self.shards.waiting.retain(|waiting| waiting.ticket != ticket);
        self.shards.duplicates.values_mut().for_each(|tickets| tickets.retain(|other| *other != ticket));
    }

    /// Runs the periodic work on the shards: discards outdated records, updates gone stores, shard claims, terms and
    /// recovery, and records since when no control node has been reachable.
    pub(crate) fn maintain_shards(&mut self, now: Millis) {
        let mut retention = self.settings.retention;
        if self.planted(PlantedFault::ReportsKeptForFixedTime) {
            retention.idempotency_window_ms = PLANTED_WINDOW_MS;
        }
        self.shards.discard_expired(now, retention, ROLLBACK_RETENTION_MS);
        self.record_gone_stores(now);
        self.rebalance_shards(now);
        self.request_terms(now);
        self.continue_recovery(now);
        self.check_unchecked(now);
        if self.control_contact.is_reachable {
            self.shards.control_lost_since = None;
        } else {
            self.shards.control_lost_since.get_or_insert(now);
        }
    }
}
