//! The command line: plays fleets of some sizes and prints what they cost.

use gumdrop::Options;
use miette::miette;
use std::process::ExitCode;
use stileroute_capacity::message::{comparison_cost, executor_heap, message_cost, service_cost};
use stileroute_capacity::report::{json, tables, Fleets, Units};
use stileroute_capacity::run::{run, GroupSettings};

/// Fewer nodes than this are no fleet: six are control nodes.
const FEWEST: usize = 10;
/// Messages over which the cost of one is counted.
const MESSAGES: usize = 5000;
/// Executors over which the heap of one is counted.
const EXECUTORS: usize = 1000;
/// Services and stores whose upkeep is measured: as many services a store at each size.
const SERVICES: [(usize, usize); 3] = [(100, 6), (1000, 60), (3000, 200)];
const WAITING: [usize; 2] = [1000, 4000];

#[derive(Debug, Options)]
struct Words {
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

fn sizes(text: &str) -> miette::Result<Vec<usize>> {
    let size = |link_event: &str| link_event.trim().parse().ok().filter(|size| *size >= FEWEST);
    let sizes: Option<Vec<usize>> = text.split(',').map(size).collect();
    sizes.ok_or_else(|| {
        miette!("--nodes {text}: whole numbers of {FEWEST} at least, with commas between them")
    })
}

fn units() -> miette::Result<Units> {
    let services = SERVICES.map(|(services, stores)| service_cost(services, stores));
    let comparison = WAITING.map(|count| comparison_cost(count).map(|(us, bytes)| (count, us, bytes)));
    let message = message_cost(MESSAGES)?;
    Ok(Units {
        message,
        services: services.into_iter().collect::<miette::Result<_>>()?,
        executor_heap: executor_heap(EXECUTORS)?,
        comparison: comparison.into_iter().collect::<miette::Result<_>>()?,
    })
}

fn measure(link_events: &Words) -> miette::Result<bool> {
    let sizes = sizes(&link_events.nodes)?;
    let settings = |nodes: usize, seed: u64| GroupSettings {
        nodes,
        executors_per_node: link_events.executors,
        calm: link_events.seconds.max(1) * 1000,
        changes: !link_events.calm_only,
        seed,
    };
    let of_size =
        |nodes: &usize| (1..=link_events.runs.max(1)).map(|seed| run(settings(*nodes, seed))).collect();
    let runs = sizes.iter().map(of_size).collect();
    let fleets = Fleets { sizes, runs };
    let (rows, units) = (fleets.rows(), units()?);
    let text = if link_events.json { json(&fleets, &rows, &units) } else { tables(&fleets, &rows, &units) };
    println!("{text}");
    Ok(fleets.complete())
}

fn main() -> ExitCode {
    let link_events = Words::parse_args_default_or_exit();
    match measure(&link_events) {
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
