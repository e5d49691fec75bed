//! `stileroute-testbed`: tries a build of stileroute on a model of the fleet.

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use stileroute_testbed::experiment::{self, Experiment};
use stileroute_testbed::report::{compare, Played, Report};
use stileroute_testbed::{hunt, page, run};

/// Tries stileroute on a model of the fleet, with load and faults, under a judge of the four rules.
///
/// Exit codes: 0 all rules kept; 1 a rule broken by the module, or a figure of it beyond what the file expects; 2 bad
/// input, nothing played; 3 no verdict, for the machine was short of something or the rig itself was late.
#[derive(Parser)]
#[command(name = "stileroute-testbed", version)]
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
        /// Tells on standard error how long each play took, and its events a second.
        #[arg(long)]
        timings: bool,
    },
    /// Plays an experiment on sockets, with the program itself.
    Play {
        /// The experiment file; points of other policies than stileroute are left out.
        file: PathBuf,
        /// The program to try.
        #[arg(long, default_value = "target/release/stileroute")]
        node: PathBuf,
        /// Only the first so many seeds.
        #[arg(long)]
        seeds: Option<usize>,
        /// Where to put the whole report, as JSON.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Also tells what the nodes logged.
        #[arg(long)]
        logs: bool,
    },
    /// Draws days at random in simulated time, and shrinks the first that fails to the smallest that still does.
    Hunt {
        /// An experiment file with a table `hunt`.
        file: PathBuf,
        /// Where chance starts from.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where to put the smallest failing day, as an experiment file beside the one it extends.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Writes one HTML page with plots of a report.
    Report {
        /// What `sim` or `play` has put there with `--out`.
        report: PathBuf,
        #[arg(long)]
        out: PathBuf,
    },
    /// Reads and checks an experiment file and tells what it would play.
    Check {
        file: PathBuf,
        /// Also whether it can be played with processes on this machine.
        #[arg(long)]
        sockets: bool,
    },
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
    Ok(match (report.broken() || report.missed(), report.undecided()) {
        (true, _) => ExitCode::from(1),
        (false, true) => ExitCode::from(3),
        (false, false) => ExitCode::SUCCESS,
    })
}

fn work(words: Words) -> Result<ExitCode, Failed> {
    match words.what {
        What::Sim { file, threads, out, timings } => {
            let experiment = experiment::load(&file).map_err(bad)?;
            let bar = bar(&experiment);
            let step = |played: &Played, took: Duration| {
                if timings {
                    let (events, ops, took) =
                        (played.events as f64, played.ops.max(1) as f64, took.as_secs_f64());
                    let (rate, cost) = (events / took / 1e3, took / ops * 1e6);
                    let label = &played.label;
                    eprintln!(
                        "{label} seed {}: {took:.2} s, {rate:.0} thousand events/s, {cost:.1} us an op",
                        played.seed
                    );
                }
                bar.inc(1);
            };
            let report = run::simulate(&experiment, threads, &step).map_err(bad)?;
            bar.finish_and_clear();
            tell(&report, out.as_deref())
        }
        What::Play { file, node, seeds, out, logs } => {
            let mut experiment = experiment::load(&file).map_err(bad)?;
            if let Some(seeds) = seeds {
                let kept: Vec<u64> = experiment.plan.seeds.iter().copied().take(seeds).collect();
                experiment.cells.retain(|cell| kept.contains(&cell.seed));
            }
            experiment.bears().map_err(bad)?;
            let bar = bar(&experiment);
            let report = run::play(&experiment, &node, &|| bar.inc(1)).map_err(bad)?;
            bar.finish_and_clear();
            if logs {
                report.played.iter().flat_map(|played| &played.log).for_each(|line| println!("{line}"));
            }
            tell(&report, out.as_deref())
        }
        What::Hunt { file, seed, out } => {
            let experiment = experiment::load(&file).map_err(bad)?;
            let days = experiment.plan.hunt.as_ref().map_or(0, |hunt| hunt.days);
            let bar = ProgressBar::new(days as u64);
            let found = hunt::hunt(&experiment.plan, seed, &|| bar.inc(1)).map_err(bad)?;
            bar.finish_and_clear();
            let Some(found) = found else {
                println!("{}: {days} days drawn from seed {seed}, none failed", experiment.plan.name);
                return Ok(ExitCode::SUCCESS);
            };
            let base = file.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            let text = found.text(&base).map_err(bad)?;
            println!(
                "day {} failed: {}; {} faults, {} in the smallest day that still fails",
                found.day,
                found.why,
                found.drawn,
                found.plan.fault.len()
            );
            match out {
                Some(path) => {
                    std::fs::write(&path, text).map_err(|e| bad(format!("{}: {e}", path.display())))?
                }
                None => print!("{text}"),
            }
            Ok(ExitCode::from(1))
        }
        What::Report { report, out } => {
            let text = page::page(&read_report(&report)?).map_err(bad)?;
            std::fs::write(&out, text).map_err(|error| bad(format!("{}: {error}", out.display())))?;
            Ok(ExitCode::SUCCESS)
        }
        What::Check { file, sockets } => {
            let experiment = experiment::load(&file).map_err(bad)?;
            if sockets {
                experiment.bears().map_err(bad)?;
            }
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
            eprintln!("stileroute-testbed: {line}");
            ExitCode::from(code)
        }
    }
}
