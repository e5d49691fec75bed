//! stileroute decides, beside each submitter, which executor gets which op.
//!
//! [`choice`] holds every decision; [`tariff`] holds the plain types it is started with.

pub mod choice;
pub mod tariff;
