//! What the system is told: settings files and the operators' configurations.
//!
//! [`Boot`] is what a process is told about itself, [`Config`] what an operator sent. Both are read from
//! `jzon` values by hand: unknown fields are passed over, missing ones get a default or are a fault, and all
//! [`Faults`] of a text are told at once. Whatever the bytes, reading ends in a value or in faults, never in
//! a panic.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::missing_errors_doc, missing_docs)]

mod config;
mod error;
mod node_settings;
mod section;

pub use config::{Config, Limits, Route, RouteKind, Service};
pub use error::{Fault, Faults};
pub use node_settings::{Boot, Bounds, Losses, Means};
