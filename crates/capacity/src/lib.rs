//! Measures how the cost of the system grows with the fleet.
//!
//! Many nodes share one process and one simulated clock. Each of them runs the system's own state machines
//! (`registry`, `control-group`) with its own driver of the two (`crates/server/src/control_plane.rs`) and its own connection
//! handling (`crates/server/src/links.rs`), and speaks its own frames (`crates/server/src/protocol.rs`). `stilerouted` is a
//! program without a library, so these three files are compiled here a second time by `#[path]`, against the simulated network
//! of [`net`]; nothing of `stilerouted` is moved or changed.
//!
//! As a unit test this crate is empty: its tests lie in `tests/`, and those of `stilerouted`'s files belong to `stilerouted`.
//!
//! What one message costs in a store is measured apart from that, in [`message`], on real `hold` state machines.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::missing_errors_doc, missing_docs)]
#![cfg(not(test))]

pub mod allocation;
pub mod control_node;
#[rustfmt::skip] // Formatted where it belongs.
#[path = "../../server/src/control_plane.rs"]
pub mod control_plane;
pub mod fit;
pub mod heartbeat;
#[rustfmt::skip] // As `links`.
#[path = "../../server/src/keepalive.rs"]
pub mod keepalive;
pub mod layout;
#[rustfmt::skip] // Formatted where it belongs; its tests are not looked for from here.
#[path = "../../server/src/links.rs"]
pub mod links;
pub mod member_node;
pub mod message;
pub mod net;
pub mod report;
pub mod run;
#[rustfmt::skip] // As above.
#[path = "../../server/src/protocol.rs"]
pub mod protocol;
pub mod simulation;
pub mod traffic;
