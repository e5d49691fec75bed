//! When a connection between two processes needs a ping, and when its other side is taken to be gone.
//!
//! The side that opened a connection pings, and the other side answers where it has sent nothing lately. With a clock for each
//! connection every ping was a wake-up of its own, and an edge with a dozen stores woke for little else: so all pings go out
//! together, once in [`PING_INTERVAL`].

use crate::net::Millis;

/// How often it is looked which connections need a ping.
pub const PING_INTERVAL: Millis = 500;
/// A peer of which nothing has been received for so long is taken to be gone.
pub const PEER_SILENCE_LIMIT: Millis = 1600;
/// A ping is answered only if nothing has been sent for so long.
const PING_REPLY_INTERVAL: Millis = 200;

/// When something was last sent and received on one connection.
#[derive(Clone, Copy)]
pub struct Keepalive {
    /// This side opened the connection.
    is_dialer: bool,
    last_received_at: Millis,
    last_sent_at: Millis,
    /// Since when something that this side sent has had no answer. Only a dialer counts that.
    unanswered_since: Option<Millis>,
}

impl Keepalive {
    /// A connection that has just been opened, by this side (`is_dialer`) or the other.
    pub fn new(is_dialer: bool, now: Millis) -> Keepalive {
        Keepalive { is_dialer, last_received_at: now, last_sent_at: now, unanswered_since: None }
    }

    /// When something was last received.
    pub fn last_received_at(&self) -> Millis {
        self.last_received_at
    }

    /// Something was received.
    pub fn record_received(&mut self, now: Millis) {
        self.last_received_at = now;
        self.unanswered_since = None;
    }

    /// Something is sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.last_sent_at = now;
        if self.is_dialer {
            self.unanswered_since.get_or_insert(now);
        }
    }

    /// When the other side is taken to be gone if nothing is received until then.
    ///
    /// A dialer is sent little but answers. If it was suspended, and pinged nobody meanwhile, silence says nothing of the
    /// other side: so it counts from its oldest unanswered ping.
    pub fn expires_at(&self) -> Millis {
        let silent_from_last = self.last_received_at + PEER_SILENCE_LIMIT;
        if !self.is_dialer {
            return silent_from_last;
        }
        self.unanswered_since
            .map_or(Millis::MAX, |since| (since + PEER_SILENCE_LIMIT - PING_INTERVAL).max(silent_from_last))
    }

    /// Whether a ping is due; asked once in [`PING_INTERVAL`]. The side that was dialled pings only if the other one fails to:
    /// that may be of an older release, or stuck.
    pub fn is_ping_due(&self, now: Millis) -> bool {
        if self.is_dialer {
            // Also if only the other side has been silent, so that it has something to answer.
            now >= self.last_sent_at.min(self.last_received_at) + PING_INTERVAL / 2
        } else {
            now >= self.last_sent_at + 2 * PING_INTERVAL
        }
    }

    /// Whether a ping that has been received needs an answer.
    pub fn needs_ping_reply(&self, now: Millis) -> bool {
        !self.is_dialer && now >= self.last_sent_at + PING_REPLY_INTERVAL
    }
}

#[cfg(test)]
mod tests;
