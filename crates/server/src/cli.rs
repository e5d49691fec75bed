//! The command line.

pub mod args;
pub mod orders;
pub mod status;
pub mod verify;
