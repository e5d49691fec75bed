//! The control node: executors' and operators' calls, sessions of nodes, the configuration with the others, and news.

mod report;

use crate::calls::{
    self, Desk, Done, Heard, Heartbeat, Leave, ReadSettings, Replace, Replaced, Retire, RetireBegin, Settings,
};
use crate::links::Word;
use crate::net::{Answer, Bounds, ConnId, Event, Millis, Request};
use crate::node::{lot, Common};
use crate::report::Told;
use crate::signals::{Beat, Class, Hello, Member, News, Passed, Signal, Standing};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use stileroute_charter::Config;
use stileroute_hold::Node;
use stileroute_logbook::{Fold, Logbook, Options, Trouble};
use stileroute_pilotage::{Effect, Kept, Pilotage, Record, Terms, Verdict};

/// A node asks again as soon as it is answered; with no news it is answered after so long.
const HOLD: Millis = 900;
/// One that hears no primary says so, so late after it was asked.
const CUT: Millis = 300;
/// A session that ended is counted for so long: most nodes are back at once.
const GRACE: Millis = 1500;
/// Control nodes tell each other what they hold so often, and changes at once.
const TELL: Millis = 500;
/// What an executor that is gone is remembered for: late calls of it must not bring it back.
const TOMB: Millis = 60_000;
/// Most executors and nodes that are kept.
const MOST: usize = 20_000;

#[derive(Default)]
struct Ledger(Kept);

impl Fold for Ledger {
    fn apply(&mut self, record: &[u8]) {
        match postcard::from_bytes(record) {
            Ok(record) => self.0.apply(record),
            Err(error) => tracing::error!(%error, "a record that can't be read"),
        }
    }
    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        for record in self.0.records() {
            if let Ok(bytes) = postcard::to_stdvec(&record) {
                out(&bytes);
            }
        }
    }
}

struct Session {
    member: Member,
    /// When it last asked, or when its connection ended.
    seen: Millis,
    up: bool,
}

struct Ask {
    life: u64,
    version: u64,
    config: u64,
    at: Millis,
    class: Class,
}

struct Known {
    beat: Beat,
    heard: Millis,
    changed: u64,
}

enum Place {
    Here(ConnId),
    /// Another control node passed it on.
    There(Node, u64),
}

pub struct Core {
    common: Common,
    control: usize,
    pilot: Pilotage,
    disk: Logbook,
    disk_said: Receiver<(u64, Result<(), Trouble>)>,
    sessions: HashMap<Node, Session>,
    /// What other control nodes told of theirs, and when.
    told: HashMap<Node, (Millis, Vec<Member>)>,
    members: Vec<Member>,
    members_changed: u64,
    servers: HashMap<String, Known>,
    asks: HashMap<Node, Ask>,
    places: HashMap<u64, Place>,
    next_place: u64,
    life: u64,
    version: u64,
    /// From here on what it knows of executors and nodes is whole enough to be told.
    ready_at: Millis,
    ready: bool,
    tell_at: Millis,
    /// Executors that called, and those of them with news, since the others were told.
    fresh: Vec<String>,
    urgent: Vec<String>,
    /// Calls by their place while the machine settles them, and those that another settles.
    calls: HashMap<u64, Passed>,
    passed: HashMap<u64, (Node, bool)>,
    sessions_changed: bool,
    look_at: Millis,
    /// When it last heard no primary.
    out_of_touch: Millis,
    released: Option<Millis>,
}

