//! SWIM membership among the instances of one fleet, for installations in which the instances may connect to each other. The
//! crate does no I/O: the caller passes in events and the time, and gets back the messages to send.
//!
//! The protocol is SWIM's (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate
//! Failure Detection", 2017), implemented here from the papers. `docs/gossip.md` describes what was kept and changed, and why.

pub mod detector;
pub mod member;
pub mod table;
pub mod wire;

pub use detector::{Counters, Datagram, Detector, Settings};
pub use member::{Entry, Evidence, Member, State};
pub use table::MemberCount;

/// A point in time or a duration, in tenths of a millisecond, on a clock that is never set back.
pub type Time = i64;

/// One second, in units of [`Time`].
pub const SECOND: Time = 10_000;
