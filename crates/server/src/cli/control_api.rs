//! A client of the operator API of the control nodes. A call is sent to one control node after another until one of them gives a
//! definite answer. This is safe because all calls are idempotent.

use super::discovery::Fleet;
use super::error::CommandError;
use super::order_error::OrderError;
use super::query::EntryPoint;
use jzon::JsonValue;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Time-out for connecting to one control node, and for each read and write.
const IO_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time limit for all calls of one command together.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause before all control nodes are called again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Largest accepted length of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Largest accepted number of headers in an answer.
const MAX_HEADERS: usize = 32;

/// Errors of a call to one control node.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection to the control node could not be opened, or it failed.
    #[error("{address}: {source}")]
    Io {
        /// The address of the control node that was called.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection ended before the answer was complete.
    #[error("{address}: no whole answer")]
    Incomplete {
        /// The address of the control node that was called.
        address: SocketAddrV4,
    },
}

/// The HTTP answer of a control node.
pub struct Reply {
    /// The HTTP status code of the answer.
    pub status: u16,
    /// The unparsed body of the answer.
    pub body: Vec<u8>,
}

impl Reply {
    /// The body of the answer as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> JsonValue {
        let text = String::from_utf8_lossy(&self.body);
        jzon::parse(&text).unwrap_or(JsonValue::Null)
    }

    /// The HTTP status, and the reason if the answer gives one.
    pub fn reason(&self) -> String {
        let reason = self.json()["error"].as_str().map(str::to_string);
        format!("{} {}", self.status, reason.unwrap_or_default())
    }

    /// Whether the answer is definite; otherwise the next control node is called.
    fn is_definite(&self) -> bool {
        self.status < 500 && ![408, 429].contains(&self.status)
    }

    /// Parses an answer. Returns `None` if it is incomplete, because the connection may fail before the end of the answer.
    pub fn parse(bytes: &[u8]) -> Option<Reply> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(body_start) = head.parse(bytes).ok()? else { return None };
        let length = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))?;
        let length: usize = std::str::from_utf8(length.value).ok()?.parse().ok()?;
        let body = bytes.get(body_start..body_start.checked_add(length)?)?.to_vec();
        Some(Reply { status: head.code?, body })
    }
}

/// The control nodes of a running system, which are called one after another.
pub struct ControlApi {
    addresses: Vec<SocketAddrV4>,
    deadline: Instant,
}

impl ControlApi {
    /// Finds the control nodes that answer. If there is none, every call returns [`OrderError::NoControlNode`].
    ///
    /// # Errors
    ///
    /// If the entry point can't be used, or no process answers.
    pub fn find(entry: &EntryPoint<'_>) -> Result<ControlApi, CommandError> {
        let addresses = Fleet::discover(entry)?.control_addresses();
        Ok(ControlApi { addresses, deadline: Instant::now() + TOTAL_TIMEOUT })
    }

    /// Calls the control nodes in turn, and returns the first definite answer.
    ///
    /// # Errors
    ///
    /// [`OrderError::NoControlNode`] or [`OrderError::NoDefiniteAnswer`]: the call may or may not have been executed.
    pub fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<Reply, OrderError> {
        if self.addresses.is_empty() {
            return Err(OrderError::NoControlNode);
        }
        let mut last_answer = String::new();
        while Instant::now() < self.deadline {
            for address in &self.addresses {
                match call_control_node(*address, method, path, body) {
                    Ok(reply) if reply.is_definite() => return Ok(reply),
                    Ok(reply) => last_answer = format!("{address}: {}", reply.reason()),
                    Err(error) => last_answer = error.to_string(),
                }
            }
            std::thread::park_timeout(RETRY_PAUSE);
        }
        Err(OrderError::NoDefiniteAnswer { last_answer })
    }

    /// Reads the configuration that is in force, byte for byte as the operator sent it.
    ///
    /// # Errors
    ///
    /// [`OrderError::NoConfigurationInForce`] if there is no configuration yet, and the errors of [`ControlApi::call`].
    pub fn configuration_in_force(&self) -> Result<Vec<u8>, OrderError> {
        let reply = self.call("GET", "/v1/settings/read", b"")?;
        match reply.status {
            200 => Ok(reply.body),
            404 => Err(OrderError::NoConfigurationInForce),
            _ => Err(OrderError::UnexpectedAnswer { reason: reply.reason() }),
        }
    }
}

/// Sends one call to one control node over a separate connection.
fn call_control_node(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Reply, CallError> {
    let io_error = |source| CallError::Io { address, source };
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), IO_TIMEOUT).map_err(io_error)?;
    stream.set_read_timeout(Some(IO_TIMEOUT)).map_err(io_error)?;
    stream.set_write_timeout(Some(IO_TIMEOUT)).map_err(io_error)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).map_err(io_error)?;
    stream.write_all(body).map_err(io_error)?;
    let mut bytes = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut bytes).map_err(io_error)?;
    Reply::parse(&bytes).ok_or(CallError::Incomplete { address })
}
