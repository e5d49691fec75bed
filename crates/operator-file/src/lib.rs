//! Reads an operator's TOML file, and reports all faults of it at once.
//!
//! Whoever knows a section asks its [`Section`] for the keys one by one. What is missing, wrong or unknown is collected in a
//! [`FaultLog`], and each value keeps its [`Position`] in the file, for checks that come later. No section is known here, and
//! only [`load`] does I/O.

mod fault;
mod position;
mod read;
mod section;
mod suggestion;

pub use fault::{Fault, FaultLog, Rule};
pub use position::{Located, Position};
pub use read::{load, read};
pub use section::Section;
pub use suggestion::suggestion;
