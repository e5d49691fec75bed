//! stileroute decides, beside each submitter, which executor gets which op.
//!
//! [`policy`] holds every decision; [`types`] holds the plain types it is started with; [`settings`] reads
//! them from the settings object; [`peers`] holds what instances tell one another.

pub mod peers;
pub mod policy;
pub mod settings;
pub mod state;
pub mod types;
