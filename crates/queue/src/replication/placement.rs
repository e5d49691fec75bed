//! Placement: at which stores the replicas of a message lie.

use crate::message::{Millis, Node};
use crate::peer::Peer;
use crate::queue::Queue;
use std::collections::BTreeSet;

/// Zone and region of a store, by their indices.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FailureDomain {
    zone: usize,
    region: usize,
}

impl Queue {
    /// The failure domain of the stores in a zone; all zones without a known region are in one.
    fn failure_domain(&self, zone: usize) -> FailureDomain {
        let region = self.settings.region_of_zone.get(zone).copied().unwrap_or(usize::MAX);
        FailureDomain { zone, region }
    }

    /// Chooses stores for so many more replicas of a message, beside those that lie at `present`; stores in `excluded` are not
    /// taken.
    ///
    /// Replicas go into one zone and one region more than may be lost at once, and nearby from then on, for bytes between
    /// zones are dear. Where too few stores are there, all of them are given. A store that has let a replica run into its
    /// time-out is none of them before it is heard again, and one that has refused a replica is none for a short time.
    pub(crate) fn choose_replica_stores(
        &self,
        now: Millis,
        present: &[Node],
        excluded: &[Node],
        count: usize,
    ) -> Vec<Node> {
        // In a ring from this store on, so that replicas are spread over all.
        let preference = |node: Node| u64::from(node.wrapping_sub(self.settings.node));
        self.choose_stores(now, present, excluded, count, preference)
    }

    /// The same; of stores that are equally good that with the lowest `preference` is taken.
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

    /// The best of these stores, with its zone, beside replicas in these failure domains.
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
            // Safe first: one that is slow, in another zone, is waited for rather than two replicas lost with one zone.
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
