//! `stileroute-rig`: tries a build of stileroute on a model of the fleet.

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use stileroute_rig::plan::{self, Experiment};
use stileroute_rig::report::{compare, Report};
use stileroute_rig::run;

/// Tries stileroute on a model of the fleet, with load and faults, under a judge of the four rules.
///
/// Exit codes: 0 all rules kept; 1 a rule broken by the module; 2 bad input, nothing played; 3 no verdict, for the
/// rig itself was late.
#[derive(Parser)]
#[command(name = "stileroute-rig", version)]
struct Words {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays an experiment in simulated time.
    Sim {
        /// The experiment file.
        file: PathBuf,
        /// Points of the grid played at once.
        #[arg(long, default_value_t = 1)]
        threads: usize,
        /// Where to put the whole report, as JSON.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Reads and checks an experiment file and tells what it would play.
    Check { file: PathBuf },
    /// Sets two reports of the same experiment side by side, pair by pair.
    Compare { left: PathBuf, right: PathBuf },
}

/// A line for standard error, and the exit code.
struct Failed(String, u8);

fn bad(error: impl std::fmt::Display) -> Failed {
    Failed(error.to_string(), 2)
}

fn bar(experiment: &Experiment) -> ProgressBar {
    let bar = ProgressBar::new(experiment.cells.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} plays, {elapsed} gone, {eta} to go")
    {
        bar.set_style(style);
    }
    bar
}

fn read_report(path: &Path) -> Result<Report, Failed> {
    let text = std::fs::read_to_string(path).map_err(|error| bad(format!("{}: {error}", path.display())))?;
    serde_json::from_str(&text).map_err(|error| bad(format!("{}: {error}", path.display())))
}

/// Tells the report and puts it where it was asked for; the verdict is the exit code.
fn tell(report: &Report, out: Option<&Path>) -> Result<ExitCode, Failed> {
    if let Some(path) = out {
        let text = serde_json::to_string(report).map_err(bad)?;
        std::fs::write(path, text).map_err(|error| bad(format!("{}: {error}", path.display())))?;
    }
    print!("{}", report.text());
    Ok(match (report.broken(), report.undecided()) {
        (true, _) => ExitCode::from(1),
        (false, true) => ExitCode::from(3),
        (false, false) => ExitCode::SUCCESS,
    })
}

fn work(words: Words) -> Result<ExitCode, Failed> {
    match words.what {
        What::Sim { file, threads, out } => {
            let experiment = plan::load(&file).map_err(bad)?;
            let bar = bar(&experiment);
            let report = run::simulate(&experiment, threads, &|| bar.inc(1)).map_err(bad)?;
            bar.finish_and_clear();
            tell(&report, out.as_deref())
        }
        What::Check { file } => {
            let experiment = plan::load(&file).map_err(bad)?;
            let plan = &experiment.plan;
            println!(
                "{}: {} plays of {} s, {} nodes, {} executors, {} categories, {} faults",
                plan.name,
                experiment.cells.len(),
                plan.seconds,
                plan.nodes.count,
                plan.executors(),
                plan.category.len(),
                plan.fault.len()
            );
            Ok(ExitCode::SUCCESS)
        }
        What::Compare { left, right } => {
            print!("{}", compare(&read_report(&left)?, &read_report(&right)?).map_err(bad)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    match work(Words::parse()) {
        Ok(code) => code,
        Err(Failed(line, code)) => {
            eprintln!("stileroute-rig: {line}");
            ExitCode::from(code)
        }
    }
}
