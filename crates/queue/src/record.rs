//! Records that a store writes to its log.

use crate::idempotency::{Shard, ShardTerm};
use crate::message::{End, Key, Node, ReplicatedMessage};
use serde::{Deserialize, Serialize};

/// One change of the store's state, as written to the log on disk.
// Most records are of the large variant, so boxing it would only add an allocation to each.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The store has started a new incarnation.
    IncarnationStarted {
        /// Identifier of the disk. A different one means that the disk was replaced.
        disk_id: u64,
        /// First message number of this incarnation.
        first_number: u64,
    },
    /// A message is stored, as owner or as replica.
    Put {
        /// The message with its ownership.
        replica: ReplicatedMessage,
    },
    /// A message has ended.
    Ended {
        /// Key of the message.
        key: Key,
        /// How the message ended.
        end: End,
        /// Whether the callback of the message has yet to be delivered.
        callback_pending: bool,
        /// Time of day of the end, in milliseconds since 1970.
        ended_at_ms: u64,
    },
    /// The callback of an ended message was delivered.
    CallbackDelivered {
        /// Key of the message.
        key: Key,
    },
    /// The owner of a message, or its replica list, has changed.
    OwnerChanged {
        /// Key of the message.
        key: Key,
        /// The store that delivers the message from now on.
        owner: Node,
        /// Term of the new ownership.
        term: u32,
        /// Stores other than the owner that hold a replica of the message.
        replicas: Vec<Node>,
    },
    /// A message is discarded, because it was never confirmed or because another store keeps its copy.
    Dropped {
        /// Key of the message.
        key: Key,
    },
    /// An operator has ordered the retirement of this store.
    RetirementOrdered,
    /// Another store has reported its disk, and all ends that its previous disk may have held are on enough other
    /// disks.
    PeerDiskKnown {
        /// The other store.
        node: Node,
        /// Identifier of the other store's disk; `None` if the store is gone for good.
        disk_id: Option<u64>,
    },
    /// An executor has reported that one more attempt of a message failed.
    AttemptFailed {
        /// Key of the message.
        key: Key,
        /// Number of attempts that have failed so far, as far as this store knows.
        failed_attempts: u32,
    },
    /// A claim of shards was granted to another store, or made by this one.
    ShardsGranted {
        /// The claim, as term and claiming store.
        claim: ShardTerm,
        /// The claimed shards.
        shards: Vec<Shard>,
    },
    /// Whether the previous disk was lost and the recovery is not complete: the claims granted on it, and the messages
    /// with idempotency keys stored on it, may not be known yet.
    ShardTermsMissing(bool),
    /// Whether another store is gone for good, so that it is not the only holder of any message with an idempotency
    /// key.
    MessageHolderGone {
        /// The other store.
        node: Node,
        /// `false` if the store was connected for the first time, or has returned after all.
        is_gone: bool,
    },
    /// Ends are kept on disk for a time other than the one of a new disk.
    EndRetentionSet {
        /// Time for which an end is kept, in milliseconds.
        retention_ms: u64,
    },
}
