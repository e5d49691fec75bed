//! State machine for the requests and responses of one accepted connection, without I/O: received bytes and responses
//! go in, requests and output bytes come out.
//!
//! The handler has one request at a time, and the next request is parsed only after that one is answered. A response
//! therefore always belongs to the single request in progress, and clients may pipeline requests (RFC 9112, 9.3.2).
//! After a rejected request no further input is read.

use super::message::{Request, RequestLimits, Response};
use super::parser::{parse_request, Parsed, RequestError};

/// Interim response for a client that waits for it before it sends a body (RFC 9110, 15.2.1).
pub(in crate::net) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Result of the bytes received so far.
#[derive(Debug)]
pub(in crate::net) enum Received {
    /// No result: there are no bytes, or no request may be read now.
    Nothing,
    /// Part of a request has arrived.
    Partial {
        /// Whether the bytes are the first ones of the request.
        is_first: bool,
        /// Whether the client waits for [`CONTINUE`], which has not been sent yet.
        wants_continue: bool,
    },
    /// A complete request, which is in progress from now on.
    Request(Box<Request>),
    /// The input is rejected. It counts as a request in progress, to be answered with the status of the error.
    Rejected(RequestError),
}

/// Progress of the connection with its current request.
#[derive(Clone, Copy, Default)]
enum Phase {
    /// No byte of the next request has arrived.
    #[default]
    Idle,
    /// Part of a request has arrived.
    Receiving { has_sent_continue: bool },
    /// The handler has a request; further requests stay in the input buffer.
    InProgress { is_head_request: bool },
    /// The last response has been written.
    Finished,
}

/// Protocol state of one accepted connection.
#[derive(Default)]
pub(in crate::net) struct ServerConnection {
    phase: Phase,
    /// Whether the connection is closed after the response to the request in progress.
    closes_after_response: bool,
}

impl ServerConnection {
    /// Returns whether the handler has a request that is not answered yet.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.phase, Phase::InProgress { .. })
    }

    /// Returns whether a request has arrived in part but not completely.
    pub fn is_receiving(&self) -> bool {
        matches!(self.phase, Phase::Receiving { .. })
    }

    /// Takes the next request from the front of `input`, unless a request is in progress or the last response has
    /// been written.
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

    /// Rejects the input received so far: it is not a request and can't become one.
    pub fn reject(&mut self, error: RequestError) -> Received {
        self.phase = Phase::InProgress { is_head_request: false };
        self.closes_after_response = true;
        Received::Rejected(error)
    }

    /// Writes the response to the request in progress. Returns whether the connection is closed after the response;
    /// `None` if no request is in progress, in which case nothing is written. `has_input_ended`: the client sends no
    /// more bytes.
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
