//! Who is there, as one control node knows it: executors by their calls, nodes by their sessions, and who is told what. A
//! state machine: calls, sessions and a steady clock go in, [`RegistryEffect`]s come out.
//!
//! - Executors: each control node has the whole table. What is told of one is merged by its count of calls, so a late call
//!   changes nothing, and told on to the other control nodes, a change at once.
//! - Nodes: a node is a member while its session stands here or at another control node, and a little longer, for most that
//!   go are back at once.
//! - News: a node asks with the version it has, and is answered when there is something newer for it, or after a while.
//!
//! Nothing of this is on disk: after a start the executors call again within their interval, and until then nobody who has a
//! list is told of a shorter one.

use crate::executors::{ExecutorRecord, Executors};
use crate::messages::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A node asks again as soon as it is answered; with no news it is answered after so long.
pub const LONG_POLL_TIMEOUT: Millis = 900;
/// One that hears no primary says so, so late after it was asked.
pub const PARTITIONED_POLL_TIMEOUT: Millis = 300;
/// A session that ended is counted for so long: most nodes are back at once.
pub const SESSION_GRACE: Millis = 1500;
/// Control nodes tell each other which executors called so often, and changes at once.
pub const HEARTBEAT_GOSSIP_INTERVAL: Millis = 500;
/// Their sessions they tell when these have changed, no sooner than so after the last time: many that come at once are told
/// of together, for each time all are told of. What was told holds as long as the node that told it is heard.
const SESSION_BROADCAST_GAP: Millis = 100;
/// And again after so long all the same.
const SESSION_REBROADCAST_INTERVAL: Millis = 10_000;
/// How often silent executors and lost sessions are looked for.
const EXPIRY_CHECK_INTERVAL: Millis = 200;
/// Most nodes and executors that are kept.
pub(crate) const MAX_ENTRIES: usize = 20_000;

/// What the program is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryEffect {
    SendUpdate {
        to: NodeId,
        update: MembershipUpdate,
    },
    /// To every other control node that is connected.
    BroadcastSessions(Vec<Member>),
    BroadcastHeartbeats(Vec<Heartbeat>),
    /// To one control node that has just been met: all that is known.
    SendHeartbeats {
        to: NodeId,
        heartbeats: Vec<Heartbeat>,
    },
}

#[derive(Clone, Debug)]
pub struct Session {
    pub member: Member,
    /// When it last asked, or when its connection ended.
    pub last_seen: Millis,
    pub is_connected: bool,
}

struct Ask {
    incarnation: u64,
    version: u64,
    config: u64,
    at: Millis,
    role: NodeRole,
}

pub struct Registry {
    me: Member,
    /// Of this process: another start counts anew.
    incarnation: u64,
    version: u64,
    executors: Executors,
    pub sessions: HashMap<NodeId, Session>,
    /// What other control nodes told of theirs, and when.
    pub peer_sessions: HashMap<NodeId, (Millis, Vec<Member>)>,
    /// Control nodes that are connected.
    cores: BTreeMap<NodeId, Member>,
    pub members: Vec<Member>,
    members_changed: u64,
    /// Questions that have no answer yet; by when they came; those that came since the last look; and what there was to tell
    /// then. All of them are gone through only when there is something new.
    asks: HashMap<NodeId, Ask>,
    by_time: BTreeSet<(Millis, NodeId)>,
    new_asks: Vec<NodeId>,
    looked: (u64, u64, u64, bool),
    /// From here on what it knows is whole enough for those that know more than nothing.
    ready_at: Millis,
    pub is_ready: bool,
    tell_at: Millis,
    look_at: Millis,
    /// Members are to be counted again.
    recount: bool,
    sessions_changed: bool,
    sessions_told: Millis,
    effects: Vec<RegistryEffect>,
}

