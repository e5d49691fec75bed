//! Nodes, disks, connections and operators. Left alone it does the next thing that is due, by a fixed order.

use crate::invariants::{Invariants, Property, Seen};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use stileroute_control_group_planted::{
    ControlGroup, ControlState, Effect, Fingerprinter, GroupSettings, Millis, Persisted, Planted, Record,
    Signal, Verdict, Voter, MAX_CLOCK_DRIFT,
};

/// A message takes so long, a disk, and until it is noticed that a connection broke, or is there.
const HOP: Millis = 4;
const SYNC: Millis = 3;
pub(crate) const ROUND: Millis = 50;
pub(crate) const NOTICED: Millis = 2;
/// An attempt of a call waits so long for its answer.
const PATIENCE: Millis = 500;
/// Choices may be taken so long after the last call has ended, and no longer than that after the start.
const AFTER: Millis = 500;
/// The same, where nodes are replaced: until one that is lost is out of the group.
const AFTER_GROWTH: Millis = 2_000;
const LONGEST: Millis = 6_000;
/// The last call is made so long after the last trouble: whoever is back has heard a heartbeat by then.
const SETTLED: Millis = 250;
/// After the last trouble it has so long to be accepted, and then to be committed at all nodes.
const ACCEPTED: Millis = 4_000;
const EVERYWHERE: Millis = 1_500;
/// And then so long until whoever is there votes, and nobody else.
const REPLACED: Millis = 2_000;

/// At which steps a choice is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Grain {
    /// Where a node did more than heartbeat, ack a heartbeat, or look at the clock.
    Coarse,
    /// At each step.
    Fine,
}

/// How long a trouble lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Spans {
    /// Each span that a trouble of its kind may last.
    All,
    /// Only the one after which others have stood.
    One,
    /// Twenty seconds.
    Long,
}

/// Which troubles strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kinds {
    All,
    /// Only those that make the group grow, and that come with it: replacements, losses for good, splits.
    Growth,
}

/// How fast the clocks of the nodes run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Drift {
    /// All alike.
    None,
    /// That of the first primary is slow, the others are fast, by as much as is allowed for.
    FirstSlow,
    /// The other way round.
    FirstFast,
    /// As `FirstSlow`, and two and a half times as far as is allowed for: the lease outlasts the silence.
    TooFar,
}

impl Drift {
    /// By how much the clock of node `i` gains on true time, in thousandths.
    fn rate(self, i: usize) -> i64 {
        let (slow, bound) = (i == 0, MAX_CLOCK_DRIFT as i64);
        match self {
            Drift::None => 0,
            Drift::FirstSlow => {
                if slow {
                    -bound
                } else {
                    bound
                }
            }
            Drift::FirstFast => {
                if slow {
                    bound
                } else {
                    -bound
                }
            }
            Drift::TooFar => {
                if slow {
                    -bound * 5 / 2
                } else {
                    bound * 5 / 2
                }
            }
        }
    }
}

/// How long the nodes wait at random: always the same share of what they may, so that states can be told to be the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Chance {
    Rising,
    Falling,
    /// Two that stand do so at one time, until the calm, where chance is chance again.
    Alike,
    /// Nobody waits at all, until the calm.
    Soonest,
}

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Control nodes that start first, and those that may come later, empty, at addresses of their own.
    pub nodes: usize,
    pub spares: usize,
    pub losses: usize,
    /// Most troubles: an end, a loss of power or disk, a freeze, a cut, an orderly end.
    pub troubles: u8,
    /// Most delays: a message or disk late, a message lost, a record refused.
    pub delays: u8,
    pub grain: Grain,
    pub spans: Spans,
    pub kinds: Kinds,
    pub chance: Chance,
    pub drift: Drift,
    /// Which calls the operators make: an index into [`SCRIPTS`].
    pub script: usize,
    pub planted: Option<Planted>,
}

/// A call: at which node, which version, and how often it is tried until the operator gives up.
type Asked = (usize, u64, u64);
/// Stages: the calls of one are made at one moment, when all of the one before have ended. No two bodies are alike.
pub const SCRIPTS: [&[&[Asked]]; 3] = [
    // One version with two bodies, at two nodes.
    &[&[(1, 1, 8)], &[(0, 2, 8), (1, 2, 8)]],
    // The same, and one of them gives up at once.
    &[&[(2, 1, 8)], &[(0, 2, 1), (1, 2, 30)]],
    // Two versions at two nodes.
    &[&[(2, 1, 8)], &[(1, 3, 8), (0, 2, 8)]],
];

