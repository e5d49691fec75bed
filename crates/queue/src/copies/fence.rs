//! The fence: nothing is started here while others may have taken over what this store owns.

use super::{Peer, GONE, PATIENCE};
use crate::message::Millis;
use crate::queue::Queue;

/// A connection that one side has given up may look well to the other for so long.
const DEAF: Millis = 1600;

/// By then whatever came in a sleep has been read.
const AWAKE: Millis = 300;

impl Queue {
    /// Nothing is started here: others may deliver what this store owns, and it would not know.
    ///
    /// They take over once they have missed its connection for `GONE` and the control nodes have called its session
    /// lapsed. It knows the one (`lapsed`, `heard`) by its own steady clock, and of the other that they may have missed it
    /// up to `DEAF` before it missed them. Nor does it start anything when it is heard again, or has slept, before they
    /// have said what became of its messages.
    ///
    /// After a long sleep it does not matter whether they are heard: what they said before they gave this store up may be read
    /// first, and the ends of their connections later.
    pub(crate) fn look_after_fence(&mut self, now: Millis, slept: bool, long: bool) {
        let silent = self.control_contact.session_may_have_lapsed || !self.control_contact.is_heard;
        let apart = |p: &Peer| p.listed && !p.connected && now + DEAF > p.since + GONE;
        if long || (silent && (slept || self.fenced_since.is_some() || self.peers.values().any(apart))) {
            self.metrics.fence_activations += u64::from(self.fenced_since.is_none());
            self.fenced_since = Some(now);
        }
        let Some(since) = self.fenced_since.filter(|_| !silent) else { return };
        let settled = self.peers.values().all(|p| p.stood || !(p.listed || p.connected));
        if (settled && now >= since + AWAKE) || now > since + PATIENCE {
            self.fenced_since = None;
            self.ask_before_all(now);
        }
    }
}
