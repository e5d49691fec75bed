//! The faults that the search in `crates/model-check/`, or a test, must find.

/// A fault of which a property has to tell. Each undoes one rule of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// A message is acknowledged when the owner's disk has it, and no replica yet.
    EarlyAnswer,
    /// A replica is confirmed before its record is synced.
    CopyUnsynced,
    /// A fenced store starts messages that others may have taken over.
    FenceUnheeded,
    /// After a start messages are released before the stores that hold replicas have reconciled.
    ReleasedEarly,
    /// A slow replica is replaced by another, and the list of replicas on disk stays the old one.
    OldCopyList,
    /// The store of a slow replica that was replaced is not told to drop the message.
    DropUnsent,
    /// An end is sent to others and not kept on disk.
    EndUnkept,
    /// An end is not kept by the process until the disk has it.
    EndKeptByDiskAlone,
    /// A message is offered to all stores that hold replicas of it, not to one.
    HandedTwice,
    /// A takeover does not raise the term.
    TermUnraised,
    /// A message that was taken over is started before others could object that it has ended.
    TakenUnasked,
    /// A store reports that it is empty when it owns nothing, whoever relies on its replicas.
    RetiredEarly,
    /// What a store has said once, that it needs no replica here, stands whatever it says later.
    RelievedForever,
    /// A store reports that it is empty while it holds replicas of what a lost store owned.
    OrphansUnheeded,
    /// A replica is relied on though its store has not confirmed it since this store started.
    CopiesUnconfirmed,
    /// The ends that a retiring store knows are lost with it.
    EndsGoAlong,
    /// A store forgets with its process which disks the others had, and takes the one that it hears of next for the same.
    PeerDisksForgotten,
    /// A message that another store may have accepted too is started before its edge has said which one is kept.
    ResubmittedUnasked,
    /// A retiring store leaves the list of replicas before the replica that replaces its own is confirmed.
    ListShortenedEarly,
    /// A store that restarts does not ask stores that are being retired what became of its messages.
    RetiringUnasked,
    /// After a fence only the stores in the list of replicas are asked what became of a message.
    FenceUnannounced,
    /// A store forgets with its process how many attempts of a message have failed.
    FailedAttemptsForgotten,
    /// How many attempts have failed is not kept by the process until the disk has it.
    FailuresKeptByDiskAlone,
    /// The stores that hold replicas are not told how many attempts have failed.
    FailuresUnannounced,
    /// An end that was copied once to another store is not copied again when one of its disks is lost.
    EndsCopiedOnce,
    /// A store that takes a message over counts the replicas of the former owner's list without having heard of them.
    InheritedListTrusted,
    /// Replicas at a store that is gone for good, and was written off, count.
    GoneReplicasCounted,
    /// A replica that was dropped before it was on disk is confirmed all the same.
    DroppedConfirmed,
    /// Two slow replicas of a message are replaced by one and the same store, which then counts twice.
    ReplicaChosenTwice,
    /// A store counts on a control node that may be cut off together with it.
    CutOffControlNodeTrusted,
    /// A store holds a shard without the grants of other stores.
    ShardsHeldUnasked,
    /// A store that has granted a claim of a shard keeps new replicas from its earlier holder all the same.
    StaleHolderHeeded,
    /// A store whose disk was lost grants claims, and keeps new replicas, before it knows what it had granted.
    BlankStoreGrants,
    /// A message that was taken over, or read from disk, starts before it is certain that no other was accepted with its key.
    KeyUnchecked,
    /// A store that has lost its disk grants claims, and makes them, as if no message had lain there.
    BlankGrantCounts,
}

#[cfg(feature = "planted")]
impl PlantedFault {
    /// All faults, in the order of their definition.
    pub const ALL: [PlantedFault; 35] = [
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
    ];
}
