//! Disk stalls that are scheduled by tests which run real processes. Without the feature `stalled-disk`, nothing of
//! this module is compiled.
//!
//! The test writes a file with one stall per line, `FROM TO KIND`: two times of `CLOCK_MONOTONIC` in milliseconds, and
//! either `writes` (all operations that change the disk, including syncs) or `syncs` (only syncs). An operation that
//! would start during a stall waits until the stall ends. Reads never wait. If the process is killed during the wait,
//! the operation has not started.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

use crate::instrumentation::DiskAccess;

/// One stall, which is one line of the schedule file.
struct Stall {
    from: Duration,
    to: Duration,
    syncs_only: bool,
}

impl Stall {
    fn parse(line: &str) -> Option<Stall> {
        let mut words = line.split(' ');
        let mut time = || Some(Duration::from_millis(words.next()?.parse().ok()?));
        let (from, to) = (time()?, time()?);
        let syncs_only = match words.next()? {
            "writes" => false,
            "syncs" => true,
            _ => return None,
        };
        Some(Stall { from, to, syncs_only })
    }

    fn delays(&self, access: DiskAccess, now: Duration) -> bool {
        let affects_access = access == DiskAccess::Sync || !self.syncs_only;
        affects_access && self.from <= now && now < self.to
    }
}

/// Waits until no stall in the schedule file delays an operation of the given kind.
///
/// # Panics
///
/// If the schedule file can't be read or has a line that can't be parsed, because a test must not pass without the
/// stalls that it requested.
pub fn wait(schedule: &Path, access: DiskAccess) {
    loop {
        let now = monotonic_now();
        let end_times =
            read(schedule).into_iter().filter(|stall| stall.delays(access, now)).map(|stall| stall.to);
        match end_times.max() {
            Some(end) => thread::sleep(end - now),
            None => return,
        }
    }
}

fn read(schedule: &Path) -> Vec<Stall> {
    let text = fs::read_to_string(schedule).unwrap_or_else(|error| panic!("{}: {error}", schedule.display()));
    let parse = |line: &str| Stall::parse(line).unwrap_or_else(|| panic!("{}: {line:?}", schedule.display()));
    text.lines().map(parse).collect()
}

fn monotonic_now() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC)
        .map_or_else(|error| panic!("CLOCK_MONOTONIC: {error}"), Duration::from)
}
