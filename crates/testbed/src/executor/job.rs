//! A job as an executor is given it.

/// A job as it comes to an executor.
#[derive(Clone, Debug)]
pub struct Job {
    /// Of the push, unique in a day.
    pub id: u64,
    pub slots: f64,
    pub memory: f64,
    /// HeldJob time at speed one that is left.
    pub work: f64,
    /// Of that, what the whole job takes: a job that goes on from a saved state has less left.
    pub whole: f64,
    pub priority: i64,
    pub redeliverable: bool,
    /// It fails as soon as it is taken up.
    pub fails: bool,
}