impl Registry {
    /// `life` is a number that no other start of any process has.
    pub fn new(me: Member, incarnation: u64, beat_interval_ms: Millis, now: Millis) -> Registry {
        Registry {
            incarnation,
            version: 1,
            executors: Executors::new(beat_interval_ms, now),
            sessions: HashMap::new(),
            peer_sessions: HashMap::new(),
            cores: BTreeMap::new(),
            members: Vec::new(),
            members_changed: 0,
            asks: HashMap::new(),
            by_time: BTreeSet::new(),
            new_asks: Vec::new(),
            looked: (0, 0, 0, false),
            ready_at: now + beat_interval_ms * 3 / 2 + 200,
            is_ready: false,
            tell_at: now + HEARTBEAT_GOSSIP_INTERVAL,
            look_at: now,
            recount: true,
            sessions_changed: false,
            sessions_told: 0,
            effects: Vec::new(),
            me,
        }
    }

    pub fn take_effects(&mut self) -> Vec<RegistryEffect> {
        std::mem::take(&mut self.effects)
    }

    pub fn executors(&self) -> impl Iterator<Item = &ExecutorRecord> {
        self.executors.all.values()
    }

    /// A store that is a member, by its name.
    pub fn store_named(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| m.role == NodeRole::Store && m.name == name)
    }

    /// The stores that stay if these go as well as those that have said that they do.
    pub fn stores_remaining_without<'a>(
        &'a self,
        goes: impl Fn(NodeId) -> bool + 'a,
    ) -> impl Iterator<Item = &'a Member> {
        let stores = self
            .members
            .iter()
            .filter(|m| m.role == NodeRole::Store && m.retirement == RetirementState::NotRetiring);
        stores.filter(move |m| !goes(m.node))
    }

    // ---- Executors ----

    /// An executor called here.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        let id = heartbeat.id.clone();
        // A change is told on before the answer goes out: both leave with the same turn of the loop.
        let changed = self.executors.merge(&mut self.version, now, heartbeat);
        self.executors.called(id, changed);
    }

    /// An executor said that it ends.
    pub fn deregister_executor(&mut self, id: &str) {
        if self.executors.end(&mut self.version, id) {
            self.executors.called(id.to_string(), true);
        }
    }

    /// Another control node tells what executors told it.
    pub fn merge_peer_heartbeats(&mut self, now: Millis, heartbeats: Vec<Heartbeat>) {
        let whole = heartbeats.len() > 1;
        for heartbeat in heartbeats {
            self.executors.merge(&mut self.version, now, heartbeat);
        }
        // One that knows them all has told them.
        if !self.is_ready && whole {
            self.ready_at = self.ready_at.min(now + 300);
        }
    }

    // ---- Nodes ----

    /// Another control node is connected.
    pub fn peer_connected(&mut self, now: Millis, core: Member) {
        if self.is_ready {
            let heartbeats = self.executors.all.values().map(|known| known.aged(now)).collect();
            self.effects.push(RegistryEffect::SendHeartbeats { to: core.node, heartbeats });
        }
        self.cores.insert(core.node, core);
        // It knows nothing of the sessions here.
        self.sessions_changed = true;
        self.recount = true;
    }

    pub fn peer_disconnected(&mut self, core: NodeId) {
        self.cores.remove(&core);
        self.recount = true;
    }

    /// Something, whatever it is, was heard of another control node then: what it told of its sessions still holds.
    pub fn peer_heard(&mut self, core: NodeId, at: Millis) {
        if let Some((told, _)) = self.peer_sessions.get_mut(&core) {
            *told = at.max(*told);
        }
    }

    /// Another control node tells of its sessions.
    pub fn record_peer_sessions(&mut self, now: Millis, from: NodeId, members: Vec<Member>) {
        self.peer_sessions.insert(from, (now, members));
        self.recount = true;
    }

    /// A node asks: that is its session. `life` and `version` are those of the news that it had last.
    pub fn record_poll(&mut self, now: Millis, member: Member, incarnation: u64, version: u64) {
        let node = member.node;
        if self.sessions.len() >= MAX_ENTRIES && !self.sessions.contains_key(&node) {
            return;
        }
        let same = |s: &Session| {
            s.is_connected
                && s.member.incarnation == member.incarnation
                && s.member.retirement == member.retirement
        };
        let old = self.sessions.get(&node);
        let new = !old.is_some_and(same);
        // No news to anyone but operators, whom any control node tells it.
        self.sessions_changed |= old.is_none_or(|s| s.member.config_version != member.config_version);
        let ask = Ask { incarnation, version, config: member.config_version, at: now, role: member.role };
        if let Some(old) = self.asks.insert(node, ask) {
            self.by_time.remove(&(old.at, node));
        }
        self.by_time.insert((now, node));
        self.new_asks.push(node);
        if new {
            tracing::info!(node = member.name, role = %member.role, "session");
        }
        self.sessions.insert(node, Session { member, last_seen: now, is_connected: true });
        if new {
            self.sessions_changed = true;
            self.recount = true;
        }
    }

    /// The connection with a node ended.
    pub fn session_disconnected(&mut self, now: Millis, node: NodeId) {
        if let Some(ask) = self.asks.remove(&node) {
            self.by_time.remove(&(ask.at, node));
        }
        if let Some(session) = self.sessions.get_mut(&node) {
            (session.is_connected, session.last_seen) = (false, now);
        }
    }

    /// Who is there: own sessions, those that other control nodes tell, and the control nodes themselves.
    fn count_members(&mut self, now: Millis) {
        let before = self.sessions.len();
        self.sessions.retain(|_, s| s.is_connected || now < s.last_seen + SESSION_GRACE);
        self.sessions_changed |= self.sessions.len() < before;
        // As long as the connection stands, which ends with silence: it is told anew only when it changes. Given up by the clock
        // alone, after a sleep of this node all stores with sessions elsewhere would be no members for seconds.
        let cores = &self.cores;
        self.peer_sessions.retain(|node, (at, _)| {
            cores.contains_key(node) || now < *at + SESSION_GRACE + HEARTBEAT_GOSSIP_INTERVAL
        });
        let mut all: BTreeMap<NodeId, Member> = BTreeMap::new();
        let own = self.sessions.values().map(|s| &s.member);
        let others = self.peer_sessions.values().flat_map(|(_, members)| members);
        // What changes without a node's coming or going is left out: it would be news to all each time.
        let plain = |member: &Member| Member { config_version: 0, incarnation: 0, ..member.clone() };
        for member in own.chain(others).filter(|m| m.role == NodeRole::Store) {
            // A store that has turned to another control node may have a session with the one before as well, for the connection
            // stands: what it said there is older. Nobody who is to be emptied ever goes back on it.
            let known = all.get(&member.node).map_or(RetirementState::NotRetiring, |other| other.retirement);
            let retirement = member.retirement.max(known);
            all.insert(member.node, Member { retirement, ..plain(member) });
        }
        for core in self.cores.values().chain(std::iter::once(&self.me)) {
            all.insert(core.node, plain(core));
        }
        let all: Vec<Member> = all.into_values().collect();
        if all != self.members {
            self.members = all;
            self.version += 1;
            self.members_changed = self.version;
        }
    }

    // ---- Time and news ----

    /// What is due. `in_touch`: this node leads or hears the primary; `force` is the configuration that is in force.
    pub fn tick(&mut self, now: Millis, in_touch: bool, force: Option<(u64, &[u8])>) {
        if !self.is_ready && now >= self.ready_at {
            self.is_ready = true;
            self.version += 1;
            self.recount = true;
        }
        if now >= self.look_at {
            self.look_at = now + EXPIRY_CHECK_INTERVAL;
            self.executors.look_for_silent(&mut self.version, now, in_touch);
            self.recount = true;
        }
        if std::mem::take(&mut self.recount) {
            self.count_members(now);
        }
        let routine = now >= self.tell_at;
        if routine {
            self.tell_at = now + HEARTBEAT_GOSSIP_INTERVAL;
        }
        let heartbeats = self.executors.untold(now, routine);
        if !heartbeats.is_empty() {
            self.effects.push(RegistryEffect::BroadcastHeartbeats(heartbeats));
        }
        let changed = self.sessions_changed && now >= self.sessions_told + SESSION_BROADCAST_GAP;
        if changed || now >= self.sessions_told + SESSION_REBROADCAST_INTERVAL {
            (self.sessions_changed, self.sessions_told) = (false, now);
            let all = self.sessions.values().filter(|s| s.is_connected || now < s.last_seen + SESSION_GRACE);
            self.effects.push(RegistryEffect::BroadcastSessions(all.map(|s| s.member.clone()).collect()));
        }
        self.answer(now, in_touch, force);
    }

    pub fn next_deadline(&self) -> Millis {
        let hold = self.by_time.first().map_or(Millis::MAX, |(at, _)| at + LONG_POLL_TIMEOUT);
        let tell =
            if self.sessions_changed { self.sessions_told + SESSION_BROADCAST_GAP } else { Millis::MAX };
        hold.min(self.tell_at).min(self.look_at).min(tell)
    }

    fn answer(&mut self, now: Millis, in_touch: bool, force: Option<(u64, &[u8])>) {
        let version = force.map_or(0, |(version, _)| version);
        let executors_changed = self.executors.changed();
        let wait = if !in_touch && self.is_ready { PARTITIONED_POLL_TIMEOUT } else { LONG_POLL_TIMEOUT };
        let due = |ask: &Ask| {
            let executors = if ask.role == NodeRole::Store { executors_changed } else { 0 };
            let tells = self.is_ready || ask.incarnation == 0 || ask.incarnation == self.incarnation;
            let newer = ask.incarnation != self.incarnation
                || self.members_changed > ask.version
                || executors > ask.version;
            (tells && newer) || ask.config < version || now >= ask.at + wait
        };
        let there_is = (self.members_changed, executors_changed, version, self.is_ready);
        let new = std::mem::take(&mut self.new_asks);
        let due: Vec<NodeId> = if std::mem::replace(&mut self.looked, there_is) != there_is {
            self.asks.iter().filter(|(_, ask)| due(ask)).map(|(node, _)| *node).collect()
        } else {
            let waited = self.by_time.iter().take_while(|(at, _)| now >= at + wait).map(|(_, node)| *node);
            waited.chain(new).filter(|node| self.asks.get(node).is_some_and(due)).collect()
        };
        for node in due {
            let Some(ask) = self.asks.remove(&node) else { continue };
            self.by_time.remove(&(ask.at, node));
            let config = force.filter(|(v, _)| *v > ask.config).map(|(_, body)| body.to_vec());
            let news = if !in_touch && self.is_ready && config.is_none() {
                MembershipUpdate { is_partitioned: true, ..MembershipUpdate::default() }
            } else {
                self.news(now, &ask, config)
            };
            self.effects.push(RegistryEffect::SendUpdate { to: node, update: news });
        }
    }

    fn news(&self, now: Millis, ask: &Ask, config: Option<Vec<u8>>) -> MembershipUpdate {
        let known = ask.incarnation == self.incarnation;
        // One that has just begun knows nobody: a part of the list is more than it has. One that has a list keeps that until
        // this node's is whole.
        if !(self.is_ready || ask.incarnation == 0 || known) {
            return MembershipUpdate {
                incarnation: ask.incarnation,
                version: ask.version,
                config,
                ..MembershipUpdate::default()
            };
        }
        let since = if known { ask.version } else { 0 };
        let mut news = MembershipUpdate {
            incarnation: self.incarnation,
            version: self.version,
            config,
            ..MembershipUpdate::default()
        };
        if !known || self.members_changed > since {
            news.members = Some(self.members.clone());
        }
        if ask.role == NodeRole::Store {
            news.is_complete = !known;
            let changed = self.executors.all.values().filter(|k| k.changed > since);
            let told = changed.filter(|k| known || k.heartbeat.state != ExecutorState::Offline);
            news.executors = told.map(|k| k.aged(now)).collect();
        }
        news
    }
}
