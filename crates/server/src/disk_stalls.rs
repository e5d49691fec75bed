//! Simulated disk stalls that a test requests for this process. Only a build with the feature `stalled-disk` supports them.

use std::env;
#[cfg(feature = "stalled-disk")]
use std::path::PathBuf;

/// The environment variable that names the file with the schedule of the disk stalls.
pub const SCHEDULE_VARIABLE: &str = "STILEROUTE_DISK_STALLS";

/// Whether the environment requests disk stalls and this build does not support them.
pub fn are_unsupported() -> bool {
    !cfg!(feature = "stalled-disk") && env::var_os(SCHEDULE_VARIABLE).is_some()
}

/// Path of the file with the schedule of the disk stalls, if the environment names one.
#[cfg(feature = "stalled-disk")]
pub fn schedule() -> Option<PathBuf> {
    let schedule = env::var_os(SCHEDULE_VARIABLE).map(PathBuf::from)?;
    tracing::warn!(schedule = %schedule.display(), "test build: the disk stalls according to the schedule in this file");
    Some(schedule)
}
