//! The client side of HTTP: a push as bytes, and the answer to it up to its last line.

use super::http::{self, body_framing, has_token, header_value, ChunkedDecoder, Framing, MAX_HEADERS};
use super::job_status::{self, StatusLine};
use super::names;
use crate::interfaces::Job;
use crate::state::buffer_pool::{Buffer, Bytes, Pool};
use std::sync::Arc;

/// The head of a push. What the client sent goes on unchanged, but for the time that is left.
pub fn push_head(job: &dyn Job, host: &str, remaining_ms: i64) -> String {
    let (method, path) = (job.method(), job.path());
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{}: {remaining_ms}\r\n", names::BUDGET);
    let nonempty = |text| Some(text).filter(|text: &&str| !text.is_empty());
    let forwarded = [
        (names::CALL_ID, nonempty(job.id())),
        (names::IDEMPOTENCY_KEY, job.idempotency_key()),
        (names::CATEGORY, nonempty(job.category())),
        (names::COST, job.cost()),
        ("Content-Type", job.content_type()),
    ];
    for (name, value) in forwarded {
        if let Some(value) = value {
            head += &format!("{name}: {value}\r\n");
        }
    }
    head + &format!("Content-Length: {}\r\n\r\n", job.body().len())
}

/// How a push ended, as the answer tells.
pub enum ResponseOutcome {
    /// With the result that the executor gave.
    Done(Bytes),
    Failed,
    /// Refused with this status, for what the request itself is.
    Rejected(u16),
    /// Turned away or handed back unstarted: it never ran.
    Returned,
    /// The job was killed.
    Lost,
    /// The answer can't be read.
    Malformed,
}

/// What a line, or the end of the answer, has told.
pub enum ResponseEvent {
    Started,
    Running(f64),
    /// The last one, with the load report that came along.
    Final(ResponseOutcome, Option<Vec<f64>>),
}

struct OpenResponse {
    /// What a status other than 200 tells.
    status_outcome: Option<ResponseOutcome>,
    framing: Framing,
    chunks: ChunkedDecoder,
    load: Option<Vec<f64>>,
    close: bool,
}

/// Collects the answer to one push.
pub struct ResponseParser {
    buffer: Option<Buffer>,
    id: String,
    gauges: Arc<Vec<String>>,
    open: Option<OpenResponse>,
    /// The last line has been heard.
    is_final: bool,
}

impl ResponseParser {
    /// None while all buffers are in use: better not to send than not to be able to read the answer.
    pub fn new(pool: &Arc<Pool>, id: &str, gauges: Arc<Vec<String>>) -> Option<ResponseParser> {
        let buffer = Some(pool.take()?);
        Some(ResponseParser { buffer, id: id.to_string(), gauges, open: None, is_final: false })
    }

    /// The answer was read to the end of its framing, and the connection may carry another push.
    pub fn reusable(&self) -> bool {
        let complete = |open: &OpenResponse| match open.framing {
            Framing::Length(remaining) => remaining == 0,
            Framing::Chunked => open.chunks.is_done(),
            Framing::UntilClose => false,
        };
        self.is_final && self.open.as_ref().is_some_and(|open| !open.close && complete(open))
    }

    /// Takes bytes in and tells what they say, in order.
    pub fn feed(&mut self, bytes: &[u8], mut on_event: impl FnMut(ResponseEvent)) {
        if self.open.is_some() {
            return self.body(bytes, &mut on_event);
        }
        let mut rest = bytes.to_vec();
        while self.open.is_none() && !self.is_final {
            let Some(buffer) = &mut self.buffer else { return };
            if !buffer.append(&rest) {
                return self.report_malformed(&mut on_event);
            }
            match read_head(buffer, &self.gauges) {
                None if buffer.len() > http::MAX_HEAD_BYTES => return self.report_malformed(&mut on_event),
                None => return,
                Some(Err(())) => return self.report_malformed(&mut on_event),
                // An interim answer has no more than a head: the real one follows.
                Some(Ok((open, end))) => {
                    self.open = open;
                    rest = buffer[end..].to_vec();
                    buffer.truncate(0);
                }
            }
        }
        self.body(&rest, &mut on_event);
    }

    fn report_malformed(&mut self, on_event: &mut impl FnMut(ResponseEvent)) {
        // Whatever comes next on this connection can't be told apart from the rest of this answer.
        self.open.iter_mut().for_each(|open| open.close = true);
        self.emit(ResponseEvent::Final(ResponseOutcome::Malformed, None), on_event);
    }

    /// The connection has ended: an answer framed by that is whole now.
    pub fn end(&mut self, mut on_event: impl FnMut(ResponseEvent)) {
        if self.open.as_ref().is_some_and(|open| open.framing == Framing::UntilClose) {
            self.complete(&mut on_event);
        }
    }

