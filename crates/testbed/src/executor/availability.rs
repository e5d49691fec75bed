//! Whether an executor serves, and what the faults of the moment make of it.

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    Serving,
    /// Finishes what it has; new jobs are taken all the same, so that a broken rule shows.
    Draining,
    Down,
    Fallen,
}

/// What the faults of the moment make of an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Times slower than usual.
    pub slow: f64,
    pub halted: bool,
}

impl Default for Condition {
    fn default() -> Condition {
        Condition { slow: 1.0, halted: false }
    }
}
