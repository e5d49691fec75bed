//! Disks of stores that are lost one after another, in an order drawn from a seed, with restarts, replacements and retirements
//! between them. Each loss alone is tolerated and is repaired before the next; at the end all that was accepted is asked for.

use crate::client::Plan;
use crate::control::setup;
use crate::dice::Dice;
use crate::disk_stalls::DiskStall;
use crate::fleet::{Plain, Role, NINE};
use crate::history::{History, Micros, SECOND};
use crate::judge::judge;
use crate::message;
use crate::prove::{figures, lay_out, tell_all, verdict, Verdict, SIDE_BY_SIDE};
use crate::recorder::Recorder;
use crate::schedule::Schedule;
use crate::setup::{Running, Setup};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A machine that is back counts as present after so long.
const CATCH_UP: Micros = SECOND * 42 / 10;
/// What a lost store held is on enough disks again by then.
const REPAIRED: Micros = 12 * SECOND;
/// Messages whose delay outlasts the whole series: they wait on disk through each loss.
const WAITING: u64 = 160;
/// Between the faults of one step, or two steps that overlap, in milliseconds: at most so long.
const MAX_PAUSE_MS: u64 = 1200;

/// A store that is silent beside a lost disk is so at least this long after the other one was started again, in milliseconds.
const SILENCE_MS: u64 = 1000;

/// Breaches that are printed of each seed, unless all are asked for.
const SHOWN_BREACHES: usize = 5;

/// What the soak plays.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Soak {
    /// The first seed; each seed is a fleet and a series of its own.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How many fleets of nine processes run side by side.
    #[arg(long, default_value_t = 1)]
    jobs: u64,
    /// Faults in each series.
    #[arg(long, default_value_t = 5)]
    faults: usize,
    /// Each message has an idempotency key, and some are sent again with it at other edges.
    #[arg(long)]
    keys: bool,
    /// Disks of stores stall before and during the steps, which stay the same; needs a program with the feature `stalled-disk`.
    #[arg(long)]
    stalls: bool,
}

/// One step of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// A store is killed, and is back with an empty disk.
    DiskLost,
    /// A store is lost for good, and an empty one takes its place.
    Replaced,
    /// A store is emptied and taken away in order, and an empty one takes its place.
    Retired,
    /// All stores are killed, and are back with their disks.
    AllKilled,
    /// A store is asked to end, and is started again; SIGHUPs strike another one meanwhile.
    Restarted,
    /// A store loses its disk, and another one is not heard when it is back.
    DiskLostBesideSilence,
}

/// Why a store is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// Its process is killed.
    Killed,
    /// Its process stands still.
    Frozen,
    /// It is cut off from the other stores.
    CutOff,
}

const SILENCES: [Silence; 3] = [Silence::Killed, Silence::Frozen, Silence::CutOff];

/// Half of the steps lose a disk: the others are what happens between two losses.
const STEPS: [Step; 8] = [
    Step::DiskLost,
    Step::DiskLost,
    Step::DiskLost,
    Step::DiskLost,
    Step::Replaced,
    Step::Retired,
    Step::AllKilled,
    Step::Restarted,
];

/// Where messages have idempotency keys, what these are known by has to outlast a second store that is away: so many steps more.
const STEPS_BESIDE_SILENCE: usize = 3;

fn steps(has_keys: bool) -> Vec<Step> {
    let beside_silence = if has_keys { STEPS_BESIDE_SILENCE } else { 0 };
    [Step::DiskLostBesideSilence].repeat(beside_silence).into_iter().chain(STEPS).collect()
}

impl Dice {
    fn pause_ms(&mut self) -> u64 {
        self.below(MAX_PAUSE_MS as usize) as u64
    }
}

