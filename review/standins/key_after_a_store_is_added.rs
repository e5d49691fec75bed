//! TWICE: 90 s after a store was added, it has forgotten the keys that the other stores had told it of.

use crate::fleet::Fleet;
use crate::parts::{await_ready, configuration, configure, send, Executor, Record, Sent};
use std::collections::HashMap;
use std::time::Duration;

const KEY_WINDOW_S: u64 = 110;
const MESSAGES: usize = 200;
const ADDED_AFTER_MS: u64 = 1000;
const AGAIN_AFTER_MS: u64 = 98_000;
const KEY: &str = "key-of-alpine";

pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let record = Record::new();
    let mut fleet = Fleet::lay_out()?;
    fleet.bounds += &format!(
        ",\"revoke_everywhere\":false,\"revoke_ms\":5000,\"key_window_s\":{KEY_WINDOW_S},\"quota_window_s\":5,\
         \"quota_overrun\":0.1,\"quota_slack\":20"
    );
    fleet.start_all()?;
    let route =
        "\"max_tries\":6,\"in_order\":false,\"max_wait_s\":90.0,\"callback_url\":false,\"public\":false";
    let service = [("temp-alarm", "\"rate_per_s\":0.0,\"endpoint\":null")];
    let body = configuration(3, &[("/alarm/", "temp-alarm", route)], &service);
    let customers = format!(
        "{{\"customers\":[{{\"name\":\"alpine\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":400.0,\"burst\":400.0}}],"
    );
    configure(&fleet, &record, &body.replacen('{', &customers, 1))?;
    let executor = Executor::start(&fleet, &record, "i-1", "temp-alarm", 1, Fleet::zone(0), 10)?;
    await_ready(&fleet, &record)?;
    std::thread::sleep(Duration::from_millis(3000));

    // Both tries of one number carry one key, and each an id of its own.
    let send_all = |fleet: &Fleet, which: &str| -> Vec<Sent> {
        let one = |number: usize| {
            let more = [
                ("Authorization", format!("Bearer {KEY}")),
                ("X-Idempotency-Key", format!("alarm-{number}")),
            ];
            send(fleet, &record, number % 3, &format!("{which}-{number}"), "/alarm/", &more)
        };
        (0..MESSAGES).map(one).collect()
    };
    let first_sent_at = record.now();
    let first = send_all(&fleet, "first");
    record.say(&format!(
        "{} of {MESSAGES} keys accepted",
        first.iter().filter(|sent| sent.status == 202).count()
    ));
    record.sleep_until(first_sent_at + ADDED_AFTER_MS);
    if trouble {
        fleet.add_store()?;
        record.say("a fourth store is added");
    }
    record.sleep_until(first_sent_at + AGAIN_AFTER_MS);
    let second = send_all(&fleet, "second");
    record.say(&format!(
        "all keys are sent again {} to {} ms after the first try: {} times 202",
        second.first().map_or(0, |sent| sent.at - first_sent_at),
        record.now() - first_sent_at,
        second.iter().filter(|sent| sent.status == 202).count()
    ));
    record.sleep_until(record.now() + 2000);
    if let Some(fallen) = fleet.fallen() {
        return Err(fallen);
    }
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for arrival in executor.arrivals.lock().unwrap().iter().filter(|arrival| arrival.has_run) {
        let number = arrival.id.rsplit('-').next().unwrap_or_default().to_string();
        let ids = runs.entry(number).or_default();
        if !ids.contains(&arrival.id) {
            ids.push(arrival.id.clone());
        }
    }
    let is_within = |number: usize| second[number].at < first[number].at + KEY_WINDOW_S * 1000;
    let twice = (0..first.len())
        .filter(|n| is_within(*n) && runs.get(&n.to_string()).is_some_and(|ids| ids.len() > 1));
    let twice = twice.count();
    record
        .say(&format!("{twice} of {} keys ran twice within {KEY_WINDOW_S} s, as two requests", first.len()));
    let is_broken = twice > 0;
    record.say(if is_broken { "TWICE is broken" } else { "TWICE held" });
    Ok((is_broken, record.text()))
}
