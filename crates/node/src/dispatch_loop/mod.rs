//! The dispatch loop: the single thread that owns the dispatcher, the ops and their timers. It translates
//! events into calls of the dispatcher, carries out the steps that the dispatcher returns, and never blocks on
//! a socket.

mod admission_queue;
mod in_flight;

use crate::interfaces::{
    AdminCommand, ClientFrontend, Event, ExecutorList, ExecutorTransport, Job, JobParameters, OpOutcome,
    PeerTransport, PendingReply, Push, PushHandle, PushOutcome,
};
use crate::log_info;
use crate::process::settings::NodeSettings;
use crate::state::disabled_executors::DisabledSet;
use crate::state::metrics::Metrics;
use crate::state::name_index::NameIndex;
use admission_queue::{AdmissionQueue, QueuedOp};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use in_flight::{InFlightOp, InFlightOps, SentPush};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stileroute_dispatch::policy::{Dispatcher, UPKEEP_INTERVAL};
use stileroute_dispatch::state::LearnedState;
use stileroute_dispatch::types::{
    name_hash, Effect, Limits, ListedExecutor, OpRequest, Outcome, Step, Time, SECOND,
};
use stileroute_route_limits::admission::{Admission, AdmissionControl, Permit};
use stileroute_route_limits::pattern::Request as RouteRequest;
use stileroute_route_limits::table::Table;

/// The clock of the dispatch loop: Unix time at the start, advanced by a monotonic clock, so that later changes
/// of the system time have no effect.
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

/// A shutdown in progress, with the time by which all ops must be answered.
struct ShutdownPlan {
    deadline: Time,
    /// When client connections are closed, and the earliest time at which the process may exit.
    close_connections_at: Time,
    earliest_exit: Time,
}

/// After the shutdown signal, connected clients are served normally for this long (1.5 s): if the node that
/// would take them over is restarting too, closing their connections early leaves them with no node. The load
/// balancer soon stops sending new clients, because the node no longer reports ready. After this delay the
/// connections are closed and the ops in flight are finished.
const CONNECTION_CLOSE_DELAY: Time = SECOND * 3 / 2;
/// Time (250 ms) between closing client connections and the exit: a request may arrive while its connection is
/// being closed, and the client needs a moment to notice.
const EXIT_DELAY: Time = SECOND / 4;
/// Extra time before the exit if a successor process already accepts clients. Connections are then closed at
/// once, but one that was just accepted needs this time to send its first request.
const SUCCESSOR_EXIT_DELAY: Time = SECOND / 2;
/// Part of the shutdown grace period that is reserved for writing responses.
const FINAL_WRITE_TIME: Time = SECOND / 4;

/// The state of an executor that was ever listed.
#[derive(Clone, Default)]
struct ExecutorState {
    address: Option<SocketAddr>,
    listed: bool,
    /// The executor list marks it as accepting work.
    active: bool,
    /// An operator has disabled the executor.
    is_disabled: bool,
}

impl ExecutorState {
    fn accepts_work(&self) -> bool {
        self.active && !self.is_disabled
    }
}

/// The channels and data that the dispatch loop shares with the admin server.
pub struct AdminHandle {
    pub commands: Receiver<AdminCommand>,
    pub metrics: Arc<Metrics>,
    /// The executors that operators have disabled.
    pub disabled_set: DisabledSet,
    /// Receives snapshots of the learned executor state, for a successor process.
    pub learned_tx: Option<Sender<LearnedState>>,
}

pub struct DispatchLoop {
    clock: Clock,
    dispatcher: Dispatcher,
    ops: InFlightOps,
    transport: Box<dyn ExecutorTransport>,
    clients: Arc<dyn ClientFrontend>,
    /// The longest retry-after time that clients respect, in ticks of 100 µs.
    retry_after: Time,
    executor_names: NameIndex,
    domains: NameIndex,
    kinds: NameIndex,
    executors: Vec<ExecutorState>,
    admin: Option<AdminHandle>,
    list_version: i64,
    refresh: Sender<()>,
    next_upkeep: Time,
    shutdown_grace: Time,
    shutdown: Option<ShutdownPlan>,
    /// The route limits, if routes are configured, and the ops that wait for a concurrency slot.
    gate: Option<AdmissionControl>,
    queue: AdmissionQueue,
    /// Messages to other nodes; the number of invalid messages as last logged, and the earliest time for the
    /// next such log line.
    peers: Option<Box<dyn PeerTransport>>,
    logged_bad_messages: (u64, Time),
    tenants: Vec<String>,
    set_up_by_path: bool,
}

