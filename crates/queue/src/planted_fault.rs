//! Faults that can be injected into a queue, and that the model check in `crates/model-check/` or a test must find.

/// A fault that a checked property must detect. Each one disables one rule of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// A message is acknowledged as soon as it is on the owner's disk, before any replica is stored.
    EarlyAnswer,
    /// A replica is confirmed before its record is synced to disk.
    CopyUnsynced,
    /// A fenced store starts messages that other stores may have taken over.
    FenceUnheeded,
    /// After a restart, messages are released before the stores that hold replicas have reconciled.
    ReleasedEarly,
    /// A slow replica is replaced by another one, but the replica list on disk is not updated.
    OldCopyList,
    /// The store of a slow replica that was replaced is not told to drop the message.
    DropUnsent,
    /// The end of a message is sent to other stores but not written to disk.
    EndUnkept,
    /// The end of a message does not survive a restart of the process until it is on disk.
    EndKeptByDiskAlone,
    /// A message is offered in a handover to all stores that hold its replicas instead of one.
    HandedTwice,
    /// A takeover of a message does not raise the term of its ownership.
    TermUnraised,
    /// A message that was taken over is started before other stores could report that it has ended.
    TakenUnasked,
    /// A retiring store reports that it is empty once it owns nothing, although other stores rely on its replicas.
    RetiredEarly,
    /// A peer's notice that it needs no replica here stays in force even if the peer relies on replicas here again.
    RelievedForever,
    /// A retiring store reports that it is empty while it holds replicas of messages that a lost store owned.
    OrphansUnheeded,
    /// A replica is relied on although its store has not confirmed it since this store started.
    CopiesUnconfirmed,
    /// The ends that a retiring store knows are lost with it.
    EndsGoAlong,
    /// A restarted store does not know which disks the other stores had, and takes the next disk that each reports for
    /// the same one.
    PeerDisksForgotten,
    /// A message that another store may have accepted too is started before its edge has decided which copy is kept.
    ResubmittedUnasked,
    /// A retiring store is removed from a replica list before the replica that replaces its own is confirmed.
    ListShortenedEarly,
    /// A restarted store does not ask retiring stores about the state of its messages.
    RetiringUnasked,
    /// After a fence, only the stores in the replica list are asked about the state of a message.
    FenceUnannounced,
    /// A restarted store does not know how many attempts of a message have failed.
    FailedAttemptsForgotten,
    /// The number of failed attempts does not survive a restart of the process until it is on disk.
    FailuresKeptByDiskAlone,
    /// The stores that hold replicas of a message are not told how many of its attempts have failed.
    FailuresUnannounced,
    /// An end that was copied once to another store is not copied again when one of the disks holding it is lost.
    EndsCopiedOnce,
    /// A store that takes a message over counts the replicas in the former owner's list without having heard from their
    /// stores.
    InheritedListTrusted,
    /// Replicas at a store that is gone for good and was written off still count.
    GoneReplicasCounted,
    /// A replica that was dropped before it was on disk is confirmed all the same.
    DroppedConfirmed,
    /// Two slow replicas of a message are replaced by the same store, which then counts twice.
    ReplicaChosenTwice,
    /// A store trusts a control node that may be partitioned together with it.
    CutOffControlNodeTrusted,
    /// A store holds a shard of idempotency keys without the grants of other stores.
    ShardsHeldUnasked,
    /// A store that has granted a claim of a shard still stores new replicas from the shard's earlier holder.
    StaleHolderHeeded,
    /// A store whose disk was lost grants claims of shards, and stores new replicas, before it knows which claims it
    /// had granted.
    BlankStoreGrants,
    /// A message that was taken over, or read from disk, is started before it is certain that no other message was
    /// accepted with its idempotency key.
    KeyUnchecked,
    /// A store that has lost its disk grants and makes claims of shards as if no message had been on that disk.
    BlankGrantCounts,
    /// A store without a configuration lets messages expire by the wait of a message without a route.
    UnconfiguredStoreExpires,
    /// No message waits longer than one without a route, whatever its route allows.
    LongWaitsCut,
    /// The messages that other stores report for a shard are kept for 90 s, whatever the idempotency window is.
    ReportsKeptForFixedTime,
    /// Ends are kept in memory for as long as they can be looked up, whatever the idempotency window is.
    EndsKeptByStatusAlone,
    /// A store without a configuration accepts messages of all tenants.
    UnconfiguredStoreAdmits,
    /// Quotas are measured over a window of one minute, whatever the window of the deployment is.
    QuotaWindowFixed,
    /// A store that has lost its disk ends its recovery though too many other disks were lost meanwhile.
    LostDisksUncounted,
}

#[cfg(feature = "planted")]
impl PlantedFault {
    /// All faults, in the order of their definition.
    pub const ALL: [PlantedFault; 42] = [
        PlantedFault::EarlyAnswer,
        PlantedFault::CopyUnsynced,
        PlantedFault::FenceUnheeded,
        PlantedFault::ReleasedEarly,
        PlantedFault::OldCopyList,
        PlantedFault::DropUnsent,
        PlantedFault::EndUnkept,
        PlantedFault::EndKeptByDiskAlone,
        PlantedFault::HandedTwice,
        PlantedFault::TermUnraised,
        PlantedFault::TakenUnasked,
        PlantedFault::RetiredEarly,
        PlantedFault::RelievedForever,
        PlantedFault::OrphansUnheeded,
        PlantedFault::CopiesUnconfirmed,
        PlantedFault::EndsGoAlong,
        PlantedFault::PeerDisksForgotten,
        PlantedFault::ResubmittedUnasked,
        PlantedFault::ListShortenedEarly,
        PlantedFault::RetiringUnasked,
        PlantedFault::FenceUnannounced,
        PlantedFault::FailedAttemptsForgotten,
        PlantedFault::FailuresKeptByDiskAlone,
        PlantedFault::FailuresUnannounced,
        PlantedFault::EndsCopiedOnce,
        PlantedFault::InheritedListTrusted,
        PlantedFault::GoneReplicasCounted,
        PlantedFault::DroppedConfirmed,
        PlantedFault::ReplicaChosenTwice,
        PlantedFault::CutOffControlNodeTrusted,
        PlantedFault::ShardsHeldUnasked,
        PlantedFault::StaleHolderHeeded,
        PlantedFault::BlankStoreGrants,
        PlantedFault::KeyUnchecked,
        PlantedFault::BlankGrantCounts,
        PlantedFault::UnconfiguredStoreExpires,
        PlantedFault::LongWaitsCut,
        PlantedFault::ReportsKeptForFixedTime,
        PlantedFault::EndsKeptByStatusAlone,
        PlantedFault::UnconfiguredStoreAdmits,
        PlantedFault::QuotaWindowFixed,
        PlantedFault::LostDisksUncounted,
    ];
}
