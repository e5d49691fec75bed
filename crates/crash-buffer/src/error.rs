//! Errors of opening a crash buffer and of inserting a record.

use std::io;
use std::path::PathBuf;

/// The reason why a crash buffer cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A system call to create, read or map the file failed.
    #[error("crash buffer: {action} {}: {source}", file.display())]
    File {
        /// The operation that failed, such as "mapping".
        action: &'static str,
        /// The path of the buffer file.
        file: PathBuf,
        /// The error that the system call returned.
        source: io::Error,
    },
    /// The file belongs to another program or another version of the format, or has another number of slots. It
    /// is left unchanged.
    #[error("crash buffer: {}: the file has an unknown format or another number of slots", file.display())]
    UnknownFormat {
        /// The path of the buffer file.
        file: PathBuf,
    },
}

/// The reason why a record was not inserted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InsertError {
    /// The crash buffer is full: no slot is free.
    #[error("crash buffer is full: no free slot")]
    Full,
    /// The record is empty, or longer than a slot can hold.
    #[error("crash buffer: a record of {bytes} bytes does not fit into a slot")]
    UnfitRecord {
        /// The length of the record in bytes.
        bytes: usize,
    },
}
