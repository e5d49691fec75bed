//! The rules for control nodes: what they read back, what they acknowledge, and what they say with no contact to the others.

use super::{Judge, Rule};
use crate::history::{Answered, Ask, Content, Isolation, Micros, Order, Read, Sent, SECOND};
use crate::operator::NO_ROUND;
use std::collections::{HashMap, HashSet};

/// The lease of a primary has ended so long after its isolation began: 0.9 s, and what a message may have been under way.
const LEASE_ENDED: Micros = SECOND * 3 / 2;

/// A store may meet a slow disk so long before or after the recorder does: each writes at moments of its own.
const NEAR_SLOW_WRITE: Micros = SECOND / 5;

type Found = Vec<(Rule, Micros, String)>;

impl Judge<'_> {
    pub(super) fn control(&mut self) {
        let mut found = Found::new();
        self.reads_against_acknowledged(&mut found);
        self.reads_against_reads(&mut found);
        self.contents(&mut found);
        self.denials(&mut found);
        for isolation in &self.history.isolations {
            self.answers_in_isolation(isolation, &mut found);
            self.messages_in_isolation(isolation, &mut found);
        }
        found.into_iter().for_each(|(rule, at, what)| self.add(rule, at, what));
    }

    /// What was acknowledged before a read began, or a higher version, is read back, in bytes that were sent.
    fn reads_against_acknowledged(&self, found: &mut Found) {
        for read in &self.history.reads {
            let acked = self.versions.iter().filter(|v| v.acked.is_some_and(|at| at <= read.at));
            let floor = acked.map(|v| v.number).max().unwrap_or(0);
            let who = &read.control;
            match read.version {
                None => found.push((Rule::Split, read.at, format!("{who} reads back what nobody sent"))),
                Some(version) if version < floor => {
                    let what = format!("{who} reads back {version}, {floor} was acknowledged");
                    found.push((Rule::Split, read.at, what));
                }
                Some(_) => {}
            }
        }
    }

    /// Nobody goes back a version that somebody has read, and those of one round agree.
    fn reads_against_reads(&self, found: &mut Found) {
        let newer = |read: &Read, other: &Read| {
            let later = other.answered_at <= read.at;
            let round = other.round == read.round && read.round != NO_ROUND;
            (later || round) && other.version > read.version
        };
        for read in self.history.reads.iter().filter(|read| read.version.is_some()) {
            let Some(other) = self.history.reads.iter().find(|other| newer(read, other)) else { continue };
            let (version, higher) = (read.version.unwrap_or(0), other.version.unwrap_or(0));
            let what = format!("{} reads back {version}, {} {higher}", read.control, other.control);
            found.push((Rule::Split, read.at, what));
        }
    }

    /// Under one number one content is in force, and nobody is told that another one is.
    fn contents(&self, found: &mut Found) {
        let mut held: HashMap<u64, &Read> = HashMap::new();
        for read in &self.history.reads {
            let Some(version) = read.version else { continue };
            let first = held.entry(version).or_insert(read);
            if first.content != read.content {
                let what = format!(
                    "{} and {} read back different contents of version {version}",
                    first.control, read.control
                );
                found.push((Rule::Split, read.at, what));
            }
        }
        let numbers: HashMap<Content, u64> =
            self.versions.iter().map(|version| (Content::of(&version.body), version.number)).collect();
        for order in self.history.orders.iter().filter(|order| order.applied == Some(true)) {
            let Ask::Replace(content) = order.ask else { continue };
            let Some((number, read)) = numbers.get(&content).and_then(|n| Some((n, held.get(n)?))) else {
                continue;
            };
            if read.content != content {
                let what = format!(
                    "{} says that version {number} is applied, {} reads back another content",
                    order.control, read.control
                );
                found.push((Rule::Applied, order.answered_at, what));
            }
        }
    }

    /// An order that was acknowledged is acknowledged again, or left without a clear answer.
    fn denials(&self, found: &mut Found) {
        let mut acknowledged: HashMap<&Ask, Micros> = HashMap::new();
        for order in self.history.orders.iter().filter(|o| o.status == Some(200) && is_change(o)) {
            let first = acknowledged.entry(&order.ask).or_insert(order.answered_at);
            *first = order.answered_at.min(*first);
        }
        for order in &self.history.orders {
            let Some(before) = acknowledged.get(&order.ask).filter(|at| **at <= order.at) else { continue };
            if let Some(status @ 400..=499) = order.status {
                let ms = (order.at - before) / 1000;
                let what = format!(
                    "{} answers {status} to {:?}, acknowledged {ms} ms before",
                    order.control, order.ask
                );
                found.push((Rule::Denied, order.at, what));
            }
        }
    }

    /// From its lease's end on an isolated node says nothing as current. A draining that it acknowledges is for the rule of
    /// drains, which an isolation does not excuse.
    fn answers_in_isolation(&self, isolation: &Isolation, found: &mut Found) {
        let within = |order: &&Order| {
            let (begun, ended) = (isolation.from + LEASE_ENDED, isolation.to);
            order.control == isolation.control && order.at >= begun && order.answered_at <= ended
        };
        let mut kinds = HashSet::new();
        let orders = self.history.orders.iter().filter(within);
        for order in orders.filter(|order| !matches!(order.ask, Ask::Draining(_))) {
            let Some(status @ 0..=499) = order.status else { continue };
            // One of a kind tells it all.
            if kinds.insert((std::mem::discriminant(&order.ask), status)) {
                let ms = (order.at - isolation.from) / 1000;
                let what = format!(
                    "{} answers {status} to {:?}, {ms} ms after it lost contact",
                    order.control, order.ask
                );
                found.push((Rule::Stale, order.at, what));
            }
        }
    }

    /// Messages are taken throughout.
    fn messages_in_isolation(&self, isolation: &Isolation, found: &mut Found) {
        let within = |sent: &&Sent| sent.at >= isolation.from && sent.at <= isolation.to;
        let turned = |sent: &&Sent| self.turned_away(sent);
        let all: Vec<&Sent> = self.history.sent.iter().filter(within).filter(turned).collect();
        if let Some(first) = all.iter().min_by_key(|sent| sent.at) {
            let what = format!(
                "{}: edge {} answered {:?}, one of {}",
                first.id,
                first.edge + 1,
                first.answered,
                all.len()
            );
            found.push((Rule::Shut, first.at, what));
        }
    }

    /// With no fault of any machine near. 404 is for the rule of versions, a connection closed between two requests for that
    /// of cuts.
    fn turned_away(&self, sent: &Sent) -> bool {
        let turned = match sent.answered {
            Answered::Status(202 | 404) => false,
            Answered::Cut => sent.idle.is_none(),
            _ => true,
        };
        turned && self.calm(sent.at, sent.answered_at) && !self.is_for_slow_disk(sent)
    }

    /// Stores that can't write in time turn messages away, as they should: with 503, and 502 where one of them may have it.
    fn is_for_slow_disk(&self, sent: &Sent) -> bool {
        let is_near = |(begin, end): &(Micros, Micros)| {
            *begin <= sent.answered_at + NEAR_SLOW_WRITE && sent.at <= *end + NEAR_SLOW_WRITE
        };
        let is_refusal = matches!(sent.answered, Answered::Status(502 | 503));
        is_refusal && self.history.slow_writes.iter().any(is_near)
    }
}

fn is_change(order: &Order) -> bool {
    matches!(order.ask, Ask::Replace(_) | Ask::Retire(_))
}
