//! Two or three stores, their disks and connections, one edge and one executor, in virtual time.

use super::choices::LAPSE;
use super::invariants::QueueBreach;
use super::stores::{config, executor, Disk, Store, Writing, WALL};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use stileroute_queue::{Effect, Key, Message, Millis, Node, Outcome, PeerMessage, Planted, Queue, Refusal};

/// What the stores are asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueScript {
    /// One message each: at once, after a while, refused by the executor.
    Taking,
    /// The same, and the first store is emptied, with an attempt out that fails late.
    Emptying,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    pub stores: usize,
    pub script: QueueScript,
    pub troubles: u8,
    pub delays: u8,
    /// The longer span of each trouble, and of the records under way all or none.
    pub one_span: bool,
    /// No second store is away, for longer than others wait for it, while one is: one loss is to be borne.
    pub one_away: bool,
    /// Choices at one step of a store in so many.
    pub every: u32,
    pub planted: Option<Planted>,
}

/// Messages are sent from here on, and choices may be taken for so long.
const BEGIN: Millis = 1200;
const WINDOW: Millis = 700;
const NOTE: Millis = 2;
const EDGE: Millis = 1;
const DISK: Millis = 3;
const LAZY: Millis = 200;
const RUN: Millis = 20;
/// An attempt that fails, does so after that.
const FAILS_AFTER: Millis = 600;
/// So long an edge waits for a store.
const PATIENCE: Millis = 400;
const GRACE: Millis = 5000;
/// After the last trouble it goes on for so long at least, and at most.
const CALM: Millis = 7000;
const LATEST: Millis = 25_000;

#[derive(Clone, Debug, Default)]
pub struct Sent {
    message: Message,
    first: usize,
    /// The executor refuses it; its first attempt fails.
    pub refuses: bool,
    fails_first: bool,
    tried: Vec<usize>,
    asked: u64,
    /// It was answered with 202, with 503, or with 502.
    pub key: Option<Key>,
    pub refused: bool,
    pub unclear: bool,
}

pub struct Run {
    pub sent: usize,
    pub at: Millis,
    /// When the executor is through, and whether that ends the message.
    pub over: Millis,
    pub ends: bool,
    /// When a success was read by the store that had sent it.
    pub read: Option<Millis>,
}

#[derive(Debug)]
pub enum Event {
    PeerMessage { from: usize, to: usize, link: u64 },
    Synced { at: usize, life: u64, serial: u64 },
    Offer { sent: usize },
    Put { sent: usize, to: usize, asked: u64 },
    Said { sent: usize, asked: u64, result: Result<String, Refusal> },
    Impatient { sent: usize, asked: u64 },
    Superseded { to: usize, sent: usize },
    Done { at: usize, life: u64, attempt: u64, run: usize, outcome: Outcome },
    Called { at: usize, life: u64, key: Key },
    Retire { at: usize },
    Vanish { at: usize, life: u64 },
    Start { at: usize },
    Listen { at: usize },
    Up { a: usize, b: usize },
    Broken { a: usize, b: usize, link: u64 },
    Down { at: usize, other: usize, life: u64 },
    Thaw { at: usize, life: u64 },
    Deaf { at: usize, life: u64, heard: bool },
    Heard { at: usize },
    Lapse { at: usize, life: u64 },
    Members,
}

pub struct Fleet {
    pub bounds: QueueBounds,
    pub now: Millis,
    serial: u64,
    events: BTreeMap<(Millis, u64), Event>,
    pub stores: Vec<Store>,
    pub links: BTreeMap<(usize, usize), u64>,
    wires: HashMap<(usize, usize), VecDeque<PeerMessage>>,
    /// From one to another nothing comes through until then, or everything late.
    pub cuts: BTreeMap<(usize, usize), Millis>,
    pub late: BTreeMap<(usize, usize), Millis>,
    pub messages: Vec<Sent>,
    pub runs: Vec<Run>,
    askers: HashMap<(usize, u64), (usize, u64)>,
    /// The store that has just done something others see.
    pub touched: Option<usize>,
    busy: u32,
    pub troubles: Vec<(Millis, Millis)>,
    /// Who is away until when, where that is longer than others wait.
    pub away: Vec<(usize, Millis)>,
    emptied: BTreeSet<usize>,
    lives: u64,
    pub breach: Option<QueueBreach>,
    pub over: bool,
    pub trace: Option<Vec<String>>,
}

