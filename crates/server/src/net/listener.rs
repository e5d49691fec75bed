//! Listening sockets and the connections that they accept.

use super::connection::Protocol;
use super::server::ServerSide;
use super::{ConnectionId, Event, Millis, Net, RequestLimits, FIRST_LISTENER_TOKEN};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};

/// Identifier of a listener: listeners are numbered from 0 in the order in which they were opened.
pub type ListenerId = usize;

/// Maximum number of connections that one listener accepts per poll.
const MAX_ACCEPTS_PER_POLL: usize = 256;

/// Kind of client that connects to a listener.
#[derive(Clone, Copy)]
enum Accepts {
    /// HTTP clients.
    Http(RequestLimits),
    /// Other processes of the system.
    Peers,
}

/// State of one listening socket.
pub(super) struct Listener {
    socket: TcpListener,
    accepts: Accepts,
}

impl Net {
    /// Opens a listener for HTTP requests.
    ///
    /// # Errors
    ///
    /// The address can't be bound, or the socket can't be registered with the poll.
    pub fn listen_http(&mut self, at: SocketAddrV4, limits: RequestLimits) -> std::io::Result<ListenerId> {
        self.listen(at, Accepts::Http(limits))
    }

    /// Opens a listener for other processes of the system.
    ///
    /// # Errors
    ///
    /// The address can't be bound, or the socket can't be registered with the poll.
    pub fn listen_peers(&mut self, at: SocketAddrV4) -> std::io::Result<ListenerId> {
        self.listen(at, Accepts::Peers)
    }

    fn listen(&mut self, at: SocketAddrV4, accepts: Accepts) -> std::io::Result<ListenerId> {
        let mut socket = TcpListener::bind(SocketAddr::V4(at))?;
        let id = self.listeners.len();
        self.poll.registry().register(&mut socket, Token(FIRST_LISTENER_TOKEN + id), Interest::READABLE)?;
        self.listeners.push(Some(Listener { socket, accepts }));
        Ok(id)
    }

    /// Closes a listener; connections that it has accepted stay open.
    pub fn stop_listening(&mut self, id: ListenerId) {
        if let Some(mut listener) = self.listeners.get_mut(id).and_then(Option::take) {
            let _ = self.poll.registry().deregister(&mut listener.socket);
        }
    }

    /// Sets the request limits of a listener for future requests.
    pub fn set_limits(&mut self, id: ListenerId, limits: RequestLimits) {
        if let Some(Some(listener)) = self.listeners.get_mut(id) {
            listener.accepts = Accepts::Http(limits);
        }
    }

    /// Returns the request limits of a listener, or the default limits if the listener is closed.
    pub(super) fn request_limits(&self, id: ListenerId) -> RequestLimits {
        match self.listeners.get(id) {
            Some(Some(Listener { accepts: Accepts::Http(limits), .. })) => *limits,
            _ => RequestLimits::default(),
        }
    }

    /// Accepts the pending connections of a listener.
    pub(super) fn accept(&mut self, id: ListenerId) {
        for _ in 0..MAX_ACCEPTS_PER_POLL {
            let Some(Some(listener)) = self.listeners.get(id) else { return };
            let accepts = listener.accepts;
            match listener.socket.accept() {
                Ok((stream, _)) => self.accept_connection(id, accepts, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The connection ended before it was accepted, or no file descriptor is free: continue with the next
                // connection.
                Err(_) => self.connections_rejected += 1,
            }
        }
    }

    fn accept_connection(&mut self, id: ListenerId, accepts: Accepts, stream: TcpStream) {
        match accepts {
            Accepts::Http(limits) => {
                let protocol = Protocol::Server(ServerSide::new(id));
                self.add_connection(stream, protocol, true, self.now + limits.idle_timeout_ms);
            }
            Accepts::Peers => {
                if let Some(connection) = self.add_connection(stream, Protocol::Peer, true, Millis::MAX) {
                    self.limit_unacknowledged_time(connection);
                    self.events.push_back(Event::PeerConnected { connection });
                }
            }
        }
    }

    /// Adds a connection to the event loop. Returns `None`, and drops the connection, if the table is full.
    pub(super) fn add_connection(
        &mut self,
        mut stream: TcpStream,
        protocol: Protocol,
        is_established: bool,
        deadline: Millis,
    ) -> Option<ConnectionId> {
        let Some(index) = self.connections.reserve() else {
            self.connections_rejected += 1;
            return None;
        };
        // Disables Nagle's algorithm, so that small messages are sent immediately instead of waiting for the
        // acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(index), interest).is_err() {
            self.connections.release(index);
            return None;
        }
        let id = self.connections.insert(index, stream, protocol, is_established, deadline);
        self.timers.add(id, deadline);
        Some(id)
    }
}
