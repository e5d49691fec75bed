//! As much HTTP/1.1 as the stand-ins speak.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message with a body of a stated length; `None` at the end of the connection, or after the time limit.
pub fn read(stream: &mut TcpStream, kept: &mut Vec<u8>, limit: Duration) -> Option<Message> {
    let until = Instant::now() + limit;
    let mut some = [0; 16 << 10];
    loop {
        if let Some((message, length)) = parse(kept) {
            kept.drain(..length);
            return Some(message);
        }
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut some) {
            Ok(count) if count > 0 => kept.extend_from_slice(&some[..count]),
            _ => return None,
        }
    }
}

fn parse(bytes: &[u8]) -> Option<(Message, usize)> {
    let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut message = Message { start, headers, body: Vec::new() };
    let length: usize = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = bytes.get(head_end + 4..head_end + 4 + length)?;
    message.body = body.to_vec();
    Some((message, head_end + 4 + length))
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    let _ = stream.set_nodelay(true);
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    if !headers.iter().any(|(name, _)| *name == "Host") {
        bytes.extend_from_slice(format!("Host: {to}\r\n").as_bytes());
    }
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    read(&mut stream, &mut Vec::new(), limit)
}

/// The text at a key of a flat JSON object.
pub fn json_text(json: &str, key: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{key}\":"))?.1.trim_start();
    Some(rest.strip_prefix('"')?.split('"').next()?.to_string())
}