impl DispatchLoop {
    pub fn new(
        settings: &NodeSettings,
        transport: Box<dyn ExecutorTransport>,
        clients: Arc<dyn ClientFrontend>,
        refresh: Sender<()>,
        routes: Option<Arc<Table>>,
        peers: Option<Box<dyn PeerTransport>>,
        admin: Option<AdminHandle>,
    ) -> DispatchLoop {
        let clock = Clock::new();
        let mut dispatch_loop = DispatchLoop {
            dispatcher: Dispatcher::new(&settings.tariff, settings.seed),
            ops: InFlightOps::default(),
            transport,
            clients,
            retry_after: settings.tariff.terms.retry_after,
            executor_names: NameIndex::default(),
            domains: NameIndex::of(&settings.domains),
            kinds: NameIndex::of(&settings.kinds),
            executors: Vec::new(),
            admin,
            list_version: -1,
            refresh,
            next_upkeep: clock.now(),
            shutdown_grace: settings.grace,
            shutdown: None,
            gate: routes.map(AdmissionControl::new),
            queue: AdmissionQueue::default(),
            peers,
            logged_bad_messages: (0, 0),
            tenants: settings.tenants.clone(),
            set_up_by_path: settings.set_up_by_path,
            clock,
        };
        dispatch_loop.update_executors(dispatch_loop.next_upkeep, &ExecutorList::from(&settings.known));
        dispatch_loop
    }

    /// Restores the executor state that the previous process has learned.
    pub fn restore(&mut self, memory: LearnedState) {
        log_info!("takes over what was learned of {} executors", memory.executors.len());
        self.dispatcher.restore(self.clock.now(), memory);
    }

