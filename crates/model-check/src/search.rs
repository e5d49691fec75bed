//! The search: depth first over all choices, without states that were visited, on several threads. The counts do not depend on
//! how many.

use crate::budget::Budget;
use crate::choices::Choice;
use crate::invariants::Violation;
use crate::simulation::{Bounds, Simulation};
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;

/// The choices of a path: after how many steps from the start, and which.
pub type ChoicePath = Vec<(u32, Choice)>;

/// Into how many parts the first choices are divided. Each part has its own memory of visited states, so that the counts do
/// not depend on which thread is faster.
const PARTS: usize = 64;
/// A longer path goes round in circles.
const MAX_STEPS: u32 = 60_000;

/// A violation, and the path to it.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// What was violated, and how.
    pub violation: Violation,
    /// The choices that lead to it.
    pub path: ChoicePath,
    /// The bounds of the search that found it.
    pub bounds: Bounds,
}

/// What a search went through, and what it found.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// States that were looked at.
    pub states: u64,
    /// Those among them that were new.
    pub distinct: u64,
    /// Those that had been visited with as many choices and as much time left.
    pub pruned: u64,
    /// Steps and choices taken.
    pub transitions: u64,
    /// Paths that went through to the end.
    pub paths: u64,
    /// The most steps of one path.
    pub deepest: u32,
    /// The longest that the last write waited to be accepted, in simulated milliseconds.
    pub longest_recovery_ms: u64,
    /// The first violation.
    pub found: Option<Counterexample>,
    /// Parts of the search that were finished.
    pub finished_parts: usize,
    /// Parts of the search in all; more than were finished if it was told to stop.
    pub parts: usize,
}

impl Statistics {
    /// Adds those of another search.
    pub fn add(&mut self, other: Statistics) {
        self.states += other.states;
        self.distinct += other.distinct;
        self.pruned += other.pruned;
        self.transitions += other.transitions;
        self.paths += other.paths;
        self.deepest = self.deepest.max(other.deepest);
        self.longest_recovery_ms = self.longest_recovery_ms.max(other.longest_recovery_ms);
        self.finished_parts += other.finished_parts;
        self.parts += other.parts;
        if self.found.is_none() {
            self.found = other.found;
        }
    }
}

/// A state, and the choices that may be taken there.
struct Fork {
    steps: u32,
    simulation: Simulation,
    choices: Vec<Choice>,
}

/// A digest is mixed already: it is its own hash.
#[derive(Default)]
struct IdentityHasher(u64);
impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {}
    fn write_u64(&mut self, v: u64) {
        self.0 = v;
    }
}

/// How long choices could still be taken when a state was visited, in units of 10 ms, by the budget that was left: faults and
/// delays, up to three each. 0: it was not visited with this budget.
type TimeLeft = [u16; 16];
type Visited = HashMap<u64, TimeLeft, BuildHasherDefault<IdentityHasher>>;

struct Search<'a> {
    /// What was visited before the first choice.
    base: &'a Visited,
    visited: Visited,
    path: ChoicePath,
    statistics: Statistics,
    stop: &'a AtomicBool,
}

