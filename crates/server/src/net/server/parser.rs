//! Parses one HTTP/1.1 request from the front of a connection's input.
//!
//! Any input that another program on the path could interpret differently is rejected: such a difference allows a
//! second request to be hidden in the body of the first (request smuggling, RFC 9112, 11.2).

use super::message::{Request, RequestLimits};
use httparse::{Header, Status};
use stileroute_http1::{self as http1, body_framing, has_token, header_value, ChunkedDecoder, Framing};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Headers that this service evaluates, each allowed only once. With two headers of the same name, different readers
/// could use different ones; a second `Host` header is invalid in any case (RFC 9112, 3.2).
const SINGLE_HEADERS: [&str; 8] = [
    "Host",
    "X-Request-Id",
    "X-Delay-Ms",
    "X-Time-Left-Ms",
    "X-Callback-Url",
    "X-Order-Key",
    "Authorization",
    "X-Idempotency-Key",
];

/// Reason why a request is rejected. The connection is closed after the response, because the bytes that follow can't
/// be separated from the rejected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(in crate::net) enum RequestError {
    /// The input is no HTTP/1.x request, or is ambiguous.
    #[error("malformed request")]
    Malformed,
    /// The head is too long or has too many headers (RFC 6585, 5).
    #[error("request head too large")]
    HeadTooLarge,
    /// The body is too long, either by itself or with its framing.
    #[error("request body too large")]
    BodyTooLarge,
    /// The request has not arrived completely in time.
    #[error("request not complete in time")]
    TimedOut,
}

impl RequestError {
    /// Returns the HTTP status with which the request is rejected.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed => 400,
            RequestError::TimedOut => 408,
            RequestError::BodyTooLarge => 413,
            RequestError::HeadTooLarge => 431,
        }
    }
}

/// Result of parsing the bytes received so far.
#[derive(Debug)]
pub(super) enum Parsed {
    /// The bytes are the beginning of a request.
    Incomplete {
        /// Whether the client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1).
        expects_continue: bool,
    },
    /// The bytes start with a complete request.
    Complete {
        /// Parsed request.
        request: Box<Request>,
        /// Number of bytes of the request at the front of the input.
        length: usize,
        /// Whether the client expects no further request to be answered on the connection (RFC 9112, 9.3 and 9.6).
        closes_connection: bool,
    },
}

/// Parses the request at the front of `bytes`.
pub(super) fn parse_request(bytes: &[u8], limits: &RequestLimits) -> Result<Parsed, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Some(head_length) = parse_head(&mut head, bytes, limits)? else {
        return Ok(Parsed::Incomplete { expects_continue: false });
    };
    // `httparse` accepts lines that end with a bare LF. RFC 9112, 2.2 leaves this to the recipient, so recipients
    // differ.
    let has_ambiguous_lines = !http1::has_crlf_line_endings(&bytes[..head_length]);
    let has_repeated_header = SINGLE_HEADERS.iter().any(|name| http1::is_repeated(head.headers, name));
    if has_ambiguous_lines || has_repeated_header {
        return Err(RequestError::Malformed);
    }
    // RFC 9112, 6: the body is delimited by `Transfer-Encoding` or `Content-Length`; a request with both, or with an
    // ambiguous value, is rejected.
    let body_framing = body_framing(head.headers, head.version).map_err(|_| RequestError::Malformed)?;
    let Some(body) = parse_body(&bytes[head_length..], body_framing, limits)? else {
        let expects_continue = has_token(head.headers, "Expect", "100-continue");
        return Ok(Parsed::Incomplete { expects_continue });
    };
    // An HTTP/1.0 connection is closed after the response, regardless of its headers.
    let closes_connection = has_token(head.headers, "Connection", "close") || head.version == Some(0);
    let length = head_length + body.length;
    Ok(Parsed::Complete { request: Box::new(request_of(&head, body.content)?), length, closes_connection })
}

/// Parses the head. Returns its length in bytes, or `None` if it is incomplete.
fn parse_head<'b>(
    head: &mut httparse::Request<'_, 'b>,
    bytes: &'b [u8],
    limits: &RequestLimits,
) -> Result<Option<usize>, RequestError> {
    match head.parse(bytes) {
        Ok(Status::Complete(length)) if length > limits.max_head_bytes => Err(RequestError::HeadTooLarge),
        Ok(Status::Complete(length)) => Ok(Some(length)),
        Ok(Status::Partial) if bytes.len() > limits.max_head_bytes => Err(RequestError::HeadTooLarge),
        Ok(Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(RequestError::HeadTooLarge),
        Err(_) => Err(RequestError::Malformed),
    }
}

/// A body that has arrived completely.
struct Body {
    /// Body content without chunk framing.
    content: Vec<u8>,
    /// Number of body bytes after the head, including their framing.
    length: usize,
}

/// Parses the body from the bytes after the head. Returns `None` if the body is incomplete.
fn parse_body(
    bytes: &[u8],
    body_framing: Option<Framing>,
    limits: &RequestLimits,
) -> Result<Option<Body>, RequestError> {
    match body_framing {
        None => Ok(Some(Body { content: Vec::new(), length: 0 })),
        Some(Framing::Length(length)) if length > limits.max_body_bytes => Err(RequestError::BodyTooLarge),
        Some(Framing::Length(length)) => {
            Ok(bytes.get(..length).map(|content| Body { content: content.to_vec(), length }))
        }
        Some(Framing::Chunked) => parse_chunked_body(bytes, limits),
        // Only a response may be delimited by the end of the connection (RFC 9112, 6.3).
        Some(Framing::UntilClose) => Err(RequestError::Malformed),
    }
}

/// Parses a chunked body (RFC 9112, 7.1). The body is rejected as too large as soon as its content exceeds the limit,
/// even if it is incomplete.
fn parse_chunked_body(bytes: &[u8], limits: &RequestLimits) -> Result<Option<Body>, RequestError> {
    let mut chunks = ChunkedDecoder::default();
    let mut content = Vec::new();
    let length = chunks
        .decode(bytes, |chunk| content.extend_from_slice(chunk))
        .map_err(|_| RequestError::Malformed)?;
    if content.len() > limits.max_body_bytes {
        return Err(RequestError::BodyTooLarge);
    }
    Ok(chunks.is_done().then_some(Body { content, length }))
}

fn request_of(head: &httparse::Request, body: Vec<u8>) -> Result<Request, RequestError> {
    let headers: &[Header] = head.headers;
    let text = |name| header_value(headers, name).map(str::to_string);
    Ok(Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        host: text("Host").unwrap_or_default(),
        request_id: text("X-Request-Id").unwrap_or_default(),
        content_type: text("Content-Type"),
        delay_ms: milliseconds(headers, "X-Delay-Ms")?,
        time_left_ms: milliseconds(headers, "X-Time-Left-Ms")?,
        callback_url: text("X-Callback-Url"),
        order_key: text("X-Order-Key"),
        authorization: text("Authorization"),
        idempotency_key: text("X-Idempotency-Key"),
        body,
    })
}

/// Returns the value of a header that holds a number of milliseconds.
fn milliseconds(headers: &[Header], name: &str) -> Result<Option<u64>, RequestError> {
    match header_value(headers, name) {
        None => Ok(None),
        Some(text) if http1::is_decimal(text) => text.parse().map(Some).map_err(|_| RequestError::Malformed),
        Some(_) => Err(RequestError::Malformed),
    }
}

#[cfg(test)]
mod tests;
