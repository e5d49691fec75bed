//! Depth first over all choices, with what was seen left out, on as many threads as there are; the counts are the same on any.

use crate::choices::Choice;
use crate::invariants::Breach;
use crate::simulation::{Bounds, World};
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;

/// After so many steps from the start, what is taken.
pub type Course = Vec<(u32, Choice)>;

/// Into so many parts the first choices are shared out. Each part has its own memory of what was seen, so that the counts
/// don't depend on which thread is faster.
const PARTS: usize = 64;
/// A way that is longer than that goes round and round.
const LONGEST: u32 = 60_000;

/// A breach, and the way to it.
#[derive(Clone, Debug)]
pub struct Found {
    pub breach: Breach,
    pub course: Course,
    pub bounds: Bounds,
}

#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// States looked at, those among them that were new, and those that had been seen with as much still to come.
    pub states: u64,
    pub distinct: u64,
    pub pruned: u64,
    /// Steps and choices gone.
    pub transitions: u64,
    /// Ways that went through to the calm.
    pub ways: u64,
    /// Most steps in one.
    pub deepest: u32,
    /// The longest that a write waited after all was healed, in simulated milliseconds.
    pub waited: u64,
    pub found: Option<Found>,
    /// It ended before all was seen: this many parts of so many are whole.
    pub whole: (usize, usize),
}

impl Statistics {
    pub fn add(&mut self, other: Statistics) {
        self.states += other.states;
        self.distinct += other.distinct;
        self.pruned += other.pruned;
        self.transitions += other.transitions;
        self.ways += other.ways;
        self.deepest = self.deepest.max(other.deepest);
        self.waited = self.waited.max(other.waited);
        self.whole = (self.whole.0 + other.whole.0, self.whole.1 + other.whole.1);
        if self.found.is_none() {
            self.found = other.found;
        }
    }
}

/// A state, and what may be taken there.
type Fork = (u32, World, Vec<Choice>);

/// A digest is mixed already.
#[derive(Default)]
struct AsItIs(u64);
impl Hasher for AsItIs {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {}
    fn write_u64(&mut self, v: u64) {
        self.0 = v;
    }
}

/// By what may still be taken: troubles and delays, up to three each. How long choices could be taken from there, in units
/// of 10 ms; nought: not seen.
type Left = [u16; 16];
type Seen = HashMap<u64, Left, BuildHasherDefault<AsItIs>>;

#[derive(Clone, Copy)]
struct Budget {
    troubles: u8,
    delays: u8,
}

impl Budget {
    fn spend(self, choice: Choice) -> Budget {
        if choice.trouble() {
            Budget { troubles: self.troubles - 1, ..self }
        } else {
            Budget { delays: self.delays - 1, ..self }
        }
    }
    fn none(self) -> bool {
        self.troubles == 0 && self.delays == 0
    }
}

struct Search<'a> {
    base: &'a Seen,
    seen: Seen,
    course: Course,
    sum: Statistics,
    stop: &'a AtomicBool,
}

impl Search<'_> {
    /// True where it was seen with as much still to come.
    fn known(&mut self, world: &World, budget: Budget) -> bool {
        self.sum.states += 1;
        let left = if budget.none() { 1 } else { (world.left() / 10 + 1) as u16 };
        let digest = world.digest();
        let covers = |seen: &Left| {
            (usize::from(budget.troubles)..4)
                .any(|t| (usize::from(budget.delays)..4).any(|d| seen[t * 4 + d] >= left))
        };
        if self.base.get(&digest).is_some_and(covers) {
            self.sum.pruned += 1;
            return true;
        }
        let entry = self.seen.entry(digest).or_insert([0; 16]);
        if covers(entry) {
            self.sum.pruned += 1;
            return true;
        }
        self.sum.distinct += u64::from(*entry == [0; 16]);
        entry[usize::from(budget.troubles) * 4 + usize::from(budget.delays)] = left;
        false
    }

    /// Goes on by itself to the end, and collects where choices can be taken.
    fn along(&mut self, mut world: World, mut steps: u32, budget: Budget) -> Vec<Fork> {
        let mut choices = Vec::new();
        loop {
            if world.invariants.breach.is_some() || world.over {
                break;
            }
            let open = !budget.none() && world.left() > 0;
            if !open {
                world.begin_calm();
            }
            if self.known(&world, budget) {
                break;
            }
            if open {
                let here = world.choices(budget.troubles > 0, budget.delays > 0);
                if !here.is_empty() {
                    choices.push((steps, world.clone(), here));
                }
            }
            world.step();
            steps += 1;
            self.sum.transitions += 1;
            self.sum.deepest = self.sum.deepest.max(steps);
            if steps > LONGEST {
                break;
            }
        }
        if world.over {
            self.sum.ways += 1;
            self.sum.waited = self.sum.waited.max(world.waited);
        }
        if let Some(breach) = world.invariants.breach.take() {
            self.found(&world, breach);
        }
        choices
    }
    fn found(&mut self, world: &World, breach: Breach) {
        if self.sum.found.is_none() {
            self.sum.found = Some(Found { breach, course: self.course.clone(), bounds: world.bounds });
        }
    }

    fn search(&mut self, world: World, steps: u32, budget: Budget) {
        for (steps, world, choices) in self.along(world, steps, budget) {
            for choice in choices {
                if self.sum.found.is_some() || self.stop.load(Ordering::Relaxed) {
                    return;
                }
                self.choice(&world, steps, choice, budget);
            }
        }
    }
    fn choice(&mut self, world: &World, steps: u32, choice: Choice, budget: Budget) {
        let mut world = world.clone();
        world.take(choice);
        self.sum.transitions += 1;
        self.course.push((steps, choice));
        self.search(world, steps, budget.spend(choice));
        self.course.pop();
    }
}

