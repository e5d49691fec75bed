//! What stores send to each other.

use crate::idempotency::{IdempotencyDigest, Shard, ShardTerm};
use crate::message::{End, Key, Message, Node, ReplicatedMessage};
use serde::{Deserialize, Serialize};

/// Who owns a message, and which other stores hold a replica of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    /// Which message.
    pub key: Key,
    /// The store that delivers it.
    pub owner: Node,
    /// Of two claims the one with the higher term holds; of equal terms that of the lower node.
    pub term: u32,
    /// The other stores that hold a replica.
    pub replicas: Vec<Node>,
}

/// State of one message at one store, without its content: live, or ended with its callback pending.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// Which message.
    pub key: Key,
    /// Its owner, for all that the sender knows.
    pub owner: Node,
    /// The term of that ownership.
    pub term: u32,
    /// The message has ended, and its callback is pending.
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

/// Digest of the messages of one range: two stores whose digests are equal hold the same.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RangeDigest {
    /// Which messages.
    pub range: KeyRange,
    /// How many there are.
    pub count: u32,
    /// Exclusive or of a hash of each message's state: the order does not matter.
    pub hash: u64,
}

/// A message that its owner gives to a store that holds a replica.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverOffer {
    /// Which message.
    pub key: Key,
    /// The term of the present owner: the new one takes a higher one.
    pub term: u32,
    /// Attempts that have failed so far.
    pub attempts: u32,
}

/// A message that the sender has accepted in a handover.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedHandover {
    /// Which message.
    pub key: Key,
    /// The term of the new ownership.
    pub term: u32,
}

/// The end of a message, sent to the stores that hold a replica of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndNotice {
    /// Which message.
    pub key: Key,
    /// How it ended.
    pub end: End,
    /// Its callback has yet to be delivered.
    pub callback_pending: bool,
}

/// How many attempts of a message have failed, sent to the stores that hold a replica of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailureNotice {
    /// Which message.
    pub key: Key,
    /// How many have failed so far, as far as the sender knows.
    pub failed_attempts: u32,
    /// Of how many of them the sender has read the answer itself.
    pub read_by_sender: u32,
}

/// The end of a message that a retiring store transfers to one that did not know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredEnd {
    /// Which message.
    pub key: Key,
    /// How it ended.
    pub end: End,
    /// Its callback has yet to be delivered.
    pub callback_pending: bool,
    /// Body and time of a message that failed: clients may still ask for them. Tenant and idempotency key of any that has them.
    pub failed_message: Option<Message>,
}

/// A message with an idempotency key, as a store names it to one that claims the shard of the key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownSubmission {
    /// The digest of its key.
    pub digest: IdempotencyDigest,
    /// Which message.
    pub key: Key,
    /// The term of the shard in which it was to be accepted.
    pub shard_term: u64,
    /// It was accepted, or will be delivered all the same; else it may have been accepted or not.
    pub is_accepted: bool,
}

/// A store's answer to a claim of shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is granted; these messages of the shards lie on the sender's disk.
    Granted(Vec<KnownSubmission>),
    /// A higher claim of one of the shards was granted before.
    Refused {
        /// Its term.
        term: u64,
    },
    /// The sender can't say: it has lost its disk, or misses too many stores.
    Abstained,
}

/// What a store says to one that has lost its disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// The request that is answered.
    pub round: u64,
    /// All messages and ends that lie at the sender, and that the lost disk may have held, lie on enough disks.
    pub is_replicated: bool,
    /// The sender knew the receiver with another disk: that one is lost. Else the receiver may be new.
    pub knew_other_disk: bool,
    /// The sender has lost its disk, too, and has not recovered.
    pub is_recovering: bool,
    /// The other stores that may hold messages with idempotency keys, as the sender knows them.
    pub holders: Vec<Node>,
}

/// Position of a message in its FIFO group: messages start in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupPosition {
    /// When it was accepted: time of day in milliseconds, raised beyond those of the group's earlier messages.
    pub accepted_at_ms: u64,
    /// Which message; of two that were accepted at the same time the lower key is first.
    pub key: Key,
}

/// A message of a FIFO group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupMessage {
    /// The group's ordering key.
    pub group: String,
    /// Which message.
    pub key: Key,
}

