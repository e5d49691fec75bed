//! Messages that stores send to each other.

use crate::idempotency::{IdempotencyDigest, Shard, ShardTerm};
use crate::message::{End, Key, Message, Node, ReplicatedMessage};
use serde::{Deserialize, Serialize};

/// The owner of a message and the other stores that hold a replica of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    /// Key of the message.
    pub key: Key,
    /// The store that delivers the message.
    pub owner: Node,
    /// Term of the ownership. Of two claims the one with the higher term is valid; of equal terms that of the lower
    /// node.
    pub term: u32,
    /// Stores other than the owner that hold a replica of the message.
    pub replicas: Vec<Node>,
}

/// State of one message at one store, without its content. The message is live, or has ended with its callback pending.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// Key of the message.
    pub key: Key,
    /// Owner of the message, as far as the sender knows.
    pub owner: Node,
    /// Term of the ownership.
    pub term: u32,
    /// Whether the message has ended, with its callback pending.
    pub has_ended: bool,
}

/// A block of consecutive message numbers among the messages of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRange {
    /// The owner of the messages.
    pub owner: Node,
    /// Number of the block: a message number without its lowest ten bits.
    pub block: u64,
}

/// Digest of the messages of one range. Two stores with equal digests hold the same messages.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RangeDigest {
    /// The range of message keys.
    pub range: KeyRange,
    /// Number of messages in the range.
    pub count: u32,
    /// Exclusive or of a hash of each message's state, so that the order of messages does not matter.
    pub hash: u64,
}

/// Offer of a message by its owner to a store that holds a replica.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverOffer {
    /// Key of the message.
    pub key: Key,
    /// Term of the present owner. The new owner takes a higher one.
    pub term: u32,
    /// Number of attempts that have failed so far.
    pub attempts: u32,
}

/// A message that the sender has accepted in a handover.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedHandover {
    /// Key of the message.
    pub key: Key,
    /// The term of the new ownership.
    pub term: u32,
}

/// The end of a message, sent to the stores that hold a replica of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndNotice {
    /// Key of the message.
    pub key: Key,
    /// How the message ended.
    pub end: End,
    /// Whether the callback of the message has yet to be delivered.
    pub callback_pending: bool,
}

/// Number of failed attempts of a message, sent to the stores that hold a replica of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailureNotice {
    /// Key of the message.
    pub key: Key,
    /// Number of attempts that have failed so far, as far as the sender knows.
    pub failed_attempts: u32,
    /// Number of failed attempts whose response the sender has read itself.
    pub read_by_sender: u32,
}

/// The end of a message that is transferred to a store that did not know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredEnd {
    /// Key of the message.
    pub key: Key,
    /// How the message ended.
    pub end: End,
    /// Whether the callback of the message has yet to be delivered.
    pub callback_pending: bool,
    /// Body and time of acceptance of a failed message, because clients may still ask for them; tenant and idempotency
    /// key of any message that has them.
    pub failed_message: Option<Message>,
}

/// A message with an idempotency key, as reported to a store that claims the shard of the key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownSubmission {
    /// Digest of the message's idempotency key.
    pub digest: IdempotencyDigest,
    /// Key of the message.
    pub key: Key,
    /// Term of the shard in which the message was to be accepted.
    pub shard_term: u64,
    /// Whether the message was accepted, or will be delivered in any case. Otherwise it may have been accepted or not.
    pub is_accepted: bool,
}

/// A store's answer to a claim of shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is granted. Contains the messages of the claimed shards that are on the sender's disk.
    Granted(Vec<KnownSubmission>),
    /// The claim is refused because a higher claim of one of the shards was granted before.
    Refused {
        /// Term of the higher claim.
        term: u64,
    },
    /// The sender cannot decide, because it has lost its disk or is not connected to enough stores.
    Abstained,
}

