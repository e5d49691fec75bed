//! The schedule of the proof: the load, the changes, the faults, and the verdict.

use crate::client::Plan;
use crate::executor::{Executor, Kind};
use crate::fleet::{Fleet, Plain, Role, Shape, LARGE_FLEET, NINE};
use crate::history::{Answered, Arrival, History, Micros, Sent, SECOND};
use crate::judge::{judge, story, Breach};
use crate::operator::Services;
use crate::recorder::Recorder;
use crate::scenarios::{tell, Behind};
use crate::schedule::{CEILING, FIRST, LOAD};
use crate::setup::{Place, Running, Setup};
use std::collections::{BTreeMap, HashMap};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Networks 127.x that are tried.
const FIRST_NET: u8 = 100;
const NETS: u32 = 150;
/// The most fleets of one proof at once.
pub const SIDE_BY_SIDE: u32 = 8;

/// Which schedule is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    System,
    /// Sixty-one processes.
    Long,
}

impl Proof {
    fn name(self) -> &'static str {
        match self {
            Proof::System => "test-system",
            Proof::Long => "test-system-long",
        }
    }
}

pub fn prove(program: &Path, net: Option<u8>, rate: u64, keep: bool, proof: Proof) -> Plain<ExitCode> {
    let home = crate::home()?;
    let shape = if proof == Proof::Long { LARGE_FLEET } else { NINE };
    let fleet = lay_out(program, &home, net, shape, 0)?;
    let recorder = Recorder::new(&home);
    let history = match proof {
        Proof::System => play(fleet, &recorder, rate)?,
        Proof::Long => crate::large_fleet::play(fleet, &recorder, rate)?,
    };
    let breaches = judge(&history);
    println!("{}: {}", proof.name(), figures(&history, &recorder));
    if keep {
        println!("kept: {}", home.display());
        tell_all(&history, &recorder, &breaches);
    } else {
        let _ = std::fs::remove_dir_all(&home);
    }
    Ok(verdict(&breaches, recorder.busy()).exit_code())
}

/// A fleet at addresses that nobody else uses; those that run side by side have different places.
pub fn lay_out(program: &Path, home: &Path, net: Option<u8>, shape: Shape, place: u8) -> Plain<Fleet> {
    if let Some(net) = net {
        return Fleet::lay_out(program, home.to_path_buf(), net + place, shape);
    }
    let own = std::process::id() * SIDE_BY_SIDE + u32::from(place);
    let nets = (0..NETS).step_by(50).map(|step| FIRST_NET + ((own + step) % NETS) as u8);
    let mut last = Err("no network".to_string());
    for net in nets {
        last = Fleet::lay_out(program, home.to_path_buf(), net, shape);
        if last.is_ok() {
            break;
        }
    }
    last
}

/// All breaches, and what helps to find the reason.
pub fn tell_all(history: &History, recorder: &Recorder, breaches: &[Breach]) {
    breaches.iter().for_each(|breach| println!("  {breach}"));
    let mut spans = vec![(0, 0); 1 + (recorder.now() / (5 * SECOND)) as usize];
    for arrival in history.arrivals.iter().filter(|a| a.service == "cedar") {
        spans[(arrival.at / (5 * SECOND)) as usize].0 += 1;
    }
    for sent in history.sent.iter().filter(|s| s.prefix == "/cedar/" && s.name.is_some()) {
        spans[((sent.at + sent.delay) / (5 * SECOND)) as usize].1 += 1;
    }
    println!("  under the ceiling, runs and messages due in each 5 s: {spans:?}");
    println!("  answers by status in each 5 s: {}", answers(history));
    println!("  read back: {}", tell(&history.reads));
    slowest(history).iter().for_each(|story| println!("  slow: {story}"));
}

/// How many messages were answered with each status, by the time at which they were sent.
fn answers(history: &History) -> String {
    let mut spans: BTreeMap<Micros, BTreeMap<String, usize>> = BTreeMap::new();
    for sent in &history.sent {
        let answer = match sent.answered {
            Answered::Status(status) => status.to_string(),
            other => format!("{other:?}"),
        };
        *spans.entry(sent.at / (5 * SECOND) * 5).or_default().entry(answer).or_default() += 1;
    }
    let spans: Vec<String> = spans.iter().map(|(from, all)| format!("{from} s {all:?}")).collect();
    spans.join(", ")
}

/// What a proof comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Proved,
    NotProved,
    /// What was seen counts time, and the machine was too busy for that.
    Missing,
}

