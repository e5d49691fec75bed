//! Selects the nodes that an edge or a store dials.

use crate::node::NodeRuntime;
use crate::protocol::{Member, NodeRole};

impl NodeRuntime {
    /// After a topology change, sets the addresses that this process dials: all control nodes, and the stores in the
    /// membership for which `should_dial` returns true.
    pub fn update_dial_targets(&mut self, should_dial: impl Fn(&Member) -> bool) {
        if !self.take_topology_change() {
            return;
        }
        let mut targets = self.control_dial_targets();
        let members = self.session.members.iter();
        let stores = members.filter(|member| member.role == NodeRole::Store && should_dial(member));
        targets.extend(stores.map(|store| self.links.listen_address(store.ip, NodeRole::Store)));
        let now = self.net.now();
        self.links.set_dial_targets(now, targets);
    }
}
