//! The registry: combines executors, members and long polls under one clock and one version counter.

use crate::effect::RegistryEffect;
use crate::executors::{ExecutorRecord, ExecutorTable, HEARTBEAT_GOSSIP_INTERVAL, HOLDER_REFRESH_INTERVAL};
use crate::group_contact::GroupContact;
use crate::membership::{Membership, Session};
use crate::messages::{
    ExecutorState, Heartbeat, Member, MembershipUpdate, Millis, NodeId, NodeRole, RetirementState,
};
use crate::polls::{AnswerableState, PendingPolls, Poll, LONG_POLL_TIMEOUT, PARTITIONED_POLL_TIMEOUT};
use crate::version::VersionCounter;
use std::collections::BTreeSet;

/// Interval between checks for executors without heartbeats and for ended sessions.
const EXPIRY_CHECK_INTERVAL: Millis = 200;
/// Added to one and a half heartbeat intervals to give the time after a start at which the registry is ready,
/// because every live executor has sent a heartbeat by then.
const READY_ALLOWANCE: Millis = 200;
/// The registry is ready at the latest this long after another control node has sent its executor table.
const READY_DELAY_AFTER_TABLE: Millis = 300;

/// The configuration that the control nodes have committed.
#[derive(Clone, Copy, Debug)]
pub struct CommittedConfig<'a> {
    /// The version of the configuration; 0 if operators have not submitted one yet.
    pub version: u64,
    /// The encoded configuration, in the bytes that nodes are sent.
    pub body: &'a [u8],
}

/// What one control node knows of the nodes and executors that are present.
///
/// The program calls it for each event, then calls [`tick`](Registry::tick), then sends the
/// [effects](Registry::take_effects). It calls `tick` again no later than
/// [`next_deadline`](Registry::next_deadline).
pub struct Registry {
    /// The incarnation of this process. A node that polls with another incarnation has a version from another
    /// counter.
    incarnation: u64,
    version: VersionCounter,
    executors: ExecutorTable,
    membership: Membership,
    polls: PendingPolls,
    /// When the executor table is considered complete.
    ready_at: Millis,
    is_ready: bool,
    next_gossip: Millis,
    next_holder_refresh: Millis,
    /// Connected control nodes that rely on this one to report when the executors that it holds go offline.
    holder_aware_peers: BTreeSet<NodeId>,
    next_expiry_check: Millis,
    /// Whether contact with the other control nodes was fresh in the last `tick`.
    was_contact_fresh: bool,
    effects: Vec<RegistryEffect>,
}

impl Registry {
    /// Creates an empty registry for the control node `own`. `incarnation` must differ from that of every other
    /// start of any process.
    pub fn new(own: Member, incarnation: u64, heartbeat_interval: Millis, now: Millis) -> Registry {
        Registry {
            incarnation,
            version: VersionCounter::new(),
            executors: ExecutorTable::new(heartbeat_interval, now),
            membership: Membership::new(own),
            polls: PendingPolls::default(),
            ready_at: now + heartbeat_interval * 3 / 2 + READY_ALLOWANCE,
            is_ready: false,
            next_gossip: now + HEARTBEAT_GOSSIP_INTERVAL,
            next_holder_refresh: now + HOLDER_REFRESH_INTERVAL,
            holder_aware_peers: BTreeSet::new(),
            next_expiry_check: now,
            was_contact_fresh: true,
            effects: Vec::new(),
        }
    }

    /// Takes the messages that have to be sent.
    pub fn take_effects(&mut self) -> Vec<RegistryEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether the executor table is complete, as far as this control node can know. Until it is, a node that
    /// already has a list is not sent this one.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// All executors, including those that went offline recently.
    pub fn executors(&self) -> impl Iterator<Item = &ExecutorRecord> {
        self.executors.records()
    }

    /// The stores and control nodes that are present, ordered by node identifier.
    pub fn members(&self) -> &[Member] {
        self.membership.members()
    }

