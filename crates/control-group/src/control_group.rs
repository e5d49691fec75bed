//! The state of one control node, and the entry points that take events and return effects.

use crate::node_state::{Connection, Departure, LastHeard, OnPersisted, UnknownPrimary, ViewRecovery};
use crate::primary_contact::PrimaryContact;
use crate::proposal::Proposal;
use crate::role::Role;
use crate::{
    ControlState, Effect, GroupSettings, Message, Millis, NodeId, PersistedState, Planted, Record,
    RoleChange, View, Vote,
};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of learners (nodes that receive heartbeats but are no voters): far more than ever join at one time.
const MAX_LEARNERS: usize = 64;

/// One node of a control group.
///
/// The caller passes in events, each with the current reading of a monotonic clock, calls [`tick`](ControlGroup::tick) when
/// [`next_tick`](ControlGroup::next_tick) is due, and carries out the effects that [`take_effects`](ControlGroup::take_effects)
/// returns.
#[derive(Clone)]
pub struct ControlGroup {
    pub(crate) settings: GroupSettings,
    /// The newest view that this node knows. `None` if the node is new or has lost its disk; it then votes for no candidate
    /// until a majority of the other voters has sent it their views.
    pub(crate) view: Option<View>,
    /// The highest epoch that is on disk. Nothing is acknowledged under a view that is not on disk, because a power loss would
    /// undo it.
    pub(crate) durable_epoch: u64,
    /// A primary whose view this node does not know. That view has been granted, because its primary sends heartbeats.
    pub(crate) unknown_primary: Option<UnknownPrimary>,
    /// The control state on this node's disk. It may be older than the committed one, unless the node is a replica of the newest
    /// view.
    pub(crate) state: ControlState,
    /// The newest control state that this node knows to be committed.
    pub(crate) committed: Option<ControlState>,
    /// The digest of the committed control state. It is cached because each heartbeat carries it and a configuration may be
    /// long.
    pub(crate) committed_digest: u64,
    /// Whether a control state is on disk. A node without one may be named as a replica, but does not become a candidate before
    /// the primary has sent it the value.
    pub(crate) has_state: bool,
    pub(crate) view_recovery: ViewRecovery,
    pub(crate) role: Role,
    pub(crate) started_at: Millis,
    /// When the node last acknowledged a heartbeat or granted a view. Its vote stays bound for one grace period from then on.
    pub(crate) heard_at: Millis,
    pub(crate) last_heard: LastHeard,
    pub(crate) primary_contact: PrimaryContact,
    /// The node that has this node's vote until the grace period is over.
    pub(crate) voted_for: Option<NodeId>,
    /// The epoch of the last vote that was submitted to the disk.
    pub(crate) persisted_vote_epoch: u64,
    /// When the node becomes a candidate, unless it hears from a primary first. Partly random, so that two candidates do not
    /// collide repeatedly.
    pub(crate) candidacy_at: Millis,
    /// Connected nodes that are not voters but may become voters.
    pub(crate) learners: BTreeSet<NodeId>,
    pub(crate) connections: BTreeMap<NodeId, Connection>,
    pub(crate) pending_persists: BTreeMap<u64, OnPersisted>,
    pub(crate) next_ticket: u64,
    /// The number of the last write to the replicas. Numbering starts at a random value, so that a late answer to an earlier
    /// incarnation of this process does not match a current write.
    pub(crate) last_write_id: u64,
    pub(crate) random_state: u64,
    /// The process may exit; the node no longer becomes a candidate.
    pub(crate) may_exit: bool,
    /// Set while the process is shutting down and the node waits to be removed from the voters.
    pub(crate) departure: Option<Departure>,
    /// The primary that shut down and named this node as its successor; cleared if that node reconnects.
    pub(crate) departed_primary: Option<NodeId>,
    pub(crate) effects: Vec<Effect>,
}

impl ControlGroup {
    /// Creates a node that has just started, from the state on its disk.
    pub fn new(settings: GroupSettings, persisted: PersistedState, now: Millis) -> ControlGroup {
        let mut group = ControlGroup::with_persisted(settings, persisted, now);
        if let Some(view) = group.first_view() {
            group.adopt_first_view(now, view);
            if matches!(group.role, Role::Candidate(_)) {
                return group;
            }
        }
        group.schedule_candidacy(now);
        if group.voted_for == Some(group.settings.node_id) {
            // This node was primary and gave its vote to no other node, so it may ask for votes again without waiting for a
            // grace period.
            group.candidacy_at = now;
        }
        group
    }

