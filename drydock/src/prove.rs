//! The course of the proof: the load, the changes, the faults, and the verdict.

use crate::client::{Clients, Plan};
use crate::executor::{Executor, Kind, Runs};
use crate::fleet::{Fleet, Plain, Role, EACH};
use crate::history::{Answered, Arrival, History, Micros, Seen, Sent, Take, SECOND};
use crate::judge::{judge, story, Breach};
use crate::operator::{configuration, Operator, Routes, Services};
use crate::sight::Sight;
use std::collections::HashMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const ACK: Micros = 5 * SECOND;
const APPLY: Micros = 3 * SECOND;
const RECOVER: Micros = 12 * SECOND;
/// What a lost store held is delivered by another, in the time that a machine needs to be in touch, and a little.
const TAKEN_OVER: Micros = 5 * SECOND;
const CEILING: f64 = 30.0;

const FIRST: [(&str, &str, u32); 5] = [
    ("/alder/", "alder", 4),
    ("/birch/", "birch", 3),
    ("/cedar/", "cedar", 4),
    ("/elm/", "alder", 4),
    ("/larch/", "birch", 4),
];
/// `/elm/` is dropped, `/larch/` goes to another service, `/fir/` is new.
const SECOND_SET: [(&str, &str, u32); 5] = [
    ("/alder/", "alder", 4),
    ("/birch/", "birch", 3),
    ("/cedar/", "cedar", 4),
    ("/larch/", "alder", 4),
    ("/fir/", "birch", 4),
];
const LOAD: [(&str, u64); 6] =
    [("/alder/", 53), ("/birch/", 25), ("/cedar/", 8), ("/elm/", 4), ("/larch/", 6), ("/fir/", 4)];

struct Course {
    fleet: Fleet,
    sight: Arc<Sight>,
    clients: Arc<Clients>,
    operator: Operator,
    services: Services,
    routes: Routes,
    takeovers: Vec<(&'static str, Micros)>,
}

impl Course {
    fn sleep(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }

    fn say(&self, what: &str) {
        println!("{:7.2} s  {what}", self.sight.now() as f64 / SECOND as f64);
    }

    fn seen(&self, what: &str, right: bool) {
        self.sight.write().seen.push(Seen { what: what.to_string(), right });
    }

    /// Of what was answered: no answer in time is another thing than a wrong one.
    fn answered(&self, what: &str, right: Option<bool>) {
        match right {
            Some(right) => self.seen(what, right),
            None => self.take(&format!("an answer ({what})"), None, ACK),
        }
    }

    fn take(&self, what: &str, took: Option<Micros>, most: Micros) {
        self.sight.write().takes.push(Take { what: what.to_string(), took, most });
    }

    /// A configuration with one more route, and how long until it is acknowledged and in force at all edges.
    fn change(&mut self, number: u64, prefix: &'static str, why: &str) -> Option<Micros> {
        self.routes.push((prefix, "alder", 4));
        let routes = self.routes.clone();
        let (_, acked) = self.operator.replace(number, &routes, &self.services, Duration::from_secs(10));
        self.take(&format!("the acknowledgement of version {number} ({why})"), acked, ACK);
        let begun = self.sight.now();
        let mut force = Some(0);
        for edge in 0..EACH {
            let taken = self.clients.until_taken(prefix, edge, Duration::from_secs(8));
            force = force.zip(taken).map(|(most, at)| most.max(at.saturating_sub(begun)));
        }
        self.take(&format!("version {number} in force at every edge ({why})"), force, APPLY);
        let ms = |span: Option<Micros>| span.map_or("never".to_string(), |us| format!("{} ms", us / 1000));
        self.say(&format!("version {number}: acknowledged in {}, in force in {}", ms(acked), ms(force)));
        acked
    }

    /// The machine is gone from now on, for so long.
    fn trouble(&self, from: Micros) {
        let to = self.sight.now();
        self.sight.write().troubles.push((from, to));
    }

    fn configurations(&mut self) {
        let (services, old) = (self.services.clone(), configuration(3, &FIRST.to_vec(), &self.services));
        self.routes = SECOND_SET.to_vec();
        let routes = self.routes.clone();
        let (body, acked) = self.operator.replace(8, &routes, &services, Duration::from_secs(10));
        self.take("the acknowledgement of version 8", acked, ACK);
        let most = Duration::from_secs(5);
        let mut wrong = routes.clone();
        wrong.push(("/oak/", "nobody", 4));
        let wrong = configuration(9, &wrong, &services);
        let said =
            self.operator.order("POST", "/v1/settings/replace", &wrong, most).map(|(status, _)| status);
        self.answered("a route to an unknown service is refused", said.map(|status| status == 400));
        let half = &body[..body.len() / 2];
        let said = self.operator.order("POST", "/v1/settings/replace", half, most).map(|(status, _)| status);
        self.answered("half a configuration is refused", said.map(|status| status == 400));
        let said = self.operator.order("POST", "/v1/settings/replace", &old, most).map(|(status, _)| status);
        self.answered("an older version is acknowledged", said.map(|status| status == 200));
        let read = self.operator.read(most);
        self.answered("version 8 is read back byte for byte", read.map(|read| read == body.as_bytes()));
        self.say("version 8 in the place of 3, an invalid one refused, an older one changes nothing");
    }

