//! The records that a store writes to its log.

use crate::idempotency::{Shard, ShardTerm};
use crate::message::{End, Key, Node, ReplicatedMessage};
use serde::{Deserialize, Serialize};

/// One change of the store's state, as it is kept on disk.
// Most records are of the large variant: a box would only add an allocation to each.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The store has started.
    IncarnationStarted {
        /// Identifies the disk: a different one means that the disk was replaced.
        disk_id: u64,
        /// The first message number of this incarnation.
        first_number: u64,
    },
    /// A message, owned or a replica, is stored.
    Put {
        /// The message with its ownership.
        replica: ReplicatedMessage,
    },
    /// A message has ended.
    Ended {
        /// Which message.
        key: Key,
        /// How it ended.
        end: End,
        /// Its callback has yet to be delivered.
        callback_pending: bool,
        /// Time of day of the end, in milliseconds since 1970.
        ended_at_ms: u64,
    },
    /// The callback of an ended message was delivered.
    CallbackDelivered {
        /// Which message.
        key: Key,
    },
    /// The owner of a message, or the list of its replicas, has changed.
    OwnerChanged {
        /// Which message.
        key: Key,
        /// The store that delivers it from now on.
        owner: Node,
        /// The term of that ownership.
        term: u32,
        /// The other stores that hold a replica.
        replicas: Vec<Node>,
    },
    /// A message is discarded: it was never confirmed, or another store keeps it.
    Dropped {
        /// Which message.
        key: Key,
    },
    /// An operator has ordered that this store be retired.
    RetirementOrdered,
    /// Another store has named its disk, and all ends that the disk before it may have held lie on enough other disks.
    PeerDiskKnown {
        /// The other store.
        node: Node,
        /// Its disk; `None` where the store is gone for good.
        disk_id: Option<u64>,
    },
    /// An executor has said of one more attempt of a message that it failed.
    AttemptFailed {
        /// Which message.
        key: Key,
        /// How many have failed so far, as far as this store knows.
        failed_attempts: u32,
    },
    /// A claim of shards was granted, or made.
    ShardsGranted {
        /// The claim.
        claim: ShardTerm,
        /// The shards.
        shards: Vec<Shard>,
    },
    /// Whether the disk before this one was lost, and the recovery from that is not complete: the claims that were granted, and the messages
    /// with idempotency keys that lay there, may not be known yet.
    ShardTermsMissing(bool),
    /// Whether another store is gone for good, so that no message with an idempotency key lies there alone.
    MessageHolderGone {
        /// The other store.
        node: Node,
        /// `false` where it was connected for the first time, or is back after all.
        is_gone: bool,
    },
}
