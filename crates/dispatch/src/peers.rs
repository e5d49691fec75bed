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
    pub fn new(terms: &Terms, parts: usize, tenants: usize) -> Peers {
        let (allowed, me, nodes) = (terms.peers, terms.me, terms.nodes);
        Peers { allowed, me, nodes, parts, tenants, ..Peers::default() }
    }

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
mod tests {
    use super::*;

    fn peers(me: usize) -> Peers {
        let mut peers = Peers::new(&Terms { peers: true, me, nodes: 4, ..Terms::default() }, 1, 2);
        (0..300).for_each(|x| peers.lists(1000 + x as u64, x));
        peers
    }

    #[test]
    fn what_is_told_is_heard_and_what_is_lost_is_made_good() {
        let (mut one, mut two) = (peers(0), peers(1));
        let tell = |one: &mut Peers, now: Time, held: f64| {
            one.changed(7, None);
            one.changed(9, Some(1));
            one.due(now, 1000, &[2.5, 0.0], |x| (1000 + x as u64, held)).remove(0).text
        };
        let first = tell(&mut one, 2 * SECOND, 2.0);
        assert_eq!(two.heard(2 * SECOND, 0, &first), [News::Held(7, 2.0), News::Barred(9, 1)]);
        assert_eq!(two.rate(0, 0.5), Some(6.0), "the mean of both, for four");
        assert!(one.due(2 * SECOND + 900, 1000, &[], |_| (0, 0.0)).is_empty(), "not so often");
        let lost = tell(&mut one, 3 * SECOND, 5.0);
        assert!(!lost.is_empty());
        assert_eq!(two.heard(4 * SECOND, 0, &tell(&mut one, 4 * SECOND, 1.0))[0], News::Held(7, -1.0));
        assert_eq!(two.forget(10 * SECOND), []);
        assert_eq!(two.forget(11 * SECOND), [News::Held(7, -1.0)], "who is silent holds nothing");
        assert_eq!((two.rate(0, 0.5), two.garbled), (None, 0));
    }

    #[test]
    fn a_message_stays_under_its_most_and_the_rest_follows() {
        let mut one = peers(0);
        (0..200).for_each(|x| one.changed(x, None));
        let mut told = 0;
        for turn in 1..=3 {
            let letters = one.due(turn * SECOND, 1000, &[1.0, 1.0], |x| (1000 + x as u64, 1.0));
            assert!(letters[0].text.len() <= LONGEST);
            told += (letters[0].text.len() - 2 - 2 * usize::from(letters[0].text[1])) / 3;
        }
        assert_eq!(told, 200);
    }

    #[test]
    fn bad_messages_are_counted_and_change_nothing() {
        let cases: [(usize, &[u8]); 9] = [
            (0, &[]),
            (0, &[VERSION]),
            (0, &[VERSION + 1, 0]),
            (0, &[VERSION, 0, 1]),
            (0, &[VERSION, 1, 0, 0]),
            (0, &[VERSION, 2, 0, 0]),
            (1, &[VERSION, 0]),
            (4, &[VERSION, 0]),
            (0, &[VERSION; 257]),
        ];
        for (from, text) in cases {
            let mut two = peers(1);
            assert!(two.heard(SECOND, from, text).is_empty() && two.garbled == 1, "{from}: {text:?}");
        }
        let mut off = Peers::new(&Terms { nodes: 4, ..Terms::default() }, 1, 0);
        assert!(off.heard(SECOND, 1, &[VERSION, 0]).is_empty() && off.garbled == 1, "not allowed");
        // An executor that the list has not named, and a category that there is not, are the receiver's to leave.
        let mut two = peers(1);
        assert_eq!(two.heard(SECOND, 0, &[VERSION, 0, 0, 0, 5]), []);
        assert_eq!(two.garbled, 0);
    }
}
