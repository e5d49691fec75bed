//! Recovery of the view by a node that is new or has lost its disk.

use crate::role::Role;
use crate::view::is_majority;
use crate::{ControlGroup, Message, Millis, NodeId, View};
use std::collections::BTreeSet;

/// How often the other nodes are asked for their views, in milliseconds.
const VIEW_REQUEST_INTERVAL: Millis = 200;

impl ControlGroup {
    /// Asks all known nodes for their views, if a request is due.
    pub(crate) fn request_views(&mut self, now: Millis) {
        if now < self.view_recovery.next_request_at {
            return;
        }
        self.view_recovery.next_request_at = now + VIEW_REQUEST_INTERVAL;
        let seeds = self.settings.seeds.iter();
        let voters = self.view_recovery.replies.values().flat_map(|view| &view.voters);
        let connected = self.connections.keys().filter(|node| !self.is_disconnected(node));
        let nodes: BTreeSet<NodeId> = seeds.chain(voters).chain(connected).copied().collect();
        for node in nodes {
            self.send(node, Message::ViewRequest);
        }
    }

    /// Sends this node's view, or the view that it is proposing: the requester may have granted the proposal before it lost its
    /// disk.
    pub(crate) fn send_view(&mut self, to: NodeId) {
        let proposed = match &self.role {
            Role::Primary(leadership) => leadership.proposed_view(),
            Role::Candidate(proposal) => Some(&proposal.view),
            Role::Backup => None,
        };
        let view = proposed.or(self.view.as_ref()).cloned();
        self.send(to, Message::ViewReply { view });
    }

    pub(crate) fn view_received(&mut self, now: Millis, from: NodeId, view: Option<View>) {
        let Some(view) = view else { return };
        if self.is_awaiting_view() {
            self.view_recovery.replies.insert(from, view);
            self.recover_view(now);
        } else if self.has_lost_epoch_to(from, &view) {
            self.follow_proposed(now, view);
        } else {
            self.adopt(now, view);
        }
    }

    /// Whether the sender's view of this node's epoch was granted. Two nodes proposed a view of the same epoch, so this node's
    /// own can no longer be granted.
    fn has_lost_epoch_to(&self, from: NodeId, view: &View) -> bool {
        let is_leading = self.unknown_primary.is_some_and(|unknown| {
            unknown.epoch == view.epoch && unknown.node == from && view.primary == from
        });
        is_leading && view.epoch == self.epoch() && self.view.as_ref() != Some(view)
    }

    /// Adopts the view with the highest epoch once a majority of its voters has replied.
    ///
    /// A grant that this node made and no longer knows is either known to one of these voters, or the view was not granted by a
    /// majority. As a replica this node has no control state: it votes, but does not become a candidate before the primary has
    /// sent it the value.
    fn recover_view(&mut self, now: Millis) {
        let recovery = &self.view_recovery;
        let Some(highest) = recovery.highest_epoch().cloned() else { return };
        let others = recovery.replies.keys().filter(|node| **node != self.settings.node_id);
        if !is_majority(&highest.voters, others) {
            return;
        }
        let membership = recovery.newest_membership().unwrap_or(&highest).clone();
        self.started_at = now;
        self.heard_at = now;
        self.follow_proposed(now, View { epoch: highest.epoch, primary: highest.primary, ..membership });
    }
}
