//! The edge: it offers each message to one store after the other, until one has accepted it.

use super::{Event, Fleet, SubmittedMessage};
use stileroute_queue::{Key, Millis, PutError};

/// A word between the edge and a store takes so long.
pub(super) const EDGE_DELAY: Millis = 1;
/// So long an edge waits for a store.
const EDGE_TIMEOUT: Millis = 400;

impl Fleet {
    /// One store after the other, and none twice.
    pub(super) fn offer(&mut self, sent: usize) {
        let stores = self.stores.len();
        let m = &self.messages[sent];
        let able = |at: &usize| {
            let store = &self.stores[*at];
            !m.tried_stores.contains(at) && store.queue.is_some() && store.draining_since.is_none()
        };
        let next = (0..stores).map(|k| (m.first_store + k) % stores).find(able);
        let Some(to) = next else {
            let unclear = m.is_uncertain;
            self.messages[sent].pending_put = 0;
            self.messages[sent].is_refused = !unclear;
            return self.supersede(sent);
        };
        self.serial += 1;
        let asked = self.serial;
        let m = &mut self.messages[sent];
        m.tried_stores.push(to);
        m.pending_put = asked;
        self.at(EDGE_DELAY, Event::Put { sent, to, asked });
        self.at(EDGE_TIMEOUT, Event::EdgeTimeout { sent, asked });
    }

    pub(super) fn edge_timed_out(&mut self, sent: usize, asked: u64) {
        if self.messages[sent].pending_put == asked && self.messages[sent].key.is_none() {
            self.messages[sent].is_uncertain = true;
            self.offer(sent);
        }
    }

    /// Of one that was offered to several stores all are told which one is kept.
    fn supersede(&mut self, sent: usize) {
        // Of those with an idempotency key the stores themselves decide it.
        let has_key = self.messages[sent].message.idempotency_key.is_some();
        if self.messages[sent].is_uncertain && !has_key {
            (0..self.stores.len()).for_each(|to| self.at(EDGE_DELAY, Event::Superseded { to, sent }));
        }
    }

    pub(super) fn put_answered(&mut self, sent: usize, asked: u64, result: Result<String, PutError>) {
        let m = &mut self.messages[sent];
        if m.pending_put == 0 || m.key.is_some() {
            return;
        }
        match result {
            // Whichever store it is that answers: it may have been given up since.
            Ok(name) => {
                m.key = Key::parse(&name).map(|location| location.key);
                m.pending_put = 0;
                self.trace_line(|| format!("message {sent} is accepted as {name}"));
                self.supersede(sent);
            }
            Err(refusal) => {
                m.is_uncertain |= refusal == PutError::Uncertain;
                if m.pending_put == asked {
                    self.offer(sent);
                }
            }
        }
    }

    pub(super) fn put(&mut self, sent: usize, to: usize, asked: u64) {
        if self.stores[to].queue.is_none() {
            return self.edge_timed_out(sent, asked);
        }
        self.serial += 1;
        let ticket = self.serial;
        self.askers.insert((to, ticket), (sent, asked));
        let message = self.messages[sent].message.clone();
        if self.messages[sent].is_uncertain {
            self.call(to, None, |queue, now| queue.put_resubmitted(now, ticket, message));
        } else {
            self.call(to, None, |queue, now| queue.put(now, ticket, message));
        }
    }

    pub(super) fn resend_superseded(&mut self, to: usize) {
        let answered = |m: &SubmittedMessage| {
            let has_key = m.message.idempotency_key.is_some();
            !m.is_forgotten && !has_key && m.is_uncertain && (m.key.is_some() || m.pending_put == 0)
        };
        let all: Vec<usize> = (0..self.messages.len()).filter(|at| answered(&self.messages[*at])).collect();
        all.into_iter().for_each(|sent| self.at(EDGE_DELAY, Event::Superseded { to, sent }));
    }

    /// The edge loses power: clients learn nothing of what it had not answered, and it tells stores nothing of what it had.
    pub fn lose_edge(&mut self) {
        for message in &mut self.messages {
            message.is_forgotten |= !message.tried_stores.is_empty();
            if message.pending_put != 0 {
                message.pending_put = 0;
                message.is_uncertain = true;
            }
        }
    }
}
