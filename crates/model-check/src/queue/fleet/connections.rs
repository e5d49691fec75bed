//! The connections between stores, and who is told of whom.

use super::{Event, Fleet};
use std::collections::{BTreeMap, VecDeque};
use stileroute_queue::{Millis, Node, PeerMessage};

/// A message between stores takes so long.
const NOTE: Millis = 2;

impl Fleet {
    pub(super) fn unlink(&mut self, a: usize, b: usize) {
        self.links.remove(&(a, b));
        self.wires.remove(&(a, b));
        self.wires.remove(&(b, a));
    }

    pub(super) fn send(&mut self, at: usize, to: Node, note: PeerMessage) {
        let Some(to) = self.stores.iter().position(|store| store.node == to) else { return };
        let Some(link) = self.links.get(&(at.min(to), at.max(to))).copied() else { return };
        let quiet = matches!(
            note,
            PeerMessage::Digests { .. }
                | PeerMessage::DiskId(_)
                | PeerMessage::Reconciled
                | PeerMessage::NoReplicasNeeded
        );
        self.told(|| format!("{at} to {to}: {note:?}"));
        self.wires.entry((at, to)).or_default().push_back(note);
        self.at(NOTE, Event::PeerMessage { from: at, to, link });
        if !quiet {
            self.touch(at);
        }
    }

    pub(super) fn arrive(&mut self, from: usize, to: usize, link: u64) {
        if self.links.get(&(from.min(to), from.max(to))) != Some(&link) {
            return;
        }
        let until = |table: &BTreeMap<(usize, usize), Millis>| table.get(&(from, to)).copied().unwrap_or(0);
        let until = until(&self.cuts).max(until(&self.late));
        if until > self.now {
            return self.at(until - self.now, Event::PeerMessage { from, to, link });
        }
        let Some(note) = self.wires.get_mut(&(from, to)).and_then(VecDeque::pop_front) else { return };
        let from = self.stores[from].node;
        self.with(to, None, |queue, now| queue.handle_peer_message(now, from, note));
    }

    pub(super) fn link_up(&mut self, a: usize, b: usize) {
        let pair = (a.min(b), a.max(b));
        let cut = |from, to| self.cuts.get(&(from, to)).is_some_and(|until| *until > self.now);
        let both = self.stores[a].runs(self.now) && self.stores[b].runs(self.now);
        if !both || cut(a, b) || cut(b, a) || self.links.contains_key(&pair) {
            return;
        }
        self.serial += 1;
        self.links.insert(pair, self.serial);
        for (x, y) in [(a, b), (b, a)] {
            let other = self.stores[y].node;
            self.with(x, None, |queue, now| {
                // As `crates/server/src/links.rs` has it: the end of the connection before is told first.
                if queue.peer_views().any(|peer| peer.node == other && peer.is_connected) {
                    queue.peer_disconnected(now, other);
                }
                queue.peer_connected(now, other);
            });
        }
    }

    pub(super) fn broken(&mut self, a: usize, b: usize, link: u64) {
        if self.links.get(&(a, b)).is_some_and(|other| *other != link) {
            return;
        }
        self.unlink(a, b);
        for (at, other) in [(a, b), (b, a)] {
            let life = self.stores[at].life;
            self.at(0, Event::Down { at, other, life });
        }
    }

    pub(super) fn members(&mut self) {
        let listed = self.stores.iter().enumerate().filter(|(_, store)| store.listed);
        let all: Vec<(Node, usize)> = listed.map(|(at, store)| (store.node, at)).collect();
        for at in 0..self.stores.len() {
            if self.stores[at].runs(self.now) && !self.stores[at].off {
                self.with(at, None, |queue, now| {
                    (queue.control_contact.is_heard, queue.control_contact.session_may_have_lapsed) =
                        (true, false);
                    queue.set_members(now, &all);
                });
            }
        }
    }
}
