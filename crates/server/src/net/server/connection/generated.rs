//! Connections of clients played by chance: requests one behind the other, split anywhere, cut short, or malformed.

use super::super::super::random::Generator;
use super::*;

const CONNECTIONS: u64 = 20_000;
const BOUNDS: RequestLimits =
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

fn sent(chance: &mut Generator, at: usize) -> Sent {
    let method = chance.pick(&["POST", "POST", "PUT", "HEAD"]);
    let begin = format!("{method} /{at} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {at}\r\n");
    if chance.once_in(12) {
        let bytes = (begin + chance.pick(&REFUSED) + HIDDEN).into_bytes();
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
    let body = chance.pick(&["", "a", HIDDEN]).as_bytes().to_vec();
    let text = String::from_utf8_lossy(&body).to_string();
    let (closes, expects) = (chance.once_in(10), chance.once_in(4) && !body.is_empty());
    let mut head = begin;
    if closes {
        head += "Connection: close\r\n";
    }
    if expects {
        head += "Expect: 100-continue\r\n";
    }
    let (framing, text) = match chance.below(3) {
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
    dialogue: Dialogue,
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
        match self.dialogue.read(&mut self.input, &BOUNDS) {
            Read::Nothing => {}
            Read::Part { expects, .. } => self.continued += usize::from(expects),
            Read::Request(request) => {
                assert!(
                    !self.waiting && !self.over,
                    "a request beside one in hand, or after the last answer"
                );
                self.waiting = true;
                self.seen.push(*request);
            }
            Read::Refused(status) => {
                self.refused = Some(status);
                let over = self.dialogue.answer(&Response::empty(status), false, &mut self.out);
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
        self.over = self.dialogue.answer(&answer, false, &mut self.out).unwrap();
        assert_eq!(self.dialogue.answer(&answer, false, &mut self.out), None, "one answer to a request");
        self.look();
    }
}

fn play(seed: u64) {
    let mut chance = Generator::new(seed);
    let all: Vec<Sent> = (0..1 + chance.below(5)).map(|at| sent(&mut chance, at)).collect();
    let bytes: Vec<u8> = all.iter().flat_map(|sent| sent.bytes.iter().copied()).collect();
    let cut = if chance.once_in(3) { chance.below(bytes.len()) } else { bytes.len() };
    let mut server = Server {
        dialogue: Dialogue::default(),
        input: Vec::new(),
        out: Vec::new(),
        seen: Vec::new(),
        waiting: false,
        continued: 0,
        over: false,
        refused: None,
    };
    for piece in chance.split(&bytes[..cut]) {
        server.input.extend_from_slice(piece);
        server.look();
        if chance.once_in(3) {
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
        let text =
            format!("HTTP/1.1 {status} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", reason(status));
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
        let mut chance = Generator::new(seed);
        let sent = sent(&mut chance, 0);
        if !sent.expects {
            continue;
        }
        tried += 1;
        let (mut dialogue, mut input, mut continued) = (Dialogue::default(), Vec::new(), 0);
        for piece in chance.split(&sent.bytes[..sent.head]) {
            input.extend_from_slice(piece);
            let read = dialogue.read(&mut input, &BOUNDS);
            continued += usize::from(matches!(read, Read::Part { expects: true, .. }));
        }
        assert_eq!(continued, 1, "seed {seed}");
        for byte in &sent.bytes[sent.head..] {
            input.push(*byte);
            let read = dialogue.read(&mut input, &BOUNDS);
            assert!(!matches!(read, Read::Part { expects: true, .. }), "seed {seed}: told again");
        }
        assert!(dialogue.is_busy(), "seed {seed}");
    }
    assert!(tried > 100);
}