    fn with_persisted(settings: GroupSettings, persisted: PersistedState, now: Millis) -> ControlGroup {
        let epoch = persisted.view.as_ref().map_or(0, |view| view.epoch);
        let voted_for = persisted.vote.filter(|vote| vote.epoch == epoch).map(|vote| vote.primary);
        ControlGroup {
            view: persisted.view,
            durable_epoch: epoch,
            unknown_primary: None,
            has_state: persisted.state.is_some(),
            state: persisted.state.unwrap_or_default(),
            committed: None,
            committed_digest: 0,
            view_recovery: ViewRecovery::default(),
            role: Role::Backup,
            started_at: now,
            heard_at: now,
            last_heard: LastHeard::GrantOrStart,
            primary_contact: PrimaryContact::default(),
            voted_for,
            persisted_vote_epoch: voted_for.map_or(0, |_| epoch),
            candidacy_at: 0,
            learners: BTreeSet::new(),
            connections: BTreeMap::new(),
            pending_persists: BTreeMap::new(),
            next_ticket: 1,
            last_write_id: settings.random_seed | 1,
            random_state: settings.random_seed,
            may_exit: false,
            departure: None,
            departed_primary: None,
            effects: Vec::new(),
            settings,
        }
    }

    /// The first view of a new group, if this node is one of its seeds.
    ///
    /// All seeds compute the same view, so no election is needed and no seed waits for another.
    fn first_view(&self) -> Option<View> {
        let is_first_start = self.settings.is_first_start || self.planted(Planted::BlankVotes);
        if self.view.is_some() || !is_first_start || !self.settings.seeds.contains(&self.settings.node_id) {
            return None;
        }
        let mut voters = self.settings.seeds.clone();
        voters.sort();
        voters.dedup();
        let replica_count = self.settings.tolerated_replica_losses(voters.len()) + 1;
        let replicas = voters.iter().take(replica_count).copied().collect();
        Some(View { epoch: 1, primary: voters[0], replicas, voters, membership_epoch: 1 })
    }

    fn adopt_first_view(&mut self, now: Millis, view: View) {
        if view.replicas.contains(&self.settings.node_id) {
            // A replica of a new group is known to have an empty control state. Without a stored value it would count as a
            // replica that has lost its disk.
            self.has_state = true;
            self.persist(Record::ControlState(ControlState::default()), OnPersisted::Nothing);
        }
        self.view = Some(view.clone());
        if view.primary == self.settings.node_id {
            self.become_first_candidate(now, view);
        } else {
            self.persist_view(view.clone(), OnPersisted::ConfirmView { view });
        }
    }

    /// Waits for the grants of the first view without an election: all seeds are about to write the same view to disk.
    fn become_first_candidate(&mut self, now: Millis, view: View) {
        self.role = Role::Candidate(Proposal::new(now, view.clone(), view.clone(), false));
        self.candidacy_at = now + self.settings.heartbeat_interval_ms;
        self.propose(&view, &[], false);
        self.persist_view(view.clone(), OnPersisted::CountOwnGrant { view });
    }

    /// Takes the pending effects, in the order in which they have to be carried out. Call this after each event.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The newest view that this node knows.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Whether the node is new or has lost its disk, and has not learned the view from the others yet. It does not vote until
    /// then.
    pub fn is_awaiting_view(&self) -> bool {
        self.view.is_none()
    }

    /// The newest control state that this node knows to be committed.
    pub fn committed(&self) -> Option<&ControlState> {
        self.committed.as_ref()
    }

    /// The control state on this node's disk, committed or not. On a primary, changes are applied to this value.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Whether this node's information is recent: it holds the lease itself, or was in contact with a primary that held it less
    /// than two grace periods ago.
    pub fn is_in_contact(&self, now: Millis) -> bool {
        self.last_contact(now).is_some()
    }

    /// The last time at which this node was in contact with a majority as primary, or with a primary that was. Since then the
    /// others may have continued without it. `None` if the node is not in contact.
    pub fn last_contact(&self, now: Millis) -> Option<Millis> {
        if self.is_awaiting_view() {
            return None;
        }
        let span = 2 * self.settings.grace_period_ms;
        self.majority_heard_at(now).or_else(|| self.primary_contact.within(now, span))
    }

