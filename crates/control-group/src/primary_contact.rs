//! How recently a backup was in contact with a primary that held the lease.
//!
//! The arrival of a heartbeat is not enough: it may have been delayed in the network or while the process was frozen, and a
//! primary that is partitioned with a minority keeps sending heartbeats. So a primary that holds the lease names in each
//! heartbeat the last acknowledgement that it has received from the receiver. The heartbeat was sent after that acknowledgement,
//! and the backup knows by its own clock when it sent the acknowledgement.

use crate::Millis;
use std::collections::VecDeque;

/// The maximum number of acknowledgements kept until a heartbeat confirms them: about three seconds' worth.
const MAX_REMEMBERED_ACKS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct SentAck {
    /// When the acknowledged heartbeat was sent, by the primary's clock.
    heartbeat_sent_at: Millis,
    /// When the heartbeat was acknowledged, by this node's clock.
    acked_at: Millis,
}

/// The acknowledgements that no primary has confirmed yet, and the last contact that one has confirmed.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrimaryContact {
    unconfirmed: VecDeque<SentAck>,
    confirmed_at: Option<Millis>,
}

impl PrimaryContact {
    /// Records that this node acknowledges a heartbeat.
    pub fn ack_sent(&mut self, heartbeat_sent_at: Millis, now: Millis) {
        if self.unconfirmed.len() >= MAX_REMEMBERED_ACKS {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back(SentAck { heartbeat_sent_at, acked_at: now });
    }

    /// Records that a primary that holds the lease has received the acknowledgement of the heartbeat sent at this time.
    pub fn ack_confirmed(&mut self, heartbeat_sent_at: Millis) {
        let is_due = |ack: &SentAck| ack.heartbeat_sent_at <= heartbeat_sent_at;
        while let Some(ack) = self.unconfirmed.front().copied().filter(is_due) {
            self.unconfirmed.pop_front();
            if ack.heartbeat_sent_at == heartbeat_sent_at {
                self.confirmed_at = self.confirmed_at.max(Some(ack.acked_at));
            }
        }
    }

    /// Discards the unconfirmed acknowledgements, because the times of another primary are by another clock.
    pub fn primary_changed(&mut self) {
        self.unconfirmed.clear();
    }

    /// The time of the last acknowledgement that a primary confirmed, if it was sent less than `span` ago.
    pub fn within(&self, now: Millis, span: Millis) -> Option<Millis> {
        self.confirmed_at.filter(|at| now < at + span)
    }
}
