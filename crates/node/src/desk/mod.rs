//! The desk: the one thread that owns the dispatcher, the ops and their timers. It turns what it is told
//! into calls of the module, carries out what these give back, and never waits on a socket.

mod ops;
mod queue;

use crate::life::start::Start;
use crate::port::{Asked, Carrier, Event, Fate, Front, How, Job, Link, List, Order, Outlet, Owed, Push};
use crate::say;
use crate::store::figures::Figures;
use crate::store::indices::Indices;
use crate::store::outs::State;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use ops::{Held, Ops, Out};
use queue::{Queue, Waiting};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stileroute_dispatch::policy::{Dispatcher, UPKEEP_INTERVAL};
use stileroute_dispatch::state::LearnedState;
use stileroute_dispatch::types::{
    name_hash, Effect, Limits, ListedExecutor, OpRequest, Outcome, Step, Time, SECOND,
};
use stileroute_route_limits::gate::{Entry, Gate, Pass};
use stileroute_route_limits::pattern::Request as Ways;
use stileroute_route_limits::table::Table;

/// The desk's clock: Unix time at the start, and from then on a clock that is never set.
struct Clock {
    start: Instant,
    unix: Time,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: (unix.as_micros() / 100) as Time }
    }

    fn at(&self, instant: Instant) -> Time {
        self.unix + (instant.saturating_duration_since(self.start).as_micros() / 100) as Time
    }

    fn now(&self) -> Time {
        self.at(Instant::now())
    }

    fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros((at - self.unix).max(0) as u64 * 100)
    }
}

/// The end that was asked for: when, and until when all must be answered.
struct Ending {
    by: Time,
    /// When clients are steered off, and when it may leave.
    steer: Time,
    leave: Time,
}

/// After the signal, clients that are connected are served as ever for so long: where the node that would take
/// them is being restarted too, a connection closed early leaves them with nobody. The front sends no new ones
/// before long, for the node is no longer ready. Then they are steered off, and what is in hand is finished.
const STEER_AFTER: Time = SECOND * 3 / 2;
/// From then on a request may cross the end of its connection; its client needs a moment to see that.
const LEAVE_AFTER: Time = SECOND / 4;
/// Where a successor takes clients already they are steered to it at once, and it may leave when each connection that
/// it had just accepted has shown what it wants.
const SUCCEEDED: Time = SECOND / 2;
/// What is left of the grace for answers to be written.
const LAST_WRITES: Time = SECOND / 4;

/// What the desk knows of an executor that was ever listed.
#[derive(Clone, Default)]
struct Known {
    address: Option<SocketAddr>,
    listed: bool,
    /// Listed as taking work.
    active: bool,
    /// Taken out by hand.
    out: bool,
}

impl Known {
    fn takes(&self) -> bool {
        self.active && !self.out
    }
}

/// Where operators have an address: what they want, and what they read.
pub struct Operators {
    pub orders: Receiver<Order>,
    pub figures: Arc<Figures>,
    /// Whom they took out.
    pub outs: State,
    /// Takes what is learned, for a successor.
    pub learns: Option<Sender<LearnedState>>,
}

pub struct Desk {
    clock: Clock,
    dispatcher: Dispatcher,
    ops: Ops,
    outlet: Box<dyn Outlet>,
    front: Arc<dyn Front>,
    /// The longest come-back time that clients heed.
    retry_after: Time,
    names: Indices,
    domains: Indices,
    kinds: Indices,
    executors: Vec<Known>,
    operators: Option<Operators>,
    version: i64,
    ask: Sender<()>,
    upkeep: Time,
    grace: Time,
    ending: Option<Ending>,
    /// Routes, where the operators have any, and ops that wait for a place of theirs.
    gate: Option<Gate>,
    queue: Queue,
    /// Messages to other nodes, bad ones among theirs so far as logged, and when that may be logged again.
    peers: Option<Box<dyn Carrier>>,
    bad: (u64, Time),
    tenants: Vec<String>,
    set_up_by_path: bool,
}

