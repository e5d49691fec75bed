//! How a node that has lost its disk, or is new, learns the view from the others.

use crate::role::Role;
use crate::view::is_majority;
use crate::{ControlGroup, Message, Millis, NodeId, View};
use std::collections::BTreeSet;

/// How often the others are asked for their view.
const VIEW_REQUEST_INTERVAL: Millis = 200;

impl ControlGroup {
    /// Asks all nodes that are known for their view, if that is due.
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

    /// Replies with the view that this node proposes, if it does: the one that asks may have granted it and lost its disk.
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

    /// Two have proposed a view of the same epoch, and the sender's was granted: this node's own cannot be any more.
    fn has_lost_epoch_to(&self, from: NodeId, view: &View) -> bool {
        let is_leading = self.unknown_primary.is_some_and(|unknown| {
            unknown.epoch == view.epoch && unknown.node == from && view.primary == from
        });
        is_leading && view.epoch == self.epoch() && self.view.as_ref() != Some(view)
    }

    /// Takes the highest view over when a majority of its voters has replied.
    ///
    /// What this node has granted and forgotten one of them knows, or it was never granted by enough. As a replica it has no
    /// value: it votes, but becomes no candidate before the primary has filled it.
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