impl Fleet {
    pub fn new(bounds: QueueBounds) -> Fleet {
        let mut fleet = Fleet {
            bounds,
            now: 0,
            serial: 0,
            events: BTreeMap::new(),
            stores: (0..bounds.stores).map(Store::new).collect(),
            links: BTreeMap::new(),
            wires: HashMap::new(),
            cuts: BTreeMap::new(),
            late: BTreeMap::new(),
            messages: Vec::new(),
            runs: Vec::new(),
            askers: HashMap::new(),
            touched: None,
            busy: 0,
            troubles: Vec::new(),
            away: Vec::new(),
            emptied: BTreeSet::new(),
            lives: 0,
            breach: None,
            over: false,
            trace: None,
        };
        (0..bounds.stores).for_each(|at| fleet.start(at));
        fleet.script();
        fleet
    }

    fn script(&mut self) {
        let emptying = self.bounds.script == QueueScript::Emptying;
        let stores = self.bounds.stores;
        for (at, delay_ms) in [(0, 0), (1, 2500), (2, 0)] {
            let message = Message {
                id: format!("id{at}"),
                host: "h".to_string(),
                method: "POST".to_string(),
                target: format!("/{at}"),
                callback: (at == 2).then(|| "http://10.0.1.1:80/".to_string()),
                delay_ms,
                config: 1,
                body: vec![at as u8; 8],
                ..Message::default()
            };
            // The delayed one lies on the store that is emptied.
            let first = if at == 1 { stores - 1 } else { at % 2 };
            let (refuses, fails_first) = (at == 2, emptying && at == 0);
            self.messages.push(Sent { message, first, refuses, fails_first, ..Sent::default() });
            self.at(BEGIN + 10 * at as u64, Event::Offer { sent: at });
        }
        if emptying {
            self.at(BEGIN + 60, Event::Retire { at: 0 });
        }
    }

