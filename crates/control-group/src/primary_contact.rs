//! How recently a backup was in contact with a primary that held the lease: the mirror of that lease.
//!
//! That a heartbeat arrives says little: it may have waited while the process was frozen or in the network, and a primary that
//! is partitioned with a minority goes on sending. So a primary that holds the lease says in each heartbeat which
//! acknowledgement of this node it has seen. The heartbeat was sent after that acknowledgement, and when that was this node
//! knows by its own clock.

use crate::Millis;
use std::collections::VecDeque;

/// How many acknowledgements are remembered until a heartbeat names one: about three seconds of them.
const MAX_REMEMBERED_ACKS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct SentAck {
    /// When the heartbeat was sent, by the primary's clock.
    heartbeat_sent_at: Millis,
    /// When it was acknowledged, by this node's clock.
    acked_at: Millis,
}

/// The acknowledgements that a primary has yet to confirm, and the last time of contact that it did confirm.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrimaryContact {
    unconfirmed: VecDeque<SentAck>,
    confirmed_at: Option<Millis>,
}

impl PrimaryContact {
    /// This node acknowledges a heartbeat.
    pub fn ack_sent(&mut self, heartbeat_sent_at: Millis, now: Millis) {
        if self.unconfirmed.len() >= MAX_REMEMBERED_ACKS {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back(SentAck { heartbeat_sent_at, acked_at: now });
    }

    /// A primary that holds the lease has seen the acknowledgement of the heartbeat that it sent at this time.
    pub fn ack_confirmed(&mut self, heartbeat_sent_at: Millis) {
        let is_due = |ack: &SentAck| ack.heartbeat_sent_at <= heartbeat_sent_at;
        while let Some(ack) = self.unconfirmed.front().copied().filter(is_due) {
            self.unconfirmed.pop_front();
            if ack.heartbeat_sent_at == heartbeat_sent_at {
                self.confirmed_at = self.confirmed_at.max(Some(ack.acked_at));
            }
        }
    }

    /// Another primary counts by another clock.
    pub fn primary_changed(&mut self) {
        self.unconfirmed.clear();
    }

    /// The last acknowledgement that a primary confirmed, if that was less than this span ago.
    pub fn within(&self, now: Millis, span: Millis) -> Option<Millis> {
        self.confirmed_at.filter(|at| now < at + span)
    }
}
