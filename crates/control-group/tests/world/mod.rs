//! A small world for the state machines: clocks that differ, connections that keep their order, disks that keep what was
//! synced, machines that end, freeze and come back, and clients. Everything by a seed; what must never happen is checked
//! at every answer, and every few milliseconds by asking all nodes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use stileroute_control_group::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Kill,
    Power,
    Wipe,
    Freeze,
}
pub use Trouble::*;

enum Happening {
    Said { from: usize, conn: u64, message: Message },
    Synced,
    Link { peer: usize, up: bool },
    Start,
    Thaw,
    Try { call: usize, attempt: u64, at: Option<usize> },
}
type To = (usize, u64, Happening);

#[derive(Default)]
pub struct Node {
    pub group: Option<ControlGroup>,
    life: u64,
    clock: Millis,
    disk: PersistedState,
    writing: VecDeque<(u64, Record)>,
    pub full: bool,
    frozen: bool,
    held: Vec<To>,
    outbox: VecDeque<Effect>,
    due: Millis,
    pub committed: ControlState,
    pub released: bool,
}

#[derive(Clone, Default)]
pub struct Call {
    pub version: Option<u64>,
    /// Not the configuration: a store is to be retired.
    retires: Option<u32>,
    body: Vec<u8>,
    at: usize,
    attempt: u64,
    floor: u64,
    pub done: Option<Verdict>,
}

#[derive(Default)]
pub struct World {
    survives_domain_loss: bool,
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub calls: Vec<Call>,
    /// Effects carried out so far, and at which of them trouble strikes.
    pub effects: usize,
    pub trap: Option<(usize, Trouble)>,
    /// Signals sent.
    pub sent: Vec<Message>,
    pub trace: Vec<String>,
    /// How slow disks and messages are.
    pub disk: Millis,
    pub delay: Millis,
    seeds: usize,
    tolerated_losses: usize,
    queue: BTreeMap<(Millis, u64), To>,
    next: u64,
    random_state: u64,
    conns: BTreeMap<(usize, usize), u64>,
    cut: BTreeSet<(usize, usize)>,
    order: BTreeMap<(usize, usize), Millis>,
    probe_at: Millis,
    /// Stores whose retirement was acknowledged: no value that comes committed later is without them.
    ordered: BTreeSet<u32>,
    /// What was answered, by version, and the highest of it.
    known: BTreeMap<u64, Vec<u8>>,
    acked: u64,
}

