//! Computes which nodes are members: stores with a session here, stores with a session that another control
//! node reports, and the control nodes themselves.

use crate::executors::HEARTBEAT_GOSSIP_INTERVAL;
use crate::messages::{Member, Millis, NodeId, NodeRole, RetirementState};
use crate::version::VersionCounter;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Maximum number of nodes with a session at this control node.
const MAX_SESSIONS: usize = 20_000;
/// Grace period in which a session still counts after its connection has ended, because most nodes reconnect at
/// once.
pub const SESSION_GRACE: Millis = 1500;
/// Minimum interval between two broadcasts of the sessions. Each broadcast holds all sessions, so the interval
/// batches many nodes that connect at once. Changed sessions of stores change the member list and use the
/// shorter interval; those of other nodes are only shown to operators and use the longer one.
const MIN_STORE_BROADCAST_INTERVAL: Millis = 100;
const MIN_OTHER_BROADCAST_INTERVAL: Millis = 1000;
/// Maximum number of changes of the member list in each [`CHANGE_WINDOW`]. Every change sends the whole list to
/// every node, and after a power failure all stores reconnect within a second. The limit is high enough that a
/// small fleet's changes in this window are sent without delay, because nodes that wait for a store to be
/// listed reject messages in the meantime.
const MAX_CHANGES_PER_WINDOW: usize = 12;
const CHANGE_WINDOW: Millis = 500;
/// The sessions are broadcast after this interval even if nothing has changed.
const MAX_BROADCAST_INTERVAL: Millis = 10_000;
/// How long the sessions that a control node reported remain valid after it was last heard, if it is not
/// connected.
const PEER_SESSIONS_LIFETIME: Millis = SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL;

/// The session of a node that polls this control node.
#[derive(Clone, Debug)]
pub struct Session {
    /// The node, as it described itself in its last poll.
    pub member: Member,
    /// When the node last polled, or when its connection ended.
    pub last_seen: Millis,
    /// Whether the node's connection exists.
    pub is_connected: bool,
}

impl Session {
    fn is_active(&self, now: Millis) -> bool {
        self.is_connected || now < self.last_seen + SESSION_GRACE
    }
}

/// What has changed in the sessions since their last broadcast, in increasing order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UnsentChange {
    Nothing,
    /// Only what operators look at: sessions of nodes that are not stores, and the configuration version of a
    /// node.
    OperatorInfo,
    /// Sessions of stores, which change the member list.
    StoreSessions,
}

/// The sessions in the last report of another control node.
struct PeerSessions {
    /// When any message of that control node last arrived.
    last_heard: Millis,
    members: Vec<Member>,
}

/// The sessions of this control node and of its peers, and the member list that is computed from them.
pub struct Membership {
    own: Member,
    sessions: HashMap<NodeId, Session>,
    peer_sessions: HashMap<NodeId, PeerSessions>,
    /// The other control nodes that are connected.
    peers: BTreeMap<NodeId, Member>,
    members: Vec<Member>,
    /// The registry version of the last change of the member list.
    last_change_version: u64,
    /// The times of the last [`MAX_CHANGES_PER_WINDOW`] changes of the member list, the oldest first.
    change_times: VecDeque<Millis>,
    /// Whether the member list has to be computed again.
    is_stale: bool,
    unsent_change: UnsentChange,
    last_broadcast: Millis,
}

impl Membership {
    /// `own` is the control node that this registry runs in.
    pub fn new(own: Member) -> Membership {
        Membership {
            own,
            sessions: HashMap::new(),
            peer_sessions: HashMap::new(),
            peers: BTreeMap::new(),
            members: Vec::new(),
            last_change_version: 0,
            change_times: VecDeque::new(),
            is_stale: true,
            unsent_change: UnsentChange::Nothing,
            last_broadcast: 0,
        }
    }

    /// The members, ordered by node identifier.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The registry version of the last change of the member list.
    pub fn last_change_version(&self) -> u64 {
        self.last_change_version
    }

    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    pub fn session(&self, node: NodeId) -> Option<&Session> {
        self.sessions.get(&node)
    }

    /// The nodes with a session at another control node, according to the last report of that control node.
    pub fn peer_session_members(&self) -> impl Iterator<Item = &Member> {
        self.peer_sessions.values().flat_map(|sessions| &sessions.members)
    }

    /// Marks the member list as stale, so that the next `refresh` computes it again.
    pub fn invalidate(&mut self) {
        self.is_stale = true;
    }

