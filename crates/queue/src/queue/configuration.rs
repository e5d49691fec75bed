//! The configuration and the executor lists, as provided by the control nodes.

use super::Queue;
use crate::entry::{Entry, Stage};
use crate::message::{Key, Millis};
use crate::service_queue::{Executor, ServiceQueue};
use crate::token_bucket::{RateLimit, TokenBucket};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use stileroute_config::{Config, Service};
use stileroute_dispatch::types::{name_hash, Time};

/// Latency target of a service without routes, in milliseconds.
const DEFAULT_RUN_TARGET_MS: u64 = 1000;

/// Number of stores that a service queue assumes until the members are known.
const INITIAL_STORE_COUNT: usize = 3;

/// Number of messages that a fixed endpoint is assumed to process at once.
const FIXED_ENDPOINT_CAPACITY: f64 = 8.0;

impl Queue {
    /// Applies a new configuration.
    pub fn configure(&mut self, now: Millis, dispatch_time: Time, config: Arc<Config>) {
        for service in &config.services {
            let index = self.service_queue_for(service, &config);
            self.configure_service(now, dispatch_time, index, service);
        }
        self.configure_quotas(now, &config);
        if config.tenants.is_some() && !std::mem::replace(&mut self.shards.are_used, true) {
            self.shards_may_move(now);
        }
        self.config = Some(config);
        self.invalidate_token_holders();
        self.reschedule_all(now);
    }

    /// Returns the index of a service's queue, creating the queue if there is none.
    fn service_queue_for(&mut self, service: &Service, config: &Config) -> usize {
        if let Some(index) = self.service_queue_index.get(&service.name) {
            return *index;
        }
        let routes = config.routes.iter().filter(|route| config.services[route.service].name == service.name);
        let run_target_ms =
            routes.map(|route| route.completion_target_ms).min().unwrap_or(DEFAULT_RUN_TARGET_MS);
        let seed = self.settings.seed ^ name_hash(&service.name);
        let service_queue =
            ServiceQueue::new(&service.name, self.settings.zone, INITIAL_STORE_COUNT, run_target_ms, seed);
        self.service_queues.push(service_queue);
        let index = self.service_queues.len() - 1;
        self.service_queue_index.insert(service.name.clone(), index);
        index
    }

    fn configure_service(&mut self, now: Millis, dispatch_time: Time, index: usize, service: &Service) {
        let service_queue = &mut self.service_queues[index];
        service_queue.max_connections = service.max_connections.max(1) as usize;
        service_queue.has_fixed_endpoint = service.endpoint.is_some();
        let limit = RateLimit {
            rate_per_s: service.rate_limit_per_s,
            window_ms: self.settings.rate_window_ms,
            tolerance: self.settings.rate_tolerance,
        };
        match &mut service_queue.token_bucket {
            Some(bucket) if limit.rate_per_s > 0.0 => bucket.set_limit(limit),
            bucket => *bucket = (limit.rate_per_s > 0.0).then(|| TokenBucket::new(now, limit)),
        }
        match service.endpoint {
            Some(address) => {
                let endpoint = fixed_endpoint(address, self.settings.zone);
                service_queue.set_executors(dispatch_time, now, &[endpoint]);
            }
            None => {
                let executors = self.executors.get(&service.name).map_or(&[][..], Vec::as_slice);
                service_queue.set_executors(dispatch_time, now, executors);
            }
        }
    }

    /// Looks up the routes of all messages again: another service may be responsible, or none, and the time that a
    /// message may wait may differ. For messages read from disk the route was not known before.
    fn reschedule_all(&mut self, now: Millis) {
        let waiting = self.keys_where(|entry| entry.stage == Stage::Waiting);
        self.awaiting_config.clear();
        for key in waiting {
            self.unschedule(key);
            self.schedule(now, key);
        }
        for key in self.keys_where(|entry| entry.end.is_none()) {
            self.update_expiry(key);
        }
    }

    fn keys_where(&self, predicate: impl Fn(&Entry) -> bool) -> Vec<Key> {
        self.entries.iter().filter(|(_, entry)| predicate(entry)).map(|(key, _)| *key).collect()
    }

    /// Sets the executors of all services, by the service's name.
    pub fn set_executors(
        &mut self,
        now: Millis,
        dispatch_time: Time,
        executors: HashMap<String, Vec<Executor>>,
    ) {
        for service_queue in &mut self.service_queues {
            if service_queue.has_fixed_endpoint {
                continue;
            }
            let former = self.executors.get(&service_queue.name);
            let current = executors.get(&service_queue.name);
            if former != current {
                service_queue.set_executors(dispatch_time, now, current.map_or(&[], Vec::as_slice));
            }
        }
        self.executors = executors;
    }

    /// Takes the log lines that the dispatchers have written since the last call.
    pub fn take_dispatch_log(&mut self) -> Vec<String> {
        self.service_queues.iter_mut().flat_map(ServiceQueue::take_log).collect()
    }
}

/// Creates the only executor of a service with one configured address. It has no identity to confirm.
fn fixed_endpoint(address: SocketAddrV4, zone: usize) -> Executor {
    Executor {
        id: String::new(),
        address,
        zone,
        capacity: FIXED_ENDPOINT_CAPACITY,
        is_serving: true,
        warm_up_left_ms: 0,
    }
}
