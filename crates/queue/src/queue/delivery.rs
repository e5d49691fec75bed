//! Delivery of messages: scheduling, delivery attempts, and the handling of their outcomes.

use super::failures::FailureSource;
use super::token_holders::token_holder;
use super::{Queue, UPKEEP_INTERVAL_MS};
use crate::attempt_outcome::AttemptOutcome;
use crate::effect::Effect;
use crate::entry::{ExecutorRef, ServiceQueueSlot, Stage};
use crate::message::{End, Key, Millis};
use crate::peer_message::{GroupPosition, PeerMessage};
use crate::planted_fault::PlantedFault;
use crate::service_queue::{QueuePosition, Retry, Selection, SettledAttempt};
use std::ops::ControlFlow;
use stileroute_dispatch::types::{Outcome as DispatchOutcome, Time};

/// Base of the backoff after a failed attempt; it doubles with each attempt.
const BACKOFF_BASE_MS: Millis = 40;

/// Maximum backoff after a failed attempt.
const BACKOFF_LIMIT_MS: Millis = 1500;

/// Base of the backoff after an attempt that was rejected or did not reach an executor. It is shorter, because another
/// executor may take the message.
const REJECTED_BACKOFF_BASE_MS: Millis = BACKOFF_BASE_MS / 4;

/// Pause after an executor answered that an earlier attempt of the same message is still running.
const STILL_RUNNING_PAUSE_MS: Millis = 100;

/// Pause of a service after the answer that its rate limit is exceeded.
const RATE_LIMITED_PAUSE_MS: Millis = 200;

/// Interval at which a service that waits for rate-limit tokens is checked.
const TOKEN_POLL_INTERVAL_MS: Millis = 15;

/// Maximum number of tokens in one request to the token holder.
const MAX_TOKENS_PER_REQUEST: usize = 4;

/// Minimum number of connections that a store may open to one executor.
const MIN_CONNECTION_SHARE: usize = 2;

/// Result of checking the message at the head of a service's queue.
enum Candidate {
    /// The message may be started.
    Ready { timeout_ms: u64 },
    /// The message is no longer at the head of the queue; another one is.
    Moved,
    /// The route of the message is unknown, so nothing more is started from this queue in this turn.
    Blocked,
}

impl Queue {
    /// Schedules an accepted message: it waits for its due time, for a configuration, or for an executor.
    pub(crate) fn schedule(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|entry| entry.stage == Stage::Waiting) else {
            return;
        };
        if entry.queue_slot.is_some() {
            return;
        }
        if self.superseded_keys.contains(&key) {
            return self.withdraw(key);
        }
        if !self.is_key_checked(key) {
            return;
        }
        if self.is_draining {
            return self.offer(key);
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let start_at = entry.due_at.max(entry.not_before);
        if start_at > now {
            entry.delayed_until = Some(start_at);
            self.delayed.insert((start_at, key));
            return;
        }
        if self.may_start(now, key) {
            self.enter_service_queue(now, key);
        }
    }

    /// Adds a message that may start to the queue of its route's service.
    fn enter_service_queue(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let Some(config) = &self.config else {
            self.awaiting_config.insert(key);
            return;
        };
        let route = config.route(&entry.message.host, &entry.message.target);
        if entry.message.config_revision > config.revision {
            self.awaiting_config.insert(key);
            return;
        }
        let Some(route) = route.map(|index| &config.routes[index]) else {
            self.metrics.failed_without_route += 1;
            self.finish(now, key, End::Failed);
            return;
        };
        let service = &config.services[route.service].name;
        let Some(index) = self.service_queue_index.get(service).copied() else { return };
        let is_late = now > entry.due_at + route.completion_target_ms;
        if entry.failures.total() >= route.max_attempts {
            return self.finish(now, key, End::Failed);
        }
        let position = QueuePosition { is_late, priority: route.priority, due_at: entry.due_at, key };
        entry.queue_slot = Some(ServiceQueueSlot { service_queue: index, position });
        self.service_queues[index].enter(position, entry.has_run);
        self.next_dispatch_at = 0;
    }

