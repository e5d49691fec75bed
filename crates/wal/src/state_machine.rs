//! What the records of a log amount to.

/// The state that records build when they are applied in order, and the records that rebuild it.
///
/// Recovery applies all records of a folder to the default. A checkpoint builds a second state beside the program's own, so
/// its memory is needed twice for a while.
pub trait StateMachine: Default + Send + 'static {
    /// Takes in the next record. Records are as they were appended; one that can't be read is this trait's to deal with.
    fn apply(&mut self, record: &[u8]);

    /// Gives records that rebuild this state when they are applied to the default.
    ///
    /// They should take no more bytes than the records they stand for, or
    /// [`Options::capacity_bytes`](crate::Options::capacity_bytes) can't be kept.
    fn snapshot(&self, out: &mut dyn FnMut(&[u8]));
}