impl Desk {
    pub fn new(
        start: &Start,
        outlet: Box<dyn Outlet>,
        front: Arc<dyn Front>,
        ask: Sender<()>,
        routes: Option<Arc<Table>>,
        peers: Option<Box<dyn Carrier>>,
        operators: Option<Operators>,
    ) -> Desk {
        let clock = Clock::new();
        let mut desk = Desk {
            dispatcher: Dispatcher::new(&start.tariff, start.seed),
            ops: Ops::default(),
            outlet,
            front,
            retry_after: start.tariff.terms.retry_after,
            names: Indices::default(),
            domains: Indices::of(&start.domains),
            kinds: Indices::of(&start.kinds),
            executors: Vec::new(),
            operators,
            version: -1,
            ask,
            upkeep: clock.now(),
            grace: start.grace,
            ending: None,
            gate: routes.map(Gate::new),
            queue: Queue::default(),
            peers,
            bad: (0, 0),
            tenants: start.tenants.clone(),
            set_up_by_path: start.set_up_by_path,
            clock,
        };
        desk.list(desk.upkeep, &List::from(&start.known));
        desk
    }

    /// Takes over what the process before has learned.
    pub fn recall(&mut self, kept: LearnedState) {
        say!("takes over what was learned of {} executors", kept.executors.len());
        self.dispatcher.restore(self.clock.now(), kept);
    }

    /// Serves until the end that was asked for.
    pub fn run(&mut self, events: &Receiver<Event>) {
        loop {
            let due = [self.ops.next(), self.queue.next()].into_iter().flatten().min();
            let next = due.map_or(self.upkeep, |due| due.min(self.upkeep));
            match self.next(events, self.clock.instant(next)) {
                Ok(Some(event)) => self.handle(event),
                Ok(None) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // What has piled up goes first: a timer must not act on older news than has come.
            while let Ok(event) = events.try_recv() {
                self.handle(event);
                self.obey();
            }
            self.admit();
            self.look_after();
            if self.over() {
                return;
            }
        }
    }

    /// Waits for the next event; an order is carried out at once, and then there may be none.
    fn next(&mut self, events: &Receiver<Event>, until: Instant) -> Result<Option<Event>, RecvTimeoutError> {
        let Some(Operators { orders, .. }) = &self.operators else {
            return events.recv_deadline(until).map(Some);
        };
        crossbeam_channel::select_biased! {
            recv(orders) -> order => {
                order.into_iter().for_each(|order| self.order(order));
                Ok(None)
            }
            recv(events) -> event => event.map(Some).map_err(|_| RecvTimeoutError::Disconnected),
            default(until.saturating_duration_since(Instant::now())) => Err(RecvTimeoutError::Timeout),
        }
    }

    /// Operators don't wait behind a thousand events.
    fn obey(&mut self) {
        while let Some(order) = self.operators.as_ref().and_then(|own| own.orders.try_recv().ok()) {
            self.order(order);
        }
    }

    fn order(&mut self, order: Order) {
        match order {
            Order::Known(name, reply) => {
                let _ = reply.try_send(self.names.known(&name).is_some());
            }
            Order::Beside(beside) => self.outlet.halve(beside),
            Order::Outs(outs, reply) => {
                self.turn_out(outs);
                let _ = reply.try_send(true);
            }
        }
    }

    /// Exactly these are out by hand. When this returns nothing new leaves for one of them.
    fn turn_out(&mut self, outs: State) {
        // Two calls at once may come here in the other order.
        let Some(own) = self.operators.as_mut().filter(|own| outs.number >= own.outs.number) else { return };
        let changed: Vec<String> = own.outs.names.symmetric_difference(&outs.names).cloned().collect();
        own.outs = outs.clone();
        let now = self.clock.now();
        for name in changed {
            let out = outs.names.contains(&name);
            say!("executor {name}: {} by hand", if out { "taken out" } else { "put back" });
            let Some(executor) = self.names.known(&name) else { continue };
            self.executors[executor].out = out;
            self.dispatcher.disable(now, executor, out);
            if out {
                self.outlet.leave(executor, "disabled");
                self.ops.withhold(executor);
            }
        }
        self.publish(now);
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Asked { ticket, job, asked, came, reply } => {
                self.arrive(now, ticket, job, &asked, came, reply);
            }
            Event::Withdrawn { ticket } => {
                if let Some(mut waiting) = self.queue.take(ticket) {
                    self.free(now, ticket, &mut waiting.pass);
                } else if let Some(mut held) = self.ops.take(ticket) {
                    held.reply = None;
                    held.op.closed = true;
                    let step = self.dispatcher.place(now, &mut held.op);
                    self.carry(now, ticket, held, step);
                }
            }
            Event::Note { ticket, push, start, done } => {
                if let Some(held) = self.ops.get(ticket) {
                    self.dispatcher.note(now, &mut held.op, push, start, done);
                }
            }
            Event::Ended { ticket, push, how, load } => self.ended(now, ticket, push, how, load),
            Event::Heard { from, text } => self.dispatcher.receive_message(now, from, &text),
            Event::Free { number, keep } => {
                // It may have carried a task when its executor left the list.
                let executor = self.outlet.back(number, keep);
                if let Some(executor) = executor.filter(|executor| !self.executors[*executor].takes()) {
                    self.outlet.leave(executor, "unlisted");
                }
            }
            Event::List { list, anew } => {
                if anew {
                    // Whatever its version is: those of another address can't be compared with it.
                    self.version = -1;
                }
                self.list(now, &list);
            }
            Event::ListSilent { turned_away } => self.dispatcher.list_call_failed(now, turned_away),
            Event::Routes(table) => {
                self.front.want(&table.headers);
                if let Some(gate) = &mut self.gate {
                    gate.turn(table);
                }
            }
            Event::Fleet { likely, safe } => self.dispatcher.set_fleet_size(likely, safe),
            Event::End => self.end(now),
        }
    }

