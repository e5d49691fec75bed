//! One service: who serves it, what waits for it, and the module that decides who gets the next.

use crate::message::{Key, Millis};
use crate::repeats::{dealt, Budget, LONG};
use crate::tokens::Bucket;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use stileroute_dispatch::policy::Dispatcher;
use stileroute_dispatch::types::{
    mark, Ask, Category, Effect, Gauge, Limits, Listed, Op, Outcome as Judged, Step, Tariff, Terms, Time,
    SECOND,
};

/// An executor, as the control nodes tell of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: usize,
    pub capacity: f64,
    pub serving: bool,
    pub cold_left_ms: u64,
}

/// What an executor that has just started is slow for, at the most that is reckoned with.
const WARM: Time = 5 * SECOND;
/// A crossing of zones costs bytes and time: so many parts of a message's worth.
const CROSS: f64 = 0.15;
/// The longest pause of a service queue whose endpoint fails, and the first.
const PAUSE: (Millis, Millis) = (400, 50);

pub(crate) struct Known {
    pub server: Server,
    started: Option<Time>,
    /// When it last answered anything, and requests out there.
    heard: Millis,
    out: usize,
    /// Of these, repeats; and so many of them may be out from here.
    pub again: usize,
    may_again: usize,
    listed: bool,
}

/// A request that is out.
pub(crate) struct Sent {
    pub key: Key,
    pub executor: usize,
    at: Millis,
    op: Op,
    push: usize,
    again: bool,
}

/// A repeat, and where it last failed.
pub(crate) struct Again {
    pub avoid: Option<usize>,
}

/// What waits: those that may still be in time first, then by priority, then by when they fell due.
pub(crate) type Turn = (bool, i64, Millis, Key);

pub(crate) struct ServiceQueue {
    pub name: String,
    pub known: Vec<Known>,
    pub ready: BTreeSet<Turn>,
    /// Repeats stand in a queue of their own: those that must wait hold up nobody's first attempt.
    pub again: BTreeSet<Turn>,
    pub budget: Budget,
    pub repeats: Repeats,
    /// Since when no repeat has found room.
    stuck: Option<Millis>,
    stores: (usize, usize),
    pub sent: HashMap<u64, Sent>,
    pub bucket: Option<Bucket>,
    pub endpoint: bool,
    pub max_conns: usize,
    /// Connections to one executor from here: all stores together keep below `max_conns`.
    pub share: usize,
    dispatcher: Dispatcher,
    target: Time,
    /// Nothing goes out before this.
    pub pause: Millis,
    fails: u32,
}

pub(crate) enum Picked {
    Go {
        executor: usize,
    },
    /// Not before this, unless something changes.
    Wait(Millis),
    /// No executor has room for a repeat of this store: first attempts go on.
    Full(Millis),
}

/// Since the start: first attempts, repeats, repeats that had to wait for their part, and the most that were out at one
/// executor at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Repeats {
    pub first: u64,
    pub again: u64,
    pub held_back: u64,
    pub most: usize,
}

impl ServiceQueue {
    pub fn new(name: &str, domain: usize, nodes: usize, target: Millis, seed: u64) -> ServiceQueue {
        let tariff = Tariff {
            terms: Terms {
                domain,
                tick: 10,
                come_back: SECOND,
                max_pushes: usize::MAX,
                tip_after: SECOND,
                start_share: 0.6,
                warm_within: WARM,
                cross: CROSS,
                nodes,
                handshake: 0.02,
                keepalive: 4 * SECOND,
                ..Terms::default()
            },
            // The second is for a service queue that has nothing out: whatever its executors are like, one message
            // goes, for else nothing more would ever be learned of them.
            categories: [target as Time * 10, 60 * SECOND]
                .map(|target| Category {
                    target,
                    stretch: 0.0,
                    effect: Effect::Redeliverable,
                    benefit: 1.0,
                    late: 0.3,
                    kind: None,
                    priority: 0,
                })
                .to_vec(),
            quotas: Vec::new(),
            overload_factor: 4.0,
            gauges: vec![Gauge::Held, Gauge::Waiting, Gauge::FreeSlots],
        };
        ServiceQueue {
            name: name.to_string(),
            known: Vec::new(),
            ready: BTreeSet::new(),
            again: BTreeSet::new(),
            budget: Budget::new(0),
            repeats: Repeats::default(),
            stuck: None,
            stores: (0, 1),
            sent: HashMap::new(),
            bucket: None,
            endpoint: false,
            max_conns: 64,
            share: 2,
            dispatcher: Dispatcher::new(&tariff, seed),
            target: target as Time * 10,
            pause: 0,
            fails: 0,
        }
    }

