//! Connections between the system's own processes, which carry frames.

use super::connection::Protocol;
use super::framing;
use super::{ConnectionId, Event, Millis, Net};
use mio::net::TcpStream;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Maximum number of unwritten output bytes on one connection before it is closed.
const MAX_BACKLOG_BYTES: usize = 32 << 20;
/// Maximum time to establish a connection to a peer, in milliseconds. It is short because another attempt follows
/// immediately: a machine that is switched off sends no reply, and an attempt from before its restart would still
/// hang once it is back.
const DIAL_TIMEOUT_MS: Millis = 200;
/// Maximum time for which sent bytes may stay unacknowledged before the operating system closes the connection
/// (`TCP_USER_TIMEOUT`, RFC 5482).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

impl Net {
    /// Opens a connection to another process of the system. [`Event::PeerConnected`] or [`Event::PeerDisconnected`]
    /// follows. Returns `None` if the connection attempt could not even be started.
    pub fn dial(&mut self, to: SocketAddrV4) -> Option<ConnectionId> {
        let stream = TcpStream::connect(SocketAddr::V4(to)).ok()?;
        let id = self.add_connection(stream, Protocol::Peer, false, self.now + DIAL_TIMEOUT_MS)?;
        self.limit_unacknowledged_time(id);
        Some(id)
    }

    /// Sends a frame. If the peer reads too slowly and the unwritten output exceeds its limit, closes the connection
    /// instead.
    pub fn send(&mut self, id: ConnectionId, frame: &[u8]) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.output.bytes.len() + frame.len() > MAX_BACKLOG_BYTES {
            self.close(id);
            return;
        }
        framing::append_frame(&mut connection.output.bytes, frame);
        self.queue_flush(id);
    }

    /// Closes a connection whose peer sends malformed data.
    pub fn close_malformed(&mut self, id: ConnectionId) {
        self.malformed_inputs += 1;
        self.close(id);
    }

    /// Sets a time-out for unacknowledged bytes on a connection: a machine that is switched off does not close its
    /// connections.
    pub(super) fn limit_unacknowledged_time(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(id) {
            let socket = socket2::SockRef::from(&connection.stream);
            let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        }
    }

    /// Takes the complete frames from the connection's input buffer.
    pub(super) fn take_peer_frames(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let (frames, end) = framing::take_frames(&mut connection.input);
        connection.shrink_input();
        self.events.extend(frames.into_iter().map(|bytes| Event::PeerFrame { connection: id, bytes }));
        if end.is_err() {
            self.close_malformed(id);
        }
    }
}
