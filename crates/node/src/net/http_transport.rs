//! The executors that speak the platform's HTTP: which connection carries a push, and the threads behind them.

use super::connection_pool::{Line, Lines};
use super::executors::{self, Executors, Link, Task};
use crate::interfaces::{self, Outlet};
use crate::process::spawn;
use crate::say;
use crossbeam_channel::bounded;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Http {
    lines: Lines,
    executors: Arc<Executors>,
}

impl Http {
    /// With so many connections at most, idle ones kept so long.
    pub fn new(executors: Arc<Executors>, most: usize, keep: Duration) -> Http {
        Http { lines: Lines::new(most, keep), executors }
    }

    /// Gives a task to an idle connection, or to a new one.
    fn give(&mut self, executor: usize, task: Task, anew: bool) -> Option<Arc<Link>> {
        let (now, to) = (Instant::now(), task.to);
        let idle = if anew { None } else { self.lines.reuse(executor, now) };
        if let Some(line) = idle {
            let link = line.link.clone();
            link.renew();
            let sent = line.tasks.try_send(task).is_ok();
            self.lines.lend(line);
            return sent.then_some(link);
        }
        let number = self.lines.open()?;
        let (tasks, to_do) = bounded(1);
        let link = Arc::new(Link::default());
        let (own, shared) = (link.clone(), self.executors.clone());
        let _ = tasks.try_send(task);
        if let Err(error) = spawn("executor", move || executors::run(number, to_do, &own, &shared)) {
            say!("executor {to}: no thread for a connection: {error}");
            return None;
        }
        self.lines.lend(Line { number, executor, link: link.clone(), tasks });
        Some(link)
    }
}

impl Outlet for Http {
    fn push(
        &mut self,
        executor: usize,
        to: SocketAddr,
        push: interfaces::Push,
    ) -> Option<Arc<dyn interfaces::Link>> {
        let interfaces::Push { ticket, push, job, wary, anew, until, leave_by, connect } = push;
        let link =
            self.give(executor, Task { ticket, push, job, wary, to, until, leave_by, connect }, anew)?;
        Some(link)
    }

    fn back(&mut self, number: u64, keep: bool) -> Option<usize> {
        self.lines.back(number, keep, Instant::now())
    }

    fn leave(&mut self, executor: usize, why: &'static str) {
        self.lines.leave(executor, why);
    }

    fn halve(&mut self, half: bool) {
        self.lines.halve(half);
    }

    fn retire(&mut self) {
        self.lines.retire(Instant::now());
    }
}
