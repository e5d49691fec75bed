//! The fence: nothing is started here while others may have taken over what this store owns.

use super::{RECONCILIATION_LIMIT, TAKEOVER_DELAY};
use crate::message::Millis;
use crate::peer::Peer;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

/// A connection that one side has given up may look open to the other for so long.
const DISCONNECT_DETECTION_LIMIT: Millis = 1600;

/// So long after a freeze of the process all that came in meanwhile has been read.
const BACKLOG_READ_TIME: Millis = 300;

impl Queue {
    /// Raises the fence when others may deliver what this store owns without its knowledge, and lowers it again.
    ///
    /// They take over once they have missed its connection for `TAKEOVER_DELAY` and the control group has called its session
    /// lapsed. This store knows the second by its own steady clock, and of the first that they may have missed it up to
    /// `DISCONNECT_DETECTION_LIMIT` before it missed them. Nor does it start anything when the control group is heard again, or
    /// its process was frozen, before the others have said what became of its messages.
    ///
    /// After a long freeze it does not matter whether they are heard: what they sent before they gave this store up may be read
    /// first, and the ends of their connections later.
    pub(crate) fn update_fence(&mut self, now: Millis, was_frozen: bool, was_frozen_long: bool) {
        let mut contact = self.control_contact;
        contact.group_may_be_lost &= !self.planted(PlantedFault::CutOffControlNodeTrusted);
        let is_cut_off = contact.may_be_removed_from_membership();
        let may_have_given_up = |peer: &Peer| {
            let missed_since = peer.connection_changed_at;
            peer.is_member
                && !peer.is_connected
                && now + DISCONNECT_DETECTION_LIMIT > missed_since + TAKEOVER_DELAY
        };
        let is_in_doubt =
            || was_frozen || self.fenced_since.is_some() || self.peers.values().any(may_have_given_up);
        if was_frozen_long || (is_cut_off && is_in_doubt()) {
            self.metrics.fence_activations += u64::from(self.fenced_since.is_none());
            self.fenced_since = Some(now);
        }
        let Some(since) = self.fenced_since.filter(|_| !is_cut_off) else { return };
        let all_reconciled = self.peers.values().all(|peer| peer.is_reconciled || !peer.is_present());
        if (all_reconciled && now >= since + BACKLOG_READ_TIME) || now > since + RECONCILIATION_LIMIT {
            self.fenced_since = None;
            self.announce_all_waiting(now);
        }
    }
}
