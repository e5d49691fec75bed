//! The counter of changes by which nodes say how recent their view is.

/// Counts the changes of a registry, from 1 on: 0 is the version of a node that has had no update.
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
