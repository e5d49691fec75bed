//! Which nodes are members: by their sessions here, by those that other control nodes report, and the control nodes themselves.

use crate::executors::HEARTBEAT_GOSSIP_INTERVAL;
use crate::messages::{Member, Millis, NodeId, NodeRole, RetirementState};
use crate::version::VersionCounter;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Most nodes that can have sessions here.
const MAX_SESSIONS: usize = 20_000;
/// A session still counts for so long after its connection ended: most nodes reconnect at once.
pub const SESSION_GRACE: Millis = 1500;
/// Changes of the sessions are broadcast no sooner than so after the last broadcast: each one holds all sessions, so many nodes
/// that connect at once are reported together. Those of stores make a list of members; of the others only operators are told.
const MIN_BROADCAST_INTERVAL: Millis = 100;
const MIN_BROADCAST_INTERVAL_OF_OTHERS: Millis = 1000;
/// The members change at most so often in each [`CHANGE_WINDOW`]: every node is sent the whole list then, and where the power is
/// back, all stores come within a second. What a small fleet can change in that time is told at once: nodes that wait for a store
/// to be listed reject messages meanwhile.
const MAX_CHANGES_PER_WINDOW: usize = 12;
const CHANGE_WINDOW: Millis = 500;
/// The sessions are broadcast after so long even if nothing has changed.
const MAX_BROADCAST_INTERVAL: Millis = 10_000;
/// The sessions of a control node that is not connected hold for so long after it was last heard.
const PEER_SESSIONS_LIFETIME: Millis = SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL;

/// A node that polls this control node.
#[derive(Clone, Debug)]
pub struct Session {
    /// The node, as it described itself with its last poll.
    pub member: Member,
    /// When it last polled, or when its connection ended.
    pub last_seen: Millis,
    /// The connection exists.
    pub is_connected: bool,
}

impl Session {
    fn counts(&self, now: Millis) -> bool {
        self.is_connected || now < self.last_seen + SESSION_GRACE
    }
}

/// What has changed of the sessions since they were broadcast last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UnsentChange {
    Nothing,
    /// What only operators look at: sessions of other nodes than stores, and which configuration a node has.
    ForOperators,
    /// Sessions of stores.
    OfStores,
}

/// The sessions that another control node reported last.
struct PeerSessions {
    /// When anything was last heard of that control node.
    last_heard: Millis,
    members: Vec<Member>,
}

/// The nodes of the system.
pub struct Membership {
    own: Member,
    sessions: HashMap<NodeId, Session>,
    peer_sessions: HashMap<NodeId, PeerSessions>,
    /// Control nodes that are connected.
    peers: BTreeMap<NodeId, Member>,
    members: Vec<Member>,
    /// The version of the last change of the members.
    changed_in: u64,
    /// When the members changed: the last [`MAX_CHANGES_PER_WINDOW`] times, the oldest first.
    changed_at: VecDeque<Millis>,
    /// The members have to be computed again.
    is_stale: bool,
    unsent_change: UnsentChange,
    last_broadcast: Millis,
}

impl Membership {
    /// `own` is the control node that the registry runs in.
    pub fn new(own: Member) -> Membership {
        Membership {
            own,
            sessions: HashMap::new(),
            peer_sessions: HashMap::new(),
            peers: BTreeMap::new(),
            members: Vec::new(),
            changed_in: 0,
            changed_at: VecDeque::new(),
            is_stale: true,
            unsent_change: UnsentChange::Nothing,
            last_broadcast: 0,
        }
    }

    /// The members, in the order of their identifiers.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The version of the last change of the members.
    pub fn changed_in(&self) -> u64 {
        self.changed_in
    }

    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    pub fn session(&self, node: NodeId) -> Option<&Session> {
        self.sessions.get(&node)
    }

    /// The nodes with sessions at other control nodes, as those reported.
    pub fn peer_session_members(&self) -> impl Iterator<Item = &Member> {
        self.peer_sessions.values().flat_map(|sessions| &sessions.members)
    }

    /// The members have to be computed again before they are used.
    pub fn invalidate(&mut self) {
        self.is_stale = true;
    }

    pub fn peer_connected(&mut self, peer: Member) {
        self.peers.insert(peer.node, peer);
        // It knows nothing of the sessions here.
        self.unsent_change = UnsentChange::OfStores;
        self.is_stale = true;
    }

    pub fn peer_disconnected(&mut self, peer: NodeId) {
        self.peers.remove(&peer);
        self.is_stale = true;
    }

    pub fn peer_heard(&mut self, peer: NodeId, at: Millis) {
        if let Some(sessions) = self.peer_sessions.get_mut(&peer) {
            sessions.last_heard = at.max(sessions.last_heard);
        }
    }

    pub fn record_peer_sessions(&mut self, now: Millis, peer: NodeId, members: Vec<Member>) {
        self.peer_sessions.insert(peer, PeerSessions { last_heard: now, members });
        self.is_stale = true;
    }

    /// The control nodes that are connected.
    pub fn peers(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.peers.keys().copied()
    }

    /// Whether a node's session can be kept.
    pub fn has_room_for(&self, node: NodeId) -> bool {
        self.sessions.len() < MAX_SESSIONS || self.sessions.contains_key(&node)
    }

