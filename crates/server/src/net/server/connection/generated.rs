//! Connections of clients played by random: requests one behind the other, split anywhere, cut short, or malformed.

use super::super::message::reason_phrase;
use super::*;
use crate::net::random::SeededRandom;

const CONNECTIONS: u64 = 20_000;
const LIMITS: RequestLimits =
    RequestLimits { max_head_bytes: 600, max_body_bytes: 200, request_timeout_ms: 0, idle_timeout_ms: 0 };
/// A request in the body of another.
const HIDDEN: &str = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

/// Beginnings of requests that can be read in more than one way, or in none.
const REFUSED: [&str; 8] = [
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Content-Length: 3\r\nContent-Length: 34\r\n\r\nabc",
    "Content-Length: 3, 3\r\n\r\nabc",
    "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
    "Content-Length : 3\r\n\r\nabc",
    "A: b\nContent-Length: 3\r\n\r\nabc",
    "X-Request-Id: other\r\n\r\n",
];

/// A request as it is sent.
struct Sent {
    bytes: Vec<u8>,
    head: usize,
    body: Vec<u8>,
    method: &'static str,
    expects: bool,
    closes: bool,
    refused: bool,
}

fn sent(random: &mut SeededRandom, at: usize) -> Sent {
    let method = random.pick(&["POST", "POST", "PUT", "HEAD"]);
    let begin = format!("{method} /{at} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {at}\r\n");
    if random.once_in(12) {
        let bytes = (begin + random.pick(&REFUSED) + HIDDEN).into_bytes();
        return Sent {
            head: 0,
            bytes,
            body: Vec::new(),
            method,
            expects: false,
            closes: true,
            refused: true,
        };
    }
    let body = random.pick(&["", "a", HIDDEN]).as_bytes().to_vec();
    let text = String::from_utf8_lossy(&body).to_string();
    let (closes, expects) = (random.once_in(10), random.once_in(4) && !body.is_empty());
    let mut head = begin;
    if closes {
        head += "Connection: close\r\n";
    }
    if expects {
        head += "Expect: 100-continue\r\n";
    }
    let (framing, text) = match random.below(3) {
        0 if body.is_empty() => (String::new(), text),
        1 if !body.is_empty() => {
            let chunks = format!("{:X};x=y\r\n{text}\r\n0\r\nT: {at}\r\n\r\n", body.len());
            ("Transfer-Encoding: chunked\r\n".to_string(), chunks)
        }
        _ => (format!("Content-Length: {}\r\n", body.len()), text),
    };
    let head = head + &framing + "\r\n";
    let (length, bytes) = (head.len(), (head + &text).into_bytes());
    Sent { bytes, head: length, body, method, expects, closes, refused: false }
}

/// The connection as its owner in `Net` keeps it, and a role that answers when it likes.
struct Server {
    connection: ServerConnection,
    input: Vec<u8>,
    out: Vec<u8>,
    seen: Vec<Request>,
    waiting: bool,
    continued: usize,
    over: bool,
    refused: Option<u16>,
}

impl Server {
    fn look(&mut self) {
        match self.connection.receive(&mut self.input, &LIMITS) {
            Received::Nothing => {}
            Received::Partial { wants_continue, .. } => self.continued += usize::from(wants_continue),
            Received::Request(request) => {
                assert!(
                    !self.waiting && !self.over,
                    "a request beside one in hand, or after the last answer"
                );
                self.waiting = true;
                self.seen.push(*request);
            }
            Received::Rejected(error) => {
                let status = error.status();
                self.refused = Some(status);
                let over = self.connection.respond(&Response::empty(status), false, &mut self.out);
                assert_eq!(over, Some(true), "who can't be understood is not listened to any longer");
                self.over = true;
            }
        }
    }

