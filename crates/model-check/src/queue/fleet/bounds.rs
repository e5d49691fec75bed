//! The bounds of a search of the queue, and what its stores are asked to do.

use stileroute_queue::PlantedFault;

/// What the stores are asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueScript {
    /// One message each: at once, after a while, refused by the executor.
    Taking,
    /// The same, and the first store is emptied, with an attempt out that fails late.
    Emptying,
}

/// What a search goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    pub stores: usize,
    pub script: QueueScript,
    pub troubles: u8,
    pub delays: u8,
    /// The longer span of each trouble, and of the records under way all or none.
    pub one_span: bool,
    /// No second store is away, for longer than others wait for it, while one is: one loss is to be borne.
    pub one_away: bool,
    /// Choices at one step of a store in so many.
    pub every: u32,
    pub planted: Option<PlantedFault>,
}
