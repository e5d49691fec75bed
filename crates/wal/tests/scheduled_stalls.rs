//! Tests of a log whose disk stalls according to a schedule file: either all writes wait for the end of the stall, or
//! only syncs.
#![cfg(feature = "stalled-disk")]

mod support;

use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use nix::time::{clock_gettime, ClockId};
use stileroute_wal::Options;
use support::{options, TemporaryFolder, TestLog};

const STALL_DURATION: Duration = Duration::from_secs(3);
/// Threshold between an append without a stall, which takes less time, and one that waits for a stall, which takes
/// longer.
const STALL_THRESHOLD: Duration = Duration::from_millis(1500);

struct ScheduledLog {
    log: TestLog,
    schedule: PathBuf,
    _folders: [TemporaryFolder; 2],
}

impl ScheduledLog {
    fn open() -> ScheduledLog {
        let folders = [TemporaryFolder::new(), TemporaryFolder::new()];
        fs::create_dir_all(&folders[0].0).unwrap();
        let schedule = folders[0].0.join("stalls");
        fs::write(&schedule, "").unwrap();
        let options = Options { stall_schedule: Some(schedule.clone()), ..options() };
        let (log, _) = TestLog::open(&folders[1].0, options);
        ScheduledLog { log, schedule, _folders: folders }
    }

    fn stall(&self, kind: &str) {
        let now = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC).unwrap()).as_millis();
        fs::write(&self.schedule, format!("{now} {} {kind}\n", now + STALL_DURATION.as_millis())).unwrap();
    }

    /// Appends a record, and returns the time from the call to its result.
    fn append(&mut self, record: &str, sync: bool) -> Duration {
        let started = Instant::now();
        self.log.append(&[record], sync).unwrap();
        started.elapsed()
    }
}

#[test]
fn an_append_waits_for_the_end_of_a_stall_of_writes() {
    let mut log = ScheduledLog::open();
    log.stall("writes");
    assert!(log.append("a=1", false) > STALL_THRESHOLD);
    assert!(log.append("b=1", false) < STALL_THRESHOLD, "the stall is over");
}

#[test]
fn when_only_syncs_stall_an_append_waits_only_if_it_is_synced() {
    let mut log = ScheduledLog::open();
    log.stall("syncs");
    assert!(log.append("a=1", false) < STALL_THRESHOLD);
    assert!(log.append("b=1", true) > STALL_THRESHOLD);
}
