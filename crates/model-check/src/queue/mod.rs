//! The same search for the queue: the very sources of `crates/queue/`, two or three stores, one edge and one executor.
//!
//! A [`Fleet`] does by itself what is due next, always the same. A [`QueueChoice`] makes something go another way. The search
//! ([`search_queue`]) plays every course of no more than so many choices from the start, and holds the properties
//! ([`QueueProperty`]) to it at every step. No I/O.

mod choices;
mod fleet;
mod invariants;
mod plan;
mod report;
mod search;
mod stores;

pub use choices::QueueChoice;
pub use fleet::{Fleet, QueueBounds, QueueScript};
pub use invariants::{QueueBreach, QueueProperty};
pub use plan::{QUEUE_FAULTS, QUEUE_PLAN};
pub use report::{prove_queue, search_queue_by_hand, QueueArgs};
pub use search::{find_in_queue, retrace_queue, search_queue, QueueCounts, QueueFound};
pub use stileroute_queue::PlantedFault as QueuePlanted;
