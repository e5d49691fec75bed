//! With whom an edge or a store opens connections.

use crate::node::NodeRuntime;
use crate::protocol::{Member, NodeRole};

impl NodeRuntime {
    /// If the topology has changed, says with whom connections are to be opened from here: with control nodes, and with those
    /// stores of the membership for which `dials` holds.
    pub fn update_dial_targets(&mut self, dials: impl Fn(&Member) -> bool) {
        if !self.take_topology_change() {
            return;
        }
        let mut targets = self.control_dial_targets();
        let members = self.session.members.iter();
        let stores = members.filter(|member| member.role == NodeRole::Store && dials(member));
        targets.extend(stores.map(|store| self.links.listen_address(store.ip, NodeRole::Store)));
        let now = self.net.now();
        self.links.set_dial_targets(now, targets);
    }
}
