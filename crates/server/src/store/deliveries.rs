//! Carries out the effects that the queue requests (disk writes, frames, deliveries to executors and call-backs) and reports the
//! results of the HTTP requests to the queue.

use super::executor_http::{attempt_outcome, encode_attempt, parse_server_load};
use super::{InFlight, Store};
use crate::callback_url::parse_callback_url;
use crate::net::fault_injection::{is_injected, InjectedFault};
use crate::net::{CallError, CallReply, Millis, OutgoingCall};
use crate::protocol::Frame;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use stileroute_queue::{Effect, KeptFailure, Key};

/// Time, in ms, within which the receiver of a call-back has to answer.
const CALLBACK_TIMEOUT_MS: Millis = 3000;
/// Maximum number of connections to one receiver of call-backs.
const MAX_CALLBACK_CONNECTIONS: usize = 6;
/// Maximum number of rounds in which effects of the queue, and the effects that follow from them, are applied in one turn of the event
/// loop; the remaining effects wait for the next turn.
const MAX_EFFECT_ROUNDS: usize = 8;

/// A delivery attempt that the queue has requested.
struct Attempt {
    /// The number by which the queue knows the attempt.
    number: u64,
    key: Key,
    executor: SocketAddrV4,
    /// The id of the executor that is expected at the address, if one is expected.
    expected_id: Option<String>,
    timeout_ms: Millis,
    max_connections: usize,
}

impl Store {
    /// Runs the due work of the queue and applies its effects. Frames and requests are sent with the next poll: by then the message ends
    /// of this turn are in the crash buffer, regardless of the order of the effects.
    pub(super) fn apply_queue_effects(&mut self) {
        for _ in 0..MAX_EFFECT_ROUNDS {
            let (now, now_tenths_ms) = (self.runtime.net.now(), self.runtime.net.now_tenths_ms());
            self.append_refused_again(now);
            self.queue.end_capacity = self.kept_ends.capacity().min(self.kept_failures.capacity());
            self.queue.tick(now, now_tenths_ms);
            let effects = self.queue.take_effects();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.apply_queue_effect(effect));
        }
    }

    /// Retries refused appends of ends and failure counts, which other nodes already know. All records of a ticket go into one append,
    /// because the answer to a ticket is taken as the result for all of its records.
    fn append_refused_again(&mut self, now: Millis) {
        let mut records_by_ticket: BTreeMap<u64, Vec<Vec<u8>>> = BTreeMap::new();
        for (ticket, records) in
            self.kept_ends.take_due(now).into_iter().chain(self.kept_failures.take_due(now))
        {
            records_by_ticket.entry(ticket).or_default().extend(records);
        }
        for (ticket, records) in records_by_ticket {
            self.disk.append(ticket, records, false);
        }
    }

    fn apply_queue_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Persist { ticket, records, kept_ends, kept_failures, sync } => {
                self.kept_ends.keep(ticket, kept_ends.into_iter().map(|index| records[index].clone()));
                for KeptFailure { key, index } in kept_failures {
                    self.kept_failures.keep(ticket, key, records[index].clone());
                }
                self.disk.append(ticket, records, sync);
                if is_injected(InjectedFault::AnswerBeforeDisk) {
                    self.queue.write_completed(self.runtime.net.now(), ticket, true);
                }
            }
            Effect::Send { to, message } => {
                self.runtime.links.send(&mut self.runtime.net, to, &Frame::Queue(message));
            }
            Effect::PutResult { ticket, result } => {
                if let Some(submitter) = self.submitters.remove(&ticket) {
                    let frame = Frame::SubmitResult { request_id: submitter.request_id, result };
                    self.runtime.links.send(&mut self.runtime.net, submitter.edge, &frame);
                }
            }
            Effect::StartAttempt { attempt, key, to, expected_server, timeout_ms, max_connections } => {
                self.start_attempt(Attempt {
                    number: attempt,
                    key,
                    executor: to,
                    expected_id: expected_server,
                    timeout_ms,
                    max_connections,
                });
            }
            Effect::CallBack { key, url, body } => self.start_callback(key, &url, &body),
        }
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        let now = self.runtime.net.now();
        self.statistics.record_attempt_start(self.queue.first_attempt_delay_ms(now, attempt.key));
        let Some(message) = self.queue.message(attempt.key) else { return };
        let bytes = encode_attempt(message, attempt.expected_id.as_deref(), attempt.timeout_ms);
        let request_id = message.id.clone();
        let call_id = self.next_id();
        let deadline = now + attempt.timeout_ms;
        let call = OutgoingCall {
            to: attempt.executor,
            request: &bytes,
            call_id,
            deadline,
            max_connections: attempt.max_connections,
            request_id: Some(&request_id),
        };
        let started = self.runtime.net.call(call);
        match started {
            Ok(()) => {
                let in_flight = InFlight::Attempt { attempt: attempt.number, request_id };
                self.in_flight.insert(call_id, in_flight);
            }
            Err(error) => {
                let outcome = attempt_outcome(&request_id, Err(error));
                self.statistics.record_outcome(&outcome);
                let now_tenths_ms = self.runtime.net.now_tenths_ms();
                self.queue.attempt_ended(now, now_tenths_ms, attempt.number, outcome, None);
            }
        }
    }

    fn start_callback(&mut self, key: Key, url: &str, body: &str) {
        let now = self.runtime.net.now();
        let Some((receiver, path)) = parse_callback_url(url) else {
            return self.queue.callback_ended(now, key, false);
        };
        let bytes = format!(
            "POST {path} HTTP/1.1\r\nHost: {receiver}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let call_id = self.next_id();
        let deadline = now + CALLBACK_TIMEOUT_MS;
        let call = OutgoingCall {
            to: receiver,
            request: bytes.as_bytes(),
            call_id,
            deadline,
            max_connections: MAX_CALLBACK_CONNECTIONS,
            request_id: None,
        };
        match self.runtime.net.call(call) {
            Ok(()) => {
                self.in_flight.insert(call_id, InFlight::Callback(key));
            }
            Err(_) => self.queue.callback_ended(now, key, false),
        }
    }

    /// Handles the end of a delivery attempt or of a call-back.
    pub(super) fn handle_call_completed(&mut self, call_id: u64, result: Result<CallReply, CallError>) {
        let now = self.runtime.net.now();
        match self.in_flight.remove(&call_id) {
            Some(InFlight::Attempt { attempt, request_id }) => {
                let reply = result.as_ref().ok();
                let load = reply.and_then(|reply| parse_server_load(reply.server_load.as_deref()?));
                self.statistics.record_call_error(result.as_ref().err());
                let outcome = attempt_outcome(&request_id, result);
                self.statistics.record_outcome(&outcome);
                let now_tenths_ms = self.runtime.net.now_tenths_ms();
                self.queue.attempt_ended(now, now_tenths_ms, attempt, outcome, load);
            }
            Some(InFlight::Callback(key)) => {
                let is_delivered = result.is_ok_and(|reply| reply.status == 200);
                self.queue.callback_ended(now, key, is_delivered);
            }
            None => {}
        }
    }
}