impl Verdict {
    /// What the process ends with: a missing verdict is no success, unless `SYSTEM_TEST_ALLOW_NO_VERDICT` is 1.
    pub fn exit_code(self) -> ExitCode {
        let is_missing_allowed = std::env::var("SYSTEM_TEST_ALLOW_NO_VERDICT").as_deref() == Ok("1");
        match self {
            Verdict::Proved => ExitCode::SUCCESS,
            Verdict::Missing if is_missing_allowed => ExitCode::SUCCESS,
            Verdict::Missing | Verdict::NotProved => ExitCode::FAILURE,
        }
    }
}

/// What does not count time is a breach on any machine; what does is none where the machine was too busy.
pub fn verdict(breaches: &[Breach], busy: Option<String>) -> Verdict {
    let hard = breaches.iter().find(|breach| !breach.rule.timed() || busy.is_none());
    if let Some(first) = hard {
        println!("NOT PROVED: {first} ({} breaches)", breaches.len());
        return Verdict::NotProved;
    }
    let (Some(first), Some(busy)) = (breaches.first(), busy) else {
        println!("PROVED");
        return Verdict::Proved;
    };
    let line = format!("NO VERDICT: the machine is too busy, {busy}; seen: {first}");
    println!("{line}");
    list_without_verdict(&line);
    Verdict::Missing
}

/// Appends a line to the file that `NO_VERDICT_LOG` names: CI prints at its end which proofs had no verdict.
fn list_without_verdict(line: &str) {
    let Some(path) = std::env::var_os("NO_VERDICT_LOG") else { return };
    let appended = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&path)
        .and_then(|mut file| writeln!(file, "{line}"));
    if let Err(error) = appended {
        eprintln!("{}: {error}", path.to_string_lossy());
    }
}

/// The usual load: executors of three services, one of them at an endpoint with a ceiling.
pub fn setup(fleet: &Fleet, rate: u64) -> Setup {
    let endpoint = fleet.outside(90, 9000);
    let services: Services =
        vec![("alder", 0.0, None), ("birch", 0.0, None), ("cedar", CEILING, Some(endpoint))];
    let (alder, birch) = (alder(), birch());
    let mut executors = vec![Place::new("cedar", 90, &kind("cedar", 20, (5, 20), false))];
    for part in 1..=3 {
        executors.push(Place::new(format!("alder-{part}"), part, &alder));
        executors.push(Place::new(format!("birch-{part}"), 10 + part, &birch));
    }
    Setup {
        label: String::new(),
        routes: FIRST.to_vec(),
        services,
        executors,
        mix: LOAD.to_vec(),
        rate,
        has_keys: false,
        ready_within: Duration::from_secs(10),
    }
}

fn kind(service: &str, capacity: usize, work_ms: (u64, u64), tells_load: bool) -> Kind {
    Kind {
        service: service.to_string(),
        capacity,
        work_ms,
        tells_load,
        fails: true,
        beats_after_ms: 0,
        endpoint: service == "cedar",
    }
}

fn alder() -> Kind {
    kind("alder", 6, (5, 30), false)
}

fn birch() -> Kind {
    kind("birch", 2, (10, 50), true)
}

