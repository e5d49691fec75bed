//! stileroute decides, beside each submitter, which executor gets which op.
//!
//! [`choice`] holds every decision; [`tariff`] holds the plain types it is started with; [`posted`] reads
//! them from the settings object; [`peers`] holds what instances tell one another.

pub mod peers;
pub mod policy;
pub mod settings;
pub mod state;
pub mod types;
