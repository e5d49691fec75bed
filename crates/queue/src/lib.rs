//! The durable queue of one store: messages, their copies, attempts, ends, call-backs and ceilings. A state
//! machine: events and a clock go in, [`Effect`]s come out; sockets, disk and time are the program's.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::struct_excessive_bools, clippy::too_many_lines, missing_docs)]
mod copies;
mod duplicates;
mod ends;
mod ledger;
mod message;
mod ordering;
mod planted;
mod queue;
mod repair;
mod repeats;
mod retire;
mod service_queue;
mod tokens;

pub use ledger::Ledger;
pub use message::{
    End, Handed, Key, KnownEnd, Message, Millis, Node, Owned, PeerMessage, Range, Record, Refusal, Shared,
    Stands, Sum,
};
pub use ordering::place;
#[cfg(feature = "planted")]
pub use planted::Planted;
pub use queue::{first_number, Bear, Effect, Entry, Figures, Outcome, Queue, QueueSettings, Stage, State};
pub use queue::{MessageView, ServiceView, Stages};
pub use service_queue::{Repeats, Server};
