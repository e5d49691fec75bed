//! The server side of HTTP: parses requests from a client connection and formats response heads.

use super::http::{self, body_framing, has_token, header_value, ChunkedDecoder, Framing, MAX_HEADERS};
use super::names;
use crate::interfaces::Job;
use crate::state::buffer_pool::{Buffer, Pool};
use crate::state::request_ids::RequestIdGuard;
use std::ops::Range;
use std::sync::Arc;

/// One request, with the buffer that holds its body.
pub struct Request {
    pub method: String,
    pub path: String,
    pub id: Option<String>,
    pub idempotency_key: Option<String>,
    pub category: Option<String>,
    pub budget: Option<String>,
    pub cost: Option<String>,
    pub call_info: Option<String>,
    pub content_type: Option<String>,
    /// Further headers that routes match on, by their lower-case names.
    pub routed_headers: Vec<(String, String)>,
    /// The client wants the connection closed after the response.
    pub close: bool,
    /// Keeps the id reserved, so that it is not used by two requests at once.
    pub id_guard: Option<RequestIdGuard>,
    buffer: Buffer,
    body: Range<usize>,
}

impl Job for Request {
    fn id(&self) -> &str {
        self.id.as_deref().unwrap_or_default()
    }
    fn category(&self) -> &str {
        self.category.as_deref().unwrap_or_default()
    }
    fn idempotency_key(&self) -> Option<&str> {
        self.idempotency_key.as_deref()
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
        self.routed_headers
            .iter()
            .find(|(header_name, _)| header_name == name)
            .map(|(_, value)| value.as_str())
    }
    fn body(&self) -> &[u8] {
        &self.buffer[self.body.clone()]
    }
}

/// Why a request is invalid, as an error response. The connection cannot be used further.
#[derive(Debug, PartialEq)]
pub struct RequestError {
    pub status: u16,
    pub reason: String,
}

fn error<T>(status: u16, reason: &str) -> Result<T, RequestError> {
    Err(RequestError { status, reason: reason.to_string() })
}

/// The request being read, once its head is complete.
struct OpenRequest {
    request: Request,
    framing: Framing,
    chunks: ChunkedDecoder,
}

/// Parses the bytes of one connection into requests. A request uses one buffer from its first byte on, so that
/// partial requests cost no more memory than complete ones.
pub struct RequestParser {
    pool: Arc<Pool>,
    buffer: Option<Buffer>,
    open: Option<OpenRequest>,
    /// Headers that routes match on; empty if no routes are configured.
    routed_headers: Arc<Vec<String>>,
    /// The client sent `Expect: 100-continue` and has not been told to continue.
    continue_wanted: bool,
    /// Bytes received after the end of the last request, at most as many as one call of `feed` adds.
    pipelined: Vec<u8>,
}

impl RequestParser {
    pub fn new(pool: Arc<Pool>) -> RequestParser {
        RequestParser {
            pool,
            buffer: None,
            open: None,
            routed_headers: Arc::default(),
            continue_wanted: false,
            pipelined: Vec::new(),
        }
    }

    /// From the next request on, these headers are read too.
    pub fn set_routed_headers(&mut self, routed_headers: &Arc<Vec<String>>) {
        if !Arc::ptr_eq(&self.routed_headers, routed_headers) {
            self.routed_headers = routed_headers.clone();
        }
    }

    /// Whether no part of a further request has arrived.
    pub fn is_idle(&self) -> bool {
        self.open.is_none() && self.buffer.is_none() && self.pipelined.is_empty()
    }

    /// Whether the client has sent a head and waits for `100 Continue`. Returns true once.
    pub fn take_continue_wanted(&mut self) -> bool {
        std::mem::take(&mut self.continue_wanted) && self.open.is_some()
    }

    /// Adds bytes and returns a request once it is complete. Bytes beyond it are kept for the next call, which
    /// may add none.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Request>, RequestError> {
        if self.pipelined.is_empty() {
            return self.take(bytes);
        }
        let mut all = std::mem::take(&mut self.pipelined);
        all.extend_from_slice(bytes);
        self.take(&all)
    }

    fn take(&mut self, bytes: &[u8]) -> Result<Option<Request>, RequestError> {
        if self.open.is_some() {
            return self.body(bytes);
        }
        if bytes.is_empty() && self.buffer.is_none() {
            return Ok(None);
        }
        let Some(mut buffer) = self.buffer.take().or_else(|| self.pool.take()) else {
            return error(503, "no buffer free");
        };
        if !buffer.append(bytes) {
            return error(413, "request too large");
        }
        let Some(head) = read_head(&buffer, &self.routed_headers)? else {
            if buffer.len() > http::MAX_HEAD_BYTES {
                return error(431, "head too large");
            }
            self.buffer = Some(buffer);
            return Ok(None);
        };
        // The bytes after the head are the start of the body; they are removed from the buffer and parsed like
        // the rest.
        let body_bytes = buffer.len() - head.end;
        buffer.truncate(head.end);
        self.continue_wanted = head.continue_wanted;
        self.open = Some(open_request(buffer, head));
        self.body(&bytes[bytes.len() - body_bytes..])
    }

    fn body(&mut self, bytes: &[u8]) -> Result<Option<Request>, RequestError> {
        let Some(open) = &mut self.open else { return Ok(None) };
        let buffer = &mut open.request.buffer;
        let start = open.request.body.start;
        let mut fits = true;
        let consumed = match &mut open.framing {
            Framing::Length(left) => {
                let count = bytes.len().min(*left);
                fits = buffer.append(&bytes[..count]);
                *left -= count;
                count
            }
            _ => match open.chunks.decode(bytes, |part| fits = fits && buffer.append(part)) {
                Ok(consumed) => consumed,
                Err(_) => return error(400, "chunked body is malformed"),
            },
        };
        if !fits || buffer.len() - start > http::MAX_BODY_BYTES {
            return error(413, "body over 64 KiB");
        }
        if consumed > 0 {
            // The client has started to send the body without waiting for `100 Continue`.
            self.continue_wanted = false;
        }
        if !(open.framing == Framing::Length(0) || open.chunks.is_done()) {
            return Ok(None);
        }
        open.request.body = start..open.request.buffer.len();
        self.pipelined = bytes[consumed..].to_vec();
        Ok(self.open.take().map(|open| open.request))
    }
}

