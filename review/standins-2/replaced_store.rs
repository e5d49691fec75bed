//! A store machine is gone for good, silently, and an empty one at another address takes its place a second later. Once
//! the successor has had `catch_up_s`, another store loses its disk.
mod common;
use common::*;
use std::sync::{Arc, Mutex};
use std::thread;

const MESSAGES: u64 = 600;
const BODY_BYTES: usize = 1200;
const DELAY: &str = "40000";
/// From the start of the successor to the loss of the other disk; `catch_up_s` is 4.2 s.
const AFTER_SUCCESSOR: u64 = 4300;

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::new(&record, 3, 3, 3);
    fleet.start_all();
    let text = configuration(7, &[route("grenzalarm", "/grenz/", "temp-alarm", 1500, 6, 120.0)], &[backend("temp-alarm", 0.0)], "");
    if configure(&fleet, &text, ms(15_000)).is_none() {
        cannot_run("no configuration was acknowledged");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let _executors: Vec<_> = (0..3)
        .map(|n| {
            let work = Box::new(|_: &Executor, _: &str, _: &str, _: &[u8]| Reply::Done(ms(60)));
            Executor::start(&fleet, &format!("i-{n}"), "temp-alarm", fleet.outside(n, 8080), 3, &runs, work)
        })
        .collect();
    fleet.wait_ready(ms(15_000));
    thread::sleep(ms(3000));
    let fronts = fleet.fronts();
    let mut accepted = Vec::new();
    for n in 0..MESSAGES {
        let body = body_of(n, BODY_BYTES);
        let tries = submit_until_accepted(&record, &fronts, &format!("m{n}"), &format!("/grenz/{n}"), &[("X-Delay-Ms", DELAY)], &body, 4);
        accepted.extend(tries.into_iter().filter(|sent| sent.name.is_some()).map(|sent| (n, sent)));
    }
    record.say(&format!("{} of {MESSAGES} messages of {BODY_BYTES} bytes accepted, due {DELAY} ms after they were sent", accepted.len()));
    thread::sleep(ms(4000));
    if trouble() {
        // A machine without power says nothing: its process stands still and never goes on.
        fleet.signal(Role::Store, 0, SIGSTOP);
        record.say("store 1 is gone for good");
        thread::sleep(ms(1000));
        fleet.add(Role::Store, 3, false);
        fleet.start(Role::Store, 3);
        record.say("its successor starts, empty, at another address");
        thread::sleep(ms(AFTER_SUCCESSOR));
        fleet.lose_disk(Role::Store, 1, ms(1000));
        record.say("store 2 lost its disk and is back with an empty one");
    } else {
        thread::sleep(ms(6700));
    }
    thread::sleep(ms(12_000));
    let (mut unknown, mut without_body) = (0, 0);
    for (_, sent) in accepted.iter().step_by(2) {
        let name = sent.name.as_deref().unwrap();
        let state = ask(&fronts, "/v1/message/", name, &[], ms(3000));
        let body = ask(&fronts, "/v1/message-body/", name, &[], ms(3000));
        record.note(&format!("client: {} is asked for: state {} {}, body {} ({} bytes)", sent.id, state.status, state.text(), body.status, body.body.len()));
        unknown += u32::from(state.status == 404 || state.status == 410);
        without_body += u32::from(body.status == 404 || body.status == 410);
        if record.at() > 100.0 {
            break;
        }
    }
    record.say(&format!("of every second one, asked for: {unknown} states and {without_body} bodies answered 404"));
    let last_due = accepted.iter().map(|(_, sent)| sent.answered_at).fold(0.0, f64::max) + 40.0;
    while record.at() < last_due + 14.0 {
        thread::sleep(ms(200));
    }
    let run: Ids = runs.lock().unwrap().iter().filter(|run| run.outcome == "done").map(|run| run.id.clone()).collect();
    let never = accepted.iter().filter(|(_, sent)| !run.contains(&sent.id)).count();
    let ended = fleet.ended();
    record.say(&format!("after all were due: {never} accepted messages never ran; processes that ended by themselves: {ended:?}"));
    let broken = never > 0;
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    drop(fleet);
    std::process::exit(i32::from(broken));
}