impl Core {
    pub fn new(mut common: Common) -> miette::Result<Core> {
        let boot = &common.boot;
        let at = boot
            .control
            .ok_or_else(|| miette::miette!("settings: bind_addresses.control: missing for this role"))?;
        let dir = boot
            .data_dir
            .clone()
            .ok_or_else(|| miette::miette!("settings: data_dir: missing for a control node"))?;
        let dir = dir.join("watch");
        std::fs::create_dir_all(&dir).map_err(|e| miette::miette!("{}: {e}", dir.display()))?;
        let (said, disk_said) = std::sync::mpsc::channel();
        let waker = std::sync::Arc::clone(&common.waker);
        let done = move |ticket, result| {
            let _ = said.send((ticket, result));
            let _ = waker.wake();
        };
        let options = Options {
            room: boot.means.disk_mb << 20,
            checkpoint_after: 4 << 20,
            lazy_sync: Duration::from_millis(200),
            ..Options::new("watch")
        };
        let (disk, ledger) = Logbook::open::<Ledger>(&dir, options, done)
            .map_err(|e| miette::miette!("{}: {e}", dir.display()))?;
        let terms = Terms::new(at, boot.seeds.clone(), boot.first_start, boot.losses.machines, lot());
        let bounds = Bounds { body: 8 << 20, ..Bounds::default() };
        let control =
            common.net.listen(at, Some(bounds)).map_err(|e| miette::miette!("control address: {e}"))?;
        let now = common.net.now();
        let wait = common.boot.beat_interval_ms * 3 / 2 + 200;
        let pilot = Pilotage::new(terms, ledger.0, now);
        tracing::info!(blank = pilot.blank(), epoch = pilot.watch().map_or(0, |w| w.epoch), "disk read");
        Ok(Core {
            control,
            pilot,
            disk,
            disk_said,
            sessions: HashMap::new(),
            told: HashMap::new(),
            members: Vec::new(),
            members_changed: 0,
            servers: HashMap::new(),
            asks: HashMap::new(),
            places: HashMap::new(),
            next_place: 1,
            life: lot(),
            version: 1,
            ready_at: now + wait,
            ready: false,
            tell_at: now + TELL,
            fresh: Vec::new(),
            urgent: Vec::new(),
            calls: HashMap::new(),
            passed: HashMap::new(),
            sessions_changed: false,
            look_at: now,
            out_of_touch: now,
            released: None,
            common,
        })
    }

    pub fn run(mut self) -> miette::Result<()> {
        loop {
            let now = self.common.net.now();
            let hold = self.asks.values().map(|ask| ask.at + HOLD).min().unwrap_or(Millis::MAX);
            let until = self.pilot.next(now).min(self.tell_at).min(self.look_at).min(hold);
            let (words, events) = self.common.turn(until);
            words.into_iter().for_each(|word| self.word(word));
            events.into_iter().for_each(|event| self.event(event));
            self.inquiries();
            let now = self.common.net.now();
            self.pilot.tick(now);
            self.look_after(now);
            self.carry_out();
            self.connect();
            self.answer_asks(now);
            if self.common.told_to_end() {
                self.pilot.release(now);
                self.carry_out();
            }
            if self.may_end(now) {
                self.common.net.flush_all();
                self.disk.stop();
                return Ok(());
            }
        }
    }

    /// The duty is with another, and calls that are in hand have been answered.
    fn may_end(&mut self, now: Millis) -> bool {
        let Some(since) = self.common.leaving_since else { return false };
        let released = self.released.is_some_and(|at| now > at + 400);
        if now > since + 300 {
            self.common.net.stop_listening(self.control);
        }
        (released && self.common.net.in_hand() == 0 && self.places.is_empty())
            || now > since + self.common.boot.bounds.grace_ms.saturating_sub(1500)
    }

    /// Of two control nodes the one with the lower address opens the connection.
    fn connect(&mut self) {
        let me = self.common.boot.ip;
        let mut all: Vec<std::net::Ipv4Addr> = self.common.boot.seeds.iter().map(|s| *s.ip()).collect();
        all.extend(self.pilot.watch().iter().flat_map(|w| w.voters.iter().map(|v| *v.ip())));
        all.extend(self.members.iter().filter(|m| m.class == Class::Core).map(|m| m.ip));
        // One that is no seed is not known to the others: it opens the connections itself.
        let seed = self.common.boot.seeds.iter().any(|s| *s.ip() == me);
        let wanted: Vec<SocketAddrV4> = all
            .into_iter()
            .filter(|ip| *ip > me || (!seed && *ip != me && self.common.links.up().all(|h| h.ip != *ip)))
            .map(|ip| self.common.links.address(ip, Class::Core))
            .collect();
        let now = self.common.net.now();
        self.common.links.want(now, wanted);
    }

    // ---- What is said ----

