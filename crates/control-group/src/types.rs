//! The plain types.

use serde::{Deserialize, Serialize};

/// Milliseconds on the steady clock.
pub type Millis = u64;
/// Within this span no clock gains or loses more than this against true time, in thousandths. Steady clocks that are kept in
/// step are slewed by half a thousandth; the rest is for virtual machines whose clock is stretched.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u64 = 100;
/// A primary acts no longer than this after it sent the heartbeat that a majority acked, by its clock.
pub const LEASE_PERIOD: Millis = 700;
/// A voter grants nothing to others for so long after it acked a heartbeat, by its own clock.
pub const GRACE_PERIOD: Millis = 900;

/// The lease has run out, by the slowest clock, before the silence has, by the fastest: one millisecond is for the rounding of
/// each of the two clocks.
pub const fn lease_ends_first(lease: Millis, silence: Millis, drift: u64) -> bool {
    (lease + 1) * (1_000 + drift) < (silence - 1) * (1_000 - drift)
}
const _: () = assert!(lease_ends_first(LEASE_PERIOD, GRACE_PERIOD, MAX_CLOCK_DRIFT_PER_MILLE));

/// A control node, by its control address.
pub type NodeId = std::net::SocketAddrV4;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    pub epoch: u64,
    pub primary: NodeId,
    pub replicas: Vec<NodeId>,
    pub voters: Vec<NodeId>,
    /// The epoch in which a primary had these replicas and voters written down. A candidate takes them over as they are; before
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
    pub stage: RetirementStage,
}

/// How far a retirement has come. It never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RetirementStage {
    /// Accepted; whether the store has it is not known.
    Ordered,
    /// The store has the order on its disk.
    Draining,
    /// The store has said that it is empty.
    Complete,
}

/// Most retirements that are remembered. Beyond, the oldest complete one is forgotten.
pub const MAX_RETIREMENTS: usize = 64;

/// A change of the replicated value, as the primary takes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StateChange {
    Configuration { version: u64, body: Vec<u8> },
    Retire { node: u32, name: String },
    Advance { node: u32, stage: RetirementStage },
}

/// What a change makes of the value that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    Unchanged,
    /// As many retirements as are remembered are under way.
    Full,
    Changed(ControlState),
}

impl StateChange {
    /// `equal_taken`: a planted fault.
    pub(crate) fn applied(&self, held: &ControlState, equal_taken: bool) -> Applied {
        let mut next = ControlState { serial: held.serial + 1, ..held.clone() };
        match self {
            StateChange::Configuration { version, body } => {
                if *version < held.version || (*version == held.version && !equal_taken) {
                    return Applied::Unchanged;
                }
                (next.version, next.body) = (*version, body.clone());
            }
            StateChange::Retire { node, name } => {
                if held.retirement(*node).is_some() {
                    return Applied::Unchanged;
                }
                if next.retirements.len() >= MAX_RETIREMENTS {
                    let complete = next.retirements.iter().position(|r| r.stage == RetirementStage::Complete);
                    let Some(oldest) = complete else { return Applied::Full };
                    next.retirements.remove(oldest);
                }
                let order = Retirement { node: *node, name: name.clone(), stage: RetirementStage::Ordered };
                next.retirements.push(order);
            }
            StateChange::Advance { node, stage } => {
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
    pub committed_digest: u64,
    /// The last of these heartbeats that the one it is sent to has acked, unless the lease has run out.
    pub last_acked: Option<Millis>,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeartbeatAck {
    pub epoch: u64,
    /// Of the heartbeat, by the primary's clock.
    pub sent_at: Millis,
    /// It counts for the primary's lease.
    pub is_voting: bool,
    /// It has a state on disk: only such a replica may become a candidate.
    pub has_state: bool,
}

/// Between control nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// `by_handover`: the primary itself has stopped and named the proposer.
    Propose {
        view: View,
        by_handover: bool,
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
        write_id: u64,
        state: ControlState,
    },
    Stored {
        epoch: u64,
        write_id: u64,
    },
    Heartbeat(Heartbeat),
    HeartbeatAck(HeartbeatAck),
    Handover {
        epoch: u64,
        /// The process of the primary ends.
        is_shutting_down: bool,
    },
    /// The process of a voter ends, and the group is one larger than it needs to be: it asks to be taken out.
    Leave {
        epoch: u64,
    },
    ViewRequest,
    ViewReply {
        view: Option<View>,
    },
    StateRequest,
    StateReply {
        state: ControlState,
    },
}

/// On disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    View(View),
    /// Read, never written: the value as builds before 0.2 wrote it, without a serial and retirements. Its version is taken
    /// for the serial. To be removed one release later.
    LegacyConfiguration(LegacyConfiguration),
    /// The vote is lent to the primary of this epoch, and to nobody else. Written once in an epoch, and waited for by nobody:
    /// without it a process that has just begun waits until whatever its earlier life lent has run out.
    Vote(Vote),
    ControlState(ControlState),
}

/// To whom a node has given its vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    pub epoch: u64,
    pub primary: NodeId,
}

/// A configuration without a serial, from an older build's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LegacyConfiguration {
    pub version: u64,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl From<LegacyConfiguration> for ControlState {
    fn from(LegacyConfiguration { version, body }: LegacyConfiguration) -> ControlState {
        ControlState { serial: version, version, body, retirements: Vec::new() }
    }
}

/// What the records come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistedState {
    pub view: Option<View>,
    pub state: Option<ControlState>,
    pub vote: Option<Vote>,
}