    fn arrive(
        &mut self,
        now: Time,
        ticket: u64,
        job: Arc<dyn Job>,
        asked: &Asked,
        came: Instant,
        reply: Owed,
    ) {
        let came = self.clock.at(came);
        let Some(gate) = &mut self.gate else {
            return self.open(now, ticket, job, asked, came, reply, None);
        };
        let entry = {
            let header = |name: &str| job.header(name);
            let tenant = gate.table().tenant_header.as_deref().and_then(header);
            let (path, method) = (job.path(), job.method());
            gate.enter(now, ticket, &Ways { path, method, category: asked.category, tenant, header: &header })
        };
        match entry {
            Entry::In(pass) => self.open(now, ticket, job, asked, came, reply, Some(Box::new(pass))),
            Entry::Waits(pass, until) => {
                let until = until.min(came + asked.budget.min(pass.op));
                let waiting = Waiting { job, asked: *asked, came, reply, pass: Box::new(pass), until };
                self.queue.put(ticket, waiting);
            }
            Entry::Full(back) => self.turn_away(ticket, &*job, reply, came, back),
        }
    }

    /// An op that has no place, and never will have: nothing of it was pushed.
    fn turn_away(&self, ticket: u64, job: &dyn Job, reply: Owed, came: Time, back: Time) {
        let retry_after = back.min(self.retry_after);
        let now = self.clock.now();
        let (id, took_ms) = (job.id(), (now - came) as f64 / 10.0);
        let back_ms = retry_after as f64 / 10.0;
        say!(op { op = id, code = "no-place", took_ms, come_back_ms = back_ms } "op {ticket} nacked: no place");
        let until = self.clock.instant(now + SECOND);
        reply.give(Fate::Nacked { why: "nacked: no place in hand", retry_after }, until);
    }

    /// Ops that have a place now are asked of the module; those whose wait is over are turned away.
    fn admit(&mut self) {
        let now = self.clock.now();
        while let Some(ticket) = self.queue.due(now) {
            if let Some(mut waiting) = self.queue.take(ticket) {
                let back = (waiting.until - waiting.came).max(100);
                self.free(now, ticket, &mut waiting.pass);
                self.turn_away(ticket, &*waiting.job, waiting.reply, waiting.came, back);
            }
        }
        while let Some(ticket) = self.queue.admitted.pop_front() {
            if let Some(Waiting { job, asked, came, reply, pass, .. }) = self.queue.take(ticket) {
                self.open(now, ticket, job, &asked, came, reply, Some(pass));
            }
        }
    }

    /// An op's place is free.
    fn free(&mut self, now: Time, ticket: u64, pass: &mut Pass) {
        self.queue.admitted.extend(pass.leave(now, ticket));
    }

