//! Parses admin requests and formats their responses. Each connection carries one request.

use super::client_request::{answer_head, RequestError};
use super::http::{self, body_framing, Framing, MAX_HEADERS};
use super::names;

/// The requests that operators can make.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminRequest {
    Ready,
    Metrics,
    /// Lists the other known instances.
    Members,
    /// Disables this executor or enables it again.
    SetDisabled {
        name: String,
        disabled: bool,
    },
}

/// Longest admin request in bytes, including a body, which no request needs.
const MAX_REQUEST_BYTES: usize = 4 * 1024;

/// Collects the bytes of one admin request.
#[derive(Default)]
pub struct RequestParser {
    buffer: Vec<u8>,
}

impl RequestParser {
    /// Adds bytes. Returns the request once it is complete, or the reason why it is invalid.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<AdminRequest>, RequestError> {
        let error = |status, reason: &str| Err(RequestError { status, reason: reason.to_string() });
        self.buffer.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let end = match head.parse(&self.buffer) {
            Ok(httparse::Status::Complete(end)) => end,
            Ok(httparse::Status::Partial) if self.buffer.len() > MAX_REQUEST_BYTES => {
                return error(431, "head too large")
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(problem) => return error(400, &format!("not a request: {problem}")),
        };
        if !http::has_crlf_line_endings(&self.buffer[..end]) {
            return error(400, "a line does not end in CR LF");
        }
        let length = match body_framing(head.headers, head.version) {
            Ok(None) => 0,
            Ok(Some(Framing::Length(length))) if length <= MAX_REQUEST_BYTES => length,
            Ok(Some(Framing::Length(_))) => return error(413, "request body too large"),
            _ => return error(400, "Content-Length or Transfer-Encoding is malformed"),
        };
        if self.buffer.len() < end + length {
            return Ok(None);
        }
        let (method, path) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
        parse_path(method, path.split('?').next().unwrap_or_default()).map(Some)
    }
}

fn parse_path(method: &str, path: &str) -> Result<AdminRequest, RequestError> {
    let (request, allowed) = match path {
        names::ADMIN_READY => (AdminRequest::Ready, names::GET),
        names::ADMIN_METRICS => (AdminRequest::Metrics, names::GET),
        names::ADMIN_MEMBERS => (AdminRequest::Members, names::GET),
        _ if parse_disable_path(path).is_some() => {
            let (name, disabled) = parse_disable_path(path).unwrap_or_default();
            (AdminRequest::SetDisabled { name: name.to_string(), disabled }, names::PUT)
        }
        _ => return Err(RequestError { status: 404, reason: format!("no such path: {path}") }),
    };
    if method != allowed {
        return Err(RequestError {
            status: 405,
            reason: format!("{method} is not allowed for {path}, only {allowed}"),
        });
    }
    Ok(request)
}

/// The executor that a path names, and whether it is to be disabled.
fn parse_disable_path(path: &str) -> Option<(&str, bool)> {
    let stripped = |start, disabled| Some((path.strip_prefix(start)?, disabled));
    stripped(names::ADMIN_DISABLE, true).or_else(|| stripped(names::ADMIN_ENABLE, false))
}

/// Formats the complete response. A connection carries only one.
pub fn answer(status: u16, text: &str) -> String {
    let mut head = answer_head(status, text.len(), 0, true);
    let mut add_header = |line: &str| head.insert_str(head.len() - 2, line);
    add_header("Content-Type: text/plain; version=0.0.4\r\n");
    if status == 405 {
        let allowed = text.trim_end().rsplit(' ').next().unwrap_or_default();
        add_header(&format!("Allow: {allowed}\r\n"));
    }
    head + text
}
