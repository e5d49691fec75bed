//! The registry: executors, members and polls, joined by one clock and one version counter.

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

/// How often silent executors and ended sessions are looked for.
const EXPIRY_CHECK_INTERVAL: Millis = 200;
/// After a start a registry is ready when one and a half intervals of heartbeats and this allowance have passed.
const READY_ALLOWANCE: Millis = 200;
/// A registry is ready so long after another control node has sent its table.
const READY_AFTER_TABLE: Millis = 300;

/// The configuration that the control nodes have agreed on.
#[derive(Clone, Copy, Debug)]
pub struct CommittedConfig<'a> {
    /// Its version; 0 where operators have not sent one yet.
    pub version: u64,
    /// Its bytes, as nodes are sent them.
    pub body: &'a [u8],
}

/// What one control node knows of the nodes and executors that are present.
///
/// The program calls it with what happens, then [`tick`](Registry::tick), then sends the
/// [effects](Registry::take_effects), and at the latest at [`next_deadline`](Registry::next_deadline) again.
pub struct Registry {
    /// Of this process: nodes that name another one have a version of another counter.
    incarnation: u64,
    version: VersionCounter,
    executors: ExecutorTable,
    membership: Membership,
    polls: PendingPolls,
    /// From then on the table of executors is complete.
    ready_at: Millis,
    is_ready: bool,
    next_gossip: Millis,
    next_holder_refresh: Millis,
    /// Connected control nodes that take this one's word for what it holds.
    holder_aware_peers: BTreeSet<NodeId>,
    next_expiry_check: Millis,
    /// Whether contact with the other control nodes was fresh in the last turn.
    was_contact_fresh: bool,
    effects: Vec<RegistryEffect>,
}

impl Registry {
    /// An empty registry of the control node `own`. `incarnation` is a number that no other start of any process has.
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

    /// Gives out the messages that have to be sent.
    pub fn take_effects(&mut self) -> Vec<RegistryEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether the table of executors is complete, as far as this node can know. Before that, nodes that have a list are not
    /// sent this one.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// All executors, also those that went offline a short time ago.
    pub fn executors(&self) -> impl Iterator<Item = &ExecutorRecord> {
        self.executors.records()
    }

    /// The stores and control nodes that are present, in the order of their identifiers.
    pub fn members(&self) -> &[Member] {
        self.membership.members()
    }

