//! The configuration and the lists of executors, as the control nodes give them.

use super::{Queue, Stage};
use crate::message::{Key, Millis};
use crate::service_queue::{Executor, ServiceQueue};
use crate::tokens::Bucket;
use std::collections::HashMap;
use std::sync::Arc;
use stileroute_config::Config;
use stileroute_dispatch::types::Time;

impl Queue {
    /// A new configuration.
    pub fn configure(&mut self, now: Millis, fine: Time, config: Arc<Config>) {
        for service in &config.services {
            let at = match self.service_queue_index.get(&service.name) {
                Some(at) => *at,
                None => {
                    let target =
                        config.routes.iter().filter(|r| config.services[r.service].name == service.name);
                    let target = target.map(|r| r.completion_target_ms).min().unwrap_or(1000);
                    let seed = self.settings.seed ^ stileroute_dispatch::types::mark(&service.name);
                    self.service_queues.push(ServiceQueue::new(
                        &service.name,
                        self.settings.zone,
                        3,
                        target,
                        seed,
                    ));
                    self.service_queue_index.insert(service.name.clone(), self.service_queues.len() - 1);
                    self.service_queues.len() - 1
                }
            };
            let service_queue = &mut self.service_queues[at];
            service_queue.max_connections = service.max_connections.max(1) as usize;
            service_queue.has_fixed_endpoint = service.endpoint.is_some();
            let window =
                (service.rate_limit_per_s, self.settings.rate_window_ms, self.settings.rate_tolerance);
            match &mut service_queue.token_bucket {
                Some(bucket) if service.rate_limit_per_s > 0.0 => bucket.rated(window.0, window.1, window.2),
                bucket => {
                    *bucket = (service.rate_limit_per_s > 0.0)
                        .then(|| Bucket::new(now, window.0, window.1, window.2))
                }
            }
            let fixed = service.endpoint.map(|address| Executor {
                id: String::new(),
                address,
                zone: self.settings.zone,
                capacity: 8.0,
                is_serving: true,
                warm_up_left_ms: 0,
            });
            match fixed {
                Some(server) => service_queue.list(fine, now, &[server]),
                None => service_queue.list(
                    fine,
                    now,
                    self.executors.get(&service.name).map_or(&[], Vec::as_slice),
                ),
            }
        }
        self.config = Some(config);
        self.assign_token_holders(now);
        // What waits is looked at anew: its route may have another service, or be gone.
        let waiting: Vec<Key> =
            self.entries.iter().filter(|(_, e)| e.stage == Stage::Waiting).map(|(key, _)| *key).collect();
        self.awaiting_config.clear();
        for key in waiting {
            self.unschedule(key);
            self.schedule(now, key);
        }
        // So are the times that messages may wait: those read from disk did not know theirs.
        let live = self.entries.iter().filter(|(_, e)| e.end.is_none()).map(|(key, _)| *key);
        live.collect::<Vec<_>>().into_iter().for_each(|key| self.update_expiry(key));
    }

    pub fn config_revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// The executors of all services.
    pub fn set_executors(&mut self, now: Millis, fine: Time, servers: HashMap<String, Vec<Executor>>) {
        for service_queue in
            self.service_queues.iter_mut().filter(|service_queue| !service_queue.has_fixed_endpoint)
        {
            let (old, new) = (self.executors.get(&service_queue.name), servers.get(&service_queue.name));
            if old != new {
                service_queue.list(fine, now, new.map_or(&[], Vec::as_slice));
            }
        }
        self.executors = servers;
    }

    pub fn service_queue_loads(
        &self,
    ) -> impl Iterator<Item = (&str, usize, usize, Vec<(String, f64, usize)>)> {
        self.service_queues.iter().map(|l| (l.name.as_str(), l.waiting(), l.in_flight.len(), l.shares()))
    }

    pub fn take_dispatch_log(&mut self) -> Vec<String> {
        self.service_queues.iter_mut().flat_map(ServiceQueue::log).collect()
    }
}
