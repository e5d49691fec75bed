//! The parts of HTTP/1.1 shared by all programs of this workspace that read it: look-up of header fields, the framing of message
//! bodies, the chunked transfer coding, and a reader of complete responses.
//!
//! Heads themselves are parsed by `httparse`. This crate adds strictness: a message that two programs in a row could interpret
//! differently is rejected, because such a message can smuggle a request inside the body of another (RFC 9112, section 11.2).
//! This crate does no I/O.

mod chunked;
mod framing;
mod headers;
mod response;

pub use chunked::{ChunkError, ChunkedDecoder};
pub use framing::{body_framing, Framing, FramingError};
pub use headers::{has_crlf_line_endings, has_token, header_value, is_decimal, is_repeated};
pub use response::{Response, ResponseError, ResponseReader};

/// Maximum number of header fields of one message.
pub const MAX_HEADERS: usize = 48;
/// Maximum length of the body of a request or of its response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a head, in bytes: the start line and the header section with the empty line after it.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a message, in bytes: the size of a buffer that can hold any message.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
