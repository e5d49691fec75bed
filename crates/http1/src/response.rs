//! Reader of responses that are only of use when complete, as the list that a discovery service answers with.

use crate::chunked::{ChunkError, ChunkedDecoder};
use crate::framing::{body_framing, Framing, FramingError};
use crate::headers::has_token;
use crate::MAX_HEADERS;

/// Longest response that is collected, in bytes: the list of a large fleet, at a few hundred bytes an executor.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A complete response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The content, without any chunk framing.
    pub body: Vec<u8>,
    /// The server closes the connection after it (RFC 9112, section 9.6), so that no further request can be sent.
    pub closes_connection: bool,
}

/// Why a response is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// It is longer than 4 MiB.
    #[error("answer too large")]
    TooLarge,
    /// Its head is malformed, or has too many header fields.
    #[error(transparent)]
    MalformedHead(#[from] httparse::Error),
    /// Its head declares neither a length nor the chunked coding.
    #[error("answer has no length")]
    Unframed,
    /// Its head declares a framing that can be read in more than one way.
    #[error("answer has no length")]
    AmbiguousFraming(#[from] FramingError),
    /// Its body is not in the chunked coding that the head declares.
    #[error("chunks are malformed")]
    MalformedChunks(#[from] ChunkError),
}

/// Collects the bytes of one response. Each call parses from the start again: such responses are rare and come in few pieces.
#[derive(Default)]
pub struct ResponseReader {
    received: Vec<u8>,
}

impl ResponseReader {
    /// Adds bytes that have arrived; returns the response as soon as it is complete. Bytes beyond its end are ignored.
    ///
    /// # Errors
    ///
    /// Where the response is too large, malformed, or without a length that can be relied on.
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

/// The content of a chunked body; `None` if its end has not arrived.
fn decode_chunks(bytes: &[u8]) -> Result<Option<Vec<u8>>, ChunkError> {
    let (mut decoder, mut body) = (ChunkedDecoder::default(), Vec::new());
    decoder.decode(bytes, |part| body.extend_from_slice(part))?;
    Ok(decoder.is_done().then_some(body))
}