    /// Removes a message from the index or queue in which it waits.
    pub(crate) fn unschedule(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            if let Some(at) = entry.delayed_until.take() {
                self.delayed.remove(&(at, key));
            }
            if let Some(slot) = entry.queue_slot.take() {
                self.service_queues[slot.service_queue].leave(&slot.position);
            }
        }
        self.awaiting_config.remove(&key);
    }

    /// Starts all attempts that may start now.
    pub(super) fn start_attempts(&mut self, now: Millis, dispatch_time: Time) {
        let is_fenced = self.fenced_since.is_some() && !self.planted(PlantedFault::FenceUnheeded);
        if self.is_draining || is_fenced {
            self.next_dispatch_at = now + UPKEEP_INTERVAL_MS;
            return;
        }
        self.next_dispatch_at = Millis::MAX;
        self.free_attempts =
            self.end_capacity.saturating_sub(self.attempts_in_flight() + self.pending_writes.kept_count());
        for index in 0..self.service_queues.len() {
            let mut may_retry = true;
            while self.start_next(now, dispatch_time, index, &mut may_retry).is_continue() {}
        }
    }

    /// Starts one attempt of a service, or moves a message that cannot start. Breaks when the service has nothing more
    /// to start in this turn; clears `may_retry` when no more of its retries may start.
    fn start_next(
        &mut self,
        now: Millis,
        dispatch_time: Time,
        index: usize,
        may_retry: &mut bool,
    ) -> ControlFlow<()> {
        let (position, check_at) = self.service_queues[index].next_position(now, *may_retry);
        self.schedule_dispatch(check_at);
        let Some(position) = position else { return ControlFlow::Break(()) };
        let timeout_ms = match self.check_candidate(now, index, position) {
            Candidate::Ready { timeout_ms } => timeout_ms,
            Candidate::Moved => return ControlFlow::Continue(()),
            Candidate::Blocked => return ControlFlow::Break(()),
        };
        if self.free_attempts == 0 {
            self.metrics.attempts_delayed_by_disk += 1;
            self.schedule_dispatch(now + UPKEEP_INTERVAL_MS);
            return ControlFlow::Break(());
        }
        let paused_until = self.service_queues[index].paused_until;
        if now < paused_until {
            self.schedule_dispatch(paused_until);
            return ControlFlow::Break(());
        }
        if !self.take_token(now, index) {
            self.schedule_dispatch(now + TOKEN_POLL_INTERVAL_MS);
            return ControlFlow::Break(());
        }
        match self.select_executor(now, dispatch_time, index, position.key) {
            Selection::Send { executor } => {
                self.start_attempt(index, executor, position, timeout_ms);
                ControlFlow::Continue(())
            }
            Selection::RetriesFullUntil(at) => {
                self.give_token_back(index);
                self.schedule_dispatch(at);
                *may_retry = false;
                ControlFlow::Continue(())
            }
            Selection::WaitUntil(at) => {
                self.give_token_back(index);
                self.schedule_dispatch(at);
                ControlFlow::Break(())
            }
        }
    }

    fn schedule_dispatch(&mut self, at: Millis) {
        self.next_dispatch_at = self.next_dispatch_at.min(at);
    }

    /// Checks whether the message at the head of a service's queue may still be started.
    fn check_candidate(&mut self, now: Millis, index: usize, position: QueuePosition) -> Candidate {
        let key = position.key;
        let service_queue = &mut self.service_queues[index];
        let Some((config, entry)) = self.config.as_ref().zip(self.entries.get_mut(&key)) else {
            service_queue.leave(&position);
            return Candidate::Moved;
        };
        // If an earlier message with the same ordering key has become known since, this message waits again.
        let order_position = GroupPosition { accepted_at_ms: entry.message.accepted_at_ms, key };
        let ordering_key = entry.message.ordering_key.as_ref();
        if ordering_key.is_some_and(|ordering_key| !self.ordering.is_first(ordering_key, order_position)) {
            entry.queue_slot = None;
            service_queue.leave(&position);
            return Candidate::Moved;
        }
        let Some(route) = config.route(&entry.message.host, &entry.message.target) else {
            return Candidate::Blocked;
        };
        let route = &config.routes[route];
        // A message past its latency target goes behind those that can still meet theirs.
        if !position.is_late && now > position.due_at + route.completion_target_ms {
            let late = QueuePosition { is_late: true, ..position };
            entry.queue_slot = Some(ServiceQueueSlot { service_queue: index, position: late });
            service_queue.replace(&position, late, entry.has_run);
            return Candidate::Moved;
        }
        Candidate::Ready { timeout_ms: route.timeout_ms }
    }

    /// Takes a token of the service's rate limit, if it has one. Requests more tokens from the token holder if there is
    /// none.
    fn take_token(&mut self, now: Millis, index: usize) -> bool {
        let service_queue = &mut self.service_queues[index];
        let Some(bucket) = &mut service_queue.token_bucket else { return true };
        if bucket.take(now) {
            return true;
        }
        let waiting = service_queue.ready.len() + service_queue.retries.len();
        let count = waiting.min(MAX_TOKENS_PER_REQUEST) as u32;
        if bucket.begin_request(now) {
            let service = service_queue.name.clone();
            let holder = token_holder(&service, self.settings.node, &self.peers);
            if holder != self.settings.node {
                let message = PeerMessage::RequestTokens { service, count };
                self.emit(Effect::Send { to: holder, message });
            }
        }
        false
    }

    fn give_token_back(&mut self, index: usize) {
        if let Some(bucket) = &mut self.service_queues[index].token_bucket {
            bucket.give_back();
        }
    }

    fn select_executor(&mut self, now: Millis, dispatch_time: Time, index: usize, key: Key) -> Selection {
        let stores = 1 + self.peers.values().filter(|peer| peer.is_member || peer.is_connected).count();
        let Some(entry) = self.entries.get(&key) else { return Selection::WaitUntil(now) };
        let service_queue = &mut self.service_queues[index];
        service_queue.connection_share = (service_queue.max_connections / stores).max(MIN_CONNECTION_SHARE);
        let avoid = entry.last_failed_on.filter(|failed| failed.service_queue == index);
        let retry = entry.has_run.then_some(Retry { avoid: avoid.map(|failed| failed.executor) });
        service_queue.select_executor(dispatch_time, now, key, self.next_attempt, retry)
    }

    /// Starts an attempt at the selected executor.
    fn start_attempt(&mut self, index: usize, executor: usize, position: QueuePosition, timeout_ms: u64) {
        let key = position.key;
        let service_queue = &mut self.service_queues[index];
        service_queue.leave(&position);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.queue_slot = None;
        entry.stage = Stage::InFlight;
        self.free_attempts -= 1;
        self.metrics.attempts += 1;
        self.metrics.retries += u64::from(entry.backoff_steps > 0);
        let executor = &service_queue.executors[executor].executor;
        self.effects.push(Effect::StartAttempt {
            attempt: self.next_attempt,
            key,
            to: executor.address,
            expected_server: (!executor.id.is_empty()).then(|| executor.id.clone()),
            timeout_ms,
            max_connections: service_queue.connection_share,
        });
        self.next_attempt += 1;
    }

    /// Handles the outcome of an [`Effect::StartAttempt`]. `load` is the executor's reported load: messages running,
    /// messages waiting, and slots.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        dispatch_time: Time,
        attempt: u64,
        outcome: AttemptOutcome,
        load: Option<[f64; 3]>,
    ) {
        let has_attempt = |index: &usize| self.service_queues[*index].in_flight.contains_key(&attempt);
        let Some(index) = (0..self.service_queues.len()).find(has_attempt) else { return };
        let service_queue = &mut self.service_queues[index];
        let dispatcher_outcome = dispatch_outcome(&outcome);
        let settled = service_queue.settle(
            dispatch_time,
            now,
            attempt,
            dispatcher_outcome,
            outcome.may_have_run(),
            load,
        );
        let Some(SettledAttempt { key, executor }) = settled else { return };
        if outcome == AttemptOutcome::RateLimited {
            service_queue.paused_until = now + RATE_LIMITED_PAUSE_MS;
        }
        self.next_dispatch_at = 0;
        self.apply_outcome(now, key, ExecutorRef { service_queue: index, executor }, outcome);
    }

    /// Applies the outcome of an attempt to its message.
    fn apply_outcome(&mut self, now: Millis, key: Key, executor: ExecutorRef, outcome: AttemptOutcome) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.end.is_none()) else { return };
        if outcome.may_have_run() || outcome == AttemptOutcome::AlreadyRunning {
            entry.has_run = true;
            entry.last_failed_on = Some(executor);
        }
        match outcome {
            AttemptOutcome::Completed { seal } => return self.finish(now, key, End::Complete { seal }),
            AttemptOutcome::Rejected => return self.finish(now, key, End::Failed),
            AttemptOutcome::Failed => {
                entry.failures.add_read_by(self.settings.node);
                self.record_failed_attempts(key, FailureSource::Own);
                self.announce_failed_attempts(key, None);
            }
            _ => {}
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.stage != Stage::InFlight {
            return;
        }
        if entry.owner != self.settings.node {
            // Another store has become the owner in the meantime, and delivers the message.
            entry.stage = Stage::Replica;
            return;
        }
        entry.stage = Stage::Waiting;
        self.retry_or_fail(now, key, &outcome);
    }

    /// Handles an attempt that did not complete: the message fails permanently, or waits for its next attempt.
    fn retry_or_fail(&mut self, now: Millis, key: Key, outcome: &AttemptOutcome) {
        let Some(entry) = self.entries.get(&key) else { return };
        if self.route_of(entry).is_some_and(|route| entry.failures.total() >= route.max_attempts) {
            return self.finish(now, key, End::Failed);
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.backoff_steps += 1;
        entry.not_before = now + backoff_ms(outcome, entry.backoff_steps);
        self.schedule(now, key);
    }
}

