//! State that an instance keeps of each executor and each category for as long as it knows them; state of a single op
//! or push is in `types.rs`. No decision is made here.

use crate::types::{Time, SECOND};
use serde::{Deserialize, Serialize};

/// The learned state that an instance hands to its successor. A successor of another version reads the fields that it
/// knows.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LearnedState {
    /// Learned state of each category, by index.
    pub categories: Vec<Learned>,
    /// Estimated slots of an executor, by kind.
    pub slots: Vec<f64>,
    /// State of each executor, by index.
    pub executors: Vec<Executor>,
    /// Long-run mean fraction of an executor's slots that other instances use, over the fleet.
    #[serde(rename = "usual")]
    pub other_load: f64,
    /// Mean number of slots that an op takes.
    pub slots_per_op: f64,
    /// Mean time between arrivals.
    #[serde(rename = "gap")]
    pub mean_gap: f64,
    /// Mean square of the time between arrivals.
    #[serde(rename = "square")]
    pub mean_square_gap: f64,
}

/// State of one executor, kept for as long as the list names it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Executor {
    /// The list says that the executor accepts work.
    pub active: bool,
    /// Time at which an operator disabled the executor; it gets no work then, whatever the list says.
    pub disabled: Option<Time>,
    /// Failure domain of the executor.
    pub domain: usize,
    /// Index of the kind of machine.
    pub kind: usize,
    /// Deduplication cell: its executors drop repeats of one another's ops.
    pub cell: usize,
    /// Hash of the executor's name.
    #[serde(rename = "mark")]
    pub name_hash: u64,
    /// Number of slots of the executor, as the list gives it.
    pub size: f64,
    /// The executor belongs to the partition of the fleet over which this instance solves the split.
    #[serde(rename = "mine")]
    pub own: bool,
    /// Open connections of this instance to the executor, as far as known.
    #[serde(rename = "lines")]
    pub conns: f64,
    /// Time at which one of these connections was last used.
    #[serde(rename = "touched")]
    pub last_used: Time,
    /// Slots that peers use at the executor, as they last reported.
    #[serde(rename = "told")]
    pub peer_load: f64,
    /// Time of the latest start; `None` if long past.
    pub started: Option<Time>,
    /// Mean log of the executor's running times relative to the fleet's.
    pub pace: f64,
    /// Number of samples of `pace` so far.
    pub samples: f64,
    /// Variance of the log of the executor's running times.
    #[serde(rename = "spread")]
    pub variance: f64,
    /// Moving average of the fraction of pushes that the executor served.
    #[serde(rename = "served")]
    pub success_rate: f64,
    /// Retry credit that the executor has earned by acks; a retry there costs one.
    pub credit: f64,
    /// Time until which the executor is ejected.
    #[serde(rename = "aside")]
    pub ejected_until: Time,
    /// The executor is on probation after an ejection: it gets a single op that shows whether it has recovered.
    #[serde(rename = "trial")]
    pub probing: bool,
    /// Time of the executor's last ack.
    #[serde(rename = "acked")]
    pub last_acked: Time,
    /// Time at which a push to the executor last failed: by an error, a refused connection or a broken one.
    #[serde(rename = "reset")]
    pub last_failed: Time,
    /// Slots that this instance's pushes take at the executor, by category.
    #[serde(rename = "out")]
    pub in_flight: Vec<f64>,
    /// Time until which the executor gets no ops of a category because it does not start them, by category.
    #[serde(rename = "barred")]
    pub blocked: Vec<Time>,
    /// How often the executor recently failed to start an op, by category; halved by each start.
    #[serde(rename = "missed")]
    pub unstarted: Vec<u32>,
    /// Slots in which ops of this instance are running.
    pub running: f64,
    /// Slots used by other instances, by the latest report.
    #[serde(rename = "others")]
    pub other_slots: f64,
    /// Long-run mean of the slots used by other instances; negative if unknown.
    #[serde(rename = "usual")]
    pub mean_others: f64,
    /// Time of the latest load report.
    #[serde(rename = "heard")]
    pub reported_at: Time,
    /// Weight of the latest report against the long-run mean; lower where all instances react to the same report.
    #[serde(rename = "trust")]
    pub report_weight: f64,
    /// Time at which this instance learned of the executor's latest start.
    #[serde(rename = "known")]
    pub seen_at: Time,
    /// Work that this instance has sent since the executor's latest start.
    #[serde(rename = "spent")]
    pub sent: f64,
    /// Random draw that decides when this instance may spend its part of the executor's warm-up budget.
    #[serde(rename = "luck")]
    pub draw: f64,
    /// Fraction of this instance's ops that the executor is to get, as of the last solve.
    pub share: f64,
    /// Position of the executor in billiard order.
    pub turn: f64,
}

impl Executor {
    /// State of an executor that the list names for the first time.
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

    /// Whether the executor may be given work.
    pub fn accepts_work(&self) -> bool {
        self.active && self.disabled.is_none()
    }

    /// Resets the executor's state after a restart: cold, with no slots in use and no failures counted.
    pub fn restart(&mut self, now: Time, started: Option<Time>, draw: f64) {
        self.started = started;
        (self.other_slots, self.mean_others, self.running, self.success_rate) = (0.0, -1.0, 0.0, 1.0);
        (self.probing, self.ejected_until, self.seen_at, self.sent, self.draw) = (false, now, now, 0.0, draw);
    }

    /// Slots that this instance's pushes take at the executor, over all categories.
    pub fn in_use(&self) -> f64 {
        self.in_flight.iter().sum()
    }
}

/// Learned running times, arrivals and waits of one category.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Learned {
    /// Mean log of the running time per unit of hint.
    #[serde(rename = "norm")]
    pub mean_log_time: f64,
    /// Mean running time per unit of hint.
    pub mean: f64,
    /// Number of running-time samples so far.
    pub samples: f64,
    /// Moving average of the category's fraction of all arrivals.
    #[serde(rename = "rate")]
    pub fraction: f64,
    /// Moving average of the work of an op, in units of the hint.
    #[serde(rename = "base")]
    pub work: f64,
    /// Moving average of the expected waits.
    #[serde(rename = "guessed")]
    pub expected_wait: f64,
    /// Moving average of the observed waits.
    #[serde(rename = "waited")]
    pub observed_wait: f64,
}
