//! The table of messages, with its one owner, and what happens to each from taking to end.

mod report;

pub use report::{MessageView, ServiceView, Stages};

use crate::copies::Peer;
use crate::ledger::Ledger;
use crate::message::{End, Key, Message, Millis, Node, PeerMessage, Record, Refusal, Shared};
use crate::planted::Planted;
use crate::service_queue::{Again, Picked, Server, ServiceQueue, Turn};
use crate::tokens::Bucket;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use stileroute_config::Config;
use stileroute_dispatch::types::{Outcome as Judged, Time};

/// Ends are told to the copies in batches, at the latest after so long.
const TELL: Millis = 40;
/// After a failed attempt a message waits, twice as long each time, up to the second figure.
const AGAIN: (Millis, Millis) = (40, 1500);
/// Beyond the time that it may wait, for clients' clocks and first tries: one that has not ended must not be
/// called failed.
const SLACK: Millis = 1500;
/// Connections to one receiver of call-backs from here.
const CALLS: usize = 4;
/// And from all stores together.
const RECEIVER: usize = 48;
/// Messages that are kept for others to pick up at the most.
const MOST: usize = 400_000;
const UPKEEP: Millis = 250;
/// A disk that has not answered for so long stands still, for all that is known.
const STALLED: Millis = 120;
/// A turn that comes so much too late comes after a freeze.
const FROZEN: Millis = 500;
/// And by so much, after one in which others may have taken over what is here.
const MISSED: Millis = 1200;

/// Whole places that may be lost at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bear {
    pub zones: usize,
    pub regions: usize,
}

#[derive(Clone, Debug)]
pub struct QueueSettings {
    pub me: Node,
    pub zone: usize,
    /// Number of the disk, drawn when it was empty.
    pub disk: u64,
    /// The first number of this life, and of those before it that began with this disk.
    pub first: u64,
    pub begun: Vec<u64>,
    /// So many copies beside the own one.
    pub losses: usize,
    /// The region of each zone.
    pub regions: Vec<usize>,
    /// So many zones, or regions, may be lost at once: copies lie in one more than that.
    pub bear: Bear,
    pub window_ms: u64,
    pub overrun: f64,
    pub status_ms: u64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not yet safe.
    Landing,
    /// Read from disk: it waits until those who hold copies have said what became of it.
    Held,
    Waiting,
    Out,
    /// Another store delivers it.
    Copy,
    Ended,
}

#[derive(Debug)]
pub struct Entry {
    pub message: Message,
    pub owner: Node,
    pub term: u32,
    pub copies: Vec<Node>,
    pub stage: Stage,
    pub due: Millis,
    /// After a failed attempt: not before then. Its place among those that wait stays that of `due`.
    pub(crate) pause: Millis,
    /// Where it stands in `delayed`.
    wake: Option<Millis>,
    /// When it was taken, on this process's clock: before its start if it is less than nought.
    born: i64,
    pub expires: Millis,
    pub tries: u32,
    fails: u32,
    /// It ran, or may have: the next attempt is a repeat. And who failed it last, at which service.
    ran: bool,
    failed_at: Option<(usize, usize)>,
    pub end: Option<End>,
    pub owed: bool,
    /// Where it has still to become safe, and who waits for that.
    pub(crate) missing: Vec<Node>,
    pub(crate) ticket: Option<u64>,
    /// Where it stands in `landing`.
    pub(crate) landing: Option<Millis>,
    /// Where it stands in `thin`.
    pub(crate) thin: Option<Millis>,
    /// By which owner it stands in `live`.
    filed: Option<Node>,
    /// Its row, and where it stands there; whether others were told of it, whether they have been asked, and
    /// whether it is kept only after that.
    row: Option<Box<(String, u64)>>,
    pub(crate) announced: bool,
    pub(crate) cleared: bool,
    pub(crate) asking: bool,
    turn: Option<(usize, Turn)>,
}

/// What the program is to do.
#[derive(Debug)]
pub enum Effect {
    Disk {
        ticket: u64,
        records: Vec<Vec<u8>>,
        sync: bool,
    },
    Send {
        to: Node,
        note: PeerMessage,
    },
    Taken {
        ticket: u64,
        result: Result<String, Refusal>,
    },
    Deliver {
        attempt: u64,
        key: Key,
        to: SocketAddrV4,
        expect: Option<String>,
        timeout_ms: u64,
        conns: usize,
    },
    Call {
        key: Key,
        url: String,
        body: String,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Done {
        seal: String,
    },
    /// Can never be done.
    Refused,
    /// This attempt failed; the next may do.
    Failed,
    Full,
    /// Over the ceiling.
    Over,
    /// The first one runs yet.
    Running,
    /// Another executor is at that address.
    Wrong,
    NotRun,
    Stopped,
    NotConnected,
    NoRoom,
    Broken,
    Late,
    Garbled,
}

/// What is said of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Waiting,
    Complete { seal: String },
    Failed,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub taken: u64,
    pub refused: u64,
    pub uncertain: u64,
    pub done: u64,
    pub failed: u64,
    pub dropped: u64,
    pub expired: u64,
    pub attempts: u64,
    pub again: u64,
    pub calls: u64,
    pub called: u64,
    pub taken_over: u64,
    pub handed_over: u64,
    pub copied_anew: u64,
    /// Dropped because another store keeps the same message.
    pub withdrawn: u64,
    pub no_disk: u64,
    /// Words of those that held a duty before, refused; times that nothing was started here for others might have taken over.
    pub former: u64,
    pub fenced: u64,
    /// Owned here and on too few disks, as of now; how long it took until none was, the last time.
    pub thin: usize,
    pub thin_ms: u64,
    pub repaired: u64,
    pub repaired_bytes: u64,
    /// Comparisons with other stores, and ranges that differed.
    pub compared: u64,
    pub differed: u64,
}

#[derive(Default)]
struct Receiver {
    out: usize,
    fails: u32,
    pub(crate) pause: Millis,
    queue: VecDeque<Key>,
}

