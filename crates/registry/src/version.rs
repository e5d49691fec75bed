//! The version counter of the registry: nodes name a version when they poll, to say how recent their view is.

/// Counts the changes of a registry, starting at 1. Version 0 stands for a node that has not had an update.
pub struct VersionCounter(u64);

impl VersionCounter {
    pub fn new() -> VersionCounter {
        VersionCounter(1)
    }

    /// The version of the latest change.
    pub fn current(&self) -> u64 {
        self.0
    }

    /// Counts one more change and returns its version.
    pub fn advance(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}
