//! The options and commands of the command line. Types and variants have plain comments, because `gumdrop` would print their doc
//! comments as part of the help text.

use super::error::CommandError;
use super::output::OutputFormat;
use super::query::{settings_file_of_environment, EntryPoint, Query};
use crate::protocol::NodeRole;
use gumdrop::Options;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use tracing::Level;

/// The environment variable that sets the log level if no option does.
const LOG_VARIABLE: &str = "STILEROUTE_LOG";

// The options of the program itself, which precede the command.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this")]
    help: bool,
    /// `--boot`: the settings file.
    #[options(help = "settings file, instead of the one that STILEROUTE_BOOT names", meta = "FILE")]
    pub boot: Option<PathBuf>,
    /// `--log`: how much is logged.
    #[options(
        no_short,
        help = "error, warn, info or debug; else what STILEROUTE_LOG says, else info",
        meta = "LEVEL"
    )]
    pub log: Option<String>,
    /// `--figures`: where the counters are served.
    #[options(
        no_short,
        help = "serve the counters at this loopback address, under /metrics",
        meta = "IP:PORT"
    )]
    pub figures: Option<SocketAddrV4>,
    /// `--metrics-port`: where a scraper reads the counters.
    #[options(
        no_short,
        help = "serve the counters at this port of the machine's own address, under /metrics",
        meta = "PORT"
    )]
    pub metrics_port: Option<u16>,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

// The commands; the first three start a role.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "take messages from clients")]
    Edge(RoleOptions),
    #[options(help = "keep and deliver messages")]
    Store(RoleOptions),
    #[options(help = "know who is there, and keep the configuration")]
    Core(RoleOptions),
    #[options(help = "say all that is wrong with a file, before anything reads it")]
    Check(CheckOptions),
    #[options(help = "a running system: nodes, control duty, executors, queues, ceilings")]
    Status(FleetOptions),
    #[options(help = "send a configuration, and say whether it is in force")]
    Apply(ConfigurationOptions),
    #[options(help = "the configuration that is in force")]
    Read(FleetOptions),
    #[options(help = "whether a configuration is in force, and what differs")]
    Diff(ConfigurationOptions),
    #[options(help = "empty a store, so that it can be taken away")]
    Retire(RetireOptions),
    #[options(help = "what the stores know of one message")]
    Message(MessageOptions),
    #[options(help = "the counters of one process")]
    Figures(FleetOptions),
    #[options(help = "what is on the disk of a machine that is stopped")]
    State(StateOptions),
    #[options(help = "version of this program, and of what its processes speak")]
    Version(VersionOptions),
}

// Options of the commands that start a role.
#[derive(Debug, Options)]
pub struct RoleOptions {
    #[options(help = "show this")]
    help: bool,
}

// Options of `version`.
#[derive(Debug, Options)]
pub struct VersionOptions {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "as JSON")]
    json: bool,
}

// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    #[options(help = "show this")]
    help: bool,
    /// Which kind of file is checked.
    #[options(command)]
    pub command: Option<CheckCommand>,
}

// The kinds of files that can be checked.
#[derive(Debug, Options)]
pub enum CheckCommand {
    #[options(help = "an operator's configuration")]
    Config(FileOptions),
    #[options(help = "a settings file")]
    Boot(FileOptions),
}

// Options of a command that reads one file or folder.
#[derive(Debug, Options)]
pub struct FileOptions {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "as JSON")]
    json: bool,
    /// The file or folder.
    #[options(free, required, help = "the file")]
    pub file: PathBuf,
}

// Options of a command that queries the running system.
#[derive(Debug, Options)]
pub struct FleetOptions {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
}

// Options of a command that sends or compares a configuration file.
#[derive(Debug, Options)]
pub struct ConfigurationOptions {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
    /// The file with the configuration.
    #[options(free, required, help = "the configuration")]
    pub file: PathBuf,
}

// Options of `retire`.
#[derive(Debug, Options)]
pub struct RetireOptions {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
    #[options(no_short, help = "only say how far it is")]
    status: bool,
    /// The node name of the store.
    #[options(free, required, help = "the store's name")]
    pub name: String,
}

