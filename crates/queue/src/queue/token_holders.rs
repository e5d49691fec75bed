//! Which store hands out the tokens of a service, and how the others ask it for some.

use super::{Effect, Queue};
use crate::message::{Millis, Node};
use crate::peer::Peer;
use crate::peer_message::PeerMessage;
use std::collections::BTreeMap;

/// Who hands out the tokens of a service.
pub(crate) fn token_holder(service: &str, me: Node, peers: &BTreeMap<Node, Peer>) -> Node {
    let weight = |node: Node| stileroute_dispatch::types::mark(&format!("{service}/{node}"));
    let all = peers.iter().filter(|(_, p)| p.is_member && !p.is_draining()).map(|(node, _)| *node);
    all.chain(std::iter::once(me)).max_by_key(|node| weight(*node)).unwrap_or(me)
}

impl Queue {
    /// Who hands out the tokens of each service: the first of the stores that are members, in an order of its
    /// own for each service, so that the duties are spread.
    pub(crate) fn assign_token_holders(&mut self, now: Millis) {
        let nodes = 1 + self.peers.values().filter(|p| p.is_member).count();
        let place = self.peers.iter().filter(|(node, p)| p.is_member && **node < self.settings.node).count();
        for service_queue in &mut self.service_queues {
            service_queue.nodes(place, nodes);
            let Some(bucket) = &mut service_queue.token_bucket else { continue };
            let holder = token_holder(&service_queue.name, self.settings.node, &self.peers);
            let may = self.hears_control_group && self.knows_members && !self.is_draining;
            bucket.holder(now, holder == self.settings.node && may);
        }
    }

    /// Tokens are wanted by another store.
    pub(crate) fn tokens_wanted(&mut self, now: Millis, from: Node, service: String, count: u32) {
        let service_queue = self.service_queue_index.get(&service).map(|at| &mut self.service_queues[*at]);
        let count =
            service_queue.and_then(|l| l.token_bucket.as_mut()).map_or(0, |b| b.hand_out(now, count.min(16)));
        self.effects.push(Effect::Send { to: from, message: PeerMessage::GrantTokens { service, count } });
    }

    /// Of one that does not hold the duty (any more) none are taken: together with those of its successor they would be
    /// over the ceiling.
    pub(crate) fn tokens_received(&mut self, now: Millis, from: Node, service: &str, count: u32) {
        let holder = token_holder(service, self.settings.node, &self.peers) == from;
        self.metrics.stale_claims += u64::from(!holder && count > 0);
        let count = if holder { count } else { 0 };
        if let Some(bucket) = self
            .service_queue_index
            .get(service)
            .and_then(|at| self.service_queues[*at].token_bucket.as_mut())
        {
            bucket.got(now, count);
            self.next_dispatch_at = if count > 0 { 0 } else { self.next_dispatch_at };
        }
    }
}
