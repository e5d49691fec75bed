//! Who decides on the control state, and which replicas hold it. A state machine: events and a steady clock go in,
//! [`Effect`]s come out.
//!
//! The state is one value: the operators' configuration and the stores that are retired, with a serial that rises with each
//! write. A primary writes it whole to every replica before it answers. A small group of voters keeps only the *view*: the epoch, who is primary, which nodes are
//! replicas, and who votes. A majority of voters, each with it on disk first, grants a new view; no log is replicated.
//!
//! What keeps it safe:
//! - a candidate is a replica by the newest list of replicas that a majority knows, so it holds whatever was answered; the list
//!   is as new as the epoch in which a primary had it written down, not as the epoch in which somebody stood;
//! - a primary acts only on acks of heartbeats that it sent within the lease, and a voter that acked one grants nothing to
//!   others for longer than that: time on steady clocks, never the time of day;
//! - a node that has lost its disk has forgotten what it granted: it votes again only after a majority of the others has
//!   told it where they stand, and as a replica it is unfilled, and does not stand, before it was filled.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::struct_excessive_bools, missing_docs)]
mod contact;
mod planted;
mod primary;
mod types;
mod voter;

#[cfg(feature = "planted")]
pub use planted::{Fingerprinter, Planted};
pub use types::*;

use contact::Contact;
#[cfg(not(feature = "planted"))]
use planted::Planted;
use primary::Role;
use std::collections::{BTreeMap, BTreeSet};
use voter::{Learning, Leaving};

/// Control nodes that are heard at one time and are no voters: far more than ever join together.
const LEARNERS: usize = 64;

/// What is done when the disk has a record.
#[derive(Clone, Debug, Hash)]
enum After {
    Grant { to: NodeId, view: View },
    OwnGrant { view: View },
    Adopted { view: View },
    Stored { to: NodeId, epoch: u64, write_id: u64, state: ControlState },
    OwnStored { write_id: u64 },
    First,
}

impl After {
    fn view(&self) -> Option<&View> {
        match self {
            After::Grant { view, .. } | After::OwnGrant { view } | After::Adopted { view } => Some(view),
            _ => None,
        }
    }
}

/// One control node's part.
#[derive(Clone)]
pub struct ControlGroup {
    settings: GroupSettings,
    view: Option<View>,
    /// The highest epoch that is on disk: nothing is acked by a view that a loss of power would take back.
    safe: u64,
    /// Who heartbeat_heard by a view that this node does not know: it has been granted, or it would not heartbeat.
    unknown_leader: Option<(u64, NodeId)>,
    /// What this node's disk holds: no more than that, unless it is a replica of the highest view.
    state: ControlState,
    /// The highest that is known to be committed.
    committed: Option<ControlState>,
    /// Of that: it goes with each heartbeat, and a configuration may be long.
    force_digest: u64,
    /// It has lost its disk, or never had one: no vote until it has learned.
    blank: bool,
    /// No state on disk: it may be named as a replica, but is none until it was filled.
    unfilled: bool,
    learning: Learning,
    role: Role,
    started: Millis,
    /// When the primary was last heard, and heartbeats were last asked after.
    heard: Millis,
    /// What was heard last was a heartbeat: `heard` also stands for grants and starts.
    heartbeat_heard: bool,
    contact: Contact,
    /// Who has this node's vote until it has been silent.
    voted_for: Option<NodeId>,
    /// The epoch for which the disk has been told of it.
    vote_persisted: u64,
    /// A candidate waits a random while, so that two do not go on colliding.
    candidate_at: Millis,
    learners: BTreeSet<NodeId>,
    links: BTreeMap<NodeId, bool>,
    after: BTreeMap<u64, After>,
    next_ticket: u64,
    serial: u64,
    random_state: u64,
    released: bool,
    /// Its process ends, and it waits to be taken out of the voters.
    leaving: Option<Leaving>,
    /// The primary that ended and named this node: it leaves, unless it is back.
    left: Option<NodeId>,
    effects: Vec<Effect>,
}