/// Plays the series of each seed, and judges what clients saw.
///
/// # Errors
///
/// Where a fleet could not be started.
pub fn prove(program: &Path, net: Option<u8>, keep: bool, soak: Soak) -> Plain<ExitCode> {
    let home = crate::home()?;
    let mut verdicts = Vec::new();
    let mut seeds = (soak.seed..soak.seed + soak.seeds).peekable();
    while seeds.peek().is_some() {
        let batch: Vec<u64> =
            seeds.by_ref().take(soak.jobs.clamp(1, u64::from(SIDE_BY_SIDE)) as usize).collect();
        let played: Vec<Plain<Verdict>> = std::thread::scope(|scope| {
            let begin = |seed: &u64| {
                // The stand-ins of a fleet listen until the program ends: the next fleets get addresses of their own.
                let place = (*seed - soak.seed) as u8;
                let Soak { faults, keys, stalls, .. } = soak;
                let series = Series { seed: *seed, place, faults, keys, stalls, keep };
                let home = home.join(format!("seed-{seed}"));
                scope.spawn(move || series.prove(program, &home, net))
            };
            let begun: Vec<_> = batch.iter().map(begin).collect();
            let panicked = || Err("a series ended by a panic".to_string());
            begun.into_iter().map(|thread| thread.join().unwrap_or_else(|_| panicked())).collect()
        });
        for played in played {
            verdicts.push(played?);
        }
    }
    if keep {
        println!("kept: {}", home.display());
    } else {
        let _ = std::fs::remove_dir_all(&home);
    }
    Ok(summarize(&verdicts))
}

/// Prints how many seeds came to which verdict. A seed that is not proved fails the proof.
fn summarize(verdicts: &[Verdict]) -> ExitCode {
    let count = |wanted: Verdict| verdicts.iter().filter(|verdict| **verdict == wanted).count();
    let (not_proved, missing) = (count(Verdict::NotProved), count(Verdict::Missing));
    println!(
        "test-losses: {} seeds played, {} proved, {not_proved} not proved, {missing} without a verdict",
        verdicts.len(),
        count(Verdict::Proved)
    );
    if not_proved > 0 {
        return Verdict::NotProved.exit_code();
    }
    if missing > 0 {
        return Verdict::Missing.exit_code();
    }
    Verdict::Proved.exit_code()
}

/// The series of one seed, on a fleet of its own.
struct Series {
    seed: u64,
    /// Which of the fleets of this run.
    place: u8,
    faults: usize,
    keys: bool,
    stalls: bool,
    keep: bool,
}

impl Series {
    fn prove(&self, program: &Path, home: &Path, net: Option<u8>) -> Plain<Verdict> {
        std::fs::create_dir_all(home).map_err(|e| format!("{}: {e}", home.display()))?;
        let mut fleet = lay_out(program, home, net, NINE, self.place)?;
        fleet.has_disk_stalls = self.stalls;
        let recorder = Recorder::new(home);
        let setup = Setup { has_keys: self.keys, ..setup(format!("seed {:<4}    ", self.seed)) };
        let running = setup.begin(fleet, &recorder)?;
        let history = play(running, self.seed, self.faults, &steps(self.keys), self.stalls)?;
        let breaches = judge(&history);
        println!("test-losses, seed {}: {}", self.seed, figures(&history, &recorder));
        if self.keep {
            tell_all(&history, &recorder, &breaches);
        } else {
            breaches.iter().take(SHOWN_BREACHES).for_each(|breach| println!("  {breach}"));
        }
        Ok(verdict(&breaches, recorder.busy()))
    }
}

fn play(mut running: Running, seed: u64, faults: usize, steps: &[Step], has_stalls: bool) -> Plain<History> {
    let mut dice = Dice::new(seed);
    // Numbers of their own: the steps are the same with stalls and without.
    let mut stall_dice = Dice::new(message::mix(seed));
    running.schedule.sleep(500);
    if running.schedule.clients.has_keys.load(Ordering::Relaxed) {
        running.keep_retrying();
    }
    let schedule = &mut running.schedule;
    let waiting_ms = 6_000 * faults as u64;
    schedule.clients.burst(&Plan { delay_ms: waiting_ms, ..Plan::to("/alder/") }, 0, WAITING);
    schedule.sleep(1500);
    for _ in 0..faults {
        let step = steps[dice.below(steps.len())];
        if has_stalls {
            schedule.stall_disks(step, &mut stall_dice)?;
        }
        schedule.strike(step, &mut dice)?;
    }
    running.schedule.sleep(3000);
    running.end_load();
    running.schedule.sleep(2500);
    Ok(running.end(&[0, 1, 2], Duration::from_secs(12)))
}

