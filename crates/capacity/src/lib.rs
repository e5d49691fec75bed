//! Measures how the cost of the system grows with the fleet.
//!
//! Many nodes share one process and one simulated clock. Each of them runs the system's own state machines
//! (`registry`, `control-group`) with its own driver of the two (`crates/server/src/control_plane.rs`) and its own connection
//! handling (`crates/server/src/links.rs`), and sends its own frames (`crates/server/src/protocol.rs`). `stilerouted` is a
//! program without a library, so these files are compiled here a second time by `#[path]`, against the simulated network of
//! [`net`].
//!
//! As a unit test this crate is empty: its tests lie in `tests/`, and those of `stilerouted`'s files belong to `stilerouted`.
//!
//! What one message costs in a store is measured apart from that, in [`store_cost`], on real `queue` state machines.
//!
//! From the bottom up: [`layout`] says which nodes a fleet has, [`control_node`] and [`member_node`] are one node each,
//! [`simulation`] runs them, [`run`] plays a fleet and measures it, and [`report`] writes the figures of several runs.

#![cfg(not(test))]

pub mod allocation;
pub mod config_body;
pub mod control_node;
// rustfmt would look for the unit tests of the files of `crates/server` beside them; they are formatted there.
#[rustfmt::skip]
#[path = "../../server/src/control_plane.rs"]
pub mod control_plane;
pub mod cpu_time;
pub mod fit;
pub mod heartbeat;
#[rustfmt::skip]
#[path = "../../server/src/keepalive.rs"]
pub mod keepalive;
pub mod layout;
#[rustfmt::skip]
#[path = "../../server/src/links.rs"]
pub mod links;
pub mod member_node;
pub mod net;
#[rustfmt::skip]
#[path = "../../server/src/protocol.rs"]
pub mod protocol;
pub mod report;
pub mod run;
pub mod simulation;
pub mod store_cost;
pub mod stores;
pub mod traffic;
