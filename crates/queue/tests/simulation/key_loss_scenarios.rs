//! Scenarios in which stores lose their disks while another store does not answer, and clients resubmit keys that
//! were accepted before.

use super::*;

/// Number of keys that are resubmitted after the loss.
const KEYS: u64 = 40;
/// When the keys are first submitted: the shards are divided by then.
const BEGIN_MS: u64 = 4000;
/// When the disks are lost: messages without a delay have ended, and the replicas know their ends.
pub const LOSS_MS: u64 = 6500;
/// Time between the loss and the first resubmission, and between two resubmissions.
const FIRST_RESUBMISSION_MS: u64 = 50;
const RESUBMISSION_INTERVAL_MS: u64 = 130;
/// Number of resubmissions of each key.
const RESUBMISSIONS: u64 = 46;
/// Time after the loss at which a message is due that waits when the disks are lost.
const DUE_AFTER_LOSS_MS: u64 = 3000;
/// How long links are cut, a store is cut off, or its disk is slow.
const SILENCE_MS: u64 = 7000;
/// Duration of a sync of a slow disk: longer than a claim may take.
const SLOW_SYNC_MS: u64 = 900;
/// Time after the loss by which everything is repaired and all waiting messages have run.
const SETTLED_AFTER_MS: u64 = 24_000;

/// Time after the first loss by which the window of all keys on the lost disks is over.
const AFTER_WINDOW_MS: u64 = 80_000;
/// The key that is submitted then.
const KEY_AFTER_WINDOW: &str = "after-the-window";

/// Why a store does not answer while others have lost their disks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Silence {
    /// Every store answers.
    None,
    /// The process is killed and returns after 0.7 s.
    Killed,
    /// The process is killed and returns after 7 s.
    KilledLong,
    /// The machine is without power for 1.5 s.
    WithoutPower,
    /// The process is frozen for 4 s.
    Frozen,
    /// The link between the store and one that has lost its disk is cut.
    CutFromLost,
    /// The link between the store and one that has kept its disk is cut.
    CutFromKept,
    /// The store is cut off from all others and from the control nodes.
    Isolated,
    /// The store has just restarted and has reached no other store since.
    UnconnectedSinceStart,
    /// A sync of the store's disk takes longer than a claim may take.
    Slow,
}

impl Silence {
    /// All variants except [`Silence::None`].
    pub const ALL: [Silence; 9] = [
        Silence::Killed,
        Silence::KilledLong,
        Silence::WithoutPower,
        Silence::Frozen,
        Silence::CutFromLost,
        Silence::CutFromKept,
        Silence::Isolated,
        Silence::UnconnectedSinceStart,
        Silence::Slow,
    ];
}

/// State of the keys' messages when the disks are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyState {
    /// The messages have run, and their ends are known.
    Ended,
    /// The messages wait until they are due.
    Waiting,
    /// The messages are being written to the disks.
    Persisting,
}

/// One scenario: which disks are lost at once, and which store does not answer, why, and from when on.
#[derive(Clone, Debug)]
pub struct LossScenario {
    /// Number of stores.
    pub stores: usize,
    /// Number of losses that are tolerated at once.
    pub replicas: usize,
    /// The stores that lose their disks.
    pub lost: Vec<usize>,
    /// The store that does not answer.
    pub silent: usize,
    /// Why the store does not answer.
    pub silence: Silence,
    /// When the store stops answering, in milliseconds after the loss.
    pub silent_after_ms: i64,
    /// State of the messages at the loss.
    pub key_state: KeyState,
}

impl LossScenario {
    /// Runs the scenario and checks that no key runs twice and that no accepted key is lost.
    pub fn play(&self, prepare: &Prepare) {
        self.play_with(StoreBounds::default(), &[], prepare);
    }

    /// Runs the scenario with further actions, each at its time in milliseconds after the loss, on two sites: one on
    /// which ends are copied while the lost store is away, and one on which they are not.
    fn play_on_both_sites(&self, further: &[(u64, Action)], prepare: &Prepare) {
        for catch_up_ms in [DEFAULT_CATCH_UP_MS, LONG_CATCH_UP_MS] {
            self.play_with(StoreBounds::with_catch_up(catch_up_ms), further, prepare);
        }
    }