pub fn voter(i: usize) -> NodeId {
    NodeId::new([10, 0, 0, i as u8 + 1].into(), 9000)
}
fn index(voter: NodeId) -> usize {
    usize::from(voter.ip().octets()[3]) - 1
}
fn way(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
fn body(version: u64) -> Vec<u8> {
    format!("configuration {version}").into_bytes()
}

// Each file of tests uses its part of it.
#[allow(dead_code)]
impl World {
    /// Whole places may be lost: any two of five.
    pub fn of_places(seeds: usize, tolerated_losses: usize, seed: u64) -> World {
        let mut world = World { survives_domain_loss: true, ..World::new(0, tolerated_losses, seed) };
        world.seeds = seeds;
        (0..seeds).for_each(|_| world.add());
        world
    }
    pub fn new(seeds: usize, tolerated_losses: usize, seed: u64) -> World {
        let random_state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut world =
            World { seeds, tolerated_losses, random_state, disk: 2, delay: 4, ..World::default() };
        (0..seeds).for_each(|_| world.add());
        world
    }
    /// Another control node, empty, and no seed after the first ones.
    pub fn add(&mut self) {
        let clock = 1_000 + self.random_below(1_000_000);
        self.nodes.push(Node { clock, ..Node::default() });
        self.start(self.nodes.len() - 1);
    }
    pub fn random_below(&mut self, most: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % most.max(1)
    }
    /// To a node, in this life of it.
    fn at(&mut self, after: Millis, node: usize, what: Happening) {
        self.next += 1;
        self.queue.insert((self.now + after, self.next), (node, self.nodes[node].life, what));
    }
    fn note(&mut self, what: String) {
        self.trace.push(format!("{:6} {what}", self.now));
    }
    #[track_caller]
    pub fn fail(&self, why: &str) -> ! {
        let from = self.trace.len().saturating_sub(80);
        panic!("{why} at {}\n{}", self.now, self.trace[from..].join("\n"));
    }
    fn start(&mut self, i: usize) {
        let seeds = (0..self.seeds).map(voter).collect();
        let seed = self.random_below(u64::MAX);
        let node = &mut self.nodes[i];
        let settings = GroupSettings::new(voter(i), seeds, node.life == 0, self.tolerated_losses, seed);
        let settings = GroupSettings { survives_domain_loss: self.survives_domain_loss, ..settings };
        node.group = Some(ControlGroup::new(settings, node.disk.clone(), self.now + node.clock));
        node.life += 1;
        self.note(format!("{i} starts"));
        (0..self.nodes.len()).for_each(|peer| self.connect(i, peer));
        self.carry_out(i);
    }
    fn connect(&mut self, a: usize, b: usize) {
        let up = |i: usize| self.nodes[i].group.is_some();
        let free = !self.cut.contains(&way(a, b)) && !self.conns.contains_key(&way(a, b));
        if a != b && up(a) && up(b) && free {
            self.conns.insert(way(a, b), self.next);
            self.link(a, b, true, 2);
        }
    }
    fn link(&mut self, a: usize, b: usize, up: bool, noticed: Millis) {
        self.at(noticed, a, Happening::Link { peer: b, up });
        self.at(noticed, b, Happening::Link { peer: a, up });
    }
    fn disconnect(&mut self, a: usize, b: usize, noticed: Millis) {
        if self.conns.remove(&way(a, b)).is_some() {
            self.link(a, b, false, noticed);
        }
    }
    pub fn cut(&mut self, a: usize, b: usize) {
        self.note(format!("cut {a} {b}"));
        self.cut.insert(way(a, b));
        let noticed = 100 + self.random_below(2000);
        self.disconnect(a, b, noticed);
    }
    pub fn heal(&mut self) {
        std::mem::take(&mut self.cut).into_iter().for_each(|(a, b)| self.connect(a, b));
    }
    /// Trouble strikes; what it ends is back after so long.
    pub fn strike(&mut self, i: usize, trouble: Trouble, back: Option<Millis>) {
        self.note(format!("{trouble:?} {i}"));
        if !self.up(i) && (trouble == Freeze || !self.nodes[i].frozen) {
            return;
        }
        if trouble == Freeze {
            self.nodes[i].frozen = true;
            return self.at(back.unwrap_or(1500), i, Happening::Thaw);
        }
        self.order.retain(|(from, _), _| *from != i);
        let whole = self.nodes[i].writing.len() as u64;
        // What was being written is there in part, in its order; some losses of power take all of it.
        let reached = self.random_below(whole + 1) * u64::from(trouble == Kill || self.random_below(2) == 0);
        let Node { clock, life, mut disk, writing, .. } = std::mem::take(&mut self.nodes[i]);
        writing.into_iter().take(reached as usize).for_each(|(_, record)| disk.apply(record));
        if trouble == Wipe {
            disk = PersistedState::default();
        }
        self.nodes[i] = Node { clock, life, disk, ..Node::default() };
        let noticed = if trouble == Kill { 1 } else { 3000 };
        (0..self.nodes.len()).for_each(|peer| self.disconnect(i, peer, noticed));
        back.into_iter().for_each(|back| self.at(back, i, Happening::Start));
    }
    /// A client's call, to replace the configuration or to read it, first at this node.
    pub fn call(&mut self, at: usize, version: Option<u64>, body: Vec<u8>) -> usize {
        self.calls.push(Call { version, body, at, ..Call::default() });
        self.attempt(self.calls.len() - 1, 0, Some(at));
        self.calls.len() - 1
    }
    pub fn replace(&mut self, at: usize, version: u64) -> usize {
        self.call(at, Some(version), body(version))
    }
    /// An order to retire a store, first at this node.
    pub fn retire(&mut self, at: usize, node: u32) -> usize {
        self.calls.push(Call { retires: Some(node), at, ..Call::default() });
        self.attempt(self.calls.len() - 1, 0, Some(at));
        self.calls.len() - 1
    }
    /// A store has come further, as the node that leads sees.
    pub fn advance(&mut self, node: u32, stage: RetirementStage) {
        (0..self.nodes.len())
            .for_each(|i| self.with(i, |group, now| group.advance_retirement(now, node, stage)));
    }
    /// Stores that are retired by what node `i` has committed, in their order.
    pub fn retired(&self, i: usize) -> Vec<(u32, RetirementStage)> {
        self.nodes[i].committed.retirements.iter().map(|r| (r.node, r.stage)).collect()
    }
    #[track_caller]
    pub fn read(&mut self, at: usize, most: Millis) {
        let read = self.call(at, None, Vec::new());
        self.wait(read, most);
    }
    fn attempt(&mut self, call: usize, attempt: u64, at: Option<usize>) {
        let (nodes, c) = (self.nodes.len(), &mut self.calls[call]);
        if c.done.is_some() || c.attempt != attempt {
            return;
        }
        c.attempt += 1;
        c.floor = self.acked;
        c.at = at.unwrap_or((c.at + 1) % nodes);
        let (i, version, body, attempt) = (c.at, c.version, c.body.clone(), c.attempt);
        let retires = c.retires;
        let (there, ticket) = (self.up(i), call as u64 * 1000 + attempt);
        // Where nobody is it is noticed at once, and at a machine that ends meanwhile, soon.
        self.at(if there { 500 } else { 30 }, i, Happening::Try { call, attempt, at: None });
        self.with(i, |group, now| match (version, retires) {
            (_, Some(node)) => group.retire_store(now, ticket, node, format!("storage-{node}")),
            (Some(version), _) => group.replace_configuration(now, ticket, version, body),
            (None, None) => group.read_configuration(now, ticket),
        });
    }
    fn answered(&mut self, ticket: u64, verdict: Verdict, state: Option<ControlState>) {
        let (call, attempt) = ((ticket / 1000) as usize, ticket % 1000);
        let c = &mut self.calls[call];
        if c.attempt != attempt || c.done.is_some() {
            return;
        }
        let writes = c.version.is_some() || c.retires.is_some();
        let (at, floor) = (c.at, if writes { 0 } else { c.floor });
        let (after, next) = match verdict {
            Verdict::Accepted | Verdict::Unchanged => {
                c.done = Some(verdict);
                if let Some(node) = c.retires {
                    self.ordered.insert(node);
                    return;
                }
                let (version, body) = (c.version.unwrap_or(0), c.body.clone());
                let wrote = Some(ControlState { version, body, ..ControlState::default() })
                    .filter(|_| verdict == Verdict::Accepted);
                self.note(format!("call {call} {version:?} {verdict:?} {state:?}"));
                self.seen(&wrote.or(state).unwrap_or_default(), floor);
                return assert!(self.acked >= version, "acknowledged, and not committed");
            }
            Verdict::NotPrimary { primary: Some(primary) } => (5, index(primary)),
            _ => (30, (at + 1) % self.nodes.len()),
        };
        self.at(after, at, Happening::Try { call, attempt, at: Some(next) })
    }
    /// An answer: nothing older than what was answered before it was asked, and always the same by one number.
    fn seen(&mut self, state: &ControlState, floor: u64) {
        if state.version < floor {
            self.fail(&format!("answered {} after {floor}", state.version));
        }
        if self.known.entry(state.version).or_insert_with(|| state.body.clone()) != &state.body {
            self.fail(&format!("two contents of {}", state.version));
        }
        self.acked = self.acked.max(state.version);
    }
    /// Asks all nodes at one moment: no more than one may answer, with nothing older than was answered before.
    fn probe(&mut self) {
        let ordered = self.ordered.clone();
        self.probe_at = self.now + 10;
        let mut states = Vec::new();
        for node in self.nodes.iter_mut().filter(|n| !n.frozen) {
            let Some(group) = &mut node.group else { continue };
            group.read_configuration(self.now + node.clock, 0);
            let settled = group.readable_state(self.now + node.clock);
            // Of a full list the oldest complete one may go.
            let settled = settled.filter(|state| state.retirements.len() < MAX_RETIREMENTS);
            let forgotten =
                settled.is_some_and(|state| ordered.iter().any(|node| state.retirement(*node).is_none()));
            if forgotten {
                self.fail("an acknowledged order to retire a store is forgotten");
            }
            if let Some(Effect::ReadAnswer { state, .. }) = group.take_effects().pop() {
                states.push(state.unwrap_or_default());
            }
        }
        if let Some(state) = states.pop() {
            self.seen(&state, self.acked);
        }
        if !states.is_empty() {
            self.fail("two answer as primary");
        }
    }
    /// Does this with one that runs, and carries out what comes of it.
    fn with(&mut self, i: usize, what: impl FnOnce(&mut ControlGroup, Millis)) {
        let node = &mut self.nodes[i];
        let now = self.now + node.clock;
        if let Some(group) = node.group.as_mut().filter(|_| !node.frozen) {
            what(group, now);
        }
        self.carry_out(i);
    }
    fn carry_out(&mut self, i: usize) {
        loop {
            let node = &mut self.nodes[i];
            let Some(group) = &mut node.group else { return };
            node.outbox.extend(group.take_effects());
            let now = self.now + node.clock;
            node.due = group.next_tick(now) - node.clock;
            if node.frozen {
                return;
            }
            let Some(effect) = node.outbox.pop_front() else { return };
            self.carry(i, effect);
            self.effects += 1;
            if let Some((_, trouble)) = self.trap.filter(|(at, _)| *at == self.effects) {
                self.strike(i, trouble, Some(if trouble == Freeze { 1500 } else { 300 }));
            }
        }
    }
    /// After a while, but not before what went that way before.
    fn in_turn(&mut self, way: (usize, usize), most: Millis) -> Millis {
        let at = self.now + 1 + self.random_below(most);
        let last = self.order.entry(way).or_default();
        *last = at.max(*last);
        *last - self.now
    }
    fn carry(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let to = index(to);
                self.sent.push(message.clone());
                if let Some(conn) = self.conns.get(&way(i, to)).copied() {
                    let after = self.in_turn((i, to), self.delay);
                    self.at(after, to, Happening::Said { from: i, conn, message });
                }
            }
            Effect::Persist { ticket, record } => {
                self.nodes[i].writing.push_back((ticket, record));
                let after = self.in_turn((i, i), self.disk);
                self.at(after, i, Happening::Synced);
            }
            Effect::Answer { ticket, verdict } => self.answered(ticket, verdict, None),
            Effect::ReadAnswer { ticket, state } => self.answered(ticket, Verdict::Unchanged, state),
            Effect::Committed { serial } => {
                let state =
                    self.nodes[i].group.as_ref().and_then(|p| p.committed()).cloned().unwrap_or_default();
                let before = std::mem::replace(&mut self.nodes[i].committed, state.clone());
                if serial != state.serial || serial <= before.serial || state.version < before.version {
                    self.fail(&format!("{i} goes back to {} from {}", state.serial, before.serial));
                }
                self.seen(&state, 0);
            }
            Effect::RoleChanged { epoch, change } => self.note(format!("{i} {} by {epoch}", change.as_str())),
            Effect::ReadyToExit => self.nodes[i].released = true,
        }
    }
    fn happen(&mut self, (i, life, what): To) {
        let node = &mut self.nodes[i];
        match what {
            Happening::Try { call, attempt, at } => return self.attempt(call, attempt, at),
            _ if life != node.life => {}
            Happening::Start if node.group.is_none() => return self.start(i),
            Happening::Thaw if node.frozen => {
                node.frozen = false;
                let held = std::mem::take(&mut node.held);
                self.note(format!("{i} thaws"));
                self.carry_out(i);
                return held.into_iter().for_each(|what| self.happen(what));
            }
            what if node.frozen => node.held.push((i, life, what)),
            Happening::Said { from, conn, message } if self.conns.get(&way(from, i)) == Some(&conn) => {
                self.with(i, |group, now| group.handle_message(now, voter(from), message));
            }
            Happening::Synced => {
                let Some((ticket, record)) = node.writing.pop_front() else { return };
                let ok = !node.full;
                Some(record).filter(|_| ok).into_iter().for_each(|record| node.disk.apply(record));
                self.with(i, |group, now| group.persisted(now, ticket, ok));
            }
            Happening::Link { peer, up } if up == self.conns.contains_key(&way(i, peer)) => {
                self.with(i, |group, now| {
                    if up {
                        group.peer_connected(now, voter(peer));
                        group.add_learner(voter(peer));
                    } else {
                        group.peer_disconnected(now, voter(peer));
                    }
                });
            }
            _ => {}
        }
        self.with(i, |group, now| group.tick(now));
    }
    pub fn run(&mut self, span: Millis) {
        let until = self.now + span;
        while self.step(until) {}
    }
    /// One thing more; not past that time.
    fn step(&mut self, until: Millis) -> bool {
        let runs = |n: &&Node| n.group.is_some() && !n.frozen;
        let due = self.nodes.iter().filter(runs).map(|n| n.due).min().unwrap_or(Millis::MAX);
        let first = self.queue.keys().next().map_or(Millis::MAX, |(at, _)| *at);
        let at = due.min(first).min(self.probe_at);
        if at > until {
            self.now = until;
            return false;
        }
        self.now = self.now.max(at);
        if first <= at {
            let next = self.queue.pop_first();
            next.into_iter().for_each(|(_, what)| self.happen(what));
        } else if self.probe_at <= at {
            self.probe();
        } else if let Some(i) = self.nodes.iter().position(|n| runs(&n) && n.due <= at) {
            self.with(i, |group, now| group.tick(now));
        }
        true
    }
    /// Until a call is answered; it has so long.
    #[track_caller]
    pub fn wait(&mut self, call: usize, most: Millis) -> Verdict {
        let until = self.now + most;
        while self.calls[call].done.is_none() && self.step(until) {}
        self.calls[call].done.unwrap_or_else(|| self.fail(&format!("call {call} has no answer")))
    }
    /// Nothing troubles it from here on: a write is answered within 3 s, is read back, and is committed everywhere.
    #[track_caller]
    pub fn calm(&mut self) {
        let version = self.acked.max(self.calls.iter().filter_map(|c| c.version).max().unwrap_or(0)) + 1;
        let at = self.random_below(self.nodes.len() as u64) as usize;
        (self.disk, self.delay) = (2, 4);
        let write = self.replace(at, version);
        self.wait(write, 3000);
        self.read(at, 500);
        self.run(1200);
        let old =
            self.nodes.iter().position(|node| node.group.is_some() && node.committed.version != version);
        if old.is_some() || self.acked != version {
            self.fail(&format!("{old:?} has not the last committed"));
        }
    }
    pub fn primary(&self) -> usize {
        let leads = |n: &Node| n.group.as_ref().is_some_and(|p| p.holds_lease(self.now + n.clock));
        self.nodes.iter().position(leads).unwrap_or_else(|| self.fail("nobody leads"))
    }
    pub fn view(&self) -> View {
        let group = self.nodes[self.primary()].group.as_ref();
        group.and_then(|p| p.view()).cloned().unwrap_or_else(|| self.fail("no view"))
    }
    pub fn voters(&self) -> Vec<usize> {
        self.view().voters.into_iter().map(index).collect()
    }
    /// A replica beside the primary.
    pub fn replica(&self) -> usize {
        let others = self.view().replicas.into_iter().map(index);
        others.filter(|i| *i != self.primary()).min().unwrap_or_else(|| self.fail("no replica"))
    }
    pub fn is_in_contact(&self, i: usize) -> bool {
        let node = &self.nodes[i];
        node.group.as_ref().is_some_and(|p| p.is_in_contact(self.now + node.clock))
    }
    pub fn up(&self, i: usize) -> bool {
        self.nodes[i].group.is_some() && !self.nodes[i].frozen
    }
    pub fn release(&mut self, i: usize) {
        self.note(format!("{i} is told to end"));
        self.with(i, |group, now| group.shut_down(now));
    }
}
