//! Executor selection: which executor gets the next message, and what the end of an attempt says about the executor.

use super::{ExecutorState, ServiceQueue};
use crate::message::{Key, Millis};
use crate::retry_budget::STUCK_RETRY_LIMIT_MS;
use stileroute_dispatch::types::{Limits, Op, OpRequest, Outcome as DispatchOutcome, Step, Time, SECOND};

/// Longest pause of a service whose fixed endpoint fails, and the pause while no executor serves.
const UNAVAILABLE_PAUSE_MS: Millis = 400;

/// Base of the pause after a failure of a fixed endpoint; it is doubled with each consecutive failure.
const ENDPOINT_BACKOFF_BASE_MS: Millis = 50;

/// Pause after all executors were found to have enough attempts in flight from this store.
const SATURATED_PAUSE_MS: Millis = 10;

/// Pause after the dispatcher found no executor, or none for a retry.
const NO_EXECUTOR_PAUSE_MS: Millis = 20;

/// Shortest and longest pause that is taken from the dispatcher.
const DISPATCHER_PAUSE_RANGE_MS: (Time, Time) = (5, 100);

/// Number of attempts that a store may always have in flight at a service, however small its executors are.
const MIN_IN_FLIGHT_LIMIT: f64 = 4.0;

/// Deadline that the dispatcher assumes for each message.
const DISPATCH_DEADLINE_TICKS: Time = 60 * SECOND;

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    key: Key,
    executor: usize,
    sent_at: Millis,
    /// The dispatcher's state of the message; `push` is the index of this attempt in it.
    op: Op,
    push: usize,
    is_retry: bool,
}

/// A retry: an attempt of a message that has run before, or may have.
pub(crate) struct Retry {
    /// The executor at which the message failed last.
    pub avoid: Option<usize>,
}

/// Result of a search for an executor.
pub(crate) enum Selection {
    /// The message goes to this executor and counts as in flight there.
    Send { executor: usize },
    /// No message can be sent before this time unless something changes.
    WaitUntil(Millis),
    /// No executor has a slot for a retry from this store before this time; first attempts continue.
    RetriesFullUntil(Millis),
}

/// An attempt that has ended.
pub(crate) struct SettledAttempt {
    pub key: Key,
    pub executor: usize,
}

/// The dispatcher's answer to a placement request.
struct Placement {
    op: Op,
    step: Step,
    /// Executors that were skipped because they may not get this retry.
    skipped: usize,
}

impl ServiceQueue {
    /// Searches for an executor for a message; if one is found, the attempt counts as started.
    pub fn select_executor(
        &mut self,
        dispatch_time: Time,
        now: Millis,
        key: Key,
        attempt: u64,
        mut retry: Option<Retry>,
    ) -> Selection {
        if let Some(at) = self.must_wait_until(now) {
            return Selection::WaitUntil(at);
        }
        let ask = self.ask(dispatch_time);
        let asked = self.dispatcher.arrive(dispatch_time, ask);
        let mut zones = u64::MAX;
        loop {
            let Placement { mut op, step, skipped } =
                self.place(dispatch_time, now, &asked, zones, retry.as_ref());
            match step {
                Step::Push { executor } if self.is_saturated(executor) => {
                    self.close(dispatch_time, &mut op);
                    // The nearby executors have enough attempts in flight; executors of other zones may be idle.
                    let zone = zone_bit(&self.executors[executor]);
                    if zones & zone == 0 {
                        return Selection::WaitUntil(now + SATURATED_PAUSE_MS);
                    }
                    zones &= !zone;
                }
                Step::Push { executor } if executor < self.executors.len() => {
                    let is_retry = retry.is_some();
                    let push = op.pushes.len().saturating_sub(1);
                    let started = InFlightAttempt { key, executor, sent_at: now, op, push, is_retry };
                    self.start(attempt, started);
                    return Selection::Send { executor };
                }
                _ if skipped > 0 => match &mut retry {
                    // No other executor serves: the executor that failed the message is better than none.
                    Some(retry) if retry.avoid.is_some() => retry.avoid = None,
                    _ => {
                        self.retries_stuck_since.get_or_insert(now);
                        return Selection::RetriesFullUntil(now + NO_EXECUTOR_PAUSE_MS);
                    }
                },
                Step::Nack { retry_after } => {
                    let (shortest, longest) = DISPATCHER_PAUSE_RANGE_MS;
                    let pause = (retry_after / super::DISPATCH_TICKS_PER_MS).clamp(shortest, longest);
                    return Selection::WaitUntil(now + pause as Millis);
                }
                _ => return Selection::WaitUntil(now + NO_EXECUTOR_PAUSE_MS),
            }
        }
    }

