//! Errors of the write-ahead log: one type for each operation, and the causes that several operations share.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The operating system failed an operation on a file or a folder.
///
/// The error text includes the text of its source, because log lines print only the error's own text and not its
/// sources.
#[derive(Clone, Debug, thiserror::Error)]
#[error("disk: {action} {}: {source}", .path.display())]
pub struct FileError {
    /// The attempted operation as a participle, such as "syncing".
    pub action: &'static str,
    /// The file or folder that the operation was attempted on.
    pub path: PathBuf,
    /// The error that the operating system returned. It is shared, because a single failure is returned to all appends
    /// of a group.
    pub source: Arc<io::Error>,
}

impl FileError {
    pub(crate) fn new(action: &'static str, path: &Path, source: io::Error) -> FileError {
        FileError { action, path: path.to_path_buf(), source: Arc::new(source) }
    }

    /// Returns a closure for `map_err` that builds the error, so that the path is copied only if the operation failed.
    pub(crate) fn on<'a>(
        action: &'static str,
        path: &'a Path,
    ) -> impl Fn(io::Error) -> FileError + Copy + 'a {
        move |source| FileError::new(action, path, source)
    }

    /// Whether the operation failed because the disk is full or the disk quota is exhausted.
    pub fn is_disk_full(&self) -> bool {
        matches!(self.source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
    }
}

/// The reasons why a log's folder can't be read: returned by [`verify`](fn@crate::verify), and also by an opening or a
/// checkpoint that fails while it reads files.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ReadError {
    /// The operating system failed to list the folder or to read a file.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file is missing, or its bytes have changed since they were synced.
    #[error("disk: {file} is damaged: {reason}")]
    Corrupted {
        /// Name of the affected file within the log's folder.
        file: String,
        /// Description of the damage, with the byte offset at which it was found.
        reason: String,
    },
    /// A file was written by another program, or in another version or schema, or the file FORMAT is missing from a
    /// folder that contains files of a log.
    #[error("disk: {file} is not of this format: {found}")]
    UnknownFormat {
        /// Name of the affected file within the log's folder; for the file FORMAT, its whole path.
        file: String,
        /// The format that was found instead of the expected one.
        found: String,
    },
    /// A file has the identity of another folder in its header, because it was copied into this folder from there.
    #[error("disk: {file}: folder: it was written in {found}, and this is {expected}")]
    WrongFolder {
        /// Name of the affected file within the log's folder.
        file: String,
        /// Identity of the folder that the file was written in.
        found: String,
        /// Identity of the folder that is being read.
        expected: String,
    },
}

impl ReadError {
    pub(crate) fn corrupted(file: &str, reason: impl Into<String>) -> ReadError {
        ReadError::Corrupted { file: file.to_string(), reason: reason.into() }
    }
}

/// The reasons why [`Wal::open`](crate::Wal::open) failed.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder's contents can't be read, or belong to another log or format and must not be used.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The operating system failed to create, sync, truncate or remove a file or folder.
    #[error(transparent)]
    File(#[from] FileError),
    /// The operating system failed to start the writer thread.
    #[error("disk: starting the writer: {0}")]
    SpawnWriter(#[source] io::Error),
}

/// The reasons why an append was rejected or failed. The records of a failed append are not in the log.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AppendError {
    /// The disk is full, or the disk quota or [`Options::capacity_bytes`](crate::Options::capacity_bytes) is
    /// exhausted. Further appends without sync, and a checkpoint that they trigger, may free space.
    #[error("disk: no room left")]
    DiskFull,
    /// A record of the append is longer than [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES).
    #[error("disk: {bytes} bytes are too many for one record or append")]
    RecordTooLarge {
        /// Length of the longest record of the append, in bytes.
        bytes: usize,
    },
    /// The records of the append together are longer than [`MAX_APPEND_BYTES`](crate::MAX_APPEND_BYTES).
    #[error("disk: {bytes} bytes are too many for one record or append")]
    AppendTooLarge {
        /// Length of the log entry that the records would form, in bytes.
        bytes: usize,
    },
    /// The entry could not be written to the segment.
    #[error(transparent)]
    Write(FileError),
    /// The entry was written to the segment but could not be synced, so it was removed from the segment again.
    #[error(transparent)]
    Sync(FileError),
}

impl AppendError {
    /// Converts an error of a write, and distinguishes a full disk from other failures.
    pub(crate) fn from_write(error: FileError) -> AppendError {
        if error.is_disk_full() {
            AppendError::DiskFull
        } else {
            AppendError::Write(error)
        }
    }

    /// Converts an error of a sync, and distinguishes a full disk from other failures.
    pub(crate) fn from_sync(error: FileError) -> AppendError {
        if error.is_disk_full() {
            AppendError::DiskFull
        } else {
            AppendError::Sync(error)
        }
    }
}

/// The reasons why a checkpoint failed. The log continues without the checkpoint, and another one is attempted later.
#[derive(Debug, thiserror::Error)]
pub enum CheckpointError {
    /// The new snapshot does not fit on the disk or within the capacity beside the files that it replaces, or the disk
    /// is full.
    #[error("disk: no room left")]
    DiskFull,
    /// The state machine's snapshot contained a record longer than [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES).
    #[error("disk: {bytes} bytes are too many for one record or append")]
    RecordTooLarge {
        /// Length of the rejected record, in bytes.
        bytes: usize,
    },
    /// The previous snapshot or a segment, from which the new snapshot is built, can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The operating system failed to create, write, sync, rename or remove a file.
    #[error(transparent)]
    File(FileError),
    /// The operating system failed to start the checkpoint thread.
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
