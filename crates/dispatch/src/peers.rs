//! What instances tell one another: the form of a message, and what each peer told last. Nothing is decided here.
//!
//! A message is a version byte, the number of tenants whose rates follow (none, or all), two bytes a rate (tenths of
//! an op a second), then entries of three bytes: the low half of an executor's mark, and the slots that the sender
//! holds there or, with the top bit set, a category that it barred there. 256 bytes at most. The newest entry
//! counts and a lost one is made good by the next; what can't be read is counted and dropped whole.

use crate::types::{Letter, Terms, Time, SECOND};
use std::collections::BTreeMap;

const VERSION: u8 = 1;
/// The longest message.
pub const LONGEST: usize = 256;
const BLOCKED_BIT: u8 = 128;
/// Rates are told so often.
const RATE_REPORT_INTERVAL: Time = 2 * SECOND;
/// A peer that said nothing for so long holds nothing.
const PEER_TIMEOUT: Time = 6 * SECOND;

/// What a message says of an executor, by its index here.
#[derive(Debug, PartialEq)]
pub enum PeerUpdate {
    /// So many more slots are held there by the peer than it told before.
    Held(usize, f64),
    /// The peer barred this category there.
    Blocked(usize, usize),
}

/// What a peer told last: when, its tenants' rates, and the slots that it holds.
#[derive(Default)]
struct Peer {
    last_heard: Time,
    rates: Vec<f64>,
    held: BTreeMap<usize, u8>,
}

/// The peers of one instance.
#[derive(Default)]
pub struct Peers {
    allowed: bool,
    me: usize,
    nodes: usize,
    /// Instances of the same number modulo this are peers.
    partitions: usize,
    tenants: usize,
    peers: BTreeMap<usize, Peer>,
    /// Executors by what messages call them.
    index: BTreeMap<u16, usize>,
    /// What has changed since peers were told.
    pending: Vec<(usize, Option<usize>)>,
    sent_at: Time,
    rates_sent_at: Time,
    /// Bad messages so far.
    pub garbled: u64,
}

impl Peers {
    /// The peers of an instance, none of which has told anything yet.
    pub fn new(terms: &Terms, partitions: usize, tenants: usize) -> Peers {
        let (allowed, me, nodes) = (terms.peers, terms.me, terms.nodes);
        Peers { allowed, me, nodes, partitions, tenants, ..Peers::default() }
    }

    /// The list has named an executor: messages call it by its mark.
    pub fn add_executor(&mut self, mark: u64, executor: usize) {
        self.index.insert(mark as u16, executor);
    }

    /// Slots held at an executor have changed, or a category was barred there.
    pub fn record_change(&mut self, executor: usize, barred: Option<usize>) {
        if self.allowed {
            self.pending.push((executor, barred));
        }
    }

    /// The messages that are due, `every` so often at most; `of` tells an executor's mark and the slots held there.
    pub fn due_messages(
        &mut self,
        now: Time,
        interval: Time,
        rates: &[f64],
        executor_state: impl Fn(usize) -> (u64, f64),
    ) -> Vec<Letter> {
        let rates_sent_at = now >= self.rates_sent_at + RATE_REPORT_INTERVAL;
        if !self.allowed || now < self.sent_at + interval || (self.pending.is_empty() && !rates_sent_at) {
            return Vec::new();
        }
        self.sent_at = now;
        let rates = if rates_sent_at { rates } else { &[] };
        self.rates_sent_at = if rates_sent_at { now } else { self.rates_sent_at };
        self.pending.sort_unstable();
        self.pending.dedup();
        let mut text = vec![VERSION, rates.len() as u8];
        for rate in rates {
            text.extend(((rate * 10.0).min(65_535.0) as u16).to_le_bytes());
        }
        // What has no room waits for the next.
        let capacity = (LONGEST - text.len()) / 3;
        for (executor, barred) in self.pending.drain(..self.pending.len().min(capacity)) {
            let (mark, held) = executor_state(executor);
            text.extend((mark as u16).to_le_bytes());
            text.push(
                barred.map_or((held as u8).min(BLOCKED_BIT - 1), |category| BLOCKED_BIT | category as u8),
            );
        }
        if self.partitions == 1 {
            return vec![Letter { to: None, text }];
        }
        let peers =
            (self.me % self.partitions..self.nodes).step_by(self.partitions).filter(|peer| *peer != self.me);
        peers.map(|peer| Letter { to: Some(peer), text: text.clone() }).collect()
    }

    /// Takes in a message. Executors that the own list has not named are left out: nothing may be sent there.
    pub fn heard(&mut self, now: Time, from: usize, text: &[u8]) -> Vec<PeerUpdate> {
        let known = self.allowed && from < self.nodes && from != self.me;
        let rates = 2 * text.get(1).map_or(0, |rates| usize::from(*rates));
        let complete = text.len() >= 2 + rates && (text.len() - 2 - rates).is_multiple_of(3);
        let fits = text.len() <= LONGEST && (rates == 0 || rates == 2 * self.tenants);
        if !known || !complete || !fits || text[0] != VERSION {
            self.garbled += 1;
            return Vec::new();
        }
        let (rates, entries) = text[2..].split_at(rates);
        let peer = self.peers.entry(from).or_default();
        peer.last_heard = now;
        if !rates.is_empty() {
            let rate = |two: &[u8]| f64::from(u16::from_le_bytes([two[0], two[1]])) / 10.0;
            peer.rates = rates.chunks(2).map(rate).collect();
        }
        let mut updates = Vec::with_capacity(entries.len() / 3);
        for entry in entries.chunks(3) {
            let Some(&executor) = self.index.get(&u16::from_le_bytes([entry[0], entry[1]])) else {
                continue;
            };
            updates.push(if entry[2] >= BLOCKED_BIT {
                PeerUpdate::Blocked(executor, usize::from(entry[2] - BLOCKED_BIT))
            } else {
                let before = peer.held.insert(executor, entry[2]).unwrap_or(0);
                PeerUpdate::Held(executor, f64::from(entry[2]) - f64::from(before))
            });
        }
        updates
    }

    /// What peers held that have said nothing for long: they are gone, or cut off.
    pub fn expire_silent_peers(&mut self, now: Time) -> Vec<PeerUpdate> {
        let mut updates = Vec::new();
        self.peers.retain(|_, peer| {
            let stays = now <= peer.last_heard + PEER_TIMEOUT;
            if !stays {
                updates.extend(
                    peer.held.iter().map(|(executor, held)| PeerUpdate::Held(*executor, -f64::from(*held))),
                );
            }
            stays
        });
        updates
    }

    /// A tenant's rate over all instances, as far as this one and its peers tell; none where nobody told.
    pub fn rate(&self, tenant: usize, own: f64) -> Option<f64> {
        let reported = self.peers.values().filter_map(|peer| peer.rates.get(tenant));
        let (sum, count) = reported.fold((own, 1), |(sum, count), rate| (sum + rate, count + 1));
        (count > 1).then_some(sum / f64::from(count) * self.nodes as f64)
    }
}

#[cfg(test)]
mod tests;