impl<'a> Search<'a> {
    fn new(base: &'a Visited, stop: &'a AtomicBool) -> Search<'a> {
        let (visited, statistics) = (Visited::default(), Statistics::default());
        Search { base, visited, path: Vec::new(), statistics, stop }
    }

    /// A violation was found, or the search was told to stop.
    fn is_over(&self) -> bool {
        self.statistics.found.is_some() || self.stop.load(Ordering::Relaxed)
    }

    /// Notes a visit. Returns whether the state was visited before with as many choices and as much time left.
    fn was_visited(&mut self, simulation: &Simulation, budget: Budget) -> bool {
        self.statistics.states += 1;
        let left = if budget.is_spent() { 1 } else { (simulation.choice_time_left() / 10 + 1) as u16 };
        let digest = simulation.digest();
        let covers = |time_left: &TimeLeft| {
            (usize::from(budget.faults)..4).any(|faults| {
                (usize::from(budget.delays)..4).any(|delays| time_left[faults * 4 + delays] >= left)
            })
        };
        if self.base.get(&digest).is_some_and(covers) {
            self.statistics.pruned += 1;
            return true;
        }
        let entry = self.visited.entry(digest).or_insert([0; 16]);
        if covers(entry) {
            self.statistics.pruned += 1;
            return true;
        }
        self.statistics.distinct += u64::from(*entry == [0; 16]);
        entry[usize::from(budget.faults) * 4 + usize::from(budget.delays)] = left;
        false
    }

    /// Follows a path to its end without choices, and collects where choices can be taken.
    fn follow(&mut self, mut simulation: Simulation, mut steps: u32, budget: Budget) -> Vec<Fork> {
        let mut forks = Vec::new();
        loop {
            if simulation.invariants.violation.is_some() || simulation.is_over {
                break;
            }
            let may_choose = !budget.is_spent() && simulation.choice_time_left() > 0;
            if !may_choose {
                simulation.begin_recovery();
            }
            if self.was_visited(&simulation, budget) {
                break;
            }
            if may_choose {
                let choices = simulation.choices(budget);
                if !choices.is_empty() {
                    forks.push(Fork { steps, simulation: simulation.clone(), choices });
                }
            }
            simulation.step();
            steps += 1;
            self.statistics.transitions += 1;
            self.statistics.deepest = self.statistics.deepest.max(steps);
            if steps > MAX_STEPS {
                break;
            }
        }
        if simulation.is_over {
            self.statistics.paths += 1;
            self.statistics.longest_recovery_ms =
                self.statistics.longest_recovery_ms.max(simulation.recovery_ms);
        }
        if let Some(violation) = simulation.invariants.violation.take() {
            self.found(&simulation, violation);
        }
        forks
    }
    fn found(&mut self, simulation: &Simulation, violation: Violation) {
        if self.statistics.found.is_none() {
            self.statistics.found =
                Some(Counterexample { violation, path: self.path.clone(), bounds: simulation.bounds });
        }
    }

    fn search(&mut self, simulation: Simulation, steps: u32, budget: Budget) {
        for Fork { steps, simulation, choices } in self.follow(simulation, steps, budget) {
            for choice in choices {
                if self.is_over() {
                    return;
                }
                self.take(&simulation, steps, choice, budget);
            }
        }
    }
    fn take(&mut self, simulation: &Simulation, steps: u32, choice: Choice, budget: Budget) {
        let mut simulation = simulation.clone();
        simulation.take(choice);
        self.statistics.transitions += 1;
        self.path.push((steps, choice));
        self.search(simulation, steps, budget.spend(choice));
        self.path.pop();
    }
}

/// A first choice, and the state where it is taken.
struct Branch<'a> {
    simulation: &'a Simulation,
    steps: u32,
    choice: Choice,
}

/// Goes through every path within these bounds. A part ends at its first violation, and all of them when told to `stop`.
pub fn explore(bounds: Bounds, threads: usize, stop: &AtomicBool) -> Statistics {
    let budget = Budget { faults: bounds.max_faults, delays: bounds.max_delays };
    let empty = Visited::default();
    let mut trunk = Search::new(&empty, stop);
    let forks = trunk.follow(Simulation::new(bounds), 0, budget);
    let Search { visited: base, mut statistics, .. } = trunk;
    let branches = branches(&forks);
    if statistics.found.is_some() || branches.is_empty() {
        statistics.finished_parts = 1;
        statistics.parts = 1;
        return statistics;
    }
    let parts: Vec<&[Branch]> = branches.chunks(branches.len().div_ceil(PARTS)).collect();
    for part in search_parts(&parts, &base, budget, threads, stop) {
        match part {
            Some(part) if statistics.found.is_none() => statistics.add(part),
            _ => statistics.parts += usize::from(statistics.found.is_none()),
        }
    }
    statistics
}

