//! Callbacks to the senders of messages: each receiver has its own queue and few connections, and a backoff after
//! failures.

use super::completion::END_BATCH_INTERVAL_MS;
use super::Queue;
use crate::effect::Effect;
use crate::message::{End, Key, Millis};
use crate::record::Record;
use std::collections::{HashMap, VecDeque};

/// Maximum number of connections from one store to one receiver.
const MAX_CALLS_PER_STORE: usize = 4;

/// Maximum number of connections from all stores together to one receiver, which resets connections beyond that.
const MAX_CALLS_PER_RECEIVER: usize = 48;

/// Base of the pause after failures of a receiver, in milliseconds. The pause after the first failure is twice this.
const BACKOFF_BASE_MS: Millis = 50;

/// Maximum pause after failures of a receiver, in milliseconds. The pause doubles with each failure up to this.
const BACKOFF_LIMIT_MS: Millis = 2000;

/// Callbacks that wait, and those in flight.
#[derive(Debug, Default)]
pub(super) struct Callbacks {
    receivers: HashMap<String, Receiver>,
    /// Callbacks in flight, with their receiver. When a callback ends, its message may already have been removed from
    /// the table.
    in_flight: HashMap<Key, String>,
}

/// One receiver of callbacks.
#[derive(Debug, Default)]
struct Receiver {
    in_flight: usize,
    consecutive_failures: u32,
    not_before: Millis,
    queue: VecDeque<Key>,
}

/// Host and port of a URL. Callbacks to the same host and port share a queue.
fn receiver_of(url: &str) -> &str {
    let rest = url.strip_prefix("http://").unwrap_or(url);
    rest.split('/').next().unwrap_or_default()
}

/// Encodes a text as a JSON string.
fn json_string(text: &str) -> String {
    let mut json = String::with_capacity(text.len() + 2);
    json.push('"');
    for c in text.chars() {
        match c {
            '"' => json.push_str("\\\""),
            '\\' => json.push_str("\\\\"),
            control if (control as u32) < 0x20 => json.push_str(&format!("\\u{:04x}", control as u32)),
            other => json.push(other),
        }
    }
    json.push('"');
    json
}

fn callback_body(id: &str, end: &End) -> String {
    let id = json_string(id);
    match end {
        End::Complete { seal } => {
            format!("{{\"id\":{id},\"state\":\"complete\",\"seal\":{}}}", json_string(seal))
        }
        End::Failed => format!("{{\"id\":{id},\"state\":\"failed\",\"seal\":null}}"),
    }
}

impl Queue {
    /// Adds the callback of an ended message to its receiver's queue.
    pub(crate) fn queue_callback(&mut self, key: Key) {
        let Some(url) = self.entries.get(&key).and_then(|entry| entry.message.callback_url.as_deref()) else {
            return;
        };
        let receiver = receiver_of(url).to_string();
        self.callbacks.receivers.entry(receiver).or_default().queue.push_back(key);
    }

    /// Starts the callbacks that may start now. Returns the time at which the next one may start.
    pub(super) fn start_callbacks(&mut self, now: Millis) -> Millis {
        let stores = 1 + self.peers.values().filter(|peer| peer.is_member).count();
        let max_calls = (MAX_CALLS_PER_RECEIVER / stores).clamp(1, MAX_CALLS_PER_STORE);
        let mut next_start = Millis::MAX;
        for (name, receiver) in &mut self.callbacks.receivers {
            // A failing receiver gets only one callback at a time, with increasing pauses.
            let max_calls = if receiver.consecutive_failures > 0 { 1 } else { max_calls };
            while receiver.in_flight < max_calls && !receiver.queue.is_empty() {
                if now < receiver.not_before {
                    next_start = next_start.min(receiver.not_before);
                    break;
                }
                let Some(key) = receiver.queue.pop_front() else { break };
                if self.callbacks.in_flight.contains_key(&key) {
                    continue;
                }
                let pending = self
                    .entries
                    .get(&key)
                    .filter(|entry| entry.callback_pending && entry.owner == self.settings.node);
                let Some((entry, end)) = pending.and_then(|entry| Some((entry, entry.end.as_ref()?))) else {
                    continue;
                };
                receiver.in_flight += 1;
                self.callbacks.in_flight.insert(key, name.clone());
                self.metrics.callbacks_started += 1;
                let url = entry.message.callback_url.clone().unwrap_or_default();
                let body = callback_body(&entry.message.id, end);
                self.effects.push(Effect::CallBack { key, url, body });
            }
        }
        next_start
    }

    /// Handles the result of an [`Effect::CallBack`]: `is_accepted` says whether the receiver answered with success.
    pub fn callback_ended(&mut self, now: Millis, key: Key, is_accepted: bool) {
        let Some(name) = self.callbacks.in_flight.remove(&key) else { return };
        let receiver = self.callbacks.receivers.entry(name).or_default();
        receiver.in_flight = receiver.in_flight.saturating_sub(1);
        if !is_accepted {
            receiver.consecutive_failures += 1;
            let backoff = (BACKOFF_BASE_MS << receiver.consecutive_failures.min(6)).min(BACKOFF_LIMIT_MS);
            receiver.not_before = now + backoff;
            receiver.queue.push_back(key);
            return;
        }
        receiver.consecutive_failures = 0;
        self.callback_delivered(now, key);
    }

    fn callback_delivered(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.end.is_some()) else { return };
        entry.callback_pending = false;
        entry.discard_content();
        let replicas = entry.replicas.clone();
        self.reindex(key);
        self.metrics.callbacks_delivered += 1;
        self.record(&Record::CallbackDelivered { key }, false);
        self.track_end(key);
        for replica in replicas {
            self.outbox(replica).callbacks_delivered.push(key);
        }
        self.flush_ends_at.get_or_insert(now + END_BATCH_INTERVAL_MS);
    }
}
