//! Why a buffer can't be opened, or takes no record.

use std::io;
use std::path::PathBuf;

/// Why a buffer can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The system refused to create, read or map the file.
    #[error("crash buffer: {action} {}: {source}", file.display())]
    File {
        /// What was tried, such as "mapping".
        action: &'static str,
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file is of another program or version. It is left as it is.
    #[error("crash buffer: {}: it is not of this format", file.display())]
    UnknownFormat {
        /// The file.
        file: PathBuf,
    },
}

/// Why a record was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InsertError {
    /// No slot is free.
    #[error("crash buffer: all slots are used")]
    Full,
    /// The record is empty, or longer than a slot.
    #[error("crash buffer: a record of {bytes} bytes does not fit a slot")]
    UnfitRecord {
        /// Its length in bytes.
        bytes: usize,
    },
}
