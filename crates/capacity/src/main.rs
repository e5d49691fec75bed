//! The command line: plays fleets of several sizes and prints what they cost.

use gumdrop::Options;
use miette::miette;
use std::process::ExitCode;
use stileroute_capacity::report::{json, tables, Fleets, Units};
use stileroute_capacity::run::{run, FleetSettings};
use stileroute_capacity::store_cost::{comparison_cost, executor_heap, message_cost, service_cost};
use stileroute_config::ConfigError;

/// Smallest fleet: six of its nodes are control nodes.
const MIN_NODES: usize = 10;
/// Messages over which the cost of one is measured.
const MESSAGES: usize = 5000;
/// Executors over which the heap of one is measured.
const EXECUTORS: usize = 1000;
/// Numbers of services and stores for which upkeep is measured: about as many services for each store.
const SERVICES_AND_STORES: [(usize, usize); 3] = [(100, 6), (1000, 60), (3000, 200)];
/// Numbers of waiting messages for which a comparison is measured.
const COMPARED_MESSAGES: [usize; 2] = [1000, 4000];

#[derive(Debug, Options)]
struct Args {
    #[options(help = "show this")]
    help: bool,
    #[options(help = "sizes of the fleet, with commas between them", default = "30,100,300", meta = "N,N")]
    nodes: String,
    #[options(help = "runs of each size, each with another seed", default = "3", meta = "N")]
    runs: u64,
    #[options(help = "seconds of the calm span", default = "10", meta = "S")]
    seconds: u64,
    #[options(help = "executors for each node", default = "10", meta = "N")]
    executors: usize,
    #[options(no_short, help = "the calm span alone, without any change")]
    calm_only: bool,
    #[options(no_short, help = "print JSON in place of tables")]
    json: bool,
}

impl Args {
    fn sizes(&self) -> miette::Result<Vec<usize>> {
        let size = |text: &str| text.trim().parse().ok().filter(|size| *size >= MIN_NODES);
        let sizes: Option<Vec<usize>> = self.nodes.split(',').map(size).collect();
        sizes.ok_or_else(|| {
            miette!("--nodes {}: whole numbers of {MIN_NODES} at least, with commas between them", self.nodes)
        })
    }

    fn fleet_settings(&self, nodes: usize, seed: u64) -> FleetSettings {
        FleetSettings {
            nodes,
            executors_per_node: self.executors,
            calm_ms: self.seconds.max(1) * 1000,
            has_changes: !self.calm_only,
            seed,
        }
    }
}

fn measure_units() -> Result<Units, ConfigError> {
    let services = SERVICES_AND_STORES.map(|(services, stores)| service_cost(services, stores));
    let comparisons = COMPARED_MESSAGES.map(comparison_cost);
    Ok(Units {
        message: message_cost(MESSAGES)?,
        services: services.into_iter().collect::<Result<_, _>>()?,
        executor_heap_bytes: executor_heap(EXECUTORS)?,
        comparisons: comparisons.into_iter().collect::<Result<_, _>>()?,
    })
}

/// Measures and prints all. Returns whether every run was complete.
fn measure(args: &Args) -> miette::Result<bool> {
    let sizes = args.sizes()?;
    let runs_of_size =
        |nodes: &usize| (1..=args.runs.max(1)).map(|seed| run(args.fleet_settings(*nodes, seed))).collect();
    let runs = sizes.iter().map(runs_of_size).collect();
    let fleets = Fleets { sizes, runs };
    let rows = fleets.rows();
    let units = measure_units().map_err(|faults| miette!("{faults}"))?;
    let text = if args.json { json(&fleets, &rows, &units) } else { tables(&fleets, &rows, &units) };
    println!("{text}");
    Ok(fleets.is_complete())
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match measure(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("not complete: a store does not know all executors, or a node lacks the configuration");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(2)
        }
    }
}