#[derive(Clone, Default)]
pub(crate) struct Node {
    pub group: Option<ControlGroup>,
    pub life: u64,
    /// What its clock shows at the start of all, and what it gains from then on, in thousandths.
    pub clock: Millis,
    pub rate: i64,
    pub disk: Persisted,
    pub writing: VecDeque<(Millis, u64, Record)>,
    pub wiped: bool,
    pub frozen: bool,
    /// It comes not back: lost for good, or taken away by plan.
    pub gone: bool,
    /// It was replaced while it was cut off.
    pub presumed: bool,
    pub outbox: VecDeque<Effect>,
    pub due: Millis,
    pub seen: Seen,
}

impl Node {
    /// What its clock shows.
    pub fn local(&self, now: Millis) -> Millis {
        self.clock + now * self.speed() / 1_000
    }
    /// When its clock shows that.
    fn when(&self, local: Millis) -> Millis {
        (local.saturating_sub(self.clock) * 1_000).div_ceil(self.speed())
    }
    fn speed(&self) -> u64 {
        (1_000 + self.rate) as u64
    }
}

/// What is to come at a certain time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Due {
    Thaw(usize),
    End(usize),
    Start(usize),
    /// SIGTERM, to be taken away.
    Retire(usize),
    Heal(usize, usize),
    /// What the first sends reaches the second again.
    Hears(usize, usize),
    Link {
        at: usize,
        peer: usize,
        up: bool,
    },
    Ask {
        at: usize,
        call: usize,
        attempt: u64,
    },
    /// Without an answer to this attempt, the next one; at the node that was named.
    Next {
        call: usize,
        attempt: u64,
        at: Option<usize>,
    },
    Stage,
    /// The last call of all.
    Last,
}

#[derive(Clone, Hash)]
pub(crate) struct Call {
    pub state: ControlState,
    pub at: usize,
    pub attempt: u64,
    pub attempts: u64,
    /// An attempt has had no clear answer.
    pub unclear: bool,
    pub done: Option<Verdict>,
    /// Given up, without a clear answer.
    pub left: bool,
}

/// What comes next, if nothing takes another choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Carry(usize),
    Due,
    Said(usize, usize),
    Synced(usize),
    Tick(usize),
}

#[derive(Clone)]
pub struct World {
    pub bounds: Bounds,
    pub now: Millis,
    pub(crate) nodes: Vec<Node>,
    /// From one to another, in order.
    pub(crate) wires: Vec<VecDeque<(Millis, Signal)>>,
    pub(crate) joined: Vec<bool>,
    pub(crate) cuts: Vec<u8>,
    /// Nothing arrives this way before then; what is sent meanwhile waits.
    pub(crate) held: Vec<Millis>,
    pub(crate) agenda: Vec<(Millis, Due)>,
    pub(crate) calls: Vec<Call>,
    stage: usize,
    ended: Option<Millis>,
    /// The last write, and since when it is waited for; then since when it has been accepted.
    calm: Option<(usize, Millis)>,
    accepted: Option<Millis>,
    pub over: bool,
    /// The node where something happened last, and whether more than a heartbeat.
    pub(crate) touched: Option<(usize, bool)>,
    pub invariants: Invariants,
    /// What happened, where it is wanted.
    pub trace: Option<Vec<String>>,
    /// How long the write waited after all was healed.
    pub waited: Millis,
    random_state: Vec<u64>,
}

pub(crate) fn voter(i: usize) -> Voter {
    Voter::new([10, 0, 0, i as u8 + 1].into(), 9000)
}
pub(crate) fn index(voter: Voter) -> usize {
    usize::from(voter.ip().octets()[3]) - 1
}
fn heartbeat(signal: &Signal) -> bool {
    matches!(signal, Signal::Heartbeat(_) | Signal::HeartbeatAck { .. })
}

impl World {
    pub fn new(bounds: Bounds) -> World {
        let n = bounds.nodes + bounds.spares;
        let share = |i: usize| match bounds.chance {
            Chance::Rising => i,
            Chance::Falling => n - 1 - i,
            Chance::Alike => n / 2,
            Chance::Soonest => 0,
        };
        let new = |i: usize| Node {
            clock: 100_000 + 7_777 * i as Millis,
            rate: bounds.drift.rate(i),
            ..Node::default()
        };
        let mut world = World {
            bounds,
            now: 0,
            nodes: (0..n).map(new).collect(),
            wires: vec![VecDeque::new(); n * n],
            joined: vec![false; n * n],
            cuts: vec![0; n * n],
            held: vec![0; n * n],
            agenda: vec![(20, Due::Stage)],
            calls: Vec::new(),
            stage: 0,
            ended: None,
            calm: None,
            accepted: None,
            over: false,
            touched: None,
            invariants: Invariants::default(),
            trace: None,
            waited: 0,
            random_state: (0..n).map(|i| random_state(share(i) as u64, n as u64)).collect(),
        };
        (0..bounds.nodes).for_each(|i| world.start(i));
        world
    }