impl ControlGroup {
    pub fn new(settings: GroupSettings, persisted: PersistedState, now: Millis) -> ControlGroup {
        let mut seeds = settings.seeds.clone();
        seeds.sort();
        seeds.dedup();
        let epoch = persisted.view.as_ref().map_or(0, |w| w.epoch);
        let voted_for = persisted.vote.filter(|vote| vote.epoch == epoch).map(|vote| vote.primary);
        let mut group = ControlGroup {
            blank: persisted.view.is_none(),
            unfilled: persisted.state.is_none(),
            safe: persisted.view.as_ref().map_or(0, |w| w.epoch),
            unknown_leader: None,
            view: persisted.view,
            state: persisted.state.unwrap_or_default(),
            committed: None,
            force_digest: 0,
            learning: Learning::default(),
            role: Role::Follow,
            started: now,
            heard: now,
            heartbeat_heard: false,
            contact: Contact::default(),
            voted_for,
            vote_persisted: voted_for.map_or(0, |_| epoch),
            candidate_at: 0,
            learners: BTreeSet::new(),
            links: BTreeMap::new(),
            after: BTreeMap::new(),
            next_ticket: 1,
            serial: settings.random_seed | 1,
            random_state: settings.random_seed,
            released: false,
            leaving: None,
            left: None,
            effects: Vec::new(),
            settings,
        };
        let first = group.settings.is_first_start || group.planted(Planted::BlankVotes);
        if group.view.is_none() && first && seeds.contains(&group.settings.node_id) {
            // Reckoned alike by all that begin: nothing has to be elected, and nobody waits for anybody.
            let replicas = seeds.iter().take(group.settings.tolerated(seeds.len()) + 1).copied().collect();
            let view = View { epoch: 1, primary: seeds[0], replicas, voters: seeds, membership_epoch: 1 };
            group.blank = false;
            if view.replicas.contains(&group.settings.node_id) {
                // That there is none yet is known too: a replica without a state counts as one that lost it.
                group.unfilled = false;
                group.persist(Record::ControlState(ControlState::default()), After::First);
            }
            group.view = Some(view.clone());
            if view.primary == group.settings.node_id {
                group.become_first_candidate(now, view);
                return group;
            }
            group.persist_view(view.clone(), After::Adopted { view });
        }
        group.schedule_candidacy(now);
        if group.voted_for == Some(group.settings.node_id) {
            // It led, and lent its own vote to nobody else: nothing has to run out before it asks the others again.
            group.candidate_at = now;
        }
        group
    }

    /// The vote is with the primary of the present epoch.
    fn vote_for(&mut self, to: NodeId) {
        self.voted_for = Some(to);
        let epoch = self.epoch();
        if std::mem::replace(&mut self.vote_persisted, epoch) != epoch {
            self.persist(Record::Vote(Vote { epoch, primary: to }), After::First);
        }
    }

    fn random_below(&mut self, most: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % most.max(1)
    }

    fn schedule_candidacy(&mut self, now: Millis) {
        // After a start of all, the one that was primary before is the first to stand.
        let wait = if self.primary() == Some(self.settings.node_id) {
            0
        } else {
            self.random_below(self.settings.grace_period_ms / 3)
        };
        self.candidate_at = now + self.settings.grace_period_ms + wait;
    }

    fn send(&mut self, to: NodeId, message: Message) {
        if to != self.settings.node_id {
            self.effects.push(Effect::Send { to, message });
        }
    }

