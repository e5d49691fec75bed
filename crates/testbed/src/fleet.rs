//! One executor of the model: slots, a queue, running times, warming up, falling over. No clock and no I/O: it is
//! told the time and what comes, and tells what happened. Simulated and socket plays drive the same code.

use crate::plan::{Cold, GaugeName, Kind, Order, Plan};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use stileroute_dispatch::types::Time;

/// Tenths of a millisecond in a number of milliseconds, rounded.
pub fn ms(ms: f64) -> Time {
    (ms * 10.0).round() as Time
}

/// Tenths of a millisecond in a number of seconds, rounded.
pub fn seconds(seconds: f64) -> Time {
    (seconds * 10_000.0).round() as Time
}

/// A generator for one purpose of one play: what another purpose draws does not shift it.
pub fn chance(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ purpose.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// What an executor is, for the whole day.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub kind: usize,
    pub domain: usize,
    pub cell: usize,
    pub slots: f64,
    pub memory: f64,
    pub speed: f64,
    pub order: Order,
    pub queue_limit: usize,
    pub connections: usize,
    pub idle_close: Time,
}

/// The executors of a plan, drawn with its seed. Kinds are dealt out over the domains in turn, so that each domain
/// has some of each.
pub fn specs(plan: &Plan, seed: u64) -> Vec<Spec> {
    let mut chance = chance(seed, 1);
    let domains = plan.fleet.domains.len();
    let mut in_domain = vec![0; domains];
    let mut specs = Vec::with_capacity(plan.executors());
    for (kind, Kind { count, slots, memory, speed, queue, queue_limit, connections, idle_close_s, .. }) in
        plan.fleet.kind.iter().enumerate()
    {
        for number in 0..*count {
            let domain = (number + kind) % domains;
            let group = in_domain[domain] / plan.fleet.cell.max(1);
            in_domain[domain] += 1;
            specs.push(Spec {
                name: format!("x{}", specs.len()),
                kind,
                domain,
                cell: group * domains + domain,
                slots: *slots,
                memory: if *memory > 0.0 { *memory } else { *slots },
                speed: chance.random_range(speed[0]..=speed[1]),
                order: *queue,
                queue_limit: *queue_limit,
                connections: *connections,
                idle_close: seconds(*idle_close_s),
            });
        }
    }
    specs
}

/// A job as it comes to an executor.
#[derive(Clone, Debug)]
pub struct Job {
    /// Of the push, unique in a day.
    pub id: u64,
    pub slots: f64,
    pub memory: f64,
    /// Running time at speed one that is left.
    pub work: f64,
    /// Of that, what the whole job takes: a job that goes on from a saved state has less left.
    pub whole: f64,
    pub priority: i64,
    pub redeliverable: bool,
    /// It fails as soon as it is taken up.
    pub fails: bool,
}

/// What happened at an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happening {
    Started(u64),
    /// So much of the job is done.
    Progress(u64, f64),
    Done(u64),
    Failed(u64),
    /// The job was killed; so much of it was done.
    Lost(u64, f64),
    /// Handed back, never begun.
    Returned(u64),
    /// Pushed over while it was cold: it is down, and stays down.
    Fallen,
}

/// The id of whatever is no push but the work of new connections.
const HANDSHAKE: u64 = u64::MAX;

