//! Who is there, as one control node knows it: executors by their calls, nodes by their sessions, and who is told what. A
//! state machine: calls, sessions and a steady clock go in, [`Effect`]s come out.
//!
//! - Executors: each control node has the whole table. What is told of one is merged by its count of calls, so a late call
//!   changes nothing, and told on to the other control nodes, a change at once.
//! - Nodes: a node is a member while its session stands here or at another control node, and a little longer, for most that
//!   go are back at once.
//! - News: a node asks with the version it has, and is answered when there is something newer for it, or after a while.
//!
//! Nothing of this is on disk: after a start the executors call again within their interval, and until then nobody who has a
//! list is told of a shorter one.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(missing_docs)]

mod executors;
mod types;

pub use executors::Known;
pub use types::*;

use executors::Executors;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A node asks again as soon as it is answered; with no news it is answered after so long.
pub const HOLD: Millis = 900;
/// One that hears no primary says so, so late after it was asked.
pub const CUT: Millis = 300;
/// A session that ended is counted for so long: most nodes are back at once.
pub const GRACE: Millis = 1500;
/// Control nodes tell each other which executors called so often, and changes at once.
pub const TELL: Millis = 500;
/// Their sessions they tell when these have changed, no sooner than so after the last time: many that come at once are told
/// of together, for each time all are told of. What was told holds as long as the node that told it is heard.
const CHANGED: Millis = 100;
/// And again after so long all the same.
const ANEW: Millis = 10_000;
/// How often silent executors and lost sessions are looked for.
const LOOK: Millis = 200;
/// Most nodes and executors that are kept.
const MOST: usize = 20_000;

/// What the program is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    News {
        to: Node,
        news: News,
    },
    /// To every other control node that is connected.
    TellSessions(Vec<Member>),
    TellHeartbeats(Vec<Heartbeat>),
    /// To one control node that has just been met: all that is known.
    AllHeartbeats {
        to: Node,
        heartbeats: Vec<Heartbeat>,
    },
}

#[derive(Clone, Debug)]
pub struct Session {
    pub member: Member,
    /// When it last asked, or when its connection ended.
    pub seen: Millis,
    pub up: bool,
}

struct Ask {
    life: u64,
    version: u64,
    config: u64,
    at: Millis,
    class: Class,
}

pub struct Registry {
    me: Member,
    /// Of this process: another start counts anew.
    life: u64,
    version: u64,
    executors: Executors,
    pub sessions: HashMap<Node, Session>,
    /// What other control nodes told of theirs, and when.
    pub told: HashMap<Node, (Millis, Vec<Member>)>,
    /// Control nodes that are connected.
    cores: BTreeMap<Node, Member>,
    pub members: Vec<Member>,
    members_changed: u64,
    /// Questions that have no answer yet; by when they came; those that came since the last look; and what there was to tell
    /// then. All of them are gone through only when there is something new.
    asks: HashMap<Node, Ask>,
    by_time: BTreeSet<(Millis, Node)>,
    new_asks: Vec<Node>,
    looked: (u64, u64, u64, bool),
    /// From here on what it knows is whole enough for those that know more than nothing.
    ready_at: Millis,
    pub ready: bool,
    tell_at: Millis,
    look_at: Millis,
    /// Members are to be counted again.
    recount: bool,
    sessions_changed: bool,
    sessions_told: Millis,
    effects: Vec<Effect>,
}

impl Registry {
    /// `life` is a number that no other start of any process has.
    pub fn new(me: Member, life: u64, beat_interval_ms: Millis, now: Millis) -> Registry {
        Registry {
            life,
            version: 1,
            executors: Executors::new(beat_interval_ms, now),
            sessions: HashMap::new(),
            told: HashMap::new(),
            cores: BTreeMap::new(),
            members: Vec::new(),
            members_changed: 0,
            asks: HashMap::new(),
            by_time: BTreeSet::new(),
            new_asks: Vec::new(),
            looked: (0, 0, 0, false),
            ready_at: now + beat_interval_ms * 3 / 2 + 200,
            ready: false,
            tell_at: now + TELL,
            look_at: now,
            recount: true,
            sessions_changed: false,
            sessions_told: 0,
            effects: Vec::new(),
            me,
        }
    }

    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn executors(&self) -> impl Iterator<Item = &Known> {
        self.executors.all.values()
    }

