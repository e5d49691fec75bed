//! Whether a test asks for stalls of this process's disk. Only a build with the feature `stalled-disk` has them.

use std::env;
#[cfg(feature = "stalled-disk")]
use std::path::PathBuf;

/// The environment variable that names the file with the stalls.
pub const SCHEDULE_VARIABLE: &str = "STILEROUTE_DISK_STALLS";

/// Whether stalls are asked for that this build does not have.
pub fn are_unsupported() -> bool {
    !cfg!(feature = "stalled-disk") && env::var_os(SCHEDULE_VARIABLE).is_some()
}

/// The file with the stalls.
#[cfg(feature = "stalled-disk")]
pub fn schedule() -> Option<PathBuf> {
    let schedule = env::var_os(SCHEDULE_VARIABLE).map(PathBuf::from)?;
    tracing::warn!(schedule = %schedule.display(), "a test build: the disk stalls as this file says");
    Some(schedule)
}
