//! Moves bytes between sockets and buffers, and passes received bytes to the connection's protocol.

use super::client::reply::MAX_REPLY_BYTES;
use super::connection::{Protocol, WriteResult};
use super::framing::MAX_FRAME_BYTES;
use super::{ConnectionId, Event, Millis, Net};
use std::io::{ErrorKind, Read};
use std::net::Shutdown;

/// Maximum time for which a connection stays open after its last response, in milliseconds, so that the client can
/// close it first.
const LINGER_MS: Millis = 1000;
/// Maximum number of bytes that a frame occupies in the input buffer in addition to its content.
const FRAME_OVERHEAD_BYTES: usize = 8;
/// Minimum input limit of an HTTP connection in bytes, regardless of the limits for requests.
const MIN_REQUEST_INPUT_BYTES: usize = 1 << 20;

impl Net {
    // ---- Writing ----

    /// Queues the connection to have its output written at the next flush.
    pub(super) fn queue_flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !std::mem::replace(&mut connection.output.is_queued, true) {
            self.unflushed.push(id);
        }
    }

    /// Writes all queued output. Each poll starts with a flush, and a process that is about to exit flushes once
    /// more.
    pub fn flush(&mut self) {
        for id in std::mem::take(&mut self.unflushed) {
            self.write(id);
        }
    }

    fn write(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.output.is_queued = false;
        if !connection.is_established {
            return;
        }
        match connection.write_output() {
            WriteResult::Blocked => {}
            WriteResult::Failed => self.connection_failed(id),
            WriteResult::Complete if connection.closes_after_output => self.linger(id),
            WriteResult::Complete => {}
        }
    }

    /// Handles the end of the last response: waits for the client to close the connection.
    fn linger(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.protocol = Protocol::Lingering;
        connection.input = Vec::new();
        let _ = connection.stream.shutdown(Shutdown::Write);
        if connection.has_input_ended {
            return self.close(id);
        }
        self.set_deadline(id, self.now + LINGER_MS);
    }

    // ---- Reading ----

    /// Handles a poll event that reports the connection in a slot as readable or writable.
    pub(super) fn connection_ready(&mut self, index: usize, is_readable: bool, is_writable: bool) {
        let Some(id) = self.connections.occupant(index) else { return };
        if is_writable && !self.became_writable(id) {
            return;
        }
        if is_readable {
            self.read(id);
        }
    }

    /// Handles a writable connection. Returns whether the connection may still be read: `false` if it could not be
    /// established.
    fn became_writable(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return false };
        if connection.is_established {
            if !connection.output.bytes.is_empty() {
                self.write(id);
            }
            return true;
        }
        // A connection that this process opens becomes writable both when it is established and when the attempt has
        // failed.
        let has_error = connection.stream.take_error().ok().flatten().is_some();
        if has_error || connection.stream.peer_addr().is_err() {
            self.connection_failed(id);
            return false;
        }
        connection.is_established = true;
        if let Protocol::Peer = connection.protocol {
            connection.deadline = Millis::MAX;
            self.events.push_back(Event::PeerConnected { connection: id });
        }
        self.write(id);
        true
    }

    fn read(&mut self, id: ConnectionId) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        let is_broken = self.read_available(id, &mut buffer);
        self.read_buffer = buffer;
        self.process_input(id);
        let Some(connection) = self.connections.get(id) else { return };
        if is_broken {
            self.connection_failed(id);
        } else if connection.has_input_ended {
            self.input_ended(id);
        }
    }

    /// Reads all available bytes of the socket. Returns whether the connection is broken.
    fn read_available(&mut self, id: ConnectionId, buffer: &mut [u8]) -> bool {
        while let Some(connection) = self.connections.get_mut(id) {
            if !connection.is_established {
                // The connection was refused: the reset is reported as readable before it is reported as writable.
                return connection.stream.take_error().ok().flatten().is_some();
            }
            match connection.stream.read(buffer) {
                Ok(0) => {
                    connection.has_input_ended = true;
                    return false;
                }
                Ok(_) if connection.discards_input() => {}
                Ok(count) => {
                    connection.input.extend_from_slice(&buffer[..count]);
                    if self.is_input_over_limit(id) && !self.reduce_input(id) {
                        return true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
        false
    }

    /// Returns whether the unparsed input exceeds the limit for any single message of the connection's protocol.
    fn is_input_over_limit(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(id) else { return false };
        let limit = match &connection.protocol {
            Protocol::Peer => MAX_FRAME_BYTES + FRAME_OVERHEAD_BYTES,
            Protocol::Server(server) => {
                let limits = self.request_limits(server.listener);
                limits.max_input_bytes().max(MIN_REQUEST_INPUT_BYTES)
            }
            Protocol::Client(_) | Protocol::Lingering => MAX_REPLY_BYTES,
        };
        connection.input.len() > limit
    }

    /// Parses input that exceeds the limit while more input is still unread. Returns `false` if it can't be reduced.
    fn reduce_input(&mut self, id: ConnectionId) -> bool {
        match self.connections.get(id).map(|connection| &connection.protocol) {
            Some(Protocol::Peer) => self.take_peer_frames(id),
            Some(Protocol::Server(server)) if !server.http.is_in_progress() => {
                self.take_oversized_request(id);
            }
            _ => return false,
        }
        true
    }

    /// Passes the received bytes to the connection's protocol.
    fn process_input(&mut self, id: ConnectionId) {
        match self.connections.get(id).map(|connection| &connection.protocol) {
            Some(Protocol::Peer) => self.take_peer_frames(id),
            Some(Protocol::Server(_)) => self.take_request(id),
            Some(Protocol::Client(_)) => self.take_reply(id),
            Some(Protocol::Lingering) | None => {}
        }
    }

    /// Handles the end of the input: the other side sends no more bytes, and everything it sent has been passed to
    /// the protocol.
    fn input_ended(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match &connection.protocol {
            // The client may still read the response to its request in progress.
            Protocol::Server(server) if server.http.is_in_progress() => {}
            Protocol::Server(_) if !connection.output.bytes.is_empty() => {
                connection.closes_after_output = true;
                self.queue_flush(id);
            }
            Protocol::Client(_) => self.reply_input_ended(id),
            Protocol::Server(_) | Protocol::Peer | Protocol::Lingering => self.close(id),
        }
    }

    /// Handles a connection that broke or could not be established.
    fn connection_failed(&mut self, id: ConnectionId) {
        match self.connections.get(id).map(|connection| &connection.protocol) {
            Some(Protocol::Client(_)) => self.call_connection_lost(id),
            Some(_) => self.close(id),
            None => {}
        }
    }
}
