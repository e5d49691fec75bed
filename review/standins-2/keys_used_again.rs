//! Keys are used for a second message after their window, while the first still waits. A store was added soon after the
//! first. Then all stores and cores are killed at once and start again.
mod common;
use common::*;
use std::sync::{Arc, Mutex};
use std::thread;

const KEYS: u64 = 80;
const KEY: &str = "Bearer k-7f3a91c2";

fn send(record: &Record, fronts: &[std::net::SocketAddrV4], n: u64, use_: &str, delay: &str) -> Option<Sent> {
    let key = format!("k{n}");
    let more = [("Authorization", KEY), ("X-Idempotency-Key", key.as_str()), ("X-Delay-Ms", delay)];
    submit_until_accepted(record, fronts, &format!("{key}-{use_}"), &format!("/grenz/{n}"), &more, &body_of(n, 600), 6)
        .pop()
        .filter(|sent| sent.name.is_some())
}

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::new(&record, 3, 3, 3);
    fleet.more_bounds = ",\"key_window_s\":60,\"revoke_everywhere\":false,\"revoke_ms\":5000,\"quota_window_s\":5,\"quota_overrun\":0.1,\"quota_slack\":20".into();
    fleet.start_all();
    let tenants = ",\"customers\":[{\"name\":\"apotheke\",\"api_keys\":[\"k-7f3a91c2\"],\"rate_per_s\":20000.0,\"burst\":20000.0}]";
    let text = configuration(7, &[route("grenzalarm", "/grenz/", "temp-alarm", 1500, 4, 120.0)], &[backend("temp-alarm", 0.0)], tenants);
    if configure(&fleet, &text, ms(15_000)).is_none() {
        cannot_run("no configuration was acknowledged");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let _executors: Vec<_> = (0..3)
        .map(|n| {
            let work = Box::new(|_: &Executor, _: &str, _: &str, _: &[u8]| Reply::Done(ms(20)));
            Executor::start(&fleet, &format!("i-{n}"), "temp-alarm", fleet.outside(n, 8080), 9, &runs, work)
        })
        .collect();
    fleet.wait_ready(ms(15_000));
    thread::sleep(ms(2500));
    let fronts = fleet.fronts();
    let first: Vec<Sent> = (0..KEYS).filter_map(|n| send(&record, &fronts, n, "first", "88000")).collect();
    let sent_at = first.iter().map(|s| s.at).fold(0.0, f64::max);
    record.say(&format!("{} of {KEYS} first messages accepted, due 88 s after they were sent", first.len()));
    thread::sleep(ms(1000));
    fleet.add(Role::Store, 3, false);
    fleet.start(Role::Store, 3);
    record.say("a store is added");
    while record.at() < sent_at + 77.0 {
        thread::sleep(ms(100));
    }
    let names: Ids = first.iter().filter_map(|s| s.name.clone()).collect();
    let second: Vec<Sent> = (0..KEYS).filter_map(|n| send(&record, &fronts, n, "second", "12000")).collect();
    let own: Vec<Sent> = second.iter().filter(|s| !names.contains(s.name.as_deref().unwrap())).cloned().collect();
    record.say(&format!("{} second messages accepted 77 s later, {} of them as messages of their own", second.len(), own.len()));
    thread::sleep(ms(1000));
    if trouble() {
        for role in [Role::Store, Role::Core] {
            for at in 0..if role == Role::Store { 4 } else { 3 } {
                fleet.kill(role, at);
            }
        }
        thread::sleep(ms(500));
        for role in [Role::Core, Role::Store] {
            for at in 0..if role == Role::Store { 4 } else { 3 } {
                fleet.start(role, at);
            }
        }
        record.say("all stores and cores were killed and start again, with their disks");
    }
    while record.at() < sent_at + 108.0 {
        thread::sleep(ms(200));
    }
    let run: Ids = runs.lock().unwrap().iter().map(|run: &Run| run.id.clone()).collect();
    let never: Vec<&Sent> = first.iter().chain(&own).filter(|sent| !run.contains(&sent.id)).collect();
    for sent in never.iter().take(20) {
        let state = ask(&fronts, "/v1/message/", sent.name.as_deref().unwrap(), &[("Authorization", KEY)], ms(1000));
        record.note(&format!("client: {} is asked for: {} {}", sent.id, state.status, state.text()));
    }
    record.say(&format!("{} accepted messages never ran", never.len()));
    let broken = !never.is_empty();
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    drop(fleet);
    std::process::exit(i32::from(broken));
}