/// The parsed head of a request, without the buffer that holds it.
struct Head {
    values: [Option<String>; 7],
    routed_headers: Vec<(String, String)>,
    method: String,
    path: String,
    close: bool,
    framing: Framing,
    end: usize,
    /// The client sends the body only after `100 Continue`.
    continue_wanted: bool,
}

/// The headers that are read from a request. A repeated one is rejected, since the node and the executor might
/// each use a different occurrence.
const SINGLE_HEADERS: [&str; 7] = [
    names::CALL_ID,
    names::IDEMPOTENCY_KEY,
    names::CATEGORY,
    names::BUDGET,
    names::COST,
    names::CALL_INFO,
    "Content-Type",
];

fn read_head(bytes: &[u8], routed_headers: &[String]) -> Result<Option<Head>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let end = match head.parse(bytes) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return error(431, "too many headers"),
        Err(problem) => return error(400, &format!("request is malformed: {problem}")),
    };
    if end > http::MAX_HEAD_BYTES {
        return error(431, "head too large");
    }
    if !http::has_crlf_line_endings(&bytes[..end]) {
        return error(400, "request is malformed: a line ends without CR");
    }
    let headers = &*head.headers;
    if let Some(name) = SINGLE_HEADERS.iter().chain(&["Host"]).find(|name| http::is_repeated(headers, name)) {
        return error(400, &format!("{name} is given twice"));
    }
    // A repeated header is rejected: the route must not be chosen by one occurrence while the executor acts on
    // the other.
    if let Some(name) = routed_headers.iter().find(|name| http::is_repeated(headers, name)) {
        return error(400, &format!("{name} is given twice"));
    }
    let framing = match body_framing(headers, head.version) {
        Err(_) => return error(400, "Content-Length or Transfer-Encoding is malformed"),
        Ok(Some(Framing::Length(bytes))) if bytes > http::MAX_BODY_BYTES => {
            return error(413, "body over 64 KiB")
        }
        Ok(framing) => framing.unwrap_or(Framing::Length(0)),
    };
    if head.path.is_none_or(|path| !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic())) {
        return error(400, "path is malformed");
    }
    let expect = header_value(headers, "Expect");
    if expect.is_some_and(|expect| !expect.eq_ignore_ascii_case("100-continue")) {
        return error(417, "Expect is not met here");
    }
    // An HTTP/1.0 client would take `100 Continue` for its final response.
    let continue_wanted = expect.is_some() && head.version == Some(1);
    let text = |name| header_value(headers, name).filter(|text| !text.is_empty()).map(str::to_string);
    let is_http_1_0 = head.version == Some(0);
    Ok(Some(Head {
        values: SINGLE_HEADERS.map(text),
        routed_headers: routed_headers
            .iter()
            .filter_map(|name| Some((name.clone(), header_value(headers, name)?.to_string())))
            .collect(),
        method: head.method.unwrap_or_default().to_string(),
        path: head.path.unwrap_or_default().to_string(),
        close: has_token(headers, "Connection", "close")
            || (is_http_1_0 && !has_token(headers, "Connection", "keep-alive")),
        framing,
        end,
        continue_wanted,
    }))
}

fn open_request(buffer: Buffer, head: Head) -> OpenRequest {
    let [id, idempotency_key, category, budget, cost, call_info, content_type] = head.values;
    let (method, path, close, body) = (head.method, head.path, head.close, head.end..head.end);
    let routed_headers = head.routed_headers;
    OpenRequest {
        request: Request {
            method,
            path,
            id,
            idempotency_key,
            category,
            budget,
            cost,
            call_info,
            content_type,
            routed_headers,
            close,
            id_guard: None,
            buffer,
            body,
        },
        framing: head.framing,
        chunks: ChunkedDecoder::default(),
    }
}

/// The interim response that lets a waiting client send its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Formats the head of a response. `retry_after` is in units of 0.1 ms; zero omits Retry-After.
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
