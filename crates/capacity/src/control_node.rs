//! A control node: the real registry and the real control group, driven by the same code as in `stilerouted`
//! ([`crate::control_plane`]), with a disk that is simulated.

use crate::control_plane::{member_of, ControlPlane};
use crate::layout::Layout;
use crate::links::{LinkEvent, Links};
use crate::net::{Millis, Net};
use crate::protocol::{Heartbeat, PeerInfo};
use std::net::SocketAddrV4;
use stileroute_control_group::{ControlGroup, Effect, GroupSettings, PersistedState};
use stileroute_registry::Registry;

/// Machines that the fleet may lose.
const TOLERATED_LOSSES: usize = 1;
/// How long a write takes, in ms.
const DISK_LATENCY_MS: Millis = 1;

/// A write that the disk has not done with.
struct PendingWrite {
    done_at: Millis,
    ticket: u64,
}

/// A control node of the simulation.
pub struct ControlNode {
    plane: ControlPlane,
    pending_writes: Vec<PendingWrite>,
    last_ticket: u64,
    disk: PersistedState,
}

impl ControlNode {
    /// A node that begins at `now`. `disk` is what an earlier incarnation of it has kept; none at the first start of all.
    pub fn new(peer: &PeerInfo, layout: &Layout, disk: Option<PersistedState>, now: Millis) -> ControlNode {
        let seeds = layout.seeds();
        let address = peer.control_address.unwrap_or(SocketAddrV4::new(peer.ip, 0));
        let settings =
            GroupSettings::new(address, seeds.clone(), disk.is_none(), TOLERATED_LOSSES, peer.incarnation);
        let disk = disk.unwrap_or_default();
        let registry =
            Registry::new(member_of(peer, 0), peer.incarnation, crate::heartbeat::HEARTBEAT_INTERVAL, now);
        let group = ControlGroup::new(settings, disk.clone(), now);
        ControlNode {
            plane: ControlPlane::new(group, registry, seeds),
            pending_writes: Vec::new(),
            last_ticket: 1,
            disk,
        }
    }

    /// What its disk holds as it ends.
    pub fn into_disk(self) -> PersistedState {
        self.disk
    }

    /// Which nodes and executors it knows.
    pub fn registry(&self) -> &Registry {
        &self.plane.registry
    }

    /// Version of the configuration in force here; 0 where there is none.
    pub fn version_in_force(&self) -> u64 {
        self.plane.group.committed().map_or(0, |state| state.version)
    }

    /// An operator sends a configuration.
    pub fn replace_configuration(&mut self, now: Millis, version: u64, body: Vec<u8>) {
        self.last_ticket += 1;
        self.plane.group.replace_configuration(now, self.last_ticket, version, body);
    }

    /// An executor sends a heartbeat.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        self.plane.registry.record_heartbeat(now, heartbeat);
    }

    /// When it has something to do at the latest, if nothing happens before.
    pub fn next_deadline(&self, now: Millis) -> Millis {
        let disk = self.pending_writes.iter().map(|write| write.done_at).min().unwrap_or(Millis::MAX);
        self.plane.next_deadline(now).min(disk)
    }

    /// Takes in what happened on a link.
    pub fn link_event(&mut self, links: &Links, now: Millis, link_event: LinkEvent) {
        self.plane.link_event(links, now, link_event);
    }

    /// Does what is due, and sends what there is to send.
    pub fn tick(&mut self, links: &mut Links, net: &mut Net) {
        let now = net.now();
        self.finish_writes(now);
        self.plane.group.tick(now);
        self.apply_group_effects(links, net);
        self.plane.set_dial_targets(links, now);
        self.plane.publish(links, net, now);
    }

    fn finish_writes(&mut self, now: Millis) {
        let writes = std::mem::take(&mut self.pending_writes);
        let (done, pending): (Vec<_>, Vec<_>) = writes.into_iter().partition(|write| write.done_at <= now);
        self.pending_writes = pending;
        done.into_iter().for_each(|write| self.plane.group.persisted(now, write.ticket, true));
    }

    fn apply_group_effects(&mut self, links: &mut Links, net: &mut Net) {
        loop {
            let effects = self.plane.group.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                // Nothing but writes is left to this node: it has no calls to answer.
                if let Some(Effect::Persist { ticket, record }) = self.plane.send(links, net, effect) {
                    self.disk.apply(record);
                    self.pending_writes.push(PendingWrite { done_at: net.now() + DISK_LATENCY_MS, ticket });
                }
            }
        }
    }
}