// Options of `message`.
#[derive(Debug, Options)]
pub struct MessageOptions {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
    /// The message's id.
    #[options(free, required, help = "as X-Queue-Message-Id told it")]
    pub id: String,
}

// Options of `state`.
#[derive(Debug, Options)]
pub struct StateOptions {
    #[options(help = "show this")]
    help: bool,
    /// What is done with the folder.
    #[options(command)]
    pub command: Option<StateCommand>,
}

// The operations on a data folder.
#[derive(Debug, Options)]
pub enum StateCommand {
    #[options(help = "read a data folder through, and change nothing")]
    Verify(FileOptions),
}

impl Args {
    /// The role that the process will run, if the command starts one.
    pub fn role(&self) -> Option<NodeRole> {
        match &self.command {
            Some(Command::Edge(_)) => Some(NodeRole::Edge),
            Some(Command::Store(_)) => Some(NodeRole::Store),
            Some(Command::Core(_)) => Some(NodeRole::Control),
            _ => None,
        }
    }

    /// The path of the settings file for a role.
    ///
    /// # Errors
    ///
    /// [`CommandError::NoSettingsFile`] if neither `--boot` nor the environment names one.
    pub fn settings_file(&self) -> Result<PathBuf, CommandError> {
        let file = self.boot.clone().or_else(settings_file_of_environment);
        file.ok_or(CommandError::NoSettingsFile { option: "--boot" })
    }

    /// The log level from `--log`, or else from the environment, or else [`Level::INFO`].
    ///
    /// # Errors
    ///
    /// [`CommandError::UnknownLogLevel`] for an unknown log level.
    pub fn log_level(&self) -> Result<Level, CommandError> {
        let (option, level) = match (&self.log, std::env::var(LOG_VARIABLE)) {
            (Some(level), _) => ("--log", level.clone()),
            (None, Ok(level)) if !level.is_empty() => (LOG_VARIABLE, level),
            (None, _) => return Ok(Level::INFO),
        };
        match level.as_str() {
            "error" => Ok(Level::ERROR),
            "warn" => Ok(Level::WARN),
            "info" => Ok(Level::INFO),
            "debug" => Ok(Level::DEBUG),
            _ => Err(CommandError::UnknownLogLevel { option, level }),
        }
    }
}

fn query<'a>(at: &'a Option<String>, json: bool, settings: Option<&'a Path>) -> Query<'a> {
    let entry = EntryPoint { at: at.as_deref(), settings };
    Query { entry, format: OutputFormat::from_json_flag(json) }
}

impl FleetOptions {
    /// The query that these options describe; `settings` is the settings file that `--boot` names.
    pub fn query<'a>(&'a self, settings: Option<&'a Path>) -> Query<'a> {
        query(&self.at, self.json, settings)
    }
}

impl ConfigurationOptions {
    /// The query that these options describe; `settings` is the settings file that `--boot` names.
    pub fn query<'a>(&'a self, settings: Option<&'a Path>) -> Query<'a> {
        query(&self.at, self.json, settings)
    }
}

/// The action that the command `retire` requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireRequest {
    /// Start the retirement, which empties the store.
    Begin,
    /// Only report the progress of the retirement.
    Status,
}

impl RetireOptions {
    /// The query that these options describe; `settings` is the settings file that `--boot` names.
    pub fn query<'a>(&'a self, settings: Option<&'a Path>) -> Query<'a> {
        query(&self.at, self.json, settings)
    }

    /// Whether the command starts the retirement or only reports its progress.
    pub fn request(&self) -> RetireRequest {
        if self.status {
            RetireRequest::Status
        } else {
            RetireRequest::Begin
        }
    }
}

impl MessageOptions {
    /// The query that these options describe; `settings` is the settings file that `--boot` names.
    pub fn query<'a>(&'a self, settings: Option<&'a Path>) -> Query<'a> {
        query(&self.at, self.json, settings)
    }
}

impl FileOptions {
    /// The format in which the result is printed.
    pub fn format(&self) -> OutputFormat {
        OutputFormat::from_json_flag(self.json)
    }
}

impl VersionOptions {
    /// The format in which the version is printed.
    pub fn format(&self) -> OutputFormat {
        OutputFormat::from_json_flag(self.json)
    }
}
