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
    pub(crate) fn owe(&mut self, key: Key) {
        let Some(url) = self.entries.get(&key).and_then(|e| e.message.callback_url.as_deref()) else {
            return;
        };
        let place = receiver(url);
        self.receivers.entry(place).or_default().queue.push_back(key);
    }

    pub(super) fn call_back(&mut self, now: Millis) -> Millis {
        let mut next = Millis::MAX;
        let mut out = Vec::new();
        // A receiver takes few connections from all stores together, and resets what is beyond: with many stores each has less.
        let calls = (RECEIVER / (1 + self.peers.values().filter(|p| p.listed).count())).clamp(1, CALLS);
        for (place, receiver) in &mut self.receivers {
            // One that fails is tried with one call at a time, and less and less often.
            let most = if receiver.fails > 0 { 1 } else { calls };
            while receiver.out < most && !receiver.queue.is_empty() {
                if now < receiver.pause {
                    next = next.min(receiver.pause);
                    break;
                }
                let Some(key) = receiver.queue.pop_front() else { break };
                let entry = self.entries.get(&key).filter(|e| e.owed && e.owner == self.terms.me);
                let entry = entry.filter(|_| !self.calling.contains_key(&key));
                let Some((entry, end)) = entry.and_then(|e| Some((e, e.end.as_ref()?))) else { continue };
                receiver.out += 1;
                self.calling.insert(key, place.clone());
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
        self.figures.calls += out.len() as u64;
        self.effects.extend(out.into_iter().map(|(key, url, body)| Effect::Call { key, url, body }));
        next
    }

    /// A call-back came to its end.
    pub fn called(&mut self, now: Millis, key: Key, taken: bool) {
        let Some(place) = self.calling.remove(&key) else { return };
        let receiver = self.receivers.entry(place).or_default();
        receiver.out = receiver.out.saturating_sub(1);
        if !taken {
            receiver.fails += 1;
            receiver.pause = now + (50 << receiver.fails.min(6)).min(2000);
            receiver.queue.push_back(key);
            return;
        }
        receiver.fails = 0;
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_some()) else { return };
        entry.owed = false;
        entry.strip();
        let copies = entry.copies.clone();
        self.file(key);
        self.figures.called += 1;
        self.record(&Record::CallbackDelivered { key }, false);
        copies.into_iter().for_each(|to| self.to(to).called.push(key));
        self.ends_at.get_or_insert(now + TELL);
    }
}
