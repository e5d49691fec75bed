//! Messages with idempotency keys, 5 % of which can never be done and are long. Two stores lose their disks one after the
//! other, the second later than `catch_up_s` after the first is back. Then the clients try the keys of done ones again.
mod common;
use common::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;

const MESSAGES: u64 = 2000;
/// One of so many can never be done, and has a body of so many bytes.
const POISON_EVERY: u64 = 20;
const POISON_BYTES: usize = 250_000;
/// From the return of the first store to the loss of the second disk; `catch_up_s` is 4.2 s.
const GAP_MS: u64 = 4500;
const CLIENTS: u64 = 8;
const KEY: &str = "Bearer k-7f3a91c2";
const WINDOW_S: f64 = 60.0;

fn send_all(record: &Record, fronts: &[std::net::SocketAddrV4]) -> Vec<(String, Sent)> {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, fronts) = (record.clone(), fronts.to_vec());
            thread::spawn(move || {
                let mut accepted = Vec::new();
                for n in (client..MESSAGES).step_by(CLIENTS as usize) {
                    let is_poison = n % POISON_EVERY == 7;
                    let what = if is_poison { "poison" } else { "done" };
                    let length = if is_poison { POISON_BYTES } else { 600 };
                    let key = format!("{what}-{n}");
                    let body = body_of(n, length);
                    let more = [("Authorization", KEY), ("X-Idempotency-Key", key.as_str())];
                    let tries = submit_until_accepted(&record, &fronts, &format!("{key}-a"), &format!("/grenz/{what}/{n}"), &more, &body, 6);
                    accepted.extend(tries.last().filter(|s| s.name.is_some()).cloned().map(|s| (key, s)));
                }
                accepted
            })
        })
        .collect();
    clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
}

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::new(&record, 3, 3, 3);
    fleet.more_bounds = ",\"key_window_s\":60,\"revoke_everywhere\":false,\"revoke_ms\":5000,\"quota_window_s\":5,\"quota_overrun\":0.1,\"quota_slack\":20".into();
    fleet.start_all();
    let tenants = ",\"customers\":[{\"name\":\"apotheke\",\"api_keys\":[\"k-7f3a91c2\"],\"rate_per_s\":20000.0,\"burst\":20000.0}]";
    let text = configuration(7, &[route("grenzalarm", "/grenz/", "temp-alarm", 1500, 4, 90.0)], &[backend("temp-alarm", 0.0)], tenants);
    if configure(&fleet, &text, ms(15_000)).is_none() {
        cannot_run("no configuration was acknowledged");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let _executors: Vec<_> = (0..3)
        .map(|n| {
            let work = Box::new(|_: &Executor, id: &str, _: &str, _: &[u8]| {
                if id.starts_with("poison") { Reply::Impossible } else { Reply::Done(ms(20)) }
            });
            Executor::start(&fleet, &format!("i-{n}"), "temp-alarm", fleet.outside(n, 8080), 9, &runs, work)
        })
        .collect();
    fleet.wait_ready(ms(15_000));
    thread::sleep(ms(3000));
    let fronts = fleet.fronts();
    let all = send_all(&record, &fronts);
    let first: Vec<(String, Sent)> = all.iter().filter(|(key, _)| key.starts_with("done")).cloned().collect();
    record.say(&format!("{} of {MESSAGES} messages accepted, {} of them can never be done", all.len(), all.len() - first.len()));
    let ran = |from: f64| {
        let runs = runs.lock().unwrap();
        let done = runs.iter().filter(|run: &&Run| run.outcome == "done" && run.at >= from);
        done.map(|run| (run.id.clone(), run.at)).collect::<Vec<_>>()
    };
    let begun = record.at();
    while ran(0.0).len() < first.len() && record.at() < begun + 15.0 {
        thread::sleep(ms(100));
    }
    thread::sleep(ms(3000));
    record.say(&format!("{} of these have run and succeeded", ran(0.0).len()));
    if trouble() {
        for store in [0, 1] {
            fleet.lose_disk(Role::Store, store, ms(1000));
            record.say(&format!("store {} lost its disk and is back with an empty one", store + 1));
            thread::sleep(ms(if store == 0 { GAP_MS } else { 1000 }));
        }
    } else {
        thread::sleep(ms(2 * 1000 + GAP_MS + 1000));
    }
    // Each client tries its key again until it has an answer, or its window is about to end.
    let sent: HashMap<String, f64> = first.iter().map(|(key, sent)| (key.clone(), sent.at)).collect();
    let mut open: Vec<String> = first.iter().step_by(4).map(|(key, _)| key.clone()).collect();
    let (mut answers, mut round): (Counts, u32) = (Counts::default(), 0);
    while !open.is_empty() {
        round += 1;
        open.retain(|key| {
            if record.at() > sent[key] + WINDOW_S - 8.0 {
                return false;
            }
            let more = [("Authorization", KEY), ("X-Idempotency-Key", key.as_str())];
            let n = key.trim_start_matches("done-").parse().unwrap_or(0);
            let to = fronts[round as usize % fronts.len()];
            let again = submit(&record, to, &format!("{key}-again{round}"), &format!("/grenz/done/{n}"), &more, &body_of(n, 600));
            *answers.entry(again.status.to_string()).or_default() += 1;
            again.name.is_none()
        });
        thread::sleep(ms(500));
    }
    record.say(&format!("answers to the keys that were sent again: {answers:?}"));
    thread::sleep(ms(4000));
    let mut runs_of: HashMap<String, Vec<f64>> = HashMap::new();
    for (id, at) in ran(0.0) {
        let key = id.split('-').take(2).collect::<Vec<_>>().join("-");
        runs_of.entry(key).or_default().push(at);
    }
    let twice: Vec<&String> = runs_of
        .iter()
        .filter(|(key, at)| at.len() > 1 && at.iter().skip(1).any(|at| *at < sent.get(*key).copied().unwrap_or(0.0) + WINDOW_S))
        .map(|(key, _)| key)
        .collect();
    for key in &twice {
        record.note(&format!("{key}: sent at {:.3}, ran at {:?}", sent[*key], runs_of[*key]));
    }
    let ended = fleet.ended();
    record.say(&format!("{} keys ran twice inside their window; processes that ended by themselves: {ended:?}", twice.len()));
    let broken = !twice.is_empty();
    record.say(if broken { "TWICE is broken" } else { "TWICE holds" });
    drop(fleet);
    std::process::exit(i32::from(broken));
}
