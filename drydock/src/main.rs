//! `harbour-drydock`: starts a whole fleet of `harbour` on loopback, and proves it under load and faults.

mod churn;
mod client;
mod control;
mod course;
mod executor;
mod fleet;
mod history;
mod isolation;
mod judge;
mod message;
mod operator;
mod ordeals;
mod prove;
mod receiver;
mod relay;
mod replacement;
mod setup;
mod show;
mod sight;
mod sixty;
mod wire;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Starts a whole fleet of harbour on loopback, and proves it under load and faults.
#[derive(Parser)]
#[command(version)]
struct Words {
    /// The program of the fleet.
    #[arg(long, default_value = "target/release/harbour", global = true)]
    harbour: PathBuf,
    /// All addresses are in 127.NET; without it one is chosen where nobody listens.
    #[arg(long, global = true)]
    net: Option<u8>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts three machines of each role and some executors, and keeps them up until Ctrl-C.
    Start,
    /// Puts such a fleet under load, breaks parts of it, and judges what clients, executors and operators saw.
    Prove {
        /// Messages a second.
        #[arg(long, default_value_t = 150)]
        rate: u64,
        /// Keeps the folder with the logs and disks, and prints all breaches.
        #[arg(long)]
        keep: bool,
        /// Sixty-one processes, and two stores lost at once with their disks, twice.
        #[arg(long)]
        long: bool,
    },
    /// The same for the control nodes on their worst days: three fleets side by side.
    ProveControl {
        /// Keeps the folders with the logs and disks, and prints all breaches.
        #[arg(long)]
        keep: bool,
        /// Plays one of the courses alone.
        #[arg(long)]
        only: Option<control::Part>,
    },
}

fn main() -> ExitCode {
    let words = Words::parse();
    let done = match words.command {
        Command::Start => show::show(&words.harbour, words.net.unwrap_or(60)),
        Command::Prove { rate, keep, long } => {
            let proof = if long { prove::Proof::Long } else { prove::Proof::System };
            prove::prove(&words.harbour, words.net, rate, keep, proof)
        }
        Command::ProveControl { keep, only } => control::prove(&words.harbour, words.net, keep, only),
    };
    match done {
        Ok(code) => code,
        Err(error) => {
            eprintln!("harbour-drydock: {error}");
            ExitCode::FAILURE
        }
    }
}

/// A folder that nobody else has; TMPDIR names another place, where the disk of a shared machine stalls for seconds.
fn home() -> Result<PathBuf, String> {
    let home = std::env::temp_dir().join(format!("harbour-{}", std::process::id()));
    std::fs::create_dir_all(&home).map_err(|e| format!("{}: {e}", home.display()))?;
    Ok(home)
}
