//! The network as one simulated node sees it, with the calls that `crates/server/src/links.rs` makes.

use std::net::SocketAddrV4;

/// A connection, numbered over all nodes of the simulation.
pub type ConnectionId = u64;
/// Milliseconds on the simulated clock.
pub type Millis = u64;

/// What the network tells a node.
#[derive(Debug)]
pub enum Event {
    PeerConnected {
        connection: ConnectionId,
    },
    PeerDisconnected {
        connection: ConnectionId,
    },
    PeerFrame {
        connection: ConnectionId,
        bytes: Vec<u8>,
    },
    /// Never sent here: the real network has events that are not of links.
    WakeUp,
}

/// What a node has told the network to do in one turn.
#[derive(Debug)]
pub enum Action {
    Dial { conn: ConnectionId, to: SocketAddrV4 },
    Send { conn: ConnectionId, bytes: Vec<u8> },
    Close { conn: ConnectionId },
}

/// Collects what one node does; the simulation carries it out after the node's turn.
pub struct Net {
    now: Millis,
    next_conn: ConnectionId,
    actions: Vec<Action>,
}

impl Net {
    /// `first_conn`: connections that this node opens are numbered from here on.
    pub fn new(now: Millis, first_conn: ConnectionId) -> Net {
        Net { now, next_conn: first_conn, actions: Vec::new() }
    }

    pub fn set_now(&mut self, now: Millis) {
        self.now = now;
    }

    pub fn now(&self) -> Millis {
        self.now
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub fn dial(&mut self, to: SocketAddrV4) -> Option<ConnectionId> {
        self.next_conn += 1;
        self.actions.push(Action::Dial { conn: self.next_conn, to });
        Some(self.next_conn)
    }

    pub fn send(&mut self, conn: ConnectionId, frame: &[u8]) {
        self.actions.push(Action::Send { conn, bytes: frame.to_vec() });
    }

    pub fn close(&mut self, conn: ConnectionId) {
        self.actions.push(Action::Close { conn });
    }

    /// The real network cuts a connection on which something unreadable came.
    pub fn close_malformed(&mut self, conn: ConnectionId) {
        self.close(conn);
    }
}
