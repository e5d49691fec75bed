//! Generated client connections: pipelined requests that are split anywhere, truncated or malformed.

use super::super::message::reason_phrase;
use super::*;
use crate::net::random::SeededRandom;

const CONNECTION_COUNT: u64 = 20_000;
const LIMITS: RequestLimits =
    RequestLimits { max_head_bytes: 600, max_body_bytes: 200, request_timeout_ms: 0, idle_timeout_ms: 0 };
/// A request that is hidden in the body of another request.
const SMUGGLED_REQUEST: &str = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

/// Header lines of requests that are ambiguous or invalid.
const REJECTED_HEADERS: [&str; 8] = [
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Content-Length: 3\r\nContent-Length: 34\r\n\r\nabc",
    "Content-Length: 3, 3\r\n\r\nabc",
    "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
    "Content-Length : 3\r\n\r\nabc",
    "A: b\nContent-Length: 3\r\n\r\nabc",
    "X-Request-Id: other\r\n\r\n",
];

/// A request as the client sends it.
struct SentRequest {
    bytes: Vec<u8>,
    head: usize,
    body: Vec<u8>,
    method: &'static str,
    expects_continue: bool,
    closes_connection: bool,
    rejected: bool,
}

fn generate_request(random: &mut SeededRandom, index: usize) -> SentRequest {
    let method = random.pick(&["POST", "POST", "PUT", "HEAD"]);
    let request_start = format!("{method} /{index} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {index}\r\n");
    if random.once_in(12) {
        let bytes = (request_start + random.pick(&REJECTED_HEADERS) + SMUGGLED_REQUEST).into_bytes();
        return SentRequest {
            head: 0,
            bytes,
            body: Vec::new(),
            method,
            expects_continue: false,
            closes_connection: true,
            rejected: true,
        };
    }
    let body = random.pick(&["", "a", SMUGGLED_REQUEST]).as_bytes().to_vec();
    let text = String::from_utf8_lossy(&body).to_string();
    let (closes_connection, expects_continue) = (random.once_in(10), random.once_in(4) && !body.is_empty());
    let mut head = request_start;
    if closes_connection {
        head += "Connection: close\r\n";
    }
    if expects_continue {
        head += "Expect: 100-continue\r\n";
    }
    let (framing, text) = match random.below(3) {
        0 if body.is_empty() => (String::new(), text),
        1 if !body.is_empty() => {
            let chunks = format!("{:X};x=y\r\n{text}\r\n0\r\nT: {index}\r\n\r\n", body.len());
            ("Transfer-Encoding: chunked\r\n".to_string(), chunks)
        }
        _ => (format!("Content-Length: {}\r\n", body.len()), text),
    };
    let head = head + &framing + "\r\n";
    let (length, bytes) = (head.len(), (head + &text).into_bytes());
    SentRequest { bytes, head: length, body, method, expects_continue, closes_connection, rejected: false }
}

/// An accepted connection as `Net` holds it, with a role that responds at random times.
struct Server {
    connection: ServerConnection,
    input: Vec<u8>,
    output: Vec<u8>,
    received_requests: Vec<Request>,
    in_progress: bool,
    continue_count: usize,
    is_finished: bool,
    rejected: Option<u16>,
}

impl Server {
    fn receive(&mut self) {
        match self.connection.receive(&mut self.input, &LIMITS) {
            Received::Nothing => {}
            Received::Partial { wants_continue, .. } => self.continue_count += usize::from(wants_continue),
            Received::Request(request) => {
                assert!(
                    !self.in_progress && !self.is_finished,
                    "a request was received while another was in progress, or after the last response"
                );
                self.in_progress = true;
                self.received_requests.push(*request);
            }
            Received::Rejected(error) => {
                let status = error.status();
                self.rejected = Some(status);
                let is_finished = self.connection.respond(&Response::empty(status), false, &mut self.output);
                assert_eq!(is_finished, Some(true), "the connection closes after a rejected request");
                self.is_finished = true;
            }
        }
    }

