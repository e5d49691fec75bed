//! The course of the proof: the load, the changes, the faults, and the verdict.

use crate::client::{Clients, Plan};
use crate::course::{Course, CEILING, FIRST, LOAD};
use crate::executor::{Executor, Kind, Runs};
use crate::fleet::{Fleet, Plain, Role, EACH};
use crate::history::{Answered, Arrival, History, Micros, Sent, SECOND};
use crate::judge::{judge, story, Breach};
use crate::operator::{Operator, Services};
use crate::ordeals::{tell, Behind};
use crate::sight::Sight;
use std::collections::HashMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

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
        println!("  read back: {}", tell(&history.reads));
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
        Executor::start(id, fleet.outside(part, 9000), kind.clone(), Arc::clone(&controls), sight, &runs)
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
        round: 0,
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
    let start = |id: &str, at, kind: &Kind| {
        Executor::start(id, at, kind.clone(), Arc::clone(&controls), sight, &runs)
    };
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
    course.sleep(1000);
    course.race(30);
    course.renew_core(50)?;
    course.freeze_store(0);
    course.cut_store(2);
    course.renew_stores()?;
    // With the control node that took another's place: it votes, and the one that is gone does not count any more.
    course.leave_behind(Behind::Frozen, 60)?;
    course.leave_behind(Behind::CutOff, 70)?;
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