    /// Opens an op at the module.
    #[allow(clippy::too_many_arguments)]
    fn open(
        &mut self,
        now: Time,
        ticket: u64,
        job: Arc<dyn Job>,
        asked: &Asked,
        came: Time,
        reply: Owed,
        pass: Option<Box<Pass>>,
    ) {
        let mut deadline = came + asked.budget;
        if let Some(pass) = &pass {
            deadline = deadline.min(came.saturating_add(pass.op));
        }
        if let Some(ending) = &self.ending {
            // Whether that is still enough for it is the module's to judge.
            deadline = deadline.min(ending.by);
        }
        let Asked { category, slots, memory, hint, .. } = *asked;
        let limits = pass.as_ref().map_or_else(Limits::default, |pass| pass.limits);
        let named = self.gate.as_ref().and_then(|gate| gate.table().tenant_header.as_deref());
        let tenant = named.and_then(|name| job.header(name));
        // Whose tenant is not among those of the settings has no share to be held to.
        let tenant = self.tenants.iter().position(|own| Some(own.as_str()) == tenant).unwrap_or(usize::MAX);
        let about = job.path().rsplit('/').next().filter(|about| self.set_up_by_path && !about.is_empty());
        let key = about.map_or(0, name_hash);
        let ask = OpRequest { category, slots, memory, hint, deadline, limits, tenant, key };
        let mut op = self.dispatcher.arrive(now, ask);
        let step = self.dispatcher.place(now, &mut op);
        let held = Held { op, reply: Some(reply), job, pushes: Vec::new(), pass, came };
        self.carry(now, ticket, held, step);
    }

    fn ended(&mut self, now: Time, ticket: u64, push: usize, how: How, load: Option<Vec<f64>>) {
        let Some(mut held) = self.ops.take(ticket) else { return };
        let Some(out) = held.pushes.get_mut(push) else { return };
        out.link = None;
        let (given_up, withheld) = (out.given_up, out.withheld);
        let (outcome, answer) = match how {
            How::Done(result) => (Outcome::Acked, Some(Fate::Acked(result))),
            // Its client is told what is wrong with it. Sent on, it would be held against one executor after
            // another, and a few bad clients would empty the fleet.
            How::Unfit(status) => {
                let executor = held.op.pushes[push].executor;
                say!("executor {executor}: refused an op for what it is: status {status}");
                (Outcome::Rejected, Some(Fate::Unfit { status }))
            }
            How::Failed => (Outcome::Error, None),
            How::Returned => (Outcome::Full, None),
            // It never left, for its executor was taken out: that is the fault of nobody.
            How::Untried | How::Unconnected if withheld => (Outcome::Withheld, None),
            How::Untried => (Outcome::NeverStarted, None),
            // Given up before its last byte was written: that is no fault of the executor.
            How::Unconnected | How::Cut { .. } if given_up.is_some() => (Outcome::NeverStarted, None),
            // That an idle connection has just ended tells nothing of its executor.
            How::Cut { used } => (if used { Outcome::NeverStarted } else { Outcome::Cut }, None),
            How::Unconnected => (Outcome::NotConnected, None),
            How::Lost => (given_up.unwrap_or(Outcome::Reset), None),
            How::Broken => (given_up.unwrap_or(Outcome::Broken), None),
        };
        if matches!(outcome, Outcome::NotConnected | Outcome::Broken) {
            // What is idle there may be as dead, and silent: a push on it could not be told from one that ran.
            self.outlet.leave(held.op.pushes[push].executor, "suspect");
        }
        if let Some(pass) = held.pass.as_ref().filter(|_| outcome == Outcome::Acked) {
            pass.ran(now - held.pushes[push].sent);
        }
        held.budget(now);
        let step = self.dispatcher.settle(now, &mut held.op, push, outcome, &load.unwrap_or_default());
        // Only what is final uses up the client's answer: a called-off push must leave it to the next.
        if let Some(fate) = answer {
            self.answer(&mut held, fate);
        }
        self.carry(now, ticket, held, step);
    }

