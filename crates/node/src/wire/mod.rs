//! What is spoken on the sockets: state machines that are fed bytes and know no socket.

pub mod call;
/// Heads and framing, shared with the whole system.
pub use stileroute_http1 as http;
pub mod jobs;
pub mod names;
pub mod push;
pub mod serve;
pub mod targets;
