//! Assignment of token holders, the stores that hand out the tokens of rate limits, and the distribution of tokens to
//! other stores.

use super::Queue;
use crate::effect::Effect;
use crate::message::{Millis, Node};
use crate::peer::Peer;
use crate::peer_message::PeerMessage;
use crate::token_bucket::TokenBucket;
use std::collections::{BTreeMap, HashMap};
use stileroute_dispatch::types::name_hash;

/// Maximum number of tokens granted for one request of another store.
const MAX_TOKENS_PER_GRANT: u32 = 16;

/// The token holder of a service: the first member by rendezvous hashing, so that the services are spread over the
/// stores.
pub(crate) fn token_holder(service: &str, own_node: Node, peers: &BTreeMap<Node, Peer>) -> Node {
    let own_weight = holder_weight(service, own_node);
    token_successor(service, peers)
        .filter(|node| (holder_weight(service, *node), *node) > (own_weight, own_node))
        .unwrap_or(own_node)
}

fn holder_weight(service: &str, node: Node) -> u64 {
    name_hash(&format!("{service}/{node}"))
}

/// Number of tokens in a grant that notifies the successor of a token holder that it may begin at once. It exceeds any
/// grant for a request, and the tokens are not used. A second grant follows with this number plus the tokens that were
/// left; a store of an earlier version ignores it, because it does not come from the holder.
const HANDOVER_TOKENS: u32 = MAX_TOKENS_PER_GRANT + 1;

/// Time for which a handover notice is valid, in milliseconds, because a store that has just started may receive it
/// before it knows the members. It is less than any other store would wait before it began.
const HANDOVER_LIFETIME: Millis = 1000;

/// The store that hands out the tokens of a service after this store has stopped.
fn token_successor(service: &str, peers: &BTreeMap<Node, Peer>) -> Option<Node> {
    let members =
        peers.iter().filter(|(_, peer)| peer.is_member && !peer.is_draining()).map(|(node, _)| *node);
    members.max_by_key(|node| holder_weight(service, *node))
}

/// State that decides whether the token holders have to be reassigned, and the handover notices of former holders.
#[derive(Debug)]
pub(super) struct TokenHolders {
    /// Whether the members or the configuration have changed since the last assignment.
    is_stale: bool,
    /// Whether this store could be a token holder at all at the last assignment.
    may_hold: bool,
    /// The last handover notice of each service's former holder.
    handovers: HashMap<String, Handover>,
    /// Handover notices for successors to which there was no connection.
    undelivered: Vec<UndeliveredHandover>,
}

/// A handover of a service's tokens of which the successor has not been notified.
#[derive(Debug)]
struct UndeliveredHandover {
    successor: Node,
    service: String,
    tokens_left: u32,
    stopped_at: Millis,
}

/// Time after the former holder has stopped, in milliseconds, within which its successor is still notified. Together
/// with [`HANDOVER_LIFETIME`] it is no longer than a successor waits that receives no notice.
const HANDOVER_DELIVERY_LIMIT: Millis = 500;

/// Notice of a service's former token holder that it has stopped.
#[derive(Debug)]
struct Handover {
    /// Time at which the notice was received.
    at: Millis,
    /// Tokens that were left in the bucket and that this store has not taken over yet.
    tokens_left: u32,
}

impl Default for TokenHolders {
    fn default() -> TokenHolders {
        TokenHolders { is_stale: true, may_hold: false, handovers: HashMap::new(), undelivered: Vec::new() }
    }
}

impl Queue {
    /// Notes that members, configuration or this store's own role have changed, so that the token holders are
    /// reassigned in this turn.
    pub(crate) fn invalidate_token_holders(&mut self) {
        self.token_holders.is_stale = true;
    }

    /// Reassigns the token holders, if anything has changed that determines them.
    pub(crate) fn refresh_token_holders(&mut self, now: Millis) {
        let may_hold = self.control_contact.is_reachable && self.knows_members && !self.is_draining;
        let has_changed = std::mem::replace(&mut self.token_holders.may_hold, may_hold) != may_hold;
        if std::mem::take(&mut self.token_holders.is_stale) || has_changed {
            self.assign_token_holders(now);
        }
    }

