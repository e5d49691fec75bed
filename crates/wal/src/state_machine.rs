//! The state that is built from the records of a log.

/// A state that is built by applying the log's records in order, and that can produce records which rebuild it.
///
/// Recovery applies all records of a folder to the default state. A checkpoint builds a second copy of the state
/// beside the program's own, so the state temporarily takes twice its memory.
pub trait StateMachine: Default + Send + 'static {
    /// Applies the next record. Records are passed exactly as they were appended; the implementation has to handle
    /// records that it can't parse.
    fn apply(&mut self, record: &[u8]);

    /// Passes to `out` the records that rebuild this state when they are applied to the default state.
    ///
    /// The records of the snapshot should take no more bytes than the records that they replace; otherwise
    /// [`Options::capacity_bytes`](crate::Options::capacity_bytes) can't be respected.
    fn snapshot(&self, out: &mut dyn FnMut(&[u8]));
}
