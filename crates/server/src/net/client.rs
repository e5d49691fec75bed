//! HTTP client side: selects the connection for each outgoing request, with at most one request in flight per
//! connection, and handles time-outs of calls.

pub(super) mod connection;
pub(super) mod pool;
pub(super) mod reply;

use super::connection::{Connection, Protocol};
use super::{ConnectionId, Event, Millis, Net};
use connection::{CallError, ClientConnection, PendingCall, Progress};
use mio::net::TcpStream;
use pool::{IdleLimit, PoolKey};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};

/// Maximum time to establish a connection for a call, in milliseconds.
const CONNECT_TIMEOUT_MS: Millis = 700;
/// An idle connection that will be closed within this many milliseconds is not used for another call.
const MIN_IDLE_TIME_LEFT_MS: Millis = 5;

/// HTTP request to be sent.
pub struct OutgoingCall<'a> {
    /// Address of the server.
    pub to: SocketAddrV4,
    /// Complete bytes of the request, head and body.
    pub request: &'a [u8],
    /// Identifier of the call, chosen by the caller and returned with the outcome.
    pub call_id: u64,
    /// Time at which the call is abandoned.
    pub deadline: Millis,
    /// Maximum number of connections that may be open to this address for calls of this kind; at least one.
    pub max_connections: usize,
    /// Identifier of the request, if the reply must repeat it in `X-Request-Id`.
    pub request_id: Option<&'a str>,
}

/// State of a connection that this process opened for calls.
pub(super) struct ClientSide {
    /// Pool that the connection belongs to.
    pub pool: PoolKey,
    /// State of the connection's requests and replies.
    http: ClientConnection,
    /// Time since which the connection has carried no call.
    idle_since: Millis,
    /// Idle time of the connection before it took the pending call; `None` if the connection was opened for this
    /// call.
    idle_before_call_ms: Option<Millis>,
}

impl Connection {
    /// Returns the client state, or `None` if the connection was not opened for calls.
    fn client(&self) -> Option<&ClientSide> {
        match &self.protocol {
            Protocol::Client(client) => Some(client),
            _ => None,
        }
    }

    /// Mutable variant of [`Connection::client`].
    fn client_mut(&mut self) -> Option<&mut ClientSide> {
        match &mut self.protocol {
            Protocol::Client(client) => Some(client),
            _ => None,
        }
    }
}

impl Net {
    /// Sends a request on an idle connection or on a new one. The outcome follows as [`Event::CallCompleted`].
    ///
    /// # Errors
    ///
    /// [`CallError::NoCapacity`] or [`CallError::NotConnected`]: nothing has been sent, and no event follows.
    pub fn call(&mut self, call: OutgoingCall) -> Result<(), CallError> {
        let now = self.now;
        let key = PoolKey { to: call.to, replies_name_request: call.request_id.is_some() };
        let max_open = call.max_connections.max(1);
        let (id, idle_before_call_ms) = match self.take_idle(key, max_open, call.request_id) {
            Some(id) => (id, Some(self.idle_time(id))),
            None => (self.open_for_calls(key, max_open)?, None),
        };
        let deadline = match idle_before_call_ms {
            Some(_) => call.deadline,
            None => call.deadline.min(now + CONNECT_TIMEOUT_MS),
        };
        if let Some(connection) = self.connections.get_mut(id) {
            connection.output.bytes.extend_from_slice(call.request);
            if let Some(client) = connection.client_mut() {
                client.idle_before_call_ms = idle_before_call_ms;
                client.http.begin(PendingCall {
                    call_id: call.call_id,
                    deadline: call.deadline,
                    request_id: call.request_id.map(str::to_string),
                    is_head_request: call.request.starts_with(b"HEAD "),
                });
            }
        }
        self.set_deadline(id, deadline);
        self.queue_flush(id);
        Ok(())
    }

