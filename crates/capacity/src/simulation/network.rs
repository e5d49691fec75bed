//! The connections between simulated nodes, and what travels on them.

use super::node::Delivery;
use super::Simulation;
use crate::layout::{distance, Distance, Layout};
use crate::net::{ConnectionId, Event, Millis};
use crate::protocol::{Frame, FRAME_LENGTH_BYTES};
use crate::traffic::{Flow, Role};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// Connections that are accepted are numbered from here on, above all that nodes open.
const FIRST_ACCEPTED_CONNECTION: ConnectionId = 1 << 62;

/// How long a message takes one way.
pub(super) fn delay(distance: Distance) -> Millis {
    match distance {
        Distance::SameZone => 1,
        Distance::SameRegion => 2,
        Distance::OtherRegion => 10,
    }
}

/// One end of a connection.
#[derive(Clone, Copy)]
struct Endpoint {
    node: usize,
    connection: ConnectionId,
}

/// All connections.
pub(super) struct Network {
    by_address: HashMap<SocketAddrV4, usize>,
    /// The other end of each connection's end.
    other_ends: HashMap<ConnectionId, Endpoint>,
    by_node: Vec<BTreeSet<ConnectionId>>,
    /// How the connection that was accepted last is numbered.
    last_accepted: ConnectionId,
}

impl Network {
    /// No connections yet.
    pub fn new(layout: &Layout) -> Network {
        let places = layout.places.iter().enumerate();
        Network {
            by_address: places.map(|(node, place)| (place.listen_address(), node)).collect(),
            other_ends: HashMap::new(),
            by_node: vec![BTreeSet::new(); layout.places.len()],
            last_accepted: FIRST_ACCEPTED_CONNECTION,
        }
    }

    /// How many connections a node has.
    pub fn connection_count(&self, node: usize) -> usize {
        self.by_node[node].len()
    }

    /// Takes all connections away from a node, to be closed.
    pub fn take_connections(&mut self, node: usize) -> BTreeSet<ConnectionId> {
        std::mem::take(&mut self.by_node[node])
    }
}

impl Simulation {
    fn distance_between(&self, node: usize, other: usize) -> Distance {
        distance(self.layout.places[node].zone, self.layout.places[other].zone)
    }

    fn deliver_event(&mut self, delay: Millis, node: usize, event: Event) {
        self.deliver(self.now + delay, node, Delivery::Network(event));
    }

    /// A node opens a connection; to one that does not run it is closed at once.
    pub(super) fn dial(&mut self, node: usize, connection: ConnectionId, to: SocketAddrV4) {
        let running = |other: &usize| self.nodes[*other].is_some();
        let Some(other) = self.network.by_address.get(&to).copied().filter(running) else {
            return self.deliver_event(1, node, Event::PeerDisconnected { connection });
        };
        let network = &mut self.network;
        network.last_accepted += 1;
        let accepted = network.last_accepted;
        network.other_ends.insert(connection, Endpoint { node: other, connection: accepted });
        network.other_ends.insert(accepted, Endpoint { node, connection });
        network.by_node[node].insert(connection);
        network.by_node[other].insert(accepted);
        let one_way = delay(self.distance_between(node, other));
        self.deliver_event(2 * one_way, node, Event::PeerConnected { connection });
        self.deliver_event(one_way, other, Event::PeerConnected { connection: accepted });
    }

    /// A node sends a frame, which is counted.
    pub(super) fn send_frame(&mut self, node: usize, connection: ConnectionId, bytes: Vec<u8>) {
        let Some(there) = self.network.other_ends.get(&connection).copied() else { return };
        let distance = self.distance_between(node, there.node);
        let sender = Role::from(self.layout.places[node].role);
        let kind = postcard::from_bytes::<Frame>(&bytes).map_or("unread", |frame| frame.category());
        let flow = Flow { sender, kind, distance };
        self.traffic.count(flow, bytes.len() + FRAME_LENGTH_BYTES, Some(node), Some(there.node));
        let event = Event::PeerFrame { connection: there.connection, bytes };
        self.deliver_event(delay(distance), there.node, event);
    }

    /// A node closes a connection; the other end learns of it.
    pub(super) fn close_connection(&mut self, node: usize, connection: ConnectionId) {
        self.network.by_node[node].remove(&connection);
        let Some(there) = self.network.other_ends.remove(&connection) else { return };
        self.network.other_ends.remove(&there.connection);
        self.network.by_node[there.node].remove(&there.connection);
        let one_way = delay(self.distance_between(node, there.node));
        self.deliver_event(one_way, there.node, Event::PeerDisconnected { connection: there.connection });
    }
}
