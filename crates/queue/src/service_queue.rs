//! Queue of one service: its waiting messages, its executors, and the dispatcher that chooses among them.

mod executors;
mod selection;

pub use executors::Executor;
pub(crate) use executors::ExecutorState;
pub(crate) use selection::{Retry, Selection, SettledAttempt};

use crate::message::{Key, Millis};

use crate::retry_budget::RetryBudget;
use crate::token_bucket::TokenBucket;
use selection::InFlightAttempt;
use std::collections::{BTreeSet, HashMap};
use stileroute_dispatch::policy::Dispatcher;
use stileroute_dispatch::types::{Category, DispatchSettings, Effect, Gauge, InstanceSettings, Time, SECOND};

/// Longest time for which an executor that has just started is treated as warming up.
const WARM_UP_TICKS: Time = 5 * SECOND;

/// Cost of sending a message to another zone, as a fraction of the message's value.
const CROSS_ZONE_COST_FRACTION: f64 = 0.15;

/// Dispatcher ticks per millisecond.
const DISPATCH_TICKS_PER_MS: Time = 10;

/// Latency target of the dispatcher category for services with nothing in flight.
const IDLE_LATENCY_TARGET_TICKS: Time = 60 * SECOND;

/// Connections to one executor until the configuration is known.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// Position of a message in a service's queue. Messages that can still meet their latency target come first; then the
/// order is by priority, then by due time. The derived order is the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub is_late: bool,
    /// Messages with a lower value go first.
    pub priority: i64,
    pub due_at: Millis,
    pub key: Key,
}

/// Counts of the attempts at one service since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryCounts {
    /// First attempts started.
    pub first_attempts: u64,
    /// Retries started: attempts of messages that have run before, or may have.
    pub retries: u64,
    /// Retries that had to wait for the retry budget.
    pub retries_delayed: u64,
    /// Highest number of retries in flight at one executor at the same time.
    pub max_retries_per_executor: usize,
}

/// An executor's share of a service's messages.
#[derive(Clone, Debug)]
pub struct ExecutorShare {
    /// The executor's identity.
    pub id: String,
    /// Fraction of the service's messages that the executor should get, between 0 and 1.
    pub share: f64,
    /// Attempts from this store that have not ended.
    pub in_flight: usize,
}

/// Position of this store among the stores that deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StorePosition {
    index: usize,
    stores: usize,
}

/// The queue of one service.
pub(crate) struct ServiceQueue {
    pub name: String,
    /// All executors seen so far, by the dispatcher's index. The list only grows and keeps executors that are gone.
    pub executors: Vec<ExecutorState>,
    /// Messages that wait for their first attempt.
    pub ready: BTreeSet<QueuePosition>,
    /// Messages that wait for a retry, in a separate queue so that they do not delay first attempts.
    pub retries: BTreeSet<QueuePosition>,
    pub retry_budget: RetryBudget,
    pub retry_counts: RetryCounts,
    /// Since when no retry has found an executor.
    retries_stuck_since: Option<Millis>,
    store_position: StorePosition,
    /// Attempts that have not ended, by attempt number.
    pub in_flight: HashMap<u64, InFlightAttempt>,
    /// The rate limit, if there is one.
    pub token_bucket: Option<TokenBucket>,
    /// Whether the service has one configured address instead of executors that register themselves.
    pub has_fixed_endpoint: bool,
    /// Maximum number of connections to one executor from all stores together.
    pub max_connections: usize,
    /// Maximum number of connections to one executor from this store.
    pub connection_share: usize,
    dispatcher: Dispatcher,
    latency_target: Time,
    /// No attempt is started before this time.
    pub paused_until: Millis,
    /// Consecutive attempts that a fixed endpoint has not answered.
    consecutive_failures: u32,
}

impl ServiceQueue {
    /// Creates the queue of a service without executors. `zone` is this store's zone, `stores` the number of stores
    /// that deliver.
    pub fn new(name: &str, zone: usize, stores: usize, latency_target_ms: Millis, seed: u64) -> ServiceQueue {
        let latency_target = latency_target_ms as Time * DISPATCH_TICKS_PER_MS;
        ServiceQueue {
            name: name.to_string(),
            executors: Vec::new(),
            ready: BTreeSet::new(),
            retries: BTreeSet::new(),
            retry_budget: RetryBudget::new(0),
            retry_counts: RetryCounts::default(),
            retries_stuck_since: None,
            store_position: StorePosition { index: 0, stores: 1 },
            in_flight: HashMap::new(),
            token_bucket: None,
            has_fixed_endpoint: false,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            connection_share: 2,
            dispatcher: Dispatcher::new(&dispatcher_settings(zone, stores, latency_target), seed),
            latency_target,
            paused_until: 0,
            consecutive_failures: 0,
        }
    }

