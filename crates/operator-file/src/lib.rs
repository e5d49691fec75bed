//! Reads an operator's TOML file, and reports all of its faults at once.
//!
//! The caller, which knows the schema, asks a [`Section`] for its keys one by one. Wrong values and unknown keys are collected in
//! a [`FaultLog`]. Each value keeps its [`Position`] in the file, so that later checks can report it. This crate knows no
//! schema, and only [`load`] does I/O.

mod fault;
mod position;
mod read;
mod section;
mod suggestion;

pub use fault::{Fault, FaultLog, SafetyRule};
pub use position::{Located, Position};
pub use read::{load, read};
pub use section::Section;
pub use suggestion::suggestion;
