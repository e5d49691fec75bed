//! The control node: executors' and operators' calls, sessions of nodes, the configuration with the others, and news.

mod report;

use crate::calls::{
    self, Desk, Done, Heard, Heartbeat, Leave, ReadSettings, Replace, Replaced, Retire, RetireBegin,
    RetireRead, Retired, Settings,
};
use crate::links::Word;
use crate::net::{Answer, Bounds, ConnId, Event, Millis, Request};
use crate::node::{lot, Common};
use crate::report::Told;
use crate::signals::{Beat, Class, Hello, Member, Passed, Retiring, Signal, Standing};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use stileroute_charter::Config;
use stileroute_hold::Node;
use stileroute_logbook::{Fold, Logbook, Options, Trouble};
use stileroute_pilotage::{Effect, Kept, Pilotage, Record, Terms, Verdict};
use stileroute_roster::{Effect as Notice, Roster};

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
    roster: Roster,
    places: HashMap<u64, Place>,
    next_place: u64,
    /// Calls by their place while the machine settles them, and those that another settles.
    calls: HashMap<u64, Passed>,
    passed: HashMap<u64, (Node, bool)>,
    /// Orders to empty a store that it has not confirmed, and since when.
    retirements: HashMap<u64, (String, Millis)>,
    released: Option<Millis>,
    heard_at: Millis,
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
        let losses = boot.losses.machines;
        let terms = Terms::new(at, boot.seeds.clone(), boot.first_start, losses, lot());
        let terms = Terms { places: boot.losses.places(), ..terms };
        let bounds = Bounds { body: 8 << 20, ..Bounds::default() };
        let control =
            common.net.listen(at, Some(bounds)).map_err(|e| miette::miette!("control address: {e}"))?;
        let now = common.net.now();
        let me = member_of(common.links.me(), 0);
        let roster = Roster::new(me, lot(), common.boot.beat_interval_ms, now);
        let pilot = Pilotage::new(terms, ledger.0, now);
        tracing::info!(blank = pilot.blank(), epoch = pilot.watch().map_or(0, |w| w.epoch), "disk read");
        Ok(Core {
            control,
            pilot,
            disk,
            disk_said,
            roster,
            places: HashMap::new(),
            next_place: 1,
            calls: HashMap::new(),
            passed: HashMap::new(),
            retirements: HashMap::new(),
            released: None,
            heard_at: 0,
            common,
        })
    }

    pub fn run(mut self) -> miette::Result<()> {
        loop {
            let now = self.common.net.now();
            let until = self.pilot.next(now).min(self.roster.next());
            let (words, events) = self.common.turn(until);
            words.into_iter().for_each(|word| self.word(word));
            events.into_iter().for_each(|event| self.event(event));
            self.inquiries();
            let now = self.common.net.now();
            self.pilot.tick(now);
            self.carry_out();
            self.connect();
            self.tell(now);
            self.answer_retirements(now);
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
        if !self.common.stirred() {
            return;
        }
        let me = self.common.boot.ip;
        let mut all: Vec<std::net::Ipv4Addr> = self.common.boot.seeds.iter().map(|s| *s.ip()).collect();
        all.extend(self.pilot.watch().iter().flat_map(|w| w.voters.iter().map(|v| *v.ip())));
        all.extend(self.roster.members.iter().filter(|m| m.class == Class::Core).map(|m| m.ip));
        // One that is no seed is not known to the others: it opens the connections itself.
        let seed = self.common.boot.seeds.iter().any(|s| *s.ip() == me);
        let wanted: Vec<SocketAddrV4> = all
            .into_iter()
            .filter(|ip| {
                *ip > me || (!seed && *ip != me && self.common.links.hellos(Class::Core).all(|h| h.ip != *ip))
            })
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
                self.roster.core_up(now, member_of(&hello, 0));
            }
            Word::Up(_) => {}
            Word::Down(node, Class::Core) => {
                let control = self.roster.members.iter().find(|m| m.node == node).and_then(|m| m.control);
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
                self.roster.core_down(node);
            }
            Word::Down(node, _) => self.roster.session_down(now, node),
            Word::Said(from, class, Signal::Ask { life, version, config, retiring })
                if class != Class::Core =>
            {
                if let Some(hello) = self.common.links.hello(from) {
                    let member = Member { retiring, ..member_of(hello, config) };
                    self.roster.asked(now, member, life, version);
                }
            }
            Word::Said(from, Class::Core, Signal::Pilot(signal)) => {
                if let Some(voter) = self.common.links.hello(from).and_then(|h| h.control) {
                    self.pilot.signal(now, voter, signal);
                }
            }
            Word::Said(_, Class::Core, Signal::Retire { node }) => {
                self.roster.order(now, node);
                self.order_retirement(node);
            }
            Word::Said(from, Class::Core, Signal::Sessions(members)) => {
                self.roster.told_sessions(now, from, members)
            }
            Word::Said(_, Class::Core, Signal::Beats(beats)) => self.roster.told_beats(now, beats),
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
            .or_else(|| calls::handle::<RetireBegin, _>(self, place, request))
            .or_else(|| calls::handle::<RetireRead, _>(self, place, request));
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
            Effect::InForce { .. } => self.in_force(),
            Effect::Turn { epoch, what } => tracing::info!(epoch, what, "control duty"),
            Effect::Released => self.released = Some(self.common.net.now()),
        }
    }

    /// The replicated value changed: the configuration may have, or which stores are retired.
    fn in_force(&mut self) {
        let Some(chart) = self.pilot.in_force() else { return };
        let known = self.common.config.as_ref().map_or(0, |config| config.revision);
        if chart.version > 0 && chart.version != known {
            tracing::info!(version = chart.version, "configuration in force");
            self.common.config = Config::read(&chart.body).ok().map(std::sync::Arc::new);
        }
    }

    /// A control node in an executor's own zone, where this one is in another: a beat there crosses none. Bare, as an address
    /// and port; a URL is not followed.
    fn near_core(&self, zone: &str) -> Option<String> {
        if self.common.boot.zone == zone {
            return None;
        }
        let near = self.common.links.hellos(Class::Core).find(|h| h.zone == zone)?;
        near.control.map(|at| at.to_string())
    }

    /// To the store, if its session is here.
    fn order_retirement(&mut self, node: Node) {
        if self.roster.sessions.get(&node).is_some_and(|s| s.up) {
            self.common.links.say(&mut self.common.net, node, &Signal::Retire { node });
        }
    }

    /// Orders to empty a store are answered when the store has the order on its disk.
    fn answer_retirements(&mut self, now: Millis) {
        let places: Vec<u64> = self.retirements.keys().copied().collect();
        for place in places {
            let Some((name, since)) = self.retirements.get(&place).cloned() else { continue };
            let taken = self.roster.store(&name).is_some_and(|m| m.retiring != Retiring::No);
            if taken || now > since + RETIRE {
                self.retirements.remove(&place);
                self.said(place, if taken { Retire::Taken.into() } else { Retire::NotNow.into() });
            }
        }
    }

    /// Who is there, and who is told of it.
    fn tell(&mut self, now: Millis) {
        let in_touch = self.pilot.in_touch(now);
        if now >= self.heard_at {
            self.heard_at = now + HEARD;
            for core in self.common.links.class(Class::Core) {
                if let Some(at) = self.common.links.heard(core) {
                    self.roster.core_heard(core, at);
                }
            }
        }
        let force = self.pilot.in_force().filter(|chart| chart.version > 0);
        let force = force.map(|chart| (chart.version, chart.body.as_slice()));
        self.roster.tick(now, in_touch, force);
        for effect in self.roster.take() {
            let (to, signal) = match effect {
                Notice::News { to, news } => (vec![to], Signal::News(news)),
                Notice::AllBeats { to, beats } => (vec![to], Signal::Beats(beats)),
                Notice::TellBeats(beats) => (self.common.links.class(Class::Core), Signal::Beats(beats)),
                Notice::TellSessions(all) => (self.common.links.class(Class::Core), Signal::Sessions(all)),
            };
            for node in to {
                self.common.links.say(&mut self.common.net, node, &signal);
            }
        }
    }
}