    /// The time to wait for if no message may start now, whatever the dispatcher would answer.
    fn must_wait_until(&self, now: Millis) -> Option<Millis> {
        if now < self.paused_until {
            return Some(self.paused_until);
        }
        // A failing fixed endpoint is probed with one message at a time.
        let is_probing =
            self.has_fixed_endpoint && self.consecutive_failures > 0 && !self.in_flight.is_empty();
        if is_probing || self.serving_count() == 0 {
            return Some(now + UNAVAILABLE_PAUSE_MS);
        }
        // After an outage all waiting messages are due at once, and each store knows only its own part of the
        // executors' load. So no store has more attempts in flight than the executors process together; a single
        // store can still keep all of them busy.
        let is_full = if self.has_fixed_endpoint {
            self.in_flight.len() >= self.connection_share
        } else {
            self.in_flight.len() as f64 >= self.serving_capacity().max(MIN_IN_FLIGHT_LIMIT)
        };
        is_full.then_some(now + SATURATED_PAUSE_MS)
    }

    fn ask(&self, dispatch_time: Time) -> OpRequest {
        OpRequest {
            category: usize::from(self.in_flight.is_empty()),
            slots: 1.0,
            memory: 0.0,
            // The expected duration before the first answer is an eighth of the latency target. With the whole target
            // no message would seem to be in time.
            hint: Some(self.latency_target / 8),
            deadline: dispatch_time + DISPATCH_DEADLINE_TICKS,
            limits: Limits { pushes: 1, ..Limits::default() },
            tenant: usize::MAX,
            key: 0,
        }
    }

    /// Asks the dispatcher for an executor in `zones`. Executors that may not get this retry are skipped, each once.
    fn place(
        &mut self,
        dispatch_time: Time,
        now: Millis,
        asked: &Op,
        zones: u64,
        retry: Option<&Retry>,
    ) -> Placement {
        let mut op = asked.clone();
        op.limits.domains = zones;
        let mut step = self.dispatcher.place(dispatch_time, &mut op);
        let mut skipped = 0;
        while let (Step::Push { executor }, Some(retry)) = (&step, retry) {
            if self.is_saturated(*executor) || self.accepts_retry(now, *executor, retry) {
                break;
            }
            skipped += 1;
            op.closed = skipped > self.executors.len();
            let push = op.pushes.len().saturating_sub(1);
            step = self.dispatcher.settle(dispatch_time, &mut op, push, DispatchOutcome::Withheld, &[]);
        }
        Placement { op, step, skipped }
    }

    /// Withdraws the last placement and closes the request. If it were not closed, the dispatcher would place the
    /// message again at once and count it as in flight forever.
    fn close(&mut self, dispatch_time: Time, op: &mut Op) {
        let push = op.pushes.len().saturating_sub(1);
        op.closed = true;
        self.dispatcher.settle(dispatch_time, op, push, DispatchOutcome::Withheld, &[]);
    }

    fn start(&mut self, attempt: u64, started: InFlightAttempt) {
        let state = &mut self.executors[started.executor];
        state.in_flight += 1;
        if started.is_retry {
            state.retries_in_flight += 1;
            self.retries_stuck_since = None;
            self.retry_budget.spend();
            self.retry_counts.retries += 1;
            let most = self.retry_counts.max_retries_per_executor.max(state.retries_in_flight);
            self.retry_counts.max_retries_per_executor = most;
        } else {
            self.retry_budget.add_first_attempt();
            self.retry_counts.first_attempts += 1;
        }
        self.in_flight.insert(attempt, started);
    }

