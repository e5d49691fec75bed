//! What an instance keeps of each executor and each category for as long as it knows them; what lives as long as an
//! op or a push is in `types.rs`. Nothing is decided here.

use crate::types::{Time, SECOND};
use serde::{Deserialize, Serialize};

/// What an instance has learned, for the one that takes its place. Another version reads what it knows of it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Memory {
    pub categories: Vec<Learned>,
    /// Slots by kind, and each executor.
    pub slots: Vec<f64>,
    pub executors: Vec<Executor>,
    pub usual: f64,
    pub slots_per_op: f64,
    pub gap: f64,
    pub square: f64,
}

/// One executor, as long as the list has named it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Executor {
    pub active: bool,
    /// Since when it is taken out by hand, whatever the list says.
    pub disabled: Option<Time>,
    pub domain: usize,
    pub kind: usize,
    pub cell: usize,
    pub mark: u64,
    pub size: f64,
    /// In the part of the fleet over which this instance solves.
    pub mine: bool,
    /// Own connections there as far as known, and when one was last used.
    pub lines: f64,
    pub touched: Time,
    /// Slots held there by peers, as they last told.
    pub told: f64,
    pub started: Option<Time>,
    /// Log of its running times over the fleet's, samples so far, and the spread of the log.
    pub pace: f64,
    pub samples: f64,
    pub spread: f64,
    pub served: f64,
    pub credit: f64,
    pub aside: Time,
    pub trial: bool,
    pub acked: Time,
    pub reset: Time,
    /// Own slots out there by category, and those of them that run.
    pub out: Vec<f64>,
    /// Until when it gets no more of a category: it does not start what it has of it.
    pub barred: Vec<Time>,
    pub missed: Vec<u32>,
    pub running: f64,
    /// Slots held there by others when last heard, and in the long run.
    pub others: f64,
    pub usual: f64,
    pub heard: Time,
    /// What the last news counts against the usual load: less where all nodes act on the same.
    pub trust: f64,
    /// When its latest start was heard of, work sent since, and this node's luck in the cold budget.
    pub known: Time,
    pub spent: f64,
    pub luck: f64,
    pub share: f64,
    pub turn: f64,
}

impl Executor {
    /// One that the list names for the first time.
    pub fn new(now: Time, turn: f64, credit: f64, categories: usize, keepalive: Time) -> Executor {
        Executor {
            spread: std::f64::consts::LN_2,
            served: 1.0,
            credit,
            out: vec![0.0; categories],
            barred: vec![0; categories],
            missed: vec![0; categories],
            touched: -keepalive,
            usual: -1.0,
            heard: now - SECOND,
            turn,
            ..Executor::default()
        }
    }

    /// It may be given work.
    pub fn takes(&self) -> bool {
        self.active && self.disabled.is_none()
    }

    /// It starts over: cold, with nothing held and nothing known against it.
    pub fn start_over(&mut self, now: Time, started: Option<Time>, luck: f64) {
        self.started = started;
        (self.others, self.usual, self.running, self.served) = (0.0, -1.0, 0.0, 1.0);
        (self.trial, self.aside, self.known, self.spent, self.luck) = (false, now, now, 0.0, luck);
    }

    pub fn own(&self) -> f64 {
        self.out.iter().sum()
    }
}

/// One category as learned: log and mean of its running time for one unit of hint.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Learned {
    pub norm: f64,
    pub mean: f64,
    pub samples: f64,
    pub rate: f64,
    pub base: f64,
    pub guessed: f64,
    pub waited: f64,
}
