//! Determines the end of a message body from its head (RFC 9112, section 6).

use crate::headers::{header_value, is_decimal, is_present, is_repeated};
use httparse::Header;

const CONTENT_LENGTH: &str = "Content-Length";
const TRANSFER_ENCODING: &str = "Transfer-Encoding";

/// Minor version that `httparse` reports for HTTP/1.1.
const HTTP_1_1: Option<u8> = Some(1);

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// The body has exactly this many bytes; a reader may use the value to count down the bytes that remain.
    Length(usize),
    /// The body is in the chunked transfer coding: see [`ChunkedDecoder`](crate::ChunkedDecoder).
    Chunked,
    /// The body ends when the connection closes; only a response may be framed in this way.
    UntilClose,
}

/// Reason for which the framing declared in a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The head has more than one `Content-Length`, even with the same value.
    #[error("Content-Length is given more than once")]
    RepeatedLength,
    /// `Content-Length` is not one decimal number that fits a `usize`.
    #[error("Content-Length is not a number")]
    InvalidLength,
    /// The head has both `Content-Length` and `Transfer-Encoding`: the classic ambiguity behind request smuggling.
    #[error("Content-Length and Transfer-Encoding are both given")]
    LengthAndCoding,
    /// The head has more than one `Transfer-Encoding`.
    #[error("Transfer-Encoding is given more than once")]
    RepeatedCoding,
    /// `Transfer-Encoding` is not `chunked` alone.
    #[error("Transfer-Encoding is not chunked")]
    UnsupportedCoding,
    /// `Transfer-Encoding` is in a message that is not HTTP/1.1; recipients of other versions may not know the field.
    #[error("Transfer-Encoding needs HTTP/1.1")]
    CodingBeforeHttp11,
}

/// Returns the body framing that a head declares; `None` if it declares none. Without declared framing a request has no body, and
/// a response that may have a body is framed by the end of its connection (RFC 9112, section 6.3).
///
/// `version` is the minor version of HTTP, as reported by `httparse`.
///
/// # Errors
///
/// The framing declared in the head is ambiguous. This is stricter than RFC 9112, which lets a recipient accept repeated equal
/// lengths, or prefer the transfer coding over the length.
pub fn body_framing(headers: &[Header], version: Option<u8>) -> Result<Option<Framing>, FramingError> {
    match (is_present(headers, CONTENT_LENGTH), is_present(headers, TRANSFER_ENCODING)) {
        (false, false) => Ok(None),
        (true, false) => content_length(headers).map(|bytes| Some(Framing::Length(bytes))),
        (false, true) => transfer_coding(headers, version).map(Some),
        (true, true) => Err(FramingError::LengthAndCoding),
    }
}

fn content_length(headers: &[Header]) -> Result<usize, FramingError> {
    if is_repeated(headers, CONTENT_LENGTH) {
        return Err(FramingError::RepeatedLength);
    }
    header_value(headers, CONTENT_LENGTH)
        .filter(|text| is_decimal(text))
        .and_then(|text| text.parse().ok())
        .ok_or(FramingError::InvalidLength)
}

fn transfer_coding(headers: &[Header], version: Option<u8>) -> Result<Framing, FramingError> {
    if is_repeated(headers, TRANSFER_ENCODING) {
        return Err(FramingError::RepeatedCoding);
    }
    if version != HTTP_1_1 {
        return Err(FramingError::CodingBeforeHttp11);
    }
    match header_value(headers, TRANSFER_ENCODING) {
        Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        _ => Err(FramingError::UnsupportedCoding),
    }
}