    /// Whether a retry may go to an executor: it must not be the one that failed the message, and this store's share
    /// of the executor's retry slots must not be used up, unless retries have been stuck for long.
    fn accepts_retry(&self, now: Millis, executor: usize, retry: &Retry) -> bool {
        let Some(state) = self.executors.get(executor) else { return false };
        let is_stuck = self.retries_stuck_since.is_some_and(|since| now > since + STUCK_RETRY_LIMIT_MS);
        let has_slot = state.retries_in_flight < state.retry_slots;
        retry.avoid != Some(executor) && (has_slot || is_stuck && state.retries_in_flight == 0)
    }

    /// Whether this store alone has twice an executor's capacity in flight there, or as many attempts as it has
    /// connections to it. With many stores the connections are the narrower bound.
    fn is_saturated(&self, executor: usize) -> bool {
        let is_full = |state: &ExecutorState| {
            state.in_flight >= self.connection_share
                || state.in_flight as f64 >= 2.0 * state.executor.capacity
        };
        !self.has_fixed_endpoint && self.executors.get(executor).is_some_and(is_full)
    }

    /// Handles the end of an attempt. `outcome` is what the end says about the executor, `load` is the executor's own
    /// load report. Returns `None` for an unknown attempt.
    pub fn settle(
        &mut self,
        dispatch_time: Time,
        now: Millis,
        attempt: u64,
        outcome: DispatchOutcome,
        may_have_run: bool,
        load: Option<[f64; 3]>,
    ) -> Option<SettledAttempt> {
        let InFlightAttempt { key, executor, sent_at, mut op, push, is_retry } =
            self.in_flight.remove(&attempt)?;
        let state = &mut self.executors[executor];
        state.in_flight = state.in_flight.saturating_sub(1);
        if is_retry {
            state.retries_in_flight = state.retries_in_flight.saturating_sub(1);
        }
        if is_retry && !may_have_run {
            self.retry_budget.refund();
        }
        // A time-out alone may be one lost answer; an executor that has answered nothing since the attempt was sent
        // is gone.
        let is_silent = outcome == DispatchOutcome::TimedOut && state.last_answer_at < sent_at;
        let is_answered = is_answer(&outcome);
        if is_answered {
            state.last_answer_at = now;
        }
        let outcome = if is_silent { DispatchOutcome::Error } else { outcome };
        if self.has_fixed_endpoint {
            self.back_off_endpoint(now, is_answered);
        }
        let load = load.as_ref().map_or(&[][..], |values| &values[..]);
        // The dispatcher's answer is not needed: a retry is placed as a new request.
        self.dispatcher.settle(dispatch_time, &mut op, push, outcome, load);
        Some(SettledAttempt { key, executor })
    }

    fn back_off_endpoint(&mut self, now: Millis, is_answered: bool) {
        self.consecutive_failures = if is_answered { 0 } else { self.consecutive_failures + 1 };
        if self.consecutive_failures > 0 {
            let backoff_ms = ENDPOINT_BACKOFF_BASE_MS << self.consecutive_failures.min(6);
            self.paused_until = now + backoff_ms.min(UNAVAILABLE_PAUSE_MS);
        }
    }
}

/// Whether an outcome means that the executor has answered.
fn is_answer(outcome: &DispatchOutcome) -> bool {
    matches!(
        outcome,
        DispatchOutcome::Acked
            | DispatchOutcome::Rejected
            | DispatchOutcome::Full
            | DispatchOutcome::NeverStarted
    )
}

/// The dispatcher's bit for an executor's zone.
fn zone_bit(state: &ExecutorState) -> u64 {
    1u64.checked_shl(state.executor.zone as u32).unwrap_or(0)
}
