//! `stileroute-model-check`: searches all orders of events of the control group within bounds, and tells how many there were.

use gumdrop::Options;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::time::Instant;
use stileroute_model_check::queue::{prove_queue, search_queue_by_hand, QueueArgs};
use stileroute_model_check::{
    explore, find, replay, Bounds, Counterexample, Drift, ExpectedViolation, FaultDurations, FaultKinds,
    Granularity, Planted, RandomWaits, Statistics, EXCESSIVE_DRIFT, PLAN, PLANTED_FAULTS,
};

/// Searches all orders of events of the control group within bounds.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this")]
    help: bool,
    #[options(help = "threads, 0 for as many as there are cores", default = "0", meta = "N")]
    threads: usize,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "goes through the bounds of CI, and finds each planted fault")]
    Prove(Prove),
    #[options(help = "goes through bounds of your own")]
    Search(Search),
    #[options(help = "the same for the queue: its bounds of CI and planted faults, or bounds of your own")]
    Queue(QueueArgs),
}

#[derive(Debug, Options)]
struct Prove {
    #[options(help = "prints this")]
    help: bool,
    #[options(help = "prints the way to each planted fault")]
    ways: bool,
}

// Each flag of the command line is a field.
#[allow(clippy::struct_excessive_bools)]
#[derive(Debug, Options)]
struct Search {
    #[options(help = "prints this")]
    help: bool,
    #[options(help = "control nodes, 3 or 5", default = "3", meta = "N")]
    nodes: usize,
    #[options(no_short, help = "control nodes that may come later", default = "0", meta = "N")]
    spares: usize,
    #[options(help = "most troubles, up to 3", default = "1", meta = "N")]
    troubles: u8,
    #[options(help = "most delays, up to 3", default = "0", meta = "N")]
    delays: u8,
    #[options(no_short, help = "choices at every step, not only where more than a heartbeat happened")]
    fine: bool,
    #[options(no_short, help = "one span of each trouble, not all")]
    one_span: bool,
    #[options(no_short, help = "only troubles that come with growth")]
    growth: bool,
    #[options(no_short, help = "also a fleet in two halves, and all power lost with one disk")]
    fleet_wide: bool,
    #[options(no_short, help = "troubles last 20 s")]
    long: bool,
    #[options(
        help = "random waits: rising (as without it), falling, alike or soonest",
        meta = "WORD",
        parse(try_from_str = "chance")
    )]
    chance: Option<RandomWaits>,
    #[options(
        no_short,
        help = "clocks: alike (as without it), first-slow, first-fast or too-far",
        meta = "WORD",
        parse(try_from_str = "drift")
    )]
    drift: Option<Drift>,
    #[options(help = "operators' calls: 0, 1 or 2", default = "0", meta = "N")]
    script: usize,
    #[options(help = "a fault to find, by its name", meta = "NAME", parse(try_from_str = "planted"))]
    planted: Option<Planted>,
}

fn chance(word: &str) -> Result<RandomWaits, String> {
    match word {
        "rising" => Ok(RandomWaits::Rising),
        "falling" => Ok(RandomWaits::Falling),
        "alike" => Ok(RandomWaits::Alike),
        "soonest" => Ok(RandomWaits::Soonest),
        _ => Err("rising, falling, alike or soonest".to_string()),
    }
}
fn drift(word: &str) -> Result<Drift, String> {
    match word {
        "alike" => Ok(Drift::None),
        "first-slow" => Ok(Drift::FirstSlow),
        "first-fast" => Ok(Drift::FirstFast),
        "too-far" => Ok(Drift::TooFar),
        _ => Err("alike, first-slow, first-fast or too-far".to_string()),
    }
}
fn planted(word: &str) -> Result<Planted, String> {
    let named = Planted::ALL.into_iter().find(|p| format!("{p:?}") == word);
    named.ok_or_else(|| format!("one of {:?}", Planted::ALL))
}

fn summary_line(bounds: &Bounds, sum: &Statistics, since: Instant) -> String {
    let Bounds {
        nodes,
        spare_nodes,
        max_faults,
        max_delays,
        granularity,
        fault_durations,
        fault_kinds,
        random_waits,
        drift,
        script,
        ..
    } = bounds;
    let Statistics {
        states,
        distinct,
        pruned,
        transitions,
        paths,
        deepest,
        longest_recovery_ms,
        finished_parts,
        parts,
        ..
    } = sum;
    format!(
        "nodes={nodes} spares={spare_nodes} troubles={max_faults} delays={max_delays} grain={granularity:?} spans={fault_durations:?} kinds={fault_kinds:?} chance={random_waits:?} drift={drift:?} script={script} \
         states={states} distinct={distinct} pruned={pruned} transitions={transitions} ways={paths} deepest={deepest} \
         waited_ms={longest_recovery_ms} parts={}/{} seconds={:.1}",
        finished_parts,
        parts,
        since.elapsed().as_secs_f64(),
    )
}

