//! `stilerouted`: the complete ingest and dispatch service in one program, whose first argument is the role of the process. See
//! docs/system.md for its design and docs/server.md for its operation.

mod callback_url;
mod calls;
mod cli;
mod control_node;
mod control_plane;
mod dial_targets;
mod disk;
mod disk_owner;
mod disk_stalls;
mod edge;
mod inquiry;
mod inspection;
mod keepalive;
mod links;
mod log_writer;
mod metrics;
mod net;
mod node;
mod protocol;
mod report;
mod settings;
mod shutdown;
mod start_error;
mod store;

use cli::args::Args;
use cli::output::ExitStatus;
use cli::CommandError;
use gumdrop::Options;
use log_writer::{FlushOnDrop, LogWriter};
use node::NodeRuntime;
use protocol::NodeRole;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;
use stileroute_config::NodeSettings;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let result = match args.role() {
        Some(role) => start(&args, role),
        None => cli::execute(&args),
    };
    let status = result.unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit_status()
    });
    ExitCode::from(status)
}

/// Runs a role until the process receives the signal to shut down.
fn start(args: &Args, role: NodeRole) -> Result<ExitStatus, CommandError> {
    let _flush = start_logging(args.log_level()?)?;
    if disk_stalls::are_unsupported() {
        return Err(CommandError::DiskStallsUnsupported);
    }
    let path = args.settings_file()?;
    if args.figures.is_some_and(|address| !address.ip().is_loopback()) {
        return Err(CommandError::FiguresNotLoopback);
    }
    let settings = settings::read(&path, role).map_err(CommandError::Settings)?;
    let metrics_port_address = args.metrics_port.map(|port| SocketAddrV4::new(settings.ip, port));
    let settings = NodeSettings {
        metrics_address: args.figures.or(metrics_port_address).or(settings.metrics_address),
        ..settings
    };
    match run(settings, &path, role) {
        Ok(()) => Ok(ExitStatus::Success),
        Err(report) => Err(CommandError::Role { settings: path, report }),
    }
}

/// Starts the logging to standard error, without colours and without module names. The caller must drop the returned guard
/// last, because dropping it flushes the log.
fn start_logging(level: tracing::Level) -> Result<FlushOnDrop, CommandError> {
    let (writer, flush) = LogWriter::start(std::io::stderr()).map_err(CommandError::LogThread)?;
    let log = tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_target(false);
    log.with_writer(writer).init();
    Ok(flush)
}

fn run(settings: NodeSettings, path: &Path, role: NodeRole) -> miette::Result<()> {
    tracing::info!(node = settings.node_name, role = %role, first = settings.is_first_start, "starts");
    let runtime = NodeRuntime::start(settings, path, role)?;
    match role {
        NodeRole::Edge => edge::Edge::new(runtime)?.run(),
        NodeRole::Store => store::Store::new(runtime)?.run(),
        NodeRole::Control => control_node::ControlNode::new(runtime)?.run(),
        NodeRole::CommandLine => {}
    }
    Ok(())
}