    /// Runs until the node has shut down.
    pub fn run(&mut self, events: &Receiver<Event>) {
        loop {
            let due = [self.ops.next_due(), self.queue.next_due()].into_iter().flatten().min();
            let next = due.map_or(self.next_upkeep, |due| due.min(self.next_upkeep));
            match self.wait_for_event(events, self.clock.instant(next)) {
                Ok(Some(event)) => self.handle(event),
                Ok(None) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // Pending events are handled before timers: a timer must not act on state that is older than the
            // events received.
            while let Ok(event) = events.try_recv() {
                self.handle(event);
                self.run_admin_commands();
            }
            self.admit();
            self.run_due_work();
            if self.is_finished() {
                return;
            }
        }
    }

    /// Waits for the next event. An admin command is run at once and returned as `None`.
    fn wait_for_event(
        &mut self,
        events: &Receiver<Event>,
        until: Instant,
    ) -> Result<Option<Event>, RecvTimeoutError> {
        let Some(AdminHandle { commands, .. }) = &self.admin else {
            return events.recv_deadline(until).map(Some);
        };
        crossbeam_channel::select_biased! {
            recv(commands) -> command => {
                command.into_iter().for_each(|command| self.run_admin_command(command));
                Ok(None)
            }
            recv(events) -> event => event.map(Some).map_err(|_| RecvTimeoutError::Disconnected),
            default(until.saturating_duration_since(Instant::now())) => Err(RecvTimeoutError::Timeout),
        }
    }

    /// Runs pending admin commands. Called after each event, so that operators do not wait behind a thousand
    /// events.
    fn run_admin_commands(&mut self) {
        while let Some(command) = self.admin.as_ref().and_then(|admin| admin.commands.try_recv().ok()) {
            self.run_admin_command(command);
        }
    }

    fn run_admin_command(&mut self, command: AdminCommand) {
        match command {
            AdminCommand::IsListed(name, reply) => {
                let _ = reply.try_send(self.executor_names.get(&name).is_some());
            }
            AdminCommand::SiblingProcess(has_sibling) => self.transport.set_half_capacity(has_sibling),
            AdminCommand::SetDisabled(disabled_set, reply) => {
                self.apply_disabled_set(disabled_set);
                let _ = reply.try_send(true);
            }
        }
    }

    /// Makes this the set of disabled executors. When it returns, no new push starts for any of them.
    fn apply_disabled_set(&mut self, disabled_set: DisabledSet) {
        // Two concurrent admin requests may deliver their sets out of order; the older number is ignored.
        let Some(admin) =
            self.admin.as_mut().filter(|admin| disabled_set.number >= admin.disabled_set.number)
        else {
            return;
        };
        let changed: Vec<String> =
            admin.disabled_set.names.symmetric_difference(&disabled_set.names).cloned().collect();
        admin.disabled_set = disabled_set.clone();
        let now = self.clock.now();
        for name in changed {
            let disabled = disabled_set.names.contains(&name);
            log_info!("executor {name}: {} by an operator", if disabled { "disabled" } else { "enabled" });
            let Some(executor) = self.executor_names.get(&name) else { continue };
            self.executors[executor].is_disabled = disabled;
            self.dispatcher.disable(now, executor, disabled);
            if disabled {
                self.transport.close_idle(executor, "disabled");
                self.ops.withhold_unsent_to(executor);
            }
        }
        self.publish_metrics(now);
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Submitted { ticket, job, parameters, received_at, reply } => {
                self.submit(now, ticket, job, &parameters, received_at, reply);
            }
            Event::Withdrawn { ticket } => {
                if let Some(mut queued) = self.queue.take(ticket) {
                    self.release_slot(now, ticket, &mut queued.pass);
                } else if let Some(mut in_flight) = self.ops.take(ticket) {
                    in_flight.reply = None;
                    in_flight.op.closed = true;
                    let step = self.dispatcher.place(now, &mut in_flight.op);
                    self.run_steps(now, ticket, in_flight, step);
                }
            }
            Event::Progress { ticket, push, has_started, progress } => {
                if let Some(in_flight) = self.ops.get(ticket) {
                    self.dispatcher.note(now, &mut in_flight.op, push, has_started, progress);
                }
            }
            Event::PushEnded { ticket, push, push_outcome, load } => {
                self.push_ended(now, ticket, push, push_outcome, load)
            }
            Event::PeerMessage { from, text } => self.dispatcher.receive_message(now, from, &text),
            Event::ConnectionReleased { number, is_reusable } => {
                // The executor may have been removed from the list while the connection carried its push.
                let executor = self.transport.release(number, is_reusable);
                if let Some(executor) = executor.filter(|executor| !self.executors[*executor].accepts_work())
                {
                    self.transport.close_idle(executor, "unlisted");
                }
            }
            Event::ExecutorList { list, is_first_from_address } => {
                if is_first_from_address {
                    // List versions of different discovery addresses cannot be compared, so the last known
                    // version is reset.
                    self.list_version = -1;
                }
                self.update_executors(now, &list);
            }
            Event::DiscoveryFailed { was_rejected } => self.dispatcher.list_call_failed(now, was_rejected),
            Event::Routes(table) => {
                self.clients.set_routed_headers(&table.headers);
                if let Some(gate) = &mut self.gate {
                    gate.replace_table(table);
                }
            }
            Event::FleetSize { live, possibly_sending } => {
                self.dispatcher.set_fleet_size(live, possibly_sending)
            }
            Event::Shutdown => self.begin_shutdown(now),
        }
    }

    fn submit(
        &mut self,
        now: Time,
        ticket: u64,
        job: Arc<dyn Job>,
        parameters: &JobParameters,
        received_at: Instant,
        reply: PendingReply,
    ) {
        let received_at = self.clock.at(received_at);
        let Some(gate) = &mut self.gate else {
            return self.start_op(now, ticket, job, parameters, received_at, reply, None);
        };
        let entry = {
            let header = |name: &str| job.header(name);
            let tenant = gate.table().tenant_header.as_deref().and_then(header);
            let (path, method) = (job.path(), job.method());
            gate.admit(
                now,
                ticket,
                &RouteRequest { path, method, category: parameters.category, tenant, header: &header },
            )
        };
        match entry {
            Admission::Admitted(pass) => {
                self.start_op(now, ticket, job, parameters, received_at, reply, Some(Box::new(pass)))
            }
            Admission::Queued(pass, until) => {
                let deadline = until.min(received_at + parameters.budget.min(pass.op_timeout));
                let queued = QueuedOp {
                    job,
                    parameters: *parameters,
                    received_at,
                    reply,
                    pass: Box::new(pass),
                    deadline,
                };
                self.queue.put(ticket, queued);
            }
            Admission::Rejected(retry_after) => self.reject(ticket, &*job, reply, received_at, retry_after),
        }
    }

