//! HTTP between a store and an executor: encodes delivery requests and interprets the answers.

use crate::net::{CallError, CallReply, Millis};
use std::io::Write;
use stileroute_queue::{AttemptOutcome, Message};

/// Buffer capacity, in bytes, that is reserved for the head of a request, so that the buffer rarely has to grow.
const REQUEST_HEAD_CAPACITY_BYTES: usize = 320;

/// Encodes the HTTP request that delivers a message. `expected_id` is the id of the executor that is expected at the address.
pub fn encode_attempt(message: &Message, expected_id: Option<&str>, timeout_ms: Millis) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.body.len() + REQUEST_HEAD_CAPACITY_BYTES);
    // Writing to a `Vec` cannot fail.
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

/// Parses the header `X-Server-Load`, which lists the number of running requests, of waiting requests and of slots. Returns the total
/// number of requests at the executor, the number of waiting requests and the number of free slots.
pub fn parse_server_load(text: &str) -> Option<[f64; 3]> {
    let parse = |field: &str| {
        let number = field.trim().parse::<f64>().ok()?;
        (number.is_finite() && number >= 0.0).then_some(number)
    };
    let mut numbers = text.split(',').map(parse);
    let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
    Some([running + waiting, waiting, (slots - running).max(0.0)])
}

/// Maps the answer to a delivery attempt to its outcome. An answer with another request id, or without a seal, is not a success.
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
