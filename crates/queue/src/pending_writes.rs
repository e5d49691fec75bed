//! Records that are being written to disk, and the operations that wait for them.

use crate::effect::{Effect, KeptFailure};
use crate::idempotency::Shard;
use crate::message::{Key, Millis, Node};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A disk that has not completed a write for this time is treated as stalled.
const DISK_STALL_LIMIT_MS: Millis = 120;

/// An operation that waits for a write.
#[derive(Clone, Debug)]
pub(crate) enum PendingWrite {
    /// A message owned here, or its new owner, is recorded, so that this store's own replica is durable.
    Ownership(Key),
    /// A replica is stored for its owner, which is then notified.
    ReplicaFor(Node, Key),
    /// A message was handed over by another store, which is then notified.
    TakenOverFrom(Node, Key),
    /// An end is stored for another store, which is then notified.
    EndFrom(Node, Key),
    /// The order to retire this store is recorded.
    Retirement,
    /// This store's own claim of shards is recorded; contains the identifier of the claim.
    OwnClaim(u64),
    /// A claim of another store is granted, and is then answered.
    Grant {
        /// The store that claims the shards.
        to: Node,
        /// The other store's identifier of the claim.
        claim_id: u64,
        /// The claimed shards.
        shards: Vec<Shard>,
    },
    /// The claims of shards that other stores know are recorded.
    ShardTerms,
}

/// Collects the records of one turn into one write, and tracks which operations wait for each write.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    records: Vec<Vec<u8>>,
    /// Indices of the records of ends that must survive a restart of the process from this turn on.
    kept_ends: Vec<usize>,
    /// Records of failed attempts that must survive a restart of the process from this turn on.
    kept_failures: Vec<KeptFailure>,
    needs_sync: bool,
    /// Operations that wait for the write that is being collected.
    collecting: Vec<PendingWrite>,
    /// Operations that wait for a write that the program has been given, by its ticket.
    in_flight: HashMap<u64, Vec<PendingWrite>>,
    started_at: BTreeMap<u64, Millis>,
    last_ticket: u64,
    /// Messages that are accepted, or about to be accepted again, and whose own record could not be written.
    failed_own_writes: BTreeSet<Key>,
}

impl PendingWrites {
    /// Adds a record to the next write. With `needs_sync` that write is synced at once.
    pub fn add(&mut self, record: &Record, needs_sync: bool) {
        if let Ok(bytes) = postcard::to_stdvec(record) {
            self.records.push(bytes);
            self.needs_sync |= needs_sync;
        }
    }

    /// Adds the record of an end, which other stores and executors learn before it is on disk. The number of failed
    /// attempts of the message is no longer needed then.
    pub fn add_end(&mut self, key: Key, record: &Record) {
        self.kept_failures.retain(|failure| failure.key != key);
        let index = self.records.len();
        self.add(record, false);
        if index < self.records.len() {
            self.kept_ends.push(index);
        }
    }

    /// Adds a record of the number of failed attempts, which executors learn before it is on disk.
    pub fn add_failure(&mut self, key: Key, record: &Record, needs_sync: bool) {
        self.kept_failures.retain(|failure| failure.key != key);
        let index = self.records.len();
        self.add(record, needs_sync);
        if index < self.records.len() {
            self.kept_failures.push(KeptFailure { key, index });
        }
    }

    /// Number of records that must survive a restart of the process and that the program has not been given yet.
    pub fn kept_count(&self) -> usize {
        self.kept_ends.len() + self.kept_failures.len()
    }

    /// Registers an operation that waits for the records added so far in this turn.
    pub fn wait(&mut self, wait: PendingWrite) {
        self.collecting.push(wait);
    }

    /// Takes the write of this turn, if there is anything to write.
    pub fn take(&mut self, now: Millis) -> Option<Effect> {
        if self.records.is_empty() {
            return None;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let waits = std::mem::take(&mut self.collecting);
        if !waits.is_empty() {
            self.in_flight.insert(ticket, waits);
            self.started_at.insert(ticket, now);
        }
        let records = std::mem::take(&mut self.records);
        let kept_ends = std::mem::take(&mut self.kept_ends);
        let kept_failures = std::mem::take(&mut self.kept_failures);
        let sync = std::mem::take(&mut self.needs_sync);
        Some(Effect::Persist { ticket, records, kept_ends, kept_failures, sync })
    }

    /// Handles the completion of a write, and returns the operations that waited for it.
    pub fn complete(&mut self, ticket: u64) -> Vec<PendingWrite> {
        self.started_at.remove(&ticket);
        self.in_flight.remove(&ticket).unwrap_or_default()
    }

    /// Notes that the own record of a message could not be written and is still needed.
    pub fn own_write_failed(&mut self, key: Key) {
        self.failed_own_writes.insert(key);
    }

    /// Whether the own record of a message could not be written. It is to be written again or is not needed any more.
    pub fn take_failed_own_write(&mut self, key: Key) -> bool {
        self.failed_own_writes.remove(&key)
    }

    /// Cancels the confirmation of a replica that is dropped while its record is being written, because the next record
    /// on disk says that it was dropped.
    pub fn cancel_replica(&mut self, key: Key) {
        let is_other = |wait: &PendingWrite| !matches!(wait, PendingWrite::ReplicaFor(_, of) if *of == key);
        self.collecting.retain(is_other);
        self.in_flight.values_mut().for_each(|waits| waits.retain(is_other));
    }

    /// Whether the oldest write that an operation waits for is overdue.
    pub fn is_disk_stalled(&self, now: Millis) -> bool {
        self.started_at.first_key_value().is_some_and(|(_, since)| now > since + DISK_STALL_LIMIT_MS)
    }
}
