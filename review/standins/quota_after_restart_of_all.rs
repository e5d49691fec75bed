//! QUOTA: after all machines with a disk were killed, stores accept a tenant's messages without counting them until the
//! configuration reaches them.

use crate::fleet::{Fleet, Role};
use crate::parts::{await_ready, configuration, configure, send_to, Executor, Record, Sent};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const RATE_PER_S: f64 = 40.0;
const BURST: f64 = 40.0;
const WINDOW_MS: u64 = 5000;
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 20.0;
const KEY: &str = "key-of-hot";
/// 7.5 times its rate, as `hot_tenant` of the site vskm-route-shared has it.
const PER_S: u64 = 300;
const THREADS: u64 = 16;
const DOWN_MS: u64 = 1000;
/// The core machine that led comes back so much later than the others.
const LEADER_LATER_MS: u64 = 2500;

pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let record = Record::new();
    let mut fleet = Fleet::lay_out()?;
    fleet.bounds += &format!(
        ",\"revoke_everywhere\":false,\"revoke_ms\":5000,\"key_window_s\":60,\"quota_window_s\":{},\
         \"quota_overrun\":{OVERRUN},\"quota_slack\":{SLACK}",
        WINDOW_MS / 1000
    );
    fleet.start_all()?;
    let route = "\"max_tries\":6,\"in_order\":false,\"max_wait_s\":90.0,\"callback_url\":false,\"public\":false";
    let service = [("temp-alarm", "\"rate_per_s\":0.0,\"endpoint\":null")];
    let body = configuration(3, &[("/alarm/", "temp-alarm", route)], &service);
    let customers = format!(
        "{{\"customers\":[{{\"name\":\"hot\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":{RATE_PER_S},\"burst\":{BURST}}},\
         {{\"name\":\"calm\",\"api_keys\":[\"key-of-calm\"],\"rate_per_s\":50.0,\"burst\":50.0}}],"
    );
    configure(&fleet, &record, &body.replacen('{', &customers, 1))?;
    let executor = |at: usize| {
        Executor::start(&fleet, &record, &format!("i-{at}"), "temp-alarm", at as u8 + 1, Fleet::zone(at), 10)
    };
    let executors = [executor(0)?, executor(1)?, executor(2)?];
    await_ready(&fleet, &record)?;
    std::thread::sleep(Duration::from_millis(4000));

    let over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<_> = (0..3).map(|edge| fleet.front(edge)).collect();
    let press = |thread: u64| {
        let (fronts, record, over) = (fronts.clone(), Arc::clone(&record), Arc::clone(&over));
        std::thread::spawn(move || {
            let pause = Duration::from_micros(1_000_000 * THREADS / PER_S);
            let (mut sent, mut due): (Vec<Sent>, _) = (Vec::new(), Instant::now());
            while !over.load(Ordering::Relaxed) {
                let id = format!("h{thread}-{}", sent.len());
                let more = [
                    ("Authorization", format!("Bearer {KEY}")),
                    ("X-Idempotency-Key", format!("once-{id}")),
                ];
                let front = fronts[(thread as usize + sent.len()) % fronts.len()];
                sent.push(send_to(front, &record, &id, "/alarm/", &more));
                due += pause;
                match due.checked_duration_since(Instant::now()) {
                    Some(left) => std::thread::sleep(left),
                    None => due = Instant::now(),
                }
            }
            sent
        })
    };
    let clients: Vec<_> = (0..THREADS).map(press).collect();
    record.say(&format!("the tenant sends {PER_S} messages a second"));
    record.sleep_until(record.now() + 7000);
    if trouble {
        record.say("all machines with a disk are killed: three stores and three cores");
        for role in [Role::Store, Role::Core] {
            (0..3).for_each(|at| fleet.kill(role, at));
        }
        record.sleep_until(record.now() + DOWN_MS);
        for (role, at) in [(Role::Core, 1), (Role::Core, 2), (Role::Store, 0), (Role::Store, 1), (Role::Store, 2)] {
            fleet.start(role, at)?;
        }
        record.say("they are started again, but for core 1, which led");
        record.sleep_until(record.now() + LEADER_LATER_MS);
        fleet.start(Role::Core, 0)?;
        record.say("core 1 is started again");
    }
    record.sleep_until(record.now() + 12_000);
    over.store(true, Ordering::Relaxed);
    let sent: Vec<Sent> = clients.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect();
    record.sleep_until(record.now() + 2000);
    if let Some(fallen) = fleet.fallen() {
        return Err(fallen);
    }

    // The first run of each message; a repeat of the same message isn't counted.
    let sent_at: HashMap<&str, u64> = sent.iter().map(|sent| (sent.id.as_str(), sent.at)).collect();
    let mut first_run: HashMap<String, u64> = HashMap::new();
    for executor in &executors {
        for arrival in executor.arrivals.lock().unwrap().iter().filter(|arrival| arrival.has_run) {
            let at = first_run.entry(arrival.id.clone()).or_insert(arrival.at);
            *at = arrival.at.min(*at);
        }
    }
    let spans: Vec<(u64, u64)> = first_run.iter().filter_map(|(id, run)| Some((*sent_at.get(id.as_str())?, *run))).collect();
    // Both sent and run within one window.
    let count = |from: u64| spans.iter().filter(|(sent, run)| *sent >= from && *run < from + WINDOW_MS).count();
    let (most, from) = spans.iter().map(|(sent, _)| (count(*sent), *sent)).max().unwrap_or((0, 0));
    let limit = (RATE_PER_S * WINDOW_MS as f64 / 1000.0 + BURST) * (1.0 + OVERRUN) + SLACK;
    let status = |status: u16| sent.iter().filter(|sent| sent.status == status).count();
    record.say(&format!(
        "{} sent: {} times 202, {} times 429, {} times 503; {} run",
        sent.len(), status(202), status(429), status(503), spans.len()
    ));
    record.say(&format!("at most {most} were sent and run within {WINDOW_MS} ms, from {from} on; the limit is {limit}"));
    let is_broken = most as f64 > limit;
    record.say(if is_broken { "QUOTA is broken" } else { "QUOTA held" });
    Ok((is_broken, record.text()))
}
