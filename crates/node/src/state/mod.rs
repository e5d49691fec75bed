//! What is kept in memory: clients' seats, buffers, ids, names.

pub mod buffer_pool;
pub mod client_slots;
pub mod disabled_executors;
pub mod metrics;
pub mod name_index;
pub mod request_ids;
