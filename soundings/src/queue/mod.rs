//! The same search for the queue: the very sources of `hold/`, two or three stores, one edge and one executor.
//!
//! A [`Fleet`] does by itself what is due next, always the same. A [`QueueTurn`] makes something go another way. The search
//! ([`search_queue`]) plays every course of no more than so many turns from the start, and holds the properties
//! ([`QueueProperty`]) to it at every step. No I/O.

mod fleet;
mod lookout;
mod plan;
mod report;
mod search;
mod stores;
mod turns;

pub use fleet::{Fleet, QueueBounds, QueueScript};
pub use lookout::{QueueBreach, QueueProperty};
pub use plan::{QUEUE_FAULTS, QUEUE_PLAN};
pub use report::{prove_queue, search_queue_by_hand, QueueWords};
pub use search::{find_in_queue, retrace_queue, search_queue, QueueCounts, QueueFound};
pub use stileroute_hold::Planted as QueuePlanted;
pub use turns::QueueTurn;