    /// Sets the number of stores that deliver and this store's index among them.
    pub fn set_store_position(&mut self, index: usize, stores: usize) {
        self.dispatcher.set_fleet_size(stores, stores);
        let position = StorePosition { index, stores };
        if std::mem::replace(&mut self.store_position, position) != position {
            self.assign_retry_slots();
        }
    }

    /// The next message to start, with the time at which to look for a retry again. A retry is returned only if
    /// `may_retry` is set and the retry budget allows it.
    pub fn next_position(&mut self, now: Millis, may_retry: bool) -> (Option<QueuePosition>, Millis) {
        let first = self.ready.first().copied();
        let Some(retry) = self.retries.first().copied() else { return (first, Millis::MAX) };
        if !may_retry || first.is_some_and(|first| first < retry) {
            return (first, Millis::MAX);
        }
        match self.retry_budget.next_retry_at(now) {
            None => (Some(retry), Millis::MAX),
            Some(at) => (first, at),
        }
    }

    /// Adds a message to the waiting ones.
    pub fn enter(&mut self, position: QueuePosition, is_retry: bool) {
        if is_retry {
            self.retries.insert(position);
            let is_delayed = self.retries.len() > self.retry_budget.available_retries();
            self.retry_counts.retries_delayed += u64::from(is_delayed);
        } else {
            self.ready.insert(position);
        }
    }

    /// Removes a message from the waiting ones.
    pub fn leave(&mut self, position: &QueuePosition) {
        if !self.ready.remove(position) {
            self.retries.remove(position);
        }
    }

    /// Moves a waiting message to another position.
    pub fn replace(&mut self, former: &QueuePosition, position: QueuePosition, is_retry: bool) {
        self.leave(former);
        if is_retry {
            self.retries.insert(position);
        } else {
            self.ready.insert(position);
        }
    }

    /// Number of waiting messages, including retries.
    pub fn waiting_count(&self) -> usize {
        self.ready.len() + self.retries.len()
    }

    /// How far the oldest waiting message is past its due time, in milliseconds.
    pub fn oldest_overdue_ms(&self, now: Millis) -> Millis {
        let waiting = self.ready.iter().chain(&self.retries);
        waiting.map(|position| now.saturating_sub(position.due_at)).max().unwrap_or(0)
    }

    /// The serving executors, each with the fraction of the messages that it should get.
    pub fn executor_shares(&self) -> Vec<ExecutorShare> {
        let shares = self.dispatcher.shares().chain(std::iter::repeat(0.0));
        let serving = self.executors.iter().zip(shares).filter(|(state, _)| state.is_serving());
        let share = |(state, share): (&ExecutorState, f64)| ExecutorShare {
            id: state.executor.id.clone(),
            share,
            in_flight: state.in_flight,
        };
        serving.map(share).collect()
    }

    /// Runs the dispatcher's periodic maintenance.
    pub fn run_upkeep(&mut self, dispatch_time: Time) {
        self.dispatcher.upkeep(dispatch_time);
    }

    /// Takes the dispatcher's log lines since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        self.dispatcher.outgoing.clear();
        std::mem::take(&mut self.dispatcher.log)
    }
}

/// The dispatcher's settings. Category 0 is for ordinary messages. Category 1 is for a service with nothing in
/// flight: one message is sent whatever the state of its executors, because nothing new would be learned of them
/// otherwise.
fn dispatcher_settings(zone: usize, stores: usize, latency_target: Time) -> DispatchSettings {
    let category = |target: Time| Category {
        target,
        stretch: 0.0,
        effect: Effect::Redeliverable,
        benefit: 1.0,
        late: 0.3,
        kind: None,
        priority: 0,
    };
    DispatchSettings {
        terms: InstanceSettings {
            domain: zone,
            tick: DISPATCH_TICKS_PER_MS,
            retry_after: SECOND,
            max_pushes: usize::MAX,
            tip_after: SECOND,
            start_share: 0.6,
            warm_within: WARM_UP_TICKS,
            cross: CROSS_ZONE_COST_FRACTION,
            nodes: stores,
            handshake: 0.02,
            keepalive: 4 * SECOND,
            ..InstanceSettings::default()
        },
        categories: vec![category(latency_target), category(IDLE_LATENCY_TARGET_TICKS)],
        quotas: Vec::new(),
        overload_factor: 4.0,
        gauges: vec![Gauge::Held, Gauge::Waiting, Gauge::FreeSlots],
    }
}
