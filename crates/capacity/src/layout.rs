//! Which nodes, zones and executors a fleet of a given size has.

use crate::links::listen_address;
use crate::protocol::{NodeRole, PeerInfo, PROTOCOL_VERSION};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_queue::Node;

/// The region of each zone: three regions with eight zones, as the operators' target has them.
pub const REGION_OF_ZONE: [usize; 8] = [0, 0, 0, 1, 1, 1, 2, 2];
/// Machines that are set aside for control, at every size: one each in six of the zones.
pub const CONTROL_NODES: usize = 6;
/// Zones that have a control node: two of each region.
const CONTROL_ZONES: [usize; CONTROL_NODES] = [0, 3, 6, 1, 4, 7];
/// One node in so many is a store.
const NODES_PER_STORE: usize = 5;
/// One service for so many executors.
const EXECUTORS_PER_SERVICE: usize = 30;
/// A process listens at one of the first three of these ports, by its role.
pub const INTERNAL_PORTS: (u16, u16) = (7000, 7002);
/// Where a control node takes heartbeats.
const CONTROL_PORT: u16 = 7100;

/// How far a frame goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
pub enum Distance {
    /// Both ends are in one zone.
    #[strum(serialize = "in a zone")]
    SameZone,
    /// The ends are in two zones of one region.
    #[strum(serialize = "between zones")]
    SameRegion,
    /// The ends are in two regions.
    #[strum(serialize = "between regions")]
    OtherRegion,
}

/// How far it is from one zone to another.
pub fn distance(from_zone: usize, to_zone: usize) -> Distance {
    match (from_zone == to_zone, REGION_OF_ZONE[from_zone] == REGION_OF_ZONE[to_zone]) {
        (true, _) => Distance::SameZone,
        (false, true) => Distance::SameRegion,
        (false, false) => Distance::OtherRegion,
    }
}

/// The name of a zone, as nodes and executors give it.
pub fn zone_name(zone: usize) -> String {
    format!("region{}-zone{}", REGION_OF_ZONE[zone] + 1, zone + 1)
}

/// The zone with this name. Nodes and executors are only ever given names from [`zone_name`].
pub fn zone_number(name: &str) -> Option<usize> {
    (0..REGION_OF_ZONE.len()).find(|zone| zone_name(*zone) == name)
}

/// One node of the fleet, which keeps all of this over restarts.
#[derive(Clone, Debug)]
pub struct Place {
    /// What the node does.
    pub role: NodeRole,
    /// The zone that it runs in.
    pub zone: usize,
    /// Its name.
    pub name: String,
    /// The address of its machine.
    pub ip: Ipv4Addr,
}

impl Place {
    fn new(role: NodeRole, number: usize, zone: usize) -> Place {
        let name = format!("{role}-{}-{number}", zone_name(zone));
        let block = match role {
            NodeRole::Control => 1,
            NodeRole::Store => 2,
            NodeRole::Edge | NodeRole::CommandLine => 3,
        };
        let ip = Ipv4Addr::new(10, block, (number >> 8) as u8, (number & 0xFF) as u8);
        Place { role, zone, name, ip }
    }

    /// The node's identifier: a hash of its name, as in the real program.
    pub fn node(&self) -> Node {
        (stileroute_dispatch::types::mark(&self.name) >> 32) as Node
    }

    /// Where a control node takes heartbeats.
    pub fn control_address(&self) -> Option<SocketAddrV4> {
        (self.role == NodeRole::Control).then(|| SocketAddrV4::new(self.ip, CONTROL_PORT))
    }

    /// Where the node listens for its peers.
    pub fn listen_address(&self) -> SocketAddrV4 {
        listen_address(INTERNAL_PORTS, self.ip, self.role)
    }

    /// What a process of the node says of itself.
    pub fn peer_info(&self, incarnation: u64) -> PeerInfo {
        PeerInfo {
            protocol_version: PROTOCOL_VERSION,
            node: self.node(),
            name: self.name.clone(),
            role: self.role,
            zone: zone_name(self.zone),
            ip: self.ip,
            incarnation,
            control_address: self.control_address(),
        }
    }
}

/// A whole fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// All nodes: control nodes first, then stores, then edges.
    pub places: Vec<Place>,
    /// How many executors there are.
    pub executors: usize,
    /// How many services they belong to.
    pub services: usize,
}

impl Layout {
    /// A fleet with so many nodes; the smallest one has six control nodes, a store and an edge.
    pub fn new(nodes: usize, executors_per_node: usize) -> Layout {
        let zones = REGION_OF_ZONE.len();
        let stores = (nodes / NODES_PER_STORE).max(1);
        let edges = nodes.saturating_sub(CONTROL_NODES + stores).max(1);
        let control =
            CONTROL_ZONES.iter().enumerate().map(|(n, zone)| Place::new(NodeRole::Control, n, *zone));
        let store = (0..stores).map(|n| Place::new(NodeRole::Store, n, n % zones));
        let edge = (0..edges).map(|n| Place::new(NodeRole::Edge, n, n % zones));
        let executors = nodes * executors_per_node;
        Layout {
            places: control.chain(store).chain(edge).collect(),
            executors,
            services: executors.div_ceil(EXECUTORS_PER_SERVICE),
        }
    }

    /// The control nodes that each process knows at its start: three, as the operators' settings name them.
    pub fn seeds(&self) -> Vec<SocketAddrV4> {
        self.places.iter().filter_map(Place::control_address).take(3).collect()
    }

    /// The first node with a role.
    pub fn first(&self, role: NodeRole) -> Option<usize> {
        self.places.iter().position(|place| place.role == role)
    }
}
