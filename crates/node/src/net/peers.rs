//! Messages between nodes: one datagram each, between the addresses in the configuration.
//!
//! No code waits for a message and no guarantee depends on one: a lost datagram only delays an update.
//! Datagrams from other addresses, of excess length, or arriving faster than the dispatch loop takes them are
//! counted and dropped.

use crate::interfaces::{Event, PeerTransport};
use crossbeam_channel::Sender;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use stileroute_dispatch::peers::MAX_MESSAGE_BYTES;
use stileroute_dispatch::types::OutgoingMessage;
use thiserror::Error;

/// The longest time that sending a message may block the dispatch loop while the socket buffer is full.
const SEND_TIMEOUT: Duration = Duration::from_millis(1);
/// Delay after a failed read, so that persistent failures do not occupy a processor core.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why messages between nodes could not be started.
#[derive(Debug, Error)]
pub enum PeersError {
    /// The node's own address could not be bound.
    #[error("peers.nodes[{node}]: {source}")]
    Bind { node: usize, source: io::Error },
    /// The socket could not be duplicated for the receiving thread.
    #[error("peers: {0}")]
    Clone(io::Error),
}

/// Sends this node's messages to the other nodes.
pub struct Peers {
    socket: UdpSocket,
    own_index: usize,
    /// Addresses of all nodes, by node number.
    nodes: Vec<SocketAddr>,
    /// Number of received datagrams that were dropped.
    dropped: Arc<AtomicU64>,
}

impl Peers {
    pub fn open(own_index: usize, nodes: &[SocketAddr]) -> Result<Peers, PeersError> {
        let socket = UdpSocket::bind(nodes[own_index])
            .and_then(|socket| socket.set_write_timeout(Some(SEND_TIMEOUT)).map(|()| socket))
            .map_err(|source| PeersError::Bind { node: own_index, source })?;
        Ok(Peers { socket, own_index, nodes: nodes.to_vec(), dropped: Arc::default() })
    }

    /// Returns the receive loop, to be run on its own thread. It ends with the dispatch loop.
    pub fn receiver(&self) -> Result<impl FnOnce(Sender<Event>) + Send + 'static, PeersError> {
        let socket = self.socket.try_clone().map_err(PeersError::Clone)?;
        let (nodes, dropped) = (self.nodes.clone(), self.dropped.clone());
        Ok(move |dispatch_loop: Sender<Event>| {
            let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
            loop {
                let Ok((length, from)) = socket.recv_from(&mut bytes) else {
                    std::thread::sleep(READ_RETRY_DELAY);
                    continue;
                };
                let from =
                    nodes.iter().position(|node| *node == from).filter(|_| length <= MAX_MESSAGE_BYTES);
                let event = from.map(|from| Event::PeerMessage { from, text: bytes[..length].to_vec() });
                match event.map(|event| dispatch_loop.try_send(event)) {
                    Some(Ok(())) => {}
                    Some(Err(error)) if error.is_disconnected() => return,
                    _ => {
                        dropped.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
        })
    }
}

impl PeerTransport for Peers {
    /// A message that cannot be sent within the time-out is dropped.
    fn send(&self, message: &OutgoingMessage) {
        for (number, node) in self.nodes.iter().enumerate() {
            if number != self.own_index && message.to.is_none_or(|to| to == number) {
                let _ = self.socket.send_to(&message.text, node);
            }
        }
    }

    fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