fn print_counterexample(found: &Counterexample) {
    println!("BREACH: {}: {}", found.violation.property.sentence(), found.violation.evidence);
    for (number, line) in replay(found).iter().enumerate() {
        println!("{:4}  {line}", number + 1);
    }
}

fn run_search(arguments: &Search, threads: usize, stop: &AtomicBool) -> bool {
    let bounds = Bounds {
        nodes: arguments.nodes,
        spare_nodes: arguments.spares,
        tolerated_losses: (arguments.nodes - 1) / 2,
        max_faults: arguments.troubles,
        max_delays: arguments.delays,
        granularity: if arguments.fine { Granularity::Fine } else { Granularity::Coarse },
        fault_durations: match (arguments.one_span, arguments.long) {
            (_, true) => FaultDurations::Long,
            (true, false) => FaultDurations::One,
            (false, false) => FaultDurations::All,
        },
        fault_kinds: match (arguments.growth, arguments.fleet_wide) {
            (true, _) => FaultKinds::Growth,
            (false, true) => FaultKinds::FleetWide,
            (false, false) => FaultKinds::All,
        },
        random_waits: arguments.chance.unwrap_or(RandomWaits::Rising),
        drift: arguments.drift.unwrap_or(Drift::None),
        script: arguments.script,
        planted: arguments.planted,
    };
    let since = Instant::now();
    let sum = if arguments.planted.is_some() {
        find(bounds, threads, stop)
    } else {
        explore(bounds, threads, stop)
    };
    println!("{}", summary_line(&bounds, &sum, since));
    sum.found.iter().for_each(print_counterexample);
    sum.found.is_none()
}

fn prove(ways: bool, threads: usize, stop: &AtomicBool) -> bool {
    let since = Instant::now();
    let mut all = Statistics::default();
    for bounds in &PLAN {
        let since = Instant::now();
        let sum = explore(*bounds, threads, stop);
        println!("{}", summary_line(bounds, &sum, since));
        if let Some(found) = &sum.found {
            print_counterexample(found);
            println!("NOT PROVED: {}", found.violation.property.sentence());
            return false;
        }
        all.add(sum);
    }
    for ExpectedViolation { property, bounds } in PLANTED_FAULTS {
        let planted = bounds.planted.map_or(String::new(), |planted| format!("{planted:?}"));
        let sum = find(bounds, threads, stop);
        let Some(found) = sum.found.as_ref().filter(|f| f.violation.property == property) else {
            println!("NOT PROVED: {planted} was not found by: {}", property.sentence());
            sum.found.iter().for_each(print_counterexample);
            return false;
        };
        let choices: Vec<String> = found.path.iter().map(|(_, choice)| format!("{choice:?}")).collect();
        println!(
            "found {planted} by {property:?} after states={} choices={}: {}",
            sum.states,
            choices.len(),
            choices.join(", ")
        );
        if ways {
            print_counterexample(found);
        }
    }
    let ExpectedViolation { property, bounds } = EXCESSIVE_DRIFT;
    let sum = find(bounds, threads, stop);
    if sum.found.as_ref().is_none_or(|found| found.violation.property != property) {
        println!("NOT PROVED: clocks that drift too far were not found by: {}", property.sentence());
        return false;
    }
    println!("found clocks that drift too far by {property:?} after states={}", sum.states);
    println!(
        "PROVED: states={} distinct={} transitions={} ways={} waited_ms={} faults_found={} seconds={:.1}",
        all.states,
        all.distinct,
        all.transitions,
        all.paths,
        all.longest_recovery_ms,
        PLANTED_FAULTS.len(),
        since.elapsed().as_secs_f64(),
    );
    true
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let threads = if arguments.threads == 0 { cores } else { arguments.threads };
    let stop = AtomicBool::new(false);
    let is_proved = match &arguments.command {
        Some(Command::Search(search))
            if search.troubles > 3
                || search.delays > 3
                || ![3, 5].contains(&search.nodes)
                || search.spares > 2
                || search.script > 2 =>
        {
            eprintln!(
                "stileroute-model-check: three or five nodes, up to three troubles and delays, scripts 0 to 2"
            );
            return ExitCode::from(2);
        }
        Some(Command::Search(arguments)) => run_search(arguments, threads, &stop),
        Some(Command::Queue(arguments)) => match arguments.bounds() {
            Some(bounds) => search_queue_by_hand(bounds, threads, &stop),
            None => prove_queue(arguments.ways(), threads, &stop),
        },
        Some(Command::Prove(arguments)) => prove(arguments.ways, threads, &stop),
        None => prove(false, threads, &stop),
    };
    if is_proved {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
