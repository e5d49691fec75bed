//! Decoder of the chunked transfer coding (RFC 9112, section 7.1), for bodies that arrive in segments of any size.

use crate::MAX_HEAD_BYTES;

/// Maximum number of hex digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 8;
/// Maximum length of a chunk extension that is skipped, in bytes.
const MAX_EXTENSION_BYTES: usize = 256;
/// Maximum length of a trailer section that is skipped, in bytes without line endings.
const MAX_TRAILER_BYTES: usize = MAX_HEAD_BYTES;

/// Reason for which a chunked body is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// A chunk size is not one to eight hex digits without prefix or whitespace.
    #[error("a chunk's size is malformed")]
    InvalidSize,
    /// A line does not end in CR LF, or a chunk has more bytes than its declared size.
    #[error("a line does not end in CR LF")]
    InvalidLineEnding,
    /// A chunk extension is longer than 256 bytes.
    #[error("a chunk extension is too long")]
    ExtensionTooLong,
    /// The trailer section is longer than a head may be.
    #[error("the trailer section is too long")]
    TrailerTooLong,
}

/// Position of the next byte in the grammar of the chunked coding.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The next byte belongs to a chunk size.
    Size { digits: usize },
    /// The next byte belongs to a chunk extension. Extensions are skipped, because none has a meaning for this program.
    Extension { length: usize },
    /// The next byte follows the CR that ends a chunk size or extension.
    SizeLineFeed,
    /// The next byte belongs to the data of a chunk.
    Data,
    /// The next byte follows the last byte of a chunk's data.
    DataCarriageReturn,
    /// The next byte follows the CR after a chunk's data.
    DataLineFeed,
    /// The next byte belongs to the trailer section, which is skipped. Holds the length of the section so far, without line
    /// endings.
    Trailer { length: usize, line: Line },
    /// The next byte follows a CR in the trailer section.
    TrailerLineFeed { length: usize, line: Line },
    /// The next byte follows the empty line that ends the body.
    Done,
}

/// Whether the current line of the trailer section has content: an empty line ends the body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Line {
    Empty,
    Filled,
}

/// Removes the chunk framing from a body. Chunk sizes must be hex digits alone and lines must end in CR LF. Looser forms, which
/// the grammar does not allow but other programs accept, are rejected.
#[derive(Debug)]
pub struct ChunkedDecoder {
    state: State,
    /// While a chunk size is read: its value so far. While chunk data is read: the number of bytes that remain in the chunk.
    remaining: usize,
}

impl Default for ChunkedDecoder {
    fn default() -> ChunkedDecoder {
        ChunkedDecoder { state: State::Size { digits: 0 }, remaining: 0 }
    }
}

impl ChunkedDecoder {
    /// Whether the end of the body was reached.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes the next bytes of the body and passes its content to `output`, in one or more segments. Returns the number of
    /// bytes consumed, which is less than the input only after the end of the body.
    ///
    /// # Errors
    ///
    /// The bytes are not in the chunked coding. Content before the fault was already passed to `output`; the decoder and the
    /// connection can't be used any longer.
    pub fn decode(&mut self, bytes: &[u8], mut output: impl FnMut(&[u8])) -> Result<usize, ChunkError> {
        let mut used = 0;
        while used < bytes.len() && !self.is_done() {
            if self.state == State::Data {
                let available = self.remaining.min(bytes.len() - used);
                output(&bytes[used..used + available]);
                used += available;
                self.data_taken(available);
            } else {
                self.state = self.next_state(bytes[used])?;
                used += 1;
            }
        }
        Ok(used)
    }

    fn data_taken(&mut self, bytes: usize) {
        self.remaining -= bytes;
        if self.remaining == 0 {
            self.state = State::DataCarriageReturn;
        }
    }

    /// Returns the state that follows a byte outside chunk data.
    fn next_state(&mut self, byte: u8) -> Result<State, ChunkError> {
        match (self.state, byte) {
            (State::Size { digits: 1.. }, b'\r') => Ok(State::SizeLineFeed),
            (State::Size { digits: 1.. }, b';') => Ok(State::Extension { length: 0 }),
            (State::Size { digits }, _) => self.size_digit(digits, byte),
            (State::Extension { .. }, b'\r') => Ok(State::SizeLineFeed),
            (State::Extension { .. }, b'\n') => Err(ChunkError::InvalidLineEnding),
            (State::Extension { length }, _) if length < MAX_EXTENSION_BYTES => {
                Ok(State::Extension { length: length + 1 })
            }
            (State::Extension { .. }, _) => Err(ChunkError::ExtensionTooLong),
            (State::SizeLineFeed, b'\n') if self.remaining == 0 => {
                Ok(State::Trailer { length: 0, line: Line::Empty })
            }
            (State::SizeLineFeed, b'\n') => Ok(State::Data),
            (State::DataCarriageReturn, b'\r') => Ok(State::DataLineFeed),
            (State::DataLineFeed, b'\n') => Ok(State::Size { digits: 0 }),
            (State::Trailer { length, line }, b'\r') => Ok(State::TrailerLineFeed { length, line }),
            (State::Trailer { .. }, b'\n') => Err(ChunkError::InvalidLineEnding),
            (State::Trailer { length, .. }, _) if length < MAX_TRAILER_BYTES => {
                Ok(State::Trailer { length: length + 1, line: Line::Filled })
            }
            (State::Trailer { .. }, _) => Err(ChunkError::TrailerTooLong),
            (State::TrailerLineFeed { line: Line::Empty, .. }, b'\n') => Ok(State::Done),
            (State::TrailerLineFeed { length, line: Line::Filled }, b'\n') => {
                Ok(State::Trailer { length, line: Line::Empty })
            }
            _ => Err(ChunkError::InvalidLineEnding),
        }
    }

    fn size_digit(&mut self, digits: usize, byte: u8) -> Result<State, ChunkError> {
        if digits == MAX_SIZE_DIGITS {
            return Err(ChunkError::InvalidSize);
        }
        let digit = char::from(byte).to_digit(16).ok_or(ChunkError::InvalidSize)?;
        self.remaining = self.remaining * 16 + digit as usize;
        Ok(State::Size { digits: digits + 1 })
    }
}
