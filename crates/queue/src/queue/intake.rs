//! Taking a message: its copies are chosen, and it is answered for once all of its disks have it.

use super::{Effect, Entry, Queue, Stage, Waits};
use crate::message::{Key, Message, Millis, Node, PutError, ReplicatedMessage};
use crate::peer_message::AcceptedHandover;
use crate::planted::PlantedFault;
use crate::record::Record;

/// Messages that are kept for others to pick up at the most.
const MOST: usize = 400_000;

/// A disk that has not answered for so long stands still, for all that is known.
const STALLED: Millis = 120;

impl Queue {
    /// A message from an edge.
    pub fn put(&mut self, now: Millis, ticket: u64, message: Message) {
        let copies = self.choose(now, &[], &[], self.terms.losses);
        if self.leaving || self.stalled(now) || copies.len() < self.terms.losses || self.entries.len() >= MOST
        {
            self.figures.refused += 1;
            self.effects.push(Effect::Taken { ticket, result: Err(PutError::Rejected) });
            return;
        }
        self.next_number += 1;
        let key = Key { origin: self.terms.me, number: self.next_number };
        let due_in = message.delay_ms;
        let shared = ReplicatedMessage {
            key,
            owner: self.terms.me,
            replicas: copies.clone(),
            due_in_ms: due_in,
            message,
            ..ReplicatedMessage::default()
        };
        let mut entry = Entry::of(&shared, now);
        entry.stage = Stage::Landing;
        entry.ticket = Some(ticket);
        entry.missing = std::iter::once(self.terms.me).chain(copies.iter().copied()).collect();
        let look = now + crate::copies::COPY_WAIT;
        entry.landing = Some(look);
        self.entries.insert(key, entry);
        self.landing.insert((look, key));
        self.file(key);
        self.expiry(key);
        if self.put_in_row(now, key) {
            self.embark(key, now);
        }
    }

    /// The disk does not answer: what is taken now would wait behind what it has. Another store takes it in time.
    pub(crate) fn stalled(&self, now: Millis) -> bool {
        self.writing.first_key_value().is_some_and(|(_, since)| now > since + STALLED)
    }

    /// The disk has answered.
    pub fn kept(&mut self, now: Millis, ticket: u64, ok: bool) {
        self.writing.remove(&ticket);
        for wait in self.waits.remove(&ticket).unwrap_or_default() {
            match (wait, ok) {
                (Waits::Retire, ok) => {
                    self.retire_kept = ok;
                    // Not on disk it would be forgotten: the operator asks again.
                    self.retiring = ok;
                }
                (Waits::EndOf(from, key), true) => self.to(from).ends_kept.push(key),
                // It is sent again.
                (Waits::EndOf(..), false) => self.figures.no_disk += 1,
                (Waits::Own(key), true) => self.safe_at(now, key, self.terms.me),
                (Waits::Own(key), false) => {
                    self.figures.no_disk += 1;
                    self.undo(key);
                }
                (Waits::CopyOf(from, key), true) => self.to(from).copied.push(key),
                (Waits::CopyOf(from, key), false) => {
                    self.figures.no_disk += 1;
                    // Only what it wrote for the sender: it may own the message by now.
                    if self.entries.get(&key).is_some_and(|e| e.stage == Stage::Copy && e.owner == from) {
                        self.record(&Record::Dropped { key }, false);
                        self.remove(key);
                        self.to(from).not_copied.push(key);
                    }
                }
                // With a disk that refuses, too: the message lies on both disks, and the one that gave it
                // away says on both restarts who owns it. Without a word the other would wait until its time
                // is over.
                (Waits::HandedBy(from, key), ok) => {
                    self.figures.no_disk += u64::from(!ok);
                    let term = self.entries.get(&key).filter(|e| e.owner == self.terms.me).map(|e| e.term);
                    if let Some(term) = term {
                        self.to(from).handed.push(AcceptedHandover { key, term });
                    }
                }
            }
        }
    }

    /// Not safe here: it is taken back everywhere, and its client is told that nothing is known.
    pub(crate) fn undo(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key).filter(|e| e.stage == Stage::Landing) else { return };
        let (ticket, copies) = (entry.ticket, entry.copies.clone());
        self.record(&Record::Dropped { key }, false);
        copies.into_iter().for_each(|to| self.to(to).drop.push(key));
        self.remove(key);
        self.uncertain(ticket);
    }

    pub(crate) fn safe_at(&mut self, now: Millis, key: Key, node: Node) {
        let early = self.planted(PlantedFault::EarlyAnswer) && node == self.terms.me;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let was = entry.missing.len();
        entry.missing.retain(|missing| *missing != node && !early);
        if entry.stage != Stage::Landing && was > entry.missing.len() && entry.missing.is_empty() {
            self.figures.repaired += 1;
            return self.look_at_copies(now, key);
        }
        if entry.stage != Stage::Landing || !entry.missing.is_empty() {
            return;
        }
        entry.stage = Stage::Waiting;
        let (ticket, copy, look) = (entry.ticket.take(), entry.copies.first().copied(), entry.landing.take());
        look.map(|at| self.landing.remove(&(at, key)));
        if let Some(ticket) = ticket {
            self.figures.taken += 1;
            self.effects.push(Effect::Taken { ticket, result: Ok(key.to_text(copy)) });
        }
        self.schedule(now, key);
    }

    /// It may run or not: its edge is told so, for nothing better can be said.
    pub(crate) fn uncertain(&mut self, ticket: Option<u64>) {
        if let Some(ticket) = ticket {
            self.figures.uncertain += 1;
            self.effects.push(Effect::Taken { ticket, result: Err(PutError::Uncertain) });
        }
    }
}
