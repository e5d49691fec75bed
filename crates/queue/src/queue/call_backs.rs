//! Call-backs: a queue for each receiver, with few connections, and longer pauses after failures.

use super::completion::TELL;
use super::{Effect, Queue};
use crate::message::{End, Key, Millis};
use crate::record::Record;

/// Connections to one receiver of call-backs from here.
const CALLS: usize = 4;

/// And from all stores together.
const RECEIVER: usize = 48;

/// Host and port of a URL.
fn receiver(url: &str) -> String {
    let rest = url.strip_prefix("http://").unwrap_or(url);
    rest.split('/').next().unwrap_or_default().to_string()
}

fn quoted(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

impl Queue {
    pub(crate) fn queue_callback(&mut self, key: Key) {
        let Some(url) = self.entries.get(&key).and_then(|e| e.message.callback_url.as_deref()) else {
            return;
        };
        let place = receiver(url);
        self.callback_receivers.entry(place).or_default().queue.push_back(key);
    }

    pub(super) fn start_callbacks(&mut self, now: Millis) -> Millis {
        let mut next = Millis::MAX;
        let mut out = Vec::new();
        // A receiver takes few connections from all stores together, and resets what is beyond: with many stores each has less.
        let calls = (RECEIVER / (1 + self.peers.values().filter(|p| p.is_member).count())).clamp(1, CALLS);
        for (place, receiver) in &mut self.callback_receivers {
            // One that fails is tried with one call at a time, and less and less often.
            let most = if receiver.consecutive_failures > 0 { 1 } else { calls };
            while receiver.in_flight < most && !receiver.queue.is_empty() {
                if now < receiver.not_before {
                    next = next.min(receiver.not_before);
                    break;
                }
                let Some(key) = receiver.queue.pop_front() else { break };
                let entry =
                    self.entries.get(&key).filter(|e| e.callback_pending && e.owner == self.settings.node);
                let entry = entry.filter(|_| !self.callbacks_in_flight.contains_key(&key));
                let Some((entry, end)) = entry.and_then(|e| Some((e, e.end.as_ref()?))) else { continue };
                receiver.in_flight += 1;
                self.callbacks_in_flight.insert(key, place.clone());
                let id = &entry.message.id;
                let body = match end {
                    End::Complete { seal } => {
                        format!("{{\"id\":{},\"state\":\"complete\",\"seal\":{}}}", quoted(id), quoted(seal))
                    }
                    End::Failed => format!("{{\"id\":{},\"state\":\"failed\",\"seal\":null}}", quoted(id)),
                };
                out.push((key, entry.message.callback_url.clone().unwrap_or_default(), body));
            }
        }
        self.metrics.callbacks_started += out.len() as u64;
        self.effects.extend(out.into_iter().map(|(key, url, body)| Effect::CallBack { key, url, body }));
        next
    }

    /// A call-back came to its end.
    pub fn callback_ended(&mut self, now: Millis, key: Key, taken: bool) {
        let Some(place) = self.callbacks_in_flight.remove(&key) else { return };
        let receiver = self.callback_receivers.entry(place).or_default();
        receiver.in_flight = receiver.in_flight.saturating_sub(1);
        if !taken {
            receiver.consecutive_failures += 1;
            receiver.not_before = now + (50 << receiver.consecutive_failures.min(6)).min(2000);
            receiver.queue.push_back(key);
            return;
        }
        receiver.consecutive_failures = 0;
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_some()) else { return };
        entry.callback_pending = false;
        entry.discard_content();
        let copies = entry.replicas.clone();
        self.reindex(key);
        self.metrics.callbacks_delivered += 1;
        self.record(&Record::CallbackDelivered { key }, false);
        copies.into_iter().for_each(|to| self.outbox(to).callbacks_delivered.push(key));
        self.flush_ends_at.get_or_insert(now + TELL);
    }
}
