//! An operator's call: the bytes of one connection become one call, and its answer becomes bytes.

use super::client_request::{answer_head, Fault};
use super::http::{self, body_framing, Framing, MAX_HEADERS};
use super::names;

/// What an operator may ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    Ready,
    Figures,
    /// The other instances that it knows of.
    Members,
    /// Take this executor out, or put it back.
    Turn {
        name: String,
        out: bool,
    },
}

/// Longest call, with the body that none needs.
const LONGEST: usize = 4 * 1024;

/// Collects the bytes of one call.
#[derive(Default)]
pub struct Inbox {
    held: Vec<u8>,
}

impl Inbox {
    /// Takes bytes in; the call as soon as it is whole, or what is wrong with it.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Call>, Fault> {
        let fault = |status, why: &str| Err(Fault { status, why: why.to_string() });
        self.held.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let end = match head.parse(&self.held) {
            Ok(httparse::Status::Complete(end)) => end,
            Ok(httparse::Status::Partial) if self.held.len() > LONGEST => {
                return fault(431, "head too large")
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return fault(400, &format!("not a request: {error}")),
        };
        if !http::has_crlf_line_endings(&self.held[..end]) {
            return fault(400, "a line does not end in CR LF");
        }
        let length = match body_framing(head.headers, head.version) {
            Ok(None) => 0,
            Ok(Some(Framing::Length(length))) if length <= LONGEST => length,
            Ok(Some(Framing::Length(_))) => return fault(413, "no call has a body"),
            _ => return fault(400, "Content-Length or Transfer-Encoding is malformed"),
        };
        if self.held.len() < end + length {
            return Ok(None);
        }
        let (method, path) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
        read(method, path.split('?').next().unwrap_or_default()).map(Some)
    }
}

fn read(method: &str, path: &str) -> Result<Call, Fault> {
    let (call, allowed) = match path {
        names::OPERATORS_READY => (Call::Ready, names::GET),
        names::OPERATORS_FIGURES => (Call::Figures, names::GET),
        names::OPERATORS_MEMBERS => (Call::Members, names::GET),
        _ if turned(path).is_some() => {
            let (name, out) = turned(path).unwrap_or_default();
            (Call::Turn { name: name.to_string(), out }, names::PUT)
        }
        _ => return Err(Fault { status: 404, why: format!("no such call: {path}") }),
    };
    if method != allowed {
        return Err(Fault { status: 405, why: format!("{method} is not for {path}, only {allowed}") });
    }
    Ok(call)
}

/// The executor that a path names, and whether it is to go out.
fn turned(path: &str) -> Option<(&str, bool)> {
    let named = |start, out| Some((path.strip_prefix(start)?, out));
    named(names::OPERATORS_DISABLE, true).or_else(|| named(names::OPERATORS_ENABLE, false))
}

/// The whole answer; there is one to a connection.
pub fn answer(status: u16, text: &str) -> String {
    let mut head = answer_head(status, text.len(), 0, true);
    let mut add = |line: &str| head.insert_str(head.len() - 2, line);
    add("Content-Type: text/plain; version=0.0.4\r\n");
    if status == 405 {
        let allowed = text.trim_end().rsplit(' ').next().unwrap_or_default();
        add(&format!("Allow: {allowed}\r\n"));
    }
    head + text
}