impl PersistedState {
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::View(view) if self.view.as_ref().is_none_or(|old| old.epoch <= view.epoch) => {
                self.view = Some(view);
            }
            Record::View(_) => {}
            // The last one stored, not the highest: one that was given up is written over by what holds.
            Record::ControlState(state) => self.state = Some(state),
            Record::LegacyConfiguration(old) => self.state = Some(old.into()),
            Record::Vote(vote) => self.vote = Some(vote),
        }
    }
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let view = self.view.iter().cloned().map(Record::View);
        let vote = self.vote.map(Record::Vote);
        view.chain(self.state.iter().cloned().map(Record::ControlState)).chain(vote)
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
        primary: Option<NodeId>,
    },
    /// It may be committed, or come committed.
    Uncertain,
    /// It is not committed and will not be, unless it is sent again.
    NotCommitted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    Send {
        to: NodeId,
        message: Message,
    },
    /// Write it, sync it, then call `persisted`.
    Persist {
        ticket: u64,
        record: Record,
    },
    Answer {
        ticket: u64,
        verdict: Verdict,
    },
    /// To one that has asked to read.
    ReadAnswer {
        ticket: u64,
        state: Option<ControlState>,
    },
    Committed {
        serial: u64,
    },
    /// A change of role, for the log.
    RoleChanged {
        epoch: u64,
        change: RoleChange,
    },
    /// The role is handed over, or there was none: the process may end.
    ReadyToExit,
}

/// What became of a node's role, or of the view that it leads by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoleChange {
    BecameCandidate,
    BecamePrimary,
    SteppedDown,
    MembershipChanged,
}

impl RoleChange {
    /// For the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RoleChange::BecameCandidate => "became candidate",
            RoleChange::BecamePrimary => "became primary",
            RoleChange::SteppedDown => "stepped down",
            RoleChange::MembershipChanged => "membership changed",
        }
    }
}

#[derive(Clone, Debug)]
pub struct GroupSettings {
    pub node_id: NodeId,
    pub seeds: Vec<NodeId>,
    pub is_first_start: bool,
    /// So many machines may be lost at once: one replica more than that is held.
    pub tolerated_losses: usize,
    /// Whole places may be lost, with every voter there: then as many replicas are held as a majority may lose, and one more.
    /// Where they lie need not be known for that.
    pub survives_domain_loss: bool,
    pub heartbeat_interval_ms: Millis,
    pub lease_period_ms: Millis,
    pub grace_period_ms: Millis,
    pub random_seed: u64,
    /// A fault for the search in `crates/model-check/` to find.
    #[cfg(feature = "planted")]
    pub planted: Option<crate::Planted>,
}

impl GroupSettings {
    /// Losses of replicas that are borne among so many voters.
    pub(crate) fn tolerated(&self, voters: usize) -> usize {
        if self.survives_domain_loss {
            self.tolerated_losses.max(voters.saturating_sub(1) / 2)
        } else {
            self.tolerated_losses
        }
    }
    pub fn new(
        node_id: NodeId,
        seeds: Vec<NodeId>,
        is_first_start: bool,
        tolerated_losses: usize,
        random_seed: u64,
    ) -> GroupSettings {
        GroupSettings {
            node_id,
            seeds,
            is_first_start,
            tolerated_losses,
            survives_domain_loss: false,
            heartbeat_interval_ms: 200,
            lease_period_ms: LEASE_PERIOD,
            grace_period_ms: GRACE_PERIOD,
            random_seed,
            #[cfg(feature = "planted")]
            planted: None,
        }
    }
}
