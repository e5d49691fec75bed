//! The requests and responses of one accepted connection, without I/O: bytes in, requests out, responses in, bytes out.
//!
//! One request at a time is with the handler, and the next one is parsed only when that is answered: so a response always
//! belongs to the one request in progress, and clients may pipeline (RFC 9112, 9.3.2). After a request that is rejected
//! nothing more is read.

use super::message::{Request, RequestLimits, Response};
use super::parser::{parse_request, Parsed, RequestError};

/// What a client is sent that waits for it before it sends a body (RFC 9110, 15.2.1).
pub(in crate::net) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What came of the bytes received so far.
#[derive(Debug)]
pub(in crate::net) enum Received {
    /// Nothing new: there are no bytes, or no request may be read now.
    Nothing,
    /// Part of a request.
    Partial {
        /// These are its first bytes.
        is_first: bool,
        /// The client waits for [`CONTINUE`], and has not been sent it yet.
        wants_continue: bool,
    },
    /// A complete request, which is in progress from now on.
    Request(Box<Request>),
    /// What came is rejected. It counts as a request in progress, to be answered with the error's status.
    Rejected(RequestError),
}

/// How far the connection is with a request.
#[derive(Clone, Copy, Default)]
enum Phase {
    /// No byte of the next request has come.
    #[default]
    Idle,
    /// Part of a request has come.
    Receiving { has_sent_continue: bool },
    /// A request is with the handler; further ones wait in the input.
    InProgress { is_head_request: bool },
    /// The last response has been written.
    Finished,
}

/// The state of one accepted connection.
#[derive(Default)]
pub(in crate::net) struct ServerConnection {
    phase: Phase,
    /// The connection ends after the response to the request in progress.
    closes_after_response: bool,
}

impl ServerConnection {
    /// Whether a request is with the handler.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.phase, Phase::InProgress { .. })
    }

    /// Whether part of a request has come, and not all of it.
    pub fn is_receiving(&self) -> bool {
        matches!(self.phase, Phase::Receiving { .. })
    }

    /// Takes the next request from the front of `input`, unless one is in progress or the last response has been written.
    pub fn receive(&mut self, input: &mut Vec<u8>, limits: &RequestLimits) -> Received {
        let received_before = match self.phase {
            Phase::InProgress { .. } | Phase::Finished => return Received::Nothing,
            Phase::Idle => None,
            Phase::Receiving { has_sent_continue } => Some(has_sent_continue),
        };
        if input.is_empty() {
            return Received::Nothing;
        }
        match parse_request(input, limits) {
            Ok(Parsed::Incomplete { expects_continue }) => {
                let has_sent_continue = received_before.unwrap_or(false);
                self.phase = Phase::Receiving { has_sent_continue: has_sent_continue || expects_continue };
                Received::Partial {
                    is_first: received_before.is_none(),
                    wants_continue: expects_continue && !has_sent_continue,
                }
            }
            Ok(Parsed::Complete { request, length, closes_connection }) => {
                self.phase = Phase::InProgress { is_head_request: request.method == "HEAD" };
                self.closes_after_response |= closes_connection;
                input.drain(..length);
                Received::Request(request)
            }
            Err(error) => self.reject(error),
        }
    }

    /// Rejects what has come so far: it is no request and will never be one.
    pub fn reject(&mut self, error: RequestError) -> Received {
        self.phase = Phase::InProgress { is_head_request: false };
        self.closes_after_response = true;
        Received::Rejected(error)
    }

    /// Writes the response to the request in progress. Returns whether the connection ends after it; `None` if no request is
    /// in progress, and then nothing is written. `has_input_ended`: the client sends no more.
    pub fn respond(
        &mut self,
        response: &Response,
        has_input_ended: bool,
        output: &mut Vec<u8>,
    ) -> Option<bool> {
        let Phase::InProgress { is_head_request } = self.phase else { return None };
        let is_last = response.close_connection || self.closes_after_response || has_input_ended;
        self.phase = if is_last { Phase::Finished } else { Phase::Idle };
        response.write_to(output, is_head_request, is_last);
        Some(is_last)
    }
}

#[cfg(test)]
mod generated;
