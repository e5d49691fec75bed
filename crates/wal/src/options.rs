//! What a log is opened with.

use std::path::Path;
use std::time::Duration;

use crate::error::FileError;
use crate::instrumentation::{DiskAccess, OperationObserver, Step, StepHook};
use crate::planted::PlantedFault;

const DEFAULT_CHECKPOINT_AFTER_BYTES: u64 = 32 << 20;
const DEFAULT_MAX_SYNC_DELAY: Duration = Duration::from_millis(200);

/// What a log is opened with.
#[derive(Clone)]
pub struct Options {
    /// What the records are, as one word without blanks. It stands in FORMAT, and a folder of another schema is refused.
    pub schema: &'static str,
    /// Bytes in a segment after which a checkpoint begins; an eighth of `capacity_bytes` if that is less.
    pub checkpoint_after_bytes: u64,
    /// Bytes of disk that the folder may take in all; 0 if unknown.
    ///
    /// A checkpoint needs the old and the new files at once, so appends with sync are refused as
    /// [`AppendError::DiskFull`](crate::AppendError::DiskFull) beyond 7/16 of it. Those without sync may go up to half: they
    /// are what frees space, and must not be refused first.
    pub capacity_bytes: u64,
    /// Longest time until a record that was appended without sync is synced.
    pub max_sync_delay: Duration,
    /// For tests: is called before each step.
    #[doc(hidden)]
    pub step_hook: Option<StepHook>,
    /// For tests: is called after each operation on the folder.
    #[doc(hidden)]
    pub operation_observer: Option<OperationObserver>,
    /// For tests of real processes: the file with the stalls of the disk.
    #[doc(hidden)]
    #[cfg(feature = "stalled-disk")]
    pub stall_schedule: Option<std::path::PathBuf>,
    /// A fault for the tests in `crates/model-check/wal/` to find.
    #[cfg(feature = "planted")]
    pub planted_fault: Option<PlantedFault>,
}

impl Options {
    /// Segments of 32 MiB, a sync after at most 200 ms, and no limit on the disk that is used.
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

    /// Lets a test delay or fail a step on that file or folder.
    pub(crate) fn before(&self, step: Step, path: &Path) -> Result<(), FileError> {
        let Some(hook) = &self.step_hook else { return Ok(()) };
        hook(step).map_err(FileError::on(step.action(), path))
    }

    /// Lets a test stall the disk before an operation that changes it.
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