    /// Takes an idle connection that may carry this request. If there is none and no further connection may be
    /// opened, closes an idle connection that has carried the same request before, to free capacity.
    fn take_idle(&mut self, key: PoolKey, max_open: usize, request_id: Option<&str>) -> Option<ConnectionId> {
        // Idle connections that have already carried this request; they remain usable for other requests.
        let mut unsuitable = Vec::new();
        let mut found = None;
        loop {
            let pool = self.pools.entry(key).or_default();
            pool.max_open = max_open;
            let idle_limit = pool.idle_limit;
            let Some(id) = pool.idle.pop() else { break };
            if !self.is_usable(id, key, idle_limit) {
                self.close(id);
            } else if request_id.is_some_and(|request_id| self.has_carried(id, request_id)) {
                unsuitable.push(id);
            } else {
                found = Some(id);
                break;
            }
        }
        let is_full = self.pools.get(&key).is_some_and(|pool| pool.open_count >= max_open);
        if found.is_none() && is_full {
            if let Some(id) = unsuitable.pop() {
                self.close(id);
            }
        }
        self.pools.entry(key).or_default().idle.extend(unsuitable.into_iter().rev());
        found
    }

    /// Returns whether an idle connection is likely to be still open on the server's side.
    fn is_usable(&self, id: ConnectionId, key: PoolKey, idle_limit: Option<IdleLimit>) -> bool {
        let now = self.now;
        let is_open = self.connections.get(id).is_some_and(|connection| {
            !connection.has_input_ended && connection.deadline > now + MIN_IDLE_TIME_LEFT_MS
        });
        is_open
            && IdleLimit::allows(idle_limit, now, self.idle_time(id))
            // If replies repeat the request identifier, a stray reply is recognised when it is parsed.
            && (key.replies_name_request || self.has_no_unread_input(id))
    }

    fn has_carried(&self, id: ConnectionId, request_id: &str) -> bool {
        let client = self.connections.get(id).and_then(Connection::client);
        client.is_some_and(|client| client.http.has_carried(request_id))
    }

