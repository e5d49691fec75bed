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
const BARRED: u8 = 128;
/// Rates are told so often.
const RATES: Time = 2 * SECOND;
/// A peer that said nothing for so long holds nothing.
const FORGET: Time = 6 * SECOND;

/// What a message says of an executor, by its index here.
#[derive(Debug, PartialEq)]
pub enum News {
    /// So many more slots are held there by the peer than it told before.
    Held(usize, f64),
    /// The peer barred this category there.
    Barred(usize, usize),
}

/// What a peer told last: when, its tenants' rates, and the slots that it holds.
#[derive(Default)]
struct Peer {
    at: Time,
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
    parts: usize,
    tenants: usize,
    peers: BTreeMap<usize, Peer>,
    /// Executors by what messages call them.
    marks: BTreeMap<u16, usize>,
    /// What has changed since peers were told.
    news: Vec<(usize, Option<usize>)>,
    told: Time,
    rated: Time,
    /// Bad messages so far.
    pub garbled: u64,
}

impl Peers {
    /// The peers of an instance, none of which has told anything yet.
    pub fn new(terms: &Terms, parts: usize, tenants: usize) -> Peers {
        let (allowed, me, nodes) = (terms.peers, terms.me, terms.nodes);
        Peers { allowed, me, nodes, parts, tenants, ..Peers::default() }
    }

    /// The list has named an executor: messages call it by its mark.
    pub fn lists(&mut self, mark: u64, executor: usize) {
        self.marks.insert(mark as u16, executor);
    }

    /// Slots held at an executor have changed, or a category was barred there.
    pub fn changed(&mut self, executor: usize, barred: Option<usize>) {
        if self.allowed {
            self.news.push((executor, barred));
        }
    }

    /// The messages that are due, `every` so often at most; `of` tells an executor's mark and the slots held there.
    pub fn due(
        &mut self,
        now: Time,
        every: Time,
        rates: &[f64],
        of: impl Fn(usize) -> (u64, f64),
    ) -> Vec<Letter> {
        let rated = now >= self.rated + RATES;
        if !self.allowed || now < self.told + every || (self.news.is_empty() && !rated) {
            return Vec::new();
        }
        self.told = now;
        let rates = if rated { rates } else { &[] };
        self.rated = if rated { now } else { self.rated };
        self.news.sort_unstable();
        self.news.dedup();
        let mut text = vec![VERSION, rates.len() as u8];
        for rate in rates {
            text.extend(((rate * 10.0).min(65_535.0) as u16).to_le_bytes());
        }
        // What has no room waits for the next.
        let room = (LONGEST - text.len()) / 3;
        for (executor, barred) in self.news.drain(..self.news.len().min(room)) {
            let (mark, held) = of(executor);
            text.extend((mark as u16).to_le_bytes());
            text.push(barred.map_or((held as u8).min(BARRED - 1), |category| BARRED | category as u8));
        }
        if self.parts == 1 {
            return vec![Letter { to: None, text }];
        }
        let peers = (self.me % self.parts..self.nodes).step_by(self.parts).filter(|peer| *peer != self.me);
        peers.map(|peer| Letter { to: Some(peer), text: text.clone() }).collect()
    }

    /// Takes in a message. Executors that the own list has not named are left out: nothing may be sent there.
    pub fn heard(&mut self, now: Time, from: usize, text: &[u8]) -> Vec<News> {
        let known = self.allowed && from < self.nodes && from != self.me;
        let rates = 2 * text.get(1).map_or(0, |rates| usize::from(*rates));
        let whole = text.len() >= 2 + rates && (text.len() - 2 - rates).is_multiple_of(3);
        let fits = text.len() <= LONGEST && (rates == 0 || rates == 2 * self.tenants);
        if !known || !whole || !fits || text[0] != VERSION {
            self.garbled += 1;
            return Vec::new();
        }
        let (rates, entries) = text[2..].split_at(rates);
        let peer = self.peers.entry(from).or_default();
        peer.at = now;
        if !rates.is_empty() {
            let rate = |two: &[u8]| f64::from(u16::from_le_bytes([two[0], two[1]])) / 10.0;
            peer.rates = rates.chunks(2).map(rate).collect();
        }
        let mut news = Vec::with_capacity(entries.len() / 3);
        for entry in entries.chunks(3) {
            let Some(&executor) = self.marks.get(&u16::from_le_bytes([entry[0], entry[1]])) else { continue };
            news.push(if entry[2] >= BARRED {
                News::Barred(executor, usize::from(entry[2] - BARRED))
            } else {
                let before = peer.held.insert(executor, entry[2]).unwrap_or(0);
                News::Held(executor, f64::from(entry[2]) - f64::from(before))
            });
        }
        news
    }

    /// What peers held that have said nothing for long: they are gone, or cut off.
    pub fn forget(&mut self, now: Time) -> Vec<News> {
        let mut news = Vec::new();
        self.peers.retain(|_, peer| {
            let stays = now <= peer.at + FORGET;
            if !stays {
                news.extend(
                    peer.held.iter().map(|(executor, held)| News::Held(*executor, -f64::from(*held))),
                );
            }
            stays
        });
        news
    }

    /// A tenant's rate over all instances, as far as this one and its peers tell; none where nobody told.
    pub fn rate(&self, tenant: usize, own: f64) -> Option<f64> {
        let told = self.peers.values().filter_map(|peer| peer.rates.get(tenant));
        let (sum, count) = told.fold((own, 1), |(sum, count), rate| (sum + rate, count + 1));
        (count > 1).then_some(sum / f64::from(count) * self.nodes as f64)
    }
}

#[cfg(test)]
mod tests;
