//! Instrumentation for tests: steps that a test can delay or fail, and disk operations that it can observe.

use std::io;
use std::sync::Arc;

/// A function that is called before each step. It may block to delay the step, or return the error that the step fails
/// with.
#[doc(hidden)]
pub type StepHook = Arc<dyn Fn(Step) -> io::Result<()> + Send + Sync>;

/// A function that is called with each operation on the folder after the operation has completed.
#[doc(hidden)]
pub type OperationObserver = Arc<dyn Fn(Operation) + Send + Sync>;

/// A step that the writer thread or a checkpoint is about to take.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Writes a group of entries to the segment. If the hook fails this step, half of the bytes are left in the file.
    WriteEntries,
    /// Syncs the segment that entries are appended to.
    SyncSegment,
    /// Creates a segment under its temporary name.
    CreateSegment,
    /// Renames a segment to its final name.
    RenameSegment,
    /// Syncs the folder to make a segment's final name durable.
    SyncFolderAfterSegment,
    /// Reads the snapshot and the segments that a checkpoint replaces.
    ReadForCheckpoint,
    /// Writes a part of a snapshot under its temporary name.
    WriteSnapshot,
    /// Syncs a snapshot after all of it was written.
    SyncSnapshot,
    /// Renames a snapshot to its final name.
    RenameSnapshot,
    /// Syncs the folder to make a snapshot's final name durable.
    SyncFolderAfterSnapshot,
    /// Removes the segments and older snapshots that a snapshot covers.
    RemoveCovered,
    /// A checkpoint has succeeded or failed, and the writer thread has processed its result.
    CheckpointEnded,
}

impl Step {
    /// Returns the action for the text of an error that a test has injected into this step.
    pub(crate) fn action(self) -> &'static str {
        match self {
            Step::WriteEntries => "writing",
            Step::SyncSegment => "syncing",
            Step::CreateSegment => "creating",
            Step::RenameSegment | Step::RenameSnapshot => "renaming",
            Step::SyncFolderAfterSegment | Step::SyncFolderAfterSnapshot => "syncing the folder",
            Step::ReadForCheckpoint => "reading",
            Step::WriteSnapshot => "writing a snapshot",
            Step::SyncSnapshot => "syncing a snapshot",
            Step::RemoveCovered => "removing",
            Step::CheckpointEnded => "ending a checkpoint",
        }
    }
}

/// The kind of disk access of an operation, which decides which scheduled stalls of the disk delay it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskAccess {
    /// The operation changes the bytes, length or name of a file.
    Write,
    /// The operation makes earlier changes durable.
    Sync,
}

/// An operation on the disk that has completed. Files are identified by the names that they had when the operation was
/// observed.
#[doc(hidden)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// The log's folder was created.
    FolderCreated,
    /// The parent of the log's folder was synced.
    ParentSynced,
    /// A file was created, or truncated to zero bytes if it existed.
    FileCreated {
        /// Name of the file that the operation was applied to.
        name: String,
    },
    /// Bytes were written to a file, or only some of them if the write failed.
    Written {
        /// Name of the file that the operation was applied to.
        name: String,
        /// Offset of the first written byte in the file.
        offset: u64,
        /// The bytes that were passed to the write.
        bytes: Vec<u8>,
    },
    /// A file was truncated or extended to a given length.
    LengthSet {
        /// Name of the file that the operation was applied to.
        name: String,
        /// New length of the file, in bytes.
        length: u64,
    },
    /// A sync of a file is about to start.
    SyncBegun {
        /// Name of the file that the operation was applied to.
        name: String,
    },
    /// A sync of a file has completed: bytes that were written before the sync started are durable.
    FileSynced {
        /// Name of the file that the operation was applied to.
        name: String,
    },
    /// A file of the folder was renamed.
    Renamed {
        /// Name of the file before it was renamed.
        from: String,
        /// Name of the file after it was renamed.
        to: String,
    },
    /// A file was removed, or did not exist when its removal was requested.
    Removed {
        /// Name of the file that the operation was applied to.
        name: String,
    },
    /// The log's folder was synced.
    FolderSynced,
}
