//! A client of the internal protocol between the processes of the system. It sends one request to one process over a separate
//! connection.

use crate::node::random_seed;
use crate::protocol::{Frame, NodeRole, PeerInfo, PROTOCOL_VERSION};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

/// Time-out for connecting and for each read and write. It can be short because a running process answers immediately.
const IO_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest accepted frame length, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// The first 4 bytes of an HTTP answer, found in the place of a frame's length if the peer speaks HTTP.
const HTTP_START: &[u8; 4] = b"HTTP";

/// Errors of a request to one process.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection to the process could not be opened, or it failed.
    #[error("{address}: {source}")]
    Io {
        /// The address of the process that was asked.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The request could not be encoded.
    #[error("{address}: {source}")]
    Encode {
        /// The address of the process that the request was meant for.
        address: SocketAddrV4,
        /// The error of the encoder.
        source: postcard::Error,
    },
    /// The process closed the connection before it answered.
    #[error("{address}: closed the connection before it answered: not a stilerouted, or one with another protocol")]
    ConnectionClosed {
        /// The address of the process that was asked.
        address: SocketAddrV4,
    },
    /// The process sent data that is not a frame of the internal protocol.
    #[error("{address}: speaks another protocol")]
    OtherProtocol {
        /// The address of the process that was asked.
        address: SocketAddrV4,
    },
    /// The process answered in HTTP, so the address is one for clients, executors or operators.
    #[error(
        "{address}: speaks HTTP: --at wants an internal address, of one of the first three of internal_ports"
    )]
    Http {
        /// The address of the process that was asked.
        address: SocketAddrV4,
    },
    /// The answer of the process is not valid JSON.
    #[error("{address}: {source}")]
    Json {
        /// The address of the process that was asked.
        address: SocketAddrV4,
        /// The error of the JSON parser.
        source: jzon::Error,
    },
    /// The thread that sent the request panicked.
    #[error("the thread that sent the request panicked")]
    Panicked,
}

/// Sends one request to a process, and returns the text of its answer.
///
/// # Errors
///
/// If the process could not be reached, or did not answer in the internal protocol.
pub fn send_request(address: SocketAddrV4, request: &Frame) -> Result<String, RequestError> {
    let io_error = |source| RequestError::Io { address, source };
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), IO_TIMEOUT).map_err(io_error)?;
    stream.set_read_timeout(Some(IO_TIMEOUT)).map_err(io_error)?;
    stream.set_write_timeout(Some(IO_TIMEOUT)).map_err(io_error)?;
    for request_frame in [&Frame::Hello(command_line_hello()), request] {
        let frame =
            postcard::to_stdvec(request_frame).map_err(|source| RequestError::Encode { address, source })?;
        stream.write_all(&(frame.len() as u32).to_le_bytes()).map_err(io_error)?;
        stream.write_all(&frame).map_err(io_error)?;
    }
    loop {
        let frame = read_frame(&mut stream, address)?;
        match postcard::from_bytes(&frame) {
            Ok(Frame::InspectionReply { text, .. }) => return Ok(text),
            // The process also sends its hello and its keep-alives, which are skipped.
            Ok(_) => {}
            Err(_) => return Err(RequestError::OtherProtocol { address }),
        }
    }
}

/// Sends one request to a process, and parses its answer.
///
/// # Errors
///
/// The errors of [`send_request`], and [`RequestError::Json`] if the answer is not valid JSON.
pub fn request_json(address: SocketAddrV4, request: &Frame) -> Result<jzon::JsonValue, RequestError> {
    let text = send_request(address, request)?;
    jzon::parse(&text).map_err(|source| RequestError::Json { address, source })
}

/// The hello frame of a command line, which is not a node of the system.
fn command_line_hello() -> PeerInfo {
    PeerInfo {
        protocol_version: PROTOCOL_VERSION,
        // The node id is random, because a fixed id would close the connection of another command that runs at the same time.
        node: random_seed() as u32,
        name: "visitor".to_string(),
        role: NodeRole::CommandLine,
        zone: String::new(),
        ip: Ipv4Addr::UNSPECIFIED,
        incarnation: random_seed(),
        control_address: None,
        confirms_departures: false,
    }
}

/// Reads one frame: its length as 4 bytes in little-endian order, followed by that many bytes.
fn read_frame(stream: &mut TcpStream, address: SocketAddrV4) -> Result<Vec<u8>, RequestError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).map_err(|source| match source.kind() {
        ErrorKind::UnexpectedEof => RequestError::ConnectionClosed { address },
        _ => RequestError::Io { address, source },
    })?;
    if length == *HTTP_START {
        return Err(RequestError::Http { address });
    }
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(RequestError::OtherProtocol { address });
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).map_err(|source| RequestError::Io { address, source })?;
    Ok(frame)
}
