//! How every schedule begins and ends: the fleet, its first configuration, executors and load; and what became of all messages.

use crate::client::Clients;
use crate::executor::{Executor, Kind, Runs};
use crate::fleet::{Fleet, Plain, Role};
use crate::history::{History, Micros};
use crate::operator::{Operator, Routes, Services};
use crate::recorder::Recorder;
use crate::schedule::Schedule;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The number of every first configuration.
const FIRST_VERSION: u64 = 3;
/// Control nodes settle who leads before edges are ready.
const FIRST_LEASE: Duration = Duration::from_secs(5);

/// An executor that is there from the beginning: its id and the last part of its address.
pub struct Place {
    pub id: String,
    pub part: u8,
    pub kind: Kind,
}

impl Place {
    pub fn new(id: impl Into<String>, part: u8, kind: &Kind) -> Place {
        Place { id: id.into(), part, kind: kind.clone() }
    }
}

/// What a schedule begins with.
pub struct Setup {
    /// Printed before each line of the schedule.
    pub label: String,
    pub routes: Routes,
    pub services: Services,
    pub executors: Vec<Place>,
    /// Prefixes and their parts of the load.
    pub mix: Vec<(&'static str, u64)>,
    pub rate: u64,
    /// Each message has an idempotency key, and some are sent again with it.
    pub has_keys: bool,
    /// Every edge takes messages so soon after the first configuration.
    pub ready_within: Duration,
}

/// A schedule that has begun.
pub struct Running {
    pub schedule: Schedule,
    pub executors: Vec<Arc<Executor>>,
    pub runs: Runs,
    /// While it is up the receiver takes no call-backs.
    pub receiver_down: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Setup {
    pub fn begin(self, mut fleet: Fleet, recorder: &Arc<Recorder>) -> Plain<Running> {
        let receiver = fleet.outside(91, 9000);
        let receiver_down = Arc::new(AtomicBool::new(false));
        crate::receiver::listen(receiver, Arc::clone(recorder), &receiver_down)?;
        fleet.start_all()?;
        let ceilings = self.services.iter().filter(|(_, rate, _)| *rate > 0.0);
        recorder.write().ceilings = ceilings.map(|(name, rate, _)| (name.to_string(), *rate)).collect();
        let mut operator = Operator::new(fleet.controls(), recorder);
        let (_, acked) =
            operator.replace(FIRST_VERSION, &self.routes, &self.services, self.ready_within + FIRST_LEASE);
        acked.ok_or("the first configuration was never taken")?;

        let runs = Runs::default();
        let start = |place: &Place| {
            let at = fleet.outside(place.part, 9000);
            Executor::start(&place.id, at, place.kind.clone(), fleet.controls(), recorder, &runs)
        };
        let executors = self.executors.iter().map(start).collect::<Plain<Vec<_>>>()?;

        let lot = u64::from(std::process::id()) ^ 0xd1d0;
        let first = self.mix.first().map_or("/", |(prefix, _)| *prefix);
        let clients = Clients::new(recorder, fleet.fronts(), fleet.readiness(), receiver, lot, self.mix);
        clients.has_keys.store(self.has_keys, Ordering::Relaxed);
        for edge in 0..fleet.shape.edges {
            clients.until_taken(first, edge, self.ready_within).ok_or("the fleet does not begin")?;
        }
        let stop = Arc::new(AtomicBool::new(false));
        let threads = clients.press(self.rate, &stop);
        let schedule = Schedule {
            label: self.label,
            fleet,
            recorder: Arc::clone(recorder),
            clients,
            operator,
            services: self.services,
            routes: self.routes,
            takeovers: Vec::new(),
            round: 0,
        };
        let all: usize = Role::ALL.iter().map(|role| schedule.fleet.shape.of(*role)).sum();
        schedule.say(&format!("{all} run, {} messages a second", self.rate));
        Ok(Running { schedule, executors, runs, receiver_down, stop, threads })
    }
}

impl Running {
    /// Until the load ends, messages with keys are tried again some seconds after they were sent.
    pub fn keep_retrying(&mut self) {
        self.threads.push(self.schedule.clients.keep_retrying(&self.stop));
    }

    pub fn end_load(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.schedule.say("the load has ended");
    }

    /// Asks some edges for all messages, and ends the fleet.
    pub fn end(mut self, edges: &[usize], asked_for: Duration) -> History {
        let Running { schedule, .. } = &mut self;
        schedule.clients.ask_all(edges, Micros::MAX, asked_for);
        schedule.sleep(2000);
        schedule.clients.over.store(true, Ordering::Relaxed);
        schedule.say("all have been asked for");
        schedule.none_fallen();
        schedule.fleet.stop_all();
        let history = schedule.recorder.write().clone();
        history
    }
}
