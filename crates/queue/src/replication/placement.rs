//! Replica placement: which stores hold the replicas of a message.

use crate::message::{Millis, Node};
use crate::peer::Peer;
use crate::queue::Queue;
use std::collections::BTreeSet;

/// Zone and region of a store, by index.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FailureDomain {
    zone: usize,
    region: usize,
}

impl Queue {
    /// The failure domain of the stores in a zone. All zones without a known region count as one region.
    fn failure_domain(&self, zone: usize) -> FailureDomain {
        let region = self.settings.region_of_zone.get(zone).copied().unwrap_or(usize::MAX);
        FailureDomain { zone, region }
    }

    /// Chooses stores for `count` more replicas of a message, besides those at `present`; stores in `excluded` are
    /// not chosen.
    ///
    /// Replicas are spread over one zone and one region more than may be lost at once; further replicas stay nearby,
    /// because traffic between zones is expensive. If there are too few stores, all of them are returned. A store
    /// that let a replica time out is not chosen until it is heard again, and a store that has rejected a replica is
    /// not chosen for a short time.
    pub(crate) fn choose_replica_stores(
        &self,
        now: Millis,
        present: &[Node],
        excluded: &[Node],
        count: usize,
    ) -> Vec<Node> {
        // Starts at this store's successor in the ring of node numbers, so that the replicas are spread over all
        // stores.
        let preference = |node: Node| u64::from(node.wrapping_sub(self.settings.node));
        self.choose_stores(now, present, excluded, count, preference)
    }

    /// Like [`Queue::choose_replica_stores`], but among equally good stores the one with the lowest `preference` is
    /// chosen.
    pub(crate) fn choose_stores(
        &self,
        now: Millis,
        present: &[Node],
        excluded: &[Node],
        count: usize,
        preference: impl Fn(Node) -> u64,
    ) -> Vec<Node> {
        let mut domains = vec![self.failure_domain(self.settings.zone)];
        let present_peers = present.iter().filter_map(|node| self.peers.get(node));
        domains.extend(present_peers.map(|peer| self.failure_domain(peer.zone)));
        let mut chosen: Vec<Node> = Vec::new();
        for _ in 0..count {
            let is_able = |node: &Node, peer: &Peer| {
                peer.takes_replicas(now)
                    && !excluded.contains(node)
                    && !present.contains(node)
                    && !chosen.contains(node)
            };
            let able = self.peers.iter().filter(|(node, peer)| is_able(node, peer));
            let Some((node, zone)) = self.best_store(now, able, &domains, &preference) else { break };
            domains.push(self.failure_domain(zone));
            chosen.push(node);
        }
        chosen
    }

    /// Whether the loss of all these stores at once is tolerated.
    pub(crate) fn may_be_lost_together(&self, stores: &[Node]) -> bool {
        let zone_of = |node: &Node| self.peers.get(node).map_or(self.settings.zone, |peer| peer.zone);
        let domains: Vec<FailureDomain> =
            stores.iter().map(|node| self.failure_domain(zone_of(node))).collect();
        let zones: BTreeSet<usize> = domains.iter().map(|domain| domain.zone).collect();
        let regions: BTreeSet<usize> = domains.iter().map(|domain| domain.region).collect();
        let tolerated = self.settings.tolerated_losses;
        stores.len() <= self.settings.replica_count
            || zones.len() <= tolerated.zones
            || regions.len() <= tolerated.regions
    }

    /// Of the replicas of a message, those that are needed: as many as the settings ask for, the earliest first, and
    /// further ones only where they spread the message over more zones or regions.
    pub(crate) fn needed_replicas(&self, replicas: &[Node]) -> Vec<Node> {
        let mut needed = replicas.to_vec();
        let complete_spread = self.spread(replicas);
        for node in replicas.iter().rev() {
            if needed.len() <= self.settings.replica_count {
                break;
            }
            let others: Vec<Node> = needed.iter().copied().filter(|other| other != node).collect();
            if self.spread(&others) == complete_spread {
                needed = others;
            }
        }
        needed
    }

    /// Numbers of zones and regions that a message owned here has with replicas at these stores, as far as they matter
    /// for the losses to be tolerated.
    fn spread(&self, replicas: &[Node]) -> (usize, usize) {
        let peers = replicas.iter().filter_map(|node| self.peers.get(node));
        let mut domains = vec![self.failure_domain(self.settings.zone)];
        domains.extend(peers.map(|peer| self.failure_domain(peer.zone)));
        let zones: BTreeSet<usize> = domains.iter().map(|domain| domain.zone).collect();
        let regions: BTreeSet<usize> = domains.iter().map(|domain| domain.region).collect();
        let tolerated = self.settings.tolerated_losses;
        (zones.len().min(tolerated.zones + 1), regions.len().min(tolerated.regions + 1))
    }

    /// The best of these stores for one more replica besides those in `domains`, with its zone.
    fn best_store<'peers>(
        &self,
        now: Millis,
        stores: impl Iterator<Item = (&'peers Node, &'peers Peer)>,
        domains: &[FailureDomain],
        preference: impl Fn(Node) -> u64,
    ) -> Option<(Node, usize)> {
        let zones: BTreeSet<usize> = domains.iter().map(|domain| domain.zone).collect();
        let regions: BTreeSet<usize> = domains.iter().map(|domain| domain.region).collect();
        let tolerated = self.settings.tolerated_losses;
        let needs_zone = zones.len() <= tolerated.zones;
        let needs_region = regions.len() <= tolerated.regions;
        let own = self.failure_domain(self.settings.zone);
        let best = stores.min_by_key(|(node, peer)| {
            let domain = self.failure_domain(peer.zone);
            // Safety comes first: a slow store in another zone is better than two replicas that one zone's loss
            // destroys.
            (
                needs_region && regions.contains(&domain.region),
                needs_zone && zones.contains(&domain.zone),
                now < peer.avoided_until,
                domain.region != own.region,
                domain.zone != own.zone,
                preference(**node),
            )
        });
        best.map(|(node, peer)| (*node, peer.zone))
    }
}
