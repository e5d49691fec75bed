//! Membership among the instances of one fleet, for installations where they may talk. No I/O: events and the clock are handed
//! in, and what is to be sent is handed back.
//!
//! The protocol is SWIM's (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", 2002) with what Lifeguard adds (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate
//! Failure Detection", 2017), written here from the papers. `docs/gossip.md` tells what was kept and changed, and why.

pub mod detector;
pub mod member;
pub mod table;
pub mod wire;

pub use detector::{Counters, Datagram, Detector, Settings};
pub use member::{Entry, Evidence, Member, State};
pub use table::MemberCount;

/// A point or span of time in tenths of a millisecond, on a clock that is never set back.
pub type Time = i64;

/// One second.
pub const SECOND: Time = 10_000;