    /// So many stores deliver.
    pub fn nodes(&mut self, me: usize, nodes: usize) {
        self.dispatcher.fleet(nodes, nodes);
        if std::mem::replace(&mut self.stores, (me, nodes)) != (me, nodes) {
            self.deal();
        }
    }

    /// Deals out the slots that repeats may take. All stores have the same list, by the names of the executors.
    fn deal(&mut self) {
        let (me, stores) = self.stores;
        self.known.iter_mut().for_each(|k| k.may_again = 0);
        let mut serving: Vec<&mut Known> =
            self.known.iter_mut().filter(|k| k.listed && k.server.serving).collect();
        serving.sort_unstable_by(|a, b| a.server.id.cmp(&b.server.id));
        let shares = dealt(serving.iter().map(|k| k.server.capacity), me, stores);
        serving.iter_mut().zip(shares).for_each(|(known, may)| known.may_again = may);
        self.budget.sized(self.room(), stores);
    }

    fn room(&self) -> f64 {
        self.known.iter().filter(|k| k.listed && k.server.serving).map(|k| k.server.capacity).sum()
    }

    /// What goes next: a repeat only if one may go. Else when to look again for one.
    pub fn first_turn(&mut self, now: Millis, again: bool) -> (Option<Turn>, Millis) {
        let first = self.ready.first().copied();
        let Some(repeat) = self.again.first().copied() else { return (first, Millis::MAX) };
        if !again || first.is_some_and(|first| first < repeat) {
            return (first, Millis::MAX);
        }
        match self.budget.may(now) {
            Ok(()) => (Some(repeat), Millis::MAX),
            Err(at) => (first, at),
        }
    }

    pub fn enter(&mut self, turn: Turn, again: bool) {
        if again {
            self.again.insert(turn);
            self.repeats.held_back += u64::from(self.again.len() > self.budget.whole());
        } else {
            self.ready.insert(turn);
        }
    }

    pub fn leave(&mut self, turn: &Turn) {
        if !self.ready.remove(turn) {
            self.again.remove(turn);
        }
    }

    /// Waiting, repeats among them.
    pub fn waiting(&self) -> usize {
        self.ready.len() + self.again.len()
    }

    pub fn shares(&self) -> Vec<(String, f64, usize)> {
        let shares = self.dispatcher.shares().chain(std::iter::repeat(0.0));
        let known = self.known.iter().zip(shares).filter(|(k, _)| k.listed && k.server.serving);
        known.map(|(k, share)| (k.server.id.clone(), share, k.out)).collect()
    }

