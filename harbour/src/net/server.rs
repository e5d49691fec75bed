//! Requests that come in.

use super::{ConnId, Event, Millis, Net, Side};
use httparse::Status;
use stileroute_hawser::{self as hawser, framing, has_token, header, Chunks, Framing};

/// What a request may be, and how long it may take to come.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub head: usize,
    pub body: usize,
    pub head_ms: Millis,
    pub idle_ms: Millis,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { head: 16 << 10, body: 256 << 10, head_ms: 3000, idle_ms: 15_000 }
    }
}

impl Bounds {
    /// Bytes that one request may take with its framing; chunks of a few bytes each are worth nobody's memory.
    pub fn most(&self) -> usize {
        self.head + 2 * self.body + (64 << 10)
    }
}

/// A request as it came, with the headers that mean something here.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub host: String,
    pub id: String,
    pub content_type: Option<String>,
    pub delay_ms: Option<u64>,
    pub left_ms: Option<u64>,
    pub callback: Option<String>,
    pub order_key: Option<String>,
    pub body: Vec<u8>,
}

/// What is said to one.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub json: bool,
    pub body: Vec<u8>,
    pub close: bool,
}

impl Answer {
    pub fn bare(status: u16) -> Answer {
        Answer { status, ..Answer::default() }
    }
    pub fn json(status: u16, body: String) -> Answer {
        Answer { status, json: true, body: body.into_bytes(), ..Answer::default() }
    }
    /// Not taken, and never will be: trying again is harmless, after so long.
    pub fn come_back(status: u16, seconds: u64) -> Answer {
        Answer { status, headers: vec![("Retry-After", seconds.to_string())], ..Answer::default() }
    }
}

pub(super) struct Inward {
    pub port: usize,
    /// A request is with the role; the next waits in the buffer.
    pub busy: bool,
    /// Bytes of a request have come, and not all of it.
    begun: bool,
    close: bool,
    /// When the request had come whole.
    since: Millis,
}

impl Inward {
    pub fn new(port: usize) -> Inward {
        Inward { port, busy: false, begun: false, close: false, since: 0 }
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

fn parse(bytes: &[u8], bounds: &Bounds) -> Found {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    let end = match head.parse(bytes) {
        Ok(Status::Complete(end)) if end > bounds.head => return Found::Fault(431),
        Ok(Status::Complete(end)) => end,
        Ok(Status::Partial) if bytes.len() > bounds.head => return Found::Fault(431),
        Ok(Status::Partial) => return Found::More { expects: false },
        Err(httparse::Error::TooManyHeaders) => return Found::Fault(431),
        Err(_) => return Found::Fault(400),
    };
    // Anything that another program could read in another way is refused: so is a request hidden in a body.
    if !hawser::lines_are_whole(&bytes[..end]) {
        return Found::Fault(400);
    }
    let headers = &*head.headers;
    let single = ["Host", "X-Request-Id", "X-Delay-Ms", "X-Time-Left-Ms", "X-Callback-Url", "X-Order-Key"];
    if single.iter().any(|name| hawser::repeated(headers, name)) {
        return Found::Fault(400);
    }
    let text = |name| header(headers, name).map(str::to_string);
    let number = |name| match header(headers, name) {
        None => Ok(None),
        Some(text) if hawser::is_number(text) => text.parse::<u64>().map(Some).map_err(|_| ()),
        Some(_) => Err(()),
    };
    let Some(framing) = framing(headers, head.version) else { return Found::Fault(400) };
    let rest = &bytes[end..];
    let (body, used) = match framing {
        None => (Vec::new(), end),
        Some(Framing::Length(length)) if length > bounds.body => return Found::Fault(413),
        Some(Framing::Length(length)) => match rest.get(..length) {
            Some(body) => (body.to_vec(), end + length),
            None => return Found::More { expects: has_token(headers, "Expect", "100-continue") },
        },
        Some(Framing::Chunked) => {
            let (mut chunks, mut body) = (Chunks::default(), Vec::new());
            let Ok(used) = chunks.feed(rest, |part| body.extend_from_slice(part)) else {
                return Found::Fault(400);
            };
            if body.len() > bounds.body {
                return Found::Fault(413);
            }
            if !chunks.done() {
                return Found::More { expects: has_token(headers, "Expect", "100-continue") };
            }
            (body, end + used)
        }
        Some(Framing::ToEnd) => return Found::Fault(400),
    };
    let (Ok(delay_ms), Ok(left_ms)) = (number("X-Delay-Ms"), number("X-Time-Left-Ms")) else {
        return Found::Fault(400);
    };
    let request = Box::new(Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        host: text("Host").unwrap_or_default(),
        id: text("X-Request-Id").unwrap_or_default(),
        content_type: text("Content-Type"),
        delay_ms,
        left_ms,
        callback: text("X-Callback-Url"),
        order_key: text("X-Order-Key"),
        body,
    });
    let close = has_token(headers, "Connection", "close") || head.version == Some(0);
    Found::Whole { request, used, close }
}

impl Net {
    pub(super) fn take_request(&mut self, id: ConnId) {
        let now = self.now;
        let Some(conn) = self.get(id) else { return };
        let Side::Inward(inward) = &conn.side else { return };
        if inward.busy || conn.close_after || conn.input.is_empty() {
            return;
        }
        let port = inward.port;
        let bounds = self.bounds(port);
        let Some(conn) = self.get(id) else { return };
        let Side::Inward(inward) = &mut conn.side else { return };
        match parse(&conn.input, &bounds) {
            Found::More { expects } => {
                if !std::mem::replace(&mut inward.begun, true) {
                    conn.deadline = now + bounds.head_ms;
                    if expects {
                        conn.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                        self.soil(id);
                    }
                    self.watch(id, now + bounds.head_ms);
                }
            }
            Found::Whole { request, used, close } => {
                (inward.busy, inward.begun, inward.since) = (true, false, now);
                inward.close |= close;
                conn.input.drain(..used);
                if conn.input.is_empty() && conn.input.capacity() > super::KEEP {
                    conn.input = Vec::new();
                }
                conn.deadline = Millis::MAX;
                self.happened.push_back(Event::Request { conn: id, port, request: *request });
            }
            Found::Fault(status) => {
                (inward.busy, inward.since) = (true, now);
                let answer = Answer { close: true, ..Answer::bare(status) };
                self.garbled += u64::from(status == 400);
                self.answer(id, answer);
            }
        }
    }

