//! The durable queue of one store: messages, their copies, attempts, ends, call-backs and ceilings. A state
//! machine: events and a clock go in, [`Effect`]s come out; sockets, disk and time are the program's.

mod cargo;
mod copies;
mod ends;
mod hold;
mod lane;
mod ledger;
mod planted;
mod repair;
mod repeats;
mod retire;
mod row;
mod tokens;
mod twice;

pub use cargo::{
    Cargo, End, Handed, Key, KnownEnd, Millis, Node, Note, Owned, Record, Refusal, Shared, Stands,
};
pub use hold::{first_number, Bear, Effect, Entry, Figures, Hold, Outcome, Stage, State, Terms};
pub use hold::{MessageView, ServiceView, Stages};
pub use lane::{Repeats, Server};
pub use ledger::Ledger;
#[cfg(feature = "planted")]
pub use planted::Planted;
pub use row::place;
