//! Two stores lose their disks one after the other, the second later than `catch_up_s` after the first is back.
mod common;
use common::*;
use std::sync::{Arc, Mutex};
use std::thread;

/// Messages that wait (their delay is not over) when the first disk is lost, and the length of their bodies: the longest
/// of the site file's requests.
const MESSAGES: u64 = 4000;
const BODY_BYTES: usize = 7200;
const CLIENTS: u64 = 8;
/// So many are asked for before they are due.
const ASKED: usize = 300;
const DELAY: &str = "45000";

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::new(&record, 3, 3, 3);
    fleet.start_all();
    let text = configuration(7, &[route("grenzalarm", "/grenz/", "temp-alarm", 1500, 6, 120.0)], &[backend("temp-alarm", 0.0)], "");
    if configure(&fleet, &text, ms(15_000)).is_none() {
        cannot_run("no configuration was acknowledged");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let executors: Vec<_> = (0..3)
        .map(|n| {
            let work = Box::new(|_: &Executor, _: &str, _: &str, _: &[u8]| Reply::Done(ms(60)));
            Executor::start(&fleet, &format!("i-{n}"), "temp-alarm", fleet.outside(n, 8080), 3, &runs, work)
        })
        .collect();
    fleet.wait_ready(ms(15_000));
    thread::sleep(ms(3000));
    let fronts = fleet.fronts();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || {
                let mut accepted = Vec::new();
                for n in (client..MESSAGES).step_by(CLIENTS as usize) {
                    let body = body_of(n, BODY_BYTES);
                    let (id, path) = (format!("m{n}"), format!("/grenz/{n}"));
                    let tries = submit_until_accepted(&record, &fronts, &id, &path, &[("X-Delay-Ms", DELAY)], &body, 4);
                    accepted.extend(tries.into_iter().filter(|sent| sent.name.is_some()).map(|sent| (n, sent)));
                }
                accepted
            })
        })
        .collect();
    let accepted: Vec<(u64, Sent)> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    record.say(&format!("{} of {MESSAGES} messages of {BODY_BYTES} bytes accepted, due {DELAY} ms after they were sent", accepted.len()));
    thread::sleep(ms(5000));
    if trouble() {
        for store in [0, 1] {
            fleet.lose_disk(Role::Store, store, ms(1000));
            record.say(&format!("store {} lost its disk and is back with an empty one", store + 1));
            // It counts as lost for `catch_up_s` (4.2 s) after it is back; nothing else is lost meanwhile.
            thread::sleep(ms(6000));
        }
    } else {
        thread::sleep(ms(14_000));
    }
    // All machines run, and the last trouble is over `contact_ms` (4 s) ago.
    thread::sleep(ms(2000));
    let (mut unknown, mut without_body) = (0, 0);
    for (n, sent) in accepted.iter().step_by(accepted.len().div_ceil(ASKED).max(1)) {
        let name = sent.name.as_deref().unwrap();
        let state = ask(&fronts, "/v1/message/", name, &[], ms(4000));
        let body = ask(&fronts, "/v1/message-body/", name, &[], ms(4000));
        record.note(&format!("client: {} is asked for: state {} {}, body {} ({} bytes)", sent.id, state.status, state.text(), body.status, body.body.len()));
        unknown += u32::from(state.status == 404 || state.status == 410);
        without_body += u32::from(body.body != body_of(*n, BODY_BYTES));
    }
    record.say(&format!("of up to {ASKED} asked for before any is due: {unknown} states answered 404, {without_body} bodies did not come back"));
    let last_due = accepted.iter().map(|(_, sent)| sent.answered_at).fold(0.0, f64::max) + 45.0;
    while record.at() < last_due + 12.0 {
        thread::sleep(ms(200));
    }
    let run: Ids = runs.lock().unwrap().iter().filter(|run| run.outcome == "done").map(|run| run.id.clone()).collect();
    let never = accepted.iter().filter(|(_, sent)| !run.contains(&sent.id)).count();
    let ended = fleet.ended();
    record.say(&format!("after all were due: {never} accepted messages never ran; processes that ended by themselves: {ended:?}"));
    drop(executors);
    let broken = never > 0 || without_body > 0 || unknown > 0;
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    drop(fleet);
    std::process::exit(i32::from(broken));
}