fn play(fleet: Fleet, recorder: &Arc<Recorder>, rate: u64) -> Plain<History> {
    let mut running = setup(&fleet, rate).begin(fleet, recorder)?;
    let Running { schedule, executors, runs, receiver_down, .. } = &mut running;
    let clients = Arc::clone(&schedule.clients);
    let controls = schedule.fleet.controls();
    let by_id = |id: &str| executors.iter().find(|e| e.id == id).cloned().ok_or(format!("no executor {id}"));
    let (leaving, crashing) = (by_id("birch-1")?, by_id("alder-3")?);
    schedule.sleep(3000);
    schedule.configurations();
    schedule.sleep(1000);
    schedule.say("300 at once for a service with a ceiling of 30 a second");
    clients.burst(&Plan::to("/cedar/"), 0, 152);
    clients.burst(&Plan::to("/cedar/"), 1, 152);
    schedule.say("birch-1 drains and leaves in order");
    let left = std::thread::spawn(move || leaving.leave());
    schedule.sleep(4000);
    schedule.say("alder-3 crashes; it lives anew elsewhere, and its address is another service's");
    crashing.crash();
    schedule.sleep(2500);
    let address = crashing.address;
    let outside =
        |part: u8| std::net::SocketAddrV4::new([127, address.ip().octets()[1], 9, part].into(), 9000);
    let start = |id: &str, at, kind: &Kind| {
        Executor::start(id, at, kind.clone(), Arc::clone(&controls), recorder, runs)
    };
    let _again = start("alder-3b", outside(4), &alder())?;
    let _other = start("birch-4", address, &Kind { beats_after_ms: 700, ..birch() })?;
    let _ = left.join();
    schedule.sleep(500);
    schedule.lose_primary()?;
    schedule.sleep(3000);
    schedule.lose_store(0, false)?;
    schedule.sleep(5000);
    // Call-backs that are owed when the store goes are owed by those that have its copies.
    schedule.say("the receiver of call-backs is down");
    receiver_down.store(true, Ordering::Relaxed);
    schedule.sleep(1000);
    schedule.lose_store(1, true)?;
    receiver_down.store(false, Ordering::Relaxed);
    schedule.sleep(6500);
    schedule.orderly(Role::Store, 2, "store-3")?;
    schedule.sleep(3500);
    schedule.orderly(Role::Edge, 1, "edge-2")?;
    schedule.sleep(3000);
    let primary = schedule.fleet.primary().ok_or("no control node says that it leads")?;
    schedule.orderly(Role::Core, primary, &format!("core-{}, which leads,", primary + 1))?;
    schedule.change(16, "/iris/", "after the primary was restarted");
    schedule.sleep(1000);
    schedule.race(30);
    schedule.renew_core(50)?;
    schedule.freeze_store(0);
    schedule.cut_store(2);
    schedule.renew_stores()?;
    // With the control node that took another's place: it votes, and the one that is gone does not count any more.
    schedule.leave_behind(Behind::Frozen, 60)?;
    schedule.leave_behind(Behind::CutOff, 70)?;
    schedule.none_fallen();
    schedule.lose_all()?;
    schedule.sleep(4000);
    running.end_load();
    running.schedule.sleep(2500);
    let takeovers: Vec<String> =
        running.schedule.takeovers.iter().map(|(what, us)| format!("{what} {}", us / 1000)).collect();
    let history = running.end(&[0, 1, 2], Duration::from_secs(12));
    println!("takeovers in ms: {}", takeovers.join(", "));
    Ok(history)
}

/// Those that waited longest for their first run.
fn slowest(history: &History) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in &history.arrivals {
        runs.entry(&arrival.id).or_default().push(arrival);
    }
    let mut all: Vec<(Micros, &Sent)> = Vec::new();
    for sent in history.sent.iter().filter(|s| s.answered == Answered::Status(202)) {
        let first =
            runs.get(sent.id.as_str()).and_then(|all| all.iter().filter(|a| a.ran()).map(|a| a.at).min());
        all.push((first.map_or(Micros::MAX, |at| at.saturating_sub(sent.at + sent.delay)), sent));
    }
    all.sort_by_key(|(span, _)| std::cmp::Reverse(*span));
    let none = Vec::new();
    let tell = |(_, s): &(Micros, &Sent)| story(s, runs.get(s.id.as_str()).unwrap_or(&none));
    all.iter().step_by(1 + all.len() / 400).take(12).map(tell).collect()
}

pub fn figures(history: &History, recorder: &Recorder) -> String {
    let part = |mut all: Vec<Micros>| {
        all.sort_unstable();
        let at =
            |share: f64| all.get((all.len() as f64 * share) as usize).map_or(0.0, |us| *us as f64 / 1000.0);
        format!("{:.1}/{:.1}", at(0.5), at(0.99))
    };
    let accepted: Vec<_> = history.sent.iter().filter(|s| s.answered == Answered::Status(202)).collect();
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in history.arrivals.iter().filter(|a| a.ran()) {
        runs.entry(&arrival.id).or_default().push(arrival);
    }
    let first = |id: &str| runs.get(id).and_then(|all| all.iter().map(|a| a.at).min());
    let starts = accepted.iter().filter_map(|s| Some(first(&s.id)?.saturating_sub(s.at + s.delay)));
    let again = runs.values().filter(|all| {
        let done = all.iter().filter(|a| a.seal().is_some()).map(|a| a.ended).min();
        done.is_some_and(|done| all.iter().any(|a| a.at > done))
    });
    format!(
        "{} messages, {} accepted, {} turned away, {} unanswered, {} further tries; ms p50/p99 to the 202 {}, to the run {}; \
         {} run again after a success; {} call-backs; timers {} ms late, disk {} ms; {} s",
        history.sent.len(),
        accepted.len(),
        history
            .sent
            .iter()
            .filter(|s| matches!(s.answered, Answered::Status(status) if status != 202))
            .count(),
        history.sent.iter().filter(|s| matches!(s.answered, Answered::Cut | Answered::Late)).count(),
        history.retries.len(),
        part(accepted.iter().map(|s| s.answered_at - s.at).collect()),
        part(starts.collect()),
        again.count(),
        history.calls.iter().filter(|c| c.taken).count(),
        recorder.late_ms(),
        recorder.disk_ms(),
        recorder.now() / SECOND
    )
}
