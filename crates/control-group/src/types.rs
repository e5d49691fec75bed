//! The plain types.

use serde::{Deserialize, Serialize};

/// Milliseconds on the steady clock.
pub type Millis = u64;
/// Within this span no clock gains or loses more than this against true time, in thousandths. Steady clocks that are kept in
/// step are slewed by half a thousandth; the rest is for virtual machines whose clock is stretched.
pub const MAX_CLOCK_DRIFT: u64 = 100;
/// A primary acts no longer than this after it sent the heartbeat that a majority acked, by its clock.
pub const LEASE: Millis = 700;
/// A voter grants nothing to others for so long after it acked a heartbeat, by its own clock.
pub const SILENCE: Millis = 900;

/// The lease has run out, by the slowest clock, before the silence has, by the fastest: one millisecond is for the rounding of
/// each of the two clocks.
pub const fn lease_ends_first(lease: Millis, silence: Millis, drift: u64) -> bool {
    (lease + 1) * (1_000 + drift) < (silence - 1) * (1_000 - drift)
}
const _: () = assert!(lease_ends_first(LEASE, SILENCE, MAX_CLOCK_DRIFT));

/// A control node, by its control address.
pub type Voter = std::net::SocketAddrV4;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    pub epoch: u64,
    pub primary: Voter,
    pub copies: Vec<Voter>,
    pub voters: Vec<Voter>,
    /// The epoch in which a primary had these copies and voters written down. A candidate takes them over as they are; before
    /// it acts, it has them written down anew, so that whoever knows only older ones is not voted for any more.
    pub membership_epoch: u64,
}

/// The replicated value: the operators' configuration, and which stores are retired.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// Drawn by the primary, one more with each write.
    pub serial: u64,
    /// The operators' own number of the configuration. Nought: none has come yet.
    pub version: u64,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// In the order in which they were accepted.
    pub retirements: Vec<Retirement>,
}

impl ControlState {
    /// Tells two values with one serial apart: one of them was given up, and must not be taken for the other. It guards
    /// against confusion, not against an attacker: it travels with each heartbeat, so it is short.
    pub fn digest(&self) -> u64 {
        let mut hash = Fnv::default();
        hash.number(self.serial);
        hash.number(self.version);
        hash.bytes(&self.body);
        for Retirement { node, name, stage } in &self.retirements {
            hash.number(u64::from(*node));
            hash.bytes(name.as_bytes());
            hash.number(*stage as u64);
        }
        hash.0
    }
    pub fn rank(&self) -> Rank {
        Rank { version: self.version, serial: self.serial }
    }
    /// The same version with the same content, whatever else was written with it.
    pub fn same_configuration(&self, other: &ControlState) -> bool {
        self.version == other.version && self.body == other.body
    }
    /// The order to retire a store, if one was accepted.
    pub fn retirement(&self, node: u32) -> Option<&Retirement> {
        self.retirements.iter().find(|retirement| retirement.node == node)
    }
}

/// Which of two values is the newer. Neither number ever falls from one write to the next, so the serial alone would do, but
/// for one case: a control side that has lost most of its disks and is begun anew by hand counts serials from one, and the
/// nodes that are left take its configuration by its higher version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    pub version: u64,
    pub serial: u64,
}

/// FNV-1a; each part goes in with its length.
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Fnv {
        Fnv(0xCBF2_9CE4_8422_2325)
    }
}
impl Fnv {
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }
    fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }
    fn raw(&mut self, bytes: &[u8]) {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3);
        self.0 = bytes.iter().fold(self.0, step);
    }
}

/// An accepted order to retire a store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Retirement {
    /// The store, by the hash of its name.
    pub node: u32,
    pub name: String,
    pub stage: Stage,
}

/// How far a retirement has come. It never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Accepted; whether the store has it is not known.
    Ordered,
    /// The store has the order on its disk.
    Rolling,
    /// The store has said that it is empty.
    Complete,
}

/// Most retirements that are remembered. Beyond, the oldest complete one is forgotten.
pub const RETIREMENTS: usize = 64;

/// A change of the replicated value, as the primary takes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    Configuration { version: u64, body: Vec<u8> },
    Retire { node: u32, name: String },
    Advance { node: u32, stage: Stage },
}

/// What a change makes of the value that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    Unchanged,
    /// As many retirements as are remembered are under way.
    Full,
    Changed(ControlState),
}

impl Change {
    /// `equal_taken`: a planted fault.
    pub(crate) fn applied(&self, held: &ControlState, equal_taken: bool) -> Applied {
        let mut next = ControlState { serial: held.serial + 1, ..held.clone() };
        match self {
            Change::Configuration { version, body } => {
                if *version < held.version || (*version == held.version && !equal_taken) {
                    return Applied::Unchanged;
                }
                (next.version, next.body) = (*version, body.clone());
            }
            Change::Retire { node, name } => {
                if held.retirement(*node).is_some() {
                    return Applied::Unchanged;
                }
                if next.retirements.len() >= RETIREMENTS {
                    let complete = next.retirements.iter().position(|r| r.stage == Stage::Complete);
                    let Some(oldest) = complete else { return Applied::Full };
                    next.retirements.remove(oldest);
                }
                let order = Retirement { node: *node, name: name.clone(), stage: Stage::Ordered };
                next.retirements.push(order);
            }
            Change::Advance { node, stage } => {
                let mut known = next.retirements.iter_mut();
                let Some(known) = known.find(|r| r.node == *node && r.stage < *stage) else {
                    return Applied::Unchanged;
                };
                known.stage = *stage;
            }
        }
        Applied::Changed(next)
    }
}

