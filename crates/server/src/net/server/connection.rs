//! The requests and answers of one connection that was accepted: bytes in, requests out, answers in, bytes out. No I/O.
//!
//! One request at a time is with the role, and the next is read only when that is answered: an answer belongs to the one
//! request that is in hand. After a request that can't be read nothing more is read.

use super::super::Millis;
use httparse::Status;
use std::io::Write;
use stileroute_http1::{self as http1, framing, has_token, header, Chunks, Framing};

/// What a request may be, and how long it may take to come.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    pub max_head_bytes: usize,
    pub max_body_bytes: usize,
    pub request_timeout_ms: Millis,
    pub idle_timeout_ms: Millis,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            request_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A request as it came, with the headers that mean something here.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub host: String,
    pub request_id: String,
    pub content_type: Option<String>,
    pub delay_ms: Option<u64>,
    pub time_left_ms: Option<u64>,
    pub callback_url: Option<String>,
    pub order_key: Option<String>,
    pub body: Vec<u8>,
}

/// What is said to one.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub is_json: bool,
    pub body: Vec<u8>,
    pub close_connection: bool,
}

impl Response {
    pub fn empty(status: u16) -> Response {
        Response { status, ..Response::default() }
    }
    pub fn json(status: u16, body: String) -> Response {
        Response { status, is_json: true, body: body.into_bytes(), ..Response::default() }
    }
    /// Not taken, and never will be: trying again is harmless, after so long.
    pub fn retry_after(status: u16, seconds: u64) -> Response {
        Response { status, headers: vec![("Retry-After", seconds.to_string())], ..Response::default() }
    }
}

/// What came of the bytes so far.
#[derive(Debug)]
pub(in crate::net) enum Read {
    Nothing,
    /// Part of a request. `first`: its first bytes; `expects`: its sender waits for `CONTINUE` before it sends the body.
    Part {
        first: bool,
        expects: bool,
    },
    Request(Box<Request>),
    /// It is refused with this status, and the connection ends.
    Refused(u16),
}

/// What a sender that asked for it is told before it sends a body.
pub(in crate::net) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

#[derive(Default)]
pub(in crate::net) struct Dialogue {
    /// A request is with the role; the next waits in the buffer.
    busy: bool,
    /// Bytes of a request have come, and not all of it.
    begun: bool,
    /// Its sender has been told to go on.
    continued: bool,
    /// The request in hand is a `HEAD`: its answer has no body.
    bodiless: bool,
    /// The connection ends after the answer to the request in hand.
    close: bool,
    /// Its last answer has been given.
    over: bool,
}

impl Dialogue {
    pub fn is_busy(&self) -> bool {
        self.busy
    }

    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Looks at what has been read, unless a request is in hand.
    pub fn read(&mut self, input: &mut Vec<u8>, limits: &RequestLimits) -> Read {
        if self.busy || self.over || input.is_empty() {
            return Read::Nothing;
        }
        match parse(input, limits) {
            Found::More { expects } => {
                let first = !std::mem::replace(&mut self.begun, true);
                let expects = expects && !std::mem::replace(&mut self.continued, true);
                Read::Part { first, expects }
            }
            Found::Whole { request, used, close } => {
                (self.busy, self.begun, self.continued) = (true, false, false);
                self.bodiless = request.method == "HEAD";
                self.close |= close;
                input.drain(..used);
                Read::Request(request)
            }
            Found::Fault(status) => self.refuse(status),
        }
    }

    /// What has come so far is no request and will be none.
    pub fn refuse(&mut self, status: u16) -> Read {
        (self.busy, self.begun, self.bodiless) = (true, false, false);
        self.close = true;
        Read::Refused(status)
    }

