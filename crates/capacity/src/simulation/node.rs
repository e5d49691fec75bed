//! One simulated node whose process runs, and what its turns cost.

use super::Cost;
use crate::allocation::live_bytes;
use crate::control_node::ControlNode;
use crate::cpu_time::thread_cpu_ns;
use crate::layout::{Layout, INTERNAL_PORTS};
use crate::links::Links;
use crate::member_node::MemberNode;
use crate::net::{Action, ConnectionId, Event, Millis, Net};
use crate::protocol::{Heartbeat, NodeRole};
use stileroute_control_group::PersistedState;

/// So many numbers are set aside for the connections that one process opens.
const CONNECTIONS_PER_PROCESS: ConnectionId = 1 << 24;

/// What reaches a node from outside.
pub(super) enum Delivery {
    /// Something happened to a connection.
    Network(Event),
    /// An executor's heartbeat, for a control node.
    Heartbeat(Heartbeat),
}

impl Delivery {
    /// Bytes on the heap beside the value itself.
    fn heap_bytes(&self) -> i64 {
        let bytes = match self {
            Delivery::Network(Event::PeerFrame { bytes, .. }) => bytes.capacity(),
            Delivery::Network(_) => 0,
            Delivery::Heartbeat(heartbeat) => {
                heartbeat.id.capacity() + heartbeat.backend.capacity() + heartbeat.zone.capacity()
            }
        };
        bytes as i64
    }
}

/// Bytes on the heap beside the value itself.
fn action_heap_bytes(action: &Action) -> i64 {
    match action {
        Action::Send { bytes, .. } => bytes.capacity() as i64,
        Action::Dial { .. } | Action::Close { .. } => 0,
    }
}

/// The role's own state.
pub(super) enum NodeState {
    Control(Box<ControlNode>),
    /// An edge or a store.
    Member(Box<MemberNode>),
}

/// A node whose process runs.
pub(super) struct RunningNode {
    pub state: NodeState,
    /// When it takes its next turn if nothing reaches it before.
    pub deadline: Millis,
    net: Net,
    links: Links,
}

impl RunningNode {
    /// Starts a process, the `process`th of the simulation. Returns also how many bytes on the heap it holds.
    pub fn start(
        layout: &Layout,
        node: usize,
        disk: Option<PersistedState>,
        incarnation: u64,
        process: u64,
        now: Millis,
    ) -> (RunningNode, i64) {
        let before = live_bytes();
        let place = &layout.places[node];
        let peer_info = place.peer_info(incarnation);
        let state = match place.role {
            NodeRole::Control => {
                NodeState::Control(Box::new(ControlNode::new(&peer_info, layout, disk, now)))
            }
            _ => NodeState::Member(Box::new(MemberNode::new(place, layout))),
        };
        let net = Net::new(now, process * CONNECTIONS_PER_PROCESS);
        let links = Links::new(peer_info, INTERNAL_PORTS);
        (RunningNode { state, deadline: now, net, links }, live_bytes() - before)
    }

    /// Handles what has reached the node and what is due, and returns what it does to the network. The cost is added to `cost`;
    /// what is handed in and out does not count as held by the node.
    pub fn take_turn(&mut self, now: Millis, deliveries: Vec<Delivery>, cost: &mut Cost) -> Vec<Action> {
        let list_bytes = (deliveries.capacity() * size_of::<Delivery>()) as i64;
        let handed_in = list_bytes + deliveries.iter().map(Delivery::heap_bytes).sum::<i64>();
        let (bytes_before, cpu_before) = (live_bytes(), thread_cpu_ns());
        let actions = self.handle(now, deliveries);
        let (cpu_after, bytes_after) = (thread_cpu_ns(), live_bytes());
        let list_bytes = (actions.capacity() * size_of::<Action>()) as i64;
        let handed_out = list_bytes + actions.iter().map(action_heap_bytes).sum::<i64>();
        cost.cpu_ns += cpu_after.saturating_sub(cpu_before);
        cost.turns += 1;
        cost.heap_bytes += bytes_after - bytes_before + handed_in - handed_out;
        self.deadline = self.next_deadline(now).max(now + 1);
        actions
    }

    fn handle(&mut self, now: Millis, deliveries: Vec<Delivery>) -> Vec<Action> {
        let RunningNode { net, links, state, .. } = self;
        net.set_now(now);
        let mut link_events = Vec::new();
        for delivery in deliveries {
            match (delivery, &mut *state) {
                (Delivery::Network(event), _) => {
                    links.handle_event(net, event, &mut link_events);
                }
                (Delivery::Heartbeat(heartbeat), NodeState::Control(node)) => {
                    node.record_heartbeat(now, heartbeat)
                }
                (Delivery::Heartbeat(_), NodeState::Member(_)) => {}
            }
        }
        link_events.extend(links.tick(net));
        for link_event in link_events {
            match state {
                NodeState::Control(node) => node.link_event(links, now, link_event),
                NodeState::Member(node) => node.handle_link_event(links, net, link_event),
            }
        }
        match state {
            NodeState::Control(node) => node.tick(links, net),
            NodeState::Member(node) => node.tick(links, net),
        }
        net.take_actions()
    }

    fn next_deadline(&self, now: Millis) -> Millis {
        let own = match &self.state {
            NodeState::Control(node) => node.next_deadline(now),
            NodeState::Member(node) => node.next_deadline(now),
        };
        own.min(self.links.next_deadline())
    }
}
