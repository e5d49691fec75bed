//! HTTP/1.1 as the stand-ins speak it: blocking, one request at a time on a connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Bytes that are read at once at most.
const READ_BYTES: usize = 16 << 10;
/// Header fields of a message at most.
const MAX_HEADERS: usize = 48;

/// Why no complete message came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection could not be opened.
    NotConnected,
    /// The other side closed it before the message was complete.
    Closed,
    /// The message was not complete in time.
    TimedOut,
    /// What came is no HTTP message, or one that is not framed by its length.
    Malformed,
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The method of a request, or the status of a response.
    pub start: String,
    /// The target of a request; empty in a response.
    pub target: String,
    /// Names and values, in their order.
    pub headers: Vec<(String, String)>,
    /// The content.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header field, if it is there.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        self.start.parse().unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    fn closes_connection(&self) -> bool {
        self.header("Connection").is_some_and(|text| text.eq_ignore_ascii_case("close"))
    }
}

/// A connection, from either side.
pub struct Connection {
    stream: TcpStream,
    /// Bytes of the next message.
    input: Vec<u8>,
    /// When it was opened, or the last response came.
    used_at: Instant,
}

impl Connection {
    /// Opens a connection.
    pub fn connect(to: SocketAddrV4, patience: Duration) -> Result<Connection, ExchangeError> {
        let stream =
            TcpStream::connect_timeout(&to.into(), patience).map_err(|_| ExchangeError::NotConnected)?;
        Ok(Connection::from_stream(stream))
    }

    /// A connection that was accepted.
    pub fn from_stream(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, input: Vec::new(), used_at: Instant::now() }
    }

    /// How long it has carried nothing since it was opened, or since the last answer.
    pub fn idle(&self) -> Duration {
        self.used_at.elapsed()
    }

    /// Whether all bytes were written.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The next complete message; none where the other side closed between two.
    pub fn read_message(&mut self, until: Instant) -> Result<Option<Message>, ExchangeError> {
        loop {
            if let Some((message, used)) = parse(&self.input)? {
                self.input.drain(..used);
                return Ok(Some(message));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return Err(ExchangeError::TimedOut);
            }
            let mut received = [0; READ_BYTES];
            match self.stream.read(&mut received) {
                Ok(0) if self.input.is_empty() => return Ok(None),
                Ok(0) => return Err(ExchangeError::Closed),
                Ok(count) => self.input.extend_from_slice(&received[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(ExchangeError::TimedOut)
                }
                Err(_) => return Err(ExchangeError::Closed),
            }
        }
    }

    /// Sends a request and waits for the response; with it comes whether the connection may be used again.
    pub fn exchange(&mut self, bytes: &[u8], patience: Duration) -> Result<(Message, bool), ExchangeError> {
        if !self.write(bytes) {
            return Err(ExchangeError::Closed);
        }
        let message = self.read_message(Instant::now() + patience)?.ok_or(ExchangeError::Closed)?;
        self.used_at = Instant::now();
        let is_reusable = !message.closes_connection();
        Ok((message, is_reusable))
    }
}

/// One request on a connection of its own.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    target: &str,
    body: &[u8],
    patience: Duration,
) -> Result<Message, ExchangeError> {
    let mut bytes = format!(
        "{method} {target} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    Connection::connect(to, patience)?.exchange(&bytes, patience).map(|(message, _)| message)
}

/// The message at the front of `bytes`, and its length; none while it is incomplete.
fn parse(bytes: &[u8]) -> Result<Option<(Message, usize)>, ExchangeError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (end, start, target, headers) = if bytes.starts_with(b"HTTP/") {
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(end)) => {
                (end, head.code.unwrap_or(0).to_string(), String::new(), &*head.headers)
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ExchangeError::Malformed),
        }
    } else {
        let mut head = httparse::Request::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(end)) => (
                end,
                head.method.unwrap_or_default().to_string(),
                head.path.unwrap_or_default().to_string(),
                &*head.headers,
            ),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ExchangeError::Malformed),
        }
    };
    let headers: Vec<(String, String)> =
        headers.iter().map(|h| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned())).collect();
    let mut message = Message { start, target, headers, body: Vec::new() };
    // Stilerouted frames all messages by length.
    let length: usize = match message.header("Content-Length") {
        Some(text) => text.parse().map_err(|_| ExchangeError::Malformed)?,
        None if message.header("Transfer-Encoding").is_some() => return Err(ExchangeError::Malformed),
        None => 0,
    };
    let Some(body) = bytes[end..].get(..length) else { return Ok(None) };
    message.body = body.to_vec();
    Ok(Some((message, end + length)))
}
