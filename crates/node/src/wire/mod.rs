//! What is spoken on the sockets: state machines that are fed bytes and know no socket.

pub mod admin_request;
/// Heads and framing, shared with the whole system.
pub use stileroute_http1 as http;
pub mod client_request;
pub mod discovery;
pub mod job_status;
pub mod names;
pub mod push;
