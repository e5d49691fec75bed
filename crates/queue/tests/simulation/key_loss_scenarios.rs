//! Days on which stores lose their disks while another store is silent, and clients go on to try keys that were accepted before.

use super::*;

/// Keys whose further tries come after the loss.
const KEYS: u64 = 40;
/// When the keys are first tried: the shards are divided by then.
const BEGIN_MS: u64 = 4000;
/// When the disks are lost: what was not delayed has ended, and its end is known to the replicas.
pub const LOSS_MS: u64 = 6500;
/// The first of the further tries comes so long after the loss, and the others each so long after the one before.
const FIRST_RETRY_MS: u64 = 50;
const RETRY_INTERVAL_MS: u64 = 130;
/// Further tries of each key.
const RETRIES: u64 = 46;
/// A message that waits when the disks are lost is due so long after them.
const DUE_AFTER_LOSS_MS: u64 = 3000;
/// How long links are cut, a store is cut off, or its disk is slow.
const SILENCE_MS: u64 = 7000;
/// The time that a sync of a slow disk takes: longer than a claim may.
const SLOW_SYNC_MS: u64 = 900;
/// All is repaired, and all that waits has run, so long after the loss.
const SETTLED_AFTER_MS: u64 = 24_000;

/// Why a store is not heard while others have lost their disks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Silence {
    /// Nobody is silent.
    None,
    /// Its process is killed, and back after 0.7 s.
    Killed,
    /// Its process is killed, and back after 7 s.
    KilledLong,
    /// Its machine is without power for 1.5 s.
    WithoutPower,
    /// Its process stands still for 4 s.
    Frozen,
    /// The link between it and one store that has lost its disk is cut.
    CutFromLost,
    /// The link between it and one store that has kept its disk is cut.
    CutFromKept,
    /// It is cut off from all others and from the control nodes.
    Isolated,
    /// It has restarted just before, and reaches no other store since.
    UnconnectedSinceStart,
    /// Its disk takes longer for a sync than a claim may.
    Slow,
}

impl Silence {
    /// All but [`Silence::None`].
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

/// What has become of the messages of the keys when the disks are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyState {
    /// They have run, and their ends are known.
    Ended,
    /// They wait for their time.
    Waiting,
    /// They are on their way to the disks.
    Persisting,
}

/// One day: which disks are lost at once, and which store is silent, why, and from when on.
#[derive(Clone, Debug)]
pub struct LossDay {
    /// How many stores there are.
    pub stores: usize,
    /// How many losses are tolerated at once.
    pub replicas: usize,
    /// The stores that lose their disks.
    pub lost: Vec<usize>,
    /// The store that is silent.
    pub silent: usize,
    /// Why.
    pub silence: Silence,
    /// When its silence begins, in milliseconds after the loss.
    pub silent_after_ms: i64,
    /// What has become of the messages by then.
    pub key_state: KeyState,
}

impl LossDay {
    /// Plays the day, and holds that no key runs twice and none that was accepted is lost.
    pub fn play(&self, prepare: &Prepare) {
        self.play_with(&[], prepare);
    }

    /// Plays the day with further actions, each at its time in milliseconds after the loss.
    fn play_with(&self, further: &[(u64, Action)], prepare: &Prepare) {
        let mut world = Simulation::new(self.stores, self.replicas, 1 + self.silent_after_ms.unsigned_abs());
        world.prepare(prepare);
        world.act(200, Action::Configure("quota"));
        self.send_first_tries(&mut world);
        self.send_further_tries(&mut world);
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

    fn send_first_tries(&self, world: &mut Simulation) {
        for n in 0..KEYS {
            let (at, delay_ms) = match self.key_state {
                KeyState::Ended => (BEGIN_MS + 5 * n, 0),
                KeyState::Waiting => (BEGIN_MS + 5 * n, LOSS_MS + DUE_AFTER_LOSS_MS - BEGIN_MS),
                KeyState::Persisting => (LOSS_MS - 10 + n / 4, 0),
            };
            world.send_with_key(at, None, &key(n), delay_ms);
        }
    }

    fn send_further_tries(&self, world: &mut Simulation) {
        for n in 0..KEYS {
            for round in 0..RETRIES {
                world.send_with_key(LOSS_MS + FIRST_RETRY_MS + RETRY_INTERVAL_MS * round, None, &key(n), 0);
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

/// All days of a fleet: each set of lost disks, each other store, each silence, at each of these times, each state of the keys.
pub fn all_days(stores: usize, replicas: usize, times: &[i64]) -> Vec<LossDay> {
    let mut days = Vec::new();
    for lost in sets_of_lost(stores, replicas) {
        for silent in (0..stores).filter(|store| !lost.contains(store)) {
            for silence in Silence::ALL {
                for silent_after_ms in times.iter().copied() {
                    for key_state in [KeyState::Ended, KeyState::Waiting, KeyState::Persisting] {
                        let lost = lost.clone();
                        days.push(LossDay {
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
    days
}

/// Each store alone, and where more may be lost each two that follow one another.
fn sets_of_lost(stores: usize, replicas: usize) -> Vec<Vec<usize>> {
    let mut sets: Vec<Vec<usize>> = (0..stores).map(|store| vec![store]).collect();
    if replicas > 1 {
        sets.extend((0..stores).map(|store| vec![store, (store + 1) % stores]));
    }
    sets
}

/// The day that comes back at once: one of three disks is lost, and the link between its store and one that has the messages is cut.
pub fn a_blank_store_is_cut_from_one_that_has_the_keys(prepare: &Prepare) {
    for (lost, silent) in [(0, 1), (1, 2), (2, 0)] {
        let day = LossDay {
            stores: 3,
            replicas: 1,
            lost: vec![lost],
            silent,
            silence: Silence::CutFromLost,
            silent_after_ms: 0,
            key_state: KeyState::Ended,
        };
        day.play(prepare);
    }
}

/// Three stores, of which one has lost its disk, and another that has the messages is killed for 7 s while the first one recovers.
fn killed_while_another_recovers(lost: usize, silent_after_ms: i64) -> LossDay {
    LossDay {
        stores: 3,
        replicas: 1,
        lost: vec![lost],
        silent: (lost + 1) % 3,
        silence: Silence::KilledLong,
        silent_after_ms,
        key_state: KeyState::Ended,
    }
}

/// The blank store is back, knows the terms of the shards, and does not know the keys.
pub fn a_store_is_killed_while_another_recovers(prepare: &Prepare) {
    for lost in 0..3 {
        for silent_after_ms in [1580, 1640, 1700, 1760] {
            killed_while_another_recovers(lost, silent_after_ms).play(prepare);
        }
    }
}

/// And it is killed itself, or the one that would report to it, and is back at once: that it recovers has to be known after that, too.
pub fn a_store_restarts_while_it_recovers(prepare: &Prepare) {
    for lost in 0..3 {
        for restarted in [lost, (lost + 2) % 3] {
            for restarted_after_ms in [1600, 1680, 1750, 1900] {
                let restart = (restarted_after_ms, Action::Inject(restarted, Fault::QuickRestart));
                killed_while_another_recovers(lost, 1640).play_with(&[restart], prepare);
            }
        }
    }
}
