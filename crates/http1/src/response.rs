//! Reader of responses that are useful only when complete, such as the endpoint list of a discovery service.

use crate::chunked::{ChunkError, ChunkedDecoder};
use crate::framing::{body_framing, Framing, FramingError};
use crate::headers::has_token;
use crate::MAX_HEADERS;

/// Maximum length of a response that is collected, in bytes: enough for the endpoint list of a large fleet, at a few hundred
/// bytes per executor.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A complete HTTP response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// HTTP status code of the response.
    pub status: u16,
    /// Content of the response, without chunk framing.
    pub body: Vec<u8>,
    /// Whether the server closes the connection after the response (RFC 9112, section 9.6), so that no further request can be
    /// sent.
    pub closes_connection: bool,
}

/// Reason for which a response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The response is longer than 4 MiB.
    #[error("answer too large")]
    TooLarge,
    /// The response head is malformed, or has too many header fields.
    #[error(transparent)]
    MalformedHead(#[from] httparse::Error),
    /// The response head declares neither a length nor the chunked coding.
    #[error("answer has no length")]
    Unframed,
    /// The framing declared in the response head is ambiguous.
    #[error("answer has no length")]
    AmbiguousFraming(#[from] FramingError),
    /// The response body is not in the chunked coding that its head declares.
    #[error("chunks are malformed")]
    MalformedChunks(#[from] ChunkError),
}

/// Collects the bytes of one response. Each call parses from the start again: such responses are rare and arrive in few segments.
#[derive(Default)]
pub struct ResponseReader {
    received: Vec<u8>,
}

impl ResponseReader {
    /// Adds received bytes; returns the response as soon as it is complete. Bytes beyond the end of the response are ignored.
    ///
    /// # Errors
    ///
    /// The response is too large or malformed, or does not declare an unambiguous length.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Response>, ResponseError> {
        self.received.extend_from_slice(bytes);
        if self.received.len() > MAX_RESPONSE_BYTES {
            return Err(ResponseError::TooLarge);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(end) = head.parse(&self.received)? else { return Ok(None) };
        let rest = &self.received[end..];
        let body = match body_framing(head.headers, head.version)? {
            Some(Framing::Length(length)) => rest.get(..length).map(<[u8]>::to_vec),
            Some(Framing::Chunked) => decode_chunks(rest)?,
            Some(Framing::UntilClose) | None => return Err(ResponseError::Unframed),
        };
        Ok(body.map(|body| Response {
            status: head.code.unwrap_or(0),
            body,
            closes_connection: has_token(head.headers, "Connection", "close") || head.version == Some(0),
        }))
    }
}

/// Returns the content of a chunked body; `None` if the end of the body has not arrived.
fn decode_chunks(bytes: &[u8]) -> Result<Option<Vec<u8>>, ChunkError> {
    let (mut decoder, mut body) = (ChunkedDecoder::default(), Vec::new());
    decoder.decode(bytes, |part| body.extend_from_slice(part))?;
    Ok(decoder.is_done().then_some(body))
}
