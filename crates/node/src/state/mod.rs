//! Shared in-memory state: client connections, buffers, request ids, metrics and the disabled executors.

pub mod buffer_pool;
pub mod client_slots;
pub mod disabled_executors;
pub mod metrics;
pub mod name_index;
pub mod request_ids;
