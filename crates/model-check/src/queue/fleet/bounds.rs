//! The bounds of a search of the queue, and what its stores are asked to do.

use stileroute_queue::PlantedFault;

/// What the stores are asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueScript {
    /// One message each: at once, after a while, refused by the executor.
    Taking,
    /// The same, and the first store is retired, with an attempt in flight that fails late.
    Emptying,
    /// One message with an idempotency key, and further tries with it at all stores, while and after one of them loses its disk.
    Keys,
}

/// What a search goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// How many stores there are.
    pub stores: usize,
    /// What they are asked to do.
    pub script: QueueScript,
    /// Faults in one course at the most.
    pub troubles: u8,
    /// Delays of messages in one course at the most.
    pub delays: u8,
    /// Of each fault only the longer duration, and of the writes in flight all or none.
    pub one_span: bool,
    /// Also faults that strike all at once: a cut into two halves, and a lost disk while all others lose power.
    pub fleet_wide: bool,
    /// Choices at one step of a store in so many.
    pub every: u32,
    /// A fault that is planted in each store.
    pub planted: Option<PlantedFault>,
}