    /// Who serves now: the whole list.
    pub fn list(&mut self, fine: Time, now: Millis, servers: &[Server]) {
        for known in &mut self.known {
            known.listed = false;
        }
        let mut new = Vec::new();
        for server in servers {
            let found = self.known.iter_mut().find(|k| k.server.id == server.id);
            match found {
                Some(known) => {
                    known.listed = true;
                    known.server = server.clone();
                }
                None => {
                    let left = server.cold_left_ms as Time * 10;
                    let started = (left > 0).then(|| fine - (WARM - left).max(0));
                    let known = Known {
                        server: server.clone(),
                        started,
                        heard: now,
                        out: 0,
                        again: 0,
                        may_again: 0,
                        listed: true,
                    };
                    // The place of one that is gone for good is used again once the list has grown long.
                    let gone = (self.known.len() >= 128)
                        .then(|| self.known.iter().position(|k| !k.listed && k.out == 0));
                    match gone.flatten() {
                        Some(at) => {
                            self.known[at] = Known { started: Some(started.unwrap_or(fine - WARM)), ..known };
                            new.push(at);
                        }
                        None => {
                            new.push(self.known.len());
                            self.known.push(known);
                        }
                    }
                }
            }
        }
        let lines: Vec<Listed> = self
            .known
            .iter()
            .enumerate()
            .map(|(executor, known)| Listed {
                executor,
                domain: known.server.zone,
                kind: 0,
                cell: 0,
                active: known.listed && known.server.serving,
                weight: known.server.capacity,
                mark: mark(&known.server.id),
                started: known.started,
            })
            .collect();
        self.dispatcher.list(fine, true, &lines);
        // Its slots it tells with its beats, before it has told any load: guessed from none it would be
        // overrun.
        for at in new {
            self.dispatcher.report(fine, at, &[0.0, 0.0, self.known[at].server.capacity]);
        }
        self.deal();
    }

    pub fn upkeep(&mut self, fine: Time) {
        self.dispatcher.upkeep(fine);
    }

    pub fn serving(&self) -> usize {
        self.known.iter().filter(|k| k.listed && k.server.serving).count()
    }

    /// Who gets the next message, as the design has it.
    pub fn pick(
        &mut self,
        fine: Time,
        now: Millis,
        key: Key,
        attempt: u64,
        mut again: Option<Again>,
    ) -> Picked {
        if now < self.pause {
            return Picked::Wait(self.pause);
        }
        if self.endpoint && self.fails > 0 && !self.sent.is_empty() {
            // One that fails is tried with one message at a time.
            return Picked::Wait(now + PAUSE.0);
        }
        if self.serving() == 0 {
            return Picked::Wait(now + PAUSE.0);
        }
        // After a break all that waits is due at once, and each store knows only its own part of what the
        // executors hold: no more is out from here than they work on together. One store alone can still keep
        // all of them busy.
        if !self.endpoint && self.sent.len() as f64 >= self.room().max(4.0) {
            return Picked::Wait(now + 10);
        }
        if self.endpoint && self.sent.len() >= self.share {
            return Picked::Wait(now + 10);
        }
        let category = usize::from(self.sent.is_empty());
        let ask = Ask {
            category,
            slots: 1.0,
            memory: 0.0,
            // Before the first answer: an eighth of the aim. Taken as the whole of it no message would be in
            // time.
            hint: Some(self.target / 8),
            deadline: fine + 60 * SECOND,
            limits: Limits { pushes: 1, ..Limits::default() },
            tenant: usize::MAX,
            key: 0,
        };
        let asked = self.dispatcher.arrive(fine, ask);
        let mut domains = u64::MAX;
        loop {
            let mut op = asked.clone();
            op.limits.domains = domains;
            let mut step = self.dispatcher.place(fine, &mut op);
            // Executors that may not have this repeat are passed over, each once.
            let mut passed = 0;
            while let (Step::Push { executor }, Some(repeat)) = (&step, &again) {
                if self.overrun(*executor) || self.takes(now, *executor, repeat) {
                    break;
                }
                passed += 1;
                op.closed = passed > self.known.len();
                let last = op.pushes.len().saturating_sub(1);
                step = self.dispatcher.settle(fine, &mut op, last, Judged::Withheld, &[]);
            }
            let push = op.pushes.len().saturating_sub(1);
            match step {
                Step::Push { executor } if self.overrun(executor) => {
                    // Closed first: else the module would send it again at once, and count that as out for
                    // ever.
                    op.closed = true;
                    self.dispatcher.settle(fine, &mut op, push, Judged::Withheld, &[]);
                    // The near ones have enough in hand: those of other zones may be idle.
                    let domain = 1u64.checked_shl(self.known[executor].server.zone as u32).unwrap_or(0);
                    if domains & domain == 0 {
                        return Picked::Wait(now + 10);
                    }
                    domains &= !domain;
                }
                Step::Push { executor } if executor < self.known.len() => {
                    let known = &mut self.known[executor];
                    known.out += 1;
                    match again {
                        Some(_) => {
                            known.again += 1;
                            self.stuck = None;
                            self.budget.spent();
                            self.repeats.again += 1;
                            self.repeats.most = self.repeats.most.max(known.again);
                        }
                        None => {
                            self.budget.first();
                            self.repeats.first += 1;
                        }
                    }
                    self.sent
                        .insert(attempt, Sent { key, executor, at: now, op, push, again: again.is_some() });
                    return Picked::Go { executor };
                }
                // Nobody else serves: the one that failed it is better than none.
                _ if passed > 0 && again.as_ref().is_some_and(|repeat| repeat.avoid.is_some()) => {
                    again.iter_mut().for_each(|repeat| repeat.avoid = None);
                }
                _ if passed > 0 => {
                    self.stuck.get_or_insert(now);
                    return Picked::Full(now + 20);
                }
                Step::Nack { come_back } => {
                    return Picked::Wait(now + (come_back / 10).clamp(5, 100) as Millis);
                }
                _ => return Picked::Wait(now + 20),
            }
        }
    }

