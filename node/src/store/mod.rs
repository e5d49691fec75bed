//! What is kept in memory: ops and their timers, connections, buffers, ids, names.

pub mod ids;
pub mod indices;
pub mod lines;
pub mod ops;
pub mod pool;
pub mod queue;
pub mod seats;
