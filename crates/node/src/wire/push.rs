//! The client side of HTTP: a push as bytes, and the answer to it up to its last line.

use super::http::{self, body_framing, has_token, header_value, ChunkedDecoder, Framing, MAX_HEADERS};
use super::job_status::{self, Word};
use super::names;
use crate::interfaces::Job;
use crate::state::buffer_pool::{Buffer, Bytes, Pool};
use std::sync::Arc;

/// The head of a push. What the client sent goes on unchanged, but for the time that is left.
pub fn push_head(job: &dyn Job, host: &str, left_ms: i64) -> String {
    let (method, path) = (job.method(), job.path());
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{}: {left_ms}\r\n", names::BUDGET);
    let given = |text| Some(text).filter(|text: &&str| !text.is_empty());
    let passed = [
        (names::CALL_ID, given(job.id())),
        (names::MARK, job.mark()),
        (names::CATEGORY, given(job.category())),
        (names::COST, job.cost()),
        ("Content-Type", job.content_type()),
    ];
    for (name, value) in passed {
        if let Some(value) = value {
            head += &format!("{name}: {value}\r\n");
        }
    }
    head + &format!("Content-Length: {}\r\n\r\n", job.body().len())
}

/// How a push ended, as the answer tells.
pub enum Told {
    /// With the result that the executor gave.
    Done(Bytes),
    Failed,
    /// Refused with this status, for what the request itself is.
    Unfit(u16),
    /// Turned away or handed back unstarted: it never ran.
    Returned,
    /// The job was killed.
    Lost,
    /// The answer can't be read.
    Garbled,
}

/// What a line, or the end of the answer, has told.
pub enum Heard {
    Started,
    Running(f64),
    /// The last one, with the load report that came along.
    Ended(Told, Option<Vec<f64>>),
}

struct Open {
    /// What a status other than 200 tells.
    refused: Option<Told>,
    framing: Framing,
    chunks: ChunkedDecoder,
    load: Option<Vec<f64>>,
    close: bool,
}

/// Collects the answer to one push.
pub struct Answer {
    held: Option<Buffer>,
    id: String,
    gauges: Arc<Vec<String>>,
    open: Option<Open>,
    /// The last line has been heard.
    over: bool,
}

impl Answer {
    /// None while all buffers are in use: better not to send than not to be able to read the answer.
    pub fn new(pool: &Arc<Pool>, id: &str, gauges: Arc<Vec<String>>) -> Option<Answer> {
        let held = Some(pool.take()?);
        Some(Answer { held, id: id.to_string(), gauges, open: None, over: false })
    }

    /// The answer was read to the end of its framing, and the connection may carry another push.
    pub fn reusable(&self) -> bool {
        let whole = |open: &Open| match open.framing {
            Framing::Length(left) => left == 0,
            Framing::Chunked => open.chunks.is_done(),
            Framing::UntilClose => false,
        };
        self.over && self.open.as_ref().is_some_and(|open| !open.close && whole(open))
    }

    /// Takes bytes in and tells what they say, in order.
    pub fn feed(&mut self, bytes: &[u8], mut tell: impl FnMut(Heard)) {
        if self.open.is_some() {
            return self.body(bytes, &mut tell);
        }
        let mut rest = bytes.to_vec();
        while self.open.is_none() && !self.over {
            let Some(held) = &mut self.held else { return };
            if !held.add(&rest) {
                return self.garbled(&mut tell);
            }
            match read_head(held, &self.gauges) {
                None if held.len() > http::MAX_HEAD_BYTES => return self.garbled(&mut tell),
                None => return,
                Some(Err(())) => return self.garbled(&mut tell),
                // An interim answer has no more than a head: the real one follows.
                Some(Ok((open, end))) => {
                    self.open = open;
                    rest = held[end..].to_vec();
                    held.cut(0);
                }
            }
        }
        self.body(&rest, &mut tell);
    }

    fn garbled(&mut self, tell: &mut impl FnMut(Heard)) {
        // Whatever comes next on this connection can't be told apart from the rest of this answer.
        self.open.iter_mut().for_each(|open| open.close = true);
        self.hear(Heard::Ended(Told::Garbled, None), tell);
    }

    /// The connection has ended: an answer framed by that is whole now.
    pub fn end(&mut self, mut tell: impl FnMut(Heard)) {
        if self.open.as_ref().is_some_and(|open| open.framing == Framing::UntilClose) {
            self.whole(&mut tell);
        }
    }

