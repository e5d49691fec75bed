//! State table of a store, built by applying the records on disk. It is read when the store starts and written as a
//! snapshot when its log is compacted.

use crate::idempotency::{Shard, ShardTerm};
use crate::message::{End, Key, Node, ReplicatedMessage};
use crate::record::Record;
use crate::retention::Retention;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stileroute_wal::StateMachine;

/// Maximum number of incarnations of a disk that are remembered. A replica of a message from an older incarnation has
/// waited too long.
const MAX_INCARNATIONS: usize = 64;

/// The end of a message, in the form kept on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredEnd {
    /// How the message ended: completed or failed.
    pub end: End,
    /// Whether the callback of the message has yet to be delivered.
    pub callback_pending: bool,
    /// Time of day of the end, in milliseconds since 1970.
    pub ended_at_ms: u64,
}

/// Content of the disk for one message.
#[derive(Clone, Debug, Default)]
pub struct StoredMessage {
    /// The message with its ownership; `None` where only its end is known.
    pub replica: Option<ReplicatedMessage>,
    /// The end of the message; `None` while it is live.
    pub end: Option<StoredEnd>,
}

/// The state of a store that results from its records.
#[derive(Debug, Default)]
pub struct StateTable {
    /// Identifier of the disk; `None` if the disk is empty.
    pub disk_id: Option<u64>,
    /// First message numbers of the incarnations that began with this disk, the newest last.
    pub incarnation_first_numbers: Vec<u64>,
    /// Whether an operator has ordered the retirement of this store.
    pub retirement_ordered: bool,
    /// Disk identifiers of other stores, as last recorded.
    pub peer_disks: BTreeMap<Node, u64>,
    /// Stores that were connected and are not gone for good; each may be the only holder of messages with idempotency
    /// keys.
    pub message_holders: BTreeSet<Node>,
    /// Stores that are gone for good; none is the only holder of a message with an idempotency key.
    pub gone_message_holders: BTreeSet<Node>,
    /// The highest claim of each shard that was granted or made.
    pub shard_terms: BTreeMap<Shard, ShardTerm>,
    /// Whether the claims of shards that were granted before the disk was lost are not known yet.
    pub are_shard_terms_missing: bool,
    /// All messages that are live, or whose end is kept.
    pub messages: HashMap<Key, StoredMessage>,
    /// Time for which ends are kept, in milliseconds, if it was ever set.
    end_retention_ms: Option<u64>,
    /// Number of records that could not be decoded.
    pub unreadable_records: u64,
    /// Time of day of the latest recorded end, in milliseconds since 1970. The age of other ends is measured from it
    /// and not from the clock.
    latest_end_ms: u64,
}

impl StateTable {
    /// Applies one record. Records must be applied in the order in which they were written.
    pub fn apply_record(&mut self, record: Record) {
        match record {
            Record::IncarnationStarted { disk_id, first_number } => {
                self.start_incarnation(disk_id, first_number);
            }
            Record::Put { replica } => self.put(replica),
            Record::Ended { key, end, callback_pending, ended_at_ms } => {
                self.end(key, StoredEnd { end, callback_pending, ended_at_ms });
            }
            Record::CallbackDelivered { key } => {
                if let Some(stored) = self.messages.get_mut(&key).and_then(|message| message.end.as_mut()) {
                    stored.callback_pending = false;
                }
            }
            Record::OwnerChanged { key, owner, term, replicas } => {
                let message = self.messages.get_mut(&key);
                if let Some(replica) = message.and_then(|message| message.replica.as_mut()) {
                    if term >= replica.term {
                        replica.owner = owner;
                        replica.term = term;
                        replica.replicas = replicas;
                    }
                }
            }
            Record::RetirementOrdered => self.retirement_ordered = true,
            Record::PeerDiskKnown { node, disk_id: Some(disk_id) } => {
                self.peer_disks.insert(node, disk_id);
            }
            Record::PeerDiskKnown { node, disk_id: None } => {
                self.peer_disks.remove(&node);
            }
            Record::Dropped { key } => {
                self.messages.remove(&key);
            }
            Record::ShardsGranted { claim, shards } => {
                for shard in shards {
                    let known = self.shard_terms.entry(shard).or_default();
                    *known = claim.max(*known);
                }
            }
            Record::ShardTermsMissing(are_missing) => self.are_shard_terms_missing = are_missing,
            Record::MessageHolderGone { node, is_gone: true } => {
                self.message_holders.remove(&node);
                self.gone_message_holders.insert(node);
            }
            Record::MessageHolderGone { node, is_gone: false } => {
                self.gone_message_holders.remove(&node);
                self.message_holders.insert(node);
            }
            Record::AttemptFailed { key, failed_attempts } => {
                self.raise_failed_attempts(key, failed_attempts);
            }
            Record::EndRetentionSet { retention_ms } => self.end_retention_ms = Some(retention_ms),
        }
    }

    /// The record to append if ends have to be kept on disk for another time than now, so that they are known for as long
    /// as they are of use also after a restart. A checkpoint knows the records alone.
    pub fn end_retention_change(&self, retention: Retention) -> Option<Record> {
        let retention_ms = retention.end_on_disk_ms();
        (retention_ms != self.end_retention_ms()).then_some(Record::EndRetentionSet { retention_ms })
    }