    /// Determines for each service and each tenant whether this store is the token holder, and this store's share of
    /// the retry slots.
    fn assign_token_holders(&mut self, now: Millis) {
        self.metrics.token_holder_assignments += 1;
        let own_node = self.settings.node;
        let stores = 1 + self.peers.values().filter(|peer| peer.is_member).count();
        let own_index = self.peers.iter().filter(|(node, peer)| peer.is_member && **node < own_node).count();
        let may_hold = self.token_holders.may_hold;
        let is_shutting_down = self.is_draining;
        let mut handovers = Vec::new();
        for service_queue in &mut self.service_queues {
            service_queue.set_store_position(own_index, stores);
        }
        let of_services = self.service_queues.iter_mut().filter_map(|service_queue| {
            Some((service_queue.name.as_str(), service_queue.token_bucket.as_mut()?))
        });
        let of_tenants =
            self.quotas.by_name.iter_mut().map(|(name, quota)| (name.as_str(), &mut quota.bucket));
        for (name, bucket) in of_services.chain(of_tenants) {
            let (was_holder, was_handing_out) = (bucket.is_holder(), bucket.is_handing_out(now));
            let holder = token_holder(name, own_node, &self.peers);
            let is_holder = holder == own_node && may_hold;
            let tokens_left = if was_handing_out && !is_holder { bucket.hand_out(now, u32::MAX) } else { 0 };
            bucket.set_holder(now, is_holder);
            if let Some(handover) = self.token_holders.handovers.get_mut(name) {
                handover.apply(now, bucket);
            }
            let successor = if is_shutting_down {
                token_successor(name, &self.peers)
            } else {
                Some(holder).filter(|holder| *holder != own_node)
            };
            if was_holder && !bucket.is_holder() {
                self.token_holders.handovers.remove(name);
            }
            if was_handing_out && !bucket.is_holder() {
                handovers.extend(successor.map(|successor| (successor, name.to_string(), tokens_left)));
            }
        }
        for (successor, service, tokens_left) in handovers {
            self.hand_over(UndeliveredHandover { successor, service, tokens_left, stopped_at: now });
        }
    }

    /// Notifies the successor that it may begin, at once or when there is a connection to it.
    fn hand_over(&mut self, handover: UndeliveredHandover) {
        let to = handover.successor;
        if !self.peers.get(&to).is_some_and(|peer| peer.is_connected) {
            return self.token_holders.undelivered.push(handover);
        }
        let UndeliveredHandover { service, tokens_left, .. } = handover;
        let begin = PeerMessage::GrantTokens { service: service.clone(), count: HANDOVER_TOKENS };
        self.emit(Effect::Send { to, message: begin });
        if tokens_left > 0 {
            let count = HANDOVER_TOKENS.saturating_add(tokens_left);
            self.emit(Effect::Send { to, message: PeerMessage::GrantTokens { service, count } });
        }
    }

    /// Delivers the pending handover notices to a store to which there is now a connection, unless they are too old.
    pub(crate) fn deliver_handovers(&mut self, now: Millis, node: Node) {
        let undelivered = std::mem::take(&mut self.token_holders.undelivered);
        let is_recent = |handover: &UndeliveredHandover| now < handover.stopped_at + HANDOVER_DELIVERY_LIMIT;
        let (to_node, others): (Vec<_>, Vec<_>) =
            undelivered.into_iter().filter(is_recent).partition(|handover| handover.successor == node);
        self.token_holders.undelivered = others;
        for handover in to_node {
            if token_holder(&handover.service, self.settings.node, &self.peers) == node {
                self.hand_over(handover);
            }
        }
    }

    /// Answers another store's request for tokens of a service.
    pub(crate) fn tokens_wanted(&mut self, now: Millis, from: Node, service: String, count: u32) {
        let bucket = self.token_bucket(&service);
        let count = bucket.map_or(0, |bucket| bucket.hand_out(now, count.min(MAX_TOKENS_PER_GRANT)));
        self.emit(Effect::Send { to: from, message: PeerMessage::GrantTokens { service, count } });
    }

    /// Handles tokens that another store has granted. Tokens of a store that is no longer the holder are ignored:
    /// together with those of its successor they would exceed the rate limit.
    pub(crate) fn tokens_received(&mut self, now: Millis, from: Node, service: &str, count: u32) {
        if let Some(tokens_left) = count.checked_sub(HANDOVER_TOKENS) {
            return self.handed_over(now, service, tokens_left);
        }
        let is_from_holder = token_holder(service, self.settings.node, &self.peers) == from;
        self.metrics.stale_claims += u64::from(!is_from_holder && count > 0);
        let count = if is_from_holder { count } else { 0 };
        let Some(bucket) = self.token_bucket(service) else { return };
        bucket.receive(now, count);
        self.quota_tokens_received(now, service, count);
        if count > 0 {
            self.next_dispatch_at = 0;
        }
    }

    /// Handles the notice of a service's former holder that it has stopped. It is never a grant. If this store does not
    /// know yet that it is the successor, the notice stays valid for [`HANDOVER_LIFETIME`].
    fn handed_over(&mut self, now: Millis, service: &str, tokens_left: u32) {
        let mut handover = Handover { at: now, tokens_left };
        if let Some(bucket) = self.token_bucket(service) {
            handover.apply(now, bucket);
        }
        self.token_holders.handovers.insert(service.to_string(), handover);
        self.next_dispatch_at = 0;
    }

    fn token_bucket(&mut self, service: &str) -> Option<&mut TokenBucket> {
        if let Some(quota) = self.quotas.by_name.get_mut(service) {
            return Some(&mut quota.bucket);
        }
        let index = *self.service_queue_index.get(service)?;
        self.service_queues[index].token_bucket.as_mut()
    }
}

impl Handover {
    /// Lets a holder begin, unless the notice is too old. The tokens that were left are taken over once.
    fn apply(&mut self, now: Millis, bucket: &mut TokenBucket) {
        if now < self.at + HANDOVER_LIFETIME && bucket.is_holder() {
            bucket.take_over(now, std::mem::take(&mut self.tokens_left));
        }
    }
}