    /// Returns whether the socket has neither unread bytes nor an end of stream. Bytes that arrived while the
    /// connection was idle would be taken for the reply to the next call.
    fn has_no_unread_input(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(id) else { return false };
        let mut byte = [0];
        matches!(connection.stream.peek(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    fn open_for_calls(&mut self, key: PoolKey, max_open: usize) -> Result<ConnectionId, CallError> {
        if self.pools.get(&key).is_some_and(|pool| pool.open_count >= max_open) {
            return Err(CallError::NoCapacity);
        }
        let stream = TcpStream::connect(SocketAddr::V4(key.to)).map_err(|_| CallError::NotConnected)?;
        let client = ClientSide {
            pool: key,
            http: ClientConnection::default(),
            idle_since: self.now,
            idle_before_call_ms: None,
        };
        let id = self
            .add_connection(stream, Protocol::Client(client), false, Millis::MAX)
            .ok_or(CallError::NoCapacity)?;
        let pool = self.pools.entry(key).or_default();
        pool.open_count += 1;
        pool.max_open = max_open;
        self.connections_opened += 1;
        Ok(id)
    }

    /// Returns how long a connection has been idle, in milliseconds.
    fn idle_time(&self, id: ConnectionId) -> Millis {
        let now = self.now;
        let client = self.connections.get(id).and_then(Connection::client);
        client.map_or(0, |client| now.saturating_sub(client.idle_since))
    }

    /// Records that a call was lost. If its connection had been idle before the call and no byte of a reply arrived,
    /// the idle limit for connections to this address is reduced.
    fn record_loss(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !connection.input.is_empty() {
            return;
        }
        let Some(client) = connection.client_mut() else { return };
        let Some(idle_ms) = client.idle_before_call_ms else { return };
        let key = client.pool;
        self.idle_connections_lost += 1;
        let pool = self.pools.entry(key).or_default();
        pool.idle_limit = IdleLimit::after_loss(pool.idle_limit, now, idle_ms);
    }

    /// Parses replies from the connection's input buffer.
    pub(super) fn take_reply(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Protocol::Client(client) = &mut connection.protocol else { return };
        let is_request_sent = connection.output.bytes.is_empty();
        let progress =
            client.http.receive(&mut connection.input, is_request_sent, connection.has_input_ended);
        connection.shrink_input();
        self.apply(id, progress);
    }

    /// Handles the end of the input: the server sends no more bytes.
    pub(super) fn reply_input_ended(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Protocol::Client(client) = &mut connection.protocol else { return };
        let had_call = client.http.pending().is_some();
        let progress = client.http.end_of_input(&connection.input, connection.output.bytes.is_empty());
        if had_call {
            self.record_loss(id);
        }
        self.apply(id, progress);
    }

    /// Handles a connection that broke or could not be established.
    pub(super) fn call_connection_lost(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let was_open = connection.is_established;
        let Some(client) = connection.client_mut() else { return };
        let had_call = client.http.pending().is_some();
        let progress = client.http.connection_lost(was_open);
        if had_call {
            self.record_loss(id);
        }
        self.apply(id, progress);
    }

    /// Handles an expired deadline: that of the pending call, of establishing the connection, or of an idle
    /// connection.
    pub(super) fn call_timed_out(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(id) else { return };
        let is_established = connection.is_established;
        let Some(client) = connection.client_mut() else { return };
        match client.http.pending().map(|call| call.deadline) {
            // The connection was established in time, and the call's own deadline has not passed.
            Some(deadline) if now < deadline && is_established => self.set_deadline(id, deadline),
            _ => {
                let progress = client.http.deadline_passed(is_established);
                self.apply(id, progress);
            }
        }
    }

    fn apply(&mut self, id: ConnectionId, progress: Progress) {
        match progress {
            Progress::Wait => {}
            Progress::Close => self.close(id),
            Progress::Completed { call_id, result, keep_alive_ms } => {
                self.events.push_back(Event::CallCompleted { call_id, result });
                match keep_alive_ms {
                    Some(keep_alive_ms) => self.keep_idle(id, keep_alive_ms),
                    None => self.close(id),
                }
            }
        }
    }

    /// Keeps a connection for a later call if the pool has capacity for it.
    fn keep_idle(&mut self, id: ConnectionId, keep_alive_ms: Millis) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.deadline = now + keep_alive_ms;
        let Some(client) = connection.client_mut() else { return };
        client.idle_since = now;
        let key = client.pool;
        // When more stores join, each store's share of an executor's connections shrinks. Connections beyond the
        // share are closed when they become idle; otherwise the executor would reset an equal number of other stores'
        // connections.
        if self.pools.get(&key).is_some_and(|pool| pool.open_count > pool.max_open) {
            return self.close(id);
        }
        self.timers.add(id, now + keep_alive_ms);
        self.pools.entry(key).or_default().idle.push(id);
    }

    /// Removes a closed connection from its pool.
    pub(super) fn remove_from_pool(&mut self, id: ConnectionId, key: PoolKey) {
        let now = self.now;
        let Some(pool) = self.pools.get_mut(&key) else { return };
        pool.open_count = pool.open_count.saturating_sub(1);
        pool.idle.retain(|idle| *idle != id);
        let has_limit = pool.idle_limit.is_some_and(|limit| limit.expires_at > now);
        if pool.open_count == 0 && !has_limit {
            self.pools.remove(&key);
        }
    }

    /// Closes the idle connections to an executor that receives no more calls.
    pub fn close_idle_calls_to(&mut self, to: SocketAddrV4) {
        let Some(pool) = self.pools.get_mut(&PoolKey { to, replies_name_request: true }) else { return };
        let idle = std::mem::take(&mut pool.idle);
        idle.into_iter().for_each(|id| self.close(id));
    }
}

#[cfg(test)]
mod tests;