    /// Runs the scenario with further actions, each at its time in milliseconds after the loss.
    fn play_with(&self, bounds: StoreBounds, further: &[(u64, Action)], prepare: &Prepare) {
        let seed = 1 + self.silent_after_ms.unsigned_abs();
        let mut world = Simulation::with_bounds(self.stores, self.replicas, seed, bounds);
        world.prepare(prepare);
        world.act(200, Action::Configure("quota"));
        self.send_first_submissions(&mut world);
        self.send_resubmissions(&mut world);
        for store in &self.lost {
            world.act(LOSS_MS, Action::Inject(*store, Fault::DiskLoss));
        }
        self.silence(&mut world);
        for (after_ms, action) in further {
            world.act(LOSS_MS + after_ms, action.clone());
        }
        world.run(LOSS_MS + SETTLED_AFTER_MS);
        world.check_keys(true);
    }

    fn send_first_submissions(&self, world: &mut Simulation) {
        for n in 0..KEYS {
            let (at, delay_ms) = match self.key_state {
                KeyState::Ended => (BEGIN_MS + 5 * n, 0),
                KeyState::Waiting => (BEGIN_MS + 5 * n, LOSS_MS + DUE_AFTER_LOSS_MS - BEGIN_MS),
                KeyState::Persisting => (LOSS_MS - 10 + n / 4, 0),
            };
            world.send_with_key(at, None, &key(n), delay_ms);
        }
    }

    fn send_resubmissions(&self, world: &mut Simulation) {
        for n in 0..KEYS {
            for round in 0..RESUBMISSIONS {
                world.send_with_key(
                    LOSS_MS + FIRST_RESUBMISSION_MS + RESUBMISSION_INTERVAL_MS * round,
                    None,
                    &key(n),
                    0,
                );
            }
        }
    }

    fn silence(&self, world: &mut Simulation) {
        let at = LOSS_MS.saturating_add_signed(self.silent_after_ms);
        let silent = self.silent;
        let others = || (0..self.stores).filter(move |other| *other != silent);
        match self.silence {
            Silence::None => {}
            Silence::Killed => world.act(at, Action::Inject(silent, Fault::Kill)),
            Silence::KilledLong => world.act(at, Action::Inject(silent, Fault::KillLong)),
            Silence::WithoutPower => world.act(at, Action::Inject(silent, Fault::PowerLoss)),
            Silence::Frozen => world.act(at, Action::Inject(silent, Fault::Freeze)),
            Silence::CutFromLost => self.cut(world, at, self.lost.first().copied()),
            Silence::CutFromKept => self.cut(world, at, others().find(|other| !self.lost.contains(other))),
            Silence::Isolated => world.act(at, Action::Isolate(silent, SILENCE_MS)),
            Silence::UnconnectedSinceStart => {
                others().for_each(|other| self.cut(world, at, Some(other)));
                world.act(at, Action::Inject(silent, Fault::QuickRestart));
            }
            Silence::Slow => {
                world.act(at, Action::DiskSlow(silent, SLOW_SYNC_MS));
                world.act(at + SILENCE_MS, Action::DiskSlow(silent, 2));
            }
        }
    }

    fn cut(&self, world: &mut Simulation, at: u64, other: Option<usize>) {
        let Some(other) = other else { return };
        world.act(at, Action::Cut(self.silent, other));
        world.act(at + SILENCE_MS, Action::Reconnect(self.silent, other));
    }
}

fn key(n: u64) -> String {
    format!("k-{n}")
}

/// All scenarios of a fleet: each set of lost disks with each other store, each reason for its silence, each of these
/// start times and each state of the keys.
pub fn all_loss_scenarios(stores: usize, replicas: usize, times: &[i64]) -> Vec<LossScenario> {
    let mut scenarios = Vec::new();
    for lost in sets_of_lost(stores, replicas) {
        for silent in (0..stores).filter(|store| !lost.contains(store)) {
            for silence in Silence::ALL {
                for silent_after_ms in times.iter().copied() {
                    for key_state in [KeyState::Ended, KeyState::Waiting, KeyState::Persisting] {
                        let lost = lost.clone();
                        scenarios.push(LossScenario {
                            stores,
                            replicas,
                            lost,
                            silent,
                            silence,
                            silent_after_ms,
                            key_state,
                        });
                    }
                }
            }
        }
    }
    scenarios
}

