//! Shared by the tests: a node process with fake executors and a fake discovery service on loopback.
#![allow(dead_code)]

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use stileroute_testbed::stand::{entries, read_message, Act, Discovery, Fleet, NodeProcess, Script, Signal};

pub const WAIT: Duration = Duration::from_secs(20);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until a condition holds that another thread brings about.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < WAIT, "never happened: {what}");
        sleep(ms(5));
    }
}

pub const DONE: Act =
    Act::Lines(0, &["{\"state\":\"started\"}\n{\"state\":\"do", "ne\",\"result\":\"a\\\"b\"}\n"]);
pub const FULL: Act = Act::Text("HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
pub const BUSY: Act = Act::Text("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
pub const INVALID: Act = Act::Text("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
pub const ERROR: Act = Act::Text("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");

/// A node process with its addresses; it is killed at the end of the test.
pub struct Node {
    pub process: NodeProcess,
    pub discovery: SocketAddr,
    pub at: SocketAddr,
}

pub const SETTINGS: &str = r#"{"balancers":1,"caps":{"cancel":true,"retry-after":true,"max-retry-after-ns":2000000000,"max-pushes":4,"dial-timeout-ns":300000000,"keepalive-ns":60000000000},"categories":[
{"name":"safe","target-latency-ns":2000000000,"aim-stretch":2,"semantics":"repeatable","ttl-ns":20000000000,"benefit":1},
{"name":"once","target-latency-ns":8000000000,"semantics":"once","ttl-ns":20000000000,"benefit":1},
{"name":"marked","target-latency-ns":8000000000,"semantics":"by_key","key-scope":"all","window-ns":5000000000,"ttl-ns":20000000000,"benefit":1}],
"discovery":"automatic","extra":{"tells-start":true},"failure-domains":["a"],"shapes":["m"],"granularity-ns":4000000,
"report":{"names":["rif"],"source":"piggyback"},
"rules":{"overload-factor":4,"start-capacity":0.3,"tip-after-ns":1000000000,"warm-within-ns":1000000000}}"#;

impl Node {
    pub fn start(discovery: SocketAddr, known: &str) -> Node {
        Node::start_with(discovery, known, SETTINGS, 1024)
    }

    pub fn start_with(discovery: SocketAddr, known: &str, settings: &str, sockets: usize) -> Node {
        let known = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{known}]}}"#);
        let text = format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f","limits":{{"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        let process = NodeProcess::start(
            Path::new(env!("CARGO_BIN_EXE_stileroute")),
            &text,
            &[("BALANCER_DISCOVERY", discovery.to_string())],
        )
        .unwrap();
        Node { discovery, at: process.at, process }
    }

    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).unwrap();
    }

    /// Replaces part of the node's configuration file and makes the node reload it.
    pub fn reload(&self, from: &str, to: &str) {
        self.process.reload(from, to).unwrap();
    }

    pub fn logged(&self, word: &str) -> bool {
        self.process.logged(word)
    }

    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        stream
    }

    pub fn ask(&self, category: &str, budget_ms: u64) -> Answer {
        ask(&mut self.client(), category, budget_ms)
    }

    pub fn ready(&self) -> u16 {
        let mut client = self.client();
        client.write_all(b"GET /-/ready HTTP/1.1\r\n\r\n").unwrap();
        read_answer(&mut client).0
    }
}

/// Status, head and body of a response.
pub type Answer = (u16, String, String);

pub fn request(category: &str, budget_ms: u64) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let id = NUMBER.fetch_add(1, Ordering::SeqCst);
    let cost = if category == "safe" { 1_000_000 } else { 20_000 };
    format!(
        "POST /api/k?x=%20 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {category}\r\n\
         X-Budget-Ms: {budget_ms}\r\nIdempotency-Key: m{id}\r\nX-Call-Cost: {cost}\r\nX-Call-Info: slots=1\r\n\
         Content-Length: 9\r\n\r\nHTTP/1.1 "
    )
}

pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let (head, body) = read_message(stream).expect("an answer");
    (head[9..12].parse().unwrap(), head, body)
}

pub fn ask(stream: &mut TcpStream, category: &str, budget_ms: u64) -> Answer {
    stream.write_all(request(category, budget_ms).as_bytes()).unwrap();
    read_answer(stream)
}

/// Starts a node with `count` executors that follow the script and are announced by discovery.
pub fn start_node_with_executors(
    count: usize,
    script: Script,
) -> (Node, Arc<Fleet>, Arc<Discovery>, Vec<SocketAddr>) {
    let (fleet, addresses) = Fleet::start(count, script);
    let (discovery, at) = Discovery::start(entries(&addresses));
    let node = Node::start(at, "");
    wait_until("ready", || node.ready() == 200);
    (node, fleet, discovery, addresses)
}

pub fn first(number: usize, act: Act) -> Act {
    match number {
        0 => act,
        _ => DONE,
    }
}
