//! The network as one simulated node sees it, with the calls that `crates/server/src/links.rs` makes.

use std::net::SocketAddrV4;

/// A connection, numbered over all nodes of the simulation.
pub type ConnectionId = u64;
/// Milliseconds on the simulated clock.
pub type Millis = u64;

/// What the network tells a node.
#[derive(Debug)]
pub enum Event {
    /// A connection is established.
    PeerConnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection is closed, or could not be established.
    PeerDisconnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A frame has come.
    PeerFrame {
        /// The connection.
        connection: ConnectionId,
        /// The frame's content.
        bytes: Vec<u8>,
    },
    /// Never sent here: the real network has events that are not about connections between processes.
    WakeUp,
}

/// What a node has told the network to do in one turn.
#[derive(Debug)]
pub enum Action {
    /// Open a connection.
    Dial {
        /// The identifier that the node gave it.
        connection: ConnectionId,
        /// The other side.
        to: SocketAddrV4,
    },
    /// Send a frame.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The frame's content.
        bytes: Vec<u8>,
    },
    /// Close a connection.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
}

/// Collects what one node does; the simulation carries it out after the node's turn.
pub struct Net {
    now: Millis,
    next_connection: ConnectionId,
    actions: Vec<Action>,
}

impl Net {
    /// No connections yet; those that the node opens are numbered from `first_connection` on.
    pub fn new(now: Millis, first_connection: ConnectionId) -> Net {
        Net { now, next_connection: first_connection, actions: Vec::new() }
    }

    /// Sets the clock.
    pub fn set_now(&mut self, now: Millis) {
        self.now = now;
    }

    /// The time of the node's present turn.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// What the node has done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Opens a connection; always possible here.
    pub fn dial(&mut self, to: SocketAddrV4) -> Option<ConnectionId> {
        self.next_connection += 1;
        self.actions.push(Action::Dial { connection: self.next_connection, to });
        Some(self.next_connection)
    }

    /// Sends a frame.
    pub fn send(&mut self, connection: ConnectionId, frame: &[u8]) {
        self.actions.push(Action::Send { connection, bytes: frame.to_vec() });
    }

    /// Closes a connection.
    pub fn close(&mut self, connection: ConnectionId) {
        self.actions.push(Action::Close { connection });
    }

    /// Closes a connection on which something came that can't be understood.
    pub fn close_malformed(&mut self, connection: ConnectionId) {
        self.close(connection);
    }
}
