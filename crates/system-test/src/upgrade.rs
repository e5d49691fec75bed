//! A fleet under load is upgraded machine by machine from an older program to this one, each on its data folder, and taken back
//! in part. Meanwhile both programs have to understand each other's frames, and each the other's records on disk.

use crate::fleet::{Plain, Role, EACH, NINE};
use crate::history::{Answered, History, Micros, SECOND};
use crate::judge::judge;
use crate::prove::{figures, lay_out, setup, tell_all, verdict};
use crate::recorder::Recorder;
use crate::scenarios::marker;
use crate::schedule::{Schedule, ACK, RECOVER};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Versions that are sent when five machines run the new program, when all do, after the rollback, and after a store was killed.
const HALF_UPGRADED: u64 = 20;
const ALL_UPGRADED: u64 = 21;
const ROLLED_BACK: u64 = 22;
const STORE_LOST: u64 = 23;

/// How long SIGTERM may take, as in the other schedules.
const ORDERLY_END: Micros = 6 * SECOND;
/// Between two machines: the one before is in touch with all others.
const BETWEEN_MACHINES_MS: u64 = 1500;
/// How many machines run the new program when half of them do: two control nodes, two stores, one edge.
const HALF: usize = 5;

/// Its role, and its place among those of that role.
type Machine = (Role, usize);

/// The two programs of a mixed fleet.
pub struct Programs {
    /// The older one, which the fleet starts with.
    pub landed: PathBuf,
    /// The one that it is upgraded to.
    pub current: PathBuf,
}

pub fn prove(programs: &Programs, net: Option<u8>, rate: u64, keep: bool) -> Plain<ExitCode> {
    if !programs.current.is_file() {
        return Err(format!("{}: no such program, build it first", programs.current.display()));
    }
    let home = crate::home()?;
    let recorder = Recorder::new(&home);
    let history = play(programs, &home, net, &recorder, rate)?;
    let breaches = judge(&history);
    println!("test-upgrade: {}", figures(&history, &recorder));
    if keep {
        println!("kept: {}", home.display());
        tell_all(&history, &recorder, &breaches);
    } else {
        let _ = std::fs::remove_dir_all(&home);
    }
    Ok(verdict(&breaches, recorder.busy()).exit_code())
}

fn play(
    programs: &Programs,
    home: &Path,
    net: Option<u8>,
    recorder: &Arc<Recorder>,
    rate: u64,
) -> Plain<History> {
    let fleet = lay_out(&programs.landed, home, net, NINE, 0)?;
    let mut running = setup(&fleet, rate).begin(fleet, recorder)?;
    let schedule = &mut running.schedule;
    schedule.sleep(1000);
    schedule.configurations();

    // One of each role after the other, so that each role is mixed for as long as may be.
    let machines: Vec<Machine> = (0..EACH).flat_map(|at| Role::ALL.map(|role| (role, at))).collect();
    let (first, second) = machines.split_at(HALF);
    schedule.restart_each_with(&programs.current, "new", first)?;
    schedule.change_and_read_back(HALF_UPGRADED, "half of the fleet is new");
    schedule.restart_each_with(&programs.current, "new", second)?;
    schedule.change_and_read_back(ALL_UPGRADED, "all of the fleet is new");

    let primary = schedule.primary()?;
    schedule.restart_each_with(&programs.landed, "old", &[(Role::Core, primary), (Role::Store, 0)])?;
    schedule.change_and_read_back(ROLLED_BACK, "the primary and a store went back");
    schedule.lose_store(1, false)?;
    schedule.change_and_read_back(STORE_LOST, "a store was killed");
    schedule.none_fallen();
    running.end_load();
    running.schedule.most_were_accepted();
    running.schedule.sleep(2000);
    Ok(running.end(&[0, 1, 2], Duration::from_secs(10)))
}

impl Schedule {
    /// Asks one machine after the other to end, and starts it with another program on its data folder.
    fn restart_each_with(&mut self, program: &Path, what: &str, machines: &[Machine]) -> Plain<()> {
        for (role, at) in machines.iter().copied() {
            let name = self.fleet.name(role, at);
            let took = self.fleet.stop(role, at).map(|took| took.as_micros() as Micros);
            self.take(&format!("the end of {name} after SIGTERM"), took, ORDERLY_END);
            self.fleet.set_program(role, at, program);
            self.fleet.start(role, at)?;
            let ms = took.map_or("never".to_string(), |us| format!("in {} ms", us / 1000));
            self.say(&format!("{name} ended {ms}, and is started with the {what} program"));
            self.until_in_touch(role, at);
            self.all_must_run()?;
        }
        Ok(())
    }

    /// A process that does not start on the folder of another program ends the proof: all that follows would only take long.
    fn all_must_run(&mut self) -> Plain<()> {
        match self.fleet.fallen() {
            Some(what) => {
                println!("NOT PROVED: {what}");
                Err(what)
            }
            None => Ok(()),
        }
    }

    /// The machine that was started does its part again.
    fn until_in_touch(&mut self, role: Role, at: usize) {
        let name = self.fleet.name(role, at);
        let started = self.recorder.now();
        match role {
            Role::Core => {
                self.round += 1;
                let read = self.operator.read_at(self.fleet.control(at), self.round, micros(ACK));
                self.answered(&format!("{name} reads the configuration back"), read.map(|_| true));
            }
            Role::Edge => {
                let taken = self.clients.until_taken("/alder/", at, micros(RECOVER));
                let took = taken.map(|at| at.saturating_sub(started));
                self.take(&format!("a message at {name} after its start"), took, RECOVER);
            }
            Role::Store => {}
        }
        let passed_ms = self.recorder.now().saturating_sub(started) / 1000;
        self.sleep(BETWEEN_MACHINES_MS.saturating_sub(passed_ms));
    }

    /// The mixed fleet did its work: most of the load was accepted. A disk that stalls has stores turn it away.
    fn most_were_accepted(&self) {
        let (accepted, all) = {
            let history = self.recorder.write();
            let accepted = history.sent.iter().filter(|sent| sent.answered == Answered::Status(202));
            (accepted.count(), history.sent.len())
        };
        let is_most = accepted * 2 > all;
        self.take("a fleet that accepts more than half of the messages", is_most.then_some(0), 0);
    }

    /// A change is acknowledged and in force at every edge, and every control node reads the same back.
    fn change_and_read_back(&mut self, number: u64, why: &str) {
        let acknowledged = self.change(number, marker(number), why);
        let read_back = self.agreed(why);
        if let (Some(_), Some(version)) = (acknowledged, read_back) {
            self.seen(&format!("version {number} is the one that all read back ({why})"), version == number);
        }
    }
}

fn micros(span: Micros) -> Duration {
    Duration::from_micros(span)
}
