//! The network as one simulated node sees it, with the calls that `crates/server/src/links.rs` makes.

use std::net::SocketAddrV4;

/// A connection, numbered over all nodes of the simulation.
pub type ConnId = u64;
/// Milliseconds on the simulated clock.
pub type Millis = u64;

/// What the network tells a node.
#[derive(Debug)]
pub enum Event {
    PeerUp {
        conn: ConnId,
    },
    PeerDown {
        conn: ConnId,
    },
    Frame {
        conn: ConnId,
        bytes: Vec<u8>,
    },
    /// Never sent here: the real network has events that are not of links.
    Woken,
}

/// What a node has told the network to do in one turn.
#[derive(Debug)]
pub enum Action {
    Dial { conn: ConnId, to: SocketAddrV4 },
    Send { conn: ConnId, bytes: Vec<u8> },
    Close { conn: ConnId },
}

/// Collects what one node does; the simulation carries it out after the node's turn.
pub struct Net {
    now: Millis,
    next_conn: ConnId,
    actions: Vec<Action>,
}

impl Net {
    /// `first_conn`: connections that this node opens are numbered from here on.
    pub fn new(now: Millis, first_conn: ConnId) -> Net {
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

    pub fn dial(&mut self, to: SocketAddrV4) -> Option<ConnId> {
        self.next_conn += 1;
        self.actions.push(Action::Dial { conn: self.next_conn, to });
        Some(self.next_conn)
    }

    pub fn send(&mut self, conn: ConnId, frame: &[u8]) {
        self.actions.push(Action::Send { conn, bytes: frame.to_vec() });
    }

    pub fn close(&mut self, conn: ConnId) {
        self.actions.push(Action::Close { conn });
    }

    /// The real network cuts a connection on which something unreadable came.
    pub fn garble(&mut self, conn: ConnId) {
        self.close(conn);
    }
}
