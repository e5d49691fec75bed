//! Fault injection for tests of the queue. Without the feature `planted`, which only the package
//! `crates/model-check/queue` enables, no fault can be set, and the compiler removes all of this code.

#[cfg(feature = "planted")]
use crate::message::Key;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

#[cfg(not(feature = "planted"))]
impl Queue {
    /// Whether this fault is injected into this store. Constantly false without the feature `planted`, so that the
    /// compiler removes the code that depends on it.
    #[inline(always)]
    pub(crate) const fn planted(&self, _: PlantedFault) -> bool {
        false
    }
}

#[cfg(feature = "planted")]
impl Queue {
    /// Whether this fault is injected into this store.
    pub(crate) fn planted(&self, fault: PlantedFault) -> bool {
        self.planted == Some(fault)
    }

    /// Injects a fault into this store, or removes it. It acts on messages that were read from disk as well.
    pub fn plant(&mut self, fault: Option<PlantedFault>) {
        self.planted = fault;
        let keys: Vec<Key> = self.entries.iter().map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| self.update_expiry(key));
    }
}