    /// Rejects an op that got no concurrency slot. Nothing of it was pushed.
    fn reject(&self, ticket: u64, job: &dyn Job, reply: PendingReply, received_at: Time, retry_after: Time) {
        let retry_after = retry_after.min(self.retry_after);
        let now = self.clock.now();
        let (id, took_ms) = (job.id(), (now - received_at) as f64 / 10.0);
        let retry_after_ms = retry_after as f64 / 10.0;
        log_info!(op { op = id, code = "no-place", took_ms, come_back_ms = retry_after_ms } "op {ticket} nacked: no place");
        let until = self.clock.instant(now + SECOND);
        reply.send(OpOutcome::Nacked { why: "nacked: no place in hand", retry_after }, until);
    }

    /// Starts the queued ops that now hold a concurrency slot, and rejects those whose queueing time is over.
    fn admit(&mut self) {
        let now = self.clock.now();
        while let Some(ticket) = self.queue.due(now) {
            if let Some(mut queued) = self.queue.take(ticket) {
                let retry_after = (queued.deadline - queued.received_at).max(100);
                self.release_slot(now, ticket, &mut queued.pass);
                self.reject(ticket, &*queued.job, queued.reply, queued.received_at, retry_after);
            }
        }
        while let Some(ticket) = self.queue.admitted.pop_front() {
            if let Some(QueuedOp { job, parameters, received_at, reply, pass, .. }) = self.queue.take(ticket)
            {
                self.start_op(now, ticket, job, &parameters, received_at, reply, Some(pass));
            }
        }
    }

    /// Releases the concurrency slot of an op.
    fn release_slot(&mut self, now: Time, ticket: u64, pass: &mut Permit) {
        self.queue.admitted.extend(pass.release(now, ticket));
    }

    /// Passes an op to the dispatcher.
    #[allow(clippy::too_many_arguments)]
    fn start_op(
        &mut self,
        now: Time,
        ticket: u64,
        job: Arc<dyn Job>,
        parameters: &JobParameters,
        received_at: Time,
        reply: PendingReply,
        pass: Option<Box<Permit>>,
    ) {
        let mut deadline = received_at + parameters.budget;
        if let Some(pass) = &pass {
            deadline = deadline.min(received_at.saturating_add(pass.op_timeout));
        }
        if let Some(shutdown) = &self.shutdown {
            // The dispatcher decides whether the remaining time is enough.
            deadline = deadline.min(shutdown.deadline);
        }
        let JobParameters { category, slots, memory, hint, .. } = *parameters;
        let limits = pass.as_ref().map_or_else(Limits::default, |pass| pass.limits);
        let tenant_header = self.gate.as_ref().and_then(|gate| gate.table().tenant_header.as_deref());
        let tenant = tenant_header.and_then(|name| job.header(name));
        // A tenant that is not in the settings has no quota share.
        let tenant = self.tenants.iter().position(|name| Some(name.as_str()) == tenant).unwrap_or(usize::MAX);
        let path_key =
            job.path().rsplit('/').next().filter(|path_key| self.set_up_by_path && !path_key.is_empty());
        let key = path_key.map_or(0, name_hash);
        let ask = OpRequest { category, slots, memory, hint, deadline, limits, tenant, key };
        let mut op = self.dispatcher.arrive(now, ask);
        let step = self.dispatcher.place(now, &mut op);
        let in_flight = InFlightOp { op, reply: Some(reply), job, pushes: Vec::new(), pass, received_at };
        self.run_steps(now, ticket, in_flight, step);
    }

