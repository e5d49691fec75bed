//! The connections between stores, and who is told of whom.

use super::{Event, Fleet};
use std::collections::{BTreeMap, VecDeque};
use stileroute_queue::{Millis, Node, PeerMessage};

/// A message between stores takes so long.
const PEER_MESSAGE_DELAY: Millis = 2;

impl Fleet {
    pub(super) fn close_connection(&mut self, a: usize, b: usize) {
        self.connections.remove(&(a, b));
        self.in_flight.remove(&(a, b));
        self.in_flight.remove(&(b, a));
    }

    pub(super) fn send(&mut self, at: usize, to: Node, note: PeerMessage) {
        let Some(to) = self.stores.iter().position(|store| store.node == to) else { return };
        let Some(link) = self.connections.get(&(at.min(to), at.max(to))).copied() else { return };
        let quiet = matches!(
            &note,
            PeerMessage::Digests { .. }
                | PeerMessage::DiskId(_)
                | PeerMessage::Reconciled
                | PeerMessage::NoReplicasNeeded
        ) || note == PeerMessage::CallbacksDelivered(Vec::new());
        self.trace_line(|| format!("{at} to {to}: {note:?}"));
        self.in_flight.entry((at, to)).or_default().push_back(note);
        self.at(PEER_MESSAGE_DELAY, Event::PeerMessage { from: at, to, link });
        if !quiet {
            self.touch(at);
        }
    }

    pub(super) fn message_arrived(&mut self, from: usize, to: usize, link: u64) {
        if self.connections.get(&(from.min(to), from.max(to))) != Some(&link) {
            return;
        }
        let until = |table: &BTreeMap<(usize, usize), Millis>| table.get(&(from, to)).copied().unwrap_or(0);
        let until = until(&self.partitioned_until).max(until(&self.delayed_until));
        if until > self.now {
            return self.at(until - self.now, Event::PeerMessage { from, to, link });
        }
        let Some(note) = self.in_flight.get_mut(&(from, to)).and_then(VecDeque::pop_front) else { return };
        let from = self.stores[from].node;
        self.call(to, None, |queue, now| queue.handle_peer_message(now, from, note));
    }

    pub(super) fn connect(&mut self, a: usize, b: usize) {
        let pair = (a.min(b), a.max(b));
        let cut = |from, to| self.partitioned_until.get(&(from, to)).is_some_and(|until| *until > self.now);
        let both = self.stores[a].runs(self.now) && self.stores[b].runs(self.now);
        if !both || cut(a, b) || cut(b, a) || self.connections.contains_key(&pair) {
            return;
        }
        self.serial += 1;
        self.connections.insert(pair, self.serial);
        for (x, y) in [(a, b), (b, a)] {
            let other = self.stores[y].node;
            self.call(x, None, |queue, now| {
                // As `crates/server/src/links.rs` has it: the end of the connection before is told first.
                if queue.peer_views().any(|peer| peer.node == other && peer.is_connected) {
                    queue.peer_disconnected(now, other);
                }
                queue.peer_connected(now, other);
            });
        }
    }

    pub(super) fn disconnect(&mut self, a: usize, b: usize, link: u64) {
        if self.connections.get(&(a, b)).is_some_and(|other| *other != link) {
            return;
        }
        self.close_connection(a, b);
        for (at, other) in [(a, b), (b, a)] {
            let life = self.stores[at].incarnation;
            self.at(0, Event::PeerLost { at, other, life });
        }
    }

    pub(super) fn tell_members(&mut self) {
        let listed = self.stores.iter().enumerate().filter(|(_, store)| store.is_member);
        let all: Vec<(Node, usize)> = listed.map(|(at, store)| (store.node, at)).collect();
        for at in 0..self.stores.len() {
            if self.stores[at].runs(self.now) && !self.stores[at].is_isolated {
                self.call(at, None, |queue, now| {
                    (queue.control_contact.is_reachable, queue.control_contact.session_may_have_lapsed) =
                        (true, false);
                    queue.set_members(now, &all);
                });
            }
        }
    }
}
