//! Messages between nodes: one datagram each, to and from the addresses that the configuration names.
//!
//! Nothing waits on one and no rule rests on one: a lost datagram only makes news older. What comes from elsewhere,
//! or is longer than a message may be, is counted and dropped; so is what comes faster than the desk takes it.

use crate::port::{Carrier, Event};
use crossbeam_channel::Sender;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use stileroute_dispatch::peers::MAX_MESSAGE_BYTES;
use stileroute_dispatch::types::OutgoingMessage;
use thiserror::Error;

/// The longest that the desk may be held up by a message that finds no room on its way out.
const MOST: Duration = Duration::from_millis(1);
/// After a failed read, so that one that goes on failing takes no core.
const PAUSE: Duration = Duration::from_millis(10);

/// Why a node can't exchange messages with others.
#[derive(Debug, Error)]
pub enum PeersError {
    /// Its own address can't be opened.
    #[error("peers.nodes[{node}]: {source}")]
    Bind { node: usize, source: io::Error },
    /// There is no second descriptor for what comes in.
    #[error("peers: {0}")]
    Clone(io::Error),
}

/// The carrier of a node's messages.
pub struct Peers {
    socket: UdpSocket,
    me: usize,
    /// Addresses of all nodes, by number.
    nodes: Vec<SocketAddr>,
    /// Datagrams that were dropped here.
    dropped: Arc<AtomicU64>,
}

impl Peers {
    pub fn open(me: usize, nodes: &[SocketAddr]) -> Result<Peers, PeersError> {
        let socket = UdpSocket::bind(nodes[me])
            .and_then(|socket| socket.set_write_timeout(Some(MOST)).map(|()| socket))
            .map_err(|source| PeersError::Bind { node: me, source })?;
        Ok(Peers { socket, me, nodes: nodes.to_vec(), dropped: Arc::default() })
    }

    /// What takes messages in, for a thread of its own: it ends with the desk.
    pub fn receiver(&self) -> Result<impl FnOnce(Sender<Event>) + Send + 'static, PeersError> {
        let socket = self.socket.try_clone().map_err(PeersError::Clone)?;
        let (nodes, dropped) = (self.nodes.clone(), self.dropped.clone());
        Ok(move |desk: Sender<Event>| {
            let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
            loop {
                let Ok((length, from)) = socket.recv_from(&mut bytes) else {
                    std::thread::sleep(PAUSE);
                    continue;
                };
                let from =
                    nodes.iter().position(|node| *node == from).filter(|_| length <= MAX_MESSAGE_BYTES);
                let event = from.map(|from| Event::Heard { from, text: bytes[..length].to_vec() });
                match event.map(|event| desk.try_send(event)) {
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

impl Carrier for Peers {
    /// One that can't leave by then is dropped.
    fn send(&self, letter: &OutgoingMessage) {
        for (number, node) in self.nodes.iter().enumerate() {
            if number != self.me && letter.to.is_none_or(|to| to == number) {
                let _ = self.socket.send_to(&letter.text, node);
            }
        }
    }

    fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