    /// A repeat may go there: not to the one that failed it, and no more of them than are this store's part of
    /// its slots.
    fn takes(&self, now: Millis, executor: usize, repeat: &Again) -> bool {
        let Some(known) = self.known.get(executor) else { return false };
        let long = self.stuck.is_some_and(|since| now > since + LONG) && known.again == 0;
        repeat.avoid != Some(executor) && (known.again < known.may_again || long)
    }

    /// It holds twice what it works on from here alone.
    fn overrun(&self, executor: usize) -> bool {
        // Nor more than its connections that are this store's part: with many stores that is the narrower bound.
        let full = |k: &Known| k.out >= self.share || k.out as f64 >= 2.0 * k.server.capacity;
        !self.endpoint && self.known.get(executor).is_some_and(full)
    }

    /// A request came to its end; `judged` is what that says of the executor.
    pub fn settle(
        &mut self,
        fine: Time,
        now: Millis,
        attempt: u64,
        judged: Judged,
        ran: bool,
        load: Option<[f64; 3]>,
    ) -> Option<(Key, usize)> {
        let Sent { key, executor, at, mut op, push, again } = self.sent.remove(&attempt)?;
        let known = &mut self.known[executor];
        known.out = known.out.saturating_sub(1);
        known.again -= usize::from(again).min(known.again);
        if again && !ran {
            self.budget.back();
        }
        let silent = judged == Judged::TimedOut && known.heard < at;
        let answered = matches!(judged, Judged::Acked | Judged::Unfit | Judged::Full | Judged::Moot);
        if answered {
            known.heard = now;
        }
        // Silence alone may be one lost answer; an executor that has answered nobody since is not there.
        let judged = if silent { Judged::Error } else { judged };
        if self.endpoint {
            self.fails = if answered { 0 } else { self.fails + 1 };
            if self.fails > 0 {
                self.pause = now + (PAUSE.1 << self.fails.min(6)).min(PAUSE.0);
            }
        }
        let values = load.map_or(Vec::new(), |values| values.to_vec());
        self.dispatcher.settle(fine, &mut op, push, judged, &values);
        // Nobody waits for the op any more: the message itself may come again as another.
        Some((key, executor))
    }

    pub fn log(&mut self) -> Vec<String> {
        self.dispatcher.letters.clear();
        std::mem::take(&mut self.dispatcher.log)
    }
}
