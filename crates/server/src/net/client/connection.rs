//! State machine for the requests and replies of one outgoing connection, without I/O: bytes and ends of input go in,
//! call outcomes come out.
//!
//! A connection carries one call at a time. A reply is matched to its call by the connection and, if the server
//! echoes it, by the request identifier. Once a match is in doubt, the connection is not used again.

use super::reply::{accept_truncated, parse_reply, CallReply, ParsedReply};
use crate::net::fault_injection::{is_injected, InjectedFault};
use crate::net::Millis;
use std::collections::VecDeque;
use stileroute_dispatch::types::name_hash;

/// Maximum number of request identifiers remembered per connection, to recognise a second reply to one of these
/// requests.
const MAX_REMEMBERED_REQUESTS: usize = 256;

/// Reason why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The connection was never established: the request has not run.
    #[error("not connected")]
    NotConnected,
    /// All connections that may be open to this address are in use: the request was not sent.
    #[error("all connections are in use")]
    NoCapacity,
    /// The connection was reset or closed before a reply: the request may have run.
    #[error("connection lost before a reply")]
    ConnectionLost,
    /// No reply arrived before the deadline: the request may have run.
    #[error("no reply in time")]
    TimedOut,
    /// The received bytes are no valid reply, or a reply to another request: the request may have run.
    #[error("not a reply to this request")]
    InvalidReply,
}

impl CallError {
    /// Returns whether the other side may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, CallError::NotConnected | CallError::NoCapacity)
    }
}

/// Call that waits for its reply.
pub(in crate::net) struct PendingCall {
    /// Identifier of the call, chosen by the caller and returned with the outcome.
    pub call_id: u64,
    /// Time at which the call is abandoned.
    pub deadline: Millis,
    /// Identifier of the request, if the reply must repeat it.
    pub request_id: Option<String>,
    /// Whether the request is a `HEAD`, whose reply ends with its head.
    pub is_head_request: bool,
}

/// Result of received bytes, an end of input or a passed deadline.
#[derive(Debug)]
pub(in crate::net) enum Progress {
    /// No result yet: the connection waits for more input.
    Wait,
    /// No call is pending, and the connection can't be used again.
    Close,
    /// The pending call has finished.
    Completed {
        /// Identifier of the call, chosen by the caller.
        call_id: u64,
        /// Reply to the call, or the reason why there is none.
        result: Result<CallReply, CallError>,
        /// Time in milliseconds for which the connection may be idle and still carry another call; `None` if it can't
        /// be reused.
        keep_alive_ms: Option<Millis>,
    },
}

/// Protocol state of one connection that this process opened for calls.
#[derive(Default)]
pub(in crate::net) struct ClientConnection {
    pending: Option<PendingCall>,
    /// Hashes of the identifiers of requests that the connection has carried, latest first.
    carried_request_hashes: VecDeque<u64>,
    /// Whether a second reply to an earlier request has arrived, so that further replies may be stray as well.
    has_seen_stray_reply: bool,
}

/// Request that a reply belongs to.
enum ReplyOwner {
    /// The pending call.
    PendingCall,
    /// An earlier request of this connection, which has already been answered.
    EarlierRequest,
    /// No request that this connection has carried.
    Unknown,
}

impl ClientConnection {
    /// Starts a call on the connection.
    pub fn begin(&mut self, call: PendingCall) {
        self.pending = Some(call);
    }

    /// Returns the call that waits for its reply.
    pub fn pending(&self) -> Option<&PendingCall> {
        self.pending.as_ref()
    }

    /// Returns whether the connection has carried a request with this identifier. A second reply to that request
    /// could not be distinguished from the reply to a retry of it.
    pub fn has_carried(&self, request_id: &str) -> bool {
        self.carried_request_hashes.contains(&name_hash(request_id))
    }

    fn owner_of(&self, reply: &CallReply) -> ReplyOwner {
        let expected = self.pending.as_ref().and_then(|call| call.request_id.as_deref());
        if expected.is_none()
            || expected == reply.request_id.as_deref()
            || is_injected(InjectedFault::RepliesMatchedByOrder)
        {
            return ReplyOwner::PendingCall;
        }
        match &reply.request_id {
            Some(request_id) if self.has_carried(request_id) => ReplyOwner::EarlierRequest,
            _ => ReplyOwner::Unknown,
        }
    }

