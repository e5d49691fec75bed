//! The protocols on the sockets, as state machines that are fed bytes and do no I/O.

pub mod admin_request;
/// HTTP heads and framing, shared by all programs of the workspace.
pub use stileroute_http1 as http;
pub mod client_request;
pub mod discovery;
pub mod job_status;
pub mod names;
pub mod push;
