//! Connections to executors: which are idle, and how many there may be.

use super::executors::{Link, Task};
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection with its thread, at rest.
pub struct Line {
    pub number: u64,
    pub executor: usize,
    pub link: Arc<Link>,
    pub tasks: Sender<Task>,
}

/// The idle ones by executor, the latest last; the others are only counted.
pub struct Lines {
    idle: HashMap<usize, Vec<(Instant, Line)>>,
    out: HashMap<u64, Line>,
    most: usize,
    half: bool,
    keep: Duration,
    next: u64,
}

/// Most idle connections to one executor: it holds only so many, and few pushes leave at once.
const IDLE: usize = 8;

impl Lines {
    pub fn new(most: usize, keep: Duration) -> Lines {
        Lines { idle: HashMap::new(), out: HashMap::new(), most, half: false, keep, next: 0 }
    }

    fn count(&self) -> usize {
        self.out.len() + self.idle.values().map(Vec::len).sum::<usize>()
    }

    /// The idle connection to this executor that was used last. It is the least likely to be closed there.
    pub fn reuse(&mut self, executor: usize, now: Instant) -> Option<Line> {
        let (since, line) = self.idle.get_mut(&executor)?.pop()?;
        if now - since >= self.keep {
            end(line, "idle");
            return None;
        }
        Some(line)
    }

    /// A number for a new connection, if there may be one more; the longest idle one makes room.
    pub fn open(&mut self) -> Option<u64> {
        while self.count() >= self.most() {
            self.evict()?;
        }
        self.next += 1;
        Some(self.next)
    }

    /// Closes the longest idle one, if any is idle.
    fn evict(&mut self) -> Option<()> {
        let oldest = |lines: &Vec<(Instant, Line)>| lines.first().map(|(since, _)| *since);
        let (_, lines) =
            self.idle.iter_mut().filter(|(_, l)| !l.is_empty()).min_by_key(|(_, l)| oldest(l))?;
        end(lines.remove(0).1, "evicted");
        Some(())
    }

    fn most(&self) -> usize {
        if self.half {
            self.most / 2
        } else {
            self.most
        }
    }

    /// Keeps to half of them from now on; idle ones make room at once.
    pub fn halve(&mut self, half: bool) {
        self.half = half;
        while self.count() > self.most() && self.evict().is_some() {}
    }

    /// The connection carries a push now.
    pub fn lend(&mut self, line: Line) {
        self.out.insert(line.number, line);
    }

    /// Its task is over: it is idle again, for the executor that is told, or gone.
    pub fn back(&mut self, number: u64, keep: bool, now: Instant) -> Option<usize> {
        let line = self.out.remove(&number).filter(|_| keep)?;
        let executor = line.executor;
        let idle = self.idle.entry(executor).or_default();
        idle.push((now, line));
        if idle.len() > IDLE {
            end(idle.remove(0).1, "surplus");
        }
        Some(executor)
    }

    /// Closes those idle too long: a push on one that the executor closes meanwhile would end as a reset.
    pub fn retire(&mut self, now: Instant) {
        for lines in self.idle.values_mut() {
            let old = lines.iter().take_while(|(since, _)| now - *since >= self.keep).count();
            lines.drain(..old).for_each(|(_, line)| end(line, "idle"));
        }
    }

    /// Closes the idle ones to an executor.
    pub fn leave(&mut self, executor: usize, why: &'static str) {
        let lines = self.idle.remove(&executor).unwrap_or_default();
        lines.into_iter().for_each(|(_, line)| end(line, why));
    }
}

/// Its thread ends when no more tasks can come.
fn end(line: Line, why: &'static str) {
    line.link.end(why);
}