    fn body(&mut self, bytes: &[u8], tell: &mut impl FnMut(Heard)) {
        let Some(open) = &mut self.open else { return };
        if let Some(told) = open.refused.take() {
            // The status says it all; the body is only read to keep the connection.
            self.over = true;
            tell(Heard::Ended(told, open.load.take()));
        }
        let mut heard = Vec::new();
        let mut lines = Lines { held: &mut self.held, id: &self.id, gauges: &self.gauges, over: self.over };
        let mut take = |part: &[u8]| lines.take(part, &mut heard);
        let sound = match &mut open.framing {
            Framing::Length(left) => {
                let some = bytes.len().min(*left);
                take(&bytes[..some]);
                *left -= some;
                true
            }
            Framing::UntilClose => {
                take(bytes);
                true
            }
            Framing::Chunked => open.chunks.decode(bytes, take).is_ok(),
        };
        let whole = open.framing == Framing::Length(0) || open.chunks.is_done();
        heard.into_iter().for_each(|word| self.hear(word, tell));
        if !sound {
            self.garbled(tell);
        } else if whole {
            self.whole(tell);
        }
    }

    /// The body is whole. A last line may lack its end; without one, nothing tells what became of the job,
    /// as when the connection ends.
    fn whole(&mut self, tell: &mut impl FnMut(Heard)) {
        let mut heard = Vec::new();
        let mut lines = Lines { held: &mut self.held, id: &self.id, gauges: &self.gauges, over: self.over };
        lines.take(b"\n", &mut heard);
        heard.into_iter().for_each(|word| self.hear(word, tell));
        self.hear(Heard::Ended(Told::Lost, None), tell);
    }

    /// Passes a word on, with the head's load report where the last line has none; nothing after that line.
    fn hear(&mut self, mut word: Heard, tell: &mut impl FnMut(Heard)) {
        if self.over {
            return;
        }
        if let Heard::Ended(told, load) = &mut word {
            self.over = true;
            if let Some(open) = &mut self.open {
                *load = load.take().or(open.load.take());
                open.close |= matches!(told, Told::Garbled);
            }
        }
        tell(word);
    }
}

/// Puts lines together, wherever they were split.
struct Lines<'a> {
    held: &'a mut Option<Buffer>,
    id: &'a str,
    gauges: &'a [String],
    over: bool,
}

impl Lines<'_> {
    fn take(&mut self, part: &[u8], heard: &mut Vec<Heard>) {
        for piece in part.split_inclusive(|byte| *byte == b'\n') {
            let Some(held) = self.held.as_mut().filter(|_| !self.over) else { return };
            if !held.add(piece) {
                self.over = true;
                return heard.push(Heard::Ended(Told::Garbled, None));
            }
            if !piece.ends_with(b"\n") {
                return;
            }
            let (word, load) = job_status::read(held, self.id, self.gauges);
            match word {
                Word::Started => heard.push(Heard::Started),
                Word::Running(share) => heard.push(Heard::Running(share)),
                Word::Unknown => {}
                Word::Done(part) => {
                    self.over = true;
                    if let Some(held) = self.held.take() {
                        heard.push(Heard::Ended(Told::Done(Bytes::new(held, part)), load));
                    }
                    return;
                }
                Word::Failed => heard.push(Heard::Ended(Told::Failed, load)),
                Word::Returned => heard.push(Heard::Ended(Told::Returned, load)),
                Word::Lost => heard.push(Heard::Ended(Told::Lost, load)),
                Word::Garbled => heard.push(Heard::Ended(Told::Garbled, None)),
            }
            self.over = matches!(heard.last(), Some(Heard::Ended(..)));
            if let Some(held) = self.held.as_mut() {
                held.cut(0);
            }
        }
    }
}

/// Reads the head of an answer: nothing yet, a fault, an interim answer (no `Open`), or the answer.
fn read_head(bytes: &[u8], gauges: &[String]) -> Option<Result<(Option<Open>, usize), ()>> {
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
    let unstarted = header_value(headers, names::NEVER_RAN) == Some("1");
    let refused = match code {
        200 => None,
        503 | 504 if unstarted => Some(Told::Returned),
        // The other 4xx tell of the executor: of its load, its patience, or who it takes work from.
        400 | 404 | 405 | 409 | 411 | 413..=415 | 417 | 422 | 431 => Some(Told::Unfit(code)),
        _ => Some(Told::Failed),
    };
    let load = header_value(headers, names::LOAD).and_then(|text| job_status::read_load_text(text, gauges));
    let close = has_token(headers, "Connection", "close") || head.version == Some(0);
    Some(Ok((Some(Open { refused, framing, chunks: ChunkedDecoder::default(), load, close }), end)))
}
