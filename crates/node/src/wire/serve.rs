//! The server side of HTTP: bytes of a client's connection become requests, answers become bytes.

use super::http::{self, body_framing, has_token, header_value, ChunkedDecoder, Framing, MAX_HEADERS};
use super::names;
use crate::port::Job;
use crate::store::ids::Entry;
use crate::store::pool::{Buffer, Pool};
use std::ops::Range;
use std::sync::Arc;

/// One request, with the buffer that holds its body.
pub struct Request {
    pub method: String,
    pub path: String,
    pub id: Option<String>,
    pub mark: Option<String>,
    pub category: Option<String>,
    pub budget: Option<String>,
    pub cost: Option<String>,
    pub figures: Option<String>,
    pub content_type: Option<String>,
    /// Further headers that routes look at, by their names in lower case.
    pub wanted: Vec<(String, String)>,
    /// The client wants the connection closed after the answer.
    pub close: bool,
    /// Keeps the id from being used twice at once.
    pub entry: Option<Entry>,
    held: Buffer,
    body: Range<usize>,
}

impl Job for Request {
    fn id(&self) -> &str {
        self.id.as_deref().unwrap_or_default()
    }
    fn category(&self) -> &str {
        self.category.as_deref().unwrap_or_default()
    }
    fn mark(&self) -> Option<&str> {
        self.mark.as_deref()
    }
    fn method(&self) -> &str {
        &self.method
    }
    fn path(&self) -> &str {
        &self.path
    }
    fn cost(&self) -> Option<&str> {
        self.cost.as_deref()
    }
    fn content_type(&self) -> Option<&str> {
        self.content_type.as_deref()
    }
    fn header(&self, name: &str) -> Option<&str> {
        self.wanted.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }
    fn body(&self) -> &[u8] {
        &self.held[self.body.clone()]
    }
}

/// What is wrong with a request, as an answer that names it. The connection can't be used further.
#[derive(Debug, PartialEq)]
pub struct Fault {
    pub status: u16,
    pub why: String,
}

fn fault<T>(status: u16, why: &str) -> Result<T, Fault> {
    Err(Fault { status, why: why.to_string() })
}

/// The head of the request being read, once it is whole.
struct Open {
    request: Request,
    framing: Framing,
    chunks: ChunkedDecoder,
}

/// Collects the bytes of one connection; gives its requests one by one. A request takes one buffer, from its
/// first byte on: half-sent ones must not cost more than whole ones.
pub struct Inbox {
    pool: Arc<Pool>,
    held: Option<Buffer>,
    open: Option<Open>,
    /// Headers that routes look at; none where there are no routes.
    wanted: Arc<Vec<String>>,
    /// The client waits to be told to go on.
    waits: bool,
    /// What came behind the last request, at most as much as is fed at once.
    ahead: Vec<u8>,
}

impl Inbox {
    pub fn new(pool: Arc<Pool>) -> Inbox {
        Inbox { pool, held: None, open: None, wanted: Arc::default(), waits: false, ahead: Vec::new() }
    }

    /// From the next request on these headers are read too.
    pub fn want(&mut self, wanted: &Arc<Vec<String>>) {
        if !Arc::ptr_eq(&self.wanted, wanted) {
            self.wanted = wanted.clone();
        }
    }

    /// Nothing of a further request has come.
    pub fn idle(&self) -> bool {
        self.open.is_none() && self.held.is_none() && self.ahead.is_empty()
    }

    /// Whether the client waits to be told to go on, once: it has sent a head and holds its body back.
    pub fn waits(&mut self) -> bool {
        std::mem::take(&mut self.waits) && self.open.is_some()
    }

    /// Takes bytes in, and gives a request as soon as one is whole. Bytes beyond it wait for the next call,
    /// which may be made with none.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Request>, Fault> {
        if self.ahead.is_empty() {
            return self.take(bytes);
        }
        let mut all = std::mem::take(&mut self.ahead);
        all.extend_from_slice(bytes);
        self.take(&all)
    }

    fn take(&mut self, bytes: &[u8]) -> Result<Option<Request>, Fault> {
        if self.open.is_some() {
            return self.body(bytes);
        }
        if bytes.is_empty() && self.held.is_none() {
            return Ok(None);
        }
        let Some(mut held) = self.held.take().or_else(|| self.pool.take()) else {
            return fault(503, "no buffer free");
        };
        if !held.add(bytes) {
            return fault(413, "request too large");
        }
        let Some(head) = read_head(&held, &self.wanted)? else {
            if held.len() > http::MAX_HEAD_BYTES {
                return fault(431, "head too large");
            }
            self.held = Some(held);
            return Ok(None);
        };
        // What came behind the head is the body's beginning; it is cut off and fed like the rest.
        let behind = held.len() - head.end;
        held.cut(head.end);
        self.waits = head.waits;
        self.open = Some(opened(held, head));
        self.body(&bytes[bytes.len() - behind..])
    }

    fn body(&mut self, bytes: &[u8]) -> Result<Option<Request>, Fault> {
        let Some(open) = &mut self.open else { return Ok(None) };
        let held = &mut open.request.held;
        let start = open.request.body.start;
        let mut fits = true;
        let used = match &mut open.framing {
            Framing::Length(left) => {
                let some = bytes.len().min(*left);
                fits = held.add(&bytes[..some]);
                *left -= some;
                some
            }
            _ => match open.chunks.decode(bytes, |part| fits = fits && held.add(part)) {
                Ok(used) => used,
                Err(_) => return fault(400, "chunked body is malformed"),
            },
        };
        if !fits || held.len() - start > http::MAX_BODY_BYTES {
            return fault(413, "body over 64 KiB");
        }
        if used > 0 {
            // It has begun to send all the same.
            self.waits = false;
        }
        if !(open.framing == Framing::Length(0) || open.chunks.is_done()) {
            return Ok(None);
        }
        open.request.body = start..open.request.held.len();
        self.ahead = bytes[used..].to_vec();
        Ok(self.open.take().map(|open| open.request))
    }
}