    /// The primary of the newest view that this node knows.
    pub fn primary(&self) -> Option<NodeId> {
        self.view.as_ref().map(|view| view.primary)
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// The primary that a caller is redirected to; `None` if it is this node.
    pub(crate) fn other_primary(&self) -> Option<NodeId> {
        self.primary().filter(|primary| *primary != self.settings.node_id)
    }

    /// Handles the opening of a connection to another control node.
    pub fn peer_connected(&mut self, now: Millis, peer: NodeId) {
        self.connections.insert(peer, Connection::Open);
        self.cancel_departure(peer);
        if self.is_awaiting_view() {
            self.view_recovery.next_request_at = now;
        }
    }

    /// Handles the loss of the connection to another control node.
    pub fn peer_disconnected(&mut self, now: Millis, peer: NodeId) {
        self.connections.insert(peer, Connection::Broken);
        self.learners.remove(&peer);
        if self.primary() == Some(peer) && matches!(self.role, Role::Backup) {
            // The primary's process has ended, so no heartbeat will arrive. Half a heartbeat interval is left for a primary that
            // restarts at once.
            let vote_free_at = now.max(self.vote_free_at());
            self.candidacy_at = self.candidacy_at.min(vote_free_at + self.settings.heartbeat_interval_ms / 2);
        }
    }

    pub(crate) fn is_disconnected(&self, node: &NodeId) -> bool {
        self.connections.get(node) == Some(&Connection::Broken)
    }

    /// Adds a connected control node that may not be a voter as a learner: it receives heartbeats and may become a voter.
    pub fn add_learner(&mut self, node: NodeId) {
        let is_self = node == self.settings.node_id;
        if !is_self && !self.is_disconnected(&node) && self.learners.len() < MAX_LEARNERS {
            self.learners.insert(node);
        }
    }

    /// Handles a message from another control node.
    pub fn handle_message(&mut self, now: Millis, from: NodeId, message: Message) {
        match message {
            Message::Propose { view, by_handover } => self.proposed(now, from, view, by_handover),
            Message::Granted { view } => self.granted(now, from, view),
            Message::Denied { view } => self.denied(now, from, view),
            Message::Store { epoch, write_id, state } => self.store(from, epoch, write_id, state),
            Message::Stored { epoch, write_id } => self.stored(now, from, epoch, write_id),
            Message::Heartbeat(heartbeat) => self.heartbeat_received(now, from, heartbeat),
            Message::HeartbeatAck(ack) => self.heartbeat_acked(now, from, ack),
            Message::Handover { epoch, is_shutting_down } => {
                self.handover_received(now, from, epoch, is_shutting_down);
            }
            Message::Leave { epoch } => self.leave_requested(now, from, epoch),
            Message::ViewRequest => self.send_view(from),
            Message::ViewReply { view } => self.view_received(now, from, view),
            Message::StateRequest => {
                if let Some(state) = self.committed.clone() {
                    self.send(from, Message::StateReply { state });
                }
            }
            Message::StateReply { state } => self.commit(state),
        }
    }

    /// Carries out the work that is due. Call this at [`next_tick`](ControlGroup::next_tick) and after each event.
    pub fn tick(&mut self, now: Millis) {
        if self.is_awaiting_view() {
            self.request_views(now);
            return;
        }
        self.continue_departure(now);
        match self.role {
            Role::Primary(_) => self.lead(now),
            Role::Candidate(_) | Role::Backup => self.seek_leadership(now),
        }
    }

    /// When the next call of [`tick`](ControlGroup::tick) is due; always later than `now`.
    pub fn next_tick(&self, now: Millis) -> Millis {
        if self.is_awaiting_view() {
            return self.view_recovery.next_request_at.max(now + 1);
        }
        if let Role::Primary(leadership) = &self.role {
            return leadership.next_tick(now, &self.settings);
        }
        if let Some(departure) = &self.departure {
            return departure.next_tick(now);
        }
        if self.may_exit {
            // A node that may exit no longer becomes a candidate, so it has no timed work and only answers messages.
            return now + self.settings.grace_period_ms;
        }
        self.candidacy_at.max(now + 1)
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        if to != self.settings.node_id {
            self.effects.push(Effect::Send { to, message });
        }
    }

    pub(crate) fn role_changed(&mut self, epoch: u64, change: RoleChange) {
        self.effects.push(Effect::RoleChanged { epoch, change });
    }

    /// Gives this node's vote in the current epoch to the primary, and persists the vote once in each epoch.
    pub(crate) fn vote_for(&mut self, primary: NodeId) {
        self.voted_for = Some(primary);
        let epoch = self.epoch();
        if self.persisted_vote_epoch != epoch {
            self.persisted_vote_epoch = epoch;
            self.persist(Record::Vote(Vote { epoch, primary }), OnPersisted::Nothing);
        }
    }

    /// A pseudo-random number below `limit`, from a linear congruential generator, so that all random choices depend on the seed
    /// alone.
    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % limit.max(1)
    }

    /// Schedules a candidacy for when the primary has been silent for a grace period plus a random wait.
    pub(crate) fn schedule_candidacy(&mut self, now: Millis) {
        // The previous primary adds no random wait, so that it is the first candidate after all nodes have restarted.
        let random_wait = if self.primary() == Some(self.settings.node_id) {
            0
        } else {
            self.random_below(self.settings.grace_period_ms / 3)
        };
        self.candidacy_at = now + self.settings.grace_period_ms + random_wait;
    }

    /// Records a control state as committed. The committed state of a node never goes back to an older one.
    pub(crate) fn commit(&mut self, state: ControlState) {
        let is_newer = self.committed.as_ref().is_none_or(|known| state.rank() > known.rank());
        let is_other = self.planted(Planted::CommitGoesBack) && self.committed.as_ref() != Some(&state);
        if (is_newer || is_other) && state.serial > 0 {
            self.effects.push(Effect::Committed { serial: state.serial });
            self.committed_digest = state.digest();
            self.committed = Some(state);
        }
    }
}