    /// More bytes have come than any request may have: whole requests are taken, and anything else is refused.
    pub(super) fn too_much(&mut self, id: ConnId) {
        self.take_request(id);
        let now = self.now;
        let Some(conn) = self.get(id) else { return };
        let Side::Inward(inward) = &mut conn.side else { return };
        if !inward.busy && !conn.close_after {
            (inward.busy, inward.since) = (true, now);
            self.answer(id, Answer { close: true, ..Answer::bare(413) });
        }
    }

    /// Answers the request that the connection waits on.
    pub fn answer(&mut self, id: ConnId, answer: Answer) {
        use std::io::Write;
        let now = self.now;
        let Some(conn) = self.get(id) else { return };
        let Side::Inward(inward) = &mut conn.side else { return };
        if !std::mem::take(&mut inward.busy) {
            return;
        }
        let (port, since) = (inward.port, inward.since);
        let close = answer.close || inward.close || conn.ended;
        let out = &mut conn.out;
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", answer.status, reason(answer.status));
        for (name, value) in &answer.headers {
            let _ = write!(out, "{name}: {value}\r\n");
        }
        if answer.json {
            let _ = write!(out, "Content-Type: application/json\r\n");
        }
        if close {
            let _ = write!(out, "Connection: close\r\n");
        }
        let _ = write!(out, "Content-Length: {}\r\n\r\n", answer.body.len());
        out.extend_from_slice(&answer.body);
        conn.close_after |= close;
        *self.answers.entry((port, answer.status)).or_default() += 1;
        if answer.status == 202 {
            self.accepted.add(now.saturating_sub(since));
        }
        self.soil(id);
        let deadline = now + self.bounds(port).idle_ms;
        if let Some(conn) = self.get(id) {
            conn.deadline = deadline;
        }
        self.watch(id, deadline);
        self.take_request(id);
    }

    /// A request that did not come whole in time, or a connection on which none comes.
    pub(super) fn slow_request(&mut self, id: ConnId) {
        let Some(conn) = self.get(id) else { return };
        let Side::Inward(inward) = &mut conn.side else { return };
        if inward.begun {
            inward.busy = true;
            self.answer(id, Answer { close: true, ..Answer::bare(408) });
        } else if !inward.busy {
            self.close(id);
        }
    }

