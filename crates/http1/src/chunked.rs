//! Decoder of the chunked transfer coding (RFC 9112, section 7.1), for bodies that arrive in pieces of any size.

use crate::MAX_HEAD_BYTES;

/// Most hex digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 8;
/// Longest chunk extension that is skipped, in bytes.
const MAX_EXTENSION_BYTES: usize = 256;
/// Longest trailer section that is skipped, in bytes without line endings.
const MAX_TRAILER_BYTES: usize = MAX_HEAD_BYTES;

/// Why a chunked body is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// A chunk's size is not one to eight bare hex digits.
    #[error("a chunk's size is malformed")]
    InvalidSize,
    /// A line does not end in CR LF, or a chunk has more bytes than its size.
    #[error("a line does not end in CR LF")]
    InvalidLineEnding,
    /// A chunk extension is longer than 256 bytes.
    #[error("a chunk extension is too long")]
    ExtensionTooLong,
    /// The trailer section is longer than a head may be.
    #[error("the trailer section is too long")]
    TrailerTooLong,
}

/// Where in the grammar the next byte belongs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// In a chunk's size.
    Size { digits: usize },
    /// In a chunk extension, which is skipped: none has a meaning here.
    Extension { length: usize },
    /// After the CR that ends a size or an extension.
    SizeLineFeed,
    /// In a chunk's data.
    Data,
    /// After the last byte of a chunk's data.
    DataCarriageReturn,
    /// After the CR behind a chunk's data.
    DataLineFeed,
    /// In the trailer section, which is skipped; its length so far without line endings.
    Trailer { length: usize, line: Line },
    /// After a CR in the trailer section.
    TrailerLineFeed { length: usize, line: Line },
    /// After the empty line that ends the body.
    Done,
}

/// Whether the present line of the trailer section holds anything: an empty one ends the body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Line {
    Empty,
    Filled,
}

/// Removes the chunk framing from a body. Sizes are bare hex digits and lines end in CR LF; looser readings, which the grammar
/// does not allow but other programs take, are refused.
#[derive(Debug)]
pub struct ChunkedDecoder {
    state: State,
    /// The size of the present chunk as far as it was read, then how many of its bytes are still to come.
    remaining: usize,
}

impl Default for ChunkedDecoder {
    fn default() -> ChunkedDecoder {
        ChunkedDecoder { state: State::Size { digits: 0 }, remaining: 0 }
    }
}

impl ChunkedDecoder {
    /// Whether the body has ended.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes the next bytes of the body and gives its content to `output`, in pieces. Returns how many bytes were used: fewer
    /// than all only after the end of the body.
    ///
    /// # Errors
    ///
    /// Where the bytes are not in the coding. Content before the fault was given out already; the decoder and the connection
    /// can't be used further.
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

    /// The state after a byte that is no chunk data.
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
