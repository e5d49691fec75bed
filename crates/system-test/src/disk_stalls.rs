//! Stalls of the disks of stores: the file that a store's test build reads, and what is drawn from a seed.

use crate::dice::Dice;
use crate::fleet::Plain;
use nix::time::{clock_gettime, ClockId};
use std::fmt;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// The environment variable that names the file to a store built with the feature `stalled-disk`; any other build refuses it.
pub const SCHEDULE_VARIABLE: &str = "STILEROUTE_DISK_STALLS";

/// The shortest and the longest stall, in milliseconds.
const LENGTH_MS: (u64, u64) = (300, 3000);
/// Where all stores are killed the stall is at least so long, in milliseconds.
const LENGTH_BEFORE_KILL_MS: u64 = 2000;
/// Where all stores are killed the stall began at least so long before, in milliseconds.
const LEAD_BEFORE_KILL_MS: u64 = 1300;
/// A stall begins so long after the beginning of a step at the latest, in milliseconds.
const LATEST_MS: u64 = 1000;
/// Of so many stalls one holds syncs alone.
const ONE_OF_SYNCS_ALONE: usize = 4;

/// What a stall holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    Writes,
    Syncs,
}

impl Held {
    fn word(self) -> &'static str {
        match self {
            Held::Writes => "writes",
            Held::Syncs => "syncs",
        }
    }
}

/// One stall, before or during a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskStall {
    pub stores: Vec<usize>,
    pub held: Held,
    pub length_ms: u64,
    /// It begins so long before the step.
    pub lead_ms: u64,
    /// It begins so long after the beginning of the step; 0 where it begins before.
    pub delay_ms: u64,
}

impl DiskStall {
    /// Draws the stall of a step. A step that kills all stores kills them within a stall of all of them.
    pub fn draw(dice: &mut Dice, stores: &[usize], kills_all: bool) -> DiskStall {
        let held = if dice.below(ONE_OF_SYNCS_ALONE) == 0 { Held::Syncs } else { Held::Writes };
        let (shortest, longest) = LENGTH_MS;
        if kills_all {
            let length_ms = dice.between(LENGTH_BEFORE_KILL_MS, longest);
            let lead_ms = dice.between(LEAD_BEFORE_KILL_MS, length_ms);
            return DiskStall { stores: stores.to_vec(), held, length_ms, lead_ms, delay_ms: 0 };
        }
        let count = 1 + dice.below(stores.len());
        let first = dice.below(stores.len());
        let stores = stores.iter().cycle().skip(first).take(count).copied().collect();
        let length_ms = dice.between(shortest, longest);
        let begins = dice.between(0, length_ms + LATEST_MS);
        let (lead_ms, delay_ms) = (length_ms.saturating_sub(begins), begins.saturating_sub(length_ms));
        DiskStall { stores, held, length_ms, lead_ms, delay_ms }
    }

    /// What a store's file says of this stall, where it is counted from now on.
    fn line(&self) -> Plain<String> {
        let now = clock_gettime(ClockId::CLOCK_MONOTONIC).map_err(|e| format!("CLOCK_MONOTONIC: {e}"))?;
        let from = Duration::from(now).as_millis() as u64 + self.delay_ms;
        Ok(format!("{from} {} {}\n", from + self.length_ms, self.held.word()))
    }

    /// Writes the file of a store, in the place of what it said.
    pub fn write(&self, schedule: &Path) -> Plain<()> {
        replace(schedule, &self.line()?)
    }
}

impl fmt::Display for DiskStall {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let held = match self.held {
            Held::Writes => "writes and syncs",
            Held::Syncs => "syncs",
        };
        let stores: Vec<String> = self.stores.iter().map(|at| format!("store-{}", at + 1)).collect();
        write!(out, "disks of {} hold {held} for {} ms, ", stores.join(", "), self.length_ms)?;
        match self.delay_ms {
            0 => write!(out, "the next step begins in {} ms", self.lead_ms),
            delay_ms => write!(out, "from {delay_ms} ms on"),
        }
    }
}

/// A file without stalls.
pub fn write_none(schedule: &Path) -> Plain<()> {
    replace(schedule, "")
}

/// The reader finds the old text or the new one.
fn replace(schedule: &Path, text: &str) -> Plain<()> {
    let unfinished = schedule.with_extension("tmp");
    let replaced = fs::write(&unfinished, text).and_then(|()| fs::rename(&unfinished, schedule));
    replaced.map_err(|e| format!("{}: {e}", schedule.display()))
}

#[cfg(test)]
mod tests;