impl Happening {
    /// It concerns no push.
    pub fn of_handshake(self) -> bool {
        use Happening::{Done, Failed, Lost, Progress, Returned, Started};
        let id = match self {
            Started(id) | Progress(id, _) | Done(id) | Failed(id) | Lost(id, _) | Returned(id) => id,
            Happening::Fallen => return false,
        };
        id == HANDSHAKE
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Up {
    Serving,
    /// Finishes what it has; new jobs are taken all the same, so that a broken rule shows.
    Draining,
    Down,
    Fallen,
}

/// What the faults of the moment make of an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Times slower than usual.
    pub slow: f64,
    pub halted: bool,
}

impl Default for Condition {
    fn default() -> Condition {
        Condition { slow: 1.0, halted: false }
    }
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    began: bool,
    /// When it fails, if it does.
    fails_at: Option<Time>,
    next_note: Time,
}

/// An executor as it stands.
#[derive(Clone, Debug)]
pub struct Machine {
    pub spec: Spec,
    pub up: Up,
    /// Its latest start; `None` means long past.
    pub started: Option<Time>,
    condition: Condition,
    start_share: f64,
    warm_within: Time,
    overload_factor: f64,
    tip_after: Time,
    progress: Time,
    cancel_stops: bool,
    waiting: VecDeque<Running>,
    running: Vec<Running>,
    /// Work was last taken off what runs at this time.
    at: Time,
    /// Work sent to it while it was cold, by time, and its sum.
    sent: VecDeque<(Time, f64)>,
    sum: f64,
    /// Its last load report, when it is due anew, and how long one holds.
    snapshot: [f64; 4],
    refresh_at: Time,
    refresh: Time,
    /// Work done in all, at speed one.
    pub done: f64,
}

/// A failing job is noticed after so long.
const FAILS_AFTER: Time = 30;
/// A cold executor's speed is looked at again so often.
const WARMING_STEP: Time = 1_000;

impl Machine {
    pub fn new(plan: &Plan, spec: Spec, refresh: Time, started: Option<Time>) -> Machine {
        let Cold { start_share, warm_within_s, overload_factor, tip_after_s, .. } = plan.fleet.cold;
        let free = spec.slots;
        Machine {
            spec,
            up: Up::Serving,
            started,
            condition: Condition::default(),
            start_share,
            warm_within: seconds(warm_within_s),
            overload_factor,
            tip_after: seconds(tip_after_s),
            progress: ms(plan.fleet.progress_ms),
            cancel_stops: plan.fleet.cancel_stops,
            waiting: VecDeque::new(),
            running: Vec::new(),
            at: started.unwrap_or(0),
            sent: VecDeque::new(),
            sum: 0.0,
            snapshot: [0.0, 0.0, 0.0, free],
            refresh_at: 0,
            refresh: refresh.max(1),
            done: 0.0,
        }
    }

    /// Part of its capacity that it has at this moment.
    pub fn warmth(&self, now: Time) -> f64 {
        match self.started {
            Some(at) if now < at + self.warm_within => {
                let age = (now - at).max(0) as f64 / self.warm_within as f64;
                self.start_share + (1.0 - self.start_share) * age
            }
            _ => 1.0,
        }
    }

    pub fn cold(&self, now: Time) -> bool {
        self.started.is_some_and(|at| now < at + self.warm_within)
    }

    pub fn takes(&self) -> bool {
        matches!(self.up, Up::Serving | Up::Draining)
    }

    /// Work done in one unit of time by one job that runs.
    fn rate(&self, now: Time) -> f64 {
        if self.condition.halted {
            0.0
        } else {
            self.spec.speed * self.warmth(now) / self.condition.slow
        }
    }

    fn used(&self) -> (f64, f64) {
        self.running.iter().fold((0.0, 0.0), |(s, m), r| (s + r.job.slots, m + r.job.memory))
    }

    /// Jobs held, and the running time at speed one that they still need, with their slots.
    pub fn load(&self) -> (usize, f64) {
        let work = |r: &Running| r.job.work * r.job.slots;
        let sum = self.waiting.iter().map(work).sum::<f64>() + self.running.iter().map(work).sum::<f64>();
        (self.waiting.len() + self.running.len(), sum)
    }

    /// How long a job would wait before it starts, as the true state has it; none if it would never.
    pub fn true_wait(&self, now: Time, slots: f64) -> Option<f64> {
        if !self.takes() || self.condition.halted {
            return None;
        }
        let (used, _) = self.used();
        if used + slots <= self.spec.slots && self.waiting.is_empty() {
            return Some(0.0);
        }
        let (_, work) = self.load();
        Some(work / self.spec.slots / self.rate(now))
    }

    pub fn true_speed(&self, now: Time) -> f64 {
        self.rate(now)
    }

    /// The values of a load report, as old as reports are.
    pub fn report(&self, gauges: &[GaugeName]) -> Vec<f64> {
        gauges.iter().map(|gauge| self.snapshot[*gauge as usize]).collect()
    }

    fn look(&mut self, now: Time) {
        if now >= self.refresh_at {
            let (used, _) = self.used();
            let held = (self.waiting.len() + self.running.len()) as f64;
            let free = (self.spec.slots - used).max(0.0);
            self.snapshot = [held, self.waiting.len() as f64, used / self.spec.slots, free];
            self.refresh_at = now + self.refresh;
        }
    }

    /// Brings it to the time: what ended and started until then is told in order.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Happening>) {
        self.look(now);
        while let Some(next) = self.next().filter(|next| *next <= now) {
            self.run_to(next, out);
        }
        self.run_to(now, out);
    }