/// What waits for the disk.
#[derive(Clone, Debug)]
pub(crate) enum Waits {
    Own(Key),
    CopyOf(Node, Key),
    HandedBy(Node, Key),
    EndOf(Node, Key),
    Retire,
}

pub struct Queue {
    pub(crate) terms: QueueSettings,
    pub(crate) entries: HashMap<Key, Entry>,
    pub(crate) peers: BTreeMap<Node, Peer>,
    config: Option<Arc<Config>>,
    service_queues: Vec<ServiceQueue>,
    lane_of: HashMap<String, usize>,
    servers: HashMap<String, Vec<Server>>,
    delayed: BTreeSet<(Millis, Key)>,
    expiring: BTreeSet<(Millis, Key)>,
    forget: VecDeque<(Millis, Key)>,
    /// Taken by a configuration that has not come here yet.
    early: HashSet<Key>,
    /// Read from disk, and not yet released.
    pub(crate) held: BTreeSet<Key>,
    /// Offered to a successor that has not said yes.
    /// Another store keeps the same message: not to be run here, whoever owns it now.
    pub(crate) unwanted: HashSet<Key>,
    pub(crate) handing: HashMap<Key, Node>,
    pub(crate) landing: BTreeSet<(Millis, Key)>,
    /// Live, or with a call-back owed, by owner: what is compared with others and looked through when one is
    /// gone. All entries, with those that ended in the last minutes, are a hundred times as many.
    pub(crate) live: BTreeSet<(Node, Key)>,
    /// Owned here and on too few disks: when to see to each.
    pub(crate) thin: BTreeSet<(Millis, Key)>,
    pub(crate) thin_since: Option<Millis>,
    pub(crate) bucket: crate::repair::Bytes,
    pub(crate) rows: crate::ordering::Rows,
    /// To be taken over by then, if their owner is not back.
    pub(crate) orphans: BTreeSet<(Millis, Key)>,
    /// Their owner has said that it has lost them with its disk.
    pub(crate) lost: HashMap<Key, Node>,
    receivers: HashMap<String, Receiver>,
    /// Call-backs that are out, and where: by the time of the answer the message may know no receiver any
    /// more.
    calling: HashMap<Key, String>,
    next_number: u64,
    next_attempt: u64,
    next_ticket: u64,
    waits: HashMap<u64, Vec<Waits>>,
    /// Since when the disk has had what is waited for.
    writing: BTreeMap<u64, Millis>,
    ticked: Millis,
    records: Vec<Vec<u8>>,
    sync: bool,
    due_waits: Vec<Waits>,
    pub(crate) ends_at: Option<Millis>,
    effects: Vec<Effect>,
    lane_wait: Millis,
    upkeep: Millis,
    /// The time of day when the steady clock stood at nought.
    wall: u64,
    pub leaving: bool,
    /// It is to be emptied, and who counts on no copy here.
    pub(crate) retiring: bool,
    pub(crate) retire_kept: bool,
    pub(crate) relieved: BTreeSet<Node>,
    /// Ends that go to others before this store is gone.
    pub(crate) passing: crate::ends::Passing,
    /// The control nodes hear this store: without them and without a peer it may be the one that is cut off.
    pub heard: bool,
    /// So long without a word of them that they may call its session lapsed.
    pub lapsed: bool,
    /// Nothing is started since then (`look_after_fence`).
    pub(crate) fence: Option<Millis>,
    /// The members have been told: before that a store would take itself for the only one.
    pub(crate) acquainted: bool,
    #[cfg(feature = "planted")]
    pub(crate) planted: Option<Planted>,
    pub figures: Figures,
}

impl Queue {
    /// Begins with what the disk holds. `wall` is the time of day in ms.
    pub fn new(terms: QueueSettings, ledger: Ledger, now: Millis, wall: u64) -> Queue {
        let mut queue = Queue {
            // Numbers never come again: each life has a line of its own.
            next_number: terms.first,
            next_attempt: 1,
            next_ticket: 1,
            entries: HashMap::new(),
            peers: BTreeMap::new(),
            config: None,
            service_queues: Vec::new(),
            lane_of: HashMap::new(),
            servers: HashMap::new(),
            delayed: BTreeSet::new(),
            expiring: BTreeSet::new(),
            forget: VecDeque::new(),
            early: HashSet::new(),
            held: BTreeSet::new(),
            handing: HashMap::new(),
            wall: wall.saturating_sub(now),
            unwanted: HashSet::new(),
            landing: BTreeSet::new(),
            live: BTreeSet::new(),
            thin: BTreeSet::new(),
            thin_since: None,
            bucket: Default::default(),
            rows: Default::default(),
            orphans: BTreeSet::new(),
            lost: HashMap::new(),
            receivers: HashMap::new(),
            calling: HashMap::new(),
            waits: HashMap::new(),
            writing: BTreeMap::new(),
            ticked: now,
            records: Vec::new(),
            sync: false,
            due_waits: Vec::new(),
            ends_at: None,
            effects: Vec::new(),
            lane_wait: 0,
            upkeep: now,
            leaving: false,
            retiring: ledger.retire,
            retire_kept: ledger.retire,
            relieved: BTreeSet::new(),
            passing: Default::default(),
            heard: true,
            lapsed: false,
            fence: None,
            acquainted: false,
            #[cfg(feature = "planted")]
            planted: None,
            figures: Figures::default(),
            terms,
        };
        for (key, kept) in ledger.all {
            queue.recall(key, kept, now, wall);
        }
        if ledger.retire {
            queue.begin_retiring(now);
        }
        queue
    }

