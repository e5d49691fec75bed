//! One service: the messages that wait for it, its executors, and the dispatcher that chooses among them.

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

/// How much slower an executor may be that has just started: for so long at most it is taken to warm up.
const WARM_UP: Time = 5 * SECOND;

/// The cost of sending a message to another zone, as a part of the message's value.
const CROSS_ZONE_COST: f64 = 0.15;

/// Dispatcher time per millisecond.
const DISPATCH_TICKS_PER_MS: Time = 10;

/// The latency target of the category for services with nothing in flight.
const IDLE_LATENCY_TARGET: Time = 60 * SECOND;

/// Connections to one executor until the configuration is known.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// Where a message stands in a service's queue: those that can still meet their latency target first, then by priority, then by
/// due time. The derived order is the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub is_late: bool,
    /// The lower one goes first.
    pub priority: i64,
    pub due_at: Millis,
    pub key: Key,
}

/// Attempts at one service since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryCounts {
    /// First attempts started.
    pub first_attempts: u64,
    /// Retries started: attempts of messages that ran before, or may have run.
    pub retries: u64,
    /// Retries that had to wait for the retry budget.
    pub retries_delayed: u64,
    /// Most retries that were in flight at one executor at once.
    pub max_retries_per_executor: usize,
}

/// One executor of a service.
#[derive(Clone, Debug)]
pub struct ExecutorShare {
    /// The executor's identity.
    pub id: String,
    /// The part of the service's messages that it is to get, between 0 and 1.
    pub share: f64,
    /// Attempts from this store that have not ended.
    pub in_flight: usize,
}

/// The position of this store among those that deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StorePosition {
    index: usize,
    stores: usize,
}

/// The queue of one service.
pub(crate) struct ServiceQueue {
    pub name: String,
    /// All executors seen so far, by the dispatcher's index; the list grows, and has those that are gone, too.
    pub executors: Vec<ExecutorState>,
    /// Messages that wait for their first attempt.
    pub ready: BTreeSet<QueuePosition>,
    /// Messages that wait for a retry: in a queue of their own, so that they hold up nobody's first attempt.
    pub retries: BTreeSet<QueuePosition>,
    pub retry_budget: RetryBudget,
    pub retry_counts: RetryCounts,
    /// Since when no retry has found an executor.
    retries_stuck_since: Option<Millis>,
    store_position: StorePosition,
    /// Attempts that have not ended, by their number.
    pub in_flight: HashMap<u64, InFlightAttempt>,
    /// The rate limit, if there is one.
    pub token_bucket: Option<TokenBucket>,
    /// The service has one configured address in place of executors that announce themselves.
    pub has_fixed_endpoint: bool,
    /// Most connections to one executor from all stores together.
    pub max_connections: usize,
    /// Connections to one executor from this store.
    pub connection_share: usize,
    dispatcher: Dispatcher,
    latency_target: Time,
    /// Nothing is started before this time.
    pub paused_until: Millis,
    /// Attempts in a row that a fixed endpoint has not answered.
    consecutive_failures: u32,
}

impl ServiceQueue {
    /// An empty queue of a service without executors. `zone` is this store's, `stores` how many deliver.
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
            dispatcher: Dispatcher::new(&tariff(zone, stores, latency_target), seed),
            latency_target,
            paused_until: 0,
            consecutive_failures: 0,
        }
    }

    /// So many stores deliver, and this one stands at `index` among them.
    pub fn set_store_position(&mut self, index: usize, stores: usize) {
        self.dispatcher.set_fleet_size(stores, stores);
        let position = StorePosition { index, stores };
        if std::mem::replace(&mut self.store_position, position) != position {
            self.assign_retry_slots();
        }
    }

    /// The message that goes next: one that waits for a retry only if `may_retry` and the budget allows. Beside it the time at
    /// which to look again for a retry.
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

    /// A message waits from now on.
    pub fn enter(&mut self, position: QueuePosition, is_retry: bool) {
        if is_retry {
            self.retries.insert(position);
            let is_delayed = self.retries.len() > self.retry_budget.available_retries();
            self.retry_counts.retries_delayed += u64::from(is_delayed);
        } else {
            self.ready.insert(position);
        }
    }

    /// A message does not wait any more.
    pub fn leave(&mut self, position: &QueuePosition) {
        if !self.ready.remove(position) {
            self.retries.remove(position);
        }
    }

    /// A message waits at another position from now on.
    pub fn replace(&mut self, former: &QueuePosition, position: QueuePosition, is_retry: bool) {
        self.leave(former);
        if is_retry {
            self.retries.insert(position);
        } else {
            self.ready.insert(position);
        }
    }

    /// How many messages wait, retries among them.
    pub fn waiting_count(&self) -> usize {
        self.ready.len() + self.retries.len()
    }

    /// How far the oldest waiting message is past its due time.
    pub fn oldest_overdue_ms(&self, now: Millis) -> Millis {
        let waiting = self.ready.iter().chain(&self.retries);
        waiting.map(|position| now.saturating_sub(position.due_at)).max().unwrap_or(0)
    }

    /// The executors that serve now, and the part of the messages that each is to get.
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

    /// Lets the dispatcher do what it does from time to time.
    pub fn run_upkeep(&mut self, dispatch_time: Time) {
        self.dispatcher.upkeep(dispatch_time);
    }

    /// The dispatcher's log lines since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        self.dispatcher.outgoing.clear();
        std::mem::take(&mut self.dispatcher.log)
    }
}

/// The dispatcher's settings. Category 0 is for ordinary messages, category 1 for a service with nothing in flight: whatever its
/// executors are like, one message goes, for else nothing more would ever be learned of them.
fn tariff(zone: usize, stores: usize, latency_target: Time) -> DispatchSettings {
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
            warm_within: WARM_UP,
            cross: CROSS_ZONE_COST,
            nodes: stores,
            handshake: 0.02,
            keepalive: 4 * SECOND,
            ..InstanceSettings::default()
        },
        categories: vec![category(latency_target), category(IDLE_LATENCY_TARGET)],
        quotas: Vec::new(),
        overload_factor: 4.0,
        gauges: vec![Gauge::Held, Gauge::Waiting, Gauge::FreeSlots],
    }
}