    /// Nothing may end between the last time and this one.
    fn run_to(&mut self, now: Time, out: &mut Vec<Happening>) {
        let rate = self.rate(self.at);
        let span = (now - self.at).max(0) as f64;
        self.at = self.at.max(now);
        for r in &mut self.running {
            let step = (span * rate).min(r.job.work);
            r.job.work -= step;
            self.done += step * r.job.slots;
        }
        let mut at = 0;
        while at < self.running.len() {
            let r = &mut self.running[at];
            if r.fails_at.is_some_and(|at| at <= now) {
                out.push(Happening::Failed(r.job.id));
                self.running.remove(at);
            } else if r.fails_at.is_none() && r.job.work <= 1e-6 {
                out.push(Happening::Done(r.job.id));
                self.running.remove(at);
            } else {
                if self.progress > 0 && r.next_note <= now {
                    // One that stands still tells nothing.
                    if rate > 0.0 {
                        out.push(Happening::Progress(r.job.id, 1.0 - r.job.work / r.job.whole));
                    }
                    r.next_note = now + self.progress;
                }
                at += 1;
            }
        }
        self.fill(out);
    }

    /// Starts what there is room for, in the order of its queue.
    fn fill(&mut self, out: &mut Vec<Happening>) {
        if !self.takes() || self.condition.halted {
            return;
        }
        loop {
            let next = match self.spec.order {
                Order::FirstCome => (!self.waiting.is_empty()).then_some(0),
                // Of equals the first that came.
                Order::Priority => {
                    (0..self.waiting.len()).rev().max_by_key(|at| self.waiting[*at].job.priority)
                }
            };
            let Some(next) = next else { return };
            let (slots, memory, priority) = {
                let job = &self.waiting[next].job;
                (job.slots, job.memory, job.priority)
            };
            let fits = |m: &Machine| {
                let (s, mem) = m.used();
                s + slots <= m.spec.slots + 1e-9 && mem + memory <= m.spec.memory + 1e-9
            };
            while self.spec.order == Order::Priority && !fits(self) {
                // The lowest of those that may be suspended, and of these the one begun last.
                let lowest = (0..self.running.len())
                    .filter(|at| {
                        let r = &self.running[*at];
                        r.job.redeliverable && r.job.priority < priority && r.fails_at.is_none()
                    })
                    .min_by_key(|at| (self.running[*at].job.priority, usize::MAX - at));
                let Some(lowest) = lowest else { break };
                let suspended = self.running.remove(lowest);
                self.waiting.push_back(suspended);
            }
            if !fits(self) {
                return;
            }
            let Some(mut r) = self.waiting.remove(next) else { return };
            if !std::mem::replace(&mut r.began, true) {
                out.push(Happening::Started(r.job.id));
            }
            r.fails_at = r.job.fails.then_some(self.at + FAILS_AFTER);
            r.next_note = self.at + self.progress;
            self.running.push(r);
        }
    }

    /// When something happens by itself.
    pub fn next(&self) -> Option<Time> {
        if !self.takes() {
            return None;
        }
        let rate = self.rate(self.at);
        let mut next: Option<Time> = None;
        for r in &self.running {
            let ends = match r.fails_at {
                Some(at) => Some(at),
                None if rate > 0.0 => Some(self.at + ((r.job.work / rate).ceil() as Time).max(1)),
                None => None,
            };
            let note = (self.progress > 0).then_some(r.next_note.max(self.at + 1));
            next = [next, ends, note].into_iter().flatten().min();
        }
        if !self.running.is_empty() && self.cold(self.at) {
            next = next.map(|at| at.min(self.at + WARMING_STEP));
        }
        next
    }

    /// Takes a job, unless it is full. Its outcome is told as ever, perhaps at once.
    pub fn take(&mut self, now: Time, job: Job, out: &mut Vec<Happening>) {
        self.advance(now, out);
        if !self.takes() || self.waiting.len() >= self.spec.queue_limit {
            out.push(Happening::Returned(job.id));
            return;
        }
        let cold = self.cold(now);
        if cold {
            let work = job.work * job.slots / self.spec.speed;
            self.sent.push_back((now, work));
            self.sum += work;
        }
        self.waiting.push_back(Running { job, began: false, fails_at: None, next_note: 0 });
        self.fill(out);
        if cold && self.tipped(now) {
            self.lose(out);
            self.up = Up::Fallen;
            out.push(Happening::Fallen);
        }
    }

