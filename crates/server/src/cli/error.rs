//! Why a command could not be run.

use super::output::ExitStatus;
use std::path::PathBuf;
use stileroute_config::ConfigError;

/// Why a command could not be run. Its text goes to standard error as it is.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CommandError {
    /// Neither the option nor the environment names a settings file.
    #[error("command line: {option}: missing, and STILEROUTE_BOOT is not set")]
    NoSettingsFile {
        /// The option that would name it.
        option: &'static str,
    },
    /// The counters must not be served to other machines.
    #[error("command line: --figures: must be a loopback address")]
    FiguresNotLoopback,
    /// A test asks for stalls of the disk that this build does not have, and would prove nothing.
    #[error("environment: {}: this build has no stalls of the disk", crate::disk_stalls::SCHEDULE_VARIABLE)]
    DiskStallsUnsupported,
    /// The system has no thread for the log.
    #[error("the thread for the log can't be started: {0}")]
    LogThread(std::io::Error),
    /// A level of logging that does not exist.
    #[error("command line: {option}: {level:?} is none of error, warn, info, debug")]
    UnknownLogLevel {
        /// The option or environment variable that names it.
        option: &'static str,
        /// What it says.
        level: String,
    },
    /// An argument that can't be the id of a message.
    #[error("command line: ID: {0:?} is no message's name")]
    InvalidMessageId(String),
    /// An argument that can't be the name of a node.
    #[error("command line: NAME: {0:?} is no node's name")]
    InvalidNodeName(String),
    /// The settings file can't be used; one line for each fault.
    #[error("{0}")]
    Settings(ConfigError),
    /// A configuration file can't be read.
    #[error("{}: cannot be read: {source}", file.display())]
    UnreadableFile {
        /// Its path.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A configuration file has faults.
    #[error("{}: {faults}", file.display())]
    Configuration {
        /// Its path.
        file: PathBuf,
        /// All that is wrong with it.
        faults: ConfigError,
    },
    /// No process answered; one line for each that was asked.
    #[error("{}", .reasons.join("\n"))]
    NoAnswer {
        /// Why each of them gave no answer.
        reasons: Vec<String>,
    },
    /// A role could not start or go on.
    #[error("{}: {report}", settings.display())]
    Role {
        /// The settings file that it was started with.
        settings: PathBuf,
        /// What failed.
        report: miette::Report,
    },
}

impl CommandError {
    /// The exit status that the program ends with.
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
