//! The requests and answers of one connection that was opened from here: bytes and ends in, outcomes out. No I/O.
//!
//! A connection carries one request at a time. Its answer is tied to it by the connection and, where the other side
//! repeats it, by the request's id. Once the tie is lost the connection is not used again.

use super::super::fault_injection::{is_injected, InjectedFault};
use super::super::Millis;
use httparse::Status;
use std::collections::VecDeque;
use stileroute_dispatch::types::mark;
use stileroute_http1::{framing, has_token, header, repeated, Chunks, Framing};

/// An answer, whole.
#[derive(Clone, Debug, Default)]
pub struct CallReply {
    pub status: u16,
    pub seal: Option<String>,
    pub was_not_run: bool,
    pub server_load: Option<String>,
    /// Which request it says it answers.
    pub request_id: Option<String>,
}

/// No answer: the verdict says whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display)]
pub enum CallError {
    /// The connection never opened: it did not run.
    NotConnected,
    /// All connections that the executor takes from here are in use: it was not sent.
    NoCapacity,
    /// Reset or closed before an answer: it may have run.
    ConnectionLost,
    /// Silence up to the deadline: it may have run.
    TimedOut,
    /// What came is no answer, or another's: it may have run.
    InvalidReply,
}

impl CallError {
    pub fn may_have_run(self) -> bool {
        !matches!(self, CallError::NotConnected | CallError::NoCapacity)
    }
}

/// A call that is under way.
pub(in crate::net) struct Call {
    pub ticket: u64,
    pub deadline: Millis,
    /// The request's id, where its answer has to repeat it.
    pub id: Option<String>,
    /// Its answer is a head alone, whatever that says of a body.
    pub bodiless: bool,
}

/// What came of bytes or of an end.
#[derive(Debug)]
pub(in crate::net) enum Step {
    Wait,
    /// Nothing is under way, and the connection can't be used again.
    Close,
    /// The call's outcome, and for how long the connection may rest until it carries another; `None`: not at all.
    Done {
        ticket: u64,
        result: Result<CallReply, CallError>,
        keep: Option<Millis>,
    },
}

#[derive(Default)]
pub(in crate::net) struct Exchange {
    call: Option<Call>,
    /// Marks of the requests that this connection has carried, the last first.
    carried: VecDeque<u64>,
    /// A second answer came: whatever comes next may be one too.
    strayed: bool,
}

/// Most of one answer's bytes.
pub(in crate::net) const MOST: usize = 1 << 20;
/// An idle connection is given up so long before the other side would close it, and after so long where it says nothing.
const MARGIN: Millis = 400;
const IDLE: Millis = 4000;
/// So many requests are remembered of a connection, to know a second answer by.
const CARRIED: usize = 256;

/// Whose an answer is.
enum Whose {
    /// That of the call under way.
    Awaited,
    /// A second one to an earlier request of the connection.
    Earlier,
    Unknown,
}

impl Exchange {
    pub fn begin(&mut self, call: Call) {
        self.call = Some(call);
    }

    pub fn call(&self) -> Option<&Call> {
        self.call.as_ref()
    }

    /// It has carried a request with this id: a second answer to that could not be told from the answer to the next.
    pub fn has_carried(&self, id: &str) -> bool {
        self.carried.contains(&mark(id))
    }

    fn whose(&self, reply: &CallReply) -> Whose {
        let wanted = self.call.as_ref().and_then(|call| call.id.as_deref());
        if wanted.is_none()
            || wanted == reply.request_id.as_deref()
            || is_injected(InjectedFault::TiedByOrder)
        {
            return Whose::Awaited;
        }
        match &reply.request_id {
            Some(id) if self.has_carried(id) => Whose::Earlier,
            _ => Whose::Unknown,
        }
    }

    /// Looks at what has been read. `written`: the request is out whole; `ended`: no more will come.
    pub fn read(&mut self, input: &mut Vec<u8>, written: bool, ended: bool) -> Step {
        loop {
            if input.is_empty() {
                return Step::Wait;
            }
            let Some(call) = &self.call else {
                if is_injected(InjectedFault::StrayKept) {
                    input.clear();
                    return Step::Wait;
                }
                // A second answer, or bytes that nobody asked for: whatever comes next here would be another's.
                return Step::Close;
            };
            let (tied, bodiless) = (call.id.is_some(), call.bodiless);
            let (reply, used, keep) = match parse(input, bodiless) {
                Found::More | Found::ToEnd { .. } => return Step::Wait,
                Found::InvalidReply => return self.done(Err(CallError::InvalidReply), None),
                Found::Whole { reply, used, keep } => (reply, used, keep),
            };
            input.drain(..used);
            match self.whose(&reply) {
                // Without an id only what comes behind the whole request can be its answer.
                Whose::Awaited if !written && !tied => return self.done(Err(CallError::InvalidReply), None),
                Whose::Awaited => {
                    // A request that was answered before it was out whole would go on as the next one.
                    let lost = !input.is_empty() || ended || self.strayed || !written;
                    return self
                        .done(Ok(reply), keep.filter(|_| !lost || is_injected(InjectedFault::StrayKept)));
                }
                // The one that is waited for comes behind it. Taken for it, or with the connection given up, a message
                // that is running would run again.
                Whose::Earlier => self.strayed = true,
                // Kept, this connection would hand each request the answer to the one before, for as long as it is used:
                // seconds after the executor is well again each of them would run twice.
                Whose::Unknown => return self.done(Err(CallError::InvalidReply), None),
            }
        }
    }