    pub(crate) fn note(&mut self, what: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:5} ms  {}", self.now, what()));
        }
    }
    pub(crate) fn way(&self, a: usize, b: usize) -> usize {
        a.min(b) * self.nodes.len() + a.max(b)
    }
    pub(crate) fn wire(&self, from: usize, to: usize) -> usize {
        from * self.nodes.len() + to
    }
    pub(crate) fn at(&mut self, after: Millis, what: Due) {
        self.agenda.push((self.now + after, what));
    }
    /// Troubles end at round times: those that begin shortly after each other come to the same.
    pub(crate) fn at_least(&mut self, after: Millis, what: Due) {
        self.agenda.push(((self.now + after).next_multiple_of(ROUND), what));
    }
    pub(crate) fn up(&self, i: usize) -> bool {
        self.nodes[i].group.is_some() && !self.nodes[i].frozen
    }

    // ---- Processes and connections ----

    pub(crate) fn start(&mut self, i: usize) {
        let bounds = self.bounds;
        let node = &mut self.nodes[i];
        // Serials of one life don't follow those of another.
        let seed = (i as u64 + 1) * 1_000_000 + node.life * 10_000;
        let seeds = (0..bounds.nodes).map(voter).collect();
        let mut settings =
            GroupSettings::new(voter(i), seeds, node.life == 0 && i < bounds.nodes, bounds.losses, seed);
        settings.planted = bounds.planted;
        node.group = Some(ControlGroup::new(settings, node.disk.clone(), node.local(self.now)));
        node.life += 1;
        node.seen.blank = (node.life > 1 || i >= bounds.nodes) && node.disk.view.is_none();
        self.note(|| format!("node {i} starts"));
        (0..self.nodes.len()).for_each(|peer| self.join(i, peer));
        self.with(i, |_, _| ());
    }
    pub(crate) fn join(&mut self, a: usize, b: usize) {
        let way = self.way(a, b);
        let able = |i: usize| self.nodes[i].group.is_some();
        let (to, fro) = (self.wire(a, b), self.wire(b, a));
        let heard = self.held[to].max(self.held[fro]) <= self.now;
        if a != b && able(a) && able(b) && heard && self.cuts[way] == 0 && !self.joined[way] {
            self.joined[way] = true;
            self.wires[to].clear();
            self.wires[fro].clear();
            self.linked(a, b, true, NOTICED);
        }
    }
    fn linked(&mut self, a: usize, b: usize, up: bool, noticed: Millis) {
        for (at, peer) in [(a, b), (b, a)] {
            self.agenda.retain(
                |(_, due)| !matches!(due, Due::Link { at: x, peer: y, .. } if (*x, *y) == (at, peer)),
            );
            self.at(noticed, Due::Link { at, peer, up });
        }
    }
    /// What `drains` has sent still arrives.
    pub(crate) fn part(&mut self, a: usize, b: usize, noticed: Millis, drains: Option<usize>) {
        let way = self.way(a, b);
        if !std::mem::take(&mut self.joined[way]) {
            return;
        }
        let mut last = 0;
        for (from, to) in [(a, b), (b, a)] {
            let wire = self.wire(from, to);
            if drains == Some(from) {
                last = self.wires[wire].back().map_or(0, |(due, _)| self.since_now(*due));
            } else {
                self.wires[wire].clear();
            }
        }
        self.linked(a, b, false, noticed.max(last));
    }
    fn since_now(&self, due: Millis) -> Millis {
        due.saturating_sub(self.now)
    }
    /// The process is gone, with what it had not written. So many records of those under way have reached the disk.
    pub(crate) fn end(&mut self, i: usize, reached: usize, kill: bool, wipe: bool) {
        let node = &mut self.nodes[i];
        for (_, _, record) in std::mem::take(&mut node.writing).into_iter().take(reached) {
            node.disk.apply(record);
        }
        node.group = None;
        node.frozen = false;
        node.outbox.clear();
        node.seen.committed = None;
        node.seen.told.clear();
        if wipe {
            node.disk = Persisted::default();
        }
        if node.disk.view.is_none() {
            // Nothing was synced yet: that is no other than a disk that was lost.
            (node.wiped, node.seen.lost) = (true, true);
            node.seen.granted.clear();
        }
        self.agenda.retain(|(_, due)| match due {
            Due::Thaw(at) | Due::End(at) | Due::Retire(at) => *at != i,
            Due::Ask { at, .. } | Due::Link { at, .. } => *at != i,
            _ => true,
        });
        for peer in (0..self.nodes.len()).filter(|peer| *peer != i) {
            self.part(i, peer, if kill { 1 } else { 3_000 }, Some(i).filter(|_| kill));
            self.agenda.retain(|(_, due)| !matches!(due, Due::Link { at, .. } if *at == i));
        }
        for call in 0..self.calls.len() {
            // The connection to the operator ends with the process, or it hears nothing more.
            let c = &mut self.calls[call];
            if c.at == i && c.done.is_none() && !c.left {
                c.unclear = true;
                let attempt = c.attempt;
                if kill {
                    self.at(30, Due::Next { call, attempt, at: None });
                }
            }
        }
    }

    // ---- Operators ----

    fn begin_stage(&mut self) {
        let script = SCRIPTS[self.bounds.script];
        let Some(calls) = script.get(self.stage) else { return };
        self.stage += 1;
        for (at, version, attempts) in calls.iter() {
            self.call(*at, *version, *attempts);
        }
    }
    fn call(&mut self, at: usize, version: u64, attempts: u64) {
        let call = self.calls.len();
        let body = format!("v{version} of call {call}").into_bytes();
        let state = ControlState { version, body, ..ControlState::default() };
        self.calls.push(Call { state, at, attempt: 0, attempts, unclear: false, done: None, left: false });
        self.attempt(call, 0, Some(at));
    }
    fn attempt(&mut self, call: usize, attempt: u64, at: Option<usize>) {
        let calm = self.calm.is_some_and(|(calm, _)| calm == call);
        let c = &mut self.calls[call];
        if c.done.is_some() || c.left || c.attempt != attempt {
            return;
        }
        // Where there was no answer it is not known what becomes of it.
        c.unclear |= at.is_none() && attempt > 0;
        if attempt == c.attempts && !calm {
            c.left = true;
            return self.ended_call(call);
        }
        self.agenda.retain(|(_, due)| !matches!(due, Due::Next { call: c, .. } if *c == call));
        let c = &mut self.calls[call];
        c.attempt += 1;
        c.at = at.unwrap_or((c.at + 1) % self.nodes.len());
        let (at, attempt) = (c.at, c.attempt);
        if self.nodes[at].group.is_none() {
            let next = (at + 1) % self.nodes.len();
            return self.at(30, Due::Next { call, attempt, at: Some(next) });
        }
        self.at(PATIENCE, Due::Next { call, attempt, at: None });
        self.at(0, Due::Ask { at, call, attempt });
    }
    fn ask(&mut self, at: usize, call: usize, attempt: u64) {
        let ControlState { version, body, .. } = self.calls[call].state.clone();
        self.note(|| format!("node {at} is asked for {version}, call {call}"));
        self.with(at, |group, now| group.replace(now, call as u64 * 1_000 + attempt, version, body));
    }
    fn answered(&mut self, i: usize, ticket: u64, verdict: Verdict) {
        let (call, attempt) = ((ticket / 1_000) as usize, ticket % 1_000);
        self.note(|| format!("node {i} answers call {call}: {verdict:?}"));
        let calm = self.calm.is_some_and(|(calm, _)| calm == call);
        let c = &mut self.calls[call];
        let (state, open) = (c.state.clone(), c.attempt == attempt && c.done.is_none() && !c.left);
        match verdict {
            // Whoever hears it, and also where nobody waits for it any more: it is said.
            Verdict::Accepted => self.invariants.learn(&state, "acknowledged"),
            Verdict::Unchanged if self.invariants.highest < state.version => {
                let evidence = format!("{} is acknowledged, and none as high is committed", state.version);
                self.invariants.fail(Property::NothingOld, evidence);
            }
            _ => {}
        }
        if !open {
            return;
        }
        let c = &mut self.calls[call];
        let next = match verdict {
            Verdict::Accepted | Verdict::Unchanged => {
                c.done = Some(verdict);
                return self.ended_call(call);
            }
            Verdict::NotDone if !c.unclear && !calm => {
                c.done = Some(verdict);
                self.invariants.never.push(state.clone());
                if self.invariants.known.get(&state.version) == Some(&state.body) {
                    let evidence = format!("{} was committed before", state.version);
                    self.invariants.fail(Property::NotDoneStays, evidence);
                }
                return self.ended_call(call);
            }
            // Whoever was sent on once waits a little before it asks on.
            Verdict::NotPrimary { primary: Some(primary) } => {
                (if attempt < 2 { 5 } else { 150 }, index(primary))
            }
            _ => (150, (i + 1) % self.bounds.nodes),
        };
        c.unclear |= verdict == Verdict::Uncertain;
        self.agenda.retain(|(_, due)| !matches!(due, Due::Next { call: c, .. } if *c == call));
        self.at(next.0, Due::Next { call, attempt, at: Some(next.1) });
    }
    fn ended_call(&mut self, call: usize) {
        self.agenda.retain(|(_, due)| !matches!(due, Due::Next { call: c, .. } if *c == call));
        if self.calm.is_some_and(|(calm, _)| calm == call) {
            self.accepted = Some(self.now);
        } else if self.calls.iter().all(|c| c.done.is_some() || c.left) {
            if self.stage < SCRIPTS[self.bounds.script].len() {
                self.at(10, Due::Stage);
            } else {
                self.ended = Some(self.now);
            }
        }
    }

    // ---- Steps ----

    /// Does this with one that runs; what it wants done is carried out by the steps that follow.
    pub(crate) fn with(&mut self, i: usize, what: impl FnOnce(&mut ControlGroup, Millis)) {
        let calm = self.calm.is_some();
        let node = &mut self.nodes[i];
        let now = node.local(self.now);
        let Some(group) = &mut node.group else { return };
        if !calm {
            group.set_random_state(self.random_state[i]);
        }
        what(group, now);
        group.tick(now);
        let weighty = {
            let effects = group.take();
            let weighty =
                effects.iter().any(|e| !matches!(e, Effect::Send { signal, .. } if heartbeat(signal)));
            node.outbox.extend(effects);
            weighty
        };
        let next = group.next(now);
        node.due = node.when(next);
        self.touched = Some((i, weighty));
        self.look_at(i);
    }

    /// What is due first. Whoever is frozen does nothing, and what comes for it waits.
    pub(crate) fn next(&self) -> Option<(Millis, Step)> {
        if let Some(i) = self.nodes.iter().position(|n| !n.frozen && !n.outbox.is_empty()) {
            return Some((self.now, Step::Carry(i)));
        }
        let mut first: Option<((Millis, u8, usize), Step)> = None;
        let mut offer = |due: Millis, rank: u8, place: usize, step: Step| {
            let key = (due.max(self.now), rank, place);
            if first.as_ref().is_none_or(|(other, _)| key < *other) {
                first = Some((key, step));
            }
        };
        if let Some((due, _)) = self.next_due() {
            offer(*due, 0, 0, Step::Due);
        }
        for (at, wire) in self.wires.iter().enumerate() {
            let (from, to) = (at / self.nodes.len(), at % self.nodes.len());
            if let Some((due, _)) = wire.front().filter(|_| self.up(to)) {
                offer(*due, 1, at, Step::Said(from, to));
            }
        }
        for (i, node) in self.nodes.iter().enumerate().filter(|(i, _)| self.up(*i)) {
            if let Some((due, ..)) = node.writing.front() {
                offer(*due, 2, i, Step::Synced(i));
            }
            offer(node.due, 3, i, Step::Tick(i));
        }
        first.map(|((at, ..), step)| (at, step))
    }
    fn next_due(&self) -> Option<&(Millis, Due)> {
        let open = |due: &Due| match due {
            Due::Link { at, .. } | Due::Ask { at, .. } | Due::End(at) | Due::Retire(at) => {
                !self.nodes[*at].frozen
            }
            _ => true,
        };
        self.agenda.iter().filter(|(_, due)| open(due)).min()
    }

    /// The next thing that is due.
    pub fn step(&mut self) {
        let Some((at, step)) = self.next() else { return };
        self.now = at;
        self.touched = None;
        match step {
            Step::Carry(i) => {
                if let Some(effect) = self.nodes[i].outbox.pop_front() {
                    self.carry(i, effect);
                }
            }
            Step::Due => {
                let Some(first) = self.next_due().cloned() else { return };
                // One of them: two cuts that end at one moment are two.
                if let Some(at) = self.agenda.iter().position(|due| *due == first) {
                    self.agenda.swap_remove(at);
                }
                self.happen(first.1);
            }
            Step::Said(from, to) => {
                let wire = self.wire(from, to);
                let Some((_, signal)) = self.wires[wire].pop_front() else { return };
                if !heartbeat(&signal) {
                    self.note(|| format!("node {to} hears from {from}: {}", short(&signal)));
                }
                if let Signal::TellView { view: Some(view) } = &signal {
                    self.nodes[to].seen.told.insert(from, view.clone());
                }
                self.with(to, |group, now| group.signal(now, voter(from), signal));
            }
            Step::Synced(i) => self.synced(i, true),
            Step::Tick(i) => self.with(i, |_, _| ()),
        }
        self.calm_down();
    }
    pub(crate) fn synced(&mut self, i: usize, ok: bool) {
        let node = &mut self.nodes[i];
        let Some((_, ticket, record)) = node.writing.pop_front() else { return };
        if ok {
            node.disk.apply(record);
        }
        self.with(i, |group, now| group.persisted(now, ticket, ok));
        self.touched = Some((i, true));
    }
    fn carry(&mut self, i: usize, effect: Effect) {
        self.touched = Some((i, !matches!(&effect, Effect::Send { signal, .. } if heartbeat(signal))));
        match effect {
            Effect::Send { to, signal } => {
                let to = index(to);
                self.look_at_signal(i, &signal);
                if self.joined[self.way(i, to)] {
                    let wire = self.wire(i, to);
                    let last = self.wires[wire].back().map_or(0, |(due, _)| *due);
                    let due = (self.now + HOP).max(last).max(self.held[wire]);
                    self.wires[wire].push_back((due, signal));
                }
            }
            Effect::Persist { ticket, record } => {
                self.note(|| format!("node {i} writes {}", brief(&record)));
                let node = &mut self.nodes[i];
                let due = (self.now + SYNC).max(node.writing.back().map_or(0, |(due, ..)| *due));
                node.writing.push_back((due, ticket, record));
            }
            Effect::Answer { ticket, verdict } => self.answered(i, ticket, verdict),
            Effect::ControlState { .. } => {}
            Effect::Committed { serial } => {
                self.note(|| format!("node {i} has the value {serial} committed"))
            }
            Effect::RoleChanged { epoch, what } => {
                self.note(|| format!("node {i} {what} by {epoch}"));
                if what == "stands" {
                    self.look_at_candidate(i);
                }
            }
            Effect::Released => {
                self.note(|| format!("node {i} may end"));
                self.at(1, Due::End(i));
            }
        }
    }
    fn happen(&mut self, due: Due) {
        match due {
            Due::Thaw(i) => {
                self.nodes[i].frozen = false;
                self.note(|| format!("node {i} wakes"));
                self.touched = Some((i, true));
                self.look_around();
            }
            Due::End(i) => {
                self.note(|| format!("node {i} has ended"));
                let all = self.nodes[i].writing.len();
                self.end(i, all, true, false);
                if !self.nodes[i].gone {
                    self.at(300, Due::Start(i));
                }
            }
            Due::Start(i) => self.start(i),
            Due::Retire(i) => {
                self.note(|| format!("node {i} is told to end"));
                self.with(i, |group, now| group.release(now));
            }
            Due::Heal(a, b) => {
                self.note(|| format!("{a} and {b} meet again"));
                let way = self.way(a, b);
                self.cuts[way] -= 1;
                self.join(a, b);
            }
            Due::Hears(from, to) => {
                self.note(|| format!("{to} hears {from} again"));
                self.join(from, to);
            }
            Due::Link { at, peer, up } => {
                if self.joined[self.way(at, peer)] == up {
                    self.with(at, |group, now| {
                        group.link(now, voter(peer), up);
                        if up {
                            group.learn(voter(peer));
                        }
                    });
                }
            }
            Due::Ask { at, call, attempt } => self.ask(at, call, attempt),
            Due::Next { call, attempt, at } => self.attempt(call, attempt, at),
            Due::Stage => self.begin_stage(),
            Due::Last => self.last_call(),
        }
    }

    // ---- The end of a way ----

    /// Trouble goes on somewhere.
    pub(crate) fn troubled(&self) -> bool {
        let trouble = |due: &Due| {
            matches!(
                due,
                Due::Thaw(_) | Due::End(_) | Due::Start(_) | Due::Retire(_) | Due::Heal(..) | Due::Hears(..)
            )
        };
        self.nodes.iter().any(|n| (n.group.is_none() && !n.gone && n.life > 0) || n.frozen)
            || self.agenda.iter().any(|(_, due)| trouble(due))
    }
    /// Choices may still be taken so long.
    pub(crate) fn left(&self) -> Millis {
        if self.calm.is_some() {
            return 0;
        }
        let after = if self.bounds.spares > 0 { AFTER_GROWTH } else { AFTER };
        let until = self.ended.map_or(LONGEST, |ended| (ended + after).min(LONGEST));
        until.saturating_sub(self.now)
    }
    pub fn calm(&self) -> bool {
        self.calm.is_some()
    }
    /// Nobody takes a choice any more: when all is healed and the calls have ended, one more is made.
    pub(crate) fn begin_calm(&mut self) {
        if self.calm.is_some() || self.ended.is_none() || self.troubled() {
            return;
        }
        self.note(|| "all is healed".to_string());
        self.calm = Some((self.calls.len(), self.now));
        self.at(SETTLED, Due::Last);
    }
    fn last_call(&mut self) {
        let version = self.calls.iter().map(|c| c.state.version).max().unwrap_or(0) + 1;
        self.call(self.invariants.highest as usize % self.nodes.len(), version, u64::MAX);
    }
    fn calm_down(&mut self) {
        let Some((call, since)) = self.calm.filter(|_| !self.over) else { return };
        let Some(accepted) = self.accepted else {
            if self.since(since) > ACCEPTED {
                let evidence = format!("no answer {} ms after all was healed", self.since(since));
                self.invariants.fail(Property::SoonAgain, evidence);
            }
            return;
        };
        let state = &self.calls[call].state;
        if self.invariants.highest > state.version
            || self.invariants.known.get(&state.version) != Some(&state.body)
        {
            let evidence = format!("the last write, {}, came to {:?}", state.version, self.calls[call].done);
            return self.invariants.fail(Property::SoonAgain, evidence);
        }
        let has = |i: &usize| {
            self.nodes[*i]
                .seen
                .committed
                .as_ref()
                .is_some_and(|committed| committed.same_configuration(state))
        };
        match (0..self.nodes.len()).filter(|i| self.up(*i)).find(|i| !has(i)) {
            None if !self.voters_settled() => {
                if self.since(accepted) > REPLACED {
                    let evidence = format!("{} ms after a write was accepted", self.since(accepted));
                    self.invariants.fail(Property::SoonReplaced, evidence);
                }
            }
            None => {
                self.waited = accepted - since;
                self.over = true;
            }
            Some(i) if self.since(accepted) > EVERYWHERE => {
                let evidence = format!("node {i} has not the last write committed");
                self.invariants.fail(Property::SoonAgain, evidence);
            }
            Some(_) => {}
        }
    }

    // ---- The digest ----

    /// Whatever decides what may follow, with all times counted from now.
    pub fn digest(&self) -> u64 {
        let mut hasher = Mixer::default();
        let now = self.now;
        let away = |at: Millis| at as i64 - now as i64;
        let serial = |(i, node): (usize, &Node)| (voter(i), node.group.as_ref().map_or(0, |p| p.serial()));
        let serials: Vec<(Voter, u64)> = self.nodes.iter().enumerate().map(serial).collect();
        for (i, node) in self.nodes.iter().enumerate() {
            (node.frozen, node.gone, node.presumed, &node.disk, node.wiped, node.group.is_some())
                .hash(&mut hasher);
            // Clocks tick in whole milliseconds: where between two of them.
            (now * node.speed() % 1_000).hash(&mut hasher);
            (node.seen.lost, node.seen.blank, node.outbox.len(), node.writing.len()).hash(&mut hasher);
            let epoch = node.group.as_ref().and_then(|p| p.view()).map_or(0, |w| w.epoch);
            // An older one is granted no more.
            node.seen.granted.range(epoch..).for_each(|granted| granted.hash(&mut hasher));
            if node.seen.blank {
                node.seen.told.hash(&mut hasher);
            }
            for (due, _, record) in &node.writing {
                (away(*due).max(0), record).hash(&mut hasher);
            }
            let mut to = Fingerprinter { hasher: &mut hasher, now: node.local(now), serials: &serials };
            node.outbox.iter().for_each(|effect| to.effect(voter(i), effect));
            // Not which life of it this is: all lives are alike.
            if let Some(group) = &node.group {
                group.fingerprint(&mut to);
                away(node.due).max(0).hash(&mut hasher);
            }
        }
        for (at, wire) in self.wires.iter().enumerate() {
            let (from, to) = (at / self.nodes.len(), at % self.nodes.len());
            (wire.len(), self.held[at].saturating_sub(now)).hash(&mut hasher);
            for (due, signal) in wire {
                away(*due).max(0).hash(&mut hasher);
                // An ack tells the time of the clock that it goes to.
                let clock =
                    &self.nodes[if matches!(signal, Signal::HeartbeatAck { .. }) { to } else { from }];
                let mut sounder =
                    Fingerprinter { hasher: &mut hasher, now: clock.local(now), serials: &serials };
                sounder.signal(voter(from), voter(to), signal);
            }
        }
        for call in &self.calls {
            // How it came to its end does not count any more.
            let open = Some(call).filter(|c| c.done.is_none() && !c.left);
            (&call.state, open).hash(&mut hasher);
        }
        (&self.joined, &self.cuts, self.stage, &self.invariants.known).hash(&mut hasher);
        (self.invariants.highest, &self.invariants.never).hash(&mut hasher);
        let lowest = self.nodes.iter().filter_map(|n| n.disk.view.as_ref()).map(|w| w.epoch).min();
        self.invariants.led.range(lowest.unwrap_or(0)..).for_each(|led| led.hash(&mut hasher));
        let mut agenda: Vec<(i64, &Due)> = self.agenda.iter().map(|(at, due)| (away(*at), due)).collect();
        agenda.sort();
        agenda.hash(&mut hasher);
        let calm = self.calm.map(|(call, since)| (call, away(since)));
        (calm, self.accepted.map(away), self.ended.is_some()).hash(&mut hasher);
        hasher.finish()
    }
}

