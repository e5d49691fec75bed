//! The long proof: 61 processes, and two stores lost at once with their disks, twice, while messages with long delays wait.
//!
//! The first loss is made good by copies made anew; had it not been, the second would lose what lay on too few disks.

use crate::client::Plan;
use crate::executor::Kind;
use crate::fleet::{Fleet, Plain, Role, EACH};
use crate::history::{Answered, History, Micros, Said, SECOND};
use crate::http;
use crate::message;
use crate::operator::Services;
use crate::recorder::Recorder;
use crate::schedule::Schedule;
use crate::setup::{Place, Setup};
use serde_json::Value;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUTES: [(&str, &str, u32); 2] = [("/alder/", "alder", 4), ("/birch/", "birch", 4)];
const LOAD: [(&str, u64); 2] = [("/alder/", 70), ("/birch/", 30)];
/// Those that wait, one in so many of them large, and so many a second on top of the load.
const WAITING: u64 = 1200;
const LARGE: u64 = 8;
const A_SECOND: u64 = 100;
const DELAY_MS: u64 = 45_000;
/// Copies are made anew by each store at so many bytes a second.
const RATE: u64 = 1_000_000;
/// What a message weighs beside its body.
const AROUND: u64 = 400;
/// Until a lost store is no member (1.5 s), its copies are written off (5 s), that was looked at (1 s), and one copy that was
/// not confirmed was sent again (3 s).
const BEFORE: Micros = 10 * SECOND + SECOND / 2;
/// From the return of the first two to the next loss: they are in touch.
const BETWEEN_MS: u64 = 4000;
const SAMPLE: usize = 40;

/// Counters of all stores that run.
#[derive(Default)]
pub struct Counted {
    pub thin: f64,
    pub thin_ends: f64,
    anew: f64,
    /// Entries that have not ended: own and copies.
    live: f64,
    /// Stores that told nothing.
    pub silent: usize,
}

pub fn count(fleet: &Fleet, away: &[usize]) -> Counted {
    let mut all = Counted::default();
    for at in fleet.here(Role::Store).into_iter().filter(|at| !away.contains(at)) {
        let said = http::call(fleet.figures(at), "GET", "/metrics", b"", Duration::from_secs(1));
        let Some(message) = said.ok().filter(|message| message.status() == 200) else {
            all.silent += 1;
            continue;
        };
        for line in String::from_utf8_lossy(&message.body).lines() {
            let Some((name, value)) = line.rsplit_once(' ') else { continue };
            let value: f64 = value.parse().unwrap_or(0.0);
            match name {
                "stileroute_messages_thin" => all.thin += value,
                "stileroute_ends_thin" => all.thin_ends += value,
                "stileroute_queue_events_total{event=\"copied_anew\"}" => all.anew += value,
                "stileroute_messages{stage=\"ended\"}" => {}
                name if name.starts_with("stileroute_messages{stage=") => all.live += value,
                _ => {}
            }
        }
    }
    all
}

/// Of some that wait, how many lie with fewer stores than promised.
fn short_of(schedule: &Schedule, program: &std::path::Path, names: &[String], copies: usize) -> usize {
    let boot = schedule.fleet.home.join(schedule.fleet.name(Role::Core, 0)).join("node.json");
    let enough = |name: &&String| {
        let mut command = Command::new(program);
        command.arg("message").arg("--json").arg("--at").arg(&boot).arg(name);
        let said = command.output().ok().and_then(|out| serde_json::from_slice::<Value>(&out.stdout).ok());
        let stores = said.as_ref().and_then(|said| said["stores"].as_object());
        let held = stores.map_or(0, |all| all.values().filter(|trace| !trace.is_null()).count());
        held >= copies
    };
    names.iter().filter(|name| !enough(name)).count()
}

impl Schedule {
    fn lose_two(&mut self, two: [usize; 2]) -> Plain<Micros> {
        let from = self.recorder.now();
        two.iter().for_each(|at| self.fleet.stall(Role::Store, *at, true));
        two.iter().for_each(|at| self.fleet.kill(Role::Store, *at));
        two.iter().try_for_each(|at| self.fleet.wipe(Role::Store, *at))?;
        self.say(&format!("store-{} and store-{} are killed, their disks are lost", two[0] + 1, two[1] + 1));
        Ok(from)
    }

    fn bring_back(&mut self, two: [usize; 2], from: Micros) -> Plain<()> {
        two.iter().try_for_each(|at| self.fleet.start(Role::Store, *at))?;
        self.trouble(from);
        self.say("both are started again, empty");
        Ok(())
    }

    /// How long after a loss no store that runs had a message on too few disks, for good, and all copies of those that wait
    /// are there.
    fn copied(&self, away: &[usize], from: Micros, entries: f64, most: Micros) -> (Option<Micros>, Counted) {
        let mut since: Option<Micros> = None;
        loop {
            let now = self.recorder.now();
            let counted = count(&self.fleet, away);
            let whole = counted.silent == 0 && counted.thin == 0.0 && counted.live >= entries;
            since = if whole { since.or(Some(now)) } else { None };
            if since.is_some_and(|since| now >= since + SECOND) {
                return (since.map(|since| since - from), counted);
            }
            if now > from + most + 2 * SECOND {
                return (None, counted);
            }
            self.sleep(100);
        }
    }
}

