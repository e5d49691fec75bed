//! What is kept in memory: clients' seats, buffers, ids, names.

pub mod figures;
pub mod ids;
pub mod indices;
pub mod outs;
pub mod pool;
pub mod seats;