    /// A store that is a member, by its name.
    pub fn store(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| m.class == Class::Store && m.name == name)
    }

    /// The stores that stay if these go as well as those that have said that they do.
    pub fn stay_without<'a>(&'a self, goes: impl Fn(Node) -> bool + 'a) -> impl Iterator<Item = &'a Member> {
        let stores = self.members.iter().filter(|m| m.class == Class::Store && m.retiring == Retiring::No);
        stores.filter(move |m| !goes(m.node))
    }

    // ---- Executors ----

    /// An executor called here.
    pub fn heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        let id = heartbeat.id.clone();
        // A change is told on before the answer goes out: both leave with the same turn of the loop.
        let changed = self.executors.merge(&mut self.version, now, heartbeat);
        self.executors.called(id, changed);
    }

    /// An executor said that it ends.
    pub fn leave(&mut self, id: &str) {
        if self.executors.end(&mut self.version, id) {
            self.executors.called(id.to_string(), true);
        }
    }

    /// Another control node tells what executors told it.
    pub fn told_heartbeats(&mut self, now: Millis, heartbeats: Vec<Heartbeat>) {
        let whole = heartbeats.len() > 1;
        for heartbeat in heartbeats {
            self.executors.merge(&mut self.version, now, heartbeat);
        }
        // One that knows them all has told them.
        if !self.ready && whole {
            self.ready_at = self.ready_at.min(now + 300);
        }
    }

    // ---- Nodes ----

    /// Another control node is connected.
    pub fn core_up(&mut self, now: Millis, core: Member) {
        if self.ready {
            let heartbeats = self.executors.all.values().map(|known| known.aged(now)).collect();
            self.effects.push(Effect::AllHeartbeats { to: core.node, heartbeats });
        }
        self.cores.insert(core.node, core);
        // It knows nothing of the sessions here.
        self.sessions_changed = true;
        self.recount = true;
    }

    pub fn core_down(&mut self, core: Node) {
        self.cores.remove(&core);
        self.recount = true;
    }

    /// Something, whatever it is, was heard of another control node then: what it told of its sessions still holds.
    pub fn core_heard(&mut self, core: Node, at: Millis) {
        if let Some((told, _)) = self.told.get_mut(&core) {
            *told = at.max(*told);
        }
    }

    /// Another control node tells of its sessions.
    pub fn told_sessions(&mut self, now: Millis, from: Node, members: Vec<Member>) {
        self.told.insert(from, (now, members));
        self.recount = true;
    }

    /// A node asks: that is its session. `life` and `version` are those of the news that it had last.
    pub fn asked(&mut self, now: Millis, member: Member, life: u64, version: u64) {
        let node = member.node;
        if self.sessions.len() >= MOST && !self.sessions.contains_key(&node) {
            return;
        }
        let same = |s: &Session| s.up && s.member.life == member.life && s.member.retiring == member.retiring;
        let old = self.sessions.get(&node);
        let new = !old.is_some_and(same);
        // No news to anyone but operators, whom any control node tells it.
        self.sessions_changed |= old.is_none_or(|s| s.member.config != member.config);
        let ask = Ask { life, version, config: member.config, at: now, class: member.class };
        if let Some(old) = self.asks.insert(node, ask) {
            self.by_time.remove(&(old.at, node));
        }
        self.by_time.insert((now, node));
        self.new_asks.push(node);
        if new {
            tracing::info!(node = member.name, class = %member.class, "session");
        }
        self.sessions.insert(node, Session { member, seen: now, up: true });
        if new {
            self.sessions_changed = true;
            self.recount = true;
        }
    }

    /// The connection with a node ended.
    pub fn session_down(&mut self, now: Millis, node: Node) {
        if let Some(ask) = self.asks.remove(&node) {
            self.by_time.remove(&(ask.at, node));
        }
        if let Some(session) = self.sessions.get_mut(&node) {
            (session.up, session.seen) = (false, now);
        }
    }

    /// Who is there: own sessions, those that other control nodes tell, and the control nodes themselves.
    fn count_members(&mut self, now: Millis) {
        let before = self.sessions.len();
        self.sessions.retain(|_, s| s.up || now < s.seen + GRACE);
        self.sessions_changed |= self.sessions.len() < before;
        // As long as the connection stands, which ends with silence: it is told anew only when it changes. Given up by the clock
        // alone, after a sleep of this node all stores with sessions elsewhere would be no members for seconds.
        let cores = &self.cores;
        self.told.retain(|node, (at, _)| cores.contains_key(node) || now < *at + GRACE + TELL);
        let mut all: BTreeMap<Node, Member> = BTreeMap::new();
        let own = self.sessions.values().map(|s| &s.member);
        let others = self.told.values().flat_map(|(_, members)| members);
        // What changes without a node's coming or going is left out: it would be news to all each time.
        let plain = |member: &Member| Member { config: 0, life: 0, ..member.clone() };
        for member in own.chain(others).filter(|m| m.class == Class::Store) {
            // A store that has turned to another control node may have a session with the one before as well, for the connection
            // stands: what it said there is older. Nobody who is to be emptied ever goes back on it.
            let known = all.get(&member.node).map_or(Retiring::No, |other| other.retiring);
            let retiring = member.retiring.max(known);
            all.insert(member.node, Member { retiring, ..plain(member) });
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
        if !self.ready && now >= self.ready_at {
            self.ready = true;
            self.version += 1;
            self.recount = true;
        }
        if now >= self.look_at {
            self.look_at = now + LOOK;
            self.executors.look_for_silent(&mut self.version, now, in_touch);
            self.recount = true;
        }
        if std::mem::take(&mut self.recount) {
            self.count_members(now);
        }
        let routine = now >= self.tell_at;
        if routine {
            self.tell_at = now + TELL;
        }
        let heartbeats = self.executors.untold(now, routine);
        if !heartbeats.is_empty() {
            self.effects.push(Effect::TellHeartbeats(heartbeats));
        }
        let changed = self.sessions_changed && now >= self.sessions_told + CHANGED;
        if changed || now >= self.sessions_told + ANEW {
            (self.sessions_changed, self.sessions_told) = (false, now);
            let all = self.sessions.values().filter(|s| s.up || now < s.seen + GRACE);
            self.effects.push(Effect::TellSessions(all.map(|s| s.member.clone()).collect()));
        }
        self.answer(now, in_touch, force);
    }

    pub fn next(&self) -> Millis {
        let hold = self.by_time.first().map_or(Millis::MAX, |(at, _)| at + HOLD);
        let tell = if self.sessions_changed { self.sessions_told + CHANGED } else { Millis::MAX };
        hold.min(self.tell_at).min(self.look_at).min(tell)
    }

    fn answer(&mut self, now: Millis, in_touch: bool, force: Option<(u64, &[u8])>) {
        let version = force.map_or(0, |(version, _)| version);
        let executors_changed = self.executors.changed();
        let wait = if !in_touch && self.ready { CUT } else { HOLD };
        let due = |ask: &Ask| {
            let executors = if ask.class == Class::Store { executors_changed } else { 0 };
            let tells = self.ready || ask.life == 0 || ask.life == self.life;
            let newer =
                ask.life != self.life || self.members_changed > ask.version || executors > ask.version;
            (tells && newer) || ask.config < version || now >= ask.at + wait
        };
        let there_is = (self.members_changed, executors_changed, version, self.ready);
        let new = std::mem::take(&mut self.new_asks);
        let due: Vec<Node> = if std::mem::replace(&mut self.looked, there_is) != there_is {
            self.asks.iter().filter(|(_, ask)| due(ask)).map(|(node, _)| *node).collect()
        } else {
            let waited = self.by_time.iter().take_while(|(at, _)| now >= at + wait).map(|(_, node)| *node);
            waited.chain(new).filter(|node| self.asks.get(node).is_some_and(due)).collect()
        };
        for node in due {
            let Some(ask) = self.asks.remove(&node) else { continue };
            self.by_time.remove(&(ask.at, node));
            let config = force.filter(|(v, _)| *v > ask.config).map(|(_, body)| body.to_vec());
            let news = if !in_touch && self.ready && config.is_none() {
                News { cut_off: true, ..News::default() }
            } else {
                self.news(now, &ask, config)
            };
            self.effects.push(Effect::News { to: node, news });
        }
    }

    fn news(&self, now: Millis, ask: &Ask, config: Option<Vec<u8>>) -> News {
        let known = ask.life == self.life;
        // One that has just begun knows nobody: a part of the list is more than it has. One that has a list keeps that until
        // this node's is whole.
        if !(self.ready || ask.life == 0 || known) {
            return News { life: ask.life, version: ask.version, config, ..News::default() };
        }
        let since = if known { ask.version } else { 0 };
        let mut news = News { life: self.life, version: self.version, config, ..News::default() };
        if !known || self.members_changed > since {
            news.members = Some(self.members.clone());
        }
        if ask.class == Class::Store {
            news.whole = !known;
            let changed = self.executors.all.values().filter(|k| k.changed > since);
            let told = changed.filter(|k| known || k.heartbeat.standing != Standing::Gone);
            news.servers = told.map(|k| k.aged(now)).collect();
        }
        news
    }
}
