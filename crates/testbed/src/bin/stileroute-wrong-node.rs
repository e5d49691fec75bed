//! A stand-in for a node that is wrong on purpose, by the variable WRONG: `herds`, `old-list` or `twice`; anything else
//! is right. The judge of a day on sockets must find each out: `crates/testbed/tests/wrong_nodes.rs`, `make test-processes`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use stileroute_testbed::stand::read_message;

struct Node {
    wrong: String,
    /// Names, addresses, and whether each takes work.
    list: Mutex<Vec<(String, SocketAddr, bool)>>,
    turn: AtomicUsize,
}

fn ask(stream: &mut TcpStream, path: &str) -> Option<serde_json::Value> {
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n").as_bytes()).ok()?;
    let (_, body) = read_message(stream)?;
    serde_json::from_str(&body).ok()
}

impl Node {
    /// Follows the list, or holds on to the first that it was told.
    fn follow(&self, discovery: SocketAddr) {
        let mut index = 0;
        loop {
            let Ok(mut stream) = TcpStream::connect(discovery) else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            while let Some(told) = ask(&mut stream, &format!("/api/targets?since={index}&timeout_ms=4000")) {
                index = told["index"].as_u64().unwrap_or(index);
                let mut list = self.list.lock().unwrap();
                if self.wrong == "old-list" && !list.is_empty() {
                    continue;
                }
                for entry in told["endpoints"].as_array().into_iter().flatten() {
                    let name = entry["name"].as_str().unwrap_or_default().to_string();
                    let at = entry["address"].as_str().and_then(|at| at.parse().ok());
                    let Some(at) = at else { continue };
                    list.retain(|(own, ..)| *own != name);
                    list.push((name, at, entry["status"] == "Ready"));
                }
                list.sort();
            }
        }
    }

    fn pick(&self) -> Option<SocketAddr> {
        let list = self.list.lock().unwrap();
        let may: Vec<SocketAddr> = list.iter().filter(|(.., takes)| *takes).map(|(_, at, _)| *at).collect();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let turn = match self.wrong.as_str() {
            "herds" => now.as_millis() as usize / 500,
            _ => self.turn.fetch_add(1, Ordering::Relaxed),
        };
        (!may.is_empty()).then(|| may[turn % may.len()])
    }

    /// Sends an op to an executor; its result, if it came to one.
    fn push(&self, text: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.pick()?, Duration::from_millis(400)).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        let (mut held, mut bytes) = (String::new(), [0; 1024]);
        while !held.contains("\"load\"") && !held.starts_with("HTTP/1.1 503") {
            match stream.read(&mut bytes) {
                Ok(read) if read > 0 => held.push_str(&String::from_utf8_lossy(&bytes[..read])),
                _ => break,
            }
        }
        let (_, rest) = held.split_once("\"result\":\"")?;
        rest.split('"').next().map(str::to_string)
    }

    fn serve(self: Arc<Node>, mut stream: TcpStream) {
        while let Some((head, body)) = read_message(&mut stream) {
            let answer = if head.starts_with("GET /-/ready") {
                let knows = self.pick().is_some();
                format!("HTTP/1.1 {} x\r\nContent-Length: 0\r\n\r\n", if knows { 200 } else { 503 })
            } else {
                let text = format!("{head}{body}");
                let second = (self.wrong == "twice").then(|| {
                    let (own, text) = (self.clone(), text.clone());
                    spawn(move || own.push(&text))
                });
                let mut result = None;
                for _ in 0..8 {
                    result = self.push(&text);
                    if result.is_some() {
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
                let _ = second.map(|second| second.join());
                match result {
                    Some(result) => {
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{result}", result.len())
                    }
                    None => "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n".to_string(),
                }
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn main() {
    let path = std::env::var("BALANCER_CONFIG").expect("BALANCER_CONFIG");
    let text = std::fs::read_to_string(path).expect("configuration");
    let config: serde_json::Value = serde_json::from_str(&text).expect("configuration");
    let word = |key: &str| config[key].as_str().unwrap_or_default().to_string();
    let wrong = std::env::var("WRONG").unwrap_or_default();
    let turn = AtomicUsize::new(std::process::id() as usize);
    let node = Arc::new(Node { wrong, list: Mutex::default(), turn });
    let listener = TcpListener::bind(word("listen")).expect("listen");
    let (own, discovery) = (node.clone(), word("discovery").parse().expect("discovery"));
    spawn(move || own.follow(discovery));
    eprintln!("{} serves at {}: a stand-in", word("name"), listener.local_addr().expect("address"));
    for stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let own = node.clone();
        spawn(move || own.serve(stream));
    }
}
