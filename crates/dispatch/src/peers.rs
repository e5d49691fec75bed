//! Messages between instances: their encoding, and the last state reported by each peer. No decision is made here.
//!
//! A message is a version byte, the number of tenants whose rates follow (none, or all), two bytes a rate (tenths of an
//! op a second), then entries of three bytes: the low 16 bits of the hash of an executor's name, and the slots that the
//! sender uses there or, with the top bit set, a category that it has blocked there. A message has 256 bytes at most.
//! The newest entry counts, and a lost one is made good by the next; a message that can't be decoded is counted and
//! dropped completely.

use crate::types::{InstanceSettings, OutgoingMessage, Time, SECOND};
use std::collections::BTreeMap;

const VERSION: u8 = 1;
/// Upper limit of a message's length, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;
const BLOCKED_BIT: u8 = 128;
/// Interval at which tenants' rates are sent to peers.
const RATE_REPORT_INTERVAL: Time = 2 * SECOND;
/// A peer that has sent nothing for this long is taken to use no slots.
const PEER_TIMEOUT: Time = 6 * SECOND;

/// What a message reports of an executor, which is named by its index at this instance.
#[derive(Debug, PartialEq)]
pub enum PeerUpdate {
    /// Change in the number of slots that the peer uses at the executor since its previous report.
    Held(usize, f64),
    /// The peer has blocked this category at the executor.
    Blocked(usize, usize),
}

/// The last state reported by a peer: its time, the tenants' rates, and the slots in use by executor.
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
    /// Instances whose numbers are equal modulo this are peers.
    partitions: usize,
    tenants: usize,
    peers: BTreeMap<usize, Peer>,
    /// Executors by the low 16 bits of the hash of their names, as messages name them.
    ids: BTreeMap<u16, usize>,
    /// Changes that have not been sent to peers yet.
    pending: Vec<(usize, Option<usize>)>,
    sent_at: Time,
    rates_sent_at: Time,
    /// Number of malformed messages so far.
    pub garbled: u64,
}

impl Peers {
    /// Creates the peers of an instance, none of which has reported anything yet.
    pub fn new(terms: &InstanceSettings, partitions: usize, tenants: usize) -> Peers {
        let (allowed, me, nodes) = (terms.peers, terms.me, terms.nodes);
        Peers { allowed, me, nodes, partitions, tenants, ..Peers::default() }
    }

    /// Adds an executor that the list has named, under the hash by which messages name it.
    pub fn add_executor(&mut self, name_hash: u64, executor: usize) {
        self.ids.insert(name_hash as u16, executor);
    }

    /// Records that the slots used at an executor have changed, or that a category was blocked there.
    pub fn record_change(&mut self, executor: usize, blocked: Option<usize>) {
        if self.allowed {
            self.pending.push((executor, blocked));
        }
    }

    /// The messages that are due, at most one per `interval`; `executor_state` gives the hash of an executor's name and
    /// the slots used there.
    pub fn due_messages(
        &mut self,
        now: Time,
        interval: Time,
        rates: &[f64],
        executor_state: impl Fn(usize) -> (u64, f64),
    ) -> Vec<OutgoingMessage> {
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
        // Entries that exceed the message's length wait for the next message.
        let capacity = (MAX_MESSAGE_BYTES - text.len()) / 3;
        for (executor, blocked) in self.pending.drain(..self.pending.len().min(capacity)) {
            let (name_hash, held) = executor_state(executor);
            text.extend((name_hash as u16).to_le_bytes());
            text.push(
                blocked.map_or((held as u8).min(BLOCKED_BIT - 1), |category| BLOCKED_BIT | category as u8),
            );
        }
        if self.partitions == 1 {
            return vec![OutgoingMessage { to: None, text }];
        }
        let peers =
            (self.me % self.partitions..self.nodes).step_by(self.partitions).filter(|peer| *peer != self.me);
        peers.map(|peer| OutgoingMessage { to: Some(peer), text: text.clone() }).collect()
    }

    /// Decodes a message. Entries for executors that this instance's own list has not named are dropped, as nothing may
    /// be sent there.
    pub fn receive(&mut self, now: Time, from: usize, text: &[u8]) -> Vec<PeerUpdate> {
        let known = self.allowed && from < self.nodes && from != self.me;
        let rates = 2 * text.get(1).map_or(0, |rates| usize::from(*rates));
        let complete = text.len() >= 2 + rates && (text.len() - 2 - rates).is_multiple_of(3);
        let fits = text.len() <= MAX_MESSAGE_BYTES && (rates == 0 || rates == 2 * self.tenants);
        if !known || !complete || !fits || text[0] != VERSION {
            self.garbled += 1;
            return Vec::new();
        }
        let (rates, entries) = text[2..].split_at(rates);
        let peer = self.peers.entry(from).or_default();
        peer.last_heard = now;
        if !rates.is_empty() {
            let rate = |bytes: &[u8]| f64::from(u16::from_le_bytes([bytes[0], bytes[1]])) / 10.0;
            peer.rates = rates.chunks(2).map(rate).collect();
        }
        let mut updates = Vec::with_capacity(entries.len() / 3);
        for entry in entries.chunks(3) {
            let Some(&executor) = self.ids.get(&u16::from_le_bytes([entry[0], entry[1]])) else { continue };
            updates.push(if entry[2] >= BLOCKED_BIT {
                PeerUpdate::Blocked(executor, usize::from(entry[2] - BLOCKED_BIT))
            } else {
                let before = peer.held.insert(executor, entry[2]).unwrap_or(0);
                PeerUpdate::Held(executor, f64::from(entry[2]) - f64::from(before))
            });
        }
        updates
    }

    /// Releases the slots of peers that have been silent past the time-out, because they stopped or are partitioned.
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

    /// A tenant's rate over all instances, estimated from this one and its peers; `None` if no peer has reported.
    pub fn rate(&self, tenant: usize, own: f64) -> Option<f64> {
        let reported = self.peers.values().filter_map(|peer| peer.rates.get(tenant));
        let (sum, count) = reported.fold((own, 1), |(sum, count), rate| (sum + rate, count + 1));
        (count > 1).then_some(sum / f64::from(count) * self.nodes as f64)
    }
}

#[cfg(test)]
mod tests;