    /// Carries out steps until there is nothing left to do for the op now, and keeps it.
    fn carry(&mut self, now: Time, ticket: u64, mut held: Held, mut step: Step) {
        loop {
            match step {
                Step::Push { executor } => {
                    let push = held.pushes.len();
                    let link = self.push(ticket, push, executor, &held);
                    let untried = link.is_none();
                    held.pushes.push(Out { link, given_up: None, withheld: false, sent: now });
                    if let Some(pass) = &mut held.pass {
                        pass.pushed(now);
                    }
                    if untried {
                        step = self.dispatcher.settle(now, &mut held.op, push, Outcome::NeverStarted, &[]);
                        continue;
                    }
                }
                Step::Cancel { push } => held.give_up(push, Outcome::Cancelled),
                Step::Nack { retry_after } => {
                    self.tell(now, &held, "nacked", retry_after);
                    self.answer(&mut held, Fate::Nacked { why: "nacked", retry_after });
                }
                Step::DeadLetter => {
                    self.tell(now, &held, "dead-lettered", 0);
                    self.answer(&mut held, Fate::DeadLettered);
                }
                Step::Wait => break,
            }
            held.budget(now);
            step = self.dispatcher.place(now, &mut held.op);
        }
        self.keep(now, ticket, held);
    }

    /// Tells what became of an op that was not acked.
    fn tell(&self, now: Time, held: &Held, code: &'static str, retry_after: Time) {
        let last = held.op.pushes.last().map(|push| push.executor);
        say!(op {
            op = held.job.id(),
            route = held.pass.as_ref().map_or("-", |pass| &*pass.route),
            category = held.job.category(),
            executor = last.map_or(-1, |executor| executor as i64),
            code,
            pushes = held.op.pushes.len() as u64,
            took_ms = (now - held.came) as f64 / 10.0,
            come_back_ms = retry_after as f64 / 10.0,
        } "op {code}");
    }

    /// Gives the client its answer, if it still waits for one.
    fn answer(&self, held: &mut Held, fate: Fate) {
        if let Some(reply) = held.reply.take() {
            reply.give(fate, self.clock.instant(held.op.deadline));
        }
    }

    /// Puts the op back in hand and notes when to look again, or lets go of it.
    fn keep(&mut self, now: Time, ticket: u64, mut held: Held) {
        if held.op.closed && !held.op.out() {
            if let Some(pass) = &mut held.pass {
                self.free(now, ticket, pass);
            }
            return;
        }
        let look = if held.op.closed {
            held.keep_back();
            // A push that goes on after the answer may do so until the op's time is out.
            held.out().then_some(held.op.deadline)
        } else {
            Some(self.dispatcher.wait(now, &held.op).min(held.op.deadline))
        };
        self.ops.put(ticket, held, look.map(|look| look.max(now + 1)));
    }

    /// Sends a push out; none where this node has no room for it.
    fn push(&mut self, ticket: u64, push: usize, executor: usize, held: &Held) -> Option<Arc<dyn Link>> {
        let to = self.executors.get(executor)?.address?;
        let effect = self.dispatcher.effect(&held.op);
        let connect = held.pass.as_ref().and_then(|pass| pass.connect);
        let push = Push {
            ticket,
            push,
            job: held.job.clone(),
            wary: effect != Effect::Redeliverable,
            // A connection that ended while it was idle, or leads to a machine that has vanished, swallows what is
            // written to it, and nothing tells whether that ran. An op that may be pushed only once goes on a new
            // one, which takes some round trips and shows that someone is there; where it fails, the op never ran.
            anew: effect == Effect::AtMostOnce,
            until: self.clock.instant(held.op.deadline),
            leave_by: self.clock.instant(held.op.send_deadline(effect)),
            connect: connect.map(|time| Duration::from_micros(time.max(1) as u64 * 100)),
        };
        self.outlet.push(executor, to, push)
    }

    fn list(&mut self, now: Time, list: &List) {
        // An older version says less than what is known; equal ones only tell that the watch goes on.
        let news = list.index >= self.version && (list.whole || !list.entries.is_empty());
        self.version = self.version.max(list.index);
        if !news {
            return self.dispatcher.list(now, false, &[]);
        }
        if list.whole {
            self.executors.iter_mut().for_each(|known| (known.active, known.listed) = (false, false));
        }
        let out_by_hand = self.operators.as_ref().map(|own| own.outs.names.clone()).unwrap_or_default();
        let mut lines = Vec::with_capacity(list.entries.len());
        for entry in &list.entries {
            let executor = self.names.index(&entry.name);
            self.executors.resize(self.executors.len().max(executor + 1), Known::default());
            let known = &mut self.executors[executor];
            if entry.address.is_some() && entry.address != known.address {
                self.outlet.leave(executor, "unlisted");
                known.address = entry.address;
            }
            (known.active, known.listed) = (entry.active, entry.listed);
            known.out = out_by_hand.contains(&entry.name);
            lines.push(ListedExecutor {
                name_hash: name_hash(&entry.name),
                executor,
                domain: self.domains.index(&entry.domain),
                kind: self.kinds.index(&entry.kind),
                cell: entry.cell,
                active: entry.active,
                weight: entry.weight,
                started: entry.started,
            });
        }
        for (executor, known) in self.executors.iter().enumerate() {
            if !known.takes() {
                self.outlet.leave(executor, "unlisted");
            }
        }
        self.dispatcher.list(now, list.whole, &lines);
        // Who is out by hand stays out, under whatever address it has come back.
        for line in lines.iter().filter(|line| self.executors[line.executor].out) {
            self.dispatcher.disable(now, line.executor, true);
        }
        self.publish(now);
        if self.ending.is_none() && self.executors.iter().any(|known| known.active) {
            self.front.ready(true);
        }
    }