    fn persist(&mut self, record: Record, after: After) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.after.insert(ticket, after);
        self.effects.push(Effect::Persist { ticket, record });
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }
    pub fn is_awaiting_view(&self) -> bool {
        self.blank
    }
    pub fn committed(&self) -> Option<&ControlState> {
        self.committed.as_ref()
    }
    /// What this node's disk holds. At the primary, what it decides by.
    pub fn state(&self) -> &ControlState {
        &self.state
    }
    /// It leads, or a primary that held the lease has heard it, and it that primary, not long ago: what it tells others is
    /// not of yesterday.
    pub fn is_in_contact(&self, now: Millis) -> bool {
        !self.blank && (self.holds_lease(now) || self.contact.within(now, 2 * self.settings.grace_period_ms))
    }
    /// Who decides, as far as is known here.
    pub fn primary(&self) -> Option<NodeId> {
        self.view.as_ref().map(|w| w.primary)
    }
    fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |w| w.epoch)
    }

    /// A connection to another control node is open.
    pub fn peer_connected(&mut self, now: Millis, peer: NodeId) {
        self.links.insert(peer, true);
        self.is_back(peer);
        if self.blank {
            self.learning.ask_at = now;
        }
    }

    /// The connection to another control node broke.
    pub fn peer_disconnected(&mut self, now: Millis, peer: NodeId) {
        self.links.insert(peer, false);
        self.learners.remove(&peer);
        // The primary's process ended: no heartbeat will come. A short wait is left for one that starts again at once.
        if self.primary() == Some(peer) && matches!(self.role, Role::Follow) {
            self.candidate_at =
                self.candidate_at.min(now.max(self.free_at()) + self.settings.heartbeat_interval_ms / 2);
        }
    }

    /// A control node that is no voter has a session: it hears the heartbeats, and may become one.
    pub fn add_learner(&mut self, voter: NodeId) {
        if voter != self.settings.node_id
            && self.links.get(&voter) != Some(&false)
            && self.learners.len() < LEARNERS
        {
            self.learners.insert(voter);
        }
    }

    /// A state is committed: never one below what was committed here before.
    fn commit(&mut self, state: ControlState) {
        let newer = self.committed.as_ref().is_none_or(|old| state.rank() > old.rank());
        if (newer || self.planted(Planted::CommitGoesBack) && self.committed.as_ref() != Some(&state))
            && state.serial > 0
        {
            self.effects.push(Effect::Committed { serial: state.serial });
            self.force_digest = state.digest();
            self.committed = Some(state);
        }
    }

    /// The disk has a record, or could not take it.
    pub fn persisted(&mut self, now: Millis, ticket: u64, ok: bool) {
        let Some(after) = self.after.remove(&ticket) else { return };
        match (after, ok) {
            // One that was overtaken in the meantime is not told on.
            (After::Grant { to, view }, true) if self.view.as_ref() == Some(&view) => {
                self.safe = self.safe.max(view.epoch);
                self.send(to, Message::Granted { view });
            }
            (After::OwnGrant { view }, true) => {
                if self.view.as_ref() == Some(&view) {
                    self.safe = self.safe.max(view.epoch);
                }
                self.granted(now, self.settings.node_id, view);
            }
            (After::Adopted { view }, true) if self.view.as_ref() == Some(&view) => {
                self.safe = self.safe.max(view.epoch);
            }
            (After::Stored { to, epoch, write_id, state }, true) if epoch == self.epoch() => {
                self.state = state;
                self.unfilled = false;
                self.send(to, Message::Stored { epoch, write_id });
            }
            (After::OwnStored { write_id }, true) => {
                self.stored(now, self.settings.node_id, self.epoch(), write_id);
            }
            (After::OwnStored { .. } | After::OwnGrant { .. }, false) => self.own_disk_failed(now),
            _ => {}
        }
    }

    pub fn handle_message(&mut self, now: Millis, from: NodeId, message: Message) {
        match message {
            Message::Propose { view, by_handover } => self.proposed(now, from, view, by_handover),
            Message::Granted { view } => self.granted(now, from, view),
            Message::Denied { view } => self.denied(now, from, view),
            Message::Store { epoch, write_id, state } => self.store(from, epoch, write_id, state),
            Message::Stored { epoch, write_id } => self.stored(now, from, epoch, write_id),
            Message::Heartbeat(heartbeat) => self.heartbeat_heard(now, from, heartbeat),
            Message::HeartbeatAck(ack) => self.acked(now, from, ack),
            Message::Handover { epoch, is_shutting_down } => self.handed(now, from, epoch, is_shutting_down),
            Message::Leave { epoch } => self.leaves(now, from, epoch),
            Message::ViewRequest => self.tell_view(from),
            Message::ViewReply { view } => self.view_told(now, from, view),
            Message::StateRequest => {
                if let Some(state) = self.committed.clone() {
                    self.send(from, Message::StateReply { state });
                }
            }
            Message::StateReply { state } => self.commit(state),
        }
    }

    /// What is due; call it at `next_tick`, and after each event.
    pub fn tick(&mut self, now: Millis) {
        if self.blank {
            self.ask_around(now);
            return;
        }
        self.take_leave(now);
        match self.role {
            Role::Lead(_) => self.lead(now),
            Role::Candidacy(_) | Role::Follow => self.stand(now),
        }
    }

    pub fn next_tick(&self, now: Millis) -> Millis {
        if self.blank {
            return self.learning.ask_at.max(now + 1);
        }
        match &self.role {
            Role::Lead(lead) => lead.next(now, &self.settings),
            _ if self.leaving.is_some() => self.leaving.as_ref().map_or(now + 1, |l| l.next(now)),
            // It stands no more: nothing is due but what comes in.
            _ if self.released => now + self.settings.grace_period_ms,
            Role::Candidacy(_) | Role::Follow => self.candidate_at.max(now + 1),
        }
    }
}
