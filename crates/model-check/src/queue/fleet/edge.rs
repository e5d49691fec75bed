//! The edge: it offers each message to one store after the other, until one has accepted it.

use super::{Event, Fleet, Sent};
use stileroute_queue::{Key, Millis, PutError};

/// A word between the edge and a store takes so long.
pub(super) const EDGE: Millis = 1;
/// So long an edge waits for a store.
const PATIENCE: Millis = 400;

impl Fleet {
    /// One store after the other, and none twice.
    pub(super) fn offer(&mut self, sent: usize) {
        let stores = self.stores.len();
        let m = &self.messages[sent];
        let able = |at: &usize| {
            let store = &self.stores[*at];
            !m.tried.contains(at) && store.queue.is_some() && store.leaving.is_none()
        };
        let next = (0..stores).map(|k| (m.first + k) % stores).find(able);
        let Some(to) = next else {
            let unclear = m.unclear;
            self.messages[sent].asked = 0;
            self.messages[sent].refused = !unclear;
            return self.supersede(sent);
        };
        self.serial += 1;
        let asked = self.serial;
        let m = &mut self.messages[sent];
        m.tried.push(to);
        m.asked = asked;
        self.at(EDGE, Event::Put { sent, to, asked });
        self.at(PATIENCE, Event::Impatient { sent, asked });
    }

    pub(super) fn not_said(&mut self, sent: usize, asked: u64) {
        if self.messages[sent].asked == asked && self.messages[sent].key.is_none() {
            self.messages[sent].unclear = true;
            self.offer(sent);
        }
    }

    /// Of one that was offered to several stores all are told which one is kept.
    fn supersede(&mut self, sent: usize) {
        if self.messages[sent].unclear {
            (0..self.stores.len()).for_each(|to| self.at(EDGE, Event::Superseded { to, sent }));
        }
    }

    pub(super) fn said(&mut self, sent: usize, asked: u64, result: Result<String, PutError>) {
        let m = &mut self.messages[sent];
        if m.asked != asked || m.key.is_some() {
            return;
        }
        match result {
            Ok(name) => {
                m.key = Key::parse(&name).map(|location| location.key);
                m.asked = 0;
                self.told(|| format!("message {sent} is accepted as {name}"));
                self.supersede(sent);
            }
            Err(refusal) => {
                m.unclear |= refusal == PutError::Uncertain;
                self.offer(sent);
            }
        }
    }

    pub(super) fn put(&mut self, sent: usize, to: usize, asked: u64) {
        if self.stores[to].queue.is_none() {
            return self.not_said(sent, asked);
        }
        self.serial += 1;
        let ticket = self.serial;
        self.askers.insert((to, ticket), (sent, asked));
        let message = self.messages[sent].message.clone();
        self.with(to, None, |queue, now| queue.put(now, ticket, message));
    }

    pub(super) fn tell_again(&mut self, to: usize) {
        let answered = |m: &Sent| m.unclear && (m.key.is_some() || m.asked == 0);
        let all: Vec<usize> = (0..self.messages.len()).filter(|at| answered(&self.messages[*at])).collect();
        all.into_iter().for_each(|sent| self.at(EDGE, Event::Superseded { to, sent }));
    }
}