    /// What operators read of the executors.
    fn publish(&self, now: Time) {
        let Some(Operators { figures, .. }) = &self.operators else { return };
        let listed = self.executors.iter().enumerate().filter(|(_, known)| known.listed);
        let avoided = listed.clone().filter(|(executor, _)| self.dispatcher.avoids(now, *executor));
        figures.listed.store(listed.count(), Ordering::Relaxed);
        figures.avoided.store(avoided.count(), Ordering::Relaxed);
    }

    /// Whatever has come due.
    fn look_after(&mut self) {
        let now = self.clock.now();
        while let Some(ticket) = self.ops.due(now) {
            let Some(mut held) = self.ops.take(ticket) else { continue };
            held.budget(now);
            let step = self.dispatcher.place(now, &mut held.op);
            if now >= held.op.deadline {
                (0..held.pushes.len()).for_each(|push| held.give_up(push, Outcome::TimedOut));
            }
            self.carry(now, ticket, held, step);
        }
        if now >= self.upkeep {
            self.upkeep = now + UPKEEP_INTERVAL;
            self.outlet.retire();
            self.publish(now);
            let learns = self.operators.as_ref().and_then(|own| own.learns.as_ref());
            if let Some(learns) = learns.filter(|learns| learns.is_empty()) {
                let _ = learns.try_send(self.dispatcher.learned_state());
            }
            if self.dispatcher.upkeep(now) {
                let _ = self.ask.try_send(());
            }
            if self.ending.as_ref().is_some_and(|ending| now >= ending.steer) {
                self.front.steer();
            }
        }
        for letter in self.dispatcher.outgoing.drain(..) {
            if let Some(peers) = &self.peers {
                peers.send(&letter);
            }
        }
        if let Some(peers) = &self.peers {
            let bad = self.dispatcher.peers.garbled + peers.dropped();
            if bad > self.bad.0 && now >= self.bad.1 {
                self.bad = (bad, now + 10 * SECOND);
                say!("peers: {bad} messages dropped so far: not from a peer, not readable, or too many");
            }
        }
        for line in self.dispatcher.log.drain(..) {
            say!("{line}");
        }
    }

    /// The end was asked for: steer clients off, and see to it that all is answered in time.
    fn end(&mut self, now: Time) {
        if self.ending.is_some() {
            return;
        }
        let by = now + self.grace - LAST_WRITES;
        let tickets = self.ops.tickets();
        say!("end asked for: {} ops in hand", tickets.len());
        let (steer, stay) = if self.front.leave() { (now, SUCCEEDED) } else { (now + STEER_AFTER, 0) };
        self.ending = Some(Ending { by, steer, leave: steer + LEAVE_AFTER + stay });
        for ticket in tickets {
            let Some(mut held) = self.ops.take(ticket) else { continue };
            held.op.limit_deadline(by);
            self.keep(now, ticket, held);
        }
        for ticket in self.queue.tickets() {
            if let Some(mut waiting) = self.queue.take(ticket) {
                self.free(now, ticket, &mut waiting.pass);
                self.turn_away(ticket, &*waiting.job, waiting.reply, waiting.came, SECOND);
            }
        }
    }

    /// All is answered and written, and no more can come.
    fn over(&self) -> bool {
        let Some(ending) = &self.ending else { return false };
        let now = self.clock.now();
        let quiet = self.ops.is_empty() && self.queue.is_empty() && self.front.quiet();
        now >= ending.leave && (quiet || now >= ending.by + LAST_WRITES / 2)
    }
}
