//! Plays every course of no more than so many choices, each from its start, on as many threads as there are; the counts are the
//! same on any.

use super::choices::QueueChoice;
use super::fleet::{Fleet, QueueBounds};
use super::invariants::QueueBreach;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;

/// After so many steps from the start, what is taken.
type Course = Vec<(u32, QueueChoice)>;

/// A breach, and the way to it.
#[derive(Clone, Debug)]
pub struct QueueFound {
    /// The property that does not hold.
    pub breach: QueueBreach,
    /// The choices that lead to it, each with the number of steps before it.
    pub course: Course,
    /// The bounds of the search.
    pub bounds: QueueBounds,
}

/// What a search has gone through.
#[derive(Clone, Debug, Default)]
pub struct QueueCounts {
    /// States looked at: the steps of all ways.
    pub states: u64,
    /// Courses that were played to their end.
    pub ways: u64,
    /// Most steps in one.
    pub deepest: u32,
    /// The first breach.
    pub found: Option<QueueFound>,
    /// All was seen: the search was not told to end before.
    pub whole: bool,
}

impl QueueCounts {
    /// Adds the counts of another search.
    pub fn add(&mut self, other: QueueCounts) {
        self.states += other.states;
        self.ways += other.ways;
        self.deepest = self.deepest.max(other.deepest);
        self.whole &= other.whole;
        if self.found.is_none() {
            self.found = other.found;
        }
    }
}

/// Plays a course, and names the choices that could come after its last.
fn play(bounds: QueueBounds, course: &Course, counts: &mut QueueCounts) -> Course {
    let spent = |trouble: bool| course.iter().filter(|(_, choice)| choice.is_fault() == trouble).count();
    let troubles = spent(true) < usize::from(bounds.troubles);
    let delays = spent(false) < usize::from(bounds.delays);
    let mut fleet = Fleet::new(bounds);
    let mut choices = course.iter().peekable();
    let (mut steps, mut next) = (0, Vec::new());
    while !fleet.is_over && fleet.breach.is_none() {
        if let Some((_, choice)) = choices.next_if(|(at, _)| *at == steps) {
            fleet.strike(*choice);
        } else if choices.peek().is_none() && fleet.may_choose() {
            next.extend(fleet.choices(troubles, delays).into_iter().map(|choice| (steps, choice)));
        }
        fleet.step();
        steps += 1;
    }
    counts.states += u64::from(steps);
    counts.ways += 1;
    counts.deepest = counts.deepest.max(steps);
    if let Some(breach) = fleet.breach.take() {
        counts.found.get_or_insert(QueueFound { breach, course: course.clone(), bounds });
    }
    next
}

fn beyond(bounds: QueueBounds, course: &mut Course, counts: &mut QueueCounts, stop: &AtomicBool) {
    let next = play(bounds, course, counts);
    for choice in next {
        if counts.found.is_some() || stop.load(Ordering::Relaxed) {
            return;
        }
        course.push(choice);
        beyond(bounds, course, counts, stop);
        course.pop();
    }
}

/// Every course within these bounds. Ends at the first breach, or when it is told to.
pub fn search_queue(bounds: QueueBounds, threads: usize, stop: &AtomicBool) -> QueueCounts {
    let mut sum = QueueCounts { whole: true, ..QueueCounts::default() };
    let firsts = play(bounds, &Vec::new(), &mut sum);
    if sum.found.is_some() {
        return sum;
    }
    let results: Vec<Mutex<Option<QueueCounts>>> = firsts.iter().map(|_| Mutex::new(None)).collect();
    let (next, broken) = (AtomicUsize::new(0), AtomicUsize::new(usize::MAX));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let part = next.fetch_add(1, Ordering::Relaxed);
                // What comes after the first part with a breach does not count.
                if part >= firsts.len() || part > broken.load(Ordering::Relaxed) {
                    return;
                }
                let mut counts = QueueCounts::default();
                beyond(bounds, &mut vec![firsts[part]], &mut counts, stop);
                if counts.found.is_some() {
                    broken.fetch_min(part, Ordering::Relaxed);
                }
                counts.whole = !stop.load(Ordering::Relaxed);
                if let Ok(mut result) = results[part].lock() {
                    *result = Some(counts);
                }
            });
        }
    });
    for result in results {
        if let (Ok(Some(part)), None) = (result.into_inner(), &sum.found) {
            sum.add(part);
        }
    }
    sum
}

/// The first breach with as few choices as it takes, up to the bounds.
pub fn find_in_queue(bounds: QueueBounds, threads: usize, stop: &AtomicBool) -> QueueCounts {
    let mut all = QueueCounts { whole: true, ..QueueCounts::default() };
    for choices in 0..=bounds.troubles + bounds.delays {
        for troubles in (0..=bounds.troubles.min(choices)).rev().filter(|t| choices - t <= bounds.delays) {
            all.add(search_queue(
                QueueBounds { troubles, delays: choices - troubles, ..bounds },
                threads,
                stop,
            ));
            if all.found.is_some() {
                return all;
            }
        }
    }
    all
}

/// Plays one course again and gives what happens, a line each.
pub fn retrace_queue(found: &QueueFound) -> Vec<String> {
    let mut fleet = Fleet::new(found.bounds);
    fleet.trace = Some(Vec::new());
    let mut choices = found.course.iter().peekable();
    let mut steps = 0;
    while !fleet.is_over && fleet.breach.is_none() {
        if let Some((_, choice)) = choices.next_if(|(at, _)| *at == steps) {
            fleet.strike(*choice);
        }
        fleet.step();
        steps += 1;
    }
    let now = fleet.now;
    let mut lines = fleet.trace.take().unwrap_or_default();
    if let Some(QueueBreach { property, evidence }) = &fleet.breach {
        lines.push(format!("{now:6} ms  BREACH: {}: {evidence}", property.sentence()));
    }
    lines
}
