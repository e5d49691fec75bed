//! Where tests look in: the steps that they may delay or fail, and the operations that they may observe.

use std::io;
use std::sync::Arc;

/// Is called before each step; it may wait, or return the error that the step is to fail with.
#[doc(hidden)]
pub type StepHook = Arc<dyn Fn(Step) -> io::Result<()> + Send + Sync>;

/// Is called with each operation on the folder once it is done.
#[doc(hidden)]
pub type OperationObserver = Arc<dyn Fn(Operation) + Send + Sync>;

/// What the writer or a checkpoint is about to do.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Writes a group of entries. A failure here leaves half of the bytes in the file.
    WriteEntries,
    /// Syncs the segment that is written to.
    SyncSegment,
    /// Creates a segment under its unfinished name.
    CreateSegment,
    /// Gives a segment its name.
    RenameSegment,
    /// Syncs the folder, so that a segment keeps its name.
    SyncFolderAfterSegment,
    /// Reads the snapshot and the segments that a checkpoint replaces.
    ReadForCheckpoint,
    /// Writes a part of a snapshot.
    WriteSnapshot,
    /// Syncs a snapshot that is written in full.
    SyncSnapshot,
    /// Gives a snapshot its name.
    RenameSnapshot,
    /// Syncs the folder, so that a snapshot keeps its name.
    SyncFolderAfterSnapshot,
    /// Removes the files that a snapshot covers.
    RemoveCovered,
    /// A checkpoint has succeeded or failed, and the writer knows.
    CheckpointEnded,
}

impl Step {
    /// For the text of an error that a test has injected.
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

/// How an operation changes the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskAccess {
    /// Bytes, lengths or names change.
    Write,
    /// What was changed is made durable.
    Sync,
}

/// What was done. Files are known by the name that they had at that moment.
#[doc(hidden)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// The folder was created.
    FolderCreated,
    /// The folder that holds the folder was synced.
    ParentSynced,
    /// A file was created, or emptied if it was there.
    FileCreated {
        /// The file.
        name: String,
    },
    /// Bytes were written, or a part of them if the write failed.
    Written {
        /// The file.
        name: String,
        /// Offset of the first byte.
        offset: u64,
        /// What was to be written.
        bytes: Vec<u8>,
    },
    /// A file was made shorter or longer.
    LengthSet {
        /// The file.
        name: String,
        /// Its length in bytes.
        length: u64,
    },
    /// A sync of a file is about to begin.
    SyncBegun {
        /// The file.
        name: String,
    },
    /// A file was synced: what was written before that sync began is durable.
    FileSynced {
        /// The file.
        name: String,
    },
    /// A file was renamed.
    Renamed {
        /// Its name before.
        from: String,
        /// Its name from then on.
        to: String,
    },
    /// A file was removed, or was not there.
    Removed {
        /// The file.
        name: String,
    },
    /// The folder was synced.
    FolderSynced,
}