/// Answer to a store that has lost its disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// Number of the request that is answered.
    pub round: u64,
    /// Whether all messages and ends that the sender holds, and that the lost disk may have held, are on enough disks.
    pub is_replicated: bool,
    /// Whether the sender knew the receiver with a different disk, which is therefore lost. Otherwise the receiver may
    /// be a new store.
    pub knew_other_disk: bool,
    /// Whether the sender has lost its disk, too, and has not recovered.
    pub is_recovering: bool,
    /// The other stores that may hold messages with idempotency keys, as far as the sender knows.
    pub holders: Vec<Node>,
}

/// Position of a message in its FIFO group. The messages of a group start in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupPosition {
    /// Time of day at which the message was accepted, in milliseconds since 1970, raised beyond the times of earlier
    /// messages of the group.
    pub accepted_at_ms: u64,
    /// Key of the message. Of two messages that were accepted at the same time the one with the lower key is first.
    pub key: Key,
}

/// A message of a FIFO group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupMessage {
    /// The group's ordering key.
    pub group: String,
    /// Key of the message.
    pub key: Key,
}

/// A message between two stores.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Request to store these replicas, answered with `Replicated` once they are on disk.
    Replicate(Vec<ReplicatedMessage>),
    /// Notice that the sender has these replicas on disk.
    Replicated(Vec<Key>),
    /// Notice that the sender could not store these replicas, because its disk is full or does not answer.
    ReplicationRejected(Vec<Key>),
    /// Notice that these messages have ended.
    Ended(Vec<EndNotice>),
    /// Notice that the callbacks of these ended messages were delivered. An empty list announces that the sender
    /// accepts `AttemptsFailed`; earlier versions ignore an empty list.
    CallbacksDelivered(Vec<Key>),
    /// The current ownership of these messages.
    OwnershipChanged(Vec<Ownership>),
    /// Request to discard these messages, of which the sender is the owner.
    Drop(Vec<Key>),
    /// Notice that the sender owned these messages and has lost them with its disk.
    LostWithDisk(Vec<Key>),
    /// Request for replicas of these messages, which the sender should hold and does not.
    RequestReplicas(Vec<Key>),
    /// Identifier of the sender's disk, sent first on each connection. A different identifier than before means that
    /// the disk was replaced.
    DiskId(u64),
    /// Digests of the messages that both stores hold.
    Digests {
        /// Identifier of the sender's disk.
        disk_id: u64,
        /// Minimum age of the included messages, in milliseconds. Younger messages are left out.
        min_age_ms: u64,
        /// Digests of all ranges that are not empty.
        digests: Vec<RangeDigest>,
    },
    /// The messages of some ranges that both stores hold, as the sender knows them.
    RangeContents {
        /// Identifier of the sender's disk.
        disk_id: u64,
        /// Whether the receiver is to answer with its own contents of the ranges.
        reply_wanted: bool,
        /// The ranges whose messages are listed in full.
        ranges: Vec<KeyRange>,
        /// The live messages of these ranges.
        entries: Vec<EntrySummary>,
    },
    /// Notice that the sender has answered a `RangeContents` in full, or has found no difference, so that the two
    /// stores are reconciled.
    Reconciled,
    /// Offer of these messages by a sender that is shutting down, to a receiver that holds replicas of them.
    Handover(Vec<HandoverOffer>),
    /// Notice that the sender has become the owner of these messages.
    HandoverAccepted(Vec<AcceptedHandover>),
    /// Notice that the sender does not know these messages and does not become their owner.
    HandoverRejected(Vec<Key>),
    /// Query for the messages of a FIFO group that are live at the receiver.
    GroupQuery {
        /// Identifies the query in the reply.
        query_id: u64,
        /// The group's ordering key.
        group: String,
        /// Time of acceptance of the message for which the query is made, in milliseconds since 1970; with the key it
        /// is the message's [`GroupPosition`].
        accepted_at_ms: u64,
        /// Key of the message for which the query is made.
        key: Key,
        /// Whether the sender is about to store this message, so that the receiver has to remember it.
        is_announcement: bool,
    },
    /// Reply to a `GroupQuery`.
    GroupQueryReply {
        /// Identifier of the query.
        query_id: u64,
        /// Lower bound for the time of acceptance of the announced message, in milliseconds since 1970.
        min_accepted_at_ms: u64,
        /// Live messages of the group at the sender, the lowest first; at most 64.
        live: Vec<GroupPosition>,
    },
    /// Notice that these messages, which the sender had announced, have ended.
    GroupMessagesEnded(Vec<GroupMessage>),
    /// Notice that the sender is draining and accepts no more messages and replicas.
    Draining,
    /// Notice that the sender is retiring, so that the replicas it holds must be recreated elsewhere.
    Retiring,
    /// Notice that the sender relies on no replica at the receiver.
    NoReplicasNeeded,
    /// Request to store these ends, answered with `EndsStored` once they are on disk.
    TransferEnds(Vec<TransferredEnd>),
    /// Notice that the sender has these ends on disk.
    EndsStored(Vec<Key>),
    /// Request for tokens of a rate-limited service, sent to their holder.
    RequestTokens {
        /// Name of the service.
        service: String,
        /// Number of tokens requested.
        count: u32,
    },
    /// Grant of tokens of a rate-limited service by their holder.
    GrantTokens {
        /// Name of the service.
        service: String,
        /// Number of tokens granted; each allows one request, and 0 means that none were available.
        count: u32,
    },
    /// Request to store replicas of messages that the sender is about to accept, unless another store has claimed the
    /// shards of their idempotency keys. Answered with `Replicated` once they are on disk, or with `StaleShard`.
    ReplicateNew(Vec<ReplicatedMessage>),
    /// Notice that a replica was not stored because a higher claim of its shard was granted.
    StaleShard {
        /// Term of the higher claim.
        term: u64,
        /// Key of the message.
        key: Key,
    },
    /// Claim of shards by the sender, answered with `ClaimAnswered`.
    ClaimShards {
        /// Identifies the claim in the answer.
        claim_id: u64,
        /// Term of the claim.
        term: u64,
        /// The claimed shards.
        shards: Vec<Shard>,
    },
    /// Answer to `ClaimShards`.
    ClaimAnswered {
        /// Identifier of the claim.
        claim_id: u64,
        /// The sender's answer to the claim.
        answer: ClaimAnswer,
    },
    /// Request for the granted claims of shards, sent by a store that has lost its own record of them with its disk.
    /// Answered with `ShardTerms`.
    RequestShardTerms,
    /// The highest claims of shards that the sender has granted.
    ShardTerms(Vec<(Shard, ShardTerm)>),
    /// Messages that the sender owns without knowing whether they were accepted. A store that holds the shards of their
    /// keys answers with `SubmissionVerdicts`.
    UncertainSubmissions(Vec<KnownSubmission>),
    /// Decision about messages that may not have been accepted.
    SubmissionVerdicts {
        /// Keys of the messages that are to be accepted again, each with the shard term in which it is accepted.
        accepted: Vec<(Key, u64)>,
        /// Keys of messages that were not accepted, because other messages have their idempotency keys.
        dropped: Vec<Key>,
    },
    /// Notice that the sender has accepted these messages again.
    SubmissionsAccepted(Vec<KnownSubmission>),
    /// Request for a `RecoveryReport`, sent by a store that has lost its disk and does not know which messages were on
    /// it.
    RequestRecoveryReport {
        /// Number of the request, repeated in the answer.
        round: u64,
    },
    /// Answer to `RequestRecoveryReport`.
    RecoveryReport(RecoveryReport),
    /// Notice that everything on the sender's lost disk is stored on enough other disks.
    Recovered,
    /// Notice that attempts of these messages have failed. Sent only to a receiver that has announced, with an empty
    /// `CallbacksDelivered`, that it knows this message.
    AttemptsFailed(Vec<FailureNotice>),
}