    /// The sessions of nodes of any role at this control node.
    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.membership.sessions()
    }

    /// The session of a node at this control node, if it has one.
    pub fn session(&self, node: NodeId) -> Option<&Session> {
        self.membership.session(node)
    }

    /// The nodes of any role with a session at another control node.
    pub fn peer_session_members(&self) -> impl Iterator<Item = &Member> {
        self.membership.peer_session_members()
    }

    /// The store with this name, if it is a member.
    pub fn store_named(&self, name: &str) -> Option<&Member> {
        self.members().iter().find(|member| member.role == NodeRole::Store && member.name == name)
    }

    /// The stores that would remain if those for which `is_leaving` is true left; stores that are already
    /// retiring are left out too.
    pub fn stores_remaining_without<'a>(
        &'a self,
        is_leaving: impl Fn(NodeId) -> bool + 'a,
    ) -> impl Iterator<Item = &'a Member> {
        let remains = move |member: &&Member| {
            member.role == NodeRole::Store
                && member.retirement == RetirementState::NotRetiring
                && !is_leaving(member.node)
        };
        self.members().iter().filter(remains)
    }

    /// Records a heartbeat that an executor sent to this control node.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        self.executors.receive(&mut self.version, now, heartbeat);
    }

    /// Sets an executor offline that has deregistered at this control node because its process is ending.
    pub fn deregister_executor(&mut self, now: Millis, id: &str) {
        if self.executors.deregister(&mut self.version, now, id) {
            self.executors.queue_broadcast(id.to_string(), true);
        }
    }

    /// The last heartbeat of an executor that is draining or offline here; `None` if it is serving or unknown.
    pub fn departure(&self, now: Millis, id: &str) -> Option<Heartbeat> {
        self.executors.departure(now, id)
    }

    /// Merges the departure of an executor that another control node reports. Returns whether it is news here.
    pub fn merge_departure(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        self.executors.merge_departure(&mut self.version, now, heartbeat)
    }

    /// Merges heartbeats that another control node forwarded.
    pub fn merge_peer_heartbeats(&mut self, now: Millis, heartbeats: Vec<Heartbeat>) {
        // A control node that is ready sends its whole table when it connects, so any list with more than one
        // heartbeat may be the complete table.
        let may_be_complete = heartbeats.len() > 1;
        self.executors.merge_table(&mut self.version, now, heartbeats);
        if !self.is_ready && may_be_complete {
            self.ready_at = self.ready_at.min(now + READY_DELAY_AFTER_TABLE);
        }
    }

    /// Merges the executors that another control node reports as sending it their heartbeats. That node reports
    /// when these stop.
    pub fn merge_held_executors(&mut self, now: Millis, from: NodeId, heartbeats: Vec<Heartbeat>) {
        self.executors.merge_held(&mut self.version, now, from, heartbeats);
    }

    /// Records that another control node relies on this one to report when the executors that send their
    /// heartbeats here go offline, and sends it these executors.
    pub fn peer_is_holder_aware(&mut self, now: Millis, peer: NodeId) {
        self.holder_aware_peers.insert(peer);
        let heartbeats = self.executors.held_here(now);
        if !heartbeats.is_empty() {
            self.effects.push(RegistryEffect::SendHeldExecutors { to: vec![peer], heartbeats });
        }
    }

    /// Handles a new connection with another control node.
    pub fn peer_connected(&mut self, now: Millis, peer: Member) {
        self.effects.push(RegistryEffect::SayHolderAware { to: peer.node });
        if self.is_ready {
            let heartbeats = self.executors.records().map(|record| record.aged_heartbeat(now)).collect();
            self.effects.push(RegistryEffect::SendHeartbeats { to: vec![peer.node], heartbeats });
        }
        self.membership.peer_connected(peer);
    }

    /// Handles the end of the connection with another control node.
    pub fn peer_disconnected(&mut self, now: Millis, peer: NodeId) {
        self.holder_aware_peers.remove(&peer);
        self.executors.holder_lost(now, peer);
        self.membership.peer_disconnected(peer);
    }

    /// Records that any message of another control node arrived at time `at`, which extends the validity of the
    /// sessions that it reported.
    pub fn peer_heard(&mut self, peer: NodeId, at: Millis) {
        self.membership.peer_heard(peer, at);
    }

    /// Replaces the sessions of another control node with its new, complete report.
    pub fn record_peer_sessions(&mut self, now: Millis, from: NodeId, members: Vec<Member>) {
        self.membership.record_peer_sessions(now, from, members);
    }

    /// Records a node's poll, which also starts or extends its session here. `incarnation` and `version` are
    /// those of the last update that the node has, or 0 if it has had none.
    pub fn record_poll(&mut self, now: Millis, member: Member, incarnation: u64, version: u64) {
        if !self.membership.has_capacity_for(member.node) {
            return;
        }
        let (config_version, role) = (member.config_version, member.role);
        self.polls.insert(member.node, Poll { incarnation, version, config_version, received: now, role });
        self.membership.record_session(now, member);
    }

    /// Handles the end of the connection with a node that polled.
    pub fn session_disconnected(&mut self, now: Millis, node: NodeId) {
        self.polls.remove(node);
        self.membership.session_disconnected(now, node);
    }

    /// Performs everything that is due at `now`. `contact` says whether this control node is the primary or
    /// hears it.
    pub fn tick(&mut self, now: Millis, contact: GroupContact, config: Option<CommittedConfig>) {
        if !self.is_ready && now >= self.ready_at {
            self.is_ready = true;
            self.version.advance();
            self.membership.invalidate();
        }
        if now >= self.next_expiry_check {
            self.next_expiry_check = now + EXPIRY_CHECK_INTERVAL;
            self.executors.expire(&mut self.version, now, !contact.is_lost());
            self.membership.invalidate();
        }
        self.membership.refresh(&mut self.version, now);
        self.broadcast(now);
        self.answer_polls(now, contact, config);
    }

    /// The latest time at which [`tick`](Registry::tick) has to be called again.
    pub fn next_deadline(&self) -> Millis {
        let routine = self.next_gossip.min(self.next_expiry_check).min(self.next_holder_refresh);
        let membership = self.membership.next_refresh().min(self.membership.next_broadcast());
        routine.min(self.polls.next_timeout()).min(membership)
    }

    fn broadcast(&mut self, now: Millis) {
        self.broadcast_executors(now);
        if let Some(sessions) = self.membership.take_unsent_sessions(now) {
            self.effects.push(RegistryEffect::BroadcastSessions(sessions));
        }
    }

    /// Sends executors to the other control nodes. Holder-aware peers are sent changes at once and, every
    /// `HOLDER_REFRESH_INTERVAL`, all executors held here. Control nodes of an earlier release are sent every
    /// heartbeat.
    fn broadcast_executors(&mut self, now: Millis) {
        let is_gossip_due = now >= self.next_gossip.min(self.next_holder_refresh);
        if !is_gossip_due && !self.executors.has_changes() {
            return;
        }
        let holder_aware: Vec<NodeId> = self.holder_aware_peers.iter().copied().collect();
        let peers = self.membership.peers().filter(|peer| !self.holder_aware_peers.contains(peer));
        let legacy_peers: Vec<NodeId> = peers.collect();
        let changes = self.executors.take_changes(now);
        let mut for_legacy = changes.clone();
        let mut for_holder_aware = changes;
        if now >= self.next_gossip {
            self.next_gossip = now + HEARTBEAT_GOSSIP_INTERVAL;
            for_legacy = self.executors.take_routine(now);
        }
        if now >= self.next_holder_refresh {
            self.next_holder_refresh = now + HOLDER_REFRESH_INTERVAL;
            for_holder_aware.extend(self.executors.held_here(now));
        }
        if !for_holder_aware.is_empty() && !holder_aware.is_empty() {
            let effect = RegistryEffect::SendHeldExecutors { to: holder_aware, heartbeats: for_holder_aware };
            self.effects.push(effect);
        }
        if !for_legacy.is_empty() && !legacy_peers.is_empty() {
            self.effects.push(RegistryEffect::SendHeartbeats { to: legacy_peers, heartbeats: for_legacy });
        }
    }

    fn answer_polls(&mut self, now: Millis, contact: GroupContact, config: Option<CommittedConfig>) {
        let was_fresh = std::mem::replace(&mut self.was_contact_fresh, contact.is_fresh());
        // Stores may be about to stop because they lack contact with the control nodes, so they are told at
        // once when it returns.
        let is_contact_renewed = contact.is_fresh() && !was_fresh;
        let state = AnswerableState {
            members_version: self.membership.last_change_version(),
            executors_version: self.executors.last_change_version(),
            config_version: config.map_or(0, |config| config.version),
            is_ready: self.is_ready,
            is_contact_fresh: contact.is_fresh(),
        };
        let is_partitioned = contact.is_lost() && self.is_ready;
        let timeout = if is_partitioned { PARTITIONED_POLL_TIMEOUT } else { LONG_POLL_TIMEOUT };
        let incarnation = self.incarnation;
        let is_due = |poll: &Poll| {
            now >= poll.received + timeout
                || is_answerable(poll, incarnation, &state)
                || (is_contact_renewed && poll.role == NodeRole::Store)
        };
        for node in self.polls.due(now, timeout, state, is_due) {
            let Some(poll) = self.polls.remove(node) else { continue };
            let newer_config = config.filter(|config| config.version > poll.config_version);
            let body = newer_config.map(|config| config.body.to_vec());
            let update = if is_partitioned && body.is_none() {
                MembershipUpdate { is_partitioned: true, ..MembershipUpdate::default() }
            } else {
                MembershipUpdate { contact_age_ms: contact.age_ms(), ..self.update_for(now, &poll, body) }
            };
            self.effects.push(RegistryEffect::SendUpdate { to: node, update });
        }
    }

    fn update_for(&self, now: Millis, poll: &Poll, config: Option<Vec<u8>>) -> MembershipUpdate {
        let has_current_incarnation = poll.incarnation == self.incarnation;
        // A node without any list takes one that may be incomplete; a node that has a list keeps it until this
        // one is complete.
        if !(self.is_ready || poll.incarnation == 0 || has_current_incarnation) {
            let (incarnation, version) = (poll.incarnation, poll.version);
            return MembershipUpdate { incarnation, version, config, ..MembershipUpdate::default() };
        }
        let since_version = if has_current_incarnation { poll.version } else { 0 };
        let has_new_members =
            !has_current_incarnation || self.membership.last_change_version() > since_version;
        let is_store = poll.role == NodeRole::Store;
        MembershipUpdate {
            incarnation: self.incarnation,
            version: self.version.current(),
            is_partitioned: false,
            is_complete: is_store && !has_current_incarnation,
            config,
            members: has_new_members.then(|| self.members().to_vec()),
            executors: if is_store {
                self.executors_since(now, since_version, has_current_incarnation)
            } else {
                Vec::new()
            },
            contact_age_ms: 0,
        }
    }

    /// The executors that have changed since a version. `include_offline` adds offline executors, which only a
    /// node that may know them needs.
    fn executors_since(&self, now: Millis, since: u64, include_offline: bool) -> Vec<Heartbeat> {
        let changed = self.executors.records().filter(|record| record.last_change_version > since);
        let relevant =
            changed.filter(|record| include_offline || record.heartbeat.state != ExecutorState::Offline);
        relevant.map(|record| record.aged_heartbeat(now)).collect()
    }
}

/// Whether there is something new for a node that polled.
fn is_answerable(poll: &Poll, incarnation: u64, state: &AnswerableState) -> bool {
    let has_current_incarnation = poll.incarnation == incarnation;
    let may_receive_list = state.is_ready || poll.incarnation == 0 || has_current_incarnation;
    let has_new_members = state.members_version > poll.version;
    let has_new_executors = poll.role == NodeRole::Store && state.executors_version > poll.version;
    let is_newer = !has_current_incarnation || has_new_members || has_new_executors;
    (may_receive_list && is_newer) || poll.config_version < state.config_version
}
