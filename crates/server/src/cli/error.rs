//! Errors that prevent a command from running.

use super::output::ExitStatus;
use std::path::PathBuf;
use stileroute_config::ConfigError;

/// Errors that prevent a command from running. The error text is written to standard error unchanged.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CommandError {
    /// Neither the option nor the environment names a settings file.
    #[error("command line: {option}: missing, and STILEROUTE_BOOT is not set")]
    NoSettingsFile {
        /// The option that names the settings file.
        option: &'static str,
    },
    /// The address of `--figures` is not a loopback address: this option must not serve the metrics to other machines.
    #[error("command line: --figures: must be a loopback address")]
    FiguresNotLoopback,
    /// A test requests disk stalls that this build does not support; without them the test would prove nothing.
    #[error("environment: {}: this build has no stalls of the disk", crate::disk_stalls::SCHEDULE_VARIABLE)]
    DiskStallsUnsupported,
    /// The thread that writes the log could not be started.
    #[error("the thread for the log can't be started: {0}")]
    LogThread(std::io::Error),
    /// The log level does not exist.
    #[error("command line: {option}: {level:?} is none of error, warn, info, debug")]
    UnknownLogLevel {
        /// The option or environment variable that sets the log level.
        option: &'static str,
        /// The unknown log level.
        level: String,
    },
    /// The argument is not a valid message id.
    #[error("command line: ID: {0:?} is no message's name")]
    InvalidMessageId(String),
    /// The argument is not a valid node name.
    #[error("command line: NAME: {0:?} is no node's name")]
    InvalidNodeName(String),
    /// The settings file can't be used; the text has one line for each fault.
    #[error("{0}")]
    Settings(ConfigError),
    /// A configuration file can't be read.
    #[error("{}: cannot be read: {source}", file.display())]
    UnreadableFile {
        /// The path of the configuration file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A configuration file has faults.
    #[error("{}: {faults}", file.display())]
    Configuration {
        /// The path of the configuration file.
        file: PathBuf,
        /// All faults of the configuration file.
        faults: ConfigError,
    },
    /// No process answered; the text has one line for each process that was asked.
    #[error("{}", .reasons.join("\n"))]
    NoAnswer {
        /// For each process that was asked, the reason why it gave no answer.
        reasons: Vec<String>,
    },
    /// A role could not start, or had to stop because of an error.
    #[error("{}: {report}", settings.display())]
    Role {
        /// The settings file that the role was started with.
        settings: PathBuf,
        /// The error that stopped the role.
        report: miette::Report,
    },
}

impl CommandError {
    /// The exit status of the program for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            CommandError::NoAnswer { .. } | CommandError::Role { .. } | CommandError::LogThread(_) => {
                ExitStatus::Failure
            }
            CommandError::NoSettingsFile { .. }
            | CommandError::FiguresNotLoopback
            | CommandError::DiskStallsUnsupported
            | CommandError::UnknownLogLevel { .. }
            | CommandError::InvalidMessageId(_)
            | CommandError::InvalidNodeName(_)
            | CommandError::Settings(_)
            | CommandError::UnreadableFile { .. }
            | CommandError::Configuration { .. } => ExitStatus::Unusable,
        }
    }
}
