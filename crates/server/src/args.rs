//! The command line.

use crate::operate::{self, Asked};
use crate::signals::NodeRole;
use crate::{settings, state, status};
use gumdrop::Options;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use tracing::Level;

/// Settings or words that can't be used; nothing has been started.
pub const UNUSABLE: u8 = 2;

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this")]
    help: bool,
    #[options(help = "settings file, instead of the one that STILEROUTE_BOOT names", meta = "FILE")]
    pub boot: Option<PathBuf>,
    #[options(
        no_short,
        help = "error, warn, info or debug; else what STILEROUTE_LOG says, else info",
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
    Edge(NoArgs),
    #[options(help = "keep and deliver messages")]
    Store(NoArgs),
    #[options(help = "know who is there, and keep the configuration")]
    Core(NoArgs),
    #[options(help = "say all that is wrong with a file, before anything reads it")]
    Check(CheckArgs),
    #[options(help = "a running system: nodes, control duty, executors, queues, ceilings")]
    Status(FleetArgs),
    #[options(help = "send a configuration, and say whether it is in force")]
    Apply(OrderArgs),
    #[options(help = "the configuration that is in force")]
    Read(FleetArgs),
    #[options(help = "whether a configuration is in force, and what differs")]
    Diff(OrderArgs),
    #[options(help = "empty a store, so that it can be taken away")]
    Retire(RetireArgs),
    #[options(help = "what the stores know of one message")]
    Message(MessageArgs),
    #[options(help = "the counters of one process")]
    Figures(FleetArgs),
    #[options(help = "what is on the disk of a machine that is stopped")]
    State(StateArgs),
    #[options(help = "version of this program, and of what its processes speak")]
    Version(JsonArgs),
}

#[derive(Debug, Options)]
pub struct NoArgs {
    #[options(help = "show this")]
    help: bool,
}

#[derive(Debug, Options)]
pub struct JsonArgs {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "as JSON")]
    json: bool,
}

#[derive(Debug, Options)]
pub struct CheckArgs {
    #[options(help = "show this")]
    help: bool,
    #[options(command)]
    command: Option<CheckCommand>,
}

#[derive(Debug, Options)]
pub enum CheckCommand {
    #[options(help = "an operator's configuration")]
    Config(FileArgs),
    #[options(help = "a settings file")]
    Boot(FileArgs),
}

#[derive(Debug, Options)]
pub struct FileArgs {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "as JSON")]
    json: bool,
    #[options(free, required, help = "the file")]
    file: PathBuf,
}

#[derive(Debug, Options)]
pub struct FleetArgs {
    #[options(help = "show this")]
    help: bool,
    #[options(no_short, help = "internal address of a process, or a settings file", meta = "IP:PORT|FILE")]
    at: Option<String>,
    #[options(no_short, help = "as JSON")]
    json: bool,
}

#[derive(Debug, Options)]
pub struct OrderArgs {
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
pub struct RetireArgs {
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
pub struct MessageArgs {
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
pub struct StateArgs {
    #[options(help = "show this")]
    help: bool,
    #[options(command)]
    command: Option<StateCommand>,
}

#[derive(Debug, Options)]
pub enum StateCommand {
    #[options(help = "read a data folder through, and change nothing")]
    Verify(FileArgs),
}

/// What is to be done: a role to be run, or something that has been done.
pub enum Task {
    Run(NodeRole),
    Done(u8),
}

/// Does what the words ask; what they lack is told with the usage.
pub fn task(args: &Args) -> Task {
    let boot = args.boot.as_deref();
    let done = match &args.command {
        None => usage(Args::usage()),
        Some(Command::Edge(_)) => return Task::Run(NodeRole::Edge),
        Some(Command::Store(_)) => return Task::Run(NodeRole::Store),
        Some(Command::Core(_)) => return Task::Run(NodeRole::Control),
        Some(Command::Check(args)) => match &args.command {
            None => usage(CheckCommand::usage()),
            Some(CheckCommand::Config(args)) => settings::check_config(&args.file, args.json),
            Some(CheckCommand::Boot(args)) => settings::check_boot(&args.file, args.json),
        },
        Some(Command::Status(args)) => status::status(args.at.as_deref(), boot, args.json),
        Some(Command::Apply(args)) => operate::apply(&args.file, &asked(&args.at, boot, args.json)),
        Some(Command::Read(args)) => operate::read(&asked(&args.at, boot, args.json)),
        Some(Command::Diff(args)) => operate::diff(&args.file, &asked(&args.at, boot, args.json)),
        Some(Command::Retire(args)) => {
            operate::retire(&args.name, args.status, &asked(&args.at, boot, args.json))
        }
        Some(Command::Message(args)) => status::message(&args.id, args.at.as_deref(), boot, args.json),
        Some(Command::Figures(args)) => status::figures(args.at.as_deref(), boot, args.json),
        Some(Command::State(args)) => match &args.command {
            None => usage(StateCommand::usage()),
            Some(StateCommand::Verify(args)) => state::verify(&args.file, args.json),
        },
        Some(Command::Version(args)) => {
            let (program, protocol) = (env!("CARGO_PKG_VERSION"), crate::signals::PROTOCOL);
            match args.json {
                true => say(&jzon::object! { "program" => program, "protocol" => protocol }.pretty(2)),
                false => say(&format!("stilerouted {program}, protocol {protocol}")),
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

/// How much is logged, by the words or else by STILEROUTE_LOG.
pub fn level(args: &Args) -> Result<Level, String> {
    let (key, text) = match &args.log {
        Some(text) => ("--log", text.clone()),
        None => match std::env::var("STILEROUTE_LOG") {
            Ok(text) if !text.is_empty() => ("STILEROUTE_LOG", text),
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
