//! Parses the reply to an outgoing request, and determines whether its connection may be reused.

use crate::net::Millis;
use httparse::{Header, Status};
use stileroute_http1::{body_framing, has_token, header_value, is_repeated, ChunkedDecoder, Framing};

/// Maximum length of one reply in bytes, including its head and framing.
pub(in crate::net) const MAX_REPLY_BYTES: usize = 1 << 20;
/// Maximum number of headers of a reply.
const MAX_HEADERS: usize = 48;
/// Margin in milliseconds by which an idle connection is closed before the server would close it, so that no request
/// crosses with the server's close.
pub(super) const KEEP_ALIVE_MARGIN_MS: Millis = 400;
/// Assumed time in milliseconds for which the server keeps an idle connection, if it sends no `Keep-Alive` time-out.
pub(super) const DEFAULT_KEEP_ALIVE_MS: Millis = 4000;
/// Maximum time in milliseconds for which an idle connection is kept, regardless of the server's `Keep-Alive`
/// time-out.
const MAX_KEEP_ALIVE_MS: Millis = 60_000;
/// Headers that match a reply to its request or prove that the request ran. Two headers of the same name prove
/// nothing.
const SINGLE_HEADERS: [&str; 2] = ["X-Request-Id", "X-Server-Seal"];

/// Complete reply with the headers that this service evaluates.
#[derive(Clone, Debug, Default)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// `X-Server-Seal`: the executor's proof that it ran the request.
    pub seal: Option<String>,
    /// `X-Not-Run`: the executor did not run the request and never will.
    pub was_not_run: bool,
    /// `X-Server-Load`: current load of the executor.
    pub server_load: Option<String>,
    /// `X-Request-Id`: identifier of the request that the reply belongs to.
    pub request_id: Option<String>,
}

/// Result of parsing the bytes received so far.
#[derive(Debug)]
pub(super) enum ParsedReply {
    /// The bytes are the beginning of a reply.
    Incomplete,
    /// The bytes start with a complete reply.
    Complete {
        /// Parsed reply.
        reply: CallReply,
        /// Number of bytes of the reply at the front of the input.
        length: usize,
        /// Time in milliseconds for which the connection may be idle and still be reused; `None` if it can't be
        /// reused.
        keep_alive_ms: Option<Millis>,
    },
    /// The reply is delimited by the end of the connection.
    CompleteAtEnd {
        /// Parsed reply.
        reply: CallReply,
    },
    /// The bytes are no HTTP/1.x reply, or are ambiguous.
    Malformed,
}

/// Parses the reply at the front of `bytes`. `is_bodiless`: the reply answers a `HEAD` request and therefore ends
/// with its head.
pub(super) fn parse_reply(bytes: &[u8], is_bodiless: bool) -> ParsedReply {
    let mut start = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let head_end = match head.parse(&bytes[start..]) {
            Ok(Status::Complete(length)) => start + length,
            Ok(Status::Partial) => return incomplete(bytes),
            Err(_) => return ParsedReply::Malformed,
        };
        match head.code.unwrap_or(0) {
            // No request asks for a protocol upgrade, and the bytes after this reply would not be HTTP (RFC 9110,
            // 15.2.2).
            101 => return ParsedReply::Malformed,
            // An interim response, which the final response follows (RFC 9110, 15.2).
            100..=199 => start = head_end,
            _ => return parse_final_reply(bytes, head_end, &head, is_bodiless),
        }
    }
}

/// Returns `Incomplete`, or `Malformed` if the bytes already exceed the maximum length of a reply.
fn incomplete(bytes: &[u8]) -> ParsedReply {
    if bytes.len() > MAX_REPLY_BYTES {
        ParsedReply::Malformed
    } else {
        ParsedReply::Incomplete
    }
}

/// Parses a final reply whose head ends at `head_end`.
fn parse_final_reply(
    bytes: &[u8],
    head_end: usize,
    head: &httparse::Response,
    is_bodiless: bool,
) -> ParsedReply {
    let headers: &[Header] = head.headers;
    if SINGLE_HEADERS.iter().any(|name| is_repeated(headers, name)) {
        return ParsedReply::Malformed;
    }
    let status = head.code.unwrap_or(0);
    let reply = reply_of(status, headers);
    let Ok(body_framing) = body_framing(headers, head.version) else { return ParsedReply::Malformed };
    let body_length = match body_framing {
        // Replies to `HEAD` and replies with status 204 or 304 have no body, whatever their headers say (RFC 9112, 6.3).
        _ if is_bodiless || status == 204 || status == 304 => 0,
        None | Some(Framing::UntilClose) => return ParsedReply::CompleteAtEnd { reply },
        Some(Framing::Length(length)) if length > MAX_REPLY_BYTES => return ParsedReply::Malformed,
        Some(Framing::Length(length)) if bytes.len() - head_end < length => return ParsedReply::Incomplete,
        Some(Framing::Length(length)) => length,
        Some(Framing::Chunked) => {
            let mut chunks = ChunkedDecoder::default();
            let Ok(length) = chunks.decode(&bytes[head_end..], |_| {}) else { return ParsedReply::Malformed };
            if !chunks.is_done() {
                return incomplete(bytes);
            }
            length
        }
    };
    // RFC 9112, 9.3: an HTTP/1.0 connection is closed after the reply unless the client asked to keep it open.
    let is_last = has_token(headers, "Connection", "close") || head.version == Some(0);
    let keep_alive_ms = keep_alive_ms(header_value(headers, "Keep-Alive"));
    ParsedReply::Complete {
        reply,
        length: head_end + body_length,
        keep_alive_ms: (!is_last && keep_alive_ms > 0).then_some(keep_alive_ms),
    }
}

fn reply_of(status: u16, headers: &[Header]) -> CallReply {
    let text = |name| header_value(headers, name).map(str::to_string);
    CallReply {
        status,
        seal: text("X-Server-Seal"),
        was_not_run: header_value(headers, "X-Not-Run").is_some(),
        server_load: text("X-Server-Load"),
        request_id: text("X-Request-Id"),
    }
}

/// Returns how long a connection may be idle, from the `timeout=5` parameter of `Keep-Alive`, which is in seconds.
/// `Keep-Alive` is an HTTP/1.0 header that no RFC in force defines but that most servers send.
fn keep_alive_ms(keep_alive: Option<&str>) -> Millis {
    let announced_ms = keep_alive.and_then(|text| {
        let timeout = text.split([',', ' ']).find_map(|part| part.trim().strip_prefix("timeout="))?;
        let seconds = timeout.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)?;
        Some((seconds * 1000.0) as Millis)
    });
    announced_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS).saturating_sub(KEEP_ALIVE_MARGIN_MS).min(MAX_KEEP_ALIVE_MS)
}

/// Accepts the head of a truncated reply as a complete reply, for [`InjectedFault::TruncatedReplyAccepted`].
///
/// [`InjectedFault::TruncatedReplyAccepted`]: crate::net::fault_injection::InjectedFault::TruncatedReplyAccepted
pub(super) fn accept_truncated(input: &[u8]) -> ParsedReply {
    let head_length = input.windows(4).position(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    match parse_reply(&input[..head_length], true) {
        ParsedReply::Complete { reply, .. } => ParsedReply::CompleteAtEnd { reply },
        parsed => parsed,
    }
}

#[cfg(test)]
mod tests;
