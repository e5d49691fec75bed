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
    #[serde(rename = "usual")]
    pub other_load: f64,
    /// Mean slots of an op.
    pub slots_per_op: f64,
    /// Mean time between arrivals.
    #[serde(rename = "gap")]
    pub mean_gap: f64,
    /// Mean square of the time between arrivals.
    #[serde(rename = "square")]
    pub mean_square_gap: f64,
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
    #[serde(rename = "mark")]
    pub name_hash: u64,
    /// Its slots, as the list tells them.
    pub size: f64,
    /// In the part of the fleet over which this instance solves.
    #[serde(rename = "mine")]
    pub own: bool,
    /// Own connections there, as far as known.
    #[serde(rename = "lines")]
    pub conns: f64,
    /// When one of them was last used.
    #[serde(rename = "touched")]
    pub last_used: Time,
    /// Slots held there by peers, as they last told.
    #[serde(rename = "told")]
    pub peer_load: f64,
    /// Its latest start; `None`: long past.
    pub started: Option<Time>,
    /// Log of its running times over the fleet's.
    pub pace: f64,
    /// Samples of `pace` so far.
    pub samples: f64,
    /// Spread of the log of its running times.
    #[serde(rename = "spread")]
    pub variance: f64,
    /// Part of its pushes that it has served, as a running mean.
    #[serde(rename = "served")]
    pub success_rate: f64,
    /// Further pushes that it has earned by answers.
    pub credit: f64,
    /// Until when it is set aside.
    #[serde(rename = "aside")]
    pub ejected_until: Time,
    /// It gets a single op, to see whether it is well again.
    #[serde(rename = "trial")]
    pub probing: bool,
    /// When it last answered.
    #[serde(rename = "acked")]
    pub last_acked: Time,
    /// When a push to it last failed: an error, no connection, or one that broke.
    #[serde(rename = "reset")]
    pub last_failed: Time,
    /// Own slots out there, by category.
    #[serde(rename = "out")]
    pub in_flight: Vec<f64>,
    /// Until when it gets no more of a category: it does not start what it has of it.
    #[serde(rename = "barred")]
    pub blocked: Vec<Time>,
    /// How often it left a category unstarted of late, by category; halved by each start.
    #[serde(rename = "missed")]
    pub unstarted: Vec<u32>,
    /// Own slots that run there.
    pub running: f64,
    /// Slots held there by others, when last heard.
    #[serde(rename = "others")]
    pub other_slots: f64,
    /// Slots held there by others in the long run; below zero: not known.
    #[serde(rename = "usual")]
    pub mean_others: f64,
    /// When that was last heard.
    #[serde(rename = "heard")]
    pub reported_at: Time,
    /// What the last news counts against the usual load: less where all nodes act on the same.
    #[serde(rename = "trust")]
    pub report_weight: f64,
    /// When its latest start was heard of.
    #[serde(rename = "known")]
    pub seen_at: Time,
    /// Work sent since its latest start.
    #[serde(rename = "spent")]
    pub sent: f64,
    /// This instance's random part of the cold budget.
    #[serde(rename = "luck")]
    pub draw: f64,
    /// The fraction of own ops that it is to get, as last solved.
    pub share: f64,
    /// Its turn in the billiard order.
    pub turn: f64,
}

impl Executor {
    /// One that the list names for the first time.
    pub fn new(now: Time, turn: f64, credit: f64, categories: usize, keepalive: Time) -> Executor {
        Executor {
            variance: std::f64::consts::LN_2,
            success_rate: 1.0,
            credit,
            in_flight: vec![0.0; categories],
            blocked: vec![0; categories],
            unstarted: vec![0; categories],
            last_used: -keepalive,
            mean_others: -1.0,
            reported_at: now - SECOND,
            turn,
            ..Executor::default()
        }
    }

    /// It may be given work.
    pub fn accepts_work(&self) -> bool {
        self.active && self.disabled.is_none()
    }

    /// It starts over: cold, with nothing held and nothing known against it.
    pub fn restart(&mut self, now: Time, started: Option<Time>, draw: f64) {
        self.started = started;
        (self.other_slots, self.mean_others, self.running, self.success_rate) = (0.0, -1.0, 0.0, 1.0);
        (self.probing, self.ejected_until, self.seen_at, self.sent, self.draw) = (false, now, now, 0.0, draw);
    }

    /// Own slots out there, of all categories.
    pub fn in_use(&self) -> f64 {
        self.in_flight.iter().sum()
    }
}

/// One category as learned: log and mean of its running time for one unit of hint.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Learned {
    /// Mean log of the running time for one unit of hint.
    #[serde(rename = "norm")]
    pub mean_log_time: f64,
    /// Mean running time for one unit of hint.
    pub mean: f64,
    /// Samples so far.
    pub samples: f64,
    /// Its part of the ops that arrive, as a running mean.
    #[serde(rename = "rate")]
    pub fraction: f64,
    /// Running mean of the work of an op, in units of the hint.
    #[serde(rename = "base")]
    pub work: f64,
    /// Running mean of the waits that were expected.
    #[serde(rename = "guessed")]
    pub expected_wait: f64,
    /// Running mean of the waits that were seen.
    #[serde(rename = "waited")]
    pub observed_wait: f64,
}
