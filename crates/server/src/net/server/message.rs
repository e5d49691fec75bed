//! Incoming HTTP/1.1 requests, the responses to them, and the limits for a request's size and duration.

use crate::net::Millis;
use std::io::Write;

/// Limits for the size of a request and for the time in which it must arrive.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Maximum length of the head in bytes, from the request line to the empty line.
    pub max_head_bytes: usize,
    /// Maximum length of the body in bytes, without its framing.
    pub max_body_bytes: usize,
    /// Maximum time from the first to the last byte of a request, in milliseconds.
    pub request_timeout_ms: Millis,
    /// Maximum time for which a connection may stay open without a request, in milliseconds.
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

/// Complete request with the headers that this service evaluates.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method of the request, as it was sent.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Value of `Host`; empty if the header is missing.
    pub host: String,
    /// Value of `X-Request-Id`; empty if the header is missing.
    pub request_id: String,
    /// Value of `Content-Type`.
    pub content_type: Option<String>,
    /// Value of `X-Delay-Ms`: minimum delay before the message is delivered, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Value of `X-Time-Left-Ms`: how long the client still waits, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// Value of `X-Callback-Url`: URL that is notified when the message has ended.
    pub callback_url: Option<String>,
    /// Value of `X-Order-Key`: messages with the same key are delivered in order.
    pub order_key: Option<String>,
    /// Value of `Authorization`, as it was sent.
    pub authorization: Option<String>,
    /// Value of `X-Idempotency-Key`: all requests with the same key count as one message.
    pub idempotency_key: Option<String>,
    /// Body without its framing.
    pub body: Vec<u8>,
}

/// Response to a request.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers in addition to those that the connection itself writes.
    pub headers: Vec<(&'static str, String)>,
    /// Whether the response declares its body as JSON.
    pub is_json: bool,
    /// Body of the response.
    pub body: Vec<u8>,
    /// Whether the connection is closed after this response.
    pub close_connection: bool,
}

impl Response {
    /// Creates a response with a status and no body.
    pub fn empty(status: u16) -> Response {
        Response { status, ..Response::default() }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: String) -> Response {
        Response { status, is_json: true, body: body.into_bytes(), ..Response::default() }
    }

    /// Creates a response to a request that was not and will not be processed; the client may retry it after
    /// `seconds` seconds.
    pub fn retry_after(status: u16, seconds: u64) -> Response {
        Response { status, headers: vec![("Retry-After", seconds.to_string())], ..Response::default() }
    }

    /// Appends the response to the output buffer. `is_bodiless`: the request was a `HEAD`, so that the body's length
    /// is announced but the body is omitted (RFC 9110, 9.3.2). `is_last`: the connection is closed after the response
    /// (RFC 9112, 9.6).
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

/// Returns the reason phrase for the status line.
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