    fn recall(&mut self, key: Key, kept: crate::ledger::Kept, now: Millis, wall: u64) {
        let known = kept.shared.is_some();
        let shared = kept.shared.unwrap_or_default();
        let (end, owed) = match kept.end {
            Some((end, owed, _)) => (Some(end), owed),
            None => (None, false),
        };
        if end.is_none() && shared.message.id.is_empty() && shared.message.method.is_empty() {
            return;
        }
        let gone = wall.saturating_sub(shared.message.taken);
        // Whoever owns it, or held a copy, may be gone for good: it is missed from now on all the same.
        for node in
            shared.copies.iter().chain([&shared.owner]).filter(|node| known && **node != self.terms.me)
        {
            self.peers.entry(*node).or_insert_with(|| Peer::new(now));
        }
        let mut entry = Entry::of(&shared, now);
        entry.born = now as i64 - gone as i64;
        // Clocks of machines differ a little: rather late than early.
        entry.due = now + (shared.message.delay_ms + 60).saturating_sub(gone).min(shared.message.delay_ms);
        entry.stage = match (&end, shared.owner == self.terms.me) {
            (Some(_), _) => Stage::Ended,
            (None, true) => Stage::Held,
            (None, false) => Stage::Copy,
        };
        (entry.end, entry.owed) = (end, owed);
        let (stage, owed) = (entry.stage, entry.owed && entry.owner == self.terms.me);
        self.entries.insert(key, entry);
        self.file(key);
        match stage {
            Stage::Ended => self.forget.push_back((now + self.terms.status_ms + 60_000, key)),
            Stage::Held => {
                self.held.insert(key);
            }
            _ => {}
        }
        if owed {
            self.owe(key);
        }
        self.expiry(key);
    }

    /// By when it has waited too long, as its route says now.
    pub(crate) fn expiry(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        self.expiring.remove(&(entry.expires, key));
        let most = self
            .config
            .as_ref()
            .and_then(|c| {
                c.route(&entry.message.host, &entry.message.target).map(|at| c.routes[at].max_wait_ms)
            })
            .unwrap_or(90_000);
        entry.expires = entry.born.saturating_add_unsigned(most + SLACK).max(0) as Millis;
        if entry.end.is_none() {
            self.expiring.insert((entry.expires, key));
        }
    }

    // ---- What comes from outside ----

    /// A message from an edge.
    pub fn put(&mut self, now: Millis, ticket: u64, message: Message) {
        let copies = self.choose(now, &[], &[], self.terms.losses);
        if self.leaving || self.stalled(now) || copies.len() < self.terms.losses || self.entries.len() >= MOST
        {
            self.figures.refused += 1;
            self.effects.push(Effect::Taken { ticket, result: Err(Refusal::NotTaken) });
            return;
        }
        self.next_number += 1;
        let key = Key { origin: self.terms.me, number: self.next_number };
        let due_in = message.delay_ms;
        let shared = Shared {
            key,
            owner: self.terms.me,
            copies: copies.clone(),
            due_in,
            message,
            ..Shared::default()
        };
        let mut entry = Entry::of(&shared, now);
        entry.stage = Stage::Landing;
        entry.ticket = Some(ticket);
        entry.missing = std::iter::once(self.terms.me).chain(copies.iter().copied()).collect();
        let look = now + crate::copies::COPY_WAIT;
        entry.landing = Some(look);
        self.entries.insert(key, entry);
        self.landing.insert((look, key));
        self.file(key);
        self.expiry(key);
        if self.put_in_row(now, key) {
            self.embark(key, now);
        }
    }

    /// The disk does not answer: what is taken now would wait behind what it has. Another store takes it in time.
    pub(crate) fn stalled(&self, now: Millis) -> bool {
        self.writing.first_key_value().is_some_and(|(_, since)| now > since + STALLED)
    }

    /// The disk has answered.
    pub fn kept(&mut self, now: Millis, ticket: u64, ok: bool) {
        self.writing.remove(&ticket);
        for wait in self.waits.remove(&ticket).unwrap_or_default() {
            match (wait, ok) {
                (Waits::Retire, ok) => {
                    self.retire_kept = ok;
                    // Not on disk it would be forgotten: the operator asks again.
                    self.retiring = ok;
                }
                (Waits::EndOf(from, key), true) => self.to(from).ends_kept.push(key),
                // It is sent again.
                (Waits::EndOf(..), false) => self.figures.no_disk += 1,
                (Waits::Own(key), true) => self.safe_at(now, key, self.terms.me),
                (Waits::Own(key), false) => {
                    self.figures.no_disk += 1;
                    self.undo(key);
                }
                (Waits::CopyOf(from, key), true) => self.to(from).copied.push(key),
                (Waits::CopyOf(from, key), false) => {
                    self.figures.no_disk += 1;
                    // Only what it wrote for the sender: it may own the message by now.
                    if self.entries.get(&key).is_some_and(|e| e.stage == Stage::Copy && e.owner == from) {
                        self.record(&Record::Drop { key }, false);
                        self.remove(key);
                        self.to(from).not_copied.push(key);
                    }
                }
                // With a disk that refuses, too: the message lies on both disks, and the one that gave it
                // away says on both restarts who owns it. Without a word the other would wait until its time
                // is over.
                (Waits::HandedBy(from, key), ok) => {
                    self.figures.no_disk += u64::from(!ok);
                    let term = self.entries.get(&key).filter(|e| e.owner == self.terms.me).map(|e| e.term);
                    if let Some(term) = term {
                        self.to(from).handed.push((key, term));
                    }
                }
            }
        }
    }

