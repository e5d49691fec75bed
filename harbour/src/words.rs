//! The command line.

use crate::operate::{self, Asked};
use crate::signals::Class;
use crate::{settings, state, status};
use gumdrop::Options;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use tracing::Level;

/// Settings or words that can't be used; nothing has been started.
pub const UNUSABLE: u8 = 2;

#[derive(Debug, Options)]
pub struct Words {
    #[options(help = "show this")]
    help: bool,
    #[options(help = "settings file, instead of the one that STILEROUTE_BOOT names", meta = "FILE")]
    pub boot: Option<PathBuf>,
    #[options(
        no_short,
        help = "error, warn, info or debug; else what HARBOUR_LOG says, else info",
        meta = "LEVEL"
    )]
    pub log: Option<String>,
    #[options(
        no_short,
        help = "serve the counters at this loopback address, under /metrics",
        meta = "IP:PORT"
    )]
    pub figures: Option<SocketAddrV4>,
    #[options(command)]
    pub command: Option<Command>,
}

#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "take messages from clients")]
    Edge(NoWords),
    #[options(help = "keep and deliver messages")]
    Store(NoWords),
    #[options(help = "know who is there, and keep the configuration")]
    Core(NoWords),
    #[options(help = "say all that is wrong with a file, before anything reads it")]
    Check(CheckWords),
    #[options(help = "a running system: nodes, control duty, executors, queues, ceilings")]
    Status(FleetWords),
    #[options(help = "send a configuration, and say whether it is in force")]
    Apply(OrderWords),
    #[options(help = "the configuration that is in force")]
    Read(FleetWords),
    #[options(help = "whether a configuration is in force, and what differs")]
    Diff(OrderWords),
    #[options(help = "empty a store, so that it can be taken away")]
    Retire(RetireWords),
    #[options(help = "what the stores know of one message")]
    Message(MessageWords),
    #[options(help = "the counters of one process")]
    Figures(FleetWords),
    #[options(help = "what is on the disk of a machine that is stopped")]
    State(StateWords),
    #[options(help = "version of this program, and of what its processes speak")]
    Version(JsonWords),
}

#[derive(Debug, Options)]
pub struct NoWords {
    #[options(help = "show this")]
    help: bool,
}

#[derive(Debug, Options)]
pub struct JsonWords {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "as JSON")]
    json: bool,
}

#[derive(Debug, Options)]
pub struct CheckWords {
    #[options(help = "show this")]
    help: bool,
    #[options(command)]
    command: Option<CheckCommand>,
}

#[derive(Debug, Options)]
pub enum CheckCommand {
    #[options(help = "an operator's configuration")]
    Config(FileWords),
    #[options(help = "a settings file")]
    Boot(FileWords),
}

#[derive(Debug, Options)]
pub struct FileWords {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "as JSON")]
    json: bool,
    #[options(free, required, help = "the file")]
    file: PathBuf,
}

#[derive(Debug, Options)]
pub struct FleetWords {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
}

#[derive(Debug, Options)]
pub struct OrderWords {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
    #[options(free, required, help = "the configuration")]
    file: PathBuf,
}

#[derive(Debug, Options)]
pub struct RetireWords {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
    #[options(no_short, help = "only say how far it is")]
    status: bool,
    #[options(free, required, help = "the store's name")]
    name: String,
}

#[derive(Debug, Options)]
pub struct MessageWords {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
    #[options(free, required, help = "as X-Queue-Message-Id told it")]
    id: String,
}

#[derive(Debug, Options)]
pub struct StateWords {
    #[options(help = "show this")]
    help: bool,
    #[options(command)]
    command: Option<StateCommand>,
}

#[derive(Debug, Options)]
pub enum StateCommand {
    #[options(help = "read a data folder through, and change nothing")]
    Verify(FileWords),
}

/// What is to be done: a role to be run, or something that has been done.
pub enum Task {
    Run(Class),
    Done(u8),
}

/// Does what the words ask; what they lack is told with the usage.
pub fn task(words: &Words) -> Task {
    let boot = words.boot.as_deref();
    let done = match &words.command {
        None => usage(Words::usage()),
        Some(Command::Edge(_)) => return Task::Run(Class::Edge),
        Some(Command::Store(_)) => return Task::Run(Class::Store),
        Some(Command::Core(_)) => return Task::Run(Class::Core),
        Some(Command::Check(words)) => match &words.command {
            None => usage(CheckCommand::usage()),
            Some(CheckCommand::Config(words)) => settings::check_config(&words.file, words.json),
            Some(CheckCommand::Boot(words)) => settings::check_boot(&words.file, words.json),
        },
        Some(Command::Status(words)) => status::status(words.at.as_deref(), boot, words.json),
        Some(Command::Apply(words)) => operate::apply(&words.file, &asked(&words.at, boot, words.json)),
        Some(Command::Read(words)) => operate::read(&asked(&words.at, boot, words.json)),
        Some(Command::Diff(words)) => operate::diff(&words.file, &asked(&words.at, boot, words.json)),
        Some(Command::Retire(words)) => {
            operate::retire(&words.name, words.status, &asked(&words.at, boot, words.json))
        }
        Some(Command::Message(words)) => status::message(&words.id, words.at.as_deref(), boot, words.json),
        Some(Command::Figures(words)) => status::figures(words.at.as_deref(), boot, words.json),
        Some(Command::State(words)) => match &words.command {
            None => usage(StateCommand::usage()),
            Some(StateCommand::Verify(words)) => state::verify(&words.file, words.json),
        },
        Some(Command::Version(words)) => {
            let (program, protocol) = (env!("CARGO_PKG_VERSION"), crate::signals::PROTOCOL);
            match words.json {
                true => say(&jzon::object! { "program" => program, "protocol" => protocol }.pretty(2)),
                false => say(&format!("harbour {program}, protocol {protocol}")),
            }
            0
        }
    };
    Task::Done(done)
}

fn asked<'a>(at: &'a Option<String>, boot: Option<&'a std::path::Path>, json: bool) -> Asked<'a> {
    Asked { at: at.as_deref(), boot, json }
}

fn usage(text: &str) -> u8 {
    eprintln!("{text}");
    UNUSABLE
}

/// To standard output; a reader that has gone is no fault.
pub fn say(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

/// How much is logged, by the words or else by HARBOUR_LOG.
pub fn level(words: &Words) -> Result<Level, String> {
    let (key, text) = match &words.log {
        Some(text) => ("--log", text.clone()),
        None => match std::env::var("HARBOUR_LOG") {
            Ok(text) if !text.is_empty() => ("HARBOUR_LOG", text),
            _ => return Ok(Level::INFO),
        },
    };
    match text.as_str() {
        "error" => Ok(Level::ERROR),
        "warn" => Ok(Level::WARN),
        "info" => Ok(Level::INFO),
        "debug" => Ok(Level::DEBUG),
        other => Err(format!("command line: {key}: {other:?} is none of error, warn, info, debug")),
    }
}