    fn word(&mut self, word: Word) {
        let now = self.common.net.now();
        match word {
            Word::Up(hello) if hello.class == Class::Core => {
                if let Some(control) = hello.control {
                    self.pilot.link(now, control, true);
                    self.pilot.learn(control);
                }
                if self.ready {
                    let all: Vec<Beat> = self.servers.values().map(|k| aged(k, now)).collect();
                    self.common.links.say(&mut self.common.net, hello.node, &Signal::Beats(all));
                }
                self.sessions_changed = true;
                self.count_members(now);
            }
            Word::Up(_) => {}
            Word::Down(node, Class::Core) => {
                let control = self.members.iter().find(|m| m.node == node).and_then(|m| m.control);
                if let Some(control) = control {
                    self.pilot.link(now, control, false);
                }
                let lost: Vec<u64> = self
                    .places
                    .iter()
                    .filter(|(_, place)| matches!(place, Place::There(to, _) if *to == node))
                    .map(|(place, _)| *place)
                    .collect();
                lost.into_iter().for_each(|place| {
                    self.places.remove(&place);
                });
                self.passed_to_lost(node);
            }
            Word::Down(node, _) => {
                self.asks.remove(&node);
                if let Some(session) = self.sessions.get_mut(&node) {
                    (session.up, session.seen) = (false, now);
                }
            }
            Word::Said(from, class, Signal::Ask { life, version, config }) if class != Class::Core => {
                self.asked(now, from, class, Ask { life, version, config, at: now, class });
            }
            Word::Said(from, Class::Core, Signal::Pilot(signal)) => {
                if let Some(voter) = self.common.links.hello(from).and_then(|h| h.control) {
                    self.pilot.signal(now, voter, signal);
                }
            }
            Word::Said(from, Class::Core, Signal::Sessions(members)) => {
                self.told.insert(from, (now, members));
                self.count_members(now);
            }
            Word::Said(_, Class::Core, Signal::Beats(beats)) => {
                let whole = beats.len() > 1;
                beats.into_iter().for_each(|beat| self.merge(now, beat));
                // Another that knew them all has told them.
                if !self.ready && whole {
                    self.ready_at = self.ready_at.min(now + 300);
                }
            }
            Word::Said(from, Class::Core, Signal::Pass { ticket, call }) => {
                let place = self.place(Place::There(from, ticket));
                match call {
                    Passed::Replace { body } => match Config::read(&body) {
                        Ok(config) => self.pilot.replace(now, place, config.revision, body),
                        Err(faults) => self.said(place, calls::fault(400, &faults.to_string())),
                    },
                    Passed::Read => self.pilot.read(now, place),
                }
            }
            Word::Said(_, Class::Core, Signal::Settled { ticket, status, body }) => {
                self.passed.remove(&ticket);
                let retry = if status == 503 { vec![("Retry-After", "1".to_string())] } else { Vec::new() };
                self.said(ticket, Answer { status, json: true, body, headers: retry, close: false });
            }
            Word::Said(..) => {}
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.common.net.now();
        match event {
            Event::Woken => {
                while let Ok((ticket, result)) = self.disk_said.try_recv() {
                    if let Err(error) = &result {
                        tracing::error!(%error, "disk refuses");
                    }
                    self.pilot.kept(now, ticket, result.is_ok());
                }
            }
            Event::Request { conn, request, .. } => self.request(conn, &request),
            _ => {}
        }
    }

    fn request(&mut self, conn: ConnId, request: &Request) {
        let place = self.place(Place::Here(conn));
        let answer = calls::handle::<Heartbeat, _>(self, place, request)
            .or_else(|| calls::handle::<Leave, _>(self, place, request))
            .or_else(|| calls::handle::<Replace, _>(self, place, request))
            .or_else(|| calls::handle::<ReadSettings, _>(self, place, request))
            .or_else(|| calls::handle::<RetireBegin, _>(self, place, request));
        match answer {
            Some(Some(answer)) => self.said(place, answer),
            Some(None) => {}
            None => self.said(place, Answer::bare(404)),
        }
    }

    fn place(&mut self, place: Place) -> u64 {
        self.next_place += 1;
        self.places.insert(self.next_place, place);
        self.next_place
    }

    fn said(&mut self, place: u64, answer: Answer) {
        match self.places.remove(&place) {
            Some(Place::Here(conn)) => {
                let close = self.common.leaving_since.is_some();
                self.common.net.answer(conn, Answer { close, ..answer });
            }
            Some(Place::There(node, ticket)) => {
                let signal = Signal::Settled { ticket, status: answer.status, body: answer.body };
                self.common.links.say(&mut self.common.net, node, &signal);
            }
            None => {}
        }
    }

    /// Calls that were passed to a node that is gone: it may have settled them.
    fn passed_to_lost(&mut self, node: Node) {
        let here: Vec<u64> =
            self.passed.iter().filter(|(_, (to, _))| *to == node).map(|(place, _)| *place).collect();
        for place in here {
            let read = self.passed.remove(&place).is_some_and(|(_, read)| read);
            let answer = if read { Settings::NotNow.into() } else { Replaced::Uncertain.into() };
            self.said(place, answer);
        }
    }

    /// What this node can't settle goes to the one that can, if it is known and there.
    fn pass(&mut self, place: u64, primary: Option<SocketAddrV4>) -> bool {
        let Some(call) = self.calls.remove(&place) else { return false };
        let to = primary.and_then(|p| self.common.links.by_control(p));
        // Only from here: a call goes on once, not round and round.
        let here = matches!(self.places.get(&place), Some(Place::Here(_)));
        let Some(to) = to.filter(|_| here) else { return false };
        self.passed.insert(place, (to, matches!(call, Passed::Read)));
        self.common.links.say(&mut self.common.net, to, &Signal::Pass { ticket: place, call })
    }

    fn carry_out(&mut self) {
        loop {
            let effects = self.pilot.take();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.effect(effect));
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, signal } => {
                if let Some(node) = self.common.links.by_control(to) {
                    self.common.links.say(&mut self.common.net, node, &Signal::Pilot(signal));
                }
            }
            Effect::Keep { ticket, record } => {
                self.disk.append(ticket, vec![record_bytes(&record)], true);
            }
            Effect::Answer { ticket, verdict } => {
                let read = matches!(self.calls.get(&ticket), Some(Passed::Read));
                match verdict {
                    Verdict::NotPrimary { primary } => {
                        if !self.pass(ticket, primary) {
                            let answer = if read { Settings::NotNow.into() } else { Replaced::NotNow.into() };
                            self.said(ticket, answer);
                        }
                        return;
                    }
                    Verdict::Accepted | Verdict::Unchanged => self.said(ticket, Replaced::InForce.into()),
                    Verdict::Uncertain => self.said(ticket, Replaced::Uncertain.into()),
                    Verdict::NotDone => self.said(ticket, Replaced::NotNow.into()),
                }
                self.calls.remove(&ticket);
            }
            Effect::Chart { ticket, chart } => {
                self.calls.remove(&ticket);
                let settings = chart.map_or(Settings::None, |chart| Settings::Whole(chart.body));
                self.said(ticket, settings.into());
            }
            Effect::InForce { version } => {
                tracing::info!(version, "configuration in force");
                if let Some(chart) = self.pilot.in_force() {
                    self.common.config = Config::read(&chart.body).ok().map(std::sync::Arc::new);
                }
            }
            Effect::Turn { epoch, what } => tracing::info!(epoch, what, "control duty"),
            Effect::Released => self.released = Some(self.common.net.now()),
        }
    }

    // ---- Executors ----

    /// What was told of an executor: the higher count of calls is the newer.
    fn merge(&mut self, now: Millis, beat: Beat) {
        let heard = now.saturating_sub(beat.age_ms);
        if let Some(known) = self.servers.get_mut(&beat.id) {
            if beat.call_count < known.beat.call_count
                || (known.beat.standing == Standing::Gone && beat.call_count == known.beat.call_count)
            {
                return;
            }
            known.heard = known.heard.max(heard);
            let old = std::mem::replace(&mut known.beat, beat);
            let same = old.standing == known.beat.standing
                && old.address == known.beat.address
                && old.backend == known.beat.backend
                && old.capacity == known.beat.capacity;
            if !same {
                self.version += 1;
                known.changed = self.version;
                tracing::info!(id = known.beat.id, standing = %known.beat.standing, "executor");
            }
            return;
        }
        if self.servers.len() >= MOST {
            return;
        }
        // A new life at an address ends the one that was there: it may be another service's now.
        self.version += 1;
        let version = self.version;
        for known in self.servers.values_mut() {
            if known.beat.address == beat.address
                && known.beat.standing != Standing::Gone
                && known.heard <= heard
            {
                known.beat.standing = Standing::Gone;
                known.changed = version;
            }
        }
        tracing::info!(id = beat.id, backend = beat.backend, standing = %beat.standing, "executor");
        self.servers.insert(beat.id.clone(), Known { beat, heard, changed: version });
    }

    fn look_after(&mut self, now: Millis) {
        if !self.ready && now >= self.ready_at {
            self.ready = true;
            self.version += 1;
            self.count_members(now);
        }
        if now >= self.tell_at || !self.urgent.is_empty() || self.sessions_changed {
            self.tell(now);
        }
        if now < self.look_at {
            return;
        }
        self.look_at = now + 200;
        let silent = self.common.boot.beat_interval_ms * 16 / 5 + 300;
        let mut version = self.version;
        if !self.pilot.in_touch(now) {
            // Cut off from the others: executors call them, and their silence here says nothing.
            self.out_of_touch = now;
        }
        let quiet = now > self.out_of_touch + silent;
        for known in self.servers.values_mut().filter(|_| quiet) {
            if known.beat.standing != Standing::Gone && now > known.heard + silent {
                known.beat.standing = Standing::Gone;
                version += 1;
                known.changed = version;
                tracing::info!(id = known.beat.id, "executor silent");
            }
        }
        self.version = version;
        self.servers.retain(|_, known| known.beat.standing != Standing::Gone || now < known.heard + TOMB);
        self.count_members(now);
    }

    fn tell(&mut self, now: Millis) {
        let cores = self.common.links.class(Class::Core);
        let routine = now >= self.tell_at;
        let ids = if routine {
            self.tell_at = now + TELL;
            self.urgent.clear();
            std::mem::take(&mut self.fresh)
        } else {
            std::mem::take(&mut self.urgent)
        };
        let mut beats: Vec<Beat> = Vec::new();
        for id in ids {
            if let Some(known) = self.servers.get(&id).filter(|_| !beats.iter().any(|b| b.id == id)) {
                beats.push(aged(known, now));
            }
        }
        let sessions = (routine || std::mem::take(&mut self.sessions_changed)).then(|| {
            let all = self.sessions.values().filter(|s| s.up || now < s.seen + GRACE);
            Signal::Sessions(all.map(|s| s.member.clone()).collect())
        });
        for core in cores {
            if !beats.is_empty() {
                self.common.links.say(&mut self.common.net, core, &Signal::Beats(beats.clone()));
            }
            if let Some(sessions) = &sessions {
                self.common.links.say(&mut self.common.net, core, sessions);
            }
        }
    }

    // ---- Sessions and news ----

    fn asked(&mut self, now: Millis, from: Node, class: Class, ask: Ask) {
        let Some(hello) = self.common.links.hello(from).cloned() else { return };
        if self.sessions.len() >= MOST {
            return;
        }
        let new = self.sessions.get(&from).is_none_or(|s| !s.up || s.member.life != hello.life);
        let member = member_of(&hello, ask.config);
        self.sessions.insert(from, Session { member, seen: now, up: true });
        self.asks.insert(from, ask);
        if new {
            tracing::info!(node = hello.name, %class, "session");
            self.sessions_changed = true;
            self.count_members(now);
        }
    }

    /// Who is there: own sessions, those that other control nodes tell, and the control nodes themselves.
    fn count_members(&mut self, now: Millis) {
        self.sessions.retain(|_, s| s.up || now < s.seen + GRACE);
        self.told.retain(|_, (at, _)| now < *at + GRACE + TELL);
        let mut all: BTreeMap<Node, Member> = BTreeMap::new();
        let own = self.sessions.values().map(|s| &s.member);
        let others = self.told.values().flat_map(|(_, members)| members);
        for member in own.chain(others).filter(|m| m.class == Class::Store) {
            all.insert(member.node, Member { config: 0, life: 0, ..member.clone() });
        }
        for hello in self.common.links.up().chain(std::iter::once(self.common.links.me())) {
            if hello.class == Class::Core {
                all.insert(hello.node, Member { life: 0, ..member_of(hello, 0) });
            }
        }
        let all: Vec<Member> = all.into_values().collect();
        if all != self.members {
            self.members = all;
            self.version += 1;
            self.members_changed = self.version;
        }
    }

    fn answer_asks(&mut self, now: Millis) {
        let force = self.pilot.in_force().map_or(0, |chart| chart.version);
        let servers_changed = self.servers.values().map(|k| k.changed).max().unwrap_or(0);
        let in_touch = self.pilot.in_touch(now);
        let due: Vec<Node> = self
            .asks
            .iter()
            .filter(|(_, ask)| {
                if !in_touch && self.ready && now >= ask.at + CUT {
                    return true;
                }
                let stores = if ask.class == Class::Store { servers_changed } else { 0 };
                let news = (self.ready || ask.life == 0 || ask.life == self.life)
                    && (ask.life != self.life || self.members_changed > ask.version || stores > ask.version);
                news || ask.config < force || now >= ask.at + HOLD
            })
            .map(|(node, _)| *node)
            .collect();
        for node in due {
            let Some(ask) = self.asks.remove(&node) else { continue };
            if !in_touch && self.ready && ask.config >= force {
                let news = News { cut_off: true, ..News::default() };
                self.common.links.say(&mut self.common.net, node, &Signal::News(news));
                continue;
            }
            let known = ask.life == self.life;
            let since = if known { ask.version } else { 0 };
            let config = self.pilot.in_force().filter(|c| c.version > ask.config).map(|c| c.body.clone());
            let mut news = News { config, ..News::default() };
            if self.ready || ask.life == 0 || known {
                // One that has just begun knows nobody: a part of the list is more than it has. One that has a list keeps
                // that until this node's is whole.
                (news.life, news.version) = (self.life, self.version);
                if !known || self.members_changed > since {
                    news.members = Some(self.members.clone());
                }
                if ask.class == Class::Store {
                    news.whole = !known;
                    let changed = self.servers.values().filter(|k| k.changed > since);
                    let told = changed.filter(|k| known || k.beat.standing != Standing::Gone);
                    news.servers = told.map(|k| aged(k, now)).collect();
                }
            } else {
                (news.life, news.version) = (ask.life, ask.version);
            }
            self.common.links.say(&mut self.common.net, node, &Signal::News(news));
        }
    }
}

