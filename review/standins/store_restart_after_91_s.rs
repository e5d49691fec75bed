//! LOST: a store that is killed and started again reports accepted messages as failed once they are 91.5 s old, whatever
//! `max_wait_s` says.

use crate::fleet::{Fleet, Role};
use crate::http::json_text;
use crate::parts::{ask, await_ready, configuration, configure, send, Executor, Record};

/// Of the route.
const MAX_WAIT_S: u64 = 600;
const DELAY_MS: u64 = 96_000;
const KILLED_AFTER_MS: u64 = 92_500;
const DOWN_MS: u64 = 500;
const MESSAGES: usize = 45;

pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let record = Record::new();
    let mut fleet = Fleet::lay_out()?;
    fleet.start_all()?;
    let route =
        format!("\"max_tries\":6,\"in_order\":false,\"max_wait_s\":{MAX_WAIT_S}.0,\"callback_url\":false");
    let service = [("temp-alarm", "\"rate_per_s\":0.0,\"endpoint\":null")];
    configure(&fleet, &record, &configuration(3, &[("/alarm/", "temp-alarm", &route)], &service))?;
    let executor = Executor::start(&fleet, &record, "i-1", "temp-alarm", 1, Fleet::zone(0), 20)?;
    await_ready(&fleet, &record)?;
    std::thread::sleep(std::time::Duration::from_millis(500));

    let delay = [("X-Delay-Ms", DELAY_MS.to_string())];
    let sent: Vec<_> =
        (0..MESSAGES).map(|n| send(&fleet, &record, n % 3, &format!("m{n}"), "/alarm/", &delay)).collect();
    let accepted: Vec<_> = sent.iter().filter(|sent| sent.status == 202).collect();
    let last_sent_at = record.now();
    record.say(&format!("{} of {MESSAGES} messages accepted, to be run after {DELAY_MS} ms", accepted.len()));
    if accepted.len() < MESSAGES / 2 {
        return Err("too few messages were accepted".into());
    }
    record.sleep_until(last_sent_at + KILLED_AFTER_MS);
    if trouble {
        record.say("store 2 is killed");
        fleet.kill(Role::Store, 1);
        record.sleep_until(record.now() + DOWN_MS);
        fleet.start(Role::Store, 1)?;
        record.say("store 2 is started again");
    }
    // All have been due for some seconds.
    record.sleep_until(last_sent_at + DELAY_MS + 5000);
    if let Some(fallen) = fleet.fallen() {
        return Err(fallen);
    }
    let (mut complete, mut failed, mut other) = (0, 0, 0);
    let mut lost = 0;
    for (number, message) in accepted.iter().enumerate() {
        let name = message.name.clone().unwrap_or_default();
        let (status, text) = ask(&fleet, &record, number % 3, "message", &name);
        let state = json_text(&text, "state").filter(|_| status == 200).unwrap_or_default();
        let has_run = executor.arrivals.lock().unwrap().iter().any(|arrival| arrival.id == message.id);
        let is_over = record.now() > message.at + MAX_WAIT_S * 1000;
        match state.as_str() {
            "complete" => complete += 1,
            "failed" => failed += 1,
            _ => other += 1,
        }
        // Not ended: no executor was ever given it, its route is there, and `max_wait_s` is not over.
        lost += u32::from(state == "failed" && !has_run && !is_over);
    }
    record.say(&format!("states: {complete} complete, {failed} failed, {other} other"));
    record.say(&format!("{lost} accepted messages are reported as failed that no executor was given, after {} of {MAX_WAIT_S} s", record.now() / 1000));
    let is_broken = lost > 0;
    record.say(if is_broken { "LOST is broken" } else { "LOST held" });
    Ok((is_broken, record.text()))
}