/// What a head says, apart from the buffer that holds it.
struct Head {
    texts: [Option<String>; 7],
    wanted: Vec<(String, String)>,
    method: String,
    path: String,
    close: bool,
    framing: Framing,
    end: usize,
    /// The client sends the body when it is told to go on.
    waits: bool,
}

/// The headers that a request is read from. Of two of a kind, whoever reads on might act on the other.
const TEXTS: [&str; 7] = [
    names::CALL_ID,
    names::MARK,
    names::CATEGORY,
    names::BUDGET,
    names::COST,
    names::FIGURES,
    "Content-Type",
];

fn read_head(bytes: &[u8], wanted: &[String]) -> Result<Option<Head>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let end = match head.parse(bytes) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return fault(431, "too many headers"),
        Err(error) => return fault(400, &format!("request is malformed: {error}")),
    };
    if end > http::MAX_HEAD_BYTES {
        return fault(431, "head too large");
    }
    if !http::has_crlf_line_endings(&bytes[..end]) {
        return fault(400, "request is malformed: a line ends without CR");
    }
    let headers = &*head.headers;
    if let Some(name) = TEXTS.iter().chain(&["Host"]).find(|name| http::is_repeated(headers, name)) {
        return fault(400, &format!("{name} is given twice"));
    }
    // Routes must not be chosen by the first of two while an executor acts on the second.
    if let Some(name) = wanted.iter().find(|name| http::is_repeated(headers, name)) {
        return fault(400, &format!("{name} is given twice"));
    }
    let framing = match body_framing(headers, head.version) {
        Err(_) => return fault(400, "Content-Length or Transfer-Encoding is malformed"),
        Ok(Some(Framing::Length(bytes))) if bytes > http::MAX_BODY_BYTES => {
            return fault(413, "body over 64 KiB")
        }
        Ok(framing) => framing.unwrap_or(Framing::Length(0)),
    };
    if head.path.is_none_or(|path| !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic())) {
        return fault(400, "path is malformed");
    }
    let expects = header_value(headers, "Expect");
    if expects.is_some_and(|expects| !expects.eq_ignore_ascii_case("100-continue")) {
        return fault(417, "Expect is not met here");
    }
    // An older client would take the word to go on for its answer.
    let waits = expects.is_some() && head.version == Some(1);
    let text = |name| header_value(headers, name).filter(|text| !text.is_empty()).map(str::to_string);
    let old = head.version == Some(0);
    Ok(Some(Head {
        texts: TEXTS.map(text),
        wanted: wanted
            .iter()
            .filter_map(|name| Some((name.clone(), header_value(headers, name)?.to_string())))
            .collect(),
        method: head.method.unwrap_or_default().to_string(),
        path: head.path.unwrap_or_default().to_string(),
        close: has_token(headers, "Connection", "close")
            || (old && !has_token(headers, "Connection", "keep-alive")),
        framing,
        end,
        waits,
    }))
}

fn opened(held: Buffer, head: Head) -> Open {
    let [id, mark, category, budget, cost, figures, content_type] = head.texts;
    let (method, path, close, body) = (head.method, head.path, head.close, head.end..head.end);
    let wanted = head.wanted;
    Open {
        request: Request {
            method,
            path,
            id,
            mark,
            category,
            budget,
            cost,
            figures,
            content_type,
            wanted,
            close,
            entry: None,
            held,
            body,
        },
        framing: head.framing,
        chunks: ChunkedDecoder::default(),
    }
}

/// Tells a client that waits for it to send its body.
pub const GO_ON: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The head of an answer. `retry_after` is in tenths of a millisecond, zero for no advice.
pub fn answer_head(status: u16, length: usize, retry_after: i64, close: bool) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        _ => "Service Unavailable",
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n");
    if retry_after > 0 {
        head += &format!("Retry-After: {}.{:04}\r\n", retry_after / 10_000, retry_after % 10_000);
    }
    if close {
        head += "Connection: close\r\n";
    }
    head + "\r\n"
}