/// All first choices. The same choice at one step and at the next comes to much the same: these stay together.
fn branches(forks: &[Fork]) -> Vec<Branch<'_>> {
    let mut branches = Vec::new();
    for Fork { steps, simulation, choices } in forks {
        branches.extend(choices.iter().map(|choice| Branch { simulation, steps: *steps, choice: *choice }));
    }
    branches.sort_by_key(|branch| (branch.choice.similarity_key(), branch.steps));
    branches
}

/// Searches the parts on several threads. None: a part was left out, for one before it has a violation.
fn search_parts(
    parts: &[&[Branch]],
    base: &Visited,
    budget: Budget,
    threads: usize,
    stop: &AtomicBool,
) -> Vec<Option<Statistics>> {
    let results: Vec<Mutex<Option<Statistics>>> = parts.iter().map(|_| Mutex::new(None)).collect();
    let (next, first_violated) = (AtomicUsize::new(0), AtomicUsize::new(usize::MAX));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let part = next.fetch_add(1, Ordering::Relaxed);
                // What comes after the first part with a violation does not count.
                if part >= parts.len() || part > first_violated.load(Ordering::Relaxed) {
                    return;
                }
                let statistics = search_part(parts[part], base, budget, stop);
                if statistics.found.is_some() {
                    first_violated.fetch_min(part, Ordering::Relaxed);
                }
                if let Ok(mut result) = results[part].lock() {
                    *result = Some(statistics);
                }
            });
        }
    });
    results.into_iter().map(|result| result.into_inner().unwrap_or_default()).collect()
}

fn search_part(part: &[Branch], base: &Visited, budget: Budget, stop: &AtomicBool) -> Statistics {
    let mut search = Search::new(base, stop);
    for Branch { simulation, steps, choice } in part {
        if search.is_over() {
            break;
        }
        search.take(simulation, *steps, *choice, budget);
    }
    let mut statistics = search.statistics;
    statistics.finished_parts = usize::from(!stop.load(Ordering::Relaxed));
    statistics.parts = 1;
    statistics
}

/// Finds a violation with as few choices as it takes, up to the bounds: no choice of it can be left out.
pub fn find(bounds: Bounds, threads: usize, stop: &AtomicBool) -> Statistics {
    let mut statistics = Statistics::default();
    for choices in 0..=bounds.max_faults + bounds.max_delays {
        let most_faults = bounds.max_faults.min(choices);
        let fits = |faults: &u8| choices - faults <= bounds.max_delays;
        for max_faults in (0..=most_faults).rev().filter(fits) {
            let max_delays = choices - max_faults;
            statistics.add(explore(Bounds { max_faults, max_delays, ..bounds }, threads, stop));
            if statistics.found.is_some() {
                return statistics;
            }
        }
    }
    statistics
}

/// Follows the path of a counterexample again, and returns what happens, a line each.
pub fn replay(found: &Counterexample) -> Vec<String> {
    let Counterexample { path, bounds, .. } = found;
    let mut simulation = Simulation::new(*bounds);
    simulation.trace = Some(Vec::new());
    let mut choices = path.iter().peekable();
    let mut budget = Budget { faults: bounds.max_faults, delays: bounds.max_delays };
    for steps in 0..MAX_STEPS {
        while let Some((_, choice)) = choices.next_if(|(at, _)| *at == steps) {
            simulation.take(*choice);
            budget = budget.spend(*choice);
        }
        if budget.is_spent() || simulation.choice_time_left() == 0 {
            simulation.begin_recovery();
        }
        if simulation.invariants.violation.is_some() || simulation.is_over {
            break;
        }
        simulation.step();
    }
    let mut lines = simulation.trace.take().unwrap_or_default();
    if let Some(violation) = &simulation.invariants.violation {
        lines.push(format!(
            "{:5} ms  BREACH: {}: {}",
            simulation.now,
            violation.property.sentence(),
            violation.evidence
        ));
    }
    lines
}