    /// The other side will send no more; what came before has been read.
    pub fn end(&mut self, input: &[u8], written: bool) -> Step {
        let Some(call) = &self.call else { return Step::Close };
        let found = match parse(input, call.bodiless) {
            Found::More if is_injected(InjectedFault::HalfTaken) => half(input),
            found => found,
        };
        let result = match found {
            Found::ToEnd { reply } => match self.whose(&reply) {
                Whose::Awaited if written => Ok(reply),
                _ => Err(CallError::InvalidReply),
            },
            _ => Err(CallError::ConnectionLost),
        };
        self.done(result, None)
    }

    /// The connection broke. `open`: it had been open, so that the request may have gone out.
    pub fn broke(&mut self, open: bool) -> Step {
        self.fail(if open { CallError::ConnectionLost } else { CallError::NotConnected })
    }

    /// Its deadline has come.
    pub fn late(&mut self, open: bool) -> Step {
        let sent = open && !is_injected(InjectedFault::SilenceNotSent);
        self.fail(if sent { CallError::TimedOut } else { CallError::NotConnected })
    }

    fn fail(&mut self, failure: CallError) -> Step {
        match self.call {
            Some(_) => self.done(Err(failure), None),
            None => Step::Close,
        }
    }

    fn done(&mut self, result: Result<CallReply, CallError>, keep: Option<Millis>) -> Step {
        let Some(call) = self.call.take() else { return Step::Close };
        self.carried.truncate(CARRIED - 1);
        call.id.iter().for_each(|id| self.carried.push_front(mark(id)));
        Step::Done { ticket: call.ticket, result, keep }
    }
}

#[derive(Debug)]
enum Found {
    More,
    Whole {
        reply: CallReply,
        used: usize,
        keep: Option<Millis>,
    },
    /// Whole when the connection ends.
    ToEnd {
        reply: CallReply,
    },
    InvalidReply,
}

/// The head of an answer of which the rest is missing, taken as whole: for a planted fault.
fn half(input: &[u8]) -> Found {
    let end = input.windows(4).position(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    match parse(&input[..end], true) {
        Found::Whole { reply, .. } => Found::ToEnd { reply },
        found => found,
    }
}

/// Answers of these never have a body (RFC 9112, 6.3).
fn without_body(status: u16) -> bool {
    status == 204 || status == 304
}

/// Headers that tie an answer or prove a run: told twice they say nothing.
const SINGLE: [&str; 2] = ["X-Request-Id", "X-Server-Seal"];

fn parse(bytes: &[u8], bodiless: bool) -> Found {
    let mut from = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut head = httparse::Response::new(&mut headers);
        let end = match head.parse(&bytes[from..]) {
            Ok(Status::Complete(end)) => from + end,
            Ok(Status::Partial) if bytes.len() > MOST => return Found::InvalidReply,
            Ok(Status::Partial) => return Found::More,
            Err(_) => return Found::InvalidReply,
        };
        let status = head.code.unwrap_or(0);
        // Nobody asked for another protocol: what follows would not be HTTP.
        if status == 101 {
            return Found::InvalidReply;
        }
        if (100..200).contains(&status) {
            from = end;
            continue;
        }
        let headers = &*head.headers;
        if SINGLE.iter().any(|name| repeated(headers, name)) {
            return Found::InvalidReply;
        }
        let text = |name| header(headers, name).map(str::to_string);
        let reply = CallReply {
            status,
            seal: text("X-Server-Seal"),
            was_not_run: header(headers, "X-Not-Run").is_some(),
            server_load: text("X-Server-Load"),
            request_id: text("X-Request-Id"),
        };
        let Some(framing) = framing(headers, head.version) else { return Found::InvalidReply };
        let used = match framing {
            _ if bodiless || without_body(status) => end,
            None | Some(Framing::ToEnd) => return Found::ToEnd { reply },
            Some(Framing::Length(length)) if length > MOST => return Found::InvalidReply,
            Some(Framing::Length(length)) if bytes.len() - end < length => return Found::More,
            Some(Framing::Length(length)) => end + length,
            Some(Framing::Chunked) => {
                let mut chunks = Chunks::default();
                let Ok(used) = chunks.feed(&bytes[end..], |_| {}) else { return Found::InvalidReply };
                if !chunks.done() {
                    return if bytes.len() > MOST { Found::InvalidReply } else { Found::More };
                }
                end + used
            }
        };
        let close = has_token(headers, "Connection", "close") || head.version == Some(0);
        let keep = rest_allowed(header(headers, "Keep-Alive"));
        return Found::Whole { reply, used, keep: (!close && keep > 0).then_some(keep) };
    }
}

/// How long a connection may rest: by `timeout=5` among the words of Keep-Alive, in seconds, with a margin.
fn rest_allowed(keep_alive: Option<&str>) -> Millis {
    let told = keep_alive.and_then(|text| {
        let link_event = text.split([',', ' ']).find_map(|part| part.trim().strip_prefix("timeout="))?;
        link_event.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)
    });
    told.map_or(IDLE, |seconds| (seconds * 1000.0) as Millis).saturating_sub(MARGIN).min(60_000)
}

#[cfg(test)]
mod generated;
#[cfg(test)]
mod tests;