    /// Parses replies from the front of `input`. `is_request_sent`: the request has been written completely;
    /// `has_input_ended`: the other side sends no more bytes.
    pub fn receive(&mut self, input: &mut Vec<u8>, is_request_sent: bool, has_input_ended: bool) -> Progress {
        loop {
            if input.is_empty() {
                return Progress::Wait;
            }
            let Some(call) = &self.pending else {
                if is_injected(InjectedFault::ConnectionKeptAfterStrayBytes) {
                    input.clear();
                    return Progress::Wait;
                }
                // A second reply or unsolicited bytes: any further input would be taken for the reply to another
                // call.
                return Progress::Close;
            };
            let names_request = call.request_id.is_some();
            let (reply, length, keep_alive_ms) = match parse_reply(input, call.is_head_request) {
                ParsedReply::Incomplete | ParsedReply::CompleteAtEnd { .. } => return Progress::Wait,
                ParsedReply::Malformed => return self.complete(Err(CallError::InvalidReply), None),
                ParsedReply::Complete { reply, length, keep_alive_ms } => (reply, length, keep_alive_ms),
            };
            input.drain(..length);
            match self.owner_of(&reply) {
                // A reply without a request identifier belongs to the pending call only if it arrived after the
                // request was sent completely.
                ReplyOwner::PendingCall if !is_request_sent && !names_request => {
                    return self.complete(Err(CallError::InvalidReply), None);
                }
                ReplyOwner::PendingCall => {
                    // If a request is answered before it is sent completely, the server would read the rest of it as
                    // the beginning of the next request.
                    let is_reusable =
                        is_request_sent && input.is_empty() && !has_input_ended && !self.has_seen_stray_reply;
                    let is_kept = is_reusable || is_injected(InjectedFault::ConnectionKeptAfterStrayBytes);
                    return self.complete(Ok(reply), keep_alive_ms.filter(|_| is_kept));
                }
                // The expected reply follows this second reply to an earlier request. If the second reply were taken
                // for it, or the connection were closed, a message that is still running would run again.
                ReplyOwner::EarlierRequest => self.has_seen_stray_reply = true,
                // If this connection were kept, each request would receive the reply to the previous one for as long
                // as the connection is used: each message would run twice, even seconds after the executor has
                // recovered.
                ReplyOwner::Unknown => return self.complete(Err(CallError::InvalidReply), None),
            }
        }
    }

    /// Handles the end of the input: the other side sends no more bytes, and `input` is the unparsed rest.
    pub fn end_of_input(&mut self, input: &[u8], is_request_sent: bool) -> Progress {
        let Some(call) = &self.pending else { return Progress::Close };
        let parsed = match parse_reply(input, call.is_head_request) {
            ParsedReply::Incomplete if is_injected(InjectedFault::TruncatedReplyAccepted) => {
                accept_truncated(input)
            }
            parsed => parsed,
        };
        let result = match parsed {
            ParsedReply::CompleteAtEnd { reply } => match self.owner_of(&reply) {
                ReplyOwner::PendingCall if is_request_sent => Ok(reply),
                _ => Err(CallError::InvalidReply),
            },
            _ => Err(CallError::ConnectionLost),
        };
        self.complete(result, None)
    }

    /// Handles a broken connection. `was_open`: it had been established, so that the request may have been sent.
    pub fn connection_lost(&mut self, was_open: bool) -> Progress {
        self.fail(if was_open { CallError::ConnectionLost } else { CallError::NotConnected })
    }

    /// Handles the passed deadline of the call. `was_open`: the connection had been established.
    pub fn deadline_passed(&mut self, was_open: bool) -> Progress {
        let was_sent = was_open && !is_injected(InjectedFault::TimeoutReportedAsNotSent);
        self.fail(if was_sent { CallError::TimedOut } else { CallError::NotConnected })
    }

    fn fail(&mut self, error: CallError) -> Progress {
        match self.pending {
            Some(_) => self.complete(Err(error), None),
            None => Progress::Close,
        }
    }

    fn complete(&mut self, result: Result<CallReply, CallError>, keep_alive_ms: Option<Millis>) -> Progress {
        let Some(call) = self.pending.take() else { return Progress::Close };
        self.carried_request_hashes.truncate(MAX_REMEMBERED_REQUESTS - 1);
        if let Some(request_id) = &call.request_id {
            self.carried_request_hashes.push_front(name_hash(request_id));
        }
        Progress::Completed { call_id: call.call_id, result, keep_alive_ms }
    }
}

#[cfg(test)]
mod generated;
