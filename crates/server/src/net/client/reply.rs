//! Parses the reply to a request that was sent from here, and says whether its connection may be used again.

use crate::net::Millis;
use httparse::{Header, Status};
use stileroute_http1::{body_framing, has_token, header_value, is_repeated, ChunkedDecoder, Framing};

/// Most bytes of one reply with its head and framing.
pub(in crate::net) const MAX_REPLY_BYTES: usize = 1 << 20;
/// Most headers of a reply.
const MAX_HEADERS: usize = 48;
/// An idle connection is closed so long before the other side would close it, lest a request cross with that.
pub(super) const KEEP_ALIVE_MARGIN_MS: Millis = 400;
/// How long the other side keeps an idle connection, where it does not say so in `Keep-Alive`.
pub(super) const DEFAULT_KEEP_ALIVE_MS: Millis = 4000;
/// An idle connection is kept no longer than this, whatever the other side says.
const MAX_KEEP_ALIVE_MS: Millis = 60_000;
/// Headers that tie a reply to its request or prove that it ran: with two of the same name they prove nothing.
const SINGLE_HEADERS: [&str; 2] = ["X-Request-Id", "X-Server-Seal"];

/// A complete reply, with those of its headers that have a meaning here.
#[derive(Clone, Debug, Default)]
pub struct CallReply {
    /// The HTTP status.
    pub status: u16,
    /// `X-Server-Seal`: the executor's proof that it ran the request.
    pub seal: Option<String>,
    /// `X-Not-Run`: the executor did not run the request and never will.
    pub was_not_run: bool,
    /// `X-Server-Load`: how busy the executor is.
    pub server_load: Option<String>,
    /// `X-Request-Id`: the request that the reply belongs to.
    pub request_id: Option<String>,
}

/// What the bytes so far amount to.
#[derive(Debug)]
pub(super) enum ParsedReply {
    /// The beginning of a reply.
    Incomplete,
    /// A reply.
    Complete {
        /// The reply.
        reply: CallReply,
        /// Its bytes at the front of the input.
        length: usize,
        /// How long the connection may be idle and still be used again; `None`: not at all.
        keep_alive_ms: Option<Millis>,
    },
    /// A reply that is complete when the connection ends.
    CompleteAtEnd {
        /// The reply.
        reply: CallReply,
    },
    /// No reply of HTTP/1.x, or one that can be read in more than one way.
    Malformed,
}

/// Parses the reply at the front of `bytes`. `is_bodiless`: it answers a `HEAD`, so that it ends with its head.
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
            // Nobody asked for another protocol, and what follows would not be HTTP (RFC 9110, 15.2.2).
            101 => return ParsedReply::Malformed,
            // An interim response; the final one follows it (RFC 9110, 15.2).
            100..=199 => start = head_end,
            _ => return parse_final_reply(bytes, head_end, &head, is_bodiless),
        }
    }
}

/// More bytes are needed; that many have come already that there may be no more.
fn incomplete(bytes: &[u8]) -> ParsedReply {
    if bytes.len() > MAX_REPLY_BYTES {
        ParsedReply::Malformed
    } else {
        ParsedReply::Incomplete
    }
}

/// Parses a reply whose head ends at `head_end`.
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
        // These end with their head, whatever that says of a body (RFC 9112, 6.3).
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
    // RFC 9112, 9.3: HTTP/1.0 keeps no connection open unless it is asked to.
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

/// How long a connection may be idle, by the `timeout=5` of `Keep-Alive`, in seconds: a header of HTTP/1.0 that no RFC in
/// force defines, and that most servers send.
fn keep_alive_ms(keep_alive: Option<&str>) -> Millis {
    let stated_ms = keep_alive.and_then(|text| {
        let timeout = text.split([',', ' ']).find_map(|part| part.trim().strip_prefix("timeout="))?;
        let seconds = timeout.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)?;
        Some((seconds * 1000.0) as Millis)
    });
    stated_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS).saturating_sub(KEEP_ALIVE_MARGIN_MS).min(MAX_KEEP_ALIVE_MS)
}

/// The head of a reply whose rest is missing, taken as complete: for [`InjectedFault::TruncatedReplyAccepted`].
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
