//! stileroute runs next to each submitter and decides which executor gets which op.
//!
//! [`policy`] makes every decision; [`types`] has the plain types of its settings, inputs and decisions; [`settings`]
//! reads them from the settings object; [`state`] is the learned state; [`peers`] has the messages between instances.

pub mod peers;
pub mod policy;
pub mod settings;
pub mod state;
pub mod types;