pub fn play(fleet: Fleet, recorder: &Arc<Recorder>, rate: u64) -> Plain<History> {
    let (shape, program) = (fleet.shape, fleet.program.clone());
    let edges = shape.edges;
    let services: Services = vec![("alder", 0.0, None), ("birch", 0.0, None)];
    let executors = (0..8u8).map(|part| {
        let service = if part < 5 { "alder" } else { "birch" };
        let kind = Kind {
            service: service.to_string(),
            capacity: 12,
            work_ms: (5, 30),
            tells_load: part >= 5,
            fails: true,
            beats_after_ms: 0,
            endpoint: false,
        };
        Place::new(format!("{service}-{}", part + 1), part + 1, &kind)
    });
    let executors = executors.collect();
    let setup = Setup {
        label: String::new(),
        routes: ROUTES.to_vec(),
        services,
        executors,
        mix: LOAD.to_vec(),
        rate,
        has_keys: false,
        ready_within: Duration::from_secs(15),
    };
    let mut running = setup.begin(fleet, recorder)?;
    let schedule = &mut running.schedule;
    let clients = Arc::clone(&schedule.clients);
    schedule.sleep(2000);

    let begun = Instant::now();
    let plan = Plan { delay_ms: DELAY_MS, ..Plan::to("/alder/") };
    for number in 0..WAITING {
        let plan = Plan { large: number % LARGE == 0, ..plan.clone() };
        clients.send(&plan, (number * 7) as usize % edges, &mut None);
        let due = Duration::from_millis(number * 1000 / A_SECOND);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    let (names, bytes): (Vec<String>, Vec<u64>) = {
        let history = recorder.write();
        let waits = history.sent.iter().filter(|s| s.delay == DELAY_MS * 1000);
        let waits = waits.filter(|s| s.answered == Answered::Status(202));
        let weight = |id: &str| message::body(id).len() as u64 + AROUND;
        waits.map(|s| (s.name.clone().unwrap_or_else(|| s.id.clone()), weight(&s.id))).unzip()
    };
    let (waiting, live) = (names.len(), bytes.iter().sum::<u64>());
    // What lay with the two: all is of their zone, for copies lie nearby, so the others of the zone own it and send it. A
    // quarter more, for the parts of these differ.
    let copies = shape.losses as u64 + 1;
    let again = live * copies * 2 / shape.stores as u64;
    let senders = (shape.stores / EACH - 2) as u64;
    let most = BEFORE + again * SECOND / RATE / senders * 5 / 4;
    schedule.say(&format!("{waiting} wait, {:.1} MB, each on {copies} disks", live as f64 / 1e6));
    let taken = waiting as u64 * 10 >= WAITING * 9;
    // A disk that stalls has stores take nothing: no answer in time, not a wrong one.
    schedule.answered("nine in ten of those with a long delay are accepted", taken.then_some(true));
    let entries = (waiting as u64 * copies) as f64;
    let before = count(&schedule.fleet, &[]);
    schedule.seen("all copies of those that wait are there before the loss", before.live >= entries);

    // Both of one zone.
    let first = [1, 7];
    let from = schedule.lose_two(first)?;
    let (took, after) = schedule.copied(&first, from, entries, most);
    schedule.take("until every message had its copies again after two stores were lost", took, most);
    let ms = took.map_or("never".to_string(), |us| format!("{} ms", us / 1000));
    schedule.say(&format!(
        "every message has its copies again: {ms}, {} ms are allowed, {} copies made anew (at the end {} on too few disks)",
        most / 1000,
        after.anew,
        after.thin
    ));
    let step = 1 + names.len() / SAMPLE;
    let sample: Vec<String> = names.iter().step_by(step).cloned().collect();
    let short = short_of(schedule, &program, &sample, copies as usize);
    schedule.say(&format!("of {} looked for at every store, {short} lie with too few", sample.len()));
    // Late copies are not lost ones: what is lost is told by the next loss.
    schedule.answered("those looked for lie with as many stores as promised", (short == 0).then_some(true));
    // Ends are not copied anew: those that lay with the two are asked for while a third store has them.
    let asked = [0, edges / 2, edges - 1];
    clients.ask_all(&asked, recorder.now() - SECOND, Duration::from_secs(2));
    let settled = |said: &Said| !matches!(said, Said::Waiting | Said::Nothing);
    recorder.write().readings.retain(|reading| settled(&reading.said));
    schedule.bring_back(first, from)?;
    schedule.sleep(BETWEEN_MS);
    let second = [4, 2];
    let from = schedule.lose_two(second)?;
    schedule.sleep(6000);
    schedule.bring_back(second, from)?;

    let until = begun + Duration::from_millis(WAITING * 1000 / A_SECOND + DELAY_MS);
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    schedule.say("those that waited were due");
    running.end_load();
    running.schedule.sleep(3000);
    Ok(running.end(&asked, Duration::from_secs(15)))
}