    /// Not safe here: it is taken back everywhere, and its client is told that nothing is known.
    pub(crate) fn undo(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|e| e.stage == Stage::Landing) else { return };
        let (ticket, copies) = (entry.ticket, entry.copies.clone());
        self.record(&Record::Drop { key }, false);
        copies.into_iter().for_each(|to| self.to(to).drop.push(key));
        self.remove(key);
        self.uncertain(ticket);
    }

    pub(crate) fn safe_at(&mut self, now: Millis, key: Key, node: Node) {
        let early = self.planted(Planted::EarlyAnswer) && node == self.terms.me;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let was = entry.missing.len();
        entry.missing.retain(|missing| *missing != node && !early);
        if entry.stage != Stage::Landing && was > entry.missing.len() && entry.missing.is_empty() {
            self.figures.repaired += 1;
            return self.look_at_copies(now, key);
        }
        if entry.stage != Stage::Landing || !entry.missing.is_empty() {
            return;
        }
        entry.stage = Stage::Waiting;
        let (ticket, copy, look) = (entry.ticket.take(), entry.copies.first().copied(), entry.landing.take());
        look.map(|at| self.landing.remove(&(at, key)));
        if let Some(ticket) = ticket {
            self.figures.taken += 1;
            self.effects.push(Effect::Taken { ticket, result: Ok(key.name(copy)) });
        }
        self.schedule(now, key);
    }

    /// A new configuration.
    pub fn configure(&mut self, now: Millis, fine: Time, config: Arc<Config>) {
        for service in &config.services {
            let at = match self.lane_of.get(&service.name) {
                Some(at) => *at,
                None => {
                    let target =
                        config.routes.iter().filter(|r| config.services[r.service].name == service.name);
                    let target = target.map(|r| r.run_target_ms).min().unwrap_or(1000);
                    let seed = self.terms.seed ^ stileroute_dispatch::types::mark(&service.name);
                    self.service_queues.push(ServiceQueue::new(
                        &service.name,
                        self.terms.zone,
                        3,
                        target,
                        seed,
                    ));
                    self.lane_of.insert(service.name.clone(), self.service_queues.len() - 1);
                    self.service_queues.len() - 1
                }
            };
            let service_queue = &mut self.service_queues[at];
            service_queue.max_conns = service.max_conns.max(1) as usize;
            service_queue.endpoint = service.endpoint.is_some();
            let window = (service.rate_per_s, self.terms.window_ms, self.terms.overrun);
            match &mut service_queue.bucket {
                Some(bucket) if service.rate_per_s > 0.0 => bucket.rated(window.0, window.1, window.2),
                bucket => {
                    *bucket =
                        (service.rate_per_s > 0.0).then(|| Bucket::new(now, window.0, window.1, window.2))
                }
            }
            let fixed = service.endpoint.map(|address| Server {
                id: String::new(),
                address,
                zone: self.terms.zone,
                capacity: 8.0,
                serving: true,
                cold_left_ms: 0,
            });
            match fixed {
                Some(server) => service_queue.list(fine, now, &[server]),
                None => {
                    service_queue.list(fine, now, self.servers.get(&service.name).map_or(&[], Vec::as_slice))
                }
            }
        }
        self.config = Some(config);
        self.deal_duties(now);
        // What waits is looked at anew: its route may have another service, or be gone.
        let waiting: Vec<Key> =
            self.entries.iter().filter(|(_, e)| e.stage == Stage::Waiting).map(|(key, _)| *key).collect();
        self.early.clear();
        for key in waiting {
            self.unschedule(key);
            self.schedule(now, key);
        }
        // So are the times that messages may wait: those read from disk did not know theirs.
        let live = self.entries.iter().filter(|(_, e)| e.end.is_none()).map(|(key, _)| *key);
        live.collect::<Vec<_>>().into_iter().for_each(|key| self.expiry(key));
    }

    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// The executors of all services.
    pub fn list(&mut self, now: Millis, fine: Time, servers: HashMap<String, Vec<Server>>) {
        for service_queue in self.service_queues.iter_mut().filter(|service_queue| !service_queue.endpoint) {
            let (old, new) = (self.servers.get(&service_queue.name), servers.get(&service_queue.name));
            if old != new {
                service_queue.list(fine, now, new.map_or(&[], Vec::as_slice));
            }
        }
        self.servers = servers;
    }

    /// Who hands out the tokens of each service: the first of the stores that are members, in an order of its
    /// own for each service, so that the duties are spread.
    pub(crate) fn deal_duties(&mut self, now: Millis) {
        let nodes = 1 + self.peers.values().filter(|p| p.listed).count();
        let place = self.peers.iter().filter(|(node, p)| p.listed && **node < self.terms.me).count();
        for service_queue in &mut self.service_queues {
            service_queue.nodes(place, nodes);
            let Some(bucket) = &mut service_queue.bucket else { continue };
            let holder = holder_of(&service_queue.name, self.terms.me, &self.peers);
            let may = self.heard && self.acquainted && !self.leaving;
            bucket.holder(now, holder == self.terms.me && may);
        }
    }

    // ---- From waiting to the end ----

    /// Puts a safe message where it waits: for its time, for a configuration, or for its turn.
    pub(crate) fn schedule(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Waiting) else { return };
        if entry.turn.is_some() {
            return;
        }
        if self.unwanted.contains(&key) {
            return self.withdraw(key);
        }
        if self.leaving {
            self.hand_over(key);
            return;
        }
        let start = entry.due.max(entry.pause);
        if start > now {
            entry.wake = Some(start);
            self.delayed.insert((start, key));
            return;
        }
        if !self.may_start(now, key) {
            return;
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let Some(config) = &self.config else {
            self.early.insert(key);
            return;
        };
        let Some(route) = config.route(&entry.message.host, &entry.message.target) else {
            if entry.message.config > config.revision {
                self.early.insert(key);
            } else {
                self.figures.dropped += 1;
                self.finish(now, key, End::Failed);
            }
            return;
        };
        if entry.message.config > config.revision {
            self.early.insert(key);
            return;
        }
        let route = &config.routes[route];
        let Some(at) = self.lane_of.get(&config.services[route.service].name).copied() else { return };
        let late = now > entry.due + route.run_target_ms;
        let turn = (late, route.priority, entry.due, key);
        entry.turn = Some((at, turn));
        self.service_queues[at].enter(turn, entry.ran);
        self.lane_wait = 0;
    }

    pub(crate) fn unschedule(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            if let Some(at) = entry.wake.take() {
                self.delayed.remove(&(at, key));
            }
            if let Some((at, turn)) = entry.turn.take() {
                self.service_queues[at].leave(&turn);
            }
        }
        self.early.remove(&key);
    }

    /// Sends what can be sent.
    fn pump(&mut self, now: Millis, fine: Time) {
        if self.leaving || self.fence.is_some() && !self.planted(Planted::FenceUnheeded) {
            self.lane_wait = now + UPKEEP;
            return;
        }
        self.lane_wait = Millis::MAX;
        for at in 0..self.service_queues.len() {
            let mut again = true;
            loop {
                let (turn, look) = self.service_queues[at].first_turn(now, again);
                self.lane_wait = self.lane_wait.min(look);
                let Some(turn) = turn else { break };
                let (late, priority, due, key) = turn;
                let Some((config, entry)) = self.config.as_ref().zip(self.entries.get_mut(&key)) else {
                    self.service_queues[at].leave(&turn);
                    continue;
                };
                // An earlier one of its row has come to light since: it waits again.
                let spot = (entry.message.taken, key);
                if entry.message.order_key.as_ref().is_some_and(|row| !self.rows.is_first(row, spot)) {
                    entry.turn = None;
                    self.service_queues[at].leave(&turn);
                    continue;
                }
                let Some(route) = config.route(&entry.message.host, &entry.message.target) else { break };
                let route = &config.routes[route];
                if !late && now > due + route.run_target_ms {
                    // Too late for its aim: those that can still be in time go first.
                    let turn_now = (true, priority, due, key);
                    entry.turn = Some((at, turn_now));
                    self.service_queues[at].leave(&turn);
                    if entry.ran {
                        self.service_queues[at].again.insert(turn_now);
                    } else {
                        self.service_queues[at].ready.insert(turn_now);
                    }
                    continue;
                }
                let timeout_ms = route.timeout_ms;
                let service_queue = &mut self.service_queues[at];
                if now < service_queue.pause {
                    self.lane_wait = self.lane_wait.min(service_queue.pause);
                    break;
                }
                if let Some(bucket) = &mut service_queue.bucket {
                    if !bucket.take(now) {
                        let wanted = (service_queue.ready.len() + service_queue.again.len()).min(4) as u32;
                        if bucket.ask(now) {
                            let holder = holder_of(&service_queue.name, self.terms.me, &self.peers);
                            let note = PeerMessage::TokensWanted {
                                service: service_queue.name.clone(),
                                count: wanted,
                            };
                            if holder != self.terms.me {
                                self.effects.push(Effect::Send { to: holder, note });
                            }
                        }
                        self.lane_wait = self.lane_wait.min(now + 15);
                        break;
                    }
                }
                let attempt = self.next_attempt;
                let stores = 1 + self.peers.values().filter(|p| p.listed || p.connected).count();
                service_queue.share = (service_queue.max_conns / stores).max(2);
                let avoid = entry
                    .failed_at
                    .filter(|(service_queue, _)| *service_queue == at)
                    .map(|(_, executor)| executor);
                let repeat = entry.ran.then_some(Again { avoid });
                match service_queue.pick(fine, now, key, attempt, repeat) {
                    Picked::Full(until) => {
                        if let Some(bucket) = &mut service_queue.bucket {
                            bucket.give_back();
                        }
                        self.lane_wait = self.lane_wait.min(until);
                        again = false;
                    }
                    Picked::Wait(until) => {
                        if let Some(bucket) = &mut service_queue.bucket {
                            bucket.give_back();
                        }
                        self.lane_wait = self.lane_wait.min(until);
                        break;
                    }
                    Picked::Go { executor } => {
                        self.next_attempt += 1;
                        service_queue.leave(&turn);
                        entry.turn = None;
                        entry.stage = Stage::Out;
                        self.figures.attempts += 1;
                        self.figures.again += u64::from(entry.fails > 0);
                        let server = &service_queue.known[executor].server;
                        self.effects.push(Effect::Deliver {
                            attempt,
                            key,
                            to: server.address,
                            expect: (!server.id.is_empty()).then(|| server.id.clone()),
                            timeout_ms,
                            conns: service_queue.share,
                        });
                    }
                }
            }
        }
    }

    pub fn message(&self, key: Key) -> Option<&Message> {
        self.entries.get(&key).map(|entry| &entry.message)
    }

    /// An attempt came to its end.
    pub fn delivered(
        &mut self,
        now: Millis,
        fine: Time,
        attempt: u64,
        outcome: Outcome,
        load: Option<[f64; 3]>,
    ) {
        let judged = match &outcome {
            Outcome::Done { .. } => Judged::Acked,
            Outcome::Refused | Outcome::Failed => Judged::Unfit,
            Outcome::Full => Judged::Full,
            Outcome::Over | Outcome::Running | Outcome::NotRun | Outcome::NoRoom => Judged::Moot,
            Outcome::Wrong => Judged::Error,
            Outcome::NotConnected => Judged::NotConnected,
            Outcome::Broken => Judged::Reset,
            Outcome::Stopped | Outcome::Late => Judged::TimedOut,
            Outcome::Garbled => Judged::Broken,
        };
        let Some(at) =
            self.service_queues.iter().position(|service_queue| service_queue.sent.contains_key(&attempt))
        else {
            return;
        };
        // What was stopped at its time, too: the work was done in vain.
        let ran = matches!(
            outcome,
            Outcome::Failed | Outcome::Stopped | Outcome::Broken | Outcome::Late | Outcome::Garbled
        );
        let settled = self.service_queues[at].settle(fine, now, attempt, judged, ran, load);
        let Some((key, executor)) = settled else { return };
        if outcome == Outcome::Over {
            self.service_queues[at].pause = now + 200;
        }
        self.lane_wait = 0;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.end.is_some() {
            return;
        }
        if ran || outcome == Outcome::Running {
            (entry.ran, entry.failed_at) = (true, Some((at, executor)));
        }
        match outcome {
            Outcome::Done { seal } => return self.finish(now, key, End::Complete { seal }),
            Outcome::Refused => return self.finish(now, key, End::Failed),
            Outcome::Failed => entry.tries += 1,
            _ => {}
        }
        if entry.stage != Stage::Out {
            return;
        }
        if entry.owner != self.terms.me {
            // While it was out another store has become its owner, and delivers it.
            entry.stage = Stage::Copy;
            return;
        }
        entry.stage = Stage::Waiting;
        let limit = self.config.as_ref().and_then(|config| {
            config.route(&entry.message.host, &entry.message.target).map(|at| config.routes[at].max_tries)
        });
        if limit.is_some_and(|limit| entry.tries >= limit) {
            return self.finish(now, key, End::Failed);
        }
        // One that was turned away, or never reached anyone, may go elsewhere soon; one that failed waits
        // longer.
        entry.fails += 1;
        let pause = match outcome {
            Outcome::Full | Outcome::NoRoom | Outcome::Wrong | Outcome::NotConnected => {
                (AGAIN.0 / 4) << (entry.fails / 4).min(5)
            }
            Outcome::Running => 100,
            _ => (AGAIN.0 << entry.fails.min(8)).min(AGAIN.1),
        };
        entry.pause = now + pause;
        self.schedule(now, key);
    }

    /// The message has ended.
    pub(crate) fn finish(&mut self, now: Millis, key: Key, end: End) {
        self.unschedule(key);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let owed = entry.message.callback.is_some();
        (entry.stage, entry.end, entry.owed) = (Stage::Ended, Some(end.clone()), owed);
        entry.strip();
        self.expiring.remove(&(entry.expires, key));
        let mut told = entry.copies.clone();
        // Its run came to an end here, though another store owns it by now: that one calls back.
        told.extend(
            Some(entry.owner).filter(|owner| *owner != self.terms.me && !entry.copies.contains(owner)),
        );
        match end {
            End::Complete { .. } => self.figures.done += 1,
            End::Failed => self.figures.failed += 1,
        }
        self.forget_later(now, key);
        if !self.planted(Planted::EndUnkept) {
            self.record(&Record::End { key, end: end.clone(), owed, at: self.wall_of(now) }, false);
        }
        for to in told {
            self.to(to).ends.push((key, end.clone(), owed));
        }
        self.ends_at.get_or_insert(now + TELL);
        self.handing.remove(&key);
        self.file(key);
        if owed {
            self.owe(key);
        }
    }

    /// Those who ask are told of it for so long.
    pub(crate) fn forget_later(&mut self, now: Millis, key: Key) {
        self.passing.again();
        self.forget.push_back((now + self.terms.status_ms + 60_000, key));
    }

    /// The number was given by a life that began with the present disk.
    pub(crate) fn given_here(&self, number: u64) -> bool {
        let begun = self.terms.begun.iter().chain([&self.terms.first]);
        begun.into_iter().any(|first| line_of(*first) == line_of(number))
    }

    pub(crate) fn wall_of(&self, now: Millis) -> u64 {
        self.wall + now
    }

    pub(crate) fn owe(&mut self, key: Key) {
        let Some(url) = self.entries.get(&key).and_then(|e| e.message.callback.as_deref()) else { return };
        let place = receiver(url);
        self.receivers.entry(place).or_default().queue.push_back(key);
    }

    fn call_back(&mut self, now: Millis) -> Millis {
        let mut next = Millis::MAX;
        let mut out = Vec::new();
        // A receiver takes few connections from all stores together, and resets what is beyond: with many stores each has less.
        let calls = (RECEIVER / (1 + self.peers.values().filter(|p| p.listed).count())).clamp(1, CALLS);
        for (place, receiver) in &mut self.receivers {
            // One that fails is tried with one call at a time, and less and less often.
            let most = if receiver.fails > 0 { 1 } else { calls };
            while receiver.out < most && !receiver.queue.is_empty() {
                if now < receiver.pause {
                    next = next.min(receiver.pause);
                    break;
                }
                let Some(key) = receiver.queue.pop_front() else { break };
                let entry = self.entries.get(&key).filter(|e| e.owed && e.owner == self.terms.me);
                let entry = entry.filter(|_| !self.calling.contains_key(&key));
                let Some((entry, end)) = entry.and_then(|e| Some((e, e.end.as_ref()?))) else { continue };
                receiver.out += 1;
                self.calling.insert(key, place.clone());
                let id = &entry.message.id;
                let body = match end {
                    End::Complete { seal } => {
                        format!("{{\"id\":{},\"state\":\"complete\",\"seal\":{}}}", quoted(id), quoted(seal))
                    }
                    End::Failed => format!("{{\"id\":{},\"state\":\"failed\",\"seal\":null}}", quoted(id)),
                };
                out.push((key, entry.message.callback.clone().unwrap_or_default(), body));
            }
        }
        self.figures.calls += out.len() as u64;
        self.effects.extend(out.into_iter().map(|(key, url, body)| Effect::Call { key, url, body }));
        next
    }

    /// A message that this store does not deliver has ended, or one that another has ended for it.
    pub(crate) fn close_copy(&mut self, now: Millis, key: Key, end: End, owed: bool) {
        self.unschedule(key);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        (entry.stage, entry.end, entry.owed) = (Stage::Ended, Some(end), owed);
        entry.strip();
        self.expiring.remove(&(entry.expires, key));
        entry.landing.take().map(|at| self.landing.remove(&(at, key)));
        let (ticket, own) = (entry.ticket.take(), entry.owner == self.terms.me);
        self.held.remove(&key);
        self.handing.remove(&key);
        self.file(key);
        self.forget_later(now, key);
        self.uncertain(ticket);
        if own && owed {
            self.owe(key);
        }
    }

    /// It may run or not: its edge is told so, for nothing better can be said.
    pub(crate) fn uncertain(&mut self, ticket: Option<u64>) {
        if let Some(ticket) = ticket {
            self.figures.uncertain += 1;
            self.effects.push(Effect::Taken { ticket, result: Err(Refusal::Uncertain) });
        }
    }

    /// A call-back came to its end.
    pub fn called(&mut self, now: Millis, key: Key, taken: bool) {
        let Some(place) = self.calling.remove(&key) else { return };
        let receiver = self.receivers.entry(place).or_default();
        receiver.out = receiver.out.saturating_sub(1);
        if !taken {
            receiver.fails += 1;
            receiver.pause = now + (50 << receiver.fails.min(6)).min(2000);
            receiver.queue.push_back(key);
            return;
        }
        receiver.fails = 0;
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_some()) else { return };
        entry.owed = false;
        entry.strip();
        let copies = entry.copies.clone();
        self.file(key);
        self.figures.called += 1;
        self.record(&Record::Called { key }, false);
        copies.into_iter().for_each(|to| self.to(to).called.push(key));
        self.ends_at.get_or_insert(now + TELL);
    }

    /// What is known of a message, and its bytes where they are here.
    pub fn find(&self, key: Key) -> Option<(State, Option<&[u8]>)> {
        let entry = self.entries.get(&key)?;
        let state = match &entry.end {
            None => State::Waiting,
            Some(End::Complete { seal }) => State::Complete { seal: seal.clone() },
            Some(End::Failed) => State::Failed,
        };
        let here = !matches!(state, State::Complete { .. }) && entry.message.taken > 0;
        Some((state, here.then_some(entry.message.body.as_slice())))
    }

    pub(crate) fn remove(&mut self, key: Key) {
        self.unschedule(key);
        if let Some(entry) = self.entries.remove(&key) {
            self.expiring.remove(&(entry.expires, key));
            entry.landing.map(|at| self.landing.remove(&(at, key)));
            entry.thin.map(|at| self.thin.remove(&(at, key)));
            entry.filed.map(|owner| self.live.remove(&(owner, key)));
            if let Some(row) = entry.row {
                self.rows.leave(&row.0, (row.1, key), entry.announced);
            }
            self.held.remove(&key);
            self.handing.remove(&key);
            self.unwanted.remove(&key);
        }
    }

    /// Keeps `live` in step with an entry that has changed.
    pub(crate) fn file(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let filed = (entry.end.is_none() || entry.owed).then_some(entry.owner);
        let was = std::mem::replace(&mut entry.filed, filed);
        if was != filed {
            was.map(|owner| self.live.remove(&(owner, key)));
            filed.map(|owner| self.live.insert((owner, key)));
        }
        let row = (entry.end.is_none()).then_some(&entry.message.order_key);
        let row = row.and_then(|name| name.clone()).map(|name| Box::new((name, entry.message.taken)));
        if entry.row != row {
            if let Some(old) = std::mem::replace(&mut entry.row, row) {
                self.rows.leave(&old.0, (old.1, key), entry.announced && entry.end.is_some());
            }
            if let Some(new) = &entry.row {
                self.rows.enter(&new.0, (new.1, key));
            }
        }
        if filed != Some(self.terms.me) {
            entry.thin.take().map(|at| self.thin.remove(&(at, key)));
        }
    }

    pub(crate) fn enter(&mut self, now: Millis, shared: &Shared, stage: Stage) {
        let mut entry = Entry::of(shared, now);
        entry.stage = stage;
        // It may wait, land or be out here: none of that may go on with what is put in its place.
        let old = self.entries.get_mut(&shared.key).and_then(|old| old.ticket.take());
        self.remove(shared.key);
        self.uncertain(old);
        self.entries.insert(shared.key, entry);
        self.file(shared.key);
        self.expiry(shared.key);
    }

    // ---- Time, disk, and what goes out ----

    /// What is due. Call it at the end of each turn, then carry out what `take` gives.
    pub fn tick(&mut self, now: Millis, fine: Time) {
        self.ticked = now;
        let lapsed = self.lapsed;
        self.service_queues
            .iter_mut()
            .filter_map(|service_queue| service_queue.bucket.as_mut())
            .for_each(|b| b.paused = lapsed);
        let slept = now > self.upkeep + UPKEEP + FROZEN;
        let long = now > self.upkeep + UPKEEP + MISSED;
        self.look_after_fence(now, slept, long);
        if slept {
            // It has slept: others may have taken messages in its place, and it has not heard of that yet.
            self.rows.changed = now;
        }
        while let Some((at, key)) = self.delayed.first().copied().filter(|(at, _)| *at <= now) {
            self.delayed.remove(&(at, key));
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.wake = None;
            }
            self.schedule(now, key);
        }
        while let Some((at, key)) = self.expiring.first().copied().filter(|(at, _)| *at <= now) {
            self.expiring.remove(&(at, key));
            let own = self.entries.get(&key).is_some_and(|e| e.owner == self.terms.me && e.end.is_none());
            if own && self.entries.get(&key).is_some_and(|e| e.stage != Stage::Landing) {
                self.figures.expired += 1;
                self.finish(now, key, End::Failed);
            } else if self.entries.get(&key).is_some_and(|e| e.end.is_none()) {
                // A copy whose owner has not told an end: kept until the owner is asked, at most so long.
                self.forget.push_back((now + self.terms.status_ms, key));
            }
        }
        while let Some((at, key)) = self.forget.front().copied() {
            if at > now {
                break;
            }
            self.forget.pop_front();
            let Some(entry) = self.entries.get(&key) else { continue };
            match (entry.owner == self.terms.me, &entry.end) {
                // The call-back is owed yet.
                (true, Some(_)) if entry.owed => {
                    self.forget.push_back((now + self.terms.status_ms + 60_000, key));
                }
                // It was a copy when it was put here, and has been taken over.
                (true, None) => {}
                // Its owner never told an end. Left on the disk it would be read as live for ever.
                (false, None) => {
                    self.record(&Record::Drop { key }, false);
                    self.remove(key);
                }
                _ => self.remove(key),
            }
        }
        if now >= self.upkeep + UPKEEP {
            self.upkeep = now;
            self.service_queues.iter_mut().for_each(|service_queue| service_queue.upkeep(fine));
            self.deal_duties(now);
            self.look_after(now);
        }
        self.look_after_landing(now);
        self.repair(now);
        self.move_up(now);
        let calls = self.call_back(now);
        self.pump(now, fine);
        self.lane_wait = self.lane_wait.min(calls);
        if self.ends_at.is_some_and(|at| at <= now) {
            self.ends_at = None;
            self.tell_ends();
        }
        self.tell();
    }

    /// When `tick` is wanted next.
    pub fn next(&self) -> Millis {
        let first = |set: &BTreeSet<(Millis, Key)>| set.first().map_or(Millis::MAX, |(at, _)| *at);
        let times = [
            first(&self.delayed),
            first(&self.expiring),
            first(&self.landing),
            self.next_repair(),
            self.rows.next(),
            self.ends_at.unwrap_or(Millis::MAX),
            self.upkeep + UPKEEP,
            self.lane_wait,
        ];
        times.into_iter().min().unwrap_or(0)
    }

    pub(crate) fn record(&mut self, record: &Record, sync: bool) {
        if let Ok(bytes) = postcard::to_stdvec(record) {
            self.records.push(bytes);
            self.sync |= sync;
        }
    }

    pub(crate) fn wait_for_disk(&mut self, wait: Waits) {
        self.due_waits.push(wait);
    }

    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub fn take(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.effects);
        if !self.records.is_empty() {
            let ticket = self.next_ticket;
            self.next_ticket += 1;
            let waits = std::mem::take(&mut self.due_waits);
            if !waits.is_empty() {
                self.waits.insert(ticket, waits);
                self.writing.insert(ticket, self.ticked);
            }
            let records = std::mem::take(&mut self.records);
            effects.push(Effect::Disk { ticket, records, sync: std::mem::take(&mut self.sync) });
        }
        effects
    }

    /// Tokens are wanted by another store.
    pub(crate) fn tokens_wanted(&mut self, now: Millis, from: Node, service: String, count: u32) {
        let service_queue = self.lane_of.get(&service).map(|at| &mut self.service_queues[*at]);
        let count =
            service_queue.and_then(|l| l.bucket.as_mut()).map_or(0, |b| b.hand_out(now, count.min(16)));
        self.effects.push(Effect::Send { to: from, note: PeerMessage::Tokens { service, count } });
    }

    /// Of one that does not hold the duty (any more) none are taken: together with those of its successor they would be
    /// over the ceiling.
    pub(crate) fn tokens_came(&mut self, now: Millis, from: Node, service: &str, count: u32) {
        let holder = holder_of(service, self.terms.me, &self.peers) == from;
        self.figures.former += u64::from(!holder && count > 0);
        let count = if holder { count } else { 0 };
        if let Some(bucket) =
            self.lane_of.get(service).and_then(|at| self.service_queues[*at].bucket.as_mut())
        {
            bucket.got(now, count);
            self.lane_wait = if count > 0 { 0 } else { self.lane_wait };
        }
    }

    pub fn service_queues(&self) -> impl Iterator<Item = (&str, usize, usize, Vec<(String, f64, usize)>)> {
        self.service_queues.iter().map(|l| (l.name.as_str(), l.waiting(), l.sent.len(), l.shares()))
    }

    pub fn log(&mut self) -> Vec<String> {
        self.service_queues.iter_mut().flat_map(ServiceQueue::log).collect()
    }

    /// Tells all ends now.
    pub fn flush(&mut self) {
        self.tell_ends();
    }

    /// Requests that are out, and messages that are not yet safe.
    pub fn in_hand(&self) -> usize {
        self.service_queues.iter().map(|service_queue| service_queue.sent.len()).sum::<usize>()
            + self.landing.len()
            + self.handing.len()
    }

    pub fn live(&self) -> usize {
        self.live.len()
    }
}

