//! `harbour`: the whole ingest and dispatch service in one program; the first word is the role. See docs/system.md.

mod calls;
mod core;
mod edge;
mod links;
mod net;
mod node;
mod signals;
mod store;

use gumdrop::Options;
use node::Common;
use signals::Class;
use std::path::PathBuf;
use stileroute_charter::Boot;

#[derive(Debug, Options)]
struct Words {
    #[options(help = "show this")]
    help: bool,
    #[options(help = "settings file, instead of the one that STILEROUTE_BOOT names", meta = "FILE")]
    boot: Option<PathBuf>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "take messages from clients")]
    Edge(NoWords),
    #[options(help = "keep and deliver messages")]
    Store(NoWords),
    #[options(help = "know who is there, and keep the configuration")]
    Core(NoWords),
}

#[derive(Debug, Options)]
struct NoWords {
    #[options(help = "show this")]
    help: bool,
}

fn main() -> miette::Result<()> {
    let words = Words::parse_args_default_or_exit();
    tracing_subscriber::fmt().with_ansi(false).with_target(false).with_writer(std::io::stderr).init();
    let Some(command) = words.command else {
        eprintln!("{}", Words::usage());
        std::process::exit(2);
    };
    let class = match command {
        Command::Edge(_) => Class::Edge,
        Command::Store(_) => Class::Store,
        Command::Core(_) => Class::Core,
    };
    let path = words.boot.or_else(|| std::env::var_os("STILEROUTE_BOOT").map(PathBuf::from));
    let path = path.ok_or_else(|| miette::miette!("STILEROUTE_BOOT: not set, and no --boot"))?;
    let boot = Boot::read(&path)?;
    tracing::info!(node = boot.node_name, role = %class, first = boot.first_start, "starts");
    let common = Common::start(boot, &path, class)?;
    match class {
        Class::Edge => edge::Edge::new(common)?.run(),
        Class::Store => store::Store::new(common)?.run(),
        Class::Core => core::Core::new(common)?.run(),
    }
}