/// A message between two stores.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Keep these replicas; answered with `Replicated` once they are on disk.
    Replicate(Vec<ReplicatedMessage>),
    /// The sender has these replicas on disk.
    Replicated(Vec<Key>),
    /// The sender could not keep these replicas: its disk is full or does not answer.
    ReplicationRejected(Vec<Key>),
    /// These messages have ended.
    Ended(Vec<EndNotice>),
    /// The callbacks of these ended messages were delivered. An empty one says that the sender takes `AttemptsFailed`; an earlier version
    /// makes nothing of it.
    CallbacksDelivered(Vec<Key>),
    /// Who owns these messages now.
    OwnershipChanged(Vec<Ownership>),
    /// Discard these messages, of which the sender is the owner.
    Drop(Vec<Key>),
    /// The sender owned these messages and has lost them with its disk.
    LostWithDisk(Vec<Key>),
    /// The sender should hold replicas of these messages and has none.
    RequestReplicas(Vec<Key>),
    /// Identifies the sender's disk; sent first on each connection. A different one means that the disk was replaced.
    DiskId(u64),
    /// Digests of the messages that both stores hold.
    Digests {
        /// Identifies the sender's disk.
        disk_id: u64,
        /// Messages younger than this, in milliseconds, are left out.
        min_age_ms: u64,
        /// One for each range that is not empty.
        digests: Vec<RangeDigest>,
    },
    /// The messages of these ranges that both stores hold, as the sender sees them.
    RangeContents {
        /// Identifies the sender's disk.
        disk_id: u64,
        /// The receiver is to answer with its own contents of the ranges.
        reply_wanted: bool,
        /// The ranges that are listed in full.
        ranges: Vec<KeyRange>,
        /// The live messages of these ranges.
        entries: Vec<EntrySummary>,
    },
    /// The sender has answered a `RangeContents` in full, or found no difference: the two stores are reconciled.
    Reconciled,
    /// The sender shuts down and offers these messages to the receiver, which holds replicas of them.
    Handover(Vec<HandoverOffer>),
    /// The sender has become the owner of these.
    HandoverAccepted(Vec<AcceptedHandover>),
    /// The sender does not know these messages and becomes the owner of none of them.
    HandoverRejected(Vec<Key>),
    /// Asks which messages of a FIFO group are live at the receiver.
    GroupQuery {
        /// Identifies the query in its answer.
        query_id: u64,
        /// The group's ordering key.
        group: String,
        /// Position of the message for which the sender asks: see [`GroupPosition`].
        accepted_at_ms: u64,
        /// The message for which the sender asks.
        key: Key,
        /// The sender is about to store this message: the receiver is to remember it.
        is_announcement: bool,
    },
    /// Answers a `GroupQuery`.
    GroupQueryReply {
        /// The query's identifier.
        query_id: u64,
        /// The announced message is to be placed no earlier than this time of day, in milliseconds.
        min_accepted_at_ms: u64,
        /// The group's live messages at the sender, the lowest first; at most 64.
        live: Vec<GroupPosition>,
    },
    /// These messages, which the sender had announced, have ended.
    GroupMessagesEnded(Vec<GroupMessage>),
    /// The sender is draining: it accepts no more messages and replicas.
    Draining,
    /// The sender is being retired: replicas that it holds must be made elsewhere.
    Retiring,
    /// The sender relies on no replica at the receiver.
    NoReplicasNeeded,
    /// The sender is being retired: store these ends; answered with `EndsStored` once they are on disk.
    TransferEnds(Vec<TransferredEnd>),
    /// The sender has these ends on disk.
    EndsStored(Vec<Key>),
    /// The sender wants tokens of a rate-limited service from their holder.
    RequestTokens {
        /// Name of the service.
        service: String,
        /// How many are wanted.
        count: u32,
    },
    /// The holder of a rate-limited service grants tokens.
    GrantTokens {
        /// Name of the service.
        service: String,
        /// How many requests may be sent; 0 if none.
        count: u32,
    },
    /// Keep these replicas of messages that the sender is about to accept, unless another store has claimed the shards of their
    /// idempotency keys; answered with `Replicated` once they are on disk, or with `StaleShard`.
    ReplicateNew(Vec<ReplicatedMessage>),
    /// A replica was not kept: a higher claim of its shard was granted.
    StaleShard {
        /// The term of that claim.
        term: u64,
        /// The message.
        key: Key,
    },
    /// The sender wants to hold these shards; answered with `ClaimAnswered`.
    ClaimShards {
        /// Identifies the claim in its answer.
        claim_id: u64,
        /// The term of the claim.
        term: u64,
        /// The shards.
        shards: Vec<Shard>,
    },
    /// Answers `ClaimShards`.
    ClaimAnswered {
        /// The claim's identifier.
        claim_id: u64,
        /// What the sender says to it.
        answer: ClaimAnswer,
    },
    /// The sender has lost its disk, and with it the claims that it had granted: answered with `ShardTerms`.
    RequestShardTerms,
    /// The highest claims that the sender has granted.
    ShardTerms(Vec<(Shard, ShardTerm)>),
    /// The sender owns these messages, and can't say whether they were accepted: answered with `SubmissionVerdicts` by a store that
    /// holds the shards of their keys.
    UncertainSubmissions(Vec<KnownSubmission>),
    /// What becomes of messages that were not certain.
    SubmissionVerdicts {
        /// These are to be accepted anew, each in this term.
        accepted: Vec<(Key, u64)>,
        /// These were not accepted: there are others with their keys.
        dropped: Vec<Key>,
    },
    /// The sender has accepted these messages anew.
    SubmissionsAccepted(Vec<KnownSubmission>),
    /// The sender has lost its disk, and does not know which messages lay there; answered with `RecoveryReport`.
    RequestRecoveryReport {
        /// Counts the requests of the sender: named in the answer.
        round: u64,
    },
    /// Answers `RequestRecoveryReport`.
    RecoveryReport(RecoveryReport),
    /// All that lay on the sender's lost disk lies on enough others.
    Recovered,
    /// Attempts of these messages have failed. Only for a receiver that has said, by an empty `CallbacksDelivered`, that it knows this
    /// message.
    AttemptsFailed(Vec<FailureNotice>),
}
