//! Requests that come in over HTTP/1.1 and the responses to them, and what a request may cost.

use crate::net::Millis;
use std::io::Write;

/// How large a request may be, and how long it may take to arrive.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Longest head, from the request line to the empty line.
    pub max_head_bytes: usize,
    /// Longest body, without its framing.
    pub max_body_bytes: usize,
    /// From a request's first byte to its last.
    pub request_timeout_ms: Millis,
    /// How long a connection may stay open without a request.
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

/// A complete request, with those of its headers that have a meaning here.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method, as it was sent.
    pub method: String,
    /// The path and the query.
    pub target: String,
    /// `Host`, or empty.
    pub host: String,
    /// `X-Request-Id`, or empty.
    pub request_id: String,
    /// `Content-Type`.
    pub content_type: Option<String>,
    /// `X-Delay-Ms`: the message is not to be delivered sooner.
    pub delay_ms: Option<u64>,
    /// `X-Time-Left-Ms`: how long the client still waits.
    pub time_left_ms: Option<u64>,
    /// `X-Callback-Url`: who is to be told of the message's end.
    pub callback_url: Option<String>,
    /// `X-Order-Key`: messages of the same key are delivered in order.
    pub order_key: Option<String>,
    /// `Authorization`, as it was sent.
    pub authorization: Option<String>,
    /// `X-Idempotency-Key`: all requests with one key are one message.
    pub idempotency_key: Option<String>,
    /// The body, without its framing.
    pub body: Vec<u8>,
}

/// The answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// Headers beside those that the connection itself writes.
    pub headers: Vec<(&'static str, String)>,
    /// Whether the body is marked as JSON.
    pub is_json: bool,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection ends after this response.
    pub close_connection: bool,
}

impl Response {
    /// A status alone.
    pub fn empty(status: u16) -> Response {
        Response { status, ..Response::default() }
    }

    /// A JSON text.
    pub fn json(status: u16, body: String) -> Response {
        Response { status, is_json: true, body: body.into_bytes(), ..Response::default() }
    }

    /// Nothing was done for the request, and nothing will be: it may be sent again after so many seconds.
    pub fn retry_after(status: u16, seconds: u64) -> Response {
        Response { status, headers: vec![("Retry-After", seconds.to_string())], ..Response::default() }
    }

    /// Appends the response to what is to be written. `is_bodiless`: the request was a `HEAD`, so that the body is announced
    /// and left out (RFC 9110, 9.3.2). `is_last`: the connection ends after it (RFC 9112, 9.6).
    pub(in crate::net) fn write_to(&self, output: &mut Vec<u8>, is_bodiless: bool, is_last: bool) {
        // Writing to a `Vec` can't fail.
        let _ = write!(output, "HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            let _ = write!(output, "{name}: {value}\r\n");
        }
        if self.is_json {
            let _ = write!(output, "Content-Type: application/json\r\n");
        }
        if is_last {
            let _ = write!(output, "Connection: close\r\n");
        }
        let _ = write!(output, "Content-Length: {}\r\n\r\n", self.body.len());
        if !is_bodiless {
            output.extend_from_slice(&self.body);
        }
    }
}

/// The text behind the status in the first line.
pub(in crate::net) fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
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

#[cfg(test)]
mod tests;