    fn respond(&mut self) {
        if !std::mem::take(&mut self.in_progress) {
            return;
        }
        let body = self.received_requests.last().map_or(String::new(), |request| request.request_id.clone());
        let response = Response::json(200, body);
        self.is_finished = self.connection.respond(&response, false, &mut self.output).unwrap();
        assert_eq!(
            self.connection.respond(&response, false, &mut self.output),
            None,
            "a second response to one request was written"
        );
        self.receive();
    }
}

fn run_connection(seed: u64) {
    let mut random = SeededRandom::new(seed);
    let sent_requests: Vec<SentRequest> =
        (0..1 + random.below(5)).map(|index| generate_request(&mut random, index)).collect();
    let bytes: Vec<u8> = sent_requests.iter().flat_map(|sent| sent.bytes.iter().copied()).collect();
    let sent_length = if random.once_in(3) { random.below(bytes.len()) } else { bytes.len() };
    let mut server = Server {
        connection: ServerConnection::default(),
        input: Vec::new(),
        output: Vec::new(),
        received_requests: Vec::new(),
        in_progress: false,
        continue_count: 0,
        is_finished: false,
        rejected: None,
    };
    for piece in random.split(&bytes[..sent_length]) {
        server.input.extend_from_slice(piece);
        server.receive();
        if random.once_in(3) {
            server.respond();
        }
    }
    while server.in_progress {
        server.respond();
    }
    // Expect all complete requests up to the first one that ends the connection, and no request from the body of
    // another request.
    let (mut end, mut expected_requests) = (0, Vec::new());
    for (index, sent) in sent_requests.iter().enumerate() {
        end += sent.bytes.len();
        if sent.rejected || end > sent_length {
            break;
        }
        expected_requests.push((index.to_string(), sent));
        if sent.closes_connection {
            break;
        }
    }
    let ids: Vec<&str> = server.received_requests.iter().map(|request| request.request_id.as_str()).collect();
    assert_eq!(ids, expected_requests.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(), "seed {seed}");
    for (request, (id, sent)) in server.received_requests.iter().zip(&expected_requests) {
        assert_eq!((&request.body, &*request.target), (&sent.body, &*format!("/{id}")), "seed {seed}");
    }
    // Expect exactly one response to each request, in order, and no other bytes.
    let mut expected = Vec::new();
    for (index, (id, sent)) in expected_requests.iter().enumerate() {
        let last = sent.closes_connection && index + 1 == expected_requests.len();
        let close = if last { "Connection: close\r\n" } else { "" };
        let body = if sent.method == "HEAD" { "" } else { id };
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{close}Content-Length: {}\r\n\r\n{body}",
            id.len()
        );
        expected.extend_from_slice(text.as_bytes());
    }
    if let Some(status) = server.rejected {
        let text = format!(
            "HTTP/1.1 {status} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            reason_phrase(status)
        );
        expected.extend_from_slice(text.as_bytes());
    }
    let (expected, output) = (String::from_utf8_lossy(&expected), String::from_utf8_lossy(&server.output));
    assert_eq!(expected, output, "seed {seed}");
}

#[test]
fn each_complete_request_is_received_once_and_answered_in_order() {
    (0..CONNECTION_COUNT).for_each(run_connection);
}

#[test]
fn continue_is_sent_once_however_the_head_is_split() {
    let mut tested_count = 0;
    for seed in 0..CONNECTION_COUNT / 4 {
        let mut random = SeededRandom::new(seed);
        let sent = generate_request(&mut random, 0);
        if !sent.expects_continue {
            continue;
        }
        tested_count += 1;
        let (mut connection, mut input, mut continue_count) = (ServerConnection::default(), Vec::new(), 0);
        for piece in random.split(&sent.bytes[..sent.head]) {
            input.extend_from_slice(piece);
            let read = connection.receive(&mut input, &LIMITS);
            continue_count += usize::from(matches!(read, Received::Partial { wants_continue: true, .. }));
        }
        assert_eq!(continue_count, 1, "seed {seed}");
        for byte in &sent.bytes[sent.head..] {
            input.push(*byte);
            let read = connection.receive(&mut input, &LIMITS);
            assert!(
                !matches!(read, Received::Partial { wants_continue: true, .. }),
                "seed {seed}: 100 Continue was requested a second time"
            );
        }
        assert!(connection.is_in_progress(), "seed {seed}");
    }
    assert!(tested_count > 100);
}
