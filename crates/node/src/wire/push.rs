//! The client side of HTTP: formats a push and parses the response up to its final status line.

use super::http::{self, body_framing, has_token, header_value, ChunkedDecoder, Framing, MAX_HEADERS};
use super::job_status::{self, StatusLine};
use super::names;
use crate::interfaces::Job;
use crate::state::buffer_pool::{Buffer, Bytes, Pool};
use std::sync::Arc;

/// Formats the head of a push. The client's headers are forwarded unchanged, except that the time budget is
/// reduced to what remains.
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

/// How a push ended, according to the response.
pub enum ResponseOutcome {
    /// The job is done; this is the result from the executor.
    Done(Bytes),
    Failed,
    /// The executor rejected the request itself as invalid, with this status.
    Rejected(u16),
    /// Rejected or handed back before it started: the job never ran.
    Returned,
    /// The job was killed on the executor.
    Lost,
    /// The response could not be parsed.
    Malformed,
}

/// An event parsed from the response.
pub enum ResponseEvent {
    Started,
    Running(f64),
    /// The final event, with the load report that came with it.
    Final(ResponseOutcome, Option<Vec<f64>>),
}

struct OpenResponse {
    /// The outcome implied by a status other than 200.
    status_outcome: Option<ResponseOutcome>,
    framing: Framing,
    chunks: ChunkedDecoder,
    load: Option<Vec<f64>>,
    close: bool,
}

/// Parses the response to one push.
pub struct ResponseParser {
    buffer: Option<Buffer>,
    id: String,
    gauges: Arc<Vec<String>>,
    open: Option<OpenResponse>,
    /// The final event was emitted; nothing further is reported for this push.
    is_final: bool,
}

impl ResponseParser {
    /// Returns `None` while all buffers are in use: the push is then not sent, since its response could not be
    /// read.
    pub fn new(pool: &Arc<Pool>, id: &str, gauges: Arc<Vec<String>>) -> Option<ResponseParser> {
        let buffer = Some(pool.take()?);
        Some(ResponseParser { buffer, id: id.to_string(), gauges, open: None, is_final: false })
    }

    /// Whether the response was read to its end and the connection can carry another push.
    pub fn reusable(&self) -> bool {
        let complete = |open: &OpenResponse| match open.framing {
            Framing::Length(remaining) => remaining == 0,
            Framing::Chunked => open.chunks.is_done(),
            Framing::UntilClose => false,
        };
        self.is_final && self.open.as_ref().is_some_and(|open| !open.close && complete(open))
    }

    /// Adds bytes and emits their events in order.
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
                // An interim response consists of a head only; the final response follows.
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
        // After a malformed response its end is unknown, so the connection cannot be reused.
        self.open.iter_mut().for_each(|open| open.close = true);
        self.emit(ResponseEvent::Final(ResponseOutcome::Malformed, None), on_event);
    }

    /// The connection was closed: a response that is delimited by the close is now complete.
    pub fn end(&mut self, mut on_event: impl FnMut(ResponseEvent)) {
        if self.open.as_ref().is_some_and(|open| open.framing == Framing::UntilClose) {
            self.complete(&mut on_event);
        }
    }

    fn body(&mut self, bytes: &[u8], on_event: &mut impl FnMut(ResponseEvent)) {
        let Some(open) = &mut self.open else { return };
        if let Some(outcome) = open.status_outcome.take() {
            // The status alone determines the outcome; the body is read only so that the connection can be
            // reused.
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

    /// The body is complete. The last line may lack its line end. Without a final line the job counts as lost,
    /// as if the connection had been closed.
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

    /// Emits an event. A final event without a load report gets the one from the head. After the final event
    /// nothing is emitted.
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

/// Assembles status lines from chunks.
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

/// Parses the head of a response: `None` if incomplete, an error, an interim response (no `OpenResponse`), or
/// the final response.
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
        // Other 4xx statuses concern the executor (its load, its time-outs, its access rules) and not the
        // request.
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
