//! Faults for the tests of `crates/model-check/wal/` to find. Without the feature `planted`, which only that package's own build
//! of these sources has, no fault can be set, and nothing of this is left in the program.

/// A fault that a test must detect. Each breaks one rule.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// The folder's own name is not synced in the folder that holds it.
    ParentUnsynced,
    /// Names that a killed process left unsynced are built on at the next opening.
    NamesTrusted,
    /// The folder is not synced after a segment was renamed.
    SegmentNameUnsynced,
    /// A checkpoint covers everything before a segment whose name may still be lost.
    NamelessCovered,
    /// A snapshot gets its name before it is synced.
    SnapshotUnsynced,
    /// What a snapshot replaces is removed before the snapshot's name is synced.
    DroppedEarly,
    /// An append is answered before its sync.
    EarlyAnswer,
    /// A sync covers what was written while it ran.
    LaterWritesCovered,
    /// A torn end counts as valid: what comes next is written behind it.
    TornTaken,
    /// A segment that is written to again keeps what lies behind its torn end.
    NotCut,
}

#[cfg(feature = "planted")]
impl PlantedFault {
    /// Each of them, for the search.
    pub const ALL: [PlantedFault; 10] = [
        PlantedFault::ParentUnsynced,
        PlantedFault::NamesTrusted,
        PlantedFault::SegmentNameUnsynced,
        PlantedFault::NamelessCovered,
        PlantedFault::SnapshotUnsynced,
        PlantedFault::DroppedEarly,
        PlantedFault::EarlyAnswer,
        PlantedFault::LaterWritesCovered,
        PlantedFault::TornTaken,
        PlantedFault::NotCut,
    ];
}
