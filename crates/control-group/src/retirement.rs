//! Accepted orders to retire a store.

use serde::{Deserialize, Serialize};

/// The most retirements that are remembered. Beyond that the oldest complete one is forgotten.
pub const MAX_RETIREMENTS: usize = 64;

/// An accepted order to retire a store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Retirement {
    /// The store, by the hash of its name.
    pub node: u32,
    /// The store's name.
    pub name: String,
    /// How far it has come.
    pub stage: RetirementStage,
}

/// How far a retirement has come. It never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RetirementStage {
    /// Accepted; whether the store has received it is not known.
    Ordered,
    /// The store has the order on its disk and is draining.
    Draining,
    /// The store has reported that it is empty.
    Complete,
}