    /// Closes connections on which nothing is under way.
    pub fn close_idle(&mut self, port: usize) {
        let idle: Vec<ConnId> = (0..self.conns.len())
            .filter(|at| {
                self.conns[*at].1.as_ref().is_some_and(|conn| {
                    let quiet = conn.input.is_empty() && conn.out.is_empty();
                    matches!(&conn.side, Side::Inward(i) if i.port == port && !i.busy && !i.begun) && quiet
                })
            })
            .map(|at| self.id(at))
            .collect();
        idle.into_iter().for_each(|id| self.close(id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    const BOUNDS: Bounds = Bounds { head: 400, body: 10, head_ms: 0, idle_ms: 0 };

    fn read(text: &str) -> Found {
        parse(text.as_bytes(), &BOUNDS)
    }

    /// A head that ends after these lines.
    fn head(lines: &str) -> String {
        format!("POST /a?b HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\n{lines}\r\n")
    }

    #[test]
    fn what_is_refused_has_its_status() {
        let long = format!("A: {}\r\n", "a".repeat(400));
        let many = "A: b\r\n".repeat(65);
        let rows = [
            (long.as_str(), "", 431),
            (&many, "", 431),
            ("Content-Length: 11\r\n", "", 413),
            ("Content-Length: 99999999999999999999\r\n", "", 400),
            ("Transfer-Encoding: chunked\r\n", "b\r\n01234567890\r\n0\r\n\r\n", 413),
            ("Transfer-Encoding: chunked\r\n", "b\r\n01234567890", 413),
            ("Transfer-Encoding: chunked\r\n", "x\r\n", 400),
            ("Transfer-Encoding: chunked\r\n", "1\na\n0\n\n", 400),
            ("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "abc", 400),
            ("Transfer-Encoding: gzip\r\n", "abc", 400),
            ("Content-Length: 3\r\nContent-Length: 3\r\n", "abc", 400),
            ("Content-Length: +3\r\n", "abc", 400),
            ("Host: other\r\n", "", 400),
            ("X-Request-Id: other\r\n", "", 400),
            ("X-Delay-Ms: -1\r\n", "", 400),
            ("X-Delay-Ms: 1.5\r\n", "", 400),
            ("X-Time-Left-Ms: 99999999999999999999\r\n", "", 400),
            ("A: b\n", "", 400),
            ("no colon\r\n", "", 400),
            ("A : b\r\n", "", 400),
        ];
        for (lines, body, status) in rows {
            let text = head(lines) + body;
            assert_matches!(read(&text), Found::Fault(told) if told == status, "{text:?}");
        }
        for garbage in
            ["\0\0\0\0", "\u{16}\u{3}\u{1}", "GET\r\n\r\n", "GET / HTTP/3.0\r\n\r\n", "GET  / \r\n\r\n"]
        {
            assert_matches!(read(garbage), Found::Fault(400), "{garbage:?}");
        }
        let endless = "POST /".to_string() + &"a".repeat(400);
        assert_matches!(read(&endless), Found::Fault(431));
    }

    #[test]
    fn a_request_is_read_whole_or_waited_for() {
        let chunked = head("Transfer-Encoding: chunked\r\n") + "2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: t\r\n\r\n";
        let plain =
            head("Content-Length: 3\r\nX-Delay-Ms: 1500\r\nX-Callback-Url: http://1.2.3.4:5/d\r\n") + "abc";
        for whole in [&chunked, &plain] {
            // Cut anywhere it is waited for, and what follows it stays for the next.
            for cut in 0..whole.len() {
                assert_matches!(read(&whole[..cut]), Found::More { expects: false }, "{:?}", &whole[..cut]);
            }
            let piped = whole.clone() + "GET /next HTTP/1.1\r\n\r\n";
            assert_matches!(read(&piped), Found::Whole { request, used, close: false } => {
                assert_eq!((used, request.body.as_slice()), (whole.len(), &b"abc"[..]));
                assert_eq!((request.method.as_str(), request.target.as_str()), ("POST", "/a?b"));
                assert_eq!((request.host.as_str(), request.id.as_str()), ("h", "i"));
            });
        }
        assert_matches!(read(&plain), Found::Whole { request, .. } => {
            assert_eq!((request.delay_ms, request.left_ms, request.order_key), (Some(1500), None, None));
            assert_eq!(request.callback.as_deref(), Some("http://1.2.3.4:5/d"));
        });
        let expects = head("Content-Length: 3\r\nExpect: 100-continue\r\n");
        assert_matches!(read(&expects), Found::More { expects: true });
        for closing in [head("Connection: keep-alive, Close\r\n"), "GET / HTTP/1.0\r\n\r\n".to_string()] {
            assert_matches!(read(&closing), Found::Whole { close: true, .. }, "{closing:?}");
        }
    }
}