/// How often it is looked when other control nodes were heard.
const HEARD: Millis = 200;
/// An order to empty a store is confirmed by then, or the operator sends it again: he goes elsewhere after a second of silence.
const RETIRE: Millis = 900;

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
        retiring: Retiring::No,
    }
}

fn record_bytes(record: &Record) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_default()
}

impl Desk<Heartbeat> for Core {
    fn settle(&mut self, _: u64, call: Heartbeat) -> Option<Heard> {
        let now = self.common.net.now();
        let beat_url = self.near_core(&call.zone);
        self.roster.beat(
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
        // Cut off from the others it could not tell them: the executor is to tell another as well.
        Some(Heard { beat_url, told: self.pilot.in_touch(now) || !self.roster.ready })
    }
}

impl Desk<Leave> for Core {
    fn settle(&mut self, _: u64, call: Leave) -> Option<Done> {
        self.roster.leave(&call.id);
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
    fn settle(&mut self, place: u64, call: RetireBegin) -> Option<Retire> {
        let Some(store) = self.roster.store(&call.node) else { return Some(Retire::Unknown) };
        let (node, retiring) = (store.node, store.retiring);
        if retiring != Retiring::No {
            return Some(Retire::Taken);
        }
        // Every message lies on so many stores. With just as many left none can be taken while one is away.
        let now = self.common.net.now();
        let left = self.roster.stay_without(now, node).map(|m| m.zone.as_str());
        if !self.common.boot.suffice(left) {
            return Some(Retire::TooFew);
        }
        self.roster.order(now, node);
        self.retirements.insert(place, (call.node, now));
        self.order_retirement(node);
        for core in self.common.links.class(Class::Core) {
            self.common.links.say(&mut self.common.net, core, &Signal::Retire { node });
        }
        None
    }
}

impl Desk<RetireRead> for Core {
    fn settle(&mut self, _: u64, call: RetireRead) -> Option<Retired> {
        let complete = self.roster.retired.contains(&call.node);
        Some(match self.roster.store(&call.node).map(|m| m.retiring) {
            Some(Retiring::Rolling) => Retired::Rolling,
            Some(Retiring::Complete) => Retired::Complete,
            None if complete => Retired::Complete,
            _ => Retired::Unknown,
        })
    }
}