    /// A new connection takes so much work of a slot; a full queue makes it wait no less.
    pub fn shake(&mut self, now: Time, work: f64, out: &mut Vec<Happening>) {
        self.advance(now, out);
        if self.takes() {
            let (slots, memory) = (1.0f64.min(self.spec.slots), 0.0);
            let whole = work;
            let (priority, redeliverable, fails) = (i64::MAX, false, false);
            let job = Job { id: HANDSHAKE, slots, memory, work, whole, priority, redeliverable, fails };
            self.waiting.push_front(Running { job, began: false, fails_at: None, next_note: 0 });
            self.fill(out);
        }
    }

    /// More was sent in the last span than the stated multiple of what it can do in it.
    fn tipped(&mut self, now: Time) -> bool {
        while self.sent.front().is_some_and(|(at, _)| *at <= now - self.tip_after) {
            self.sum -= self.sent.pop_front().map_or(0.0, |(_, work)| work);
        }
        let can = self.spec.slots * self.warmth(now) * self.tip_after as f64;
        self.sum > self.overload_factor * can
    }

    /// Calls a job off: one that waits is dropped, one that runs only where that stops it. Tells whether it had
    /// begun, if it was here.
    pub fn cancel(&mut self, now: Time, id: u64, out: &mut Vec<Happening>) -> Option<bool> {
        self.advance(now, out);
        if let Some(at) = self.waiting.iter().position(|r| r.job.id == id) {
            let begun = self.waiting.remove(at).map(|r| r.began);
            return begun;
        }
        let at = self.running.iter().position(|r| r.job.id == id)?;
        if self.cancel_stops {
            self.running.remove(at);
            self.fill(out);
        }
        Some(true)
    }

    pub fn set(&mut self, now: Time, condition: Condition, out: &mut Vec<Happening>) {
        self.advance(now, out);
        self.condition = condition;
        self.fill(out);
    }

    pub fn drain(&mut self, now: Time, out: &mut Vec<Happening>) {
        self.advance(now, out);
        if self.up == Up::Serving {
            self.up = Up::Draining;
            // What has not begun goes back unstarted.
            let (kept, back): (VecDeque<_>, VecDeque<_>) = self.waiting.drain(..).partition(|r| r.began);
            self.waiting = kept;
            out.extend(back.into_iter().map(|r| Happening::Returned(r.job.id)));
        }
    }

    fn lose(&mut self, out: &mut Vec<Happening>) {
        let done = |r: &Running| 1.0 - r.job.work / r.job.whole;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        out.extend(lost.map(|r| Happening::Lost(r.job.id, done(&r))));
    }

    /// It dies with all that it has.
    pub fn kill(&mut self, now: Time, out: &mut Vec<Happening>) {
        self.advance(now, out);
        self.lose(out);
        self.up = Up::Down;
    }

