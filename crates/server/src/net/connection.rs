//! The connections of the event loop, each in a slot of a table.

use super::client::ClientSide;
use super::server::ServerSide;
use super::Millis;
use mio::net::TcpStream;
use std::io::{ErrorKind, Write};

/// A connection: the slot in its lower 32 bits, and how often the slot had been used before in the upper ones. So no
/// identifier is given twice, and an old one finds nothing.
pub type ConnectionId = u64;

/// A buffer that grew beyond this is freed when it is empty.
const MAX_KEPT_BUFFER_BYTES: usize = 16 << 10;

/// What is spoken on a connection.
pub(super) enum Protocol {
    /// HTTP requests come in.
    Server(ServerSide),
    /// HTTP requests go out.
    Client(ClientSide),
    /// Frames of another process of the system.
    Peer,
    /// The last response has been written, and what still comes is discarded: a connection that is closed with unread bytes is
    /// reset, and the client may lose the response (RFC 9112, 9.6).
    Lingering,
}

/// Bytes that wait to be written.
#[derive(Default)]
pub(super) struct OutputBuffer {
    /// All bytes since the buffer was last empty.
    pub bytes: Vec<u8>,
    /// How many of them have been written.
    written: usize,
    /// The connection is on the list of those to be flushed.
    pub is_queued: bool,
}

/// How far [`Connection::write_output`] got.
pub(super) enum WriteResult {
    /// All is written.
    Complete,
    /// The socket takes no more now; the poll says when it does.
    Blocked,
    /// The connection is broken.
    Failed,
}

/// One connection.
pub(super) struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// What is spoken on it.
    pub protocol: Protocol,
    /// Bytes that have been read and not been understood yet.
    pub input: Vec<u8>,
    /// Bytes that wait to be written.
    pub output: OutputBuffer,
    /// Whether the connection is established: one that is opened from here may not be yet.
    pub is_established: bool,
    /// When the connection is looked at if nothing happens on it before.
    pub deadline: Millis,
    /// The connection ends when all output is written.
    pub closes_after_output: bool,
    /// The other side sends no more.
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

    /// Whether what still comes is discarded: after its last response nothing is wanted of a client.
    pub fn discards_input(&self) -> bool {
        self.closes_after_output || matches!(self.protocol, Protocol::Lingering)
    }

    /// Whether nothing waits to be written or understood.
    pub fn has_empty_buffers(&self) -> bool {
        self.input.is_empty() && self.output.bytes.is_empty()
    }

    /// Frees the input buffer if it is empty and has grown large.
    pub fn shrink_input(&mut self) {
        if self.input.is_empty() && self.input.capacity() > MAX_KEPT_BUFFER_BYTES {
            self.input = Vec::new();
        }
    }

    /// Writes as much of the output as the socket takes.
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

/// A place for a connection.
struct Slot {
    /// How many connections it has held before.
    generation: u32,
    connection: Option<Connection>,
}

/// All connections.
pub(super) struct ConnectionTable {
    slots: Vec<Slot>,
    /// Slots that hold none.
    free: Vec<usize>,
    max_connections: usize,
}

impl ConnectionTable {
    /// A table with room for so many.
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

    /// Gives a reserved slot back that was not used.
    pub fn release(&mut self, index: usize) {
        if index < self.slots.len() {
            self.free.push(index);
        }
    }

    /// Puts a connection into a reserved slot.
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

    /// The connection that is in a slot now.
    pub fn occupant(&self, index: usize) -> Option<ConnectionId> {
        self.slots.get(index)?.connection.as_ref()?;
        Some(self.id_at(index))
    }

    /// A connection, unless it is closed.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        let slot = self.slots.get(index_of(id))?;
        slot.connection.as_ref().filter(|_| slot.generation == generation_of(id))
    }

    /// A connection, unless it is closed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let slot = self.slots.get_mut(index_of(id))?;
        slot.connection.as_mut().filter(|_| slot.generation == generation_of(id))
    }

    /// Takes a connection out, and frees its slot.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.get(id)?;
        let index = index_of(id);
        let slot = &mut self.slots[index];
        let connection = slot.connection.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(index);
        Some(connection)
    }

    /// All connections.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| Some((self.id_at(index), slot.connection.as_ref()?)))
    }

    /// How many connections there are.
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
