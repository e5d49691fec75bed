//! Machines that are replaced for good, and another that is lost as soon as the new one counts.

use crate::client::Plan;
use crate::control::Numbers;
use crate::fleet::{Plain, Role};
use crate::history::{History, Micros, SECOND};
use crate::large_fleet;
use crate::schedule::Schedule;
use crate::setup::Running;
use std::time::Duration;

/// A new machine counts again so long after its start.
const CATCH_UP: Micros = SECOND * 42 / 10;
/// Copies of a lost store are written off, looked at and sent anew by then.
const REPAIRED: Micros = 12 * SECOND;
/// From the start of a new control node to the order that ends the old one: it is gone just before the new one counts.
const HANDOVER_MS: u64 = 3_000;
const WAITING: u64 = 160;

pub fn play(mut running: Running, numbers: &Numbers) -> Plain<History> {
    let schedule = &mut running.schedule;
    schedule.sleep(1000);
    schedule.replace_lost_core(3, numbers)?;
    schedule.replace_core_in_order(4, numbers)?;
    schedule.replace_store(3)?;
    running.schedule.sleep(4500);
    running.end_load();
    running.schedule.sleep(2500);
    Ok(running.end(&[0, 1, 2], Duration::from_secs(12)))
}

impl Schedule {
    /// The old one is gone first.
    fn replace_lost_core(&mut self, new: usize, numbers: &Numbers) -> Plain<()> {
        let primary = self.primary()?;
        let gone = self.fleet.here(Role::Core).into_iter().find(|at| *at != primary).unwrap_or(0);
        let from = self.recorder.now();
        self.fleet.take_away(Role::Core, gone)?;
        self.say(&format!("core-{} is lost with its disk, and never comes back", gone + 1));
        self.sleep(300);
        let started = self.recorder.now();
        self.add(Role::Core, new)?;
        self.trouble(from);
        self.lose_primary_when_new_counts(
            started,
            "a control node is replaced, then the primary lost",
            numbers,
        )
    }

    /// The new one comes first; the old one, which leads, is asked to end.
    fn replace_core_in_order(&mut self, new: usize, numbers: &Numbers) -> Plain<()> {
        let old = self.primary()?;
        let started = self.recorder.now();
        self.add(Role::Core, new)?;
        self.sleep(HANDOVER_MS);
        let took = self.fleet.stop(Role::Core, old).map(|took| took.as_micros() as Micros);
        self.take("the end of a control node that is replaced", took, 6 * SECOND);
        self.fleet.take_away(Role::Core, old)?;
        self.say(&format!("core-{}, which led, has ended in order, and never comes back", old + 1));
        self.lose_primary_when_new_counts(
            started,
            "a control node is replaced in order, then the primary lost",
            numbers,
        )
    }

    fn lose_primary_when_new_counts(&mut self, started: Micros, why: &str, numbers: &Numbers) -> Plain<()> {
        self.sleep((started + CATCH_UP).saturating_sub(self.recorder.now()) / 1000);
        let primary = self.primary()?;
        let from = self.recorder.now();
        self.fleet.kill(Role::Core, primary);
        self.say(&format!("core-{}, which leads, is killed", primary + 1));
        let acked = self.change_acknowledged(why, numbers);
        let ms = acked.map_or("never".to_string(), |us| format!("after {} ms", us / 1000));
        self.say(&format!("a change is acknowledged {ms}"));
        self.fleet.start(Role::Core, primary)?;
        self.trouble(from);
        self.sleep(CATCH_UP / 1000);
        self.agreed(why);
        Ok(())
    }

    /// A store is lost for good and replaced; once its copies are made anew another loses its disk.
    fn replace_store(&mut self, new: usize) -> Plain<()> {
        let plan = Plan { delay_ms: 16_000, ..Plan::to("/alder/") };
        self.clients.burst(&plan, 0, WAITING);
        self.sleep(1000);
        let from = self.recorder.now();
        self.fleet.take_away(Role::Store, 1)?;
        self.say("store-2 is lost with its disk, and never comes back");
        self.sleep(300);
        let started = self.recorder.now();
        self.add(Role::Store, new)?;
        self.trouble(from);
        self.sleep(CATCH_UP / 1000);
        let took = self.repaired(from);
        self.take("until every message had its copies again after a store was replaced", took, REPAIRED);
        let ms = took.map_or("never".to_string(), |us| format!("after {} ms", us / 1000));
        self.say(&format!("every message has its copies again {ms}"));
        self.sleep((started + CATCH_UP).saturating_sub(self.recorder.now()) / 1000);

        let from = self.recorder.now();
        self.fleet.kill(Role::Store, 0);
        self.fleet.wipe(Role::Store, 0)?;
        self.say("store-1 is killed, its disk is lost");
        self.sleep(1500);
        self.fleet.start(Role::Store, 0)?;
        self.trouble(from);
        Ok(())
    }

    /// How long after a loss no store that runs had a message or an end on too few disks, and that held for a second.
    pub fn repaired(&self, from: Micros) -> Option<Micros> {
        let mut since = None;
        while self.recorder.now() < from + 2 * REPAIRED {
            let now = self.recorder.now();
            let counted = large_fleet::count(&self.fleet, &[]);
            let whole = counted.silent == 0 && counted.thin == 0.0 && counted.thin_ends == 0.0;
            since = if whole { since.or(Some(now)) } else { None };
            if since.is_some_and(|since| now >= since + SECOND) {
                return since.map(|since| since - from);
            }
            self.sleep(100);
        }
        None
    }
}
