//! How many stores may be lost before messages are no longer accepted for want of stores for their replicas: for the answer to
//! an order that takes a store away, the report, the metrics and the log.

use super::ControlNode;
use crate::net::Millis;

/// How often a change is looked for, in ms.
const CHECK_INTERVAL_MS: Millis = 1000;

/// The stores that are there and neither retired nor about to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoresInService {
    /// Their number.
    pub count: usize,
    /// How many of them may be lost while messages are still accepted.
    pub spare: usize,
}

/// What was logged last, and when it is looked at again.
#[derive(Default)]
pub struct SpareStoreWatch {
    logged: Option<StoresInService>,
    next_check_at: Millis,
}

impl SpareStoreWatch {
    /// Notes what holds now. Returns whether it is to be logged: only where spare stores have run out, or are back.
    fn observe(&mut self, stores: StoresInService) -> bool {
        let has_spare = |stores: &StoresInService| stores.spare > 0;
        let before = self.logged.replace(stores).as_ref().map(has_spare);
        before != Some(has_spare(&stores))
    }
}

impl ControlNode {
    /// The stores in service, as the sessions of all control nodes and the orders in force say.
    pub(super) fn stores_in_service(&self) -> StoresInService {
        let committed = self.plane.group.committed();
        let is_ordered = |node| committed.is_some_and(|state| state.retirement(node).is_some());
        let stores = self.plane.registry.stores_remaining_without(is_ordered);
        let zones: Vec<&str> = stores.map(|store| store.zone.as_str()).collect();
        StoresInService { count: zones.len(), spare: self.runtime.boot.spare_stores(zones.iter().copied()) }
    }

    /// Logs where the last spare store is gone, or one is there again.
    pub(super) fn watch_spare_stores(&mut self, now: Millis) {
        if now < self.spare_store_watch.next_check_at || !self.plane.registry.is_ready() {
            return;
        }
        self.spare_store_watch.next_check_at = now + CHECK_INTERVAL_MS;
        let stores = self.stores_in_service();
        if !self.spare_store_watch.observe(stores) {
            return;
        }
        let StoresInService { count, spare } = stores;
        if spare == 0 {
            tracing::warn!(stores = count, "no spare store is left: the loss of another stops intake");
        } else {
            tracing::info!(stores = count, spare, "spare stores");
        }
    }
}

#[cfg(test)]
mod tests;