fn member_of(hello: &Hello, config: u64) -> Member {
    Member {
        node: hello.node,
        name: hello.name.clone(),
        class: hello.class,
        zone: hello.zone.clone(),
        ip: hello.ip,
        life: hello.life,
        control: hello.control,
        config,
    }
}

/// An executor as it is told on: with how long ago it called, and how much colder it was then.
fn aged(known: &Known, now: Millis) -> Beat {
    let age_ms = now.saturating_sub(known.heard);
    let cold_left_ms = known.beat.cold_left_ms.saturating_sub(age_ms);
    Beat { age_ms, cold_left_ms, ..known.beat.clone() }
}

fn record_bytes(record: &Record) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_default()
}

impl Desk<Heartbeat> for Core {
    fn settle(&mut self, _: u64, call: Heartbeat) -> Option<Heard> {
        let now = self.common.net.now();
        let before = self.version;
        let id = call.id.clone();
        self.merge(
            now,
            Beat {
                id: call.id,
                backend: call.backend,
                address: call.address,
                zone: call.zone,
                capacity: call.capacity,
                standing: if call.draining { Standing::Draining } else { Standing::Serving },
                cold_left_ms: call.cold_left_ms,
                call_count: call.call_count,
                age_ms: 0,
            },
        );
        // A change is told on before the answer goes out: both leave at the end of this turn.
        if self.version != before {
            self.urgent.push(id.clone());
        }
        self.fresh.push(id);
        // Cut off from the others it could not tell them: the executor is to tell another as well.
        Some(Heard { beat_url: None, told: self.pilot.in_touch(now) || !self.ready })
    }
}

