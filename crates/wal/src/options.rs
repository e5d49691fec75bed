//! The options that a log is opened with.

use std::path::Path;
use std::time::Duration;

use crate::error::FileError;
use crate::instrumentation::{DiskAccess, OperationObserver, Step, StepHook};
use crate::planted::PlantedFault;

const DEFAULT_CHECKPOINT_AFTER_BYTES: u64 = 32 << 20;
const DEFAULT_MAX_SYNC_DELAY: Duration = Duration::from_millis(200);

/// The options that a log is opened with.
#[derive(Clone)]
pub struct Options {
    /// Schema of the records, as a single word without blanks. It is stored in the file FORMAT, and a folder with a
    /// different schema is rejected.
    pub schema: &'static str,
    /// Size of a segment, in bytes, at which a checkpoint starts. If an eighth of `capacity_bytes` is less than this,
    /// the checkpoint starts at that size instead.
    pub checkpoint_after_bytes: u64,
    /// Total disk space, in bytes, that the log's folder may use; 0 if there is no known limit.
    ///
    /// Because a checkpoint needs space for the old and the new files at the same time, appends with sync are rejected
    /// with [`AppendError::DiskFull`](crate::AppendError::DiskFull) when the files would exceed 7/16 of the capacity.
    /// Appends without sync are accepted up to half of the capacity: they are the ones that free space, so they must
    /// not be rejected first.
    pub capacity_bytes: u64,
    /// Maximum delay before a record that was appended without sync is synced.
    pub max_sync_delay: Duration,
    /// For tests: a hook that is called before each step.
    #[doc(hidden)]
    pub step_hook: Option<StepHook>,
    /// For tests: an observer that is called after each operation on the folder.
    #[doc(hidden)]
    pub operation_observer: Option<OperationObserver>,
    /// For tests that run real processes: path of the file with the schedule of disk stalls.
    #[doc(hidden)]
    #[cfg(feature = "stalled-disk")]
    pub stall_schedule: Option<std::path::PathBuf>,
    /// A deliberately planted fault that the tests in `crates/model-check/wal/` have to detect.
    #[cfg(feature = "planted")]
    pub planted_fault: Option<PlantedFault>,
}

impl Options {
    /// Default options for the given schema: segments of 32 MiB, a sync after at most 200 ms, and no limit on disk
    /// space.
    pub fn new(schema: &'static str) -> Options {
        Options {
            schema,
            checkpoint_after_bytes: DEFAULT_CHECKPOINT_AFTER_BYTES,
            capacity_bytes: 0,
            max_sync_delay: DEFAULT_MAX_SYNC_DELAY,
            step_hook: None,
            operation_observer: None,
            #[cfg(feature = "stalled-disk")]
            stall_schedule: None,
            #[cfg(feature = "planted")]
            planted_fault: None,
        }
    }

    /// Calls the test's hook, if there is one, which may delay or fail a step on the given file or folder.
    pub(crate) fn before(&self, step: Step, path: &Path) -> Result<(), FileError> {
        let Some(hook) = &self.step_hook else { return Ok(()) };
        hook(step).map_err(FileError::on(step.action(), path))
    }

    /// Waits until the disk stall that a test scheduled has ended, before an operation that changes the disk.
    #[cfg(feature = "stalled-disk")]
    pub(crate) fn wait_while_stalled(&self, access: DiskAccess) {
        if let Some(schedule) = &self.stall_schedule {
            crate::stall_schedule::wait(schedule, access);
        }
    }

    #[cfg(not(feature = "stalled-disk"))]
    #[inline(always)]
    pub(crate) const fn wait_while_stalled(&self, _: DiskAccess) {}

    #[cfg(feature = "planted")]
    pub(crate) fn has_planted(&self, fault: PlantedFault) -> bool {
        self.planted_fault == Some(fault)
    }

    #[cfg(not(feature = "planted"))]
    #[inline(always)]
    pub(crate) const fn has_planted(&self, _: PlantedFault) -> bool {
        false
    }
}
