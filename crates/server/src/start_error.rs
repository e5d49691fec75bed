//! Errors that prevent a role from starting.

use crate::disk_owner::OwnerError;
use std::path::PathBuf;
use stileroute_wal::OpenError;

/// Why a role could not be started.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// A setting that this role needs is missing.
    #[error("settings: {key}: missing for {role}")]
    MissingSetting {
        /// The missing key of the settings file.
        key: &'static str,
        /// The role that needs the setting.
        role: &'static str,
    },
    /// The folder for the log could not be created.
    #[error("{}: {source}", folder.display())]
    DataFolder {
        /// The folder that could not be created.
        folder: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The data folder belongs to another node, or its owner file can't be read or written.
    #[error("data_dir: {0}")]
    DataOwner(#[from] OwnerError),
    /// The log could not be opened.
    #[error("{}: {source}", folder.display())]
    Log {
        /// The folder of the log.
        folder: PathBuf,
        /// Why the log could not be opened.
        source: OpenError,
    },
    /// The process could not listen on an address.
    #[error("{purpose} address: {source}")]
    Listen {
        /// The purpose of the address, for the error message.
        purpose: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
}
