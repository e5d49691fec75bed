//! stileroute decides, beside each submitter, which executor gets which op.
//!
//! [`policy`] holds every decision; [`types`] holds the plain types it is started with; [`settings`] reads
//! them from the settings object; [`peers`] holds what instances tell one another.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::missing_errors_doc, clippy::struct_excessive_bools, missing_docs)]

pub mod peers;
pub mod policy;
pub mod settings;
pub mod state;
pub mod types;