    fn push_ended(
        &mut self,
        now: Time,
        ticket: u64,
        push: usize,
        push_outcome: PushOutcome,
        load: Option<Vec<f64>>,
    ) {
        let Some(mut in_flight) = self.ops.take(ticket) else { return };
        let Some(sent_push) = in_flight.pushes.get_mut(push) else { return };
        sent_push.handle = None;
        let (abandoned_as, withheld) = (sent_push.abandoned_as, sent_push.withheld);
        let (outcome, client_outcome) = match push_outcome {
            PushOutcome::Done(result) => (Outcome::Acked, Some(OpOutcome::Acked(result))),
            // The client receives the executor's error status. Retrying such an op would count as a failure of
            // one executor after another, so that a few faulty clients could make the whole fleet look
            // unhealthy.
            PushOutcome::Rejected(status) => {
                let executor = in_flight.op.pushes[push].executor;
                log_info!("executor {executor}: rejected an op as invalid: status {status}");
                (Outcome::Rejected, Some(OpOutcome::Rejected { status }))
            }
            PushOutcome::Failed => (Outcome::Error, None),
            PushOutcome::Returned => (Outcome::Full, None),
            // The push was not sent because its executor was disabled; this is no failure of the executor.
            PushOutcome::NotSent | PushOutcome::NotConnected if withheld => (Outcome::Withheld, None),
            PushOutcome::NotSent => (Outcome::NeverStarted, None),
            // The push was abandoned before its last byte was written; this is no failure of the executor.
            PushOutcome::NotConnected | PushOutcome::WriteFailed { .. } if abandoned_as.is_some() => {
                (Outcome::NeverStarted, None)
            }
            // An idle connection that has just been closed says nothing about the health of its executor.
            PushOutcome::WriteFailed { used } => {
                (if used { Outcome::NeverStarted } else { Outcome::Cut }, None)
            }
            PushOutcome::NotConnected => (Outcome::NotConnected, None),
            PushOutcome::Lost => (abandoned_as.unwrap_or(Outcome::Reset), None),
            PushOutcome::StaleConnection => (abandoned_as.unwrap_or(Outcome::Broken), None),
        };
        if matches!(outcome, Outcome::NotConnected | Outcome::Broken) {
            // Other idle connections to this executor may be dead too. A push on a dead connection gives no
            // error, so it could not be told from one that ran.
            self.transport.close_idle(in_flight.op.pushes[push].executor, "suspect");
        }
        if let Some(pass) = in_flight.pass.as_ref().filter(|_| outcome == Outcome::Acked) {
            pass.record_run_time(now - in_flight.pushes[push].sent_at);
        }
        in_flight.update_retry_budget(now);
        let step = self.dispatcher.settle(now, &mut in_flight.op, push, outcome, &load.unwrap_or_default());
        // Only a final outcome is sent to the client. After a cancelled push the reply channel stays open for
        // the next push.
        if let Some(outcome) = client_outcome {
            self.reply(&mut in_flight, outcome);
        }
        self.run_steps(now, ticket, in_flight, step);
    }

    /// Carries out steps of the dispatcher until the op has to wait, then stores it.
    fn run_steps(&mut self, now: Time, ticket: u64, mut in_flight: InFlightOp, mut step: Step) {
        loop {
            match step {
                Step::Push { executor } => {
                    let push = in_flight.pushes.len();
                    let handle = self.send_push(ticket, push, executor, &in_flight);
                    let not_sent = handle.is_none();
                    in_flight.pushes.push(SentPush {
                        handle,
                        abandoned_as: None,
                        withheld: false,
                        sent_at: now,
                    });
                    if let Some(pass) = &mut in_flight.pass {
                        pass.record_push(now);
                    }
                    if not_sent {
                        step =
                            self.dispatcher.settle(now, &mut in_flight.op, push, Outcome::NeverStarted, &[]);
                        continue;
                    }
                }
                Step::Cancel { push } => in_flight.abandon(push, Outcome::Cancelled),
                Step::Nack { retry_after } => {
                    self.log_outcome(now, &in_flight, "nacked", retry_after);
                    self.reply(&mut in_flight, OpOutcome::Nacked { why: "nacked", retry_after });
                }
                Step::DeadLetter => {
                    self.log_outcome(now, &in_flight, "dead-lettered", 0);
                    self.reply(&mut in_flight, OpOutcome::DeadLettered);
                }
                Step::Wait => break,
            }
            in_flight.update_retry_budget(now);
            step = self.dispatcher.place(now, &mut in_flight.op);
        }
        self.store_or_finish(now, ticket, in_flight);
    }

    /// Logs the outcome of an op that was not acked.
    fn log_outcome(&self, now: Time, in_flight: &InFlightOp, code: &'static str, retry_after: Time) {
        let last = in_flight.op.pushes.last().map(|push| push.executor);
        log_info!(op {
            op = in_flight.job.id(),
            route = in_flight.pass.as_ref().map_or("-", |pass| &*pass.route),
            category = in_flight.job.category(),
            executor = last.map_or(-1, |executor| executor as i64),
            code,
            pushes = in_flight.op.pushes.len() as u64,
            took_ms = (now - in_flight.received_at) as f64 / 10.0,
            come_back_ms = retry_after as f64 / 10.0,
        } "op {code}");
    }

