//! Planting a fault in a queue. Without the feature `planted`, which only the package `crates/model-check/queue` has, no fault
//! can be set, and nothing of this is left in a build.

use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

#[cfg(not(feature = "planted"))]
impl Queue {
    /// Whether this store has the fault: never, so that the compiler removes what depends on it.
    #[inline(always)]
    pub(crate) const fn planted(&self, _: PlantedFault) -> bool {
        false
    }
}

#[cfg(feature = "planted")]
impl Queue {
    /// Whether this store has the fault.
    pub(crate) fn planted(&self, fault: PlantedFault) -> bool {
        self.planted == Some(fault)
    }

    /// From here on this store has the fault, or none.
    pub fn plant(&mut self, fault: Option<PlantedFault>) {
        self.planted = fault;
    }
}
