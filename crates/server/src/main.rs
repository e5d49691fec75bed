//! `stilerouted`: the whole ingest and dispatch service in one program; the first word is the role. See docs/system.md for
//! its design and docs/server.md for running it.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::struct_excessive_bools)]

mod args;
mod calls;
mod core;
mod edge;
mod figures;
mod links;
mod net;
mod node;
mod operate;
mod report;
mod settings;
mod signals;
mod state;
mod status;
mod store;

use args::{Args, Task, UNUSABLE};
use gumdrop::Options;
use node::Common;
use signals::NodeRole;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use stileroute_config::NodeSettings;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match args::task(&args) {
        Task::Done(code) => ExitCode::from(code),
        Task::Run(class) => start(args, class),
    }
}

/// Runs a role. Settings that can't be used end it with 2 and one line for each fault; anything else with 1.
fn start(args: Args, class: NodeRole) -> ExitCode {
    let unusable = |reason: String| {
        eprintln!("{reason}");
        ExitCode::from(UNUSABLE)
    };
    let level = match args::level(&args) {
        Ok(level) => level,
        Err(reason) => return unusable(reason),
    };
    let log = tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_target(false);
    log.with_writer(std::io::stderr).init();
    let path = args.boot.clone().or_else(|| std::env::var_os("STILEROUTE_BOOT").map(PathBuf::from));
    let Some(path) = path else {
        return unusable("command line: --boot: missing, and STILEROUTE_BOOT is not set".to_string());
    };
    if args.figures.is_some_and(|at| !at.ip().is_loopback()) {
        return unusable("command line: --figures: must be a loopback address".to_string());
    }
    match settings::read(&path, class) {
        Err(faults) => unusable(faults.to_string()),
        Ok(boot) => match run(
            NodeSettings { metrics_address: args.figures.or(boot.metrics_address), ..boot },
            &path,
            class,
        ) {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => {
                eprintln!("{}: {report}", path.display());
                ExitCode::FAILURE
            }
        },
    }
}

fn run(boot: NodeSettings, path: &Path, class: NodeRole) -> miette::Result<()> {
    tracing::info!(node = boot.node_name, role = %class, first = boot.is_first_start, "starts");
    let common = Common::start(boot, path, class)?;
    match class {
        NodeRole::Edge => edge::Edge::new(common)?.run(),
        NodeRole::Store => store::Store::new(common)?.run(),
        NodeRole::Control => core::Core::new(common)?.run(),
        NodeRole::CommandLine => Ok(()),
    }
}
