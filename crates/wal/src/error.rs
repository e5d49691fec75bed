//! Why an operation on a folder failed: a type for each operation, and the causes that they share.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The system refused an operation on a file or a folder.
///
/// The text holds the cause too, because a log line shows the text of an error alone.
#[derive(Clone, Debug, thiserror::Error)]
#[error("disk: {action} {}: {source}", .path.display())]
pub struct FileError {
    /// What was tried, such as "syncing".
    pub action: &'static str,
    /// The file or folder that it was tried on.
    pub path: PathBuf,
    /// What the system said. Shared, for one failure answers all appends of a group.
    pub source: Arc<io::Error>,
}

impl FileError {
    pub(crate) fn new(action: &'static str, path: &Path, source: io::Error) -> FileError {
        FileError { action, path: path.to_path_buf(), source: Arc::new(source) }
    }

    /// For `map_err`: the path is copied only where something failed.
    pub(crate) fn on<'a>(
        action: &'static str,
        path: &'a Path,
    ) -> impl Fn(io::Error) -> FileError + Copy + 'a {
        move |source| FileError::new(action, path, source)
    }

    /// Whether the disk or the quota is used up.
    pub fn is_disk_full(&self) -> bool {
        matches!(self.source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
    }
}

/// Why a folder can't be read: what [`verify`](fn@crate::verify) returns, and what ends an opening or a checkpoint that reads.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ReadError {
    /// The system refused to list the folder or to read a file.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file is missing, or bytes in it changed after they had been synced.
    #[error("disk: {file} is damaged: {reason}")]
    Corrupted {
        /// Name of the file within the folder.
        file: String,
        /// What is wrong, and at which byte.
        reason: String,
    },
    /// A file is of another program, version or schema, or FORMAT is missing beside files of a log.
    #[error("disk: {file} is not of this format: {found}")]
    UnknownFormat {
        /// Name of the file; for FORMAT its path.
        file: String,
        /// What stands in its place.
        found: String,
    },
    /// A file carries the identity of another folder: it was copied here from elsewhere.
    #[error("disk: {file}: folder: it was written in {found}, and this is {expected}")]
    WrongFolder {
        /// Name of the file within the folder.
        file: String,
        /// Identity of the folder that it was written in.
        found: String,
        /// Identity of this folder.
        expected: String,
    },
}

impl ReadError {
    pub(crate) fn corrupted(file: &str, reason: impl Into<String>) -> ReadError {
        ReadError::Corrupted { file: file.to_string(), reason: reason.into() }
    }
}

/// Why [`Wal::open`](crate::Wal::open) refused a folder.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// What is in the folder can't be read, or must not be used.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The system refused to create, sync, truncate or remove something.
    #[error(transparent)]
    File(#[from] FileError),
    /// The system refused a thread for the writer.
    #[error("disk: starting the writer: {0}")]
    SpawnWriter(#[source] io::Error),
}

/// Why an append was refused or failed. Its records are not in the log.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AppendError {
    /// The disk, the quota or [`Options::capacity_bytes`](crate::Options::capacity_bytes) is used up. Appends without sync,
    /// and a checkpoint that they lead to, may free some.
    #[error("disk: no room left")]
    DiskFull,
    /// A record is longer than [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES).
    #[error("disk: {bytes} bytes are too many for one record or append")]
    RecordTooLarge {
        /// Length of the longest record.
        bytes: usize,
    },
    /// All records together are longer than [`MAX_APPEND_BYTES`](crate::MAX_APPEND_BYTES).
    #[error("disk: {bytes} bytes are too many for one record or append")]
    AppendTooLarge {
        /// Length of the entry that they would make.
        bytes: usize,
    },
    /// The segment could not be written.
    #[error(transparent)]
    Write(FileError),
    /// The segment was written and could not be synced, so the entry was taken back.
    #[error(transparent)]
    Sync(FileError),
}

impl AppendError {
    /// Tells a full disk from other failures of a write.
    pub(crate) fn from_write(error: FileError) -> AppendError {
        if error.is_disk_full() {
            AppendError::DiskFull
        } else {
            AppendError::Write(error)
        }
    }

    /// Tells a full disk from other failures of a sync.
    pub(crate) fn from_sync(error: FileError) -> AppendError {
        if error.is_disk_full() {
            AppendError::DiskFull
        } else {
            AppendError::Sync(error)
        }
    }
}

/// Why a checkpoint failed. The log goes on without it, and another is tried later.
#[derive(Debug, thiserror::Error)]
pub enum CheckpointError {
    /// The snapshot does not fit beside what it replaces, or the disk is full.
    #[error("disk: no room left")]
    DiskFull,
    /// The state machine gave a record longer than [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES).
    #[error("disk: {bytes} bytes are too many for one record or append")]
    RecordTooLarge {
        /// Length of the record.
        bytes: usize,
    },
    /// What the snapshot was to be made of can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The system refused to create, write, sync, rename or remove something.
    #[error(transparent)]
    File(FileError),
    /// The system refused a thread for the checkpoint.
    #[error("disk: starting a checkpoint: {0}")]
    SpawnThread(#[source] io::Error),
}

impl From<FileError> for CheckpointError {
    fn from(error: FileError) -> CheckpointError {
        if error.is_disk_full() {
            CheckpointError::DiskFull
        } else {
            CheckpointError::File(error)
        }
    }
}