    /// Sends the client its response if it still waits for one.
    fn reply(&self, in_flight: &mut InFlightOp, outcome: OpOutcome) {
        if let Some(reply) = in_flight.reply.take() {
            reply.send(outcome, self.clock.instant(in_flight.op.deadline));
        }
    }

    /// Stores the op with the time of its next check, or drops it if it is finished.
    fn store_or_finish(&mut self, now: Time, ticket: u64, mut in_flight: InFlightOp) {
        if in_flight.op.closed && !in_flight.op.out() {
            if let Some(pass) = &mut in_flight.pass {
                self.release_slot(now, ticket, pass);
            }
            return;
        }
        let next_check = if in_flight.op.closed {
            in_flight.withhold_unsent();
            // A push that continues after the response may run until the op's deadline.
            in_flight.has_open_push().then_some(in_flight.op.deadline)
        } else {
            Some(self.dispatcher.wait(now, &in_flight.op).min(in_flight.op.deadline))
        };
        self.ops.put(ticket, in_flight, next_check.map(|next_check| next_check.max(now + 1)));
    }

    /// Starts a push. Returns `None` if this node has no connection available for it.
    fn send_push(
        &mut self,
        ticket: u64,
        push: usize,
        executor: usize,
        in_flight: &InFlightOp,
    ) -> Option<Arc<dyn PushHandle>> {
        let to = self.executors.get(executor)?.address?;
        let effect = self.dispatcher.effect(&in_flight.op);
        let connect_timeout = in_flight.pass.as_ref().and_then(|pass| pass.connect_timeout);
        let push = Push {
            ticket,
            push,
            job: in_flight.job.clone(),
            hold_last_byte: effect != Effect::Redeliverable,
            // A connection that was closed while idle, or leads to a lost machine, accepts bytes without an
            // error, and it stays unknown whether the op ran. An op that may be pushed only once therefore uses
            // a new connection. This costs a few round trips but proves that the executor is reachable; if
            // connecting fails, the op has not run.
            new_connection: effect == Effect::AtMostOnce,
            deadline: self.clock.instant(in_flight.op.deadline),
            write_deadline: self.clock.instant(in_flight.op.send_deadline(effect)),
            connect_timeout: connect_timeout.map(|time| Duration::from_micros(time.max(1) as u64 * 100)),
        };
        self.transport.push(executor, to, push)
    }

    fn update_executors(&mut self, now: Time, list: &ExecutorList) {
        // An older list version holds less than what is already known; an equal version only shows that the
        // watch is alive.
        let is_news = list.index >= self.list_version && (list.is_snapshot || !list.entries.is_empty());
        self.list_version = self.list_version.max(list.index);
        if !is_news {
            return self.dispatcher.list(now, false, &[]);
        }
        if list.is_snapshot {
            self.executors
                .iter_mut()
                .for_each(|executor_state| (executor_state.active, executor_state.listed) = (false, false));
        }
        let disabled_names =
            self.admin.as_ref().map(|admin| admin.disabled_set.names.clone()).unwrap_or_default();
        let mut lines = Vec::with_capacity(list.entries.len());
        for entry in &list.entries {
            let executor = self.executor_names.get_or_insert(&entry.name);
            self.executors.resize(self.executors.len().max(executor + 1), ExecutorState::default());
            let executor_state = &mut self.executors[executor];
            if entry.address.is_some() && entry.address != executor_state.address {
                self.transport.close_idle(executor, "unlisted");
                executor_state.address = entry.address;
            }
            (executor_state.active, executor_state.listed) = (entry.active, entry.listed);
            executor_state.is_disabled = disabled_names.contains(&entry.name);
            lines.push(ListedExecutor {
                name_hash: name_hash(&entry.name),
                executor,
                domain: self.domains.get_or_insert(&entry.domain),
                kind: self.kinds.get_or_insert(&entry.kind),
                cell: entry.cell,
                active: entry.active,
                weight: entry.weight,
                started: entry.started,
            });
        }
        for (executor, executor_state) in self.executors.iter().enumerate() {
            if !executor_state.accepts_work() {
                self.transport.close_idle(executor, "unlisted");
            }
        }
        self.dispatcher.list(now, list.is_snapshot, &lines);
        // An executor that an operator disabled stays disabled, even if it returns with another address.
        for line in lines.iter().filter(|line| self.executors[line.executor].is_disabled) {
            self.dispatcher.disable(now, line.executor, true);
        }
        self.publish_metrics(now);
        if self.shutdown.is_none() && self.executors.iter().any(|executor_state| executor_state.active) {
            self.clients.set_ready(true);
        }
    }