    pub fn at(&mut self, after: Millis, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    pub fn told(&mut self, line: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now:6} ms  {}", line()));
        }
    }

    pub fn trouble(&mut self, span: Millis) {
        self.troubles.push((self.now, self.now + span));
    }

    /// Whether choices may be taken now.
    pub fn open(&self) -> bool {
        (BEGIN..BEGIN + WINDOW).contains(&self.now) && self.busy.is_multiple_of(self.bounds.every)
    }

    pub fn on_its_way(&self, from: usize, to: usize) -> bool {
        self.wires.get(&(from, to)).is_some_and(|wire| !wire.is_empty())
    }

    // ---- Processes and connections ----

    fn start(&mut self, at: usize) {
        if self.stores[at].queue.is_some() || self.stores[at].vanished {
            return;
        }
        self.lives += 1;
        let (now, lot, planted) = (self.now, self.lives, self.bounds.planted);
        self.stores[at].start(at, now, lot, planted);
        self.askers.retain(|(store, _), _| *store != at);
        for other in (0..self.stores.len()).filter(|other| *other != at) {
            self.at(60, Event::Up { a: at, b: other });
        }
        self.at(40, Event::Listen { at });
        self.at(100, Event::Members);
    }

    /// The process ends; who was connected learns of it after so long.
    pub fn stop(&mut self, at: usize, noticed: Millis) {
        self.stores[at].queue = None;
        self.stores[at].leaving = None;
        let links: Vec<((usize, usize), u64)> =
            self.links.iter().filter(|((a, b), _)| *a == at || *b == at).map(|(k, v)| (*k, *v)).collect();
        for ((a, b), link) in links {
            self.unlink(a, b);
            self.at(noticed, Event::Broken { a, b, link });
        }
        let life = self.stores[at].life;
        self.at(LAPSE, Event::Lapse { at, life });
    }

    pub fn lose_disk(&mut self, at: usize) {
        self.lives += 1;
        self.stores[at].disk = Disk::blank(100 + self.lives);
        self.stores[at].lost_disk = true;
    }

    fn unlink(&mut self, a: usize, b: usize) {
        self.links.remove(&(a, b));
        self.wires.remove(&(a, b));
        self.wires.remove(&(b, a));
    }

    fn time(&self, at: usize) -> Millis {
        self.now - self.stores[at].began
    }

    /// Lets a store that runs see to something, and do what follows.
    fn with(&mut self, at: usize, life: Option<u64>, see: impl FnOnce(&mut Queue, Millis)) {
        let now = self.time(at);
        let store = &mut self.stores[at];
        if life.is_some_and(|life| life != store.life) {
            return;
        }
        if let Some(queue) = &mut store.queue {
            see(queue, now);
            self.choice(at);
        }
    }

    /// One choice of one store, as `crates/server/src/store.rs` drives it.
    pub fn choice(&mut self, at: usize) {
        let now = self.time(at);
        let leaving = self.stores[at].leaving;
        let Some(queue) = self.stores[at].queue.as_mut() else { return };
        if leaving.is_some() {
            queue.leave(now);
        }
        self.carry_out(at);
        if let Some(since) = leaving {
            self.may_end(at, since);
        }
        let empty = self.stores[at].queue.as_ref().is_some_and(|queue| queue.retired() == Some(true));
        if empty && self.emptied.insert(at) {
            self.told(|| format!("store {at} says that it is empty"));
            self.breach = self.breach.take().or_else(|| self.look_at_emptied(at));
            let life = self.stores[at].life;
            self.at(50, Event::Vanish { at, life });
        }
    }

    fn may_end(&mut self, at: usize, since: Millis) {
        let done = |fleet: &Fleet| {
            let idle = fleet.stores[at].queue.as_ref().is_some_and(|queue| queue.in_hand() == 0);
            idle && fleet.now > since + 150
        };
        if done(self) && !std::mem::replace(&mut self.stores[at].flushed, true) {
            self.stores[at].queue.iter_mut().for_each(Queue::flush);
            self.carry_out(at);
        }
        if (done(self) && self.now > since + 300) || self.now > since + GRACE {
            let all = self.stores[at].disk.writing.len();
            self.stores[at].disk.end(all);
            self.stop(at, 5);
            self.at(500, Event::Start { at });
        }
    }

    fn carry_out(&mut self, at: usize) {
        for _ in 0..8 {
            let now = self.time(at);
            let Some(queue) = self.stores[at].queue.as_mut() else { return };
            queue.tick(now, now as i64 * 10);
            let effects = queue.take();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.effect(at, effect));
        }
    }

    fn touch(&mut self, at: usize) {
        self.touched = Some(at);
    }

    fn effect(&mut self, at: usize, effect: Effect) {
        let life = self.stores[at].life;
        match effect {
            Effect::Disk { ticket, records, sync } => {
                let disk = &mut self.stores[at].disk;
                let records = records.iter().filter_map(|bytes| postcard::from_bytes(bytes).ok()).collect();
                let serial = disk.first_serial + disk.writing.len() as u64;
                disk.writing.push_back(Writing { ticket, records });
                self.at(if sync { DISK } else { LAZY }, Event::Synced { at, life, serial });
                self.touch(at);
            }
            Effect::Send { to, note } => self.send(at, to, note),
            Effect::Taken { ticket, result } => {
                if let Some((sent, asked)) = self.askers.remove(&(at, ticket)) {
                    self.at(EDGE, Event::Said { sent, asked, result });
                    self.touch(at);
                }
            }
            Effect::Deliver { attempt, key, .. } => self.deliver(at, attempt, key),
            Effect::Call { key, .. } => self.at(6, Event::Called { at, life, key }),
        }
    }

    fn send(&mut self, at: usize, to: Node, note: PeerMessage) {
        let Some(to) = self.stores.iter().position(|store| store.node == to) else { return };
        let Some(link) = self.links.get(&(at.min(to), at.max(to))).copied() else { return };
        let quiet = matches!(
            note,
            PeerMessage::Digests { .. } | PeerMessage::Disk(_) | PeerMessage::Stood | PeerMessage::Relieved
        );
        self.told(|| format!("{at} to {to}: {note:?}"));
        self.wires.entry((at, to)).or_default().push_back(note);
        self.at(NOTE, Event::PeerMessage { from: at, to, link });
        if !quiet {
            self.touch(at);
        }
    }

    fn deliver(&mut self, at: usize, attempt: u64, key: Key) {
        let id = self.stores[at].queue.as_ref().and_then(|queue| Some(queue.message(key)?.id.clone()));
        let Some(sent) = self.messages.iter().position(|m| Some(&m.message.id) == id.as_ref()) else {
            return;
        };
        self.breach = self.breach.take().or_else(|| self.look_at_start(at, key));
        let (life, run) = (self.stores[at].life, self.runs.len());
        let seen = self.runs.iter().any(|run| run.sent == sent);
        let m = &self.messages[sent];
        let fails = m.fails_first && !seen;
        let (after, outcome) = match (fails, m.refuses) {
            (true, _) => (FAILS_AFTER, Outcome::Late),
            (false, true) => (RUN, Outcome::Refused),
            (false, false) => (RUN, Outcome::Done { seal: "s".to_string() }),
        };
        self.told(|| format!("{at} starts message {sent}: {outcome:?}"));
        self.runs.push(Run { sent, at: self.now, over: self.now + after, ends: !fails, read: None });
        self.at(after, Event::Done { at, life, attempt, run, outcome });
        self.touch(at);
    }

    // ---- The edge ----

    /// One store after the other, and none twice.
    fn offer(&mut self, sent: usize) {
        let stores = self.stores.len();
        let m = &self.messages[sent];
        let able = |at: &usize| {
            let store = &self.stores[*at];
            !m.tried.contains(at) && store.queue.is_some() && store.leaving.is_none()
        };
        let next = (0..stores).map(|k| (m.first + k) % stores).find(able);
        let Some(to) = next else {
            let unclear = m.unclear;
            self.messages[sent].asked = 0;
            self.messages[sent].refused = !unclear;
            return self.supersede(sent);
        };
        self.serial += 1;
        let asked = self.serial;
        let m = &mut self.messages[sent];
        m.tried.push(to);
        m.asked = asked;
        self.at(EDGE, Event::Put { sent, to, asked });
        self.at(PATIENCE, Event::Impatient { sent, asked });
    }

    fn not_said(&mut self, sent: usize, asked: u64) {
        if self.messages[sent].asked == asked && self.messages[sent].key.is_none() {
            self.messages[sent].unclear = true;
            self.offer(sent);
        }
    }

    /// Of one that was offered to several stores all are told which one is kept.
    fn supersede(&mut self, sent: usize) {
        if self.messages[sent].unclear {
            (0..self.stores.len()).for_each(|to| self.at(EDGE, Event::Superseded { to, sent }));
        }
    }

    fn said(&mut self, sent: usize, asked: u64, result: Result<String, Refusal>) {
        let m = &mut self.messages[sent];
        if m.asked != asked || m.key.is_some() {
            return;
        }
        match result {
            Ok(name) => {
                m.key = Key::parse(&name).map(|(key, _)| key);
                m.asked = 0;
                self.told(|| format!("message {sent} is accepted as {name}"));
                self.supersede(sent);
            }
            Err(refusal) => {
                m.unclear |= refusal == Refusal::Uncertain;
                self.offer(sent);
            }
        }
    }

    // ---- What happens ----

    /// Who is to see to it: it waits while that one stands still.
    fn target(event: &Event) -> Option<usize> {
        match event {
            Event::PeerMessage { to, .. } | Event::Put { to, .. } | Event::Superseded { to, .. } => Some(*to),
            Event::Synced { at, .. }
            | Event::Done { at, .. }
            | Event::Called { at, .. }
            | Event::Retire { at }
            | Event::Listen { at }
            | Event::Down { at, .. } => Some(*at),
            _ => None,
        }
    }

    /// The next thing that is due.
    pub fn step(&mut self) {
        self.touched = None;
        let timer = |store: &Store| {
            store.queue.as_ref().map(|queue| store.began.saturating_add(queue.next()).max(store.frozen))
        };
        let due = self.stores.iter().enumerate().filter_map(|(at, store)| Some((timer(store)?, at))).min();
        let due = due.map(|(when, at)| (when.max(self.now + 1), at));
        let event = self.events.keys().next().map(|(when, _)| *when);
        match (event, due) {
            (Some(when), due) if due.is_none_or(|(timer, _)| when <= timer) => {
                self.now = when;
                if let Some((_, event)) = self.events.pop_first() {
                    self.happen(event);
                }
            }
            (_, Some((when, at))) => {
                self.now = when;
                self.choice(at);
            }
            _ => self.over = true,
        }
        self.busy += u32::from(self.touched.is_some());
        self.breach = self.breach.take().or_else(|| self.look());
        self.end_after_calm();
    }

    fn end_after_calm(&mut self) {
        let last = self.troubles.iter().map(|(_, to)| *to).max().unwrap_or(0).max(BEGIN);
        if self.now > last + CALM && self.now > last + LATEST {
            self.breach = self.breach.take().or_else(|| self.look_at_calm());
            self.over = true;
        }
        self.over |= self.now > last + CALM && self.settled();
    }

    fn happen(&mut self, event: Event) {
        if let Some(thaw) = Fleet::target(&event).map(|at| self.stores[at].frozen).filter(|at| *at > self.now)
        {
            return self.at(thaw - self.now, event);
        }
        match event {
            Event::PeerMessage { from, to, link } => self.arrive(from, to, link),
            Event::Synced { at, life, serial } => self.synced(at, life, serial),
            Event::Offer { sent } => {
                self.messages[sent].message.taken = WALL + self.now;
                self.offer(sent);
            }
            Event::Put { sent, to, asked } => self.put(sent, to, asked),
            Event::Said { sent, asked, result } => self.said(sent, asked, result),
            Event::Impatient { sent, asked } => self.not_said(sent, asked),
            Event::Superseded { to, sent } => {
                let m = &self.messages[sent];
                let (id, print, kept) = (m.message.id.clone(), m.message.print(), m.key);
                self.with(to, None, |queue, _| queue.superseded(&id, print, kept));
            }
            Event::Done { at, life, attempt, run, outcome } => {
                let reads = self.stores[at].life == life && self.stores[at].queue.is_some();
                if reads && matches!(outcome, Outcome::Done { .. }) {
                    self.runs[run].read = Some(self.now);
                }
                self.with(at, Some(life), |queue, now| {
                    queue.delivered(now, now as i64 * 10, attempt, outcome, None)
                });
            }
            Event::Called { at, life, key } => {
                self.with(at, Some(life), |queue, now| queue.called(now, key, true))
            }
            Event::Retire { at } => self.with(at, None, Queue::retire),
            Event::Vanish { at, life } => self.vanish(at, life),
            Event::Start { at } => self.start(at),
            Event::Listen { at } => self.listen(at),
            Event::Up { a, b } => self.link_up(a, b),
            Event::Broken { a, b, link } => self.broken(a, b, link),
            Event::Down { at, other, life } => {
                let other = self.stores[other].node;
                self.with(at, Some(life), |queue, now| queue.down(now, other));
            }
            // Until the control nodes have been heard again it knows that it may be cut off.
            Event::Thaw { at, life } => {
                self.with(at, Some(life), |queue, _| (queue.heard, queue.lapsed) = (false, true));
                self.tell_again(at);
            }
            Event::Deaf { at, life, heard } => {
                if self.stores[at].off {
                    self.with(at, Some(life), |queue, _| (queue.heard, queue.lapsed) = (heard, true));
                }
            }
            Event::Heard { at } => {
                self.stores[at].off = false;
                self.at(100, Event::Members);
            }
            Event::Lapse { at, life } => {
                if self.stores[at].life == life {
                    self.stores[at].listed = false;
                    self.members();
                }
            }
            Event::Members => {
                let now = self.now;
                self.stores.iter_mut().for_each(|s| s.listed |= s.runs(now) && !s.off);
                self.members();
            }
        }
    }

    fn arrive(&mut self, from: usize, to: usize, link: u64) {
        if self.links.get(&(from.min(to), from.max(to))) != Some(&link) {
            return;
        }
        let until = |table: &BTreeMap<(usize, usize), Millis>| table.get(&(from, to)).copied().unwrap_or(0);
        let until = until(&self.cuts).max(until(&self.late));
        if until > self.now {
            return self.at(until - self.now, Event::PeerMessage { from, to, link });
        }
        let Some(note) = self.wires.get_mut(&(from, to)).and_then(VecDeque::pop_front) else { return };
        let from = self.stores[from].node;
        self.with(to, None, |queue, now| queue.note(now, from, note));
    }

    fn synced(&mut self, at: usize, life: u64, serial: u64) {
        if self.stores[at].life != life || self.stores[at].queue.is_none() {
            return;
        }
        while self.stores[at].disk.first_serial <= serial {
            let Some(ticket) = self.stores[at].disk.reach() else { break };
            let now = self.time(at);
            self.stores[at].queue.iter_mut().for_each(|queue| queue.kept(now, ticket, true));
        }
        self.choice(at);
    }

    fn put(&mut self, sent: usize, to: usize, asked: u64) {
        if self.stores[to].queue.is_none() {
            return self.not_said(sent, asked);
        }
        self.serial += 1;
        let ticket = self.serial;
        self.askers.insert((to, ticket), (sent, asked));
        let message = self.messages[sent].message.clone();
        self.with(to, None, |queue, now| queue.put(now, ticket, message));
    }

    fn vanish(&mut self, at: usize, life: u64) {
        if self.stores[at].life == life && self.stores[at].queue.is_some() {
            self.told(|| format!("store {at} is taken away"));
            self.stop(at, 5);
            self.stores[at].disk = Disk::default();
            self.stores[at].vanished = true;
        }
    }

    fn listen(&mut self, at: usize) {
        let servers = HashMap::from([("works".to_string(), vec![executor()])]);
        self.with(at, None, |queue, now| {
            queue.list(now, now as i64 * 10, servers);
            queue.configure(now, now as i64 * 10, config());
        });
        self.tell_again(at);
    }

    fn tell_again(&mut self, to: usize) {
        let answered = |m: &Sent| m.unclear && (m.key.is_some() || m.asked == 0);
        let all: Vec<usize> = (0..self.messages.len()).filter(|at| answered(&self.messages[*at])).collect();
        all.into_iter().for_each(|sent| self.at(EDGE, Event::Superseded { to, sent }));
    }

    fn link_up(&mut self, a: usize, b: usize) {
        let pair = (a.min(b), a.max(b));
        let cut = |from, to| self.cuts.get(&(from, to)).is_some_and(|until| *until > self.now);
        let both = self.stores[a].runs(self.now) && self.stores[b].runs(self.now);
        if !both || cut(a, b) || cut(b, a) || self.links.contains_key(&pair) {
            return;
        }
        self.serial += 1;
        self.links.insert(pair, self.serial);
        for (x, y) in [(a, b), (b, a)] {
            let other = self.stores[y].node;
            self.with(x, None, |queue, now| {
                // As `crates/server/src/links.rs` has it: the end of the connection before is told first.
                if queue.stores().any(|(node, connected, ..)| node == other && connected) {
                    queue.down(now, other);
                }
                queue.up(now, other);
            });
        }
    }

    fn broken(&mut self, a: usize, b: usize, link: u64) {
        if self.links.get(&(a, b)).is_some_and(|other| *other != link) {
            return;
        }
        self.unlink(a, b);
        for (at, other) in [(a, b), (b, a)] {
            let life = self.stores[at].life;
            self.at(0, Event::Down { at, other, life });
        }
    }

    fn members(&mut self) {
        let listed = self.stores.iter().enumerate().filter(|(_, store)| store.listed);
        let all: Vec<(Node, usize)> = listed.map(|(at, store)| (store.node, at)).collect();
        for at in 0..self.stores.len() {
            if self.stores[at].runs(self.now) && !self.stores[at].off {
                self.with(at, None, |queue, now| {
                    (queue.heard, queue.lapsed) = (true, false);
                    queue.members(now, &all);
                });
            }
        }
    }
}
