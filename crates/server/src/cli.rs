//! The command line: runs each command and determines its exit status.

pub mod args;
mod check;
mod control_api;
mod discovery;
mod error;
mod figures;
mod internal_client;
mod message;
mod order_error;
mod orders;
pub mod output;
mod query;
mod services;
mod status;
mod verify;

use crate::protocol::PROTOCOL_VERSION;
use args::{Args, CheckCommand, CheckOptions, Command, StateCommand, StateOptions};
pub use error::CommandError;
use gumdrop::Options;
use output::{print, ExitStatus, OutputFormat};

/// Runs a command other than those that start a role.
///
/// # Errors
///
/// If the command can't run: its arguments or files are unusable, or the running system does not answer.
pub fn execute(args: &Args) -> Result<ExitStatus, CommandError> {
    let settings = args.boot.as_deref();
    match &args.command {
        // Commands that start a role are handled by `main`.
        None | Some(Command::Edge(_) | Command::Store(_) | Command::Core(_)) => Ok(usage(Args::usage())),
        Some(Command::Check(options)) => Ok(execute_check(options)),
        Some(Command::Status(options)) => status::status(&options.query(settings)),
        Some(Command::Apply(options)) => orders::apply(&options.file, &options.query(settings)),
        Some(Command::Read(options)) => orders::read(&options.query(settings)),
        Some(Command::Diff(options)) => orders::diff(&options.file, &options.query(settings)),
        Some(Command::Retire(options)) => {
            orders::retire(&options.name, options.request(), &options.query(settings))
        }
        Some(Command::Message(options)) => message::message(&options.id, &options.query(settings)),
        Some(Command::Figures(options)) => figures::figures(&options.query(settings)),
        Some(Command::State(options)) => Ok(execute_state(options)),
        Some(Command::Version(options)) => Ok(version(options.format())),
    }
}

fn execute_check(options: &CheckOptions) -> ExitStatus {
    match &options.command {
        None => usage(CheckCommand::usage()),
        Some(CheckCommand::Config(options)) => check::check_config(&options.file, options.format()),
        Some(CheckCommand::Boot(options)) => check::check_boot(&options.file, options.format()),
    }
}

fn execute_state(options: &StateOptions) -> ExitStatus {
    match &options.command {
        None => usage(StateCommand::usage()),
        Some(StateCommand::Verify(options)) => verify::verify(&options.file, options.format()),
    }
}

/// Prints the usage of the program for a call without a command.
fn usage(text: &str) -> ExitStatus {
    eprintln!("{text}");
    ExitStatus::Unusable
}

fn version(format: OutputFormat) -> ExitStatus {
    let program = env!("CARGO_PKG_VERSION");
    match format {
        OutputFormat::Json => {
            print(&jzon::object! { "program" => program, "protocol" => PROTOCOL_VERSION }.pretty(2));
        }
        OutputFormat::Text => print(&format!("stilerouted {program}, protocol {PROTOCOL_VERSION}")),
    }
    ExitStatus::Success
}
