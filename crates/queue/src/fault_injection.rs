//! For the search over orders of events in `crates/model-check/`: faults that it, or a test, must find. Without the feature `planted`,
//! which only the package `crates/model-check/hold` has, no fault can be set, and nothing of this is left in a build.

use crate::queue::Queue;

/// A fault of which a property has to tell. Each undoes one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// A message is answered as taken when the own disk has it, and no copy yet.
    EarlyAnswer,
    /// A copy is confirmed before its record is synced.
    CopyUnsynced,
    /// A store starts messages that others may have taken over.
    FenceUnheeded,
    /// After a start messages go on before those that hold copies have spoken.
    ReleasedEarly,
    /// A copy that was replaced by another: the list on disk stays the old one.
    OldCopyList,
    /// A slow copy that was replaced by another is not told to drop the message.
    DropUnsent,
    /// An end is told, and not kept on disk.
    EndUnkept,
    /// A message is offered to all that hold copies of it, not to one.
    HandedTwice,
    /// A take-over does not raise the term.
    TermUnraised,
    /// What was taken over is started before others could say that it has ended.
    TakenUnasked,
    /// A store says that it is empty when it owns nothing, whoever counts on its copies.
    RetiredEarly,
    /// What a store has said once, that it counts on no copy here, stands whatever it says later.
    RelievedForever,
    /// A store says that it is empty while it holds copies of what a lost store owned.
    OrphansUnheeded,
    /// A copy is counted on though its holder has not said, since this store started, that it is there.
    CopiesUnconfirmed,
    /// Ends that a store knows go with it.
    EndsGoAlong,
}

#[cfg(feature = "planted")]
impl PlantedFault {
    pub const ALL: [PlantedFault; 15] = [
        PlantedFault::EarlyAnswer,
        PlantedFault::CopyUnsynced,
        PlantedFault::FenceUnheeded,
        PlantedFault::ReleasedEarly,
        PlantedFault::OldCopyList,
        PlantedFault::DropUnsent,
        PlantedFault::EndUnkept,
        PlantedFault::HandedTwice,
        PlantedFault::TermUnraised,
        PlantedFault::TakenUnasked,
        PlantedFault::RetiredEarly,
        PlantedFault::RelievedForever,
        PlantedFault::OrphansUnheeded,
        PlantedFault::CopiesUnconfirmed,
        PlantedFault::EndsGoAlong,
    ];
}

#[cfg(not(feature = "planted"))]
impl Queue {
    #[inline(always)]
    pub(crate) const fn planted(&self, _: PlantedFault) -> bool {
        false
    }
}

#[cfg(feature = "planted")]
impl Queue {
    pub(crate) fn planted(&self, fault: PlantedFault) -> bool {
        self.planted == Some(fault)
    }

    /// From here on this store has the fault.
    pub fn plant(&mut self, fault: Option<PlantedFault>) {
        self.planted = fault;
    }
}
