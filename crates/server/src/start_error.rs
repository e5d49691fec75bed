//! Why a role could not be started.

use crate::disk_owner::OwnerError;
use std::path::PathBuf;
use stileroute_wal::OpenError;

/// Why a role could not be started.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// A setting that this role needs is missing.
    #[error("settings: {key}: missing for {role}")]
    MissingSetting {
        /// The key in the settings file.
        key: &'static str,
        /// Who needs it.
        role: &'static str,
    },
    /// The folder for the log could not be created.
    #[error("{}: {source}", folder.display())]
    DataFolder {
        /// The folder.
        folder: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The data folder belongs to another node, or does not say whose it is.
    #[error("data_dir: {0}")]
    DataOwner(#[from] OwnerError),
    /// The log could not be opened.
    #[error("{}: {source}", folder.display())]
    Log {
        /// Its folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: OpenError,
    },
    /// An address could not be listened on.
    #[error("{purpose} address: {source}")]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}