/// A primary's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    pub epoch: u64,
    pub sent_at: Millis,
    /// Of the value committed.
    pub committed: Rank,
    pub digest: u64,
    /// The last of these heartbeats that the one it is sent to has acked, unless the lease has run out.
    pub acked: Option<Millis>,
}

/// Between control nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Signal {
    /// `released`: the primary itself has stopped and named the proposer.
    Propose {
        view: View,
        released: bool,
    },
    /// The whole of it: one that lost power may ask for another by the same epoch.
    Granted {
        view: View,
    },
    Denied {
        view: View,
    },
    Store {
        epoch: u64,
        serial: u64,
        state: ControlState,
    },
    Stored {
        epoch: u64,
        serial: u64,
    },
    Heartbeat(Heartbeat),
    HeartbeatAck {
        epoch: u64,
        sent_at: Millis,
        votes: bool,
        /// It has a state on disk: only such a copy may stand for the role.
        holds: bool,
    },
    Handover {
        epoch: u64,
        /// The process of the primary ends.
        ends: bool,
    },
    /// The process of a voter ends, and the group is one larger than it needs to be: it asks to be taken out.
    Leave {
        epoch: u64,
    },
    AskView,
    TellView {
        view: Option<View>,
    },
    AskState,
    TellState {
        state: ControlState,
    },
}

/// On disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    View(View),
    /// Read, never written: the value as builds before 0.2 wrote it, without a serial and retirements. Its version is taken
    /// for the serial. To be removed one release later.
    Unnumbered(Unnumbered),
    /// The vote is lent to the primary of this epoch, and to nobody else. Written once in an epoch, and waited for by nobody:
    /// without it a process that has just begun waits until whatever its earlier life lent has run out.
    Vote {
        epoch: u64,
        to: Voter,
    },
    ControlState(ControlState),
}

/// A configuration without a serial, from an older build's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Unnumbered {
    pub version: u64,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl From<Unnumbered> for ControlState {
    fn from(Unnumbered { version, body }: Unnumbered) -> ControlState {
        ControlState { serial: version, version, body, retirements: Vec::new() }
    }
}

/// What the records come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Persisted {
    pub view: Option<View>,
    pub state: Option<ControlState>,
    pub voted_for: Option<(u64, Voter)>,
}

impl Persisted {
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::View(view) if self.view.as_ref().is_none_or(|old| old.epoch <= view.epoch) => {
                self.view = Some(view);
            }
            Record::View(_) => {}
            // The last one stored, not the highest: one that was given up is written over by what holds.
            Record::ControlState(state) => self.state = Some(state),
            Record::Unnumbered(old) => self.state = Some(old.into()),
            Record::Vote { epoch, to } => self.voted_for = Some((epoch, to)),
        }
    }
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let view = self.view.iter().cloned().map(Record::View);
        let voted_for = self.voted_for.iter().map(|(epoch, to)| Record::Vote { epoch: *epoch, to: *to });
        view.chain(self.state.iter().cloned().map(Record::ControlState)).chain(voted_for)
    }
}

/// How an operator's call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    Accepted,
    /// Not above the version that is held: acknowledged, changes nothing.
    Unchanged,
    /// Ask there.
    NotPrimary {
        primary: Option<Voter>,
    },
    /// It may be committed, or come committed.
    Uncertain,
    /// It is not committed and will not be, unless it is sent again.
    NotDone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    Send {
        to: Voter,
        signal: Signal,
    },
    /// Write it, sync it, then call `kept`.
    Persist {
        ticket: u64,
        record: Record,
    },
    Answer {
        ticket: u64,
        verdict: Verdict,
    },
    /// To one that has asked to read.
    ControlState {
        ticket: u64,
        state: Option<ControlState>,
    },
    Committed {
        serial: u64,
    },
    /// A change of role, for the log.
    RoleChanged {
        epoch: u64,
        what: &'static str,
    },
    /// The role is handed over, or there was none: the process may end.
    Released,
}

#[derive(Clone, Debug)]
pub struct GroupSettings {
    pub me: Voter,
    pub seeds: Vec<Voter>,
    pub first_start: bool,
    /// So many machines may be lost at once: one copy more than that is held.
    pub losses: usize,
    /// Whole places may be lost, with every voter there: then as many copies are held as a majority may lose, and one more.
    /// Where they lie need not be known for that.
    pub places: bool,
    pub heartbeat_ms: Millis,
    pub lease_ms: Millis,
    pub silence_ms: Millis,
    pub seed: u64,
    /// A fault for the search in `crates/model-check/` to find.
    #[cfg(feature = "planted")]
    pub planted: Option<crate::Planted>,
}

impl GroupSettings {
    /// Losses of copies that are borne among so many voters.
    pub(crate) fn tolerated(&self, voters: usize) -> usize {
        if self.places {
            self.losses.max(voters.saturating_sub(1) / 2)
        } else {
            self.losses
        }
    }
    pub fn new(me: Voter, seeds: Vec<Voter>, first_start: bool, losses: usize, seed: u64) -> GroupSettings {
        GroupSettings {
            me,
            seeds,
            first_start,
            losses,
            places: false,
            heartbeat_ms: 200,
            lease_ms: LEASE,
            silence_ms: SILENCE,
            seed,
            #[cfg(feature = "planted")]
            planted: None,
        }
    }
}
