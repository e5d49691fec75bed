//! A client of the protocol between the system's own processes: asks one process one thing over a connection of its own.

use crate::node::random_seed;
use crate::protocol::{Frame, NodeRole, PeerInfo, PROTOCOL_VERSION};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

/// For connecting, and for each read and write: a process that runs answers at once.
const IO_TIMEOUT: Duration = Duration::from_millis(1500);
/// Length of the largest frame that is read, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// What stands in the place of a frame's length where the other side speaks HTTP.
const HTTP_START: &[u8; 4] = b"HTTP";

/// Why a process gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// The connection could not be opened, or it broke.
    #[error("{address}: {source}")]
    Io {
        /// The process that was asked.
        address: SocketAddrV4,
        /// What the system said.
        source: std::io::Error,
    },
    /// The request could not be encoded.
    #[error("{address}: {source}")]
    Encode {
        /// The process that was to be asked.
        address: SocketAddrV4,
        /// What the encoder said.
        source: postcard::Error,
    },
    /// It closed the connection before it answered.
    #[error("{address}: hung up: no stilerouted, or of another protocol")]
    HungUp {
        /// The process that was asked.
        address: SocketAddrV4,
    },
    /// It sent what is no frame of this protocol.
    #[error("{address}: speaks another protocol")]
    OtherProtocol {
        /// The process that was asked.
        address: SocketAddrV4,
    },
    /// It answered in HTTP: it is an address for clients, executors or operators.
    #[error(
        "{address}: speaks HTTP: --at wants an internal address, of one of the first three of internal_ports"
    )]
    Http {
        /// The process that was asked.
        address: SocketAddrV4,
    },
    /// Its answer is no JSON.
    #[error("{address}: {source}")]
    Json {
        /// The process that was asked.
        address: SocketAddrV4,
        /// What the parser said.
        source: jzon::Error,
    },
    /// The thread that asked it panicked.
    #[error("broke off")]
    Panicked,
}

/// Sends one request to a process, and returns the text of its answer.
///
/// # Errors
///
/// Where it could not be reached, or did not answer in this protocol.
pub fn ask(address: SocketAddrV4, request: &Frame) -> Result<String, AskError> {
    let io_error = |source| AskError::Io { address, source };
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), IO_TIMEOUT).map_err(io_error)?;
    stream.set_read_timeout(Some(IO_TIMEOUT)).map_err(io_error)?;
    stream.set_write_timeout(Some(IO_TIMEOUT)).map_err(io_error)?;
    for signal in [&Frame::Hello(visitor_hello()), request] {
        let frame = postcard::to_stdvec(signal).map_err(|source| AskError::Encode { address, source })?;
        stream.write_all(&(frame.len() as u32).to_le_bytes()).map_err(io_error)?;
        stream.write_all(&frame).map_err(io_error)?;
    }
    loop {
        let frame = read_frame(&mut stream, address)?;
        match postcard::from_bytes(&frame) {
            Ok(Frame::InspectionReply { text, .. }) => return Ok(text),
            // Its own hello and keep-alives come in between.
            Ok(_) => {}
            Err(_) => return Err(AskError::OtherProtocol { address }),
        }
    }
}

/// Sends one request to a process, and parses its answer.
///
/// # Errors
///
/// As [`ask`], and where the answer is no JSON.
pub fn ask_for_json(address: SocketAddrV4, request: &Frame) -> Result<jzon::JsonValue, AskError> {
    let text = ask(address, request)?;
    jzon::parse(&text).map_err(|source| AskError::Json { address, source })
}

/// What this program says of itself: it is no node of the system.
fn visitor_hello() -> PeerInfo {
    PeerInfo {
        protocol_version: PROTOCOL_VERSION,
        // Random: a fixed one would end the connection of another who asks at the same time.
        node: random_seed() as u32,
        name: "visitor".to_string(),
        role: NodeRole::CommandLine,
        zone: String::new(),
        ip: Ipv4Addr::UNSPECIFIED,
        incarnation: random_seed(),
        control_address: None,
    }
}

/// A frame is its length, 4 bytes with the least significant first, and its bytes.
fn read_frame(stream: &mut TcpStream, address: SocketAddrV4) -> Result<Vec<u8>, AskError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).map_err(|source| match source.kind() {
        ErrorKind::UnexpectedEof => AskError::HungUp { address },
        _ => AskError::Io { address, source },
    })?;
    if length == *HTTP_START {
        return Err(AskError::Http { address });
    }
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(AskError::OtherProtocol { address });
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).map_err(|source| AskError::Io { address, source })?;
    Ok(frame)
}