/// The sets of lost stores: each store alone and, if more may be lost, each pair of neighbours.
fn sets_of_lost(stores: usize, replicas: usize) -> Vec<Vec<usize>> {
    let mut sets: Vec<Vec<usize>> = (0..stores).map(|store| vec![store]).collect();
    if replicas > 1 {
        sets.extend((0..stores).map(|store| vec![store, (store + 1) % stores]));
    }
    sets
}

/// A failure that returns at once without its fix: one of three disks is lost, and the link between its store and one
/// that has the messages is cut.
pub fn a_blank_store_is_cut_from_one_that_has_the_keys(prepare: &Prepare) {
    for (lost, silent) in [(0, 1), (1, 2), (2, 0)] {
        let scenario = LossScenario {
            stores: 3,
            replicas: 1,
            lost: vec![lost],
            silent,
            silence: Silence::CutFromLost,
            silent_after_ms: 0,
            key_state: KeyState::Ended,
        };
        scenario.play_on_both_sites(&[], prepare);
    }
}

/// Three stores, of which one has lost its disk; another that has the messages is killed for 7 s while the first
/// recovers.
fn killed_while_another_recovers(lost: usize, silent_after_ms: i64) -> LossScenario {
    LossScenario {
        stores: 3,
        replicas: 1,
        lost: vec![lost],
        silent: (lost + 1) % 3,
        silence: Silence::KilledLong,
        silent_after_ms,
        key_state: KeyState::Ended,
    }
}

/// The store without its old disk is back and knows the shard terms, but not the keys.
pub fn a_store_is_killed_while_another_recovers(prepare: &Prepare) {
    for lost in 0..3 {
        for silent_after_ms in [1580, 1640, 1700, 1760] {
            killed_while_another_recovers(lost, silent_after_ms).play_on_both_sites(&[], prepare);
        }
    }
}

/// The recovering store, or the one that would report to it, is killed and back at once. That the store recovers has
/// to be known after the restart, too.
pub fn a_store_restarts_while_it_recovers(prepare: &Prepare) {
    for lost in 0..3 {
        for restarted in [lost, (lost + 2) % 3] {
            for restarted_after_ms in [1600, 1680, 1750, 1900] {
                let restart = (restarted_after_ms, Action::Inject(restarted, Fault::QuickRestart));
                killed_while_another_recovers(lost, 1640).play_on_both_sites(&[restart], prepare);
            }
        }
    }
}

/// When the second disk is lost, in milliseconds after the first: the first store is back after 1500 ms, and nothing was
/// copied meanwhile.
const SECOND_LOSS_AFTER_MS: [u64; 6] = [1520, 1580, 1640, 1700, 1800, 1900];

/// A second disk is lost while the store of the first recovers, so that some keys are on no disk any more. The second
/// store had reported that not all of its messages are on enough disks, and is blank itself now.
pub fn a_second_disk_is_lost_during_a_recovery(prepare: &Prepare) {
    for (first, second) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        for second_after_ms in SECOND_LOSS_AFTER_MS {
            two_disks_are_lost(first, second, second_after_ms, prepare).check_keys_run_once();
        }
    }
}

/// Plays the loss of two of three disks. The keys are submitted again until after both recoveries would have ended, and
/// a last one after their window.
pub fn two_disks_are_lost(
    first: usize,
    second: usize,
    second_after_ms: u64,
    prepare: &Prepare,
) -> Simulation {
    let scenario = LossScenario {
        stores: 3,
        replicas: 1,
        lost: vec![first],
        silent: second,
        silence: Silence::None,
        silent_after_ms: 0,
        key_state: KeyState::Ended,
    };
    let mut world =
        Simulation::with_bounds(3, 1, second_after_ms, StoreBounds::with_catch_up(LONG_CATCH_UP_MS));
    world.prepare(prepare);
    world.act(200, Action::Configure("quota"));
    scenario.send_first_submissions(&mut world);
    scenario.send_resubmissions(&mut world);
    world.act(LOSS_MS, Action::Inject(first, Fault::DiskLoss));
    world.act(LOSS_MS + second_after_ms, Action::Inject(second, Fault::DiskLoss));
    world.send_with_key(LOSS_MS + AFTER_WINDOW_MS, None, KEY_AFTER_WINDOW, 0);
    world.run(LOSS_MS + AFTER_WINDOW_MS + 5000);
    world
}
