//! Sockets and their threads. They contain no dispatch decisions and notify the dispatch loop by events.

pub mod admin;
pub mod clients;
pub mod connection_pool;
pub mod discovery;
pub mod executors;
pub mod http_transport;
pub mod listener;
pub mod membership;
pub mod membership_report;
pub mod peers;

pub use crate::state::client_slots::peek_nonblocking;
use crate::wire::http::{Response, ResponseError, ResponseReader};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant;
use thiserror::Error;

pub const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Why an exchange gave no usable response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The request could not be written completely.
    #[error("unwritten")]
    WriteFailed,
    /// The response, or part of it, did not arrive in time.
    #[error("silent")]
    TimedOut,
    /// The other side closed the connection before the response was complete.
    #[error("closed")]
    Closed,
    /// The connection was reset.
    #[error("reset")]
    Reset,
    /// The response could not be parsed.
    #[error("{0}")]
    Malformed(#[from] ResponseError),
}

/// Sends `request` and reads the response.
pub fn exchange(mut stream: &TcpStream, request: &str, deadline: Instant) -> Result<Response, ExchangeError> {
    stream.write_all(request.as_bytes()).map_err(|_| ExchangeError::WriteFailed)?;
    let (mut parser, mut chunk) = (ResponseReader::default(), [0; READ_CHUNK_BYTES]);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return Err(ExchangeError::TimedOut);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(ExchangeError::Closed),
            Ok(read) => {
                if let Some(response) = parser.feed(&chunk[..read])? {
                    return Ok(response);
                }
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(ExchangeError::TimedOut);
            }
            Err(_) => return Err(ExchangeError::Reset),
        }
    }
}

/// Whether the read should be retried: it was interrupted, timed out, or hit the moment in which the socket is
/// non-blocking for a peek.
pub fn is_transient(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
