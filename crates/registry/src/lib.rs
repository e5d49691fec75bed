//! Which nodes and executors are present, as one control node knows it, and who has to be told of it.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(missing_docs)]

mod executors;
mod messages;
mod registry;

pub use executors::ExecutorRecord;
pub use messages::*;
pub use registry::*;

use registry::MAX_ENTRIES;
