//! Executors of a service: which of them serve, and this store's share of their retry slots.

use super::{ServiceQueue, DISPATCH_TICKS_PER_MS, WARM_UP_TICKS};
use crate::message::Millis;
use crate::retry_budget::share_retry_slots;
use std::net::SocketAddrV4;
use stileroute_dispatch::types::{name_hash, ListedExecutor, Time};

/// Length of the executor list from which on the entries of executors that are gone are reused.
const MIN_EXECUTORS_FOR_REUSE: usize = 128;

/// An executor as announced by the control nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Executor {
    /// The executor's identity, which it confirms with each request; empty for a fixed endpoint.
    pub id: String,
    /// Address on which the executor listens.
    pub address: SocketAddrV4,
    /// Index of the executor's zone.
    pub zone: usize,
    /// Number of messages that the executor processes at once.
    pub capacity: f64,
    /// Whether the executor takes messages; false while it drains.
    pub is_serving: bool,
    /// Remaining warm-up time in milliseconds.
    pub warm_up_left_ms: u64,
}

/// State of an executor as known at this store.
#[derive(Debug)]
pub(crate) struct ExecutorState {
    pub executor: Executor,
    /// Start time in dispatcher ticks; `None` if the executor does not warm up.
    pub started_at: Option<Time>,
    /// When the executor last answered a request.
    pub last_answer_at: Millis,
    /// Attempts from this store that have not ended.
    pub in_flight: usize,
    /// Retries among the attempts in flight.
    pub retries_in_flight: usize,
    /// Number of retries that this store may have in flight at the executor.
    pub retry_slots: usize,
    /// Whether the latest list contains the executor.
    pub is_listed: bool,
}

impl ExecutorState {
    /// Whether the executor takes messages, as far as this store knows.
    pub fn is_serving(&self) -> bool {
        self.is_listed && self.executor.is_serving
    }
}

impl ServiceQueue {
    /// Replaces the list of executors by the latest complete one.
    pub fn set_executors(&mut self, dispatch_time: Time, now: Millis, executors: &[Executor]) {
        for state in &mut self.executors {
            state.is_listed = false;
        }
        let mut added = Vec::new();
        for executor in executors {
            let known = self.executors.iter_mut().find(|state| state.executor.id == executor.id);
            match known {
                Some(state) => {
                    state.is_listed = true;
                    state.executor = executor.clone();
                }
                None => added.push(self.add_executor(dispatch_time, now, executor)),
            }
        }
        let listed = self.dispatcher_list();
        self.dispatcher.list(dispatch_time, true, &listed);
        // The dispatcher learns the capacity of a new executor before its first load report; estimated without a
        // report, the executor would be sent too much.
        for index in added {
            let capacity = self.executors[index].executor.capacity;
            self.dispatcher.report(dispatch_time, index, &[0.0, 0.0, capacity]);
        }
        self.assign_retry_slots();
    }

    /// Adds a new executor and returns its index.
    fn add_executor(&mut self, dispatch_time: Time, now: Millis, executor: &Executor) -> usize {
        let warm_up_left = executor.warm_up_left_ms as Time * DISPATCH_TICKS_PER_MS;
        let started_at = (warm_up_left > 0).then(|| dispatch_time - (WARM_UP_TICKS - warm_up_left).max(0));
        let state = ExecutorState {
            executor: executor.clone(),
            started_at,
            last_answer_at: now,
            in_flight: 0,
            retries_in_flight: 0,
            retry_slots: 0,
            is_listed: true,
        };
        match self.reusable_index() {
            Some(index) => {
                let started_at = Some(started_at.unwrap_or(dispatch_time - WARM_UP_TICKS));
                self.executors[index] = ExecutorState { started_at, ..state };
                index
            }
            None => {
                self.executors.push(state);
                self.executors.len() - 1
            }
        }
    }

    fn reusable_index(&self) -> Option<usize> {
        if self.executors.len() < MIN_EXECUTORS_FOR_REUSE {
            return None;
        }
        self.executors.iter().position(|state| !state.is_listed && state.in_flight == 0)
    }

    fn dispatcher_list(&self) -> Vec<ListedExecutor> {
        let listed = |(index, state): (usize, &ExecutorState)| ListedExecutor {
            executor: index,
            domain: state.executor.zone,
            kind: 0,
            cell: 0,
            active: state.is_serving(),
            weight: state.executor.capacity,
            name_hash: name_hash(&state.executor.id),
            started: state.started_at,
        };
        self.executors.iter().enumerate().map(listed).collect()
    }

    /// Computes this store's share of the retry slots. All stores have the same list, sorted by executor identity.
    pub(super) fn assign_retry_slots(&mut self) {
        for state in &mut self.executors {
            state.retry_slots = 0;
        }
        let position = self.store_position;
        let mut serving: Vec<&mut ExecutorState> =
            self.executors.iter_mut().filter(|state| state.is_serving()).collect();
        serving.sort_unstable_by(|a, b| a.executor.id.cmp(&b.executor.id));
        let capacities = serving.iter().map(|state| state.executor.capacity);
        let shares = share_retry_slots(capacities, position.index, position.stores);
        for (state, share) in serving.iter_mut().zip(shares) {
            state.retry_slots = share;
        }
        self.retry_budget.resize(self.serving_capacity(), position.stores);
    }

    /// Total number of messages that the serving executors process at once.
    pub(super) fn serving_capacity(&self) -> f64 {
        self.executors.iter().filter(|state| state.is_serving()).map(|state| state.executor.capacity).sum()
    }

    /// Number of serving executors.
    pub fn serving_count(&self) -> usize {
        self.executors.iter().filter(|state| state.is_serving()).count()
    }
}
