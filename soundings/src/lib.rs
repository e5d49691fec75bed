//! A search over all orders of events, in bounds, of the control group: the very sources of `pilotage/`, no model of them.
//!
//! A [`Sea`] holds the nodes, their disks and connections, and what operators ask. By itself it does the next thing that is
//! due, always the same. Where something could go another way, there is a [`Turn`]: trouble strikes, or a message, a disk is
//! late. The search ([`sound`]) goes every way with no more than so many turns, and leaves out what it has seen. The
//! [`Lookout`] holds the properties to it at every step. No I/O.

mod lookout;
mod proof;
pub mod queue;
mod sea;
mod search;
mod turns;

pub use lookout::{Breach, Lookout, Property};
pub use proof::{FAULTS, PLAN, THREE, TOO_FAR};
pub use sea::{Bounds, Chance, Drift, Grain, Kinds, Sea, Spans, SCRIPTS};
pub use search::{find, retrace, sound, Course, Found, Soundings};
pub use stileroute_pilotage_planted::Planted;
pub use turns::Turn;
