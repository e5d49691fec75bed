//! HTTP server side: reads requests from connections, writes responses, and closes connections that are too slow.

pub(super) mod connection;
pub(super) mod message;
mod parser;

use super::connection::{Connection, Protocol};
use super::{ConnectionId, Event, ListenerId, Millis, Net};
use connection::{Received, ServerConnection, CONTINUE};
use message::{RequestLimits, Response};
use parser::RequestError;

/// Input allowance in bytes for small chunks and trailers of one request, in addition to its longest head and twice
/// its longest body.
const FRAMING_ALLOWANCE_BYTES: usize = 64 << 10;

/// State of an accepted connection.
pub(super) struct ServerSide {
    /// Listener that accepted the connection.
    pub listener: ListenerId,
    /// State of the connection's requests and responses.
    pub http: ServerConnection,
    /// Time at which the request in progress was complete.
    request_complete_at: Millis,
}

impl ServerSide {
    /// Creates the state of a connection that the listener has just accepted.
    pub fn new(listener: ListenerId) -> ServerSide {
        ServerSide { listener, http: ServerConnection::default(), request_complete_at: 0 }
    }
}

impl RequestLimits {
    /// Returns the maximum number of input bytes for one request including its framing. The limit excludes bodies in
    /// chunks of a few bytes each, whose framing would use too much memory.
    pub(super) fn max_input_bytes(&self) -> usize {
        self.max_head_bytes + 2 * self.max_body_bytes + FRAMING_ALLOWANCE_BYTES
    }
}

impl Connection {
    /// Returns the server state, or `None` if the connection was not accepted for requests.
    fn server(&self) -> Option<&ServerSide> {
        match &self.protocol {
            Protocol::Server(server) => Some(server),
            _ => None,
        }
    }

    /// Mutable variant of [`Connection::server`].
    fn server_mut(&mut self) -> Option<&mut ServerSide> {
        match &mut self.protocol {
            Protocol::Server(server) => Some(server),
            _ => None,
        }
    }
}

impl Net {
    /// Takes the next request from the connection's input buffer.
    pub(super) fn take_request(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(server) = self.connections.get(id).and_then(Connection::server) else { return };
        let listener = server.listener;
        let limits = self.request_limits(listener);
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.closes_after_output {
            return;
        }
        let Protocol::Server(server) = &mut connection.protocol else { return };
        match server.http.receive(&mut connection.input, &limits) {
            Received::Nothing => {}
            Received::Partial { is_first, wants_continue } => {
                if wants_continue {
                    connection.output.bytes.extend_from_slice(CONTINUE);
                    self.queue_flush(id);
                }
                if is_first {
                    self.set_deadline(id, now + limits.request_timeout_ms);
                }
            }
            Received::Request(request) => {
                server.request_complete_at = now;
                connection.shrink_input();
                // The role applies its own time-outs to a request in progress.
                connection.deadline = Millis::MAX;
                self.events.push_back(Event::Request { connection: id, listener, request: *request });
            }
            Received::Rejected(error) => {
                server.request_complete_at = now;
                self.malformed_inputs += u64::from(error == RequestError::Malformed);
                self.respond(id, Response::empty(error.status()));
            }
        }
    }

    /// Handles input that exceeds the limit for any single request: complete requests are taken, and anything else is
    /// rejected.
    pub(super) fn take_oversized_request(&mut self, id: ConnectionId) {
        self.take_request(id);
        let Some(connection) = self.connections.get(id) else { return };
        if connection.closes_after_output {
            return;
        }
        if connection.server().is_some_and(|server| !server.http.is_in_progress()) {
            self.reject_request(id, RequestError::BodyTooLarge);
        }
    }

    fn reject_request(&mut self, id: ConnectionId, error: RequestError) {
        let now = self.now;
        let Some(server) = self.connections.get_mut(id).and_then(Connection::server_mut) else {
            return;
        };
        server.request_complete_at = now;
        server.http.reject(error);
        self.respond(id, Response::empty(error.status()));
    }

    /// Responds to the request in progress on a connection; has no effect if there is none.
    pub fn respond(&mut self, id: ConnectionId, response: Response) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Protocol::Server(server) = &mut connection.protocol else { return };
        let output = &mut connection.output.bytes;
        let Some(is_last) = server.http.respond(&response, connection.has_input_ended, output) else {
            return;
        };
        let (listener, request_complete_at) = (server.listener, server.request_complete_at);
        connection.closes_after_output |= is_last;
        *self.responses.entry((listener, response.status)).or_default() += 1;
        if response.status == 202 {
            self.accept_latency.record(now.saturating_sub(request_complete_at));
        }
        self.queue_flush(id);
        let idle_timeout_ms = self.request_limits(listener).idle_timeout_ms;
        self.set_deadline(id, now + idle_timeout_ms);
        // The client may already have sent its next request.
        self.take_request(id);
    }

    /// Handles a request that did not arrive completely in time, or an open connection on which no request arrived in
    /// time.
    pub(super) fn request_timed_out(&mut self, id: ConnectionId) {
        let Some(server) = self.connections.get(id).and_then(Connection::server) else { return };
        if server.http.is_receiving() {
            self.reject_request(id, RequestError::TimedOut);
        } else if !server.http.is_in_progress() {
            self.close(id);
        }
    }

    /// Closes those connections of a listener on which no request has begun and no output is unwritten.
    pub fn close_idle_connections(&mut self, listener: ListenerId) {
        let is_idle = |connection: &Connection| match &connection.protocol {
            Protocol::Server(server) => {
                server.listener == listener
                    && !server.http.is_in_progress()
                    && !server.http.is_receiving()
                    && connection.has_empty_buffers()
            }
            _ => false,
        };
        let connections = self.connections.iter();
        let idle: Vec<ConnectionId> =
            connections.filter(|(_, connection)| is_idle(connection)).map(|(id, _)| id).collect();
        idle.into_iter().for_each(|id| self.close(id));
    }

    /// Returns the number of requests that are being received, handled or answered.
    pub fn requests_in_flight(&self) -> usize {
        let is_in_flight = |connection: &Connection| match &connection.protocol {
            Protocol::Server(server) => server.http.is_in_progress() || !connection.has_empty_buffers(),
            _ => false,
        };
        self.connections.iter().filter(|(_, connection)| is_in_flight(connection)).count()
    }
}