    pub fn peer_connected(&mut self, peer: Member) {
        self.peers.insert(peer.node, peer);
        // The peer knows none of the sessions here, so they have to be broadcast again.
        self.unsent_change = UnsentChange::StoreSessions;
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

    /// The other control nodes that are connected.
    pub fn peers(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.peers.keys().copied()
    }

    /// Whether there is capacity for the session of this node: it has one already, or the maximum is not
    /// reached.
    pub fn has_capacity_for(&self, node: NodeId) -> bool {
        self.sessions.len() < MAX_SESSIONS || self.sessions.contains_key(&node)
    }

    /// Records the session of a node that has polled.
    pub fn record_session(&mut self, now: Millis, member: Member) {
        let old = self.sessions.get(&member.node);
        let is_same = old.is_some_and(|old| {
            old.is_connected
                && old.member.incarnation == member.incarnation
                && old.member.retirement == member.retirement
        });
        // Only operators look at a node's configuration version, and they may ask any control node. So a new
        // version has to be broadcast to the peers, but it changes no member list.
        let has_other_config = old.is_none_or(|old| old.member.config_version != member.config_version);
        if !is_same {
            tracing::info!(node = member.name, role = %member.role, "session");
        }
        if has_other_config || !is_same {
            self.mark_unsent(!is_same && member.role == NodeRole::Store);
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

    /// Computes the member list again if it is stale and the limit on changes per window allows it.
    pub fn refresh(&mut self, version: &mut VersionCounter, now: Millis) {
        if now < self.next_refresh() {
            return;
        }
        self.is_stale = false;
        self.expire_sessions(now);
        let members = self.compute_members();
        if members != self.members {
            self.members = members;
            self.last_change_version = version.advance();
            self.record_change_time(now);
        }
    }

    fn record_change_time(&mut self, now: Millis) {
        if self.change_times.len() == MAX_CHANGES_PER_WINDOW {
            self.change_times.pop_front();
        }
        self.change_times.push_back(now);
    }

    /// When the member list is to be computed again; `Millis::MAX` if it is not stale.
    pub fn next_refresh(&self) -> Millis {
        if !self.is_stale {
            return Millis::MAX;
        }
        let is_window_full = self.change_times.len() == MAX_CHANGES_PER_WINDOW;
        let oldest = self.change_times.front().filter(|_| is_window_full);
        oldest.map_or(0, |change_time| change_time + CHANGE_WINDOW)
    }

    fn expire_sessions(&mut self, now: Millis) {
        let ended_sessions = self.sessions.values().filter(|session| !session.is_active(now));
        let ended_roles: Vec<NodeRole> = ended_sessions.map(|session| session.member.role).collect();
        self.sessions.retain(|_, session| session.is_active(now));
        ended_roles.into_iter().for_each(|role| self.mark_unsent(role == NodeRole::Store));
        // Reported sessions stay valid while the reporting peer is connected: its connection ends if the peer
        // goes silent, and peers repeat only what changes. With a limit on the age alone, all stores with
        // sessions elsewhere would be dropped for seconds after this process was suspended.
        let peers = &self.peers;
        self.peer_sessions.retain(|peer, sessions| {
            peers.contains_key(peer) || now < sessions.last_heard + PEER_SESSIONS_LIFETIME
        });
    }

    fn compute_members(&self) -> Vec<Member> {
        let mut members: BTreeMap<NodeId, Member> = BTreeMap::new();
        let own_sessions = self.sessions.values().map(|session| &session.member);
        let stores =
            own_sessions.chain(self.peer_session_members()).filter(|member| member.role == NodeRole::Store);
        for store in stores {
            // A store that has moved to another control node may still be connected to the previous one, whose
            // report is then older. Retirement never goes back, so the more advanced state is the newer one.
            let other_report = members.get(&store.node);
            let known_retirement =
                other_report.map_or(RetirementState::NotRetiring, |other| other.retirement);
            let retirement = store.retirement.max(known_retirement);
            members.insert(store.node, Member { retirement, ..without_volatile_fields(store) });
        }
        for control in self.peers.values().chain(std::iter::once(&self.own)) {
            members.insert(control.node, without_volatile_fields(control));
        }
        members.into_values().collect()
    }

    /// Takes the sessions for a broadcast if one is due now.
    pub fn take_unsent_sessions(&mut self, now: Millis) -> Option<Vec<Member>> {
        if now < self.next_broadcast() && now < self.last_broadcast + MAX_BROADCAST_INTERVAL {
            return None;
        }
        self.unsent_change = UnsentChange::Nothing;
        self.last_broadcast = now;
        let sessions = self.sessions.values().filter(|session| session.is_active(now));
        Some(sessions.map(|session| session.member.clone()).collect())
    }

    /// When changed sessions are due for a broadcast; `Millis::MAX` if none have changed.
    pub fn next_broadcast(&self) -> Millis {
        match self.unsent_change {
            UnsentChange::Nothing => Millis::MAX,
            UnsentChange::OperatorInfo => self.last_broadcast + MIN_OTHER_BROADCAST_INTERVAL,
            UnsentChange::StoreSessions => self.last_broadcast + MIN_STORE_BROADCAST_INTERVAL,
        }
    }

    fn mark_unsent(&mut self, is_of_store: bool) {
        let change = if is_of_store { UnsentChange::StoreSessions } else { UnsentChange::OperatorInfo };
        self.unsent_change = self.unsent_change.max(change);
    }
}

/// Returns the member without the fields that change while a node stays a member. If they were kept, each
/// change of them would send a new list to all nodes.
fn without_volatile_fields(member: &Member) -> Member {
    Member { config_version: 0, incarnation: 0, ..member.clone() }
}
