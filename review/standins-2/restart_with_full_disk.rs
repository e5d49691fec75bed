//! Messages with idempotency keys, due later, fill the stores' disks as far as these take any. One store is killed and
//! starts again. Then all messages come due while all machines, executors and links are well.
mod common;
use common::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const BODY_BYTES: usize = 250_000;
const CLIENTS: u64 = 8;
const KEY: &str = "Bearer k-7f3a91c2";
const DELAY: &str = "40000";

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
    thread::sleep(ms(3000));
    let fronts = fleet.fronts();
    let refused = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, fronts, refused) = (record.clone(), fronts.clone(), Arc::clone(&refused));
            thread::spawn(move || {
                let mut accepted = Vec::new();
                let mut n = client;
                // Until the stores have taken hardly any for a while.
                while refused.load(Ordering::SeqCst) < 200 && n < 3000 {
                    let key = format!("k{n}");
                    let more = [("Authorization", KEY), ("X-Idempotency-Key", key.as_str()), ("X-Delay-Ms", DELAY)];
                    let to = fronts[n as usize % fronts.len()];
                    let sent = submit(&record, to, &format!("m{n}"), &format!("/grenz/{n}"), &more, &body_of(n, BODY_BYTES));
                    if sent.name.is_some() {
                        accepted.push(sent);
                    } else {
                        refused.fetch_add(1, Ordering::SeqCst);
                    }
                    n += CLIENTS;
                }
                accepted
            })
        })
        .collect();
    let accepted: Vec<Sent> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    record.say(&format!("{} messages of {BODY_BYTES} bytes accepted, due {DELAY} ms after they were sent; {} not accepted", accepted.len(), refused.load(Ordering::SeqCst)));
    thread::sleep(ms(3000));
    if trouble() {
        fleet.kill(Role::Store, 0);
        thread::sleep(ms(1000));
        fleet.start(Role::Store, 0);
        record.say("store 1 was killed and starts again, with its disk");
    }
    let last_due = accepted.iter().map(|sent| sent.answered_at).fold(0.0, f64::max) + 40.0;
    // Long after all are due: until nothing has run for 12 s.
    loop {
        thread::sleep(ms(500));
        let last_run = runs.lock().unwrap().iter().map(|run: &Run| run.at).fold(0.0, f64::max);
        if record.at() > last_due + 12.0 && record.at() > last_run + 12.0 || record.at() > 108.0 {
            record.say(&format!("the last run began at {last_run:.1}; all were due at {last_due:.1}"));
            break;
        }
    }
    let run: Ids = runs.lock().unwrap().iter().map(|run| run.id.clone()).collect();
    let never: Vec<&Sent> = accepted.iter().filter(|sent| !run.contains(&sent.id)).collect();
    let mut waiting = 0;
    for sent in never.iter().take(60) {
        let state = ask(&fronts, "/v1/message/", sent.name.as_deref().unwrap(), &[("Authorization", KEY)], ms(2000));
        record.note(&format!("client: {} is asked for: {} {}", sent.id, state.status, state.text()));
        waiting += u32::from(state.text().contains("waiting"));
    }
    record.say(&format!("{} accepted messages no executor ever had; of up to 60 of these asked for, {waiting} are still waiting", never.len()));
    let ended = fleet.ended();
    record.say(&format!("processes that ended by themselves: {ended:?}; memory of the stores: {:?} MB", (0..3).map(|at| fleet.memory_mb(Role::Store, at)).collect::<Vec<_>>()));
    let broken = waiting > 0;
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    drop(fleet);
    std::process::exit(i32::from(broken));
}