impl Desk<Leave> for Core {
    fn settle(&mut self, _: u64, call: Leave) -> Option<Done> {
        if let Some(known) = self.servers.get_mut(&call.id) {
            if known.beat.standing != Standing::Gone {
                tracing::info!(id = call.id, "executor leaves");
            }
            known.beat.standing = Standing::Gone;
            self.version += 1;
            known.changed = self.version;
            self.urgent.push(call.id.clone());
            self.fresh.push(call.id);
        }
        Some(Done)
    }
}

impl Desk<Replace> for Core {
    fn settle(&mut self, place: u64, call: Replace) -> Option<Replaced> {
        let now = self.common.net.now();
        self.calls.insert(place, Passed::Replace { body: call.body.clone() });
        self.pilot.replace(now, place, call.version, call.body);
        self.carry_out();
        None
    }
}

impl Desk<ReadSettings> for Core {
    fn settle(&mut self, place: u64, _: ReadSettings) -> Option<Settings> {
        let now = self.common.net.now();
        self.calls.insert(place, Passed::Read);
        self.pilot.read(now, place);
        self.carry_out();
        None
    }
}

impl Desk<RetireBegin> for Core {
    fn settle(&mut self, _: u64, call: RetireBegin) -> Option<Retire> {
        let known = self.members.iter().any(|m| m.class == Class::Store && m.name == call.node);
        Some(if known { Retire::TooFew } else { Retire::Unknown })
    }
}
