//! Which executor gets the next message, and what the end of an attempt says of the executor.

use super::{ExecutorState, ServiceQueue};
use crate::message::{Key, Millis};
use crate::retry_budget::STUCK_RETRY_LIMIT_MS;
use stileroute_dispatch::types::{Limits, Op, OpRequest, Outcome as DispatchOutcome, Step, Time, SECOND};

/// The longest pause of a service whose fixed endpoint fails, and the pause while no executor serves.
const UNAVAILABLE_PAUSE_MS: Millis = 400;

/// The pause after a failure of a fixed endpoint is this, doubled with each failure in a row.
const ENDPOINT_BACKOFF_BASE_MS: Millis = 50;

/// When to look again after all executors had enough in flight from here.
const SATURATED_PAUSE_MS: Millis = 10;

/// When to look again after the dispatcher found no executor, or none for a retry.
const NO_EXECUTOR_PAUSE_MS: Millis = 20;

/// The bounds of the pause that the dispatcher asks for.
const DISPATCHER_PAUSE_RANGE_MS: (Time, Time) = (5, 100);

/// Fewest attempts that a store may have in flight at a service, however small its executors.
const MIN_IN_FLIGHT_LIMIT: f64 = 4.0;

/// The deadline that the dispatcher reckons with for each message.
const DISPATCH_DEADLINE: Time = 60 * SECOND;

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    key: Key,
    executor: usize,
    sent_at: Millis,
    /// The dispatcher's state of the message, and the index of this attempt in it.
    op: Op,
    push: usize,
    is_retry: bool,
}

/// A retry: an attempt of a message that ran before, or may have run.
pub(crate) struct Retry {
    /// The executor where the message failed last.
    pub avoid: Option<usize>,
}

/// What a search for an executor has come to.
pub(crate) enum Selection {
    /// The message goes to this executor, and counts as in flight there.
    Send { executor: usize },
    /// Nothing can go before that time, unless something changes.
    WaitUntil(Millis),
    /// No executor has a slot for a retry from this store before that time; first attempts go on.
    RetriesFullUntil(Millis),
}

/// An attempt that has ended.
pub(crate) struct SettledAttempt {
    pub key: Key,
    pub executor: usize,
}

/// An answer of the dispatcher.
struct Placement {
    op: Op,
    step: Step,
    /// Executors that were refused because they may not have this retry.
    passed_over: usize,
}

impl ServiceQueue {
    /// Looks for an executor for a message; if there is one, the attempt counts as started.
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
            let Placement { mut op, step, passed_over } =
                self.place(dispatch_time, now, &asked, zones, retry.as_ref());
            match step {
                Step::Push { executor } if self.is_saturated(executor) => {
                    self.close(dispatch_time, &mut op);
                    // The nearby executors have enough in flight: those of other zones may be idle.
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
                _ if passed_over > 0 => match &mut retry {
                    // No other executor serves: the one that failed the message is better than none.
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

    /// The time to wait for if no message may go now, whatever the dispatcher would say.
    fn must_wait_until(&self, now: Millis) -> Option<Millis> {
        if now < self.paused_until {
            return Some(self.paused_until);
        }
        // A fixed endpoint that fails is tried with one message at a time.
        let is_probing =
            self.has_fixed_endpoint && self.consecutive_failures > 0 && !self.in_flight.is_empty();
        if is_probing || self.serving_count() == 0 {
            return Some(now + UNAVAILABLE_PAUSE_MS);
        }
        // After an outage all waiting messages are due at once, and each store knows only its own part of what the executors
        // have in flight: so no store alone has more in flight than they work on together. One store alone can still keep all
        // of them busy.
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
            // Expected duration before the first answer: an eighth of the latency target. With the whole of it no message would
            // seem to be in time.
            hint: Some(self.latency_target / 8),
            deadline: dispatch_time + DISPATCH_DEADLINE,
            limits: Limits { pushes: 1, ..Limits::default() },
            tenant: usize::MAX,
            key: 0,
        }
    }

    /// Asks the dispatcher for an executor in `zones`. Those that may not have this retry are passed over, each once.
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
        let mut passed_over = 0;
        while let (Step::Push { executor }, Some(retry)) = (&step, retry) {
            if self.is_saturated(*executor) || self.accepts_retry(now, *executor, retry) {
                break;
            }
            passed_over += 1;
            op.closed = passed_over > self.executors.len();
            let push = op.pushes.len().saturating_sub(1);
            step = self.dispatcher.settle(dispatch_time, &mut op, push, DispatchOutcome::Withheld, &[]);
        }
        Placement { op, step, passed_over }
    }

    /// Takes the last placement back and asks for no other: without the latter the dispatcher would send it again at once, and
    /// count that as in flight for ever.
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

    /// Whether a retry may go to an executor: not to the one that failed it, and no more than this store's share of the slots,
    /// unless retries have been stuck for long.
    fn accepts_retry(&self, now: Millis, executor: usize, retry: &Retry) -> bool {
        let Some(state) = self.executors.get(executor) else { return false };
        let is_stuck = self.retries_stuck_since.is_some_and(|since| now > since + STUCK_RETRY_LIMIT_MS);
        let has_slot = state.retries_in_flight < state.retry_slots;
        retry.avoid != Some(executor) && (has_slot || is_stuck && state.retries_in_flight == 0)
    }

    /// Whether an executor has, from this store alone, twice what it works on, or as much as this store has connections to it.
    /// With many stores the latter is the narrower bound.
    fn is_saturated(&self, executor: usize) -> bool {
        let is_full = |state: &ExecutorState| {
            state.in_flight >= self.connection_share
                || state.in_flight as f64 >= 2.0 * state.executor.capacity
        };
        !self.has_fixed_endpoint && self.executors.get(executor).is_some_and(is_full)
    }

    /// An attempt has ended; `outcome` is what its end says of the executor, `load` what the executor reported of itself. Gives
    /// `None` for an attempt that is not known.
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
        // Silence alone may be one lost answer; an executor that has answered nobody since is gone.
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
        // The dispatcher's answer is not needed: the message comes again as another one.
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

/// The dispatcher's bit for the zone of an executor.
fn zone_bit(state: &ExecutorState) -> u64 {
    1u64.checked_shl(state.executor.zone as u32).unwrap_or(0)
}