    /// A configuration is acknowledged, and who acknowledged it is lost with its disk.
    fn lose_primary(&mut self) -> Plain<()> {
        let primary = self.fleet.primary().ok_or("no control node says that it leads")?;
        let routes = self.routes.clone();
        let (body, acked) = self.operator.replace(10, &routes, &self.services, Duration::from_secs(10));
        let from = self.sight.now();
        self.fleet.kill(Role::Core, primary);
        self.fleet.wipe(Role::Core, primary)?;
        self.take("the acknowledgement of version 10", acked, ACK);
        self.say(&format!(
            "core-{} leads, acknowledges version 10, is killed and loses its disk",
            primary + 1
        ));
        let read = self.operator.read(Duration::from_secs(10));
        let right = read.map(|read| read == body.as_bytes());
        self.answered("after the loss of the primary, version 10 is read back byte for byte", right);
        if self.change(12, "/gorse/", "after the loss of the primary").is_some() {
            self.takeovers.push(("control", self.acked(12).saturating_sub(from)));
        }
        self.sleep(2500);
        self.fleet.start(Role::Core, primary)?;
        self.trouble(from);
        Ok(())
    }

    fn acked(&self, number: u64) -> Micros {
        let history = self.sight.write();
        let version = history.versions.iter().find(|v| v.number == number);
        version.and_then(|v| v.acked).unwrap_or(0)
    }

    fn lose_store(&mut self, at: usize, disk: bool) -> Plain<()> {
        let from = self.sight.now();
        if disk {
            // The others stall for a moment, so that copies of large ones, which are not due yet, are still under way.
            let plan = Plan { delay_ms: 1500, large: true, ..Plan::to("/alder/") };
            let others: Vec<usize> = (0..EACH).filter(|other| *other != at).collect();
            others.iter().for_each(|other| self.fleet.stall(Role::Store, *other, true));
            self.clients.burst(&plan, at, 160);
            self.sleep(250);
            self.fleet.kill(Role::Store, at);
            others.iter().for_each(|other| self.fleet.stall(Role::Store, *other, false));
        }
        self.fleet.kill(Role::Store, at);
        self.say(&format!("store-{} is killed{}", at + 1, if disk { ", its disk is lost" } else { "" }));
        if disk {
            self.fleet.wipe(Role::Store, at)?;
        }
        self.sleep(if disk { 1500 } else { 8000 });
        let took = (!disk).then(|| self.waited(from));
        self.fleet.start(Role::Store, at)?;
        self.trouble(from);
        self.say(&format!("store-{} is started again", at + 1));
        if let Some(took) = took {
            self.take("until all that a lost store held had run elsewhere", Some(took), TAKEN_OVER);
            self.takeovers.push(("store", took));
        }
        Ok(())
    }

    /// Until the last message that was accepted before a loss and had not run has run, where there is no ceiling.
    fn waited(&self, from: Micros) -> Micros {
        let now = self.sight.now();
        let history = self.sight.write();
        let mut first: HashMap<&str, Micros> = HashMap::new();
        for arrival in history.arrivals.iter().filter(|a| a.ran()) {
            let at = first.entry(&arrival.id).or_insert(arrival.at);
            *at = arrival.at.min(*at);
        }
        let accepted = |s: &&Sent| s.answered == Answered::Status(202) && s.answered_at < from;
        let before = history
            .sent
            .iter()
            .filter(accepted)
            .filter(|s| !["/cedar/", "/elm/"].contains(&s.prefix.as_str()));
        let run = |s: &Sent| first.get(s.id.as_str()).copied().unwrap_or(now);
        before.map(|s| run(s).saturating_sub(from.max(s.at + s.delay))).max().unwrap_or(0)
    }

    fn orderly(&mut self, role: Role, at: usize, name: &str) -> Plain<()> {
        self.say(&format!("{name} is asked to end"));
        let took = self.fleet.stop(role, at).map(|took| took.as_micros() as Micros);
        self.take(&format!("the end of {name} after SIGTERM"), took, 6 * SECOND);
        self.sleep(1000);
        self.fleet.start(role, at)?;
        self.say(&format!("{name} has ended and is started again"));
        Ok(())
    }