    /// Writes the answer to the request in hand; tells whether the connection ends after it. `None`: no request is in hand,
    /// and nothing is written.
    pub fn answer(&mut self, answer: &Response, ended: bool, out: &mut Vec<u8>) -> Option<bool> {
        if !std::mem::take(&mut self.busy) {
            return None;
        }
        self.over = answer.close_connection || self.close || ended;
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", answer.status, reason(answer.status));
        for (name, value) in &answer.headers {
            let _ = write!(out, "{name}: {value}\r\n");
        }
        if answer.is_json {
            let _ = write!(out, "Content-Type: application/json\r\n");
        }
        if self.over {
            let _ = write!(out, "Connection: close\r\n");
        }
        let _ = write!(out, "Content-Length: {}\r\n\r\n", answer.body.len());
        if !self.bodiless {
            out.extend_from_slice(&answer.body);
        }
        Some(self.over)
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// What can be made of the bytes so far.
#[derive(Debug)]
enum Found {
    More { expects: bool },
    Whole { request: Box<Request>, used: usize, close: bool },
    Fault(u16),
}

fn parse(bytes: &[u8], limits: &RequestLimits) -> Found {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    let end = match head.parse(bytes) {
        Ok(Status::Complete(end)) if end > limits.max_head_bytes => return Found::Fault(431),
        Ok(Status::Complete(end)) => end,
        Ok(Status::Partial) if bytes.len() > limits.max_head_bytes => return Found::Fault(431),
        Ok(Status::Partial) => return Found::More { expects: false },
        Err(httparse::Error::TooManyHeaders) => return Found::Fault(431),
        Err(_) => return Found::Fault(400),
    };
    // Anything that another program could read in another way is refused: so is a request hidden in a body.
    if !http1::lines_are_whole(&bytes[..end]) {
        return Found::Fault(400);
    }
    let headers = &*head.headers;
    let single = ["Host", "X-Request-Id", "X-Delay-Ms", "X-Time-Left-Ms", "X-Callback-Url", "X-Order-Key"];
    if single.iter().any(|name| http1::repeated(headers, name)) {
        return Found::Fault(400);
    }
    let text = |name| header(headers, name).map(str::to_string);
    let number = |name| match header(headers, name) {
        None => Ok(None),
        Some(text) if http1::is_number(text) => text.parse::<u64>().map(Some).map_err(|_| ()),
        Some(_) => Err(()),
    };
    let Some(framing) = framing(headers, head.version) else { return Found::Fault(400) };
    let rest = &bytes[end..];
    let (body, used) = match framing {
        None => (Vec::new(), end),
        Some(Framing::Length(length)) if length > limits.max_body_bytes => return Found::Fault(413),
        Some(Framing::Length(length)) => match rest.get(..length) {
            Some(body) => (body.to_vec(), end + length),
            None => return Found::More { expects: has_token(headers, "Expect", "100-continue") },
        },
        Some(Framing::Chunked) => {
            let (mut chunks, mut body) = (Chunks::default(), Vec::new());
            let Ok(used) = chunks.feed(rest, |part| body.extend_from_slice(part)) else {
                return Found::Fault(400);
            };
            if body.len() > limits.max_body_bytes {
                return Found::Fault(413);
            }
            if !chunks.done() {
                return Found::More { expects: has_token(headers, "Expect", "100-continue") };
            }
            (body, end + used)
        }
        Some(Framing::ToEnd) => return Found::Fault(400),
    };
    let (Ok(delay_ms), Ok(time_left_ms)) = (number("X-Delay-Ms"), number("X-Time-Left-Ms")) else {
        return Found::Fault(400);
    };
    let request = Box::new(Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        host: text("Host").unwrap_or_default(),
        request_id: text("X-Request-Id").unwrap_or_default(),
        content_type: text("Content-Type"),
        delay_ms,
        time_left_ms,
        callback_url: text("X-Callback-Url"),
        order_key: text("X-Order-Key"),
        body,
    });
    let close = has_token(headers, "Connection", "close") || head.version == Some(0);
    Found::Whole { request, used, close }
}

#[cfg(test)]
mod generated;
#[cfg(test)]
mod tests;