/// From here a draw comes to about this share of the most.
fn random_state(share: u64, of: u64) -> u64 {
    // The next of the generator, shifted as `draw` does, modulo 300: found by trying, once for each node.
    let wanted = share * 300 / of.max(1);
    let step = |random_state: u64| {
        random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407)
    };
    (0..).find(|random_state| (step(*random_state) >> 33) % 300 == wanted).unwrap_or(0)
}

fn short(signal: &Signal) -> String {
    match signal {
        Signal::Store { epoch, serial, state } => format!("store {} by {epoch} ({serial})", state.version),
        Signal::Propose { view, released } => {
            let freed = if *released { ", released" } else { "" };
            format!("propose epoch {} for {}{freed}", view.epoch, index(view.primary))
        }
        Signal::Granted { view } => format!("granted epoch {} to {}", view.epoch, index(view.primary)),
        Signal::Denied { view } => {
            format!(
                "denied, by epoch {} of {}, drawn {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Signal::TellView { view: Some(view) } => {
            format!(
                "this view: epoch {} of {}, drawn {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Signal::TellState { state } => format!("this state: {}", state.version),
        other => format!("{other:?}"),
    }
}
fn brief(record: &Record) -> String {
    match record {
        Record::View(view) => {
            let copies: Vec<usize> = view.copies.iter().map(|c| index(*c)).collect();
            format!(
                "view: epoch {} of {}, copies {copies:?}, drawn {}",
                view.epoch,
                index(view.primary),
                view.membership_epoch
            )
        }
        Record::ControlState(state) => {
            format!("state {}: {}", state.version, String::from_utf8_lossy(&state.body))
        }
        Record::Unnumbered(old) => format!("state {} of an older build", old.version),
        Record::Vote { epoch, to } => format!("lent by {epoch} to {}", index(*to)),
    }
}

/// A fast hash of 64 bits, the same on every run.
#[derive(Default)]
pub(crate) struct Mixer(u64);

impl Mixer {
    fn mix(&mut self, word: u64) {
        let wide = u128::from(self.0 ^ word ^ 0x9E37_79B9_7F4A_7C15) * 0xD6E8_FEB8_6659_FD93;
        self.0 = (wide as u64 ^ (wide >> 64) as u64).rotate_left(23).wrapping_add(word);
    }
}
impl Hasher for Mixer {
    fn finish(&self) -> u64 {
        let mut end = Mixer(self.0);
        end.mix(0x5851_F42D_4C95_7F2D);
        end.0
    }
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.mix(u64::from_le_bytes(word) ^ (chunk.len() as u64) << 56);
        }
    }
    fn write_u8(&mut self, v: u8) {
        self.mix(u64::from(v));
    }
    fn write_u32(&mut self, v: u32) {
        self.mix(u64::from(v));
    }
    fn write_u64(&mut self, v: u64) {
        self.mix(v);
    }
    fn write_i64(&mut self, v: i64) {
        self.mix(v as u64);
    }
    fn write_usize(&mut self, v: usize) {
        self.mix(v as u64);
    }
}
