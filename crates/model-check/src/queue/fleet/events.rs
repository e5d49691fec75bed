//! The step loop: what is due first, and what a store wants done.

use super::edge::EDGE_DELAY;
use super::{Event, Execution, Fleet, FIRST_MESSAGE_AT};
use crate::queue::stores::{Store, Writing, START_TIME_MS};
use stileroute_queue::{AttemptOutcome, Effect, Key, Millis, Queue};

/// A record that is waited for is on disk after so long, another later.
const SYNC_DELAY: Millis = 3;
const UNSYNCED_DELAY: Millis = 200;
/// An attempt takes the executor so long.
const ATTEMPT_TIME: Millis = 20;
/// An attempt that fails, does so after that.
const FAILED_ATTEMPT_TIME: Millis = 600;
/// After the last trouble it goes on for so long at least, and at most.
const MIN_CALM: Millis = 7000;
const MAX_CALM: Millis = 25_000;

impl Fleet {
    /// The next thing that is due.
    pub fn step(&mut self) {
        self.touched = None;
        let timer = |store: &Store| {
            store
                .queue
                .as_ref()
                .map(|queue| store.started_at.saturating_add(queue.next_deadline()).max(store.frozen_until))
        };
        let due = self.stores.iter().enumerate().filter_map(|(at, store)| Some((timer(store)?, at))).min();
        let due = due.map(|(when, at)| (when.max(self.now + 1), at));
        let event = self.events.keys().next().map(|(when, _)| *when);
        match (event, due) {
            (Some(when), due) if due.is_none_or(|(timer, _)| when <= timer) => {
                self.now = when;
                if let Some((_, event)) = self.events.pop_first() {
                    self.handle(event);
                }
            }
            (_, Some((when, at))) => {
                self.now = when;
                self.run_turn(at);
            }
            _ => self.is_over = true,
        }
        self.visible_steps += u32::from(self.touched.is_some());
        self.breach = self.breach.take().or_else(|| self.check());
        self.end_after_calm();
    }

    fn end_after_calm(&mut self) {
        let last = self.fault_periods.iter().map(|(_, to)| *to).max().unwrap_or(0).max(FIRST_MESSAGE_AT);
        if self.now > last + MIN_CALM && self.now > last + MAX_CALM {
            self.breach = self.breach.take().or_else(|| self.check_after_calm());
            self.is_over = true;
        }
        self.is_over |= self.now > last + MIN_CALM && self.is_settled();
    }

