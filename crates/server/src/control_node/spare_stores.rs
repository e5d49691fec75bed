//! The number of stores that may be lost before messages are rejected because too few stores are left for their
//! replicas. It is used in the answer to a retirement order, the report, the metrics and the log.

use super::ControlNode;
use crate::net::Millis;

/// Interval in ms at which the number of spare stores is checked for a change.
const SPARE_STORE_CHECK_INTERVAL_MS: Millis = 1000;

/// Stores that are members and neither retired nor ordered to retire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoresInService {
    /// Number of stores in service.
    pub count: usize,
    /// Number of stores in service that may be lost while messages are still accepted.
    pub spare: usize,
}

/// The last logged number of spare stores, and when to check it again.
#[derive(Default)]
pub struct SpareStoreMonitor {
    logged: Option<StoresInService>,
    next_check_at: Millis,
}

impl SpareStoreMonitor {
    /// Records the present state. Returns whether to log it, which is only if spare stores have run out or are
    /// available again.
    fn observe(&mut self, stores: StoresInService) -> bool {
        let has_spare = |stores: &StoresInService| stores.spare > 0;
        let before = self.logged.replace(stores).as_ref().map(has_spare);
        before != Some(has_spare(&stores))
    }
}

impl ControlNode {
    /// The stores in service, according to the sessions of all control nodes and the retirement orders in force.
    pub(super) fn stores_in_service(&self) -> StoresInService {
        let committed = self.plane.group.committed();
        let is_ordered = |node| committed.is_some_and(|state| state.retirement(node).is_some());
        let stores = self.plane.registry.stores_remaining_without(is_ordered);
        let zones: Vec<&str> = stores.map(|store| store.zone.as_str()).collect();
        StoresInService { count: zones.len(), spare: self.runtime.boot.spare_stores(zones.iter().copied()) }
    }

    /// Logs when the last spare store is lost and when one is available again.
    pub(super) fn check_spare_stores(&mut self, now: Millis) {
        if now < self.spare_store_monitor.next_check_at || !self.plane.registry.is_ready() {
            return;
        }
        self.spare_store_monitor.next_check_at = now + SPARE_STORE_CHECK_INTERVAL_MS;
        let stores = self.stores_in_service();
        if !self.spare_store_monitor.observe(stores) {
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
