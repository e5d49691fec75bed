//! One service: who serves it, what waits for it, and the module that decides who gets the next.

use crate::message::{Key, Millis};
use crate::repeats::{dealt, Budget, STUCK_RETRY_LIMIT_MS};
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
pub struct Executor {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: usize,
    pub capacity: f64,
    pub is_serving: bool,
    pub warm_up_left_ms: u64,
}

/// What an executor that has just started is slow for, at the most that is reckoned with.
const WARM: Time = 5 * SECOND;
/// A crossing of zones costs bytes and time: so many parts of a message's worth.
const CROSS: f64 = 0.15;
/// The longest pause of a service queue whose endpoint fails, and the first.
const PAUSE: (Millis, Millis) = (400, 50);

pub(crate) struct ExecutorState {
    pub executor: Executor,
    started_at: Option<Time>,
    /// When it last answered anything, and requests out there.
    last_answer_at: Millis,
    in_flight: usize,
    /// Of these, repeats; and so many of them may be out from here.
    pub retries_in_flight: usize,
    retry_slots: usize,
    is_listed: bool,
}

/// A request that is out.
pub(crate) struct SentAttempt {
    pub key: Key,
    pub executor: usize,
    sent_at: Millis,
    op: Op,
    push: usize,
    is_retry: bool,
}

/// A repeat, and where it last failed.
pub(crate) struct Retry {
    pub avoid: Option<usize>,
}

/// What waits: those that may still be in time first, then by priority, then by when they fell due.
pub(crate) type QueuePosition = (bool, i64, Millis, Key);

pub(crate) struct ServiceQueue {
    pub name: String,
    pub executors: Vec<ExecutorState>,
    pub ready: BTreeSet<QueuePosition>,
    /// Repeats stand in a queue of their own: those that must wait hold up nobody's first attempt.
    pub retries: BTreeSet<QueuePosition>,
    pub retry_budget: Budget,
    pub retry_counts: RetryCounts,
    /// Since when no repeat has found room.
    retries_stuck_since: Option<Millis>,
    store_position: (usize, usize),
    pub in_flight: HashMap<u64, SentAttempt>,
    pub token_bucket: Option<Bucket>,
    pub has_fixed_endpoint: bool,
    pub max_connections: usize,
    /// Connections to one executor from here: all stores together keep below `max_conns`.
    pub connection_share: usize,
    dispatcher: Dispatcher,
    latency_target: Time,
    /// Nothing goes out before this.
    pub paused_until: Millis,
    consecutive_failures: u32,
}

pub(crate) enum Selection {
    Send {
        executor: usize,
    },
    /// Not before this, unless something changes.
    WaitUntil(Millis),
    /// No executor has room for a repeat of this store: first attempts go on.
    RetriesFullUntil(Millis),
}