    fn answer(&mut self) {
        if !std::mem::take(&mut self.waiting) {
            return;
        }
        let body = self.seen.last().map_or(String::new(), |request| request.request_id.clone());
        let answer = Response::json(200, body);
        self.over = self.connection.respond(&answer, false, &mut self.out).unwrap();
        assert_eq!(self.connection.respond(&answer, false, &mut self.out), None, "one answer to a request");
        self.look();
    }
}

fn play(seed: u64) {
    let mut random = SeededRandom::new(seed);
    let all: Vec<Sent> = (0..1 + random.below(5)).map(|at| sent(&mut random, at)).collect();
    let bytes: Vec<u8> = all.iter().flat_map(|sent| sent.bytes.iter().copied()).collect();
    let cut = if random.once_in(3) { random.below(bytes.len()) } else { bytes.len() };
    let mut server = Server {
        connection: ServerConnection::default(),
        input: Vec::new(),
        out: Vec::new(),
        seen: Vec::new(),
        waiting: false,
        continued: 0,
        over: false,
        refused: None,
    };
    for piece in random.split(&bytes[..cut]) {
        server.input.extend_from_slice(piece);
        server.look();
        if random.once_in(3) {
            server.answer();
        }
    }
    while server.waiting {
        server.answer();
    }
    // Those that are whole, up to the first that ends the connection; not one out of another's body.
    let (mut end, mut due) = (0, Vec::new());
    for (at, sent) in all.iter().enumerate() {
        end += sent.bytes.len();
        if sent.refused || end > cut {
            break;
        }
        due.push((at.to_string(), sent));
        if sent.closes {
            break;
        }
    }
    let ids: Vec<&str> = server.seen.iter().map(|request| request.request_id.as_str()).collect();
    assert_eq!(ids, due.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(), "seed {seed}");
    for (request, (id, sent)) in server.seen.iter().zip(&due) {
        assert_eq!((&request.body, &*request.target), (&sent.body, &*format!("/{id}")), "seed {seed}");
    }
    // One answer to each, in order, and the bytes of none beside them.
    let mut told = Vec::new();
    for (at, (id, sent)) in due.iter().enumerate() {
        let last = sent.closes && at + 1 == due.len();
        let close = if last { "Connection: close\r\n" } else { "" };
        let body = if sent.method == "HEAD" { "" } else { id };
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{close}Content-Length: {}\r\n\r\n{body}",
            id.len()
        );
        told.extend_from_slice(text.as_bytes());
    }
    if let Some(status) = server.refused {
        let text = format!(
            "HTTP/1.1 {status} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            reason_phrase(status)
        );
        told.extend_from_slice(text.as_bytes());
    }
    let (told, out) = (String::from_utf8_lossy(&told), String::from_utf8_lossy(&server.out));
    assert_eq!(told, out, "seed {seed}");
}

#[test]
fn each_whole_request_is_read_once_and_answered_in_order() {
    (0..CONNECTIONS).for_each(play);
}

#[test]
fn who_waits_before_the_body_is_told_to_go_on_once_however_the_head_is_split() {
    let mut tried = 0;
    for seed in 0..CONNECTIONS / 4 {
        let mut random = SeededRandom::new(seed);
        let sent = sent(&mut random, 0);
        if !sent.expects {
            continue;
        }
        tried += 1;
        let (mut connection, mut input, mut continued) = (ServerConnection::default(), Vec::new(), 0);
        for piece in random.split(&sent.bytes[..sent.head]) {
            input.extend_from_slice(piece);
            let read = connection.receive(&mut input, &LIMITS);
            continued += usize::from(matches!(read, Received::Partial { wants_continue: true, .. }));
        }
        assert_eq!(continued, 1, "seed {seed}");
        for byte in &sent.bytes[sent.head..] {
            input.push(*byte);
            let read = connection.receive(&mut input, &LIMITS);
            assert!(
                !matches!(read, Received::Partial { wants_continue: true, .. }),
                "seed {seed}: told again"
            );
        }
        assert!(connection.is_in_progress(), "seed {seed}");
    }
    assert!(tried > 100);
}
