//! The step loop: what is due first, and what a store wants done.

use super::edge::EDGE;
use super::{Event, Fleet, Run, BEGIN};
use crate::queue::stores::{Store, Writing, WALL};
use stileroute_queue::{AttemptOutcome, Effect, Key, Millis, Queue};

/// A record that is waited for is on disk after so long, another later.
const DISK: Millis = 3;
const LAZY: Millis = 200;
/// An attempt takes the executor so long.
const RUN: Millis = 20;
/// An attempt that fails, does so after that.
const FAILS_AFTER: Millis = 600;
/// After the last trouble it goes on for so long at least, and at most.
const CALM: Millis = 7000;
const LATEST: Millis = 25_000;

impl Fleet {
    /// The next thing that is due.
    pub fn step(&mut self) {
        self.touched = None;
        let timer = |store: &Store| {
            store
                .queue
                .as_ref()
                .map(|queue| store.began.saturating_add(queue.next_deadline()).max(store.frozen))
        };
        let due = self.stores.iter().enumerate().filter_map(|(at, store)| Some((timer(store)?, at))).min();
        let due = due.map(|(when, at)| (when.max(self.now + 1), at));
        let event = self.events.keys().next().map(|(when, _)| *when);
        match (event, due) {
            (Some(when), due) if due.is_none_or(|(timer, _)| when <= timer) => {
                self.now = when;
                if let Some((_, event)) = self.events.pop_first() {
                    self.happen(event);
                }
            }
            (_, Some((when, at))) => {
                self.now = when;
                self.choice(at);
            }
            _ => self.over = true,
        }
        self.busy += u32::from(self.touched.is_some());
        self.breach = self.breach.take().or_else(|| self.look());
        self.end_after_calm();
    }

    fn end_after_calm(&mut self) {
        let last = self.troubles.iter().map(|(_, to)| *to).max().unwrap_or(0).max(BEGIN);
        if self.now > last + CALM && self.now > last + LATEST {
            self.breach = self.breach.take().or_else(|| self.look_at_calm());
            self.over = true;
        }
        self.over |= self.now > last + CALM && self.settled();
    }

    /// Who is to see to it: it waits while that one stands still.
    fn target(event: &Event) -> Option<usize> {
        match event {
            Event::PeerMessage { to, .. } | Event::Put { to, .. } | Event::Superseded { to, .. } => Some(*to),
            Event::Synced { at, .. }
            | Event::Done { at, .. }
            | Event::Called { at, .. }
            | Event::Retire { at }
            | Event::Listen { at }
            | Event::Down { at, .. } => Some(*at),
            _ => None,
        }
    }

    fn happen(&mut self, event: Event) {
        if let Some(thaw) = Fleet::target(&event).map(|at| self.stores[at].frozen).filter(|at| *at > self.now)
        {
            return self.at(thaw - self.now, event);
        }
        match event {
            Event::PeerMessage { from, to, link } => self.arrive(from, to, link),
            Event::Synced { at, life, serial } => self.synced(at, life, serial),
            Event::Offer { sent } => {
                self.messages[sent].message.accepted_at_ms = WALL + self.now;
                self.offer(sent);
            }
            Event::Put { sent, to, asked } => self.put(sent, to, asked),
            Event::Said { sent, asked, result } => self.said(sent, asked, result),
            Event::Impatient { sent, asked } => self.not_said(sent, asked),
            Event::Superseded { to, sent } => {
                let m = &self.messages[sent];
                let (id, print, kept) = (m.message.id.clone(), m.message.fingerprint(), m.key);
                self.with(to, None, |queue, _| queue.drop_superseded(&id, print, kept));
            }
            Event::Done { at, life, attempt, run, outcome } => {
                let reads = self.stores[at].life == life && self.stores[at].queue.is_some();
                if reads && matches!(outcome, AttemptOutcome::Completed { .. }) {
                    self.runs[run].read = Some(self.now);
                }
                self.with(at, Some(life), |queue, now| {
                    queue.attempt_ended(now, now as i64 * 10, attempt, outcome, None)
                });
            }
            Event::Called { at, life, key } => {
                self.with(at, Some(life), |queue, now| queue.callback_ended(now, key, true))
            }
            Event::Retire { at } => self.with(at, None, Queue::retire),
            Event::Vanish { at, life } => self.vanish(at, life),
            Event::Start { at } => self.start(at),
            Event::Listen { at } => self.listen(at),
            Event::Up { a, b } => self.link_up(a, b),
            Event::Broken { a, b, link } => self.broken(a, b, link),
            Event::Down { at, other, life } => {
                let other = self.stores[other].node;
                self.with(at, Some(life), |queue, now| queue.peer_disconnected(now, other));
            }
            // Until the control nodes have been heard again it knows that it may be cut off.
            Event::Thaw { at, life } => {
                self.with(at, Some(life), |queue, _| {
                    (queue.control_contact.is_heard, queue.control_contact.session_may_have_lapsed) =
                        (false, true)
                });
                self.tell_again(at);
            }
            Event::Deaf { at, life, heard } => {
                if self.stores[at].off {
                    self.with(at, Some(life), |queue, _| {
                        (queue.control_contact.is_heard, queue.control_contact.session_may_have_lapsed) =
                            (heard, true)
                    });
                }
            }
            Event::Heard { at } => {
                self.stores[at].off = false;
                self.at(100, Event::Members);
            }
            Event::Lapse { at, life } => {
                if self.stores[at].life == life {
                    self.stores[at].listed = false;
                    self.members();
                }
            }
            Event::Members => {
                let now = self.now;
                self.stores.iter_mut().for_each(|s| s.listed |= s.runs(now) && !s.off);
                self.members();
            }
        }
    }

    pub(super) fn effect(&mut self, at: usize, effect: Effect) {
        let life = self.stores[at].life;
        match effect {
            Effect::Persist { ticket, records, sync } => {
                let disk = &mut self.stores[at].disk;
                let records = records.iter().filter_map(|bytes| postcard::from_bytes(bytes).ok()).collect();
                let serial = disk.first_serial + disk.writing.len() as u64;
                disk.writing.push_back(Writing { ticket, records });
                self.at(if sync { DISK } else { LAZY }, Event::Synced { at, life, serial });
                self.touch(at);
            }
            Effect::Send { to, message: note } => self.send(at, to, note),
            Effect::PutResult { ticket, result } => {
                if let Some((sent, asked)) = self.askers.remove(&(at, ticket)) {
                    self.at(EDGE, Event::Said { sent, asked, result });
                    self.touch(at);
                }
            }
            Effect::StartAttempt { attempt, key, .. } => self.deliver(at, attempt, key),
            Effect::CallBack { key, .. } => self.at(6, Event::Called { at, life, key }),
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
        self.breach = self.breach.take().or_else(|| self.look_at_start(at, key));
        let (life, run) = (self.stores[at].life, self.runs.len());
        let seen = self.runs.iter().any(|run| run.sent == sent);
        let m = &self.messages[sent];
        let fails = m.fails_first && !seen;
        let (after, outcome) = match (fails, m.refuses) {
            (true, _) => (FAILS_AFTER, AttemptOutcome::NoResponse),
            (false, true) => (RUN, AttemptOutcome::Rejected),
            (false, false) => (RUN, AttemptOutcome::Completed { seal: "s".to_string() }),
        };
        self.told(|| format!("{at} starts message {sent}: {outcome:?}"));
        self.runs.push(Run { sent, at: self.now, over: self.now + after, ends: !fails, read: None });
        self.at(after, Event::Done { at, life, attempt, run, outcome });
        self.touch(at);
    }
}