impl Entry {
    pub(crate) fn of(shared: &Shared, now: Millis) -> Entry {
        Entry {
            message: shared.message.clone(),
            owner: shared.owner,
            term: shared.term,
            copies: shared.copies.clone(),
            stage: Stage::Copy,
            due: now + shared.due_in,
            pause: 0,
            wake: None,
            born: now as i64 - shared.waited as i64,
            expires: Millis::MAX,
            tries: shared.tries,
            fails: 0,
            ran: shared.tries > 0,
            failed_at: None,
            end: None,
            owed: false,
            missing: Vec::new(),
            ticket: None,
            landing: None,
            thin: None,
            filed: None,
            row: None,
            announced: false,
            cleared: false,
            asking: false,
            turn: None,
        }
    }

    /// Of one that has ended only what a call-back needs is kept.
    pub(crate) fn strip(&mut self) {
        let message = std::mem::take(&mut self.message);
        if self.owed {
            self.message = Message { id: message.id, callback: message.callback, ..Message::default() };
        }
        if matches!(self.end, Some(End::Failed)) {
            // Dead ones are asked for their bytes.
            (self.message.body, self.message.taken) = (message.body, message.taken);
        }
    }

    pub(crate) fn waited(&self, now: Millis) -> u64 {
        (now as i64 - self.born).max(0) as u64
    }
}

