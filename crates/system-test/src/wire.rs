//! HTTP/1.1 as the stand-ins speak it: blocking, one request at a time on a connection.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Why no whole message came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    NotConnected,
    Closed,
    Late,
    Garbled,
}

/// A request or an answer; `first` is the method or the status.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.parse().unwrap_or(0)
    }
    fn closes(&self) -> bool {
        self.header("Connection").is_some_and(|text| text.eq_ignore_ascii_case("close"))
    }
}

pub struct Wire {
    stream: TcpStream,
    input: Vec<u8>,
    used_at: Instant,
}

impl Wire {
    pub fn connect(to: SocketAddrV4, patience: Duration) -> Result<Wire, Cut> {
        let stream = TcpStream::connect_timeout(&to.into(), patience).map_err(|_| Cut::NotConnected)?;
        Ok(Wire::over(stream))
    }

    pub fn over(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, input: Vec::new(), used_at: Instant::now() }
    }

    /// How long it has carried nothing since it was opened, or since the last answer.
    pub fn idle(&self) -> Duration {
        self.used_at.elapsed()
    }

    pub fn say(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The next whole message; none where the other side closed between two.
    pub fn hear(&mut self, until: Instant) -> Result<Option<Message>, Cut> {
        loop {
            if let Some((message, used)) = read(&self.input)? {
                self.input.drain(..used);
                return Ok(Some(message));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return Err(Cut::Late);
            }
            let mut some = [0; 16 << 10];
            match self.stream.read(&mut some) {
                Ok(0) if self.input.is_empty() => return Ok(None),
                Ok(0) => return Err(Cut::Closed),
                Ok(count) => self.input.extend_from_slice(&some[..count]),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    return Err(Cut::Late)
                }
                Err(_) => return Err(Cut::Closed),
            }
        }
    }

    /// Asks and waits for the answer; whether the connection may be used again comes with it.
    pub fn ask(&mut self, bytes: &[u8], patience: Duration) -> Result<(Message, bool), Cut> {
        if !self.say(bytes) {
            return Err(Cut::Closed);
        }
        let message = self.hear(Instant::now() + patience)?.ok_or(Cut::Closed)?;
        self.used_at = Instant::now();
        let again = !message.closes();
        Ok((message, again))
    }
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    target: &str,
    body: &[u8],
    patience: Duration,
) -> Result<Message, Cut> {
    let mut bytes = format!(
        "{method} {target} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    Wire::connect(to, patience)?.ask(&bytes, patience).map(|(message, _)| message)
}

fn read(bytes: &[u8]) -> Result<Option<(Message, usize)>, Cut> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let (end, first, target, headers) = if bytes.starts_with(b"HTTP/") {
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(end)) => {
                (end, head.code.unwrap_or(0).to_string(), String::new(), &*head.headers)
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Cut::Garbled),
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
            Err(_) => return Err(Cut::Garbled),
        }
    };
    let headers: Vec<(String, String)> =
        headers.iter().map(|h| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned())).collect();
    let mut message = Message { first, target, headers, body: Vec::new() };
    // Stilerouted frames all that it says by length.
    let length: usize = match message.header("Content-Length") {
        Some(text) => text.parse().map_err(|_| Cut::Garbled)?,
        None if message.header("Transfer-Encoding").is_some() => return Err(Cut::Garbled),
        None => 0,
    };
    let Some(body) = bytes[end..].get(..length) else { return Ok(None) };
    message.body = body.to_vec();
    Ok(Some((message, end + length)))
}
