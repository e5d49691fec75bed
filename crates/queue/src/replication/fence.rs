//! The fence: while it is raised, this store starts no attempts, because others may have taken over its messages.

use super::{RECONCILIATION_TIMEOUT_MS, TAKEOVER_DELAY_MS};
use crate::message::Millis;
use crate::peer::Peer;
use crate::planted_fault::PlantedFault;
use crate::queue::Queue;

/// How long a connection may look open to one side after the other side has given it up.
const DISCONNECT_DETECTION_LIMIT_MS: Millis = 1600;

/// Time after a freeze of the process by which everything that arrived meanwhile has been read.
const BACKLOG_READ_TIME_MS: Millis = 300;

impl Queue {
    /// Raises the fence when other stores may deliver this store's messages without its knowledge, and lowers it
    /// again.
    ///
    /// Other stores take over once they have been without a connection to this store for `TAKEOVER_DELAY_MS` and the
    /// control group has declared its session expired. This store knows the latter from its own monotonic clock. As
    /// for the former, they may have noticed the lost connection up to `DISCONNECT_DETECTION_LIMIT_MS` before this store
    /// did. After contact with the control group is restored, or the process was frozen, this store starts nothing
    /// until the others have said what became of its messages.
    ///
    /// After a long freeze the fence is raised even if the other stores still seem connected: messages that they sent
    /// before they gave this store up may be read first, and the ends of their connections only later.
    pub(crate) fn update_fence(&mut self, now: Millis, was_frozen: bool, was_frozen_long: bool) {
        let mut contact = self.control_contact;
        contact.group_may_be_lost &= !self.planted(PlantedFault::CutOffControlNodeTrusted);
        let is_cut_off = contact.may_be_removed_from_membership();
        let may_have_given_up = |peer: &Peer| {
            let missed_since = peer.connection_changed_at;
            peer.is_member
                && !peer.is_connected
                && now + DISCONNECT_DETECTION_LIMIT_MS > missed_since + TAKEOVER_DELAY_MS
        };
        let is_in_doubt =
            || was_frozen || self.fenced_since.is_some() || self.peers.values().any(may_have_given_up);
        if was_frozen_long || (is_cut_off && is_in_doubt()) {
            self.metrics.fence_activations += u64::from(self.fenced_since.is_none());
            self.fenced_since = Some(now);
        }
        let Some(since) = self.fenced_since.filter(|_| !is_cut_off) else { return };
        let all_reconciled = self.peers.values().all(|peer| peer.is_reconciled || !peer.is_present());
        if (all_reconciled && now >= since + BACKLOG_READ_TIME_MS) || now > since + RECONCILIATION_TIMEOUT_MS
        {
            self.fenced_since = None;
            self.announce_all_waiting(now);
        }
    }
}
