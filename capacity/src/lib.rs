//! Measures how the cost of the system grows with the fleet.
//!
//! Many nodes share one process and one simulated clock. Each of them runs the system's own state machines
//! (`roster`, `pilotage`) and its own connection handling (`harbour/src/links.rs`), and speaks its own frames
//! (`harbour/src/signals.rs`). `harbour` is a program without a library, so these two files are compiled here a
//! second time by `#[path]`, against the simulated network of [`net`]; nothing of `harbour` is moved or changed.
//!
//! As a unit test this crate is empty: its tests lie in `tests/`, and those of `harbour`'s files belong to `harbour`.
//!
//! What one message costs in a store is measured apart from that, in [`message`], on real `hold` state machines.

#![cfg(not(test))]

pub mod allocation;
pub mod control_node;
pub mod fit;
pub mod heartbeat;
pub mod layout;
#[rustfmt::skip] // Formatted where it belongs; its tests are not looked for from here.
#[path = "../../harbour/src/links.rs"]
pub mod links;
pub mod member_node;
pub mod message;
pub mod net;
pub mod report;
pub mod run;
#[path = "../../harbour/src/signals.rs"]
pub mod signals;
pub mod simulation;
pub mod traffic;
