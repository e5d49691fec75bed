//! What happens at an executor, as it is reported to the play.

/// What happened at an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExecutorEvent {
    Started(u64),
    /// So much of the job is done.
    Progress(u64, f64),
    Done(u64),
    Failed(u64),
    /// The job was killed; so much of it was done.
    Lost(u64, f64),
    /// Handed back, never begun.
    Returned(u64),
    /// Pushed over while it was cold: it is down, and stays down.
    Fallen,
}

/// The id of whatever is no push but the work of new connections.
pub(super) const CONNECTION_SETUP: u64 = u64::MAX;

impl ExecutorEvent {
    /// It concerns no push.
    pub fn is_handshake(self) -> bool {
        use ExecutorEvent::{Done, Failed, Lost, Progress, Returned, Started};
        let id = match self {
            Started(id) | Progress(id, _) | Done(id) | Failed(id) | Lost(id, _) | Returned(id) => id,
            ExecutorEvent::Fallen => return false,
        };
        id == CONNECTION_SETUP
    }
}
