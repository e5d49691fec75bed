//! What an instance keeps of each executor and each category for as long as it knows them; what lives as long as an
//! op or a push is in `types.rs`. Nothing is decided here.

use crate::types::{Time, SECOND};
use serde::{Deserialize, Serialize};

/// What an instance has learned, for the one that takes its place. Another version reads what it knows of it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Memory {
    /// Each category, by index.
    pub categories: Vec<Learned>,
    /// Slots of an executor, by kind.
    pub slots: Vec<f64>,
    /// Each executor, by index.
    pub executors: Vec<Executor>,
    /// Part of an executor's slots that others hold in the long run, over the fleet.
    pub usual: f64,
    /// Mean slots of an op.
    pub slots_per_op: f64,
    /// Mean time between arrivals.
    pub gap: f64,
    /// Mean square of the time between arrivals.
    pub square: f64,
}

/// One executor, as long as the list has named it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Executor {
    /// The list says that it takes work.
    pub active: bool,
    /// Since when it is taken out by hand, whatever the list says.
    pub disabled: Option<Time>,
    /// Its failure domain.
    pub domain: usize,
    /// What kind of machine it is.
    pub kind: usize,
    /// The cell in which it drops repeats.
    pub cell: usize,
    /// Hash of its name.
    pub mark: u64,
    /// Its slots, as the list tells them.
    pub size: f64,
    /// In the part of the fleet over which this instance solves.
    pub mine: bool,
    /// Own connections there, as far as known.
    pub lines: f64,
    /// When one of them was last used.
    pub touched: Time,
    /// Slots held there by peers, as they last told.
    pub told: f64,
    /// Its latest start; `None`: long past.
    pub started: Option<Time>,
    /// Log of its running times over the fleet's.
    pub pace: f64,
    /// Samples of `pace` so far.
    pub samples: f64,
    /// Spread of the log of its running times.
    pub spread: f64,
    /// Part of its pushes that it has served, as a running mean.
    pub served: f64,
    /// Further pushes that it has earned by answers.
    pub credit: f64,
    /// Until when it is set aside.
    pub aside: Time,
    /// It gets a single op, to see whether it is well again.
    pub trial: bool,
    /// When it last answered.
    pub acked: Time,
    /// When a push to it last failed: an error, no connection, or one that broke.
    pub reset: Time,
    /// Own slots out there, by category.
    pub out: Vec<f64>,
    /// Until when it gets no more of a category: it does not start what it has of it.
    pub barred: Vec<Time>,
    /// How often it left a category unstarted of late, by category; halved by each start.
    pub missed: Vec<u32>,
    /// Own slots that run there.
    pub running: f64,
    /// Slots held there by others, when last heard.
    pub others: f64,
    /// Slots held there by others in the long run; below zero: not known.
    pub usual: f64,
    /// When that was last heard.
    pub heard: Time,
    /// What the last news counts against the usual load: less where all nodes act on the same.
    pub trust: f64,
    /// When its latest start was heard of.
    pub known: Time,
    /// Work sent since its latest start.
    pub spent: f64,
    /// This instance's random part of the cold budget.
    pub luck: f64,
    /// The fraction of own ops that it is to get, as last solved.
    pub share: f64,
    /// Its turn in the billiard order.
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

    /// Own slots out there, of all categories.
    pub fn own(&self) -> f64 {
        self.out.iter().sum()
    }
}

/// One category as learned: log and mean of its running time for one unit of hint.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Learned {
    /// Mean log of the running time for one unit of hint.
    pub norm: f64,
    /// Mean running time for one unit of hint.
    pub mean: f64,
    /// Samples so far.
    pub samples: f64,
    /// Its part of the ops that arrive, as a running mean.
    pub rate: f64,
    /// Running mean of the work of an op, in units of the hint.
    pub base: f64,
    /// Running mean of the waits that were expected.
    pub guessed: f64,
    /// Running mean of the waits that were seen.
    pub waited: f64,
}
