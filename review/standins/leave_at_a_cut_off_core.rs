//! DRAIN: an executor's leave is acknowledged by a core machine that has just been cut off, and nobody else learns of it.

use crate::fleet::Fleet;
use crate::parts::{await_ready, configuration, configure, press, Executor, Record, Sent};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const DRAIN_MS: u64 = 3000;
const CONTACT_MS: u64 = 4000;
/// `for_s` of `core_cut` in the site file vskm-route-control.
const CUT_MS: u64 = 5500;
/// The leave is sent so long after the cut.
const LEAVE_AFTER_MS: u64 = 700;
/// Times are read a little before and after what they stand for.
const READING_MS: u64 = 50;

pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let record = Record::new();
    let mut fleet = Fleet::lay_out()?;
    let cut = fleet.put_last_core_behind_proxy()?;
    fleet.start_all()?;
    let route = [(
        "/alarm/",
        "temp-alarm",
        "\"max_tries\":6,\"in_order\":false,\"max_wait_s\":90.0,\"callback_url\":false",
    )];
    let service = [("temp-alarm", "\"rate_per_s\":0.0,\"endpoint\":null")];
    configure(&fleet, &record, &configuration(3, &route, &service))?;
    let executor = |at: usize| {
        let id = format!("i-{}", Fleet::zone(at));
        Executor::start(&fleet, &record, &id, "temp-alarm", at as u8 + 1, Fleet::zone(at), 30)
    };
    let executors = [executor(0)?, executor(1)?, executor(2)?];
    await_ready(&fleet, &record)?;
    std::thread::sleep(std::time::Duration::from_millis(5000));
    let over = Arc::new(AtomicBool::new(false));
    let clients = press(&fleet, &record, "/alarm/", 90, &over);
    record.sleep_until(record.now() + 5000);

    let leaving = &executors[2];
    let beats_to = leaving.beats_to();
    if beats_to != Some(fleet.control(2)) {
        return Err(format!("the beats of {} go to {beats_to:?}", leaving.id));
    }
    let cut_at = record.now();
    if trouble {
        cut.store(true, Ordering::Relaxed);
        record.say("core 3 is cut off from all machines of the system");
    }
    record.sleep_until(cut_at + LEAVE_AFTER_MS);
    let (by, acked_at) = leaving.leave().ok_or("nobody acknowledges the leave")?;
    record.say(&format!("the leave of {} is acknowledged by {by}", leaving.id));
    record.sleep_until(cut_at + CUT_MS);
    let healed_at = record.now();
    cut.store(false, Ordering::Relaxed);
    record.say("the cut ends, if there was one");
    record.sleep_until(healed_at + 2000);
    over.store(true, Ordering::Relaxed);
    let sent: Vec<Sent> = clients.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect();
    if let Some(fallen) = fleet.fallen() {
        return Err(fallen);
    }

    // In touch: `contact_ms` have passed since the cut, and the cut has not ended yet. Without a cut all are in touch.
    let calm_from = if trouble { cut_at + CONTACT_MS + READING_MS } else { 0 };
    let calm_until = if trouble { healed_at } else { u64::MAX };
    let sent_at: HashMap<&str, u64> = sent.iter().map(|sent| (sent.id.as_str(), sent.at)).collect();
    let arrivals = leaving.arrivals.lock().unwrap().clone();
    let late: Vec<_> =
        arrivals.iter().filter(|a| a.has_run && a.at > acked_at + DRAIN_MS + READING_MS).collect();
    let counted =
        |at: u64, id: &str| at < calm_until && sent_at.get(id).is_some_and(|sent| *sent >= calm_from);
    let broken: Vec<_> = late.iter().filter(|a| counted(a.at, &a.id)).collect();
    record.say(&format!(
        "{} messages sent, {} accepted; {} reached {} over {DRAIN_MS} ms after its leave was acknowledged, {} of them \
         sent and delivered while the machines were in touch, the last {} ms after the acknowledgement",
        sent.len(),
        sent.iter().filter(|sent| sent.status == 202).count(),
        late.len(),
        leaving.id,
        broken.len(),
        late.iter().map(|a| a.at - acked_at).max().unwrap_or(0),
    ));
    let is_broken = !broken.is_empty();
    record.say(if is_broken { "DRAIN is broken" } else { "DRAIN held" });
    Ok((is_broken, record.text()))
}
