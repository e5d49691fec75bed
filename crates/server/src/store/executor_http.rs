//! The HTTP between a store and an executor: the request of a delivery, and what an answer says of it.

use crate::net::{CallError, CallReply, Millis};
use std::io::Write;
use stileroute_queue::{AttemptOutcome, Message};

/// Room for the head of a request, in bytes, so that its buffer rarely grows.
const HEAD_CAPACITY: usize = 320;

/// The request that delivers a message. `expected_id` names the executor that is expected at the address.
pub fn encode_attempt(message: &Message, expected_id: Option<&str>, timeout_ms: Millis) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.body.len() + HEAD_CAPACITY);
    // Writing into memory does not fail.
    let _ = write!(bytes, "{} {} HTTP/1.1\r\nHost: {}\r\n", message.method, message.target, message.host);
    let _ = write!(bytes, "X-Request-Id: {}\r\nX-Time-Left-Ms: {timeout_ms}\r\n", message.id);
    if let Some(expected_id) = expected_id {
        let _ = write!(bytes, "X-Expect-Server: {expected_id}\r\n");
    }
    if let Some(tenant) = &message.tenant {
        let _ = write!(bytes, "X-Tenant: {tenant}\r\n");
    }
    if let Some(content_type) = &message.content_type {
        let _ = write!(bytes, "Content-Type: {content_type}\r\n");
    }
    let _ = write!(bytes, "Content-Length: {}\r\n\r\n", message.body.len());
    bytes.extend_from_slice(&message.body);
    bytes
}

/// Reads the header `X-Server-Load`, which has the requests that run, those that wait, and the slots. Gives the requests that
/// the executor has in all, those that wait, and the free slots.
pub fn parse_server_load(text: &str) -> Option<[f64; 3]> {
    let parse = |part: &str| {
        let number = part.trim().parse::<f64>().ok()?;
        (number.is_finite() && number >= 0.0).then_some(number)
    };
    let mut numbers = text.split(',').map(parse);
    let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
    Some([running + waiting, waiting, (slots - running).max(0.0)])
}

/// What an answer says of an attempt. One that names another request, or that has no seal, is no success.
pub fn attempt_outcome(request_id: &str, result: Result<CallReply, CallError>) -> AttemptOutcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(CallError::NotConnected) => return AttemptOutcome::NotConnected,
        Err(CallError::NoCapacity) => return AttemptOutcome::NoFreeConnection,
        Err(CallError::ConnectionLost) => return AttemptOutcome::ConnectionBroken,
        Err(CallError::TimedOut) => return AttemptOutcome::NoResponse,
        Err(CallError::InvalidReply) => return AttemptOutcome::MalformedResponse,
    };
    if reply.request_id.as_deref() != Some(request_id) {
        return AttemptOutcome::MalformedResponse;
    }
    match (reply.status, reply.seal) {
        (200..=299, Some(seal)) => AttemptOutcome::Completed { seal },
        (200..=299, None) => AttemptOutcome::MalformedResponse,
        (422, _) => AttemptOutcome::Rejected,
        (421, _) => AttemptOutcome::WrongServer,
        (409, _) => AttemptOutcome::AlreadyRunning,
        (429, _) => AttemptOutcome::RateLimited,
        (503, _) => AttemptOutcome::ExecutorFull,
        (504, _) => AttemptOutcome::TimedOut,
        (500, _) if !reply.was_not_run => AttemptOutcome::Failed,
        _ if reply.was_not_run => AttemptOutcome::NotRun,
        _ => AttemptOutcome::MalformedResponse,
    }
}