/// Converts an outcome to what it tells the dispatcher about the executor.
fn dispatch_outcome(outcome: &AttemptOutcome) -> DispatchOutcome {
    match outcome {
        AttemptOutcome::Completed { .. } => DispatchOutcome::Acked,
        AttemptOutcome::Rejected | AttemptOutcome::Failed => DispatchOutcome::Rejected,
        AttemptOutcome::ExecutorFull => DispatchOutcome::Full,
        AttemptOutcome::RateLimited
        | AttemptOutcome::AlreadyRunning
        | AttemptOutcome::NotRun
        | AttemptOutcome::NoFreeConnection => DispatchOutcome::NeverStarted,
        AttemptOutcome::WrongServer => DispatchOutcome::Error,
        AttemptOutcome::NotConnected => DispatchOutcome::NotConnected,
        AttemptOutcome::ConnectionBroken => DispatchOutcome::Reset,
        AttemptOutcome::TimedOut | AttemptOutcome::NoResponse => DispatchOutcome::TimedOut,
        AttemptOutcome::MalformedResponse => DispatchOutcome::Broken,
    }
}

/// Time that a message waits for its next attempt, in milliseconds. After a rejection, or an attempt that reached no
/// executor, it is short, because another executor may take the message; after a failure it is longer.
fn backoff_ms(outcome: &AttemptOutcome, steps: u32) -> Millis {
    match outcome {
        AttemptOutcome::ExecutorFull
        | AttemptOutcome::NoFreeConnection
        | AttemptOutcome::WrongServer
        | AttemptOutcome::NotConnected => REJECTED_BACKOFF_BASE_MS << (steps / 4).min(5),
        AttemptOutcome::AlreadyRunning => STILL_RUNNING_PAUSE_MS,
        _ => (BACKOFF_BASE_MS << steps.min(8)).min(BACKOFF_LIMIT_MS),
    }
}
