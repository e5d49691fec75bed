//! Decides when a connection between two processes needs a ping, and when the peer is considered dead.
//!
//! The side that opened a connection sends pings, and the other side replies if it has sent nothing recently. With
//! one timer per connection every ping caused a separate wake-up, and these made up most wake-ups of an edge with a
//! dozen stores. All pings are therefore sent together, once per [`PING_INTERVAL`].

use crate::net::Millis;

/// Interval at which connections are checked for a due ping, in milliseconds.
pub const PING_INTERVAL: Millis = 500;
/// Time without any received frame after which a peer is considered dead, in milliseconds.
pub const PEER_TIMEOUT: Millis = 1600;
/// A ping is answered only if this side has sent no frame for this time, in milliseconds.
const MIN_PING_REPLY_INTERVAL: Millis = 200;

/// When something was last sent and received on one connection.
#[derive(Clone, Copy)]
pub struct Keepalive {
    /// Whether this side opened the connection.
    is_dialer: bool,
    last_received_at: Millis,
    last_sent_at: Millis,
    /// Time of the oldest sent frame that has had no reply. Only the side that opened the connection tracks it.
    unanswered_since: Option<Millis>,
}

impl Keepalive {
    /// Creates the state of a connection that has just been opened, by this side (`is_dialer`) or by the peer.
    pub fn new(is_dialer: bool, now: Millis) -> Keepalive {
        Keepalive { is_dialer, last_received_at: now, last_sent_at: now, unanswered_since: None }
    }

    /// Returns the time at which a frame was last received.
    pub fn last_received_at(&self) -> Millis {
        self.last_received_at
    }

    /// Records that a frame was received.
    pub fn record_received(&mut self, now: Millis) {
        self.last_received_at = now;
        self.unanswered_since = None;
    }

    /// Records that a frame was sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.last_sent_at = now;
        if self.is_dialer {
            self.unanswered_since.get_or_insert(now);
        }
    }

    /// Returns the time at which the peer is considered dead unless a frame arrives first.
    ///
    /// A dialer receives little except ping replies. If its process was suspended and sent no pings in that time, the
    /// silence says nothing about the peer; a dialer's time-out therefore starts at its oldest unanswered ping.
    pub fn expires_at(&self) -> Millis {
        let last_receipt_expiry = self.last_received_at + PEER_TIMEOUT;
        if !self.is_dialer {
            return last_receipt_expiry;
        }
        self.unanswered_since
            .map_or(Millis::MAX, |since| (since + PEER_TIMEOUT - PING_INTERVAL).max(last_receipt_expiry))
    }

    /// Returns whether a ping is due; called once per [`PING_INTERVAL`]. The side that was dialed pings only if the
    /// dialer fails to do so, because the dialer may run an older release or be stuck.
    pub fn is_ping_due(&self, now: Millis) -> bool {
        if self.is_dialer {
            // A ping is also due if only the peer has been silent: the ping gives it a frame to reply to.
            now >= self.last_sent_at.min(self.last_received_at) + PING_INTERVAL / 2
        } else {
            now >= self.last_sent_at + 2 * PING_INTERVAL
        }
    }

    /// Returns whether a received ping needs a reply.
    pub fn needs_ping_reply(&self, now: Millis) -> bool {
        !self.is_dialer && now >= self.last_sent_at + MIN_PING_REPLY_INTERVAL
    }
}

#[cfg(test)]
mod tests;