/// Each life of a store gives numbers of a line of its own, drawn by lot: so many bits are the count in it.
const LINE_BITS: u32 = 36;

/// The first number of the line that this lot draws. Reckoned from the time of day, a life after the loss of a disk that began
/// within the second of the one before, or with the clock put back, gave the same numbers again, and took what was lost with
/// the disk for what it had never finished taking.
pub fn first_number(lot: u64) -> u64 {
    ((lot >> LINE_BITS) | 1) << LINE_BITS
}

/// The line a number belongs to.
fn line_of(number: u64) -> u64 {
    number >> LINE_BITS
}

/// Who hands out the tokens of a service.
pub(crate) fn holder_of(service: &str, me: Node, peers: &BTreeMap<Node, Peer>) -> Node {
    let weight = |node: Node| stileroute_dispatch::types::mark(&format!("{service}/{node}"));
    let all = peers.iter().filter(|(_, p)| p.listed && !p.leaving).map(|(node, _)| *node);
    all.chain(std::iter::once(me)).max_by_key(|node| weight(*node)).unwrap_or(me)
}

/// Host and port of a URL.
fn receiver(url: &str) -> String {
    let rest = url.strip_prefix("http://").unwrap_or(url);
    rest.split('/').next().unwrap_or_default().to_string()
}

fn quoted(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
