//! A search over all orders of events, in bounds, of the control group: the very sources of `crates/control-group/`, no model of them.
//!
//! A [`World`] holds the nodes, their disks and connections, and what operators ask. By itself it does the next thing that is
//! due, always the same. Where something could go another way, there is a [`Choice`]: trouble strikes, or a message, a disk is
//! late. The search ([`explore`]) goes every way with no more than so many choices, and leaves out what it has seen. The
//! [`Invariants`] holds the properties to it at every step. No I/O.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::struct_excessive_bools, missing_docs)]

mod choices;
mod invariants;
mod proof;
pub mod queue;
mod search;
mod simulation;

pub use choices::Choice;
pub use invariants::{Breach, Invariants, Property};
pub use proof::{FAULTS, PLAN, THREE, TOO_FAR};
pub use search::{explore, find, retrace, Course, Found, Statistics};
pub use simulation::{Bounds, Chance, Drift, Grain, Kinds, Spans, World, SCRIPTS};
pub use stileroute_control_group_planted::Planted;