    fn end_retention_ms(&self) -> u64 {
        self.end_retention_ms.unwrap_or(Retention::default_end_on_disk_ms())
    }

    /// Applies an end that survived the previous process without being on disk, unless an end is known. The message
    /// itself may not have been written either: then only the end is known, and another store that has the message live
    /// is notified. Returns whether the end was new and has to be written.
    pub fn apply_kept_end(&mut self, record: &[u8]) -> bool {
        let Ok(Record::Ended { key, end, callback_pending, ended_at_ms }) = postcard::from_bytes(record)
        else {
            return false;
        };
        let is_new = self.messages.get(&key).is_none_or(|message| message.end.is_none());
        if is_new {
            self.end(key, StoredEnd { end, callback_pending, ended_at_ms });
        }
        is_new
    }

    /// Applies a number of failed attempts that survived the previous process without being on disk, if the message is
    /// live and fewer are known. Returns whether that is so and the record has to be written.
    pub fn apply_kept_failure(&mut self, record: &[u8]) -> bool {
        match postcard::from_bytes(record) {
            Ok(Record::AttemptFailed { key, failed_attempts }) if self.is_live(key) => {
                self.raise_failed_attempts(key, failed_attempts)
            }
            _ => false,
        }
    }

    fn is_live(&self, key: Key) -> bool {
        self.messages.get(&key).is_some_and(|message| message.end.is_none())
    }

    /// Raises the number of failed attempts of a message to at least `failed_attempts`. Returns whether it has
    /// increased.
    fn raise_failed_attempts(&mut self, key: Key, failed_attempts: u32) -> bool {
        let message = self.messages.get_mut(&key);
        let Some(replica) = message.and_then(|message| message.replica.as_mut()) else { return false };
        let is_new = failed_attempts > replica.attempts;
        replica.attempts = replica.attempts.max(failed_attempts);
        is_new
    }

    fn start_incarnation(&mut self, disk_id: u64, first_number: u64) {
        self.disk_id = Some(disk_id);
        self.incarnation_first_numbers.push(first_number);
        if self.incarnation_first_numbers.len() > MAX_INCARNATIONS {
            self.incarnation_first_numbers.remove(0);
        }
    }

    fn put(&mut self, mut replica: ReplicatedMessage) {
        let message = self.messages.entry(replica.key).or_default();
        if let Some(old) = &message.replica {
            replica.attempts = replica.attempts.max(old.attempts);
        }
        // For a message that has ended, only a replica that was not known is stored: the body of a failed message,
        // transferred by another store.
        let is_live = message.end.is_none();
        if message.replica.as_ref().is_none_or(|old| is_live && old.term <= replica.term) {
            message.replica = Some(replica);
        }
    }

    fn end(&mut self, key: Key, end: StoredEnd) {
        self.latest_end_ms = self.latest_end_ms.max(end.ended_at_ms);
        let message = self.messages.entry(key).or_default();
        // The rest of the message is needed for a callback. The body of a failed message is kept, because clients may
        // ask for it.
        if let Some(replica) = message.replica.as_mut().filter(|_| end.end != End::Failed) {
            replica.message.body = Vec::new();
        }
        message.end = Some(end);
    }

    fn is_outdated(&self, end: &StoredEnd) -> bool {
        !end.callback_pending && end.ended_at_ms + self.end_retention_ms() < self.latest_end_ms
    }
}

impl StateMachine for StateTable {
    fn apply(&mut self, record: &[u8]) {
        match postcard::from_bytes(record) {
            Ok(record) => self.apply_record(record),
            Err(_) => self.unreadable_records += 1,
        }
    }

    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        let mut put = |record: &Record| {
            if let Ok(bytes) = postcard::to_stdvec(record) {
                out(&bytes);
            }
        };
        if let Some(disk_id) = self.disk_id {
            for first_number in &self.incarnation_first_numbers {
                put(&Record::IncarnationStarted { disk_id, first_number: *first_number });
            }
        }
        if let Some(retention_ms) = self.end_retention_ms {
            put(&Record::EndRetentionSet { retention_ms });
        }
        if self.retirement_ordered {
            put(&Record::RetirementOrdered);
        }
        if self.are_shard_terms_missing {
            put(&Record::ShardTermsMissing(true));
        }
        let mut shards_by_claim: BTreeMap<ShardTerm, Vec<Shard>> = BTreeMap::new();
        for (shard, claim) in &self.shard_terms {
            shards_by_claim.entry(*claim).or_default().push(*shard);
        }
        for (claim, shards) in shards_by_claim {
            put(&Record::ShardsGranted { claim, shards });
        }
        for (node, disk_id) in &self.peer_disks {
            put(&Record::PeerDiskKnown { node: *node, disk_id: Some(*disk_id) });
        }
        for node in &self.message_holders {
            put(&Record::MessageHolderGone { node: *node, is_gone: false });
        }
        for node in &self.gone_message_holders {
            put(&Record::MessageHolderGone { node: *node, is_gone: true });
        }
        for (key, message) in &self.messages {
            if message.end.as_ref().is_some_and(|end| self.is_outdated(end)) {
                continue;
            }
            if let Some(replica) = &message.replica {
                put(&Record::Put { replica: replica.clone() });
            }
            if let Some(StoredEnd { end, callback_pending, ended_at_ms }) = message.end.clone() {
                put(&Record::Ended { key: *key, end, callback_pending, ended_at_ms });
            }
        }
    }
}
