//! Stalls of the disk that a test of real processes schedules. Without the feature `stalled-disk` nothing of this is compiled.
//!
//! The test writes a file with one stall a line, `FROM TO KIND`: two times of `CLOCK_MONOTONIC` in milliseconds, and `writes`
//! (all that changes the disk, syncs among it) or `syncs` (these alone). An operation that is about to begin within a stall
//! waits for its end. Reads never wait. A process that is killed meanwhile has not begun the operation.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

use crate::instrumentation::DiskAccess;

/// One line of the file.
struct Stall {
    from: Duration,
    to: Duration,
    syncs_alone: bool,
}

impl Stall {
    fn parse(line: &str) -> Option<Stall> {
        let mut words = line.split(' ');
        let mut time = || Some(Duration::from_millis(words.next()?.parse().ok()?));
        let (from, to) = (time()?, time()?);
        let syncs_alone = match words.next()? {
            "writes" => false,
            "syncs" => true,
            _ => return None,
        };
        Some(Stall { from, to, syncs_alone })
    }

    fn holds(&self, access: DiskAccess, now: Duration) -> bool {
        let is_meant = access == DiskAccess::Sync || !self.syncs_alone;
        is_meant && self.from <= now && now < self.to
    }
}

/// Waits until no stall of the file holds such an operation.
///
/// # Panics
///
/// Where the file can't be read or has another line: a test must not pass without the stalls that it asked for.
pub fn wait(schedule: &Path, access: DiskAccess) {
    loop {
        let now = monotonic_now();
        let ends = read(schedule).into_iter().filter(|stall| stall.holds(access, now)).map(|stall| stall.to);
        match ends.max() {
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
