//! Whether what a follower knows is of now: the mirror of the primary's lease.
//!
//! That a heartbeat has come says little: it may have waited while the process was frozen or the network held it, and a primary that
//! is cut off with a minority goes on unknown_leader. So a heartbeat says which ack of this node the primary has seen, if it holds the lease: the
//! heartbeat was sent after that ack was, and when that was this node knows by its own clock.

use crate::Millis;
use std::collections::VecDeque;

/// Acks that are remembered until a heartbeat names one: three seconds of them.
const ACKS: usize = 16;

#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    /// When the heartbeat was sent by the primary's clock, and the ack by the own one.
    acks: VecDeque<(Millis, Millis)>,
    since: Option<Millis>,
}

impl Contact {
    pub fn acked(&mut self, sent_at: Millis, now: Millis) {
        if self.acks.len() >= ACKS {
            self.acks.pop_front();
        }
        self.acks.push_back((sent_at, now));
    }

    /// A primary that holds the lease has seen the ack of the heartbeat that it sent then.
    pub fn confirmed(&mut self, sent_at: Millis) {
        while let Some((sent, at)) = self.acks.front().copied().filter(|(sent, _)| *sent <= sent_at) {
            self.acks.pop_front();
            if sent == sent_at {
                self.since = self.since.max(Some(at));
            }
        }
    }

    /// Another primary counts by another clock.
    pub fn other_primary(&mut self) {
        self.acks.clear();
    }

    pub fn within(&self, now: Millis, span: Millis) -> bool {
        self.since.is_some_and(|since| now < since + span)
    }
}