    /// Updates the metrics about executors.
    fn publish_metrics(&self, now: Time) {
        let Some(AdminHandle { metrics, .. }) = &self.admin else { return };
        let listed = self.executors.iter().enumerate().filter(|(_, executor_state)| executor_state.listed);
        let avoided = listed.clone().filter(|(executor, _)| self.dispatcher.avoids(now, *executor));
        metrics.listed.store(listed.count(), Ordering::Relaxed);
        metrics.avoided.store(avoided.count(), Ordering::Relaxed);
    }

    /// Runs the timers and the periodic work that are due.
    fn run_due_work(&mut self) {
        let now = self.clock.now();
        while let Some(ticket) = self.ops.due(now) {
            let Some(mut in_flight) = self.ops.take(ticket) else { continue };
            in_flight.update_retry_budget(now);
            let step = self.dispatcher.place(now, &mut in_flight.op);
            if now >= in_flight.op.deadline {
                (0..in_flight.pushes.len()).for_each(|push| in_flight.abandon(push, Outcome::TimedOut));
            }
            self.run_steps(now, ticket, in_flight, step);
        }
        if now >= self.next_upkeep {
            self.next_upkeep = now + UPKEEP_INTERVAL;
            self.transport.close_expired();
            self.publish_metrics(now);
            let learned_tx = self.admin.as_ref().and_then(|admin| admin.learned_tx.as_ref());
            if let Some(learned_tx) = learned_tx.filter(|learned_tx| learned_tx.is_empty()) {
                let _ = learned_tx.try_send(self.dispatcher.learned_state());
            }
            if self.dispatcher.upkeep(now) {
                let _ = self.refresh.try_send(());
            }
            if self.shutdown.as_ref().is_some_and(|shutdown| now >= shutdown.close_connections_at) {
                self.clients.close_connections();
            }
        }
        for letter in self.dispatcher.outgoing.drain(..) {
            if let Some(peers) = &self.peers {
                peers.send(&letter);
            }
        }
        if let Some(peers) = &self.peers {
            let bad_messages = self.dispatcher.peers.garbled + peers.dropped();
            if bad_messages > self.logged_bad_messages.0 && now >= self.logged_bad_messages.1 {
                self.logged_bad_messages = (bad_messages, now + 10 * SECOND);
                log_info!("peers: {bad_messages} messages dropped so far: not from a peer, malformed, or arriving too fast");
            }
        }
        for line in self.dispatcher.log.drain(..) {
            log_info!("{line}");
        }
    }

    /// Starts the shutdown: schedules the closing of client connections and limits the deadlines of all ops.
    fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.is_some() {
            return;
        }
        let deadline = now + self.shutdown_grace - FINAL_WRITE_TIME;
        let tickets = self.ops.tickets();
        log_info!("end asked for: {} ops in hand", tickets.len());
        let (close_connections_at, extra_delay) = if self.clients.stop_accepting() {
            (now, SUCCESSOR_EXIT_DELAY)
        } else {
            (now + CONNECTION_CLOSE_DELAY, 0)
        };
        self.shutdown = Some(ShutdownPlan {
            deadline,
            close_connections_at,
            earliest_exit: close_connections_at + EXIT_DELAY + extra_delay,
        });
        for ticket in tickets {
            let Some(mut in_flight) = self.ops.take(ticket) else { continue };
            in_flight.op.limit_deadline(deadline);
            self.store_or_finish(now, ticket, in_flight);
        }
        for ticket in self.queue.tickets() {
            if let Some(mut queued) = self.queue.take(ticket) {
                self.release_slot(now, ticket, &mut queued.pass);
                self.reject(ticket, &*queued.job, queued.reply, queued.received_at, SECOND);
            }
        }
    }

    /// Whether all responses are written and no more requests can arrive.
    fn is_finished(&self) -> bool {
        let Some(shutdown) = &self.shutdown else { return false };
        let now = self.clock.now();
        let is_idle = self.ops.is_empty() && self.queue.is_empty() && self.clients.is_idle();
        now >= shutdown.earliest_exit && (is_idle || now >= shutdown.deadline + FINAL_WRITE_TIME / 2)
    }
}