/// Every way within these bounds. Ends at the first breach of a part, or when it is told to.
pub fn explore(bounds: Bounds, threads: usize, stop: &AtomicBool) -> Statistics {
    let budget = Budget { troubles: bounds.troubles, delays: bounds.delays };
    let empty = Seen::default();
    let new =
        |base| Search { base, seen: Seen::default(), course: Vec::new(), sum: Statistics::default(), stop };
    let mut trunk = new(&empty);
    let forks = trunk.along(World::new(bounds), 0, budget);
    let (base, mut sum) = (trunk.seen, trunk.sum);
    let mut firsts: Vec<(&World, u32, Choice)> = forks
        .iter()
        .flat_map(|(steps, world, choices)| choices.iter().map(move |choice| (world, *steps, *choice)))
        .collect();
    if sum.found.is_some() || firsts.is_empty() {
        sum.whole = (1, 1);
        return sum;
    }
    // One choice at one step and the next comes to much the same: these stay together.
    firsts.sort_by_key(|(_, steps, choice)| (choice.kin(), *steps));
    let size = firsts.len().div_ceil(PARTS);
    let parts: Vec<&[(&World, u32, Choice)]> = firsts.chunks(size).collect();
    let results: Vec<Mutex<Option<Statistics>>> = parts.iter().map(|_| Mutex::new(None)).collect();
    let (next, broken) = (AtomicUsize::new(0), AtomicUsize::new(usize::MAX));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let part = next.fetch_add(1, Ordering::Relaxed);
                // What comes after the first part with a breach does not count.
                if part >= parts.len() || part > broken.load(Ordering::Relaxed) {
                    return;
                }
                let mut search = new(&base);
                for (world, steps, choice) in parts[part] {
                    if search.sum.found.is_some() || stop.load(Ordering::Relaxed) {
                        break;
                    }
                    search.choice(world, *steps, *choice, budget);
                }
                if search.sum.found.is_some() {
                    broken.fetch_min(part, Ordering::Relaxed);
                }
                search.sum.whole = (usize::from(!stop.load(Ordering::Relaxed)), 1);
                if let Ok(mut result) = results[part].lock() {
                    *result = Some(search.sum);
                }
            });
        }
    });
    sum.whole = (0, parts.len() - results.len().min(parts.len()));
    for result in results {
        match result.into_inner() {
            Ok(Some(part)) if sum.found.is_none() => sum.add(part),
            _ => sum.whole.1 += usize::from(sum.found.is_none()),
        }
    }
    sum
}

/// The first breach with as few choices as it takes, up to the bounds: no choice of it can be left out.
pub fn find(bounds: Bounds, threads: usize, stop: &AtomicBool) -> Statistics {
    let mut all = Statistics::default();
    for choices in 0..=bounds.troubles + bounds.delays {
        for troubles in (0..=bounds.troubles.min(choices)).rev().filter(|t| choices - t <= bounds.delays) {
            all.add(explore(Bounds { troubles, delays: choices - troubles, ..bounds }, threads, stop));
            if all.found.is_some() {
                return all;
            }
        }
    }
    all
}

/// Goes one course again and tells what happens, a line each.
pub fn retrace(found: &Found) -> Vec<String> {
    let Found { course, bounds, .. } = found;
    let mut world = World::new(*bounds);
    world.trace = Some(Vec::new());
    let mut choices = course.iter().peekable();
    let mut budget = Budget { troubles: bounds.troubles, delays: bounds.delays };
    for steps in 0..LONGEST {
        while let Some((_, choice)) = choices.next_if(|(at, _)| *at == steps) {
            world.take(*choice);
            budget = budget.spend(*choice);
        }
        if budget.none() || world.left() == 0 {
            world.begin_calm();
        }
        if world.invariants.breach.is_some() || world.over {
            break;
        }
        world.step();
    }
    let mut lines = world.trace.take().unwrap_or_default();
    if let Some(breach) = &world.invariants.breach {
        lines.push(format!(
            "{:5} ms  BREACH: {}: {}",
            world.now,
            breach.property.sentence(),
            breach.evidence
        ));
    }
    lines
}