    /// It comes back under its old address, cold. One that fell over stays down.
    pub fn start(&mut self, now: Time) -> bool {
        if self.up == Up::Fallen {
            return false;
        }
        self.up = Up::Serving;
        self.started = Some(now);
        self.at = now;
        self.sent.clear();
        self.sum = 0.0;
        self.snapshot = [0.0, 0.0, 0.0, self.spec.slots];
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn machine(slots: f64, order: &str, extra: &str) -> Machine {
        let text = format!(
            "name = 'm'\nseconds = 1.0\nseeds = [1]\n[fleet]\n{extra}\n[[fleet.kind]]\nname = 'k'\ncount = 1\n\
             slots = {slots:?}\nspeed = [1.0, 1.0]\nqueue = '{order}'\nqueue-limit = 3\n[nodes]\ncount = 1\n\
             [load]\nper-second = 1.0\n[[category]]\nname = 'c'\npart = 1.0\nwork-ms = 1.0\ntarget-ms = 10.0\n\
             ttl-ms = 100.0\neffect = 'redeliverable'\n"
        );
        let plan = crate::experiment::read("m.toml", &text).unwrap().plan;
        let spec = specs(&plan, 1).remove(0);
        Machine::new(&plan, spec, 100, None)
    }

    fn job(id: u64, work: f64, priority: i64) -> Job {
        let redeliverable = priority == 0;
        Job { id, slots: 1.0, memory: 1.0, work, whole: work, priority, redeliverable, fails: false }
    }

    #[test]
    fn jobs_wait_for_a_slot_and_priority_suspends_what_may_rerun() {
        use Happening::*;
        // Order of the queue, and what happens until time 1000 with jobs of 100, 50 and, of priority 5, 30.
        let cases = [
            ("first-come", vec![Started(1), Done(1), Started(2), Done(2), Started(3), Done(3)]),
            ("priority", vec![Started(1), Started(3), Done(3), Done(1), Started(2), Done(2)]),
        ];
        for (order, expected) in cases {
            let (mut machine, mut out) = (machine(1.0, order, ""), Vec::new());
            machine.take(0, job(1, 100.0, 0), &mut out);
            machine.take(1, job(2, 50.0, 0), &mut out);
            machine.take(2, job(3, 30.0, 5), &mut out);
            machine.advance(1000, &mut out);
            if order == "priority" {
                // A suspended job goes back to the end of its priority, and keeps what was done of it.
                assert_eq!(&out[..3], &expected[..3]);
                assert_eq!(out.len(), expected.len());
            } else {
                assert_eq!(out, expected);
            }
            assert_eq!(machine.done.round(), 180.0);
        }
    }

    #[test]
    fn a_full_queue_hands_back_and_a_drain_too() {
        let (mut machine, mut out) = (machine(1.0, "first-come", ""), Vec::new());
        (1..=5).for_each(|id| machine.take(0, job(id, 100.0, 0), &mut out));
        assert_eq!(out, [Happening::Started(1), Happening::Returned(5)]);
        out.clear();
        machine.drain(10, &mut out);
        assert_eq!(out, [2, 3, 4].map(Happening::Returned));
        assert_eq!(machine.cancel(20, 1, &mut out), Some(true));
        assert_eq!(machine.cancel(20, 1, &mut out), None);
    }

    #[test]
    fn halted_nothing_moves_and_slow_takes_longer() {
        let (mut machine, mut out) = (machine(1.0, "first-come", ""), Vec::new());
        machine.take(0, job(1, 100.0, 0), &mut out);
        machine.set(50, Condition { slow: 1.0, halted: true }, &mut out);
        assert_eq!(machine.next(), None);
        machine.set(1000, Condition { slow: 5.0, halted: false }, &mut out);
        assert_eq!(machine.next(), Some(1250));
        machine.advance(1250, &mut out);
        assert_eq!(out, [Happening::Started(1), Happening::Done(1)]);
    }

    #[test]
    fn a_new_connection_takes_a_slot_for_a_while_and_is_nobody_s_push() {
        let (mut machine, mut out) = (machine(1.0, "first-come", ""), Vec::new());
        machine.shake(0, 50.0, &mut out);
        machine.take(0, job(1, 100.0, 0), &mut out);
        machine.advance(1000, &mut out);
        assert_eq!(machine.at, 1000);
        let pushes: Vec<Happening> = out.iter().copied().filter(|h| !h.of_handshake()).collect();
        assert_eq!(pushes, [Happening::Started(1), Happening::Done(1)]);
        assert_eq!((out.len(), machine.done.round()), (4, 150.0));
    }

    #[test]
    fn a_cold_executor_falls_over_and_stays_down() {
        let extra =
            "[fleet.cold]\nstart-share = 0.5\nwarm-within-s = 10.0\noverload-factor = 2.0\ntip-after-s = 1.0";
        let (mut machine, mut out) = (machine(2.0, "first-come", extra), Vec::new());
        machine.kill(0, &mut out);
        assert!(machine.start(0) && machine.cold(1));
        // It can do 1.0 s of work in a second at first: twice that tips it, with a bit for warming.
        machine.take(10, job(1, 10_000.0, 0), &mut out);
        machine.take(20, job(2, 10_000.0, 0), &mut out);
        assert!(!out.contains(&Happening::Fallen), "{out:?}");
        machine.take(30, job(3, 10_000.0, 0), &mut out);
        assert!(out.ends_with(&[Happening::Fallen]) && out.len() == 6, "{out:?}");
        assert!(!machine.start(5000) && !machine.takes());
    }

    #[test]
    fn reports_are_as_old_as_they_may_be() {
        let (mut machine, mut out) = (machine(2.0, "first-come", ""), Vec::new());
        let all = [GaugeName::Held, GaugeName::Waiting, GaugeName::Busy, GaugeName::Free];
        machine.take(0, job(1, 100.0, 0), &mut out);
        machine.take(50, job(2, 100.0, 0), &mut out);
        assert_eq!(machine.report(&all), [0.0, 0.0, 0.0, 2.0]);
        machine.advance(99, &mut out);
        assert_eq!(machine.report(&all), [0.0, 0.0, 0.0, 2.0]);
        machine.advance(100, &mut out);
        assert_eq!(machine.report(&all), [2.0, 0.0, 1.0, 0.0]);
    }
}
