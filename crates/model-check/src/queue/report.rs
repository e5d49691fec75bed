//! The subcommand `queue`: what was searched, with its counts, and the way to a breach.

use super::fleet::{QueueBounds, QueueScript};
use super::plan::{QUEUE_FAULTS, QUEUE_PLAN};
use super::search::{find_in_queue, retrace_queue, search_queue, QueueCounts, QueueFound};
use gumdrop::Options;
use std::sync::atomic::AtomicBool;
use std::time::Instant;
use stileroute_queue::PlantedFault;

// The arguments of the subcommand `queue`. No documentation comment: `--help` would print it.
#[derive(Debug, Options)]
#[allow(missing_docs, clippy::struct_excessive_bools)] // Each flag of the command line is a bool.
pub struct QueueArgs {
    #[options(help = "prints this")]
    help: bool,
    #[options(help = "prints the way to each planted fault")]
    ways: bool,
    #[options(no_short, help = "bounds of your own instead of those of CI")]
    by_hand: bool,
    #[options(help = "stores, 2 or 3", default = "3", meta = "N")]
    stores: usize,
    #[options(help = "most troubles", default = "1", meta = "N")]
    troubles: u8,
    #[options(help = "most late words", default = "0", meta = "N")]
    delays: u8,
    #[options(help = "the first store is emptied")]
    emptying: bool,
    #[options(help = "tries with one idempotency key, around the loss of a disk")]
    keys: bool,
    #[options(no_short, help = "one span of each trouble, not all")]
    one_span: bool,
    #[options(no_short, help = "also cuts into halves, and a lost disk while all others lose power")]
    fleet_wide: bool,
    #[options(help = "choices at one step in so many", default = "1", meta = "N")]
    every: u32,
    #[options(help = "a fault to find, by its name", meta = "NAME", parse(try_from_str = "planted"))]
    planted: Option<PlantedFault>,
}

impl QueueArgs {
    /// The way to each planted fault is to be printed.
    pub fn ways(&self) -> bool {
        self.ways
    }

    /// The bounds that the arguments give, if `--by-hand` was given.
    pub fn bounds(&self) -> Option<QueueBounds> {
        let script = match (self.keys, self.emptying) {
            (true, _) => QueueScript::Keys,
            (false, true) => QueueScript::Emptying,
            (false, false) => QueueScript::Taking,
        };
        self.by_hand.then_some(QueueBounds {
            stores: self.stores.clamp(2, 3),
            script,
            troubles: self.troubles,
            delays: self.delays,
            one_span: self.one_span,
            fleet_wide: self.fleet_wide,
            every: self.every.max(1),
            planted: self.planted,
        })
    }
}

fn planted(word: &str) -> Result<PlantedFault, String> {
    let named = PlantedFault::ALL.into_iter().find(|fault| format!("{fault:?}") == word);
    named.ok_or_else(|| format!("one of {:?}", PlantedFault::ALL))
}

fn line(bounds: &QueueBounds, counts: &QueueCounts, since: Instant) -> String {
    let QueueBounds { stores, script, troubles, delays, one_span, fleet_wide, every, planted: _ } = bounds;
    let QueueCounts { states, ways, deepest, whole, .. } = counts;
    let seconds = since.elapsed().as_secs_f64();
    format!(
        "queue stores={stores} script={script:?} troubles={troubles} delays={delays} one_span={one_span} fleet_wide={fleet_wide} every={every} \
         states={states} ways={ways} deepest={deepest} whole={whole} seconds={seconds:.1}",
    )
}

fn show(found: &QueueFound) {
    println!("BREACH: {}: {}", found.breach.property.sentence(), found.breach.evidence);
    for (number, line) in retrace_queue(found).iter().enumerate() {
        println!("{:4}  {line}", number + 1);
    }
}

/// Searches within these bounds and prints the result. True where no property is broken.
pub fn search_queue_by_hand(bounds: QueueBounds, threads: usize, stop: &AtomicBool) -> bool {
    let since = Instant::now();
    let search = if bounds.planted.is_some() { find_in_queue } else { search_queue };
    let counts = search(bounds, threads, stop);
    println!("{}", line(&bounds, &counts, since));
    counts.found.iter().for_each(show);
    counts.found.is_none()
}

/// Searches the bounds of CI, and for each planted fault that shows within some. True where all is as it should be.
pub fn prove_queue(ways: bool, threads: usize, stop: &AtomicBool) -> bool {
    let since = Instant::now();
    let mut all = QueueCounts { whole: true, ..QueueCounts::default() };
    for bounds in &QUEUE_PLAN {
        let since = Instant::now();
        let counts = search_queue(*bounds, threads, stop);
        println!("{}", line(bounds, &counts, since));
        if let Some(found) = &counts.found {
            show(found);
            println!("NOT PROVED: {}", found.breach.property.sentence());
            return false;
        }
        all.add(counts);
    }
    for (fault, property, bounds) in QUEUE_FAULTS {
        let counts = find_in_queue(QueueBounds { planted: Some(fault), ..bounds }, threads, stop);
        let Some(found) = counts.found.as_ref().filter(|found| found.breach.property == property) else {
            println!("NOT PROVED: {fault:?} was not found by: {}", property.sentence());
            counts.found.iter().for_each(show);
            return false;
        };
        let choices: Vec<String> = found.course.iter().map(|(_, choice)| format!("{choice:?}")).collect();
        println!(
            "found {fault:?} by {property:?} after states={} choices: {}",
            counts.states,
            choices.join(", ")
        );
        if ways {
            show(found);
        }
    }
    println!(
        "PROVED: queue states={} ways={} faults_found={} seconds={:.1}",
        all.states,
        all.ways,
        QUEUE_FAULTS.len(),
        since.elapsed().as_secs_f64(),
    );
    true
}