    /// Who is to see to it: it waits while that one stands still.
    fn target(event: &Event) -> Option<usize> {
        match event {
            Event::PeerMessage { to, .. } | Event::Put { to, .. } | Event::Superseded { to, .. } => Some(*to),
            Event::WriteCompleted { at, .. }
            | Event::AttemptEnded { at, .. }
            | Event::CallbackEnded { at, .. }
            | Event::Retire { at }
            | Event::ConfigurationTold { at }
            | Event::PeerLost { at, .. } => Some(*at),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(thaw) =
            Fleet::target(&event).map(|at| self.stores[at].frozen_until).filter(|at| *at > self.now)
        {
            return self.at(thaw - self.now, event);
        }
        match event {
            Event::PeerMessage { from, to, link } => self.message_arrived(from, to, link),
            Event::WriteCompleted { at, life, serial } => self.write_completed(at, life, serial),
            Event::Offer { sent } => {
                self.messages[sent].message.accepted_at_ms = START_TIME_MS + self.now;
                self.offer(sent);
            }
            Event::Put { sent, to, asked } => self.put(sent, to, asked),
            Event::PutAnswered { sent, asked, result } => self.put_answered(sent, asked, result),
            Event::EdgeTimeout { sent, asked } => self.edge_timed_out(sent, asked),
            Event::Superseded { to, sent } => {
                let m = &self.messages[sent];
                let (id, print, kept) = (m.message.id.clone(), m.message.fingerprint(), m.key);
                self.call(to, None, |queue, _| queue.drop_superseded(&id, print, kept));
            }
            Event::AttemptEnded { at, life, attempt, run, outcome } => {
                let reads = self.stores[at].incarnation == life && self.stores[at].queue.is_some();
                if reads && matches!(outcome, AttemptOutcome::Completed { .. }) {
                    self.executions[run].read_at = Some(self.now);
                }
                self.call(at, Some(life), |queue, now| {
                    queue.attempt_ended(now, now as i64 * 10, attempt, outcome, None)
                });
            }
            Event::CallbackEnded { at, life, key } => {
                self.call(at, Some(life), |queue, now| queue.callback_ended(now, key, true))
            }
            Event::Retire { at } => self.call(at, None, Queue::retire),
            Event::Remove { at, life } => self.remove(at, life),
            Event::Start { at } => self.start(at),
            Event::ConfigurationTold { at } => self.tell_configuration(at),
            Event::Connect { a, b } => self.connect(a, b),
            Event::Disconnect { a, b, link } => self.disconnect(a, b, link),
            Event::PeerLost { at, other, life } => {
                let other = self.stores[other].node;
                self.call(at, Some(life), |queue, now| queue.peer_disconnected(now, other));
            }
            // Until the control nodes have been heard again it knows that it may be cut off.
            Event::Thaw { at, life } => {
                self.call(at, Some(life), |queue, _| {
                    (queue.control_contact.is_reachable, queue.control_contact.session_may_have_lapsed) =
                        (false, true)
                });
                self.resend_superseded(at);
            }
            Event::ControlLost { at, life, heard } => {
                if self.stores[at].is_isolated {
                    self.call(at, Some(life), |queue, _| {
                        (queue.control_contact.is_reachable, queue.control_contact.session_may_have_lapsed) =
                            (heard, true)
                    });
                }
            }
            Event::IsolationEnds { at } => {
                self.stores[at].is_isolated = false;
                self.at(100, Event::MembersTold);
            }
            Event::SessionLapses { at, life } => {
                if self.stores[at].incarnation == life {
                    self.stores[at].is_member = false;
                    self.tell_members();
                }
            }
            Event::MembersTold => {
                let now = self.now;
                self.stores.iter_mut().for_each(|s| s.is_member |= s.runs(now) && !s.is_isolated);
                self.tell_members();
            }
        }
    }

    pub(super) fn effect(&mut self, at: usize, effect: Effect) {
        let life = self.stores[at].incarnation;
        match effect {
            Effect::Persist { ticket, records, sync, .. } => {
                let disk = &mut self.stores[at].disk;
                let records = records.iter().filter_map(|bytes| postcard::from_bytes(bytes).ok()).collect();
                let serial = disk.first_serial + disk.in_flight.len() as u64;
                disk.in_flight.push_back(Writing { ticket, records });
                self.at(
                    if sync { SYNC_DELAY } else { UNSYNCED_DELAY },
                    Event::WriteCompleted { at, life, serial },
                );
                self.touch(at);
            }
            Effect::Send { to, message: note } => self.send(at, to, note),
            Effect::PutResult { ticket, result } => {
                if let Some((sent, asked)) = self.askers.remove(&(at, ticket)) {
                    self.at(EDGE_DELAY, Event::PutAnswered { sent, asked, result });
                    self.touch(at);
                }
            }
            Effect::StartAttempt { attempt, key, .. } => self.deliver(at, attempt, key),
            Effect::CallBack { key, .. } => self.at(6, Event::CallbackEnded { at, life, key }),
        }
    }

    pub(super) fn touch(&mut self, at: usize) {
        self.touched = Some(at);
    }

    fn deliver(&mut self, at: usize, attempt: u64, key: Key) {
        let id = self.stores[at].queue.as_ref().and_then(|queue| Some(queue.message(key)?.id.clone()));
        let Some(sent) = self.messages.iter().position(|m| Some(&m.message.id) == id.as_ref()) else {
            return;
        };
        self.breach = self.breach.take().or_else(|| self.check_start(at, key));
        let (life, run) = (self.stores[at].incarnation, self.executions.len());
        let seen = self.executions.iter().any(|run| run.message == sent);
        let m = &self.messages[sent];
        let fails = m.fails_at_first && !seen;
        let (after, outcome) = match (fails, m.is_rejected_by_executor) {
            (true, _) => (FAILED_ATTEMPT_TIME, AttemptOutcome::NoResponse),
            (false, true) => (ATTEMPT_TIME, AttemptOutcome::Rejected),
            (false, false) => (ATTEMPT_TIME, AttemptOutcome::Completed { seal: "s".to_string() }),
        };
        self.trace_line(|| format!("{at} starts message {sent}: {outcome:?}"));
        self.executions.push(Execution {
            message: sent,
            started_at: self.now,
            ended_at: self.now + after,
            ends_message: !fails,
            read_at: None,
        });
        self.at(after, Event::AttemptEnded { at, life, attempt, run, outcome });
        self.touch(at);
    }
}