impl Schedule {
    fn strike(&mut self, step: Step, dice: &mut Dice) -> Plain<()> {
        let stores = self.fleet.here(Role::Store);
        let store = stores[dice.below(stores.len())];
        let others: Vec<usize> = stores.iter().copied().filter(|other| *other != store).collect();
        let other = others[dice.below(others.len())];
        let new = self.fleet.count(Role::Store);
        let from = self.recorder.now();
        let name = self.fleet.name(Role::Store, store);
        match step {
            Step::DiskLost => {
                self.fleet.kill(Role::Store, store);
                self.fleet.wipe(Role::Store, store)?;
                self.say(&format!("{name} is killed, its disk is lost"));
                self.sleep(200 + dice.pause_ms());
                self.fleet.start(Role::Store, store)?;
                self.trouble(from);
            }
            Step::Replaced => {
                self.fleet.take_away(Role::Store, store)?;
                self.say(&format!("{name} is lost with its disk, and never comes back"));
                self.sleep(200 + dice.pause_ms());
                self.add(Role::Store, new)?;
                self.trouble(from);
            }
            Step::Retired => {
                let said = self.begin_retiring(&name);
                self.answered(&format!("{name} is to be emptied"), said.map(|status| status == 200));
                self.emptied(store)?;
                self.sleep(dice.pause_ms());
                self.add(Role::Store, new)?;
            }
            Step::AllKilled => {
                stores.iter().for_each(|at| self.fleet.kill(Role::Store, *at));
                self.say("all stores are killed");
                self.sleep(200 + dice.pause_ms());
                for at in &stores {
                    self.fleet.start(Role::Store, *at)?;
                }
                self.trouble(from);
            }
            Step::Restarted => {
                self.fleet.hang_up(Role::Store, other);
                self.orderly(Role::Store, store, &name)?;
                self.fleet.hang_up(Role::Store, other);
            }
            Step::DiskLostBesideSilence => {
                let silence = SILENCES[dice.below(SILENCES.len())];
                let is_silent_first = dice.below(2) == 0;
                if is_silent_first {
                    self.silence(other, silence);
                    self.sleep(dice.pause_ms());
                }
                self.fleet.kill(Role::Store, store);
                self.fleet.wipe(Role::Store, store)?;
                self.say(&format!("{name} is killed, its disk is lost; another one: {silence:?}"));
                self.sleep(200 + dice.pause_ms());
                if !is_silent_first {
                    self.silence(other, silence);
                }
                self.fleet.start(Role::Store, store)?;
                self.sleep(SILENCE_MS + dice.pause_ms());
                self.end_silence(other, silence)?;
                self.trouble(from);
            }
        }
        self.wait_for_repair(from, &format!("{step:?}"));
        Ok(())
    }

    /// The disks of some stores, or of all, stall from now or soon on; returns when the step is to begin.
    fn stall_disks(&mut self, step: Step, dice: &mut Dice) -> Plain<()> {
        let stall = DiskStall::draw(dice, &self.fleet.here(Role::Store), step == Step::AllKilled);
        self.fleet.stall_disks(&stall)?;
        self.say(&stall.to_string());
        self.sleep(stall.lead_ms);
        Ok(())
    }

    /// A store is not heard from now on.
    fn silence(&mut self, store: usize, silence: Silence) {
        match silence {
            Silence::Killed => self.fleet.kill(Role::Store, store),
            Silence::Frozen => self.fleet.stall(Role::Store, store, true),
            Silence::CutOff => self.fleet.cut(Role::Store, store, &[Role::Store], true),
        }
    }

    /// The store is heard again, with all that it had on its disk.
    fn end_silence(&mut self, store: usize, silence: Silence) -> Plain<()> {
        match silence {
            Silence::Killed => self.fleet.start(Role::Store, store)?,
            Silence::Frozen => self.fleet.stall(Role::Store, store, false),
            Silence::CutOff => self.fleet.cut(Role::Store, store, &[Role::Store], false),
        }
        Ok(())
    }

    /// The next loss is tolerated once the machine counts again and every store says that nothing lies on too few disks.
    fn wait_for_repair(&mut self, from: Micros, what: &str) {
        self.sleep(CATCH_UP / 1000);
        let took = self.repaired(from);
        self.take(&format!("until nothing lay on too few disks ({what})"), took, REPAIRED);
        let ms = took.map_or("never".to_string(), |us| format!("after {} ms", us / 1000));
        self.say(&format!("nothing lies on too few disks {ms}"));
    }
}