    fn body(&mut self, bytes: &[u8], on_event: &mut impl FnMut(ResponseEvent)) {
        let Some(open) = &mut self.open else { return };
        if let Some(outcome) = open.status_outcome.take() {
            // The status says it all; the body is only read to keep the connection.
            self.is_final = true;
            on_event(ResponseEvent::Final(outcome, open.load.take()));
        }
        let mut events = Vec::new();
        let mut assembler = LineAssembler {
            buffer: &mut self.buffer,
            id: &self.id,
            gauges: &self.gauges,
            is_final: self.is_final,
        };
        let mut take = |chunk: &[u8]| assembler.take(chunk, &mut events);
        let is_valid = match &mut open.framing {
            Framing::Length(remaining) => {
                let count = bytes.len().min(*remaining);
                take(&bytes[..count]);
                *remaining -= count;
                true
            }
            Framing::UntilClose => {
                take(bytes);
                true
            }
            Framing::Chunked => open.chunks.decode(bytes, take).is_ok(),
        };
        let complete = open.framing == Framing::Length(0) || open.chunks.is_done();
        events.into_iter().for_each(|event| self.emit(event, on_event));
        if !is_valid {
            self.report_malformed(on_event);
        } else if complete {
            self.complete(on_event);
        }
    }

    /// The body is whole. A last line may lack its end; without one, nothing tells what became of the job,
    /// as when the connection ends.
    fn complete(&mut self, on_event: &mut impl FnMut(ResponseEvent)) {
        let mut events = Vec::new();
        let mut assembler = LineAssembler {
            buffer: &mut self.buffer,
            id: &self.id,
            gauges: &self.gauges,
            is_final: self.is_final,
        };
        assembler.take(b"\n", &mut events);
        events.into_iter().for_each(|event| self.emit(event, on_event));
        self.emit(ResponseEvent::Final(ResponseOutcome::Lost, None), on_event);
    }

    /// Passes a word on, with the head's load report where the last line has none; nothing after that line.
    fn emit(&mut self, mut event: ResponseEvent, on_event: &mut impl FnMut(ResponseEvent)) {
        if self.is_final {
            return;
        }
        if let ResponseEvent::Final(outcome, load) = &mut event {
            self.is_final = true;
            if let Some(open) = &mut self.open {
                *load = load.take().or(open.load.take());
                open.close |= matches!(outcome, ResponseOutcome::Malformed);
            }
        }
        on_event(event);
    }
}

/// Puts lines together, wherever they were split.
struct LineAssembler<'a> {
    buffer: &'a mut Option<Buffer>,
    id: &'a str,
    gauges: &'a [String],
    is_final: bool,
}

impl LineAssembler<'_> {
    fn take(&mut self, chunk: &[u8], events: &mut Vec<ResponseEvent>) {
        for line in chunk.split_inclusive(|byte| *byte == b'\n') {
            let Some(buffer) = self.buffer.as_mut().filter(|_| !self.is_final) else { return };
            if !buffer.append(line) {
                self.is_final = true;
                return events.push(ResponseEvent::Final(ResponseOutcome::Malformed, None));
            }
            if !line.ends_with(b"\n") {
                return;
            }
            let (event, load) = job_status::parse_line(buffer, self.id, self.gauges);
            match event {
                StatusLine::Started => events.push(ResponseEvent::Started),
                StatusLine::Running(share) => events.push(ResponseEvent::Running(share)),
                StatusLine::Unknown => {}
                StatusLine::Done(chunk) => {
                    self.is_final = true;
                    if let Some(buffer) = self.buffer.take() {
                        events.push(ResponseEvent::Final(
                            ResponseOutcome::Done(Bytes::new(buffer, chunk)),
                            load,
                        ));
                    }
                    return;
                }
                StatusLine::Failed => events.push(ResponseEvent::Final(ResponseOutcome::Failed, load)),
                StatusLine::Returned => events.push(ResponseEvent::Final(ResponseOutcome::Returned, load)),
                StatusLine::Lost => events.push(ResponseEvent::Final(ResponseOutcome::Lost, load)),
                StatusLine::Malformed => events.push(ResponseEvent::Final(ResponseOutcome::Malformed, None)),
            }
            self.is_final = matches!(events.last(), Some(ResponseEvent::Final(..)));
            if let Some(buffer) = self.buffer.as_mut() {
                buffer.truncate(0);
            }
        }
    }
}

/// Reads the head of an answer: nothing yet, a fault, an interim answer (no `Open`), or the answer.
fn read_head(bytes: &[u8], gauges: &[String]) -> Option<Result<(Option<OpenResponse>, usize), ()>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let end = match head.parse(bytes) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some(Err(())),
    };
    let headers = &*head.headers;
    let code = head.code.unwrap_or(0);
    if (100..200).contains(&code) && code != 101 {
        return Some(Ok((None, end)));
    }
    let Ok(framing) = body_framing(headers, head.version) else { return Some(Err(())) };
    let framing = framing.unwrap_or(if code == 204 { Framing::Length(0) } else { Framing::UntilClose });
    let never_started = header_value(headers, names::REJECTED_UNSTARTED) == Some("1");
    let status_outcome = match code {
        200 => None,
        503 | 504 if never_started => Some(ResponseOutcome::Returned),
        // The other 4xx tell of the executor: of its load, its patience, or who it takes work from.
        400 | 404 | 405 | 409 | 411 | 413..=415 | 417 | 422 | 431 => Some(ResponseOutcome::Rejected(code)),
        _ => Some(ResponseOutcome::Failed),
    };
    let load = header_value(headers, names::LOAD).and_then(|text| job_status::read_load_text(text, gauges));
    let close = has_token(headers, "Connection", "close") || head.version == Some(0);
    Some(Ok((
        Some(OpenResponse { status_outcome, framing, chunks: ChunkedDecoder::default(), load, close }),
        end,
    )))
}
