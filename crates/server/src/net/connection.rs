//! Table of the event loop's connections, each in a numbered slot.

use super::client::ClientSide;
use super::server::ServerSide;
use super::Millis;
use mio::net::TcpStream;
use std::io::{ErrorKind, Write};

/// Identifier of a connection: the slot index in the lower 32 bits and the slot's generation in the upper 32 bits. No
/// identifier is therefore used twice, and the identifier of a closed connection finds no connection.
pub type ConnectionId = u64;

/// An empty buffer with more than this capacity in bytes is freed.
const MAX_KEPT_BUFFER_BYTES: usize = 16 << 10;

/// Protocol of a connection.
pub(super) enum Protocol {
    /// HTTP server: the connection receives requests.
    Server(ServerSide),
    /// HTTP client: the connection sends requests.
    Client(ClientSide),
    /// Frames to and from another process of the system.
    Peer,
    /// The last response has been written, and further input is discarded. If the connection were closed with unread
    /// bytes, it would be reset and the client could lose the response (RFC 9112, 9.6).
    Lingering,
}

/// Output bytes that have not been written to the socket yet.
#[derive(Default)]
pub(super) struct OutputBuffer {
    /// All bytes added since the buffer was last empty.
    pub bytes: Vec<u8>,
    /// Number of bytes that have been written to the socket.
    written: usize,
    /// Whether the connection is in the list of connections to flush.
    pub is_queued: bool,
}

/// Result of [`Connection::write_output`].
pub(super) enum WriteResult {
    /// All output has been written.
    Complete,
    /// The socket accepts no more bytes for now; the poll reports when it is writable again.
    Blocked,
    /// The connection is broken.
    Failed,
}

/// State of one connection.
pub(super) struct Connection {
    /// Socket of the connection.
    pub stream: TcpStream,
    /// Protocol of the connection, with its state.
    pub protocol: Protocol,
    /// Bytes that have been read and not parsed yet.
    pub input: Vec<u8>,
    /// Bytes that have not been written to the socket yet.
    pub output: OutputBuffer,
    /// Whether the connection is established; a connection that this process opened may still be connecting.
    pub is_established: bool,
    /// Time at which the connection's time-out handler runs if there is no activity before.
    pub deadline: Millis,
    /// Whether the connection is closed once all output has been written.
    pub closes_after_output: bool,
    /// Whether the other side has ended its stream and sends no more bytes.
    pub has_input_ended: bool,
}

impl Connection {
    fn new(stream: TcpStream, protocol: Protocol, is_established: bool, deadline: Millis) -> Connection {
        Connection {
            stream,
            protocol,
            input: Vec::new(),
            output: OutputBuffer::default(),
            is_established,
            deadline,
            closes_after_output: false,
            has_input_ended: false,
        }
    }

    /// Returns whether further input is discarded, which is the case after the last response to a client.
    pub fn discards_input(&self) -> bool {
        self.closes_after_output || matches!(self.protocol, Protocol::Lingering)
    }

    /// Returns whether there is neither unwritten output nor unparsed input.
    pub fn has_empty_buffers(&self) -> bool {
        self.input.is_empty() && self.output.bytes.is_empty()
    }

    /// Frees the input buffer if it is empty and has grown large.
    pub fn shrink_input(&mut self) {
        if self.input.is_empty() && self.input.capacity() > MAX_KEPT_BUFFER_BYTES {
            self.input = Vec::new();
        }
    }

    /// Writes as much of the output as the socket accepts.
    pub fn write_output(&mut self) -> WriteResult {
        let output = &mut self.output;
        while output.written < output.bytes.len() {
            match self.stream.write(&output.bytes[output.written..]) {
                Ok(0) => return WriteResult::Failed,
                Ok(count) => output.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return WriteResult::Blocked,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return WriteResult::Failed,
            }
        }
        output.written = 0;
        output.bytes.clear();
        if output.bytes.capacity() > MAX_KEPT_BUFFER_BYTES {
            output.bytes = Vec::new();
        }
        WriteResult::Complete
    }
}

/// Table entry that can hold one connection.
struct Slot {
    /// Number of connections that the slot has held before.
    generation: u32,
    connection: Option<Connection>,
}

/// Table of all connections.
pub(super) struct ConnectionTable {
    slots: Vec<Slot>,
    /// Indices of the empty slots.
    free: Vec<usize>,
    max_connections: usize,
}

impl ConnectionTable {
    /// Creates a table with capacity for `max_connections` connections.
    pub fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable { slots: Vec::new(), free: Vec::new(), max_connections }
    }

    /// Reserves a slot; `None` if the table is full.
    pub fn reserve(&mut self) -> Option<usize> {
        let index = self.free.pop().unwrap_or(self.slots.len());
        if index >= self.max_connections {
            self.free.push(index);
            return None;
        }
        Some(index)
    }

    /// Releases a reserved slot into which no connection was inserted.
    pub fn release(&mut self, index: usize) {
        if index < self.slots.len() {
            self.free.push(index);
        }
    }

    /// Inserts a connection into a reserved slot.
    pub fn insert(
        &mut self,
        index: usize,
        stream: TcpStream,
        protocol: Protocol,
        is_established: bool,
        deadline: Millis,
    ) -> ConnectionId {
        if index == self.slots.len() {
            self.slots.push(Slot { generation: 0, connection: None });
        }
        self.slots[index].connection = Some(Connection::new(stream, protocol, is_established, deadline));
        self.id_at(index)
    }

    fn id_at(&self, index: usize) -> ConnectionId {
        (u64::from(self.slots[index].generation) << 32) | index as u64
    }

    /// Returns the identifier of the connection that is currently in a slot.
    pub fn occupant(&self, index: usize) -> Option<ConnectionId> {
        self.slots.get(index)?.connection.as_ref()?;
        Some(self.id_at(index))
    }

    /// Returns a connection, or `None` if it is closed.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        let slot = self.slots.get(index_of(id))?;
        slot.connection.as_ref().filter(|_| slot.generation == generation_of(id))
    }

    /// Returns a mutable connection, or `None` if it is closed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let slot = self.slots.get_mut(index_of(id))?;
        slot.connection.as_mut().filter(|_| slot.generation == generation_of(id))
    }

    /// Removes a connection and frees its slot.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.get(id)?;
        let index = index_of(id);
        let slot = &mut self.slots[index];
        let connection = slot.connection.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(index);
        Some(connection)
    }

    /// Iterates over all connections.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| Some((self.id_at(index), slot.connection.as_ref()?)))
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.slots.len() - self.free.len()
    }
}

fn index_of(id: ConnectionId) -> usize {
    (id & 0xFFFF_FFFF) as usize
}

fn generation_of(id: ConnectionId) -> u32 {
    (id >> 32) as u32
}
