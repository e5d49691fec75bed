//! Which store hands out the tokens of a service's rate limit, and how the others get some.

use super::Queue;
use crate::effect::Effect;
use crate::message::{Millis, Node};
use crate::peer::Peer;
use crate::peer_message::PeerMessage;
use crate::token_bucket::TokenBucket;
use std::collections::BTreeMap;
use stileroute_dispatch::types::mark;

/// Most tokens granted to one request of another store.
const MAX_TOKENS_PER_GRANT: u32 = 16;

/// The store that hands out the tokens of a service: the first of the members by rendezvous hashing, so that the services are
/// spread over the stores.
pub(crate) fn token_holder(service: &str, own_node: Node, peers: &BTreeMap<Node, Peer>) -> Node {
    let weight = |node: Node| mark(&format!("{service}/{node}"));
    let members =
        peers.iter().filter(|(_, peer)| peer.is_member && !peer.is_draining()).map(|(node, _)| *node);
    members.chain(std::iter::once(own_node)).max_by_key(|node| weight(*node)).unwrap_or(own_node)
}

impl Queue {
    /// After a change of members: settles for each service whether this store hands out its tokens, and this store's share of
    /// the retry slots.
    pub(crate) fn assign_token_holders(&mut self, now: Millis) {
        let own_node = self.settings.node;
        let stores = 1 + self.peers.values().filter(|peer| peer.is_member).count();
        let own_index = self.peers.iter().filter(|(node, peer)| peer.is_member && **node < own_node).count();
        let may_hold = self.control_contact.is_heard && self.knows_members && !self.is_draining;
        for service_queue in &mut self.service_queues {
            service_queue.set_store_position(own_index, stores);
            let Some(bucket) = &mut service_queue.token_bucket else { continue };
            let holder = token_holder(&service_queue.name, own_node, &self.peers);
            bucket.set_holder(now, holder == own_node && may_hold);
        }
    }

    /// Another store wants tokens of a service.
    pub(crate) fn tokens_wanted(&mut self, now: Millis, from: Node, service: String, count: u32) {
        let bucket = self.token_bucket(&service);
        let count = bucket.map_or(0, |bucket| bucket.hand_out(now, count.min(MAX_TOKENS_PER_GRANT)));
        self.emit(Effect::Send { to: from, message: PeerMessage::GrantTokens { service, count } });
    }

    /// Tokens have come. Those of a store that is not the holder any more are refused: together with the successor's they would
    /// exceed the rate limit.
    pub(crate) fn tokens_received(&mut self, now: Millis, from: Node, service: &str, count: u32) {
        let is_from_holder = token_holder(service, self.settings.node, &self.peers) == from;
        self.metrics.stale_claims += u64::from(!is_from_holder && count > 0);
        let count = if is_from_holder { count } else { 0 };
        let Some(bucket) = self.token_bucket(service) else { return };
        bucket.receive(now, count);
        if count > 0 {
            self.next_dispatch_at = 0;
        }
    }

    fn token_bucket(&mut self, service: &str) -> Option<&mut TokenBucket> {
        let index = *self.service_queue_index.get(service)?;
        self.service_queues[index].token_bucket.as_mut()
    }
}