    /// The sessions of nodes of any role at this control node.
    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.membership.sessions()
    }

    /// A node's session at this control node.
    pub fn session(&self, node: NodeId) -> Option<&Session> {
        self.membership.session(node)
    }

    /// The nodes of any role with a session at another control node.
    pub fn peer_session_members(&self) -> impl Iterator<Item = &Member> {
        self.membership.peer_session_members()
    }

    /// The store of this name, if it is a member.
    pub fn store_named(&self, name: &str) -> Option<&Member> {
        self.members().iter().find(|member| member.role == NodeRole::Store && member.name == name)
    }

    /// The stores that would remain without these and without those that are retiring already.
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

    /// An executor sent a heartbeat to this control node.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        self.executors.receive(&mut self.version, now, heartbeat);
    }

    /// An executor told this control node that it ends.
    pub fn deregister_executor(&mut self, now: Millis, id: &str) {
        if self.executors.deregister(&mut self.version, now, id) {
            self.executors.queue_broadcast(id.to_string(), true);
        }
    }

    /// Another control node passed on heartbeats.
    pub fn merge_peer_heartbeats(&mut self, now: Millis, heartbeats: Vec<Heartbeat>) {
        // A control node that is ready sends all it knows when it connects, and any list may be that one.
        let may_be_complete = heartbeats.len() > 1;
        self.executors.merge_table(&mut self.version, now, heartbeats);
        if !self.is_ready && may_be_complete {
            self.ready_at = self.ready_at.min(now + READY_AFTER_TABLE);
        }
    }

    /// Another control node told of executors that send it their heartbeats: it says when these stop.
    pub fn merge_held_executors(&mut self, now: Millis, from: NodeId, heartbeats: Vec<Heartbeat>) {
        self.executors.merge_held(&mut self.version, now, from, heartbeats);
    }

    /// Another control node takes this one's word for the executors that send their heartbeats here.
    pub fn peer_is_holder_aware(&mut self, now: Millis, peer: NodeId) {
        self.holder_aware_peers.insert(peer);
        let heartbeats = self.executors.held_here(now);
        if !heartbeats.is_empty() {
            self.effects.push(RegistryEffect::SendHeldExecutors { to: vec![peer], heartbeats });
        }
    }

    /// Another control node has connected.
    pub fn peer_connected(&mut self, now: Millis, peer: Member) {
        self.effects.push(RegistryEffect::SayHolderAware { to: peer.node });
        if self.is_ready {
            let heartbeats = self.executors.records().map(|record| record.aged_heartbeat(now)).collect();
            self.effects.push(RegistryEffect::SendHeartbeats { to: vec![peer.node], heartbeats });
        }
        self.membership.peer_connected(peer);
    }

    /// The connection with another control node has ended.
    pub fn peer_disconnected(&mut self, now: Millis, peer: NodeId) {
        self.holder_aware_peers.remove(&peer);
        self.executors.holder_lost(now, peer);
        self.membership.peer_disconnected(peer);
    }

    /// Anything at all was heard of another control node at that time: the sessions that it reported still hold.
    pub fn peer_heard(&mut self, peer: NodeId, at: Millis) {
        self.membership.peer_heard(peer, at);
    }

    /// Another control node reported all its sessions.
    pub fn record_peer_sessions(&mut self, now: Millis, from: NodeId, members: Vec<Member>) {
        self.membership.record_peer_sessions(now, from, members);
    }

    /// A node polls, and thereby has a session here. `incarnation` and `version` are those of the last update that it has; 0
    /// if it has none.
    pub fn record_poll(&mut self, now: Millis, member: Member, incarnation: u64, version: u64) {
        if !self.membership.has_room_for(member.node) {
            return;
        }
        let (config_version, role) = (member.config_version, member.role);
        self.polls.insert(member.node, Poll { incarnation, version, config_version, received: now, role });
        self.membership.record_session(now, member);
    }

    /// The connection with a node that polled has ended.
    pub fn session_disconnected(&mut self, now: Millis, node: NodeId) {
        self.polls.remove(node);
        self.membership.session_disconnected(now, node);
    }

    /// Does what is due. `contact` says whether this node is the primary or hears it.
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

    /// When [`tick`](Registry::tick) has to be called at the latest.
    pub fn next_deadline(&self) -> Millis {
        let own = self.next_gossip.min(self.next_expiry_check).min(self.next_holder_refresh);
        let membership = self.membership.next_refresh().min(self.membership.next_broadcast());
        own.min(self.polls.next_timeout()).min(membership)
    }

    fn broadcast(&mut self, now: Millis) {
        self.broadcast_executors(now);
        if let Some(sessions) = self.membership.take_unsent_sessions(now) {
            self.effects.push(RegistryEffect::BroadcastSessions(sessions));
        }
    }

    /// Tells control nodes of changes at once, and of what is held here from time to time; those of an earlier version of each
    /// heartbeat.
    fn broadcast_executors(&mut self, now: Millis) {
        let is_repetition_due = now >= self.next_gossip.min(self.next_holder_refresh);
        if !is_repetition_due && !self.executors.has_changes() {
            return;
        }
        let holder_aware: Vec<NodeId> = self.holder_aware_peers.iter().copied().collect();
        let peers = self.membership.peers().filter(|peer| !self.holder_aware_peers.contains(peer));
        let others: Vec<NodeId> = peers.collect();
        let changes = self.executors.take_changes(now);
        let mut for_others = changes.clone();
        let mut for_holder_aware = changes;
        if now >= self.next_gossip {
            self.next_gossip = now + HEARTBEAT_GOSSIP_INTERVAL;
            for_others = self.executors.take_routine(now);
        }
        if now >= self.next_holder_refresh {
            self.next_holder_refresh = now + HOLDER_REFRESH_INTERVAL;
            for_holder_aware.extend(self.executors.held_here(now));
        }
        if !for_holder_aware.is_empty() && !holder_aware.is_empty() {
            let effect = RegistryEffect::SendHeldExecutors { to: holder_aware, heartbeats: for_holder_aware };
            self.effects.push(effect);
        }
        if !for_others.is_empty() && !others.is_empty() {
            self.effects.push(RegistryEffect::SendHeartbeats { to: others, heartbeats: for_others });
        }
    }

    fn answer_polls(&mut self, now: Millis, contact: GroupContact, config: Option<CommittedConfig>) {
        let was_fresh = std::mem::replace(&mut self.was_contact_fresh, contact.is_fresh());
        // Stores may be about to stop for want of contact: they are told at once that it is there again.
        let is_contact_renewed = contact.is_fresh() && !was_fresh;
        let state = AnswerableState {
            members_changed_in: self.membership.changed_in(),
            executors_changed_in: self.executors.changed_in(),
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
            let newer = config.filter(|config| config.version > poll.config_version);
            let body = newer.map(|config| config.body.to_vec());
            let update = if is_partitioned && body.is_none() {
                MembershipUpdate { is_partitioned: true, ..MembershipUpdate::default() }
            } else {
                MembershipUpdate { contact_age_ms: contact.age_ms(), ..self.update_for(now, &poll, body) }
            };
            self.effects.push(RegistryEffect::SendUpdate { to: node, update });
        }
    }

    fn update_for(&self, now: Millis, poll: &Poll, config: Option<Vec<u8>>) -> MembershipUpdate {
        let has_own_version = poll.incarnation == self.incarnation;
        // A node that has nothing takes a list that may be incomplete; one that has a list keeps it until this one is complete.
        if !(self.is_ready || poll.incarnation == 0 || has_own_version) {
            let (incarnation, version) = (poll.incarnation, poll.version);
            return MembershipUpdate { incarnation, version, config, ..MembershipUpdate::default() };
        }
        let since = if has_own_version { poll.version } else { 0 };
        let has_new_members = !has_own_version || self.membership.changed_in() > since;
        let is_store = poll.role == NodeRole::Store;
        MembershipUpdate {
            incarnation: self.incarnation,
            version: self.version.current(),
            is_partitioned: false,
            is_complete: is_store && !has_own_version,
            config,
            members: has_new_members.then(|| self.members().to_vec()),
            executors: if is_store { self.executors_since(now, since, has_own_version) } else { Vec::new() },
            contact_age_ms: 0,
        }
    }

    /// The executors that have changed since a version; those that are offline only if the node may know them.
    fn executors_since(&self, now: Millis, since: u64, with_offline: bool) -> Vec<Heartbeat> {
        let changed = self.executors.records().filter(|record| record.changed_in > since);
        let relevant =
            changed.filter(|record| with_offline || record.heartbeat.state != ExecutorState::Offline);
        relevant.map(|record| record.aged_heartbeat(now)).collect()
    }
}

/// Whether there is something new for a node that polled.
fn is_answerable(poll: &Poll, incarnation: u64, state: &AnswerableState) -> bool {
    let has_own_version = poll.incarnation == incarnation;
    let may_be_sent_list = state.is_ready || poll.incarnation == 0 || has_own_version;
    let has_new_members = state.members_changed_in > poll.version;
    let has_new_executors = poll.role == NodeRole::Store && state.executors_changed_in > poll.version;
    let is_newer = !has_own_version || has_new_members || has_new_executors;
    (may_be_sent_list && is_newer) || poll.config_version < state.config_version
}