    /// Notes that a node has polled.
    pub fn record_session(&mut self, now: Millis, member: Member) {
        let old = self.sessions.get(&member.node);
        let is_same = old.is_some_and(|old| {
            old.is_connected
                && old.member.incarnation == member.incarnation
                && old.member.retirement == member.retirement
        });
        // Only operators look at it, and they may ask any control node: so the peers have to know, but no member list changes.
        let has_other_config = old.is_none_or(|old| old.member.config_version != member.config_version);
        if !is_same {
            tracing::info!(node = member.name, role = %member.role, "session");
        }
        if has_other_config || !is_same {
            self.note_unsent(!is_same && member.role == NodeRole::Store);
        }
        self.is_stale |= !is_same;
        self.sessions.insert(member.node, Session { member, last_seen: now, is_connected: true });
    }

    pub fn session_disconnected(&mut self, now: Millis, node: NodeId) {
        if let Some(session) = self.sessions.get_mut(&node) {
            session.is_connected = false;
            session.last_seen = now;
        }
    }

    /// Computes the members again if anything has happened that could change them.
    pub fn refresh(&mut self, version: &mut VersionCounter, now: Millis) {
        if now < self.next_refresh() {
            return;
        }
        self.is_stale = false;
        self.expire_sessions(now);
        let members = self.compute_members();
        if members != self.members {
            self.members = members;
            self.changed_in = version.advance();
            self.note_change(now);
        }
    }

    fn note_change(&mut self, now: Millis) {
        if self.changed_at.len() == MAX_CHANGES_PER_WINDOW {
            self.changed_at.pop_front();
        }
        self.changed_at.push_back(now);
    }

    /// When the members are to be computed again; far in the future where nothing has happened.
    pub fn next_refresh(&self) -> Millis {
        if !self.is_stale {
            return Millis::MAX;
        }
        let is_window_full = self.changed_at.len() == MAX_CHANGES_PER_WINDOW;
        let oldest = self.changed_at.front().filter(|_| is_window_full);
        oldest.map_or(0, |changed_at| changed_at + CHANGE_WINDOW)
    }

    fn expire_sessions(&mut self, now: Millis) {
        let ended = self.sessions.values().filter(|session| !session.counts(now));
        let ended: Vec<NodeRole> = ended.map(|session| session.member.role).collect();
        self.sessions.retain(|_, session| session.counts(now));
        ended.into_iter().for_each(|role| self.note_unsent(role == NodeRole::Store));
        // A connection ends with silence, and peers report again only what changes, so what they reported holds while they are
        // connected. By the clock alone, all stores with sessions elsewhere would be dropped for seconds after this process was
        // suspended.
        let peers = &self.peers;
        self.peer_sessions.retain(|peer, sessions| {
            peers.contains_key(peer) || now < sessions.last_heard + PEER_SESSIONS_LIFETIME
        });
    }

    fn compute_members(&self) -> Vec<Member> {
        let mut members: BTreeMap<NodeId, Member> = BTreeMap::new();
        let own_sessions = self.sessions.values().map(|session| &session.member);
        let stores = own_sessions.chain(self.peer_session_members()).filter(|m| m.role == NodeRole::Store);
        for store in stores {
            // One that has moved to another control node may still have a connection with the one before, whose report is then
            // older. Retirement never goes back, so the further state is the newer.
            let other = members.get(&store.node);
            let known = other.map_or(RetirementState::NotRetiring, |other| other.retirement);
            let retirement = store.retirement.max(known);
            members.insert(store.node, Member { retirement, ..without_volatile_fields(store) });
        }
        for control in self.peers.values().chain(std::iter::once(&self.own)) {
            members.insert(control.node, without_volatile_fields(control));
        }
        members.into_values().collect()
    }

    /// The sessions, if they are to be broadcast now.
    pub fn take_unsent_sessions(&mut self, now: Millis) -> Option<Vec<Member>> {
        if now < self.next_broadcast() && now < self.last_broadcast + MAX_BROADCAST_INTERVAL {
            return None;
        }
        self.unsent_change = UnsentChange::Nothing;
        self.last_broadcast = now;
        let sessions = self.sessions.values().filter(|session| session.counts(now));
        Some(sessions.map(|session| session.member.clone()).collect())
    }

    /// When changed sessions are to be broadcast; far in the future where nothing has changed.
    pub fn next_broadcast(&self) -> Millis {
        match self.unsent_change {
            UnsentChange::Nothing => Millis::MAX,
            UnsentChange::ForOperators => self.last_broadcast + MIN_BROADCAST_INTERVAL_OF_OTHERS,
            UnsentChange::OfStores => self.last_broadcast + MIN_BROADCAST_INTERVAL,
        }
    }

    fn note_unsent(&mut self, is_of_store: bool) {
        let change = if is_of_store { UnsentChange::OfStores } else { UnsentChange::ForOperators };
        self.unsent_change = self.unsent_change.max(change);
    }
}

/// A member without what changes while it stays one: else each change would be a new list for all nodes.
fn without_volatile_fields(member: &Member) -> Member {
    Member { config_version: 0, incarnation: 0, ..member.clone() }
}
