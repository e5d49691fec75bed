//! Parses one HTTP/1.1 request from the front of what a connection has received.
//!
//! Whatever another program on the way could read differently is rejected, for behind such a difference a second request can
//! hide in the body of the first (request smuggling, RFC 9112, 11.2).

use super::message::{Request, RequestLimits};
use httparse::{Header, Status};
use stileroute_http1::{self as http1, body_framing, has_token, header_value, ChunkedDecoder, Framing};

/// Most headers of a request.
const MAX_HEADERS: usize = 64;
/// Headers that have a meaning here. With two of the same name it would depend on the reader which one holds; of `Host` a
/// request may have only one in any case (RFC 9112, 3.2).
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

/// Why a request is rejected. The connection ends with the response, for what follows can't be told apart from the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(in crate::net) enum RequestError {
    /// It is no request of HTTP/1.x, or one that can be read in more than one way.
    #[error("malformed request")]
    Malformed,
    /// The head is too long or has too many headers (RFC 6585, 5).
    #[error("request head too large")]
    HeadTooLarge,
    /// The body, or the body with its framing, is too long.
    #[error("request body too large")]
    BodyTooLarge,
    /// It has not arrived completely in time.
    #[error("request not complete in time")]
    TimedOut,
}

impl RequestError {
    /// The status that the client is told.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed => 400,
            RequestError::TimedOut => 408,
            RequestError::BodyTooLarge => 413,
            RequestError::HeadTooLarge => 431,
        }
    }
}

/// What the bytes so far amount to.
#[derive(Debug)]
pub(super) enum Parsed {
    /// The beginning of a request.
    Incomplete {
        /// The client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1).
        expects_continue: bool,
    },
    /// A request.
    Complete {
        /// The request.
        request: Box<Request>,
        /// Its bytes at the front of the input.
        length: usize,
        /// The client wants no further request answered on the connection (RFC 9112, 9.3 and 9.6).
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
    // `httparse` accepts lines that end with a bare LF; RFC 9112, 2.2 leaves that to the reader, so that readers differ.
    let has_ambiguous_lines = !http1::has_crlf_line_endings(&bytes[..head_length]);
    let has_repeated_header = SINGLE_HEADERS.iter().any(|name| http1::is_repeated(head.headers, name));
    if has_ambiguous_lines || has_repeated_header {
        return Err(RequestError::Malformed);
    }
    // RFC 9112, 6: by `Transfer-Encoding` or `Content-Length`, and rejected with both or with an unclear one.
    let body_framing = body_framing(head.headers, head.version).map_err(|_| RequestError::Malformed)?;
    let Some(body) = parse_body(&bytes[head_length..], body_framing, limits)? else {
        let expects_continue = has_token(head.headers, "Expect", "100-continue");
        return Ok(Parsed::Incomplete { expects_continue });
    };
    // A connection of HTTP/1.0 ends after the response, whatever its headers say.
    let closes_connection = has_token(head.headers, "Connection", "close") || head.version == Some(0);
    let length = head_length + body.length;
    Ok(Parsed::Complete { request: Box::new(request_of(&head, body.content)?), length, closes_connection })
}

/// Parses the head; gives its length, or `None` if it is not complete.
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
    /// Without the framing of chunks.
    content: Vec<u8>,
    /// Its bytes behind the head, with their framing.
    length: usize,
}

/// Takes the body from the bytes behind the head; `None` if it is not complete.
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
        // Only a response may end with the connection (RFC 9112, 6.3).
        Some(Framing::UntilClose) => Err(RequestError::Malformed),
    }
}

/// Takes a body in chunks (RFC 9112, 7.1). It is too large as soon as its content is, complete or not.
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

/// A header that holds a number of milliseconds.
fn milliseconds(headers: &[Header], name: &str) -> Result<Option<u64>, RequestError> {
    match header_value(headers, name) {
        None => Ok(None),
        Some(text) if http1::is_decimal(text) => text.parse().map(Some).map_err(|_| RequestError::Malformed),
        Some(_) => Err(RequestError::Malformed),
    }
}

#[cfg(test)]
mod tests;
