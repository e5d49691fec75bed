//! Deliberately planted faults that the tests of `crates/model-check/wal/` have to detect. Faults can only be set with
//! the feature `planted`, which is enabled only in that package's own build of these sources. Without the feature this
//! module leaves no code in the program.

/// A planted fault that the power-loss tests must detect. Each fault breaks one durability rule of the log.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// When the log's folder is created, its parent folder is not synced.
    ParentUnsynced,
    /// At the next opening, the folder is not synced before files are created that depend on names that a killed
    /// process left unsynced.
    UnsyncedNamesTrusted,
    /// The folder is not synced after a segment was renamed.
    SegmentNameUnsynced,
    /// A checkpoint covers all files before a segment whose name is not durable yet.
    UnsyncedSegmentCovered,
    /// A snapshot is renamed to its final name before it is synced.
    SnapshotUnsynced,
    /// The files that a snapshot replaces are removed before the folder is synced to make the snapshot's name durable.
    CoveredFilesRemovedEarly,
    /// An append with sync is acknowledged before its sync has completed.
    AcknowledgedBeforeSync,
    /// Entries that were written while a sync was running are treated as covered by that sync.
    LaterWritesCovered,
    /// A torn end of a segment is treated as valid, and new entries are written after it.
    TornEndAccepted,
    /// A segment that is reopened is not truncated, so the bytes of its torn end stay in the file.
    TornEndNotTruncated,
}

#[cfg(feature = "planted")]
impl PlantedFault {
    /// All planted faults, for the power-loss tests to iterate over.
    pub const ALL: [PlantedFault; 10] = [
        PlantedFault::ParentUnsynced,
        PlantedFault::UnsyncedNamesTrusted,
        PlantedFault::SegmentNameUnsynced,
        PlantedFault::UnsyncedSegmentCovered,
        PlantedFault::SnapshotUnsynced,
        PlantedFault::CoveredFilesRemovedEarly,
        PlantedFault::AcknowledgedBeforeSync,
        PlantedFault::LaterWritesCovered,
        PlantedFault::TornEndAccepted,
        PlantedFault::TornEndNotTruncated,
    ];
}
