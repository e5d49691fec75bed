//! What both sides of HTTP share: heads and the framing of bodies.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::missing_errors_doc, missing_docs)]

use httparse::Header;

/// Most headers of one message.
pub const HEADERS: usize = 48;
/// Longest body, either way.
pub const BODY: usize = 64 * 1024;
/// Longest head, and what a buffer must hold.
pub const HEAD: usize = 8 * 1024;
pub const MESSAGE: usize = HEAD + BODY;

/// Longest line that is passed over.
const LINE: usize = 256;

/// Only these two stand around a value; what else Unicode calls a blank is part of it.
const BLANKS: [char; 2] = [' ', '\t'];

/// The value of a header, if it is there and is text.
pub fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(|text| text.trim_matches(BLANKS))
}

/// Digits alone; a sign that a parser would take makes it no number here.
pub fn is_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

/// A header is there more than once.
pub fn repeated(headers: &[Header], name: &str) -> bool {
    headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).nth(1).is_some()
}

/// All lines of a head end in CR LF. The parser lets a bare LF pass; who reads the same bytes elsewhere may not,
/// and would see other headers.
pub fn lines_are_whole(head: &[u8]) -> bool {
    head.iter().enumerate().all(|(at, byte)| *byte != b'\n' || (at > 0 && head[at - 1] == b'\r'))
}

/// A comma-separated header holds this token.
pub fn has_token(headers: &[Header], name: &str, token: &str) -> bool {
    let mut all = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    all.any(|h| {
        let text = std::str::from_utf8(h.value).unwrap_or_default();
        text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
    })
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// So many bytes are still to come.
    Length(usize),
    Chunked,
    /// Up to the end of the connection.
    ToEnd,
}

/// The framing that a head tells; `None` where it tells none that can be read in one way only. Two lengths, a
/// length beside chunks, or a coding that others may read as none are how a request is hidden in another's body.
pub fn framing(headers: &[Header], version: Option<u8>) -> Option<Option<Framing>> {
    let (length, coding) = ("Content-Length", "Transfer-Encoding");
    let told = |name| headers.iter().any(|h| h.name.eq_ignore_ascii_case(name));
    match (told(length), told(coding)) {
        (false, false) => Some(None),
        (true, false) if !repeated(headers, length) => {
            let text = header(headers, length)?;
            is_number(text).then(|| text.parse().ok())?.map(|bytes| Some(Framing::Length(bytes)))
        }
        (false, true) if !repeated(headers, coding) && version == Some(1) => {
            let chunked = header(headers, coding)?.eq_ignore_ascii_case("chunked");
            chunked.then_some(Some(Framing::Chunked))
        }
        _ => None,
    }
}

/// The body is not framed as HTTP says.
#[derive(Debug, PartialEq)]
pub struct Garbled;

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    /// In a chunk's size, after so many digits.
    Size(usize),
    /// In an extension behind the size, which says nothing here.
    Extension(usize),
    SizeEnd,
    Data,
    DataEnd,
    DataLast,
    /// In the trailer; bytes of it so far, and whether its present line is empty.
    Trailer(usize, bool),
    TrailerEnd(usize, bool),
    Done,
}

/// Takes the chunk framing off a body, however its bytes are split. Sizes are bare hex digits and lines end in
/// CR LF; anything looser has been read in two ways by two programs in a row before.
#[derive(Debug)]
pub struct Chunks {
    at: At,
    left: usize,
}

impl Default for Chunks {
    fn default() -> Chunks {
        Chunks { at: At::Size(0), left: 0 }
    }
}

impl Chunks {
    pub fn done(&self) -> bool {
        self.at == At::Done
    }

    /// Gives the body's bytes to `out`; returns how many bytes were used, fewer only after the last chunk.
    pub fn feed(&mut self, bytes: &[u8], mut out: impl FnMut(&[u8])) -> Result<usize, Garbled> {
        let mut used = 0;
        while used < bytes.len() && !self.done() {
            let byte = bytes[used];
            if self.at == At::Data {
                let some = self.left.min(bytes.len() - used);
                out(&bytes[used..used + some]);
                used += some;
                self.left -= some;
                if self.left == 0 {
                    self.at = At::DataEnd;
                }
                continue;
            }
            used += 1;
            self.at = match (self.at, byte) {
                (At::Size(1..) | At::Extension(_), b'\r') => At::SizeEnd,
                (At::Size(1..), b';') => At::Extension(0),
                (At::Extension(held), _) if held < LINE && byte != b'\n' => At::Extension(held + 1),
                (At::Size(digits @ 0..=7), _) => {
                    let digit = (byte as char).to_digit(16).ok_or(Garbled)?;
                    self.left = self.left * 16 + digit as usize;
                    At::Size(digits + 1)
                }
                (At::SizeEnd, b'\n') => self.sized(),
                (At::DataEnd, b'\r') => At::DataLast,
                (At::DataLast, b'\n') => At::Size(0),
                (At::Trailer(held, empty), b'\r') => At::TrailerEnd(held, empty),
                (At::TrailerEnd(_, true), b'\n') => At::Done,
                (At::TrailerEnd(held, false), b'\n') => At::Trailer(held, true),
                (At::Trailer(held, _), _) if held < HEAD && byte != b'\n' => At::Trailer(held + 1, false),
                _ => return Err(Garbled),
            };
        }
        Ok(used)
    }

    fn sized(&self) -> At {
        if self.left == 0 {
            At::Trailer(0, true)
        } else {
            At::Data
        }
    }
}

/// An answer that is only of use as a whole.
#[derive(Debug, PartialEq)]
pub struct Whole {
    pub status: u16,
    pub body: Vec<u8>,
    /// The other side closes the connection after it.
    pub close: bool,
}

/// Collects one such answer.
#[derive(Default)]
pub struct Gather {
    held: Vec<u8>,
}

/// Longest answer that is collected: the list of a large fleet, a few hundred bytes an executor.
const MOST: usize = 4 * 1024 * 1024;

impl Gather {
    /// Takes bytes in; the answer as soon as it is whole, or what is wrong with it.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Whole>, String> {
        self.held.extend_from_slice(bytes);
        if self.held.len() > MOST {
            return Err("answer too large".to_string());
        }
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let end = match head.parse(&self.held) {
            Ok(httparse::Status::Complete(end)) => end,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(error.to_string()),
        };
        let status = head.code.unwrap_or(0);
        let close = has_token(head.headers, "Connection", "close") || head.version == Some(0);
        let rest = &self.held[end..];
        let body = match framing(head.headers, head.version).flatten() {
            Some(Framing::Length(length)) => rest.get(..length).map(<[u8]>::to_vec),
            Some(Framing::Chunked) => {
                let (mut chunks, mut body) = (Chunks::default(), Vec::new());
                chunks.feed(rest, |part| body.extend_from_slice(part)).map_err(|_| "chunks are malformed")?;
                chunks.done().then_some(body)
            }
            _ => return Err("answer has no length".to_string()),
        };
        Ok(body.map(|body| Whole { status, body, close }))
    }
}
