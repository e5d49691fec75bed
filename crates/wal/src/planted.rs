//! Faults for the tests of `crates/model-check/wal/` to find. Without the feature `planted`, which only that package's own build
//! of these sources has, no fault can be set, and nothing is left.

use crate::Options;

/// A fault that a test has to tell of. Each undoes one rule.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// The folder's own name is not synced in the folder that holds it.
    ParentUnsynced,
    /// Names that a killed process left unsynced are built on at the next opening.
    NamesTrusted,
    /// The folder is not synced after a segment was renamed.
    SegmentNameUnsynced,
    /// A checkpoint covers everything before a segment whose name is not lasting yet.
    NamelessCovered,
    /// A snapshot gets its name before it is synced.
    SnapshotUnsynced,
    /// What a snapshot replaces is removed before the snapshot's name is lasting.
    DroppedEarly,
    /// An append is answered before its sync.
    EarlyAnswer,
    /// A torn end is taken as whole: what comes next is written behind it.
    TornTaken,
    /// A segment that is written to again keeps what lies behind its torn end.
    NotCut,
}

#[cfg(feature = "planted")]
impl Planted {
    pub const ALL: [Planted; 9] = [
        Planted::ParentUnsynced,
        Planted::NamesTrusted,
        Planted::SegmentNameUnsynced,
        Planted::NamelessCovered,
        Planted::SnapshotUnsynced,
        Planted::DroppedEarly,
        Planted::EarlyAnswer,
        Planted::TornTaken,
        Planted::NotCut,
    ];
}

impl Options {
    #[cfg(feature = "planted")]
    pub(crate) fn planted(&self, fault: Planted) -> bool {
        self.planted == Some(fault)
    }

    #[cfg(not(feature = "planted"))]
    #[inline(always)]
    pub(crate) const fn planted(&self, _: Planted) -> bool {
        false
    }
}
