//! Accepted orders to retire a store.

use serde::{Deserialize, Serialize};

/// The maximum number of retirements that the control state keeps. Beyond it, the oldest complete one is removed.
pub const MAX_RETIREMENTS: usize = 64;

/// An accepted order to retire a store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Retirement {
    /// Identifies the store by the hash of its name.
    pub node: u32,
    /// The store's name.
    pub name: String,
    /// The stage that the retirement has reached.
    pub stage: RetirementStage,
}

/// The stage of a retirement. It never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RetirementStage {
    /// The order is accepted; the store may not have received it yet.
    Ordered,
    /// The store has the order on its disk and is draining.
    Draining,
    /// The store has reported that it is empty.
    Complete,
}