    fn lose_all(&mut self) -> Plain<()> {
        self.routes.push(("/hazel/", "alder", 4));
        let routes = self.routes.clone();
        let (body, acked) = self.operator.replace(20, &routes, &self.services, Duration::from_secs(10));
        let from = self.sight.now();
        self.fleet.kill_all();
        self.take("the acknowledgement of version 20", acked, ACK);
        self.say("version 20 is acknowledged, and all nine are killed");
        self.sleep(1000);
        self.fleet.start_all()?;
        self.trouble(from);
        let begun = self.sight.now();
        let read = self.operator.read(Duration::from_secs(10));
        let right = read.map(|read| read == body.as_bytes());
        self.answered("after the loss of all, version 20 is read back byte for byte", right);
        let back = self.clients.until_taken("/hazel/", 0, Duration::from_secs(15));
        let took = back.map(|at| at.saturating_sub(begun));
        self.take("a message on a route of version 20 after the loss of all", took, RECOVER);
        self.takeovers.extend(took.map(|took| ("all", took)));
        self.say("all run again");
        Ok(())
    }
}

pub fn prove(program: &Path, net: Option<u8>, rate: u64, keep: bool) -> Plain<ExitCode> {
    let home = crate::home()?;
    let mine = 100 + (std::process::id() % 100) as u8;
    let fleet = match net {
        Some(net) => Fleet::lay_out(program, home.clone(), net)?,
        None => Fleet::lay_out(program, home.clone(), mine)
            .or_else(|_| Fleet::lay_out(program, home.clone(), mine + 100))?,
    };
    let sight = Sight::new(&home);
    let history = play(fleet, &sight, rate)?;
    let breaches = judge(&history);
    println!("{}", figures(&history, &sight));
    let busy = sight.busy();
    if keep {
        println!("kept: {}", home.display());
        breaches.iter().for_each(|breach| println!("  {breach}"));
        let mut spans = vec![(0, 0); 1 + (sight.now() / (5 * SECOND)) as usize];
        for arrival in history.arrivals.iter().filter(|a| a.service == "cedar") {
            spans[(arrival.at / (5 * SECOND)) as usize].0 += 1;
        }
        for sent in history.sent.iter().filter(|s| s.prefix == "/cedar/" && s.name.is_some()) {
            spans[((sent.at + sent.delay) / (5 * SECOND)) as usize].1 += 1;
        }
        println!("  under the ceiling, runs and messages due in each 5 s: {spans:?}");
        slowest(&history).iter().for_each(|story| println!("  slow: {story}"));
    } else {
        let _ = std::fs::remove_dir_all(&home);
    }
    Ok(verdict(&breaches, busy))
}

/// What does not count time is a breach on any machine; what does is none where the machine was too busy.
fn verdict(breaches: &[Breach], busy: Option<String>) -> ExitCode {
    let hard = breaches.iter().find(|breach| !breach.rule.timed() || busy.is_none());
    if let Some(first) = hard {
        println!("NOT PROVED: {first} ({} breaches)", breaches.len());
        return ExitCode::FAILURE;
    }
    let (Some(first), Some(busy)) = (breaches.first(), busy) else {
        println!("PROVED");
        return ExitCode::SUCCESS;
    };
    println!("NO VERDICT: the machine is too busy, {busy}; seen: {first}");
    match std::env::var("DRYDOCK_ALLOW_NO_VERDICT").as_deref() {
        Ok("1") => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn play(mut fleet: Fleet, sight: &Arc<Sight>, rate: u64) -> Plain<History> {
    let endpoint = fleet.outside(90, 9000);
    let receiver = fleet.outside(91, 9000);
    let down = Arc::new(AtomicBool::new(false));
    crate::receiver::listen(receiver, Arc::clone(sight), &down)?;
    fleet.start_all()?;
    let mut operator = Operator::new(fleet.controls(), sight);
    let services: Services =
        vec![("alder", 0.0, None), ("birch", 0.0, None), ("cedar", CEILING, Some(endpoint))];
    sight.write().ceilings.push(("cedar".to_string(), CEILING));
    let (_, acked) = operator.replace(3, &FIRST.to_vec(), &services, Duration::from_secs(15));
    acked.ok_or("the first configuration was never taken")?;

    let runs = Runs::default();
    let controls = fleet.controls();
    let kind = |service: &str, capacity, work_ms, tells_load| Kind {
        service: service.to_string(),
        capacity,
        work_ms,
        tells_load,
        fails: true,
        beats_after_ms: 0,
        endpoint: service == "cedar",
    };
    let (alder, birch) = (kind("alder", 6, (5, 30), false), kind("birch", 2, (10, 50), true));
    let begin = |id: &str, part: u8, kind: &Kind| {
        Executor::start(id, fleet.outside(part, 9000), kind.clone(), controls.clone(), sight, &runs)
    };
    let mut alders = Vec::new();
    let mut birches = Vec::new();
    for part in 1..=3 {
        alders.push(begin(&format!("alder-{part}"), part, &alder)?);
        birches.push(begin(&format!("birch-{part}"), 10 + part, &birch)?);
    }
    let _cedar = begin("cedar", 90, &kind("cedar", 20, (5, 20), false))?;

    let lot = u64::from(std::process::id()) ^ 0xd1d0;
    let clients = Clients::new(sight, fleet.fronts(), fleet.readiness(), receiver, lot, LOAD.to_vec());
    let stop = Arc::new(AtomicBool::new(false));
    for edge in 0..EACH {
        clients.until_taken("/alder/", edge, Duration::from_secs(10)).ok_or("the fleet does not begin")?;
    }
    let threads = clients.press(rate, &stop);
    let mut course = Course {
        fleet,
        sight: Arc::clone(sight),
        clients: Arc::clone(&clients),
        operator,
        services,
        routes: FIRST.to_vec(),
        takeovers: Vec::new(),
    };
    course.say(&format!("nine run, {rate} messages a second"));
    course.sleep(3000);
    course.configurations();
    course.sleep(1000);
    let leaving = Arc::clone(&birches[0]);
    course.say("300 at once for a service with a ceiling of 30 a second");
    clients.burst(&Plan::to("/cedar/"), 0, 152);
    clients.burst(&Plan::to("/cedar/"), 1, 152);
    course.say("birch-1 drains and leaves in order");
    let left = std::thread::spawn(move || leaving.leave());
    course.sleep(4000);
    course.say("alder-3 crashes; it lives anew elsewhere, and its address is another service's");
    alders[2].crash();
    course.sleep(2500);
    let address = alders[2].address;
    let outside =
        |part: u8| std::net::SocketAddrV4::new([127, address.ip().octets()[1], 9, part].into(), 9000);
    let start =
        |id: &str, at, kind: &Kind| Executor::start(id, at, kind.clone(), controls.clone(), sight, &runs);
    let _again = start("alder-3b", outside(4), &alder)?;
    let _other = start("birch-4", address, &Kind { beats_after_ms: 700, ..birch.clone() })?;
    let _ = left.join();
    course.sleep(500);
    course.lose_primary()?;
    course.sleep(3000);
    course.lose_store(0, false)?;
    course.sleep(5000);
    // Call-backs that are owed when the store goes are owed by those that have its copies.
    course.say("the receiver of call-backs is down");
    down.store(true, Ordering::Relaxed);
    course.sleep(1000);
    course.lose_store(1, true)?;
    down.store(false, Ordering::Relaxed);
    course.sleep(6500);
    course.orderly(Role::Store, 2, "store-3")?;
    course.sleep(3500);
    course.orderly(Role::Edge, 1, "edge-2")?;
    course.sleep(3000);
    let primary = course.fleet.primary().ok_or("no control node says that it leads")?;
    course.orderly(Role::Core, primary, &format!("core-{}, which leads,", primary + 1))?;
    course.change(16, "/iris/", "after the primary was restarted");
    course.sleep(2000);
    if let Some(what) = course.fleet.fallen() {
        course.seen(&what, false);
    }
    course.lose_all()?;
    course.sleep(4000);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    course.say("the load has ended");
    course.sleep(2500);
    clients.ask_all(Duration::from_secs(12));
    course.sleep(2000);
    clients.over.store(true, Ordering::Relaxed);
    course.say("all have been asked for");
    if let Some(what) = course.fleet.fallen() {
        course.seen(&what, false);
    }
    course.fleet.stop_all();
    let takeovers: Vec<String> =
        course.takeovers.iter().map(|(what, us)| format!("{what} {}", us / 1000)).collect();
    println!("takeovers in ms: {}", takeovers.join(", "));
    let history = sight.write().clone();
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

fn figures(history: &History, sight: &Sight) -> String {
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
        "prove-system: {} messages, {} accepted, {} turned away, {} unanswered; ms p50/p99 to the 202 {}, to the run {}; \
         {} run again after a success; {} call-backs; timers {} ms late, disk {} ms; {} s",
        history.sent.len(),
        accepted.len(),
        history.sent.iter().filter(|s| matches!(s.answered, Answered::Status(status) if status != 202)).count(),
        history.sent.iter().filter(|s| matches!(s.answered, Answered::Cut | Answered::Late)).count(),
        part(accepted.iter().map(|s| s.answered_at - s.at).collect()),
        part(starts.collect()),
        again.count(),
        history.calls.iter().filter(|c| c.taken).count(),
        sight.late_ms(),
        sight.disk_ms(),
        sight.now() / SECOND
    )
}
