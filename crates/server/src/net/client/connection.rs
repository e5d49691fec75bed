//! The requests and replies of one connection that was opened from here, without I/O: bytes and ends in, outcomes out.
//!
//! A connection carries one call at a time. A reply is tied to its call by the connection and, where the other side repeats
//! it, by the request's identifier. Once that tie is in doubt the connection is not used again.

use super::reply::{accept_truncated, parse_reply, CallReply, ParsedReply};
use crate::net::fault_injection::{is_injected, InjectedFault};
use crate::net::Millis;
use std::collections::VecDeque;
use stileroute_dispatch::types::name_hash;

/// So many requests are remembered of a connection, to recognise a second reply to one of them.
const MAX_REMEMBERED_REQUESTS: usize = 256;

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The connection never opened: the request has not run.
    #[error("not connected")]
    NotConnected,
    /// All connections that may be open to this address are in use: the request was not sent.
    #[error("all connections are in use")]
    NoCapacity,
    /// The connection was reset or closed before a reply: the request may have run.
    #[error("connection lost before a reply")]
    ConnectionLost,
    /// There was no reply up to the deadline: the request may have run.
    #[error("no reply in time")]
    TimedOut,
    /// What came is no reply, or one to another request: the request may have run.
    #[error("not a reply to this request")]
    InvalidReply,
}

impl CallError {
    /// Whether the other side may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, CallError::NotConnected | CallError::NoCapacity)
    }
}

/// A call that waits for its reply.
pub(in crate::net) struct PendingCall {
    /// The caller's number of the call, given back with the outcome.
    pub call_id: u64,
    /// When it is given up.
    pub deadline: Millis,
    /// The request's identifier, where the reply has to repeat it.
    pub request_id: Option<String>,
    /// The request is a `HEAD`: its reply ends with the head.
    pub is_head_request: bool,
}

/// What bytes, an end or a deadline lead to.
#[derive(Debug)]
pub(in crate::net) enum Progress {
    /// Nothing yet.
    Wait,
    /// No call is pending, and the connection can't be used again.
    Close,
    /// The outcome of the pending call.
    Completed {
        /// The caller's number of the call.
        call_id: u64,
        /// The reply, or why there is none.
        result: Result<CallReply, CallError>,
        /// How long the connection may be idle and still carry another call; `None`: not at all.
        keep_alive_ms: Option<Millis>,
    },
}

/// The state of one connection that was opened from here.
#[derive(Default)]
pub(in crate::net) struct ClientConnection {
    pending: Option<PendingCall>,
    /// Hashes of the identifiers of requests that the connection has carried, the latest first.
    carried: VecDeque<u64>,
    /// A second reply to an earlier request came: whatever comes next may be another one.
    has_seen_stray_reply: bool,
}

/// Which request a reply belongs to.
enum ReplyOwner {
    /// The pending call.
    PendingCall,
    /// An earlier request of this connection, which has been answered before.
    EarlierRequest,
    /// None that this connection has carried.
    Unknown,
}

impl ClientConnection {
    /// A call is sent on the connection.
    pub fn begin(&mut self, call: PendingCall) {
        self.pending = Some(call);
    }

    /// The call that waits for its reply.
    pub fn pending(&self) -> Option<&PendingCall> {
        self.pending.as_ref()
    }

    /// Whether the connection has carried a request with this identifier: a second reply to that one could not be told from
    /// the reply to a repetition of it.
    pub fn has_carried(&self, request_id: &str) -> bool {
        self.carried.contains(&name_hash(request_id))
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

    /// Takes replies from the front of `input`. `is_request_sent`: the request has been written completely;
    /// `has_input_ended`: the other side sends no more.
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
                // A second reply, or bytes that nobody asked for: whatever comes next would be taken for another's reply.
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
                // Without an identifier only what comes after the complete request can be its reply.
                ReplyOwner::PendingCall if !is_request_sent && !names_request => {
                    return self.complete(Err(CallError::InvalidReply), None);
                }
                ReplyOwner::PendingCall => {
                    // The rest of a request that was answered early would be read as the beginning of the next one.
                    let is_reusable =
                        is_request_sent && input.is_empty() && !has_input_ended && !self.has_seen_stray_reply;
                    let is_kept = is_reusable || is_injected(InjectedFault::ConnectionKeptAfterStrayBytes);
                    return self.complete(Ok(reply), keep_alive_ms.filter(|_| is_kept));
                }
                // The expected reply comes after it. If this one were taken for it, or the connection given up, a message
                // that is running would run again.
                ReplyOwner::EarlierRequest => self.has_seen_stray_reply = true,
                // Kept, this connection would give each request the reply to the one before, for as long as it is used:
                // seconds after the executor has recovered each message would still run twice.
                ReplyOwner::Unknown => return self.complete(Err(CallError::InvalidReply), None),
            }
        }
    }

    /// The other side sends no more; `input` is what is left of what it sent.
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

    /// The connection broke. `was_open`: it had been established, so that the request may have been sent.
    pub fn connection_lost(&mut self, was_open: bool) -> Progress {
        self.fail(if was_open { CallError::ConnectionLost } else { CallError::NotConnected })
    }

    /// The deadline of the call has come. `was_open`: the connection had been established.
    pub fn deadline_passed(&mut self, was_open: bool) -> Progress {
        let was_sent = was_open && !is_injected(InjectedFault::SilenceReportedAsNotSent);
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
        self.carried.truncate(MAX_REMEMBERED_REQUESTS - 1);
        if let Some(request_id) = &call.request_id {
            self.carried.push_front(name_hash(request_id));
        }
        Progress::Completed { call_id: call.call_id, result, keep_alive_ms }
    }
}

#[cfg(test)]
mod generated;
