//! `stileroute-system-test`: starts a whole fleet of `stilerouted` on loopback, and proves it under load and faults.

mod churn;
mod client;
mod control;
mod dice;
mod disk_stalls;
mod drawn_day;
mod executor;
mod fleet;
mod halves;
mod history;
mod http;
mod isolation;
mod judge;
#[cfg(test)]
mod known_red_tests;
mod large_fleet;
mod losses;
mod message;
mod operator;
mod prove;
mod receiver;
mod recorder;
mod relay;
mod replacement;
mod scenarios;
mod schedule;
mod setup;
mod show;
mod upgrade;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Starts a whole fleet of stilerouted on loopback, and proves it under load and faults.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The program of the fleet.
    #[arg(long, default_value = "target/release/stilerouted", global = true)]
    stilerouted: PathBuf,
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
    /// Upgrades such a fleet under load, machine by machine, from an older program to this one, and takes some of it back.
    ProveUpgrade {
        /// The older program.
        #[arg(long, default_value = "target/landed/release/stilerouted")]
        landed: PathBuf,
        /// Messages a second.
        #[arg(long, default_value_t = 150)]
        rate: u64,
        /// Keeps the folder with the logs and disks, and prints all breaches.
        #[arg(long)]
        keep: bool,
    },
    /// Puts fleets of nine under load while disks of stores are lost one after another, with restarts, replacements and
    /// retirements between, in an order drawn from each seed; asks for all messages at the end.
    ProveLosses {
        #[command(flatten)]
        soak: losses::Soak,
        /// Keeps the folders with the logs and disks, and prints all breaches.
        #[arg(long)]
        keep: bool,
    },
    /// Prints a day of troubles for the operators' bench, drawn from a seed.
    DrawDay {
        #[command(flatten)]
        plan: drawn_day::DayPlan,
    },
    /// The same for the control nodes on their worst days: four fleets side by side.
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
    let args = Args::parse();
    let done = match args.command {
        Command::Start => show::show(&args.stilerouted, args.net.unwrap_or(60)),
        Command::Prove { rate, keep, long } => {
            let proof = if long { prove::Proof::Long } else { prove::Proof::System };
            prove::prove(&args.stilerouted, args.net, rate, keep, proof)
        }
        Command::ProveUpgrade { landed, rate, keep } => {
            let programs = upgrade::Programs { landed, current: args.stilerouted };
            upgrade::prove(&programs, args.net, rate, keep)
        }
        Command::ProveLosses { soak, keep } => losses::prove(&args.stilerouted, args.net, keep, soak),
        Command::DrawDay { plan } => {
            print!("{}", drawn_day::DrawnDay::draw(&plan));
            Ok(ExitCode::SUCCESS)
        }
        Command::ProveControl { keep, only } => control::prove(&args.stilerouted, args.net, keep, only),
    };
    match done {
        Ok(code) => code,
        Err(error) => {
            eprintln!("stileroute-system-test: {error}");
            ExitCode::FAILURE
        }
    }
}

/// A folder that nobody else has; TMPDIR names another place, where the disk of a shared machine stalls for seconds.
fn home() -> Result<PathBuf, String> {
    let home = std::env::temp_dir().join(format!("stilerouted-{}", std::process::id()));
    std::fs::create_dir_all(&home).map_err(|e| format!("{}: {e}", home.display()))?;
    Ok(home)
}
