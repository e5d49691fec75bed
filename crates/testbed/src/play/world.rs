//! What all parts of a play on sockets share: the clock, the ledger, the weather.

use crate::faults::Weather;
use crate::judge::{Answer, Ledger, Saw};
use crate::load::Asked;
use crate::plan::{Plan, What};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stileroute_dispatch::types::Time;
use tokio::sync::watch;

/// A lock is only poisoned by a panic, and a panic of the rig is no verdict on anything.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A play is without a verdict when requests left so much later than they were due: at 99 of 100, and at worst.
const LAG_P99_MS: f64 = 20.0;
const LAG_MOST_MS: f64 = 250.0;
/// A fault that is on or off by so much later makes another day: nodes are dark, starved or without a disk for longer.
const TURN_MOST_MS: f64 = 250.0;

pub struct World {
    pub plan: Plan,
    start: Instant,
    /// Unix time at the start, in milliseconds.
    unix: i64,
    /// How long after its deadline an answer is waited for.
    pub patience: Time,
    pub ledger: Mutex<Ledger>,
    pub asked: Mutex<Vec<Asked>>,
    /// Work saved of a job.
    pub saved: Mutex<HashMap<usize, f64>>,
    pub weather: RwLock<Weather>,
    /// Counts the changes of the weather.
    pub changed: watch::Sender<u64>,
    /// Pushes under an id that no client sent.
    pub foreign: Mutex<Vec<String>>,
    /// Microseconds by which requests left later than they were due.
    pub lag: Mutex<hdrhistogram::Histogram<u64>>,
}

impl World {
    pub fn new(plan: &Plan, weather: Weather, groups: Vec<(usize, usize)>) -> Result<World, String> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
        Ok(World {
            plan: plan.clone(),
            start: Instant::now(),
            unix: unix.as_millis() as i64,
            // A node that hardly runs is late; the judge tells by how much it may be.
            patience: if plan.fault.iter().any(|f| f.what == What::NodeStarved) { 8_000 } else { 1_000 },
            ledger: Mutex::new(Ledger::new(groups, plan.replicas())),
            asked: Mutex::new(Vec::new()),
            saved: Mutex::new(HashMap::new()),
            weather: RwLock::new(weather),
            changed: watch::channel(0).0,
            foreign: Mutex::new(Vec::new()),
            lag: Mutex::new(crate::report::micros()),
        })
    }

    pub fn now(&self) -> Time {
        (self.start.elapsed().as_micros() / 100) as Time
    }

    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.start + span(at)).into()
    }

    /// Unix milliseconds of a time.
    pub fn unix_ms(&self, at: Time) -> i64 {
        self.unix + at / 10
    }

    /// The time of some Unix milliseconds.
    pub fn time_of(&self, unix_ms: i64) -> Time {
        (unix_ms - self.unix) * 10
    }

    pub fn weather<T>(&self, look: impl FnOnce(&Weather) -> T) -> T {
        look(&self.weather.read().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    pub fn saw(&self, op: usize, at: Time, what: Saw) {
        locked(&self.ledger).saw(op, at, what);
    }

    /// A request left so long after it was due.
    pub fn left(&self, late: Time) {
        locked(&self.lag).saturating_record((late.max(0) as u64 * 100).max(1));
    }

    /// By how many milliseconds requests left late, at 99 of 100 and at worst, and whether that leaves no verdict.
    pub fn lateness(&self) -> (f64, f64, bool) {
        let lag = locked(&self.lag);
        let (most, worst) = (lag.value_at_quantile(0.99) as f64 / 1000.0, lag.max() as f64 / 1000.0);
        (most, worst, most > LAG_P99_MS || worst > LAG_MOST_MS)
    }

    pub fn answered(&self, op: usize, answer: Answer) {
        self.saw(op, self.now(), Saw::Answered(answer));
    }
}

/// Why there is no verdict, where a fault began or ended so long after it was due: the day is another than the file's.
pub fn late_turn(late: Time) -> Option<String> {
    let late = late as f64 / 10.0;
    (late > TURN_MOST_MS)
        .then(|| format!("the rig was late: a fault was on or off {late:.0} ms after its time"))
}

pub fn span(time: Time) -> Duration {
    Duration::from_micros(time.max(0) as u64 * 100)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::executor::specs;

    #[test]
    fn a_fault_that_comes_late_gives_no_verdict() {
        // In tenths of a millisecond.
        assert_eq!(late_turn(2_500), None);
        let reason = late_turn(6_000).unwrap();
        assert!(reason.starts_with("the rig was late: a fault") && reason.contains("600 ms"), "{reason}");
    }

    #[test]
    fn a_rig_that_is_late_itself_gives_no_verdict() {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/calm.toml");
        let plan = crate::experiment::load(&path).unwrap().plan;
        let world = || World::new(&plan, Weather::new(&plan, &specs(&plan, 1), 1).0, Vec::new()).unwrap();
        // So many requests so late, in tenths of a millisecond, and whether that is too late.
        let cases = [
            (vec![(1000, 15)], false),
            (vec![(1000, 15), (15, 400)], true),
            (vec![(5000, 1), (1, 3000)], true),
        ];
        for (requests, expected) in cases {
            let world = world();
            for (count, late) in &requests {
                (0..*count).for_each(|_| world.left(*late));
            }
            assert_eq!(world.lateness().2, expected, "{requests:?}: {:?}", world.lateness());
        }
    }
}
