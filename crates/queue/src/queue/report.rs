//! What the queue tells operators of itself. It goes through all entries: for one who asks now and then, not for the loop.

use super::token_holders::holder_of;
use super::{Queue, Stage};
use crate::message::{End, Key, Millis, Node};
use crate::service_queue::Repeats;

#[derive(Clone, Debug)]
pub struct ServiceView {
    pub name: String,
    pub waiting: usize,
    pub out: usize,
    /// By how much the first in the queue is past its due time.
    pub oldest_ms: Millis,
    /// Executor, its share, and requests that are out there.
    pub shares: Vec<(String, f64, usize)>,
    /// Repeats that wait among these, and what went out so far.
    pub repeats_waiting: usize,
    pub repeats: Repeats,
    /// Rate a second, who hands out the tokens, and whether that is this store.
    pub ceiling: Option<(f64, Node, bool)>,
}

/// Messages by their stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stages {
    pub landing: usize,
    pub held: usize,
    pub waiting: usize,
    pub out: usize,
    pub copy: usize,
    pub ended: usize,
    /// Ended ones of this store whose call-back has not been taken.
    pub owed: usize,
    /// By how much the oldest one of this store that has not ended is past its due time.
    pub oldest_ms: Millis,
}

#[derive(Clone, Debug)]
pub struct MessageView {
    pub id: String,
    pub owner: Node,
    pub copies: Vec<Node>,
    pub term: u32,
    pub stage: Stage,
    pub tries: u32,
    /// Negative where it is past.
    pub due_in_ms: i64,
    pub expires_in_ms: i64,
    /// Time of day; nought where that is not kept any more.
    pub taken: u64,
    pub config: u64,
    pub bytes: usize,
    pub end: Option<End>,
    pub owed: bool,
}

impl Queue {
    pub fn services(&self, now: Millis) -> Vec<ServiceView> {
        let view = |service_queue: &crate::service_queue::ServiceQueue| {
            let rate = self.config.as_ref().and_then(|config| {
                Some(config.services[config.service(&service_queue.name)?].rate_limit_per_s)
                    .filter(|rate| *rate > 0.0)
            });
            ServiceView {
                name: service_queue.name.clone(),
                waiting: service_queue.waiting(),
                out: service_queue.sent.len(),
                oldest_ms: service_queue
                    .ready
                    .iter()
                    .chain(&service_queue.again)
                    .map(|turn| now.saturating_sub(turn.2))
                    .max()
                    .unwrap_or(0),
                shares: service_queue.shares(),
                repeats_waiting: service_queue.again.len(),
                repeats: service_queue.repeats,
                ceiling: rate.map(|rate| {
                    let here = service_queue.bucket.as_ref().is_some_and(|bucket| bucket.holds());
                    (rate, holder_of(&service_queue.name, self.terms.me, &self.peers), here)
                }),
            }
        };
        self.service_queues.iter().map(view).collect()
    }

    pub fn stages(&self, now: Millis) -> Stages {
        let mut all = Stages::default();
        for entry in self.entries.values() {
            let own = entry.owner == self.terms.me;
            match entry.stage {
                Stage::Landing => all.landing += 1,
                Stage::Held => all.held += 1,
                Stage::Waiting => all.waiting += 1,
                Stage::Out => all.out += 1,
                Stage::Copy => all.copy += 1,
                Stage::Ended => all.ended += 1,
            }
            all.owed += usize::from(own && entry.owed);
            if own && entry.end.is_none() {
                all.oldest_ms = all.oldest_ms.max(now.saturating_sub(entry.due));
            }
        }
        all
    }

    pub fn view(&self, now: Millis, key: Key) -> Option<MessageView> {
        let entry = self.entries.get(&key)?;
        let from_now = |at: Millis| i64::try_from(at).unwrap_or(i64::MAX).saturating_sub(now as i64);
        Some(MessageView {
            id: entry.message.id.clone(),
            owner: entry.owner,
            copies: entry.copies.clone(),
            term: entry.term,
            stage: entry.stage,
            tries: entry.tries,
            due_in_ms: from_now(entry.due),
            expires_in_ms: from_now(entry.expires),
            taken: entry.message.accepted_at_ms,
            config: entry.message.config_revision,
            bytes: entry.message.body.len(),
            end: entry.end.clone(),
            owed: entry.owed,
        })
    }

    /// How long past its due time a message is that goes out for the first time here.
    pub fn first_wait(&self, now: Millis, key: Key) -> Option<Millis> {
        let entry = self.entries.get(&key).filter(|e| e.fails == 0 && e.tries == 0)?;
        Some(now.saturating_sub(entry.due))
    }

    /// Other stores: whether connected, a member, about to end.
    pub fn stores(&self) -> impl Iterator<Item = (Node, bool, bool, bool)> + '_ {
        self.peers.iter().map(|(node, p)| (*node, p.connected, p.listed, p.leaving))
    }
}