/// Since the start: first attempts, repeats, repeats that had to wait for their part, and the most that were out at one
/// executor at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryCounts {
    pub first_attempts: u64,
    pub retries: u64,
    pub retries_delayed: u64,
    pub max_retries_per_executor: usize,
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
            executors: Vec::new(),
            ready: BTreeSet::new(),
            retries: BTreeSet::new(),
            retry_budget: Budget::new(0),
            retry_counts: RetryCounts::default(),
            retries_stuck_since: None,
            store_position: (0, 1),
            in_flight: HashMap::new(),
            token_bucket: None,
            has_fixed_endpoint: false,
            max_connections: 64,
            connection_share: 2,
            dispatcher: Dispatcher::new(&tariff, seed),
            latency_target: target as Time * 10,
            paused_until: 0,
            consecutive_failures: 0,
        }
    }

    /// So many stores deliver.
    pub fn nodes(&mut self, me: usize, nodes: usize) {
        self.dispatcher.fleet(nodes, nodes);
        if std::mem::replace(&mut self.store_position, (me, nodes)) != (me, nodes) {
            self.deal();
        }
    }

    /// Deals out the slots that repeats may take. All stores have the same list, by the names of the executors.
    fn deal(&mut self) {
        let (me, stores) = self.store_position;
        self.executors.iter_mut().for_each(|k| k.retry_slots = 0);
        let mut serving: Vec<&mut ExecutorState> =
            self.executors.iter_mut().filter(|k| k.is_listed && k.executor.is_serving).collect();
        serving.sort_unstable_by(|a, b| a.executor.id.cmp(&b.executor.id));
        let shares = dealt(serving.iter().map(|k| k.executor.capacity), me, stores);
        serving.iter_mut().zip(shares).for_each(|(known, may)| known.retry_slots = may);
        self.retry_budget.sized(self.room(), stores);
    }

    fn room(&self) -> f64 {
        self.executors
            .iter()
            .filter(|k| k.is_listed && k.executor.is_serving)
            .map(|k| k.executor.capacity)
            .sum()
    }

    /// What goes next: a repeat only if one may go. Else when to look again for one.
    pub fn first_turn(&mut self, now: Millis, again: bool) -> (Option<QueuePosition>, Millis) {
        let first = self.ready.first().copied();
        let Some(repeat) = self.retries.first().copied() else { return (first, Millis::MAX) };
        if !again || first.is_some_and(|first| first < repeat) {
            return (first, Millis::MAX);
        }
        match self.retry_budget.may(now) {
            Ok(()) => (Some(repeat), Millis::MAX),
            Err(at) => (first, at),
        }
    }

    pub fn enter(&mut self, turn: QueuePosition, again: bool) {
        if again {
            self.retries.insert(turn);
            self.retry_counts.retries_delayed += u64::from(self.retries.len() > self.retry_budget.whole());
        } else {
            self.ready.insert(turn);
        }
    }

    pub fn leave(&mut self, turn: &QueuePosition) {
        if !self.ready.remove(turn) {
            self.retries.remove(turn);
        }
    }

    /// Waiting, repeats among them.
    pub fn waiting(&self) -> usize {
        self.ready.len() + self.retries.len()
    }

    pub fn shares(&self) -> Vec<(String, f64, usize)> {
        let shares = self.dispatcher.shares().chain(std::iter::repeat(0.0));
        let known = self.executors.iter().zip(shares).filter(|(k, _)| k.is_listed && k.executor.is_serving);
        known.map(|(k, share)| (k.executor.id.clone(), share, k.in_flight)).collect()
    }

    /// Who serves now: the whole list.
    pub fn list(&mut self, fine: Time, now: Millis, servers: &[Executor]) {
        for known in &mut self.executors {
            known.is_listed = false;
        }
        let mut new = Vec::new();
        for server in servers {
            let found = self.executors.iter_mut().find(|k| k.executor.id == server.id);
            match found {
                Some(known) => {
                    known.is_listed = true;
                    known.executor = server.clone();
                }
                None => {
                    let left = server.warm_up_left_ms as Time * 10;
                    let started = (left > 0).then(|| fine - (WARM - left).max(0));
                    let known = ExecutorState {
                        executor: server.clone(),
                        started_at: started,
                        last_answer_at: now,
                        in_flight: 0,
                        retries_in_flight: 0,
                        retry_slots: 0,
                        is_listed: true,
                    };
                    // The place of one that is gone for good is used again once the list has grown long.
                    let gone = (self.executors.len() >= 128)
                        .then(|| self.executors.iter().position(|k| !k.is_listed && k.in_flight == 0));
                    match gone.flatten() {
                        Some(at) => {
                            self.executors[at] =
                                ExecutorState { started_at: Some(started.unwrap_or(fine - WARM)), ..known };
                            new.push(at);
                        }
                        None => {
                            new.push(self.executors.len());
                            self.executors.push(known);
                        }
                    }
                }
            }
        }
        let lines: Vec<Listed> = self
            .executors
            .iter()
            .enumerate()
            .map(|(executor, known)| Listed {
                executor,
                domain: known.executor.zone,
                kind: 0,
                cell: 0,
                active: known.is_listed && known.executor.is_serving,
                weight: known.executor.capacity,
                mark: mark(&known.executor.id),
                started: known.started_at,
            })
            .collect();
        self.dispatcher.list(fine, true, &lines);
        // Its slots it tells with its beats, before it has told any load: guessed from none it would be
        // overrun.
        for at in new {
            self.dispatcher.report(fine, at, &[0.0, 0.0, self.executors[at].executor.capacity]);
        }
        self.deal();
    }

    pub fn upkeep(&mut self, fine: Time) {
        self.dispatcher.upkeep(fine);
    }

    pub fn serving(&self) -> usize {
        self.executors.iter().filter(|k| k.is_listed && k.executor.is_serving).count()
    }

    /// Who gets the next message, as the design has it.
    pub fn pick(
        &mut self,
        fine: Time,
        now: Millis,
        key: Key,
        attempt: u64,
        mut again: Option<Retry>,
    ) -> Selection {
        if now < self.paused_until {
            return Selection::WaitUntil(self.paused_until);
        }
        if self.has_fixed_endpoint && self.consecutive_failures > 0 && !self.in_flight.is_empty() {
            // One that fails is tried with one message at a time.
            return Selection::WaitUntil(now + PAUSE.0);
        }
        if self.serving() == 0 {
            return Selection::WaitUntil(now + PAUSE.0);
        }
        // After a break all that waits is due at once, and each store knows only its own part of what the
        // executors hold: no more is out from here than they work on together. One store alone can still keep
        // all of them busy.
        if !self.has_fixed_endpoint && self.in_flight.len() as f64 >= self.room().max(4.0) {
            return Selection::WaitUntil(now + 10);
        }
        if self.has_fixed_endpoint && self.in_flight.len() >= self.connection_share {
            return Selection::WaitUntil(now + 10);
        }
        let category = usize::from(self.in_flight.is_empty());
        let ask = Ask {
            category,
            slots: 1.0,
            memory: 0.0,
            // Before the first answer: an eighth of the aim. Taken as the whole of it no message would be in
            // time.
            hint: Some(self.latency_target / 8),
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
                op.closed = passed > self.executors.len();
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
                    let domain = 1u64.checked_shl(self.executors[executor].executor.zone as u32).unwrap_or(0);
                    if domains & domain == 0 {
                        return Selection::WaitUntil(now + 10);
                    }
                    domains &= !domain;
                }
                Step::Push { executor } if executor < self.executors.len() => {
                    let known = &mut self.executors[executor];
                    known.in_flight += 1;
                    match again {
                        Some(_) => {
                            known.retries_in_flight += 1;
                            self.retries_stuck_since = None;
                            self.retry_budget.spent();
                            self.retry_counts.retries += 1;
                            self.retry_counts.max_retries_per_executor =
                                self.retry_counts.max_retries_per_executor.max(known.retries_in_flight);
                        }
                        None => {
                            self.retry_budget.first();
                            self.retry_counts.first_attempts += 1;
                        }
                    }
                    self.in_flight.insert(
                        attempt,
                        SentAttempt { key, executor, sent_at: now, op, push, is_retry: again.is_some() },
                    );
                    return Selection::Send { executor };
                }
                // Nobody else serves: the one that failed it is better than none.
                _ if passed > 0 && again.as_ref().is_some_and(|repeat| repeat.avoid.is_some()) => {
                    again.iter_mut().for_each(|repeat| repeat.avoid = None);
                }
                _ if passed > 0 => {
                    self.retries_stuck_since.get_or_insert(now);
                    return Selection::RetriesFullUntil(now + 20);
                }
                Step::Nack { come_back } => {
                    return Selection::WaitUntil(now + (come_back / 10).clamp(5, 100) as Millis);
                }
                _ => return Selection::WaitUntil(now + 20),
            }
        }
    }

    /// A repeat may go there: not to the one that failed it, and no more of them than are this store's part of
    /// its slots.
    fn takes(&self, now: Millis, executor: usize, repeat: &Retry) -> bool {
        let Some(known) = self.executors.get(executor) else { return false };
        let long = self.retries_stuck_since.is_some_and(|since| now > since + STUCK_RETRY_LIMIT_MS)
            && known.retries_in_flight == 0;
        repeat.avoid != Some(executor) && (known.retries_in_flight < known.retry_slots || long)
    }

    /// It holds twice what it works on from here alone.
    fn overrun(&self, executor: usize) -> bool {
        // Nor more than its connections that are this store's part: with many stores that is the narrower bound.
        let full = |k: &ExecutorState| {
            k.in_flight >= self.connection_share || k.in_flight as f64 >= 2.0 * k.executor.capacity
        };
        !self.has_fixed_endpoint && self.executors.get(executor).is_some_and(full)
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
        let SentAttempt { key, executor, sent_at: at, mut op, push, is_retry: again } =
            self.in_flight.remove(&attempt)?;
        let known = &mut self.executors[executor];
        known.in_flight = known.in_flight.saturating_sub(1);
        known.retries_in_flight -= usize::from(again).min(known.retries_in_flight);
        if again && !ran {
            self.retry_budget.back();
        }
        let silent = judged == Judged::TimedOut && known.last_answer_at < at;
        let answered = matches!(judged, Judged::Acked | Judged::Unfit | Judged::Full | Judged::Moot);
        if answered {
            known.last_answer_at = now;
        }
        // Silence alone may be one lost answer; an executor that has answered nobody since is not there.
        let judged = if silent { Judged::Error } else { judged };
        if self.has_fixed_endpoint {
            self.consecutive_failures = if answered { 0 } else { self.consecutive_failures + 1 };
            if self.consecutive_failures > 0 {
                self.paused_until = now + (PAUSE.1 << self.consecutive_failures.min(6)).min(PAUSE.0);
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
