//! A small system on loopback addresses: one control node, two stores, one edge, and an executor played here.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jzon::JsonValue;

/// One service has an executor, the other has none and a ceiling.
pub const CONFIGURATION: &str = r#"{"revision":7,"routes":[
 {"name":"quick","hostname":"quay.example","path_prefix":"/in/","route_type":"deferred","timeout_ms":1500,
  "target_ms":80,"priority":1,"backend":"crane","max_tries":4,"max_wait_s":60,"run_target_ms":1000},
 {"name":"stuck","hostname":"quay.example","path_prefix":"/stuck/","route_type":"deferred","timeout_ms":1500,
  "target_ms":80,"priority":1,"backend":"lock","max_tries":4,"max_wait_s":600,"run_target_ms":1000}],
 "backends":[{"name":"crane"},{"name":"lock","rate_per_s":5}],"limits":{"header_timeout_ms":1000}}"#;

/// Name, host, what it serves, its role and its internal port.
const NODES: [(&str, u8, &str, &str, u16); 4] = [
    ("core-1", 1, "control", "core", 17300),
    ("store-1", 2, "storage", "store", 17301),
    ("store-2", 3, "storage", "store", 17301),
    ("edge-1", 4, "edge", "edge", 17302),
];

pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stilerouted"));
    command.env_remove("STILEROUTE_BOOT").env_remove("STILEROUTE_LOG").stdin(Stdio::null());
    command
}

/// The folder, the processes and the executor; all of it ends with the value.
pub struct Fleet {
    pub dir: PathBuf,
    /// The first three parts of its addresses.
    pub net: String,
    deadline: Instant,
    children: Vec<(&'static str, Child)>,
    is_over: Arc<AtomicBool>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if std::thread::panicking() {
            for (name, _) in &self.children {
                let log = fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default();
                eprintln!("{name}:\n{log}");
            }
        }
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// Starts all processes, and waits until the configuration is in force and the edge is ready.
    pub fn start() -> Fleet {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("stilerouted-interface-{pid}"));
        fs::create_dir_all(&dir).unwrap();
        // The nets from 64 on are those of the other tests.
        let net = format!("127.{}.{}", 2 + pid / 250 % 60, 1 + pid % 250);
        let deadline = Instant::now() + Duration::from_secs(60);
        let mut fleet = Fleet { dir, net, deadline, children: Vec::new(), is_over: Arc::default() };
        for (name, host, serves, role, _) in NODES {
            fleet.start_node(name, host, serves, role);
        }
        fleet.play_executor();
        let replace = || fleet.http("1:18262", "POST", "/v1/settings/replace", "", CONFIGURATION);
        fleet.eventually(|| replace().filter(|answer| answer.0 == 200)).expect("a configuration is taken");
        let readiness = || fleet.http("4:18268", "GET", "/v1/readiness", "", "");
        fleet.eventually(|| readiness().filter(|answer| answer.0 == 200)).expect("the edge is ready");
        fleet
    }

    fn start_node(&mut self, name: &'static str, host: u8, serves: &str, role: &str) {
        let net = &self.net;
        let bind = match role {
            "edge" => format!(r#""front":"{net}.{host}:18263","readiness":"{net}.{host}:18268""#),
            "core" => format!(r#""control":"{net}.{host}:18262""#),
            _ => String::new(),
        };
        let data = if role == "edge" { "null".to_string() } else { format!("{:?}", self.dir.join(name)) };
        let settings = format!(
            r#"{{"node_name":"{name}","role":"any","machine_class":"any","serves":["{serves}"],"ip":"{net}.{host}",
            "zone":"z1","region":"r","zones":{{"z1":"r"}},"bind_addresses":{{{bind}}},"internal_ports":[17300,17315],
            "seed_nodes":["{net}.1:18262"],"first_start":true,"limits":{{"disk_mb":64}},"data_dir":{data},
            "beat_interval_ms":200,"tolerate":{{"machine_losses":1}},"bounds":{{"grace_s":6}}}}"#
        );
        let boot = self.dir.join(format!("{name}.json"));
        fs::write(&boot, settings).unwrap();
        let log = File::create(self.dir.join(format!("{name}.log"))).unwrap();
        let mut command = program();
        command.arg("--boot").arg(boot).arg(role).stdout(Stdio::null()).stderr(log);
        self.children.push((name, command.spawn().unwrap()));
    }

    /// What `look` finds, or nothing at the end of the test's time.
    pub fn eventually<T>(&self, mut look: impl FnMut() -> Option<T>) -> Option<T> {
        while Instant::now() < self.deadline {
            if let Some(found) = look() {
                return Some(found);
            }
            std::thread::park_timeout(Duration::from_millis(50));
        }
        None
    }

    /// A process of each class, and its internal address.
    pub fn addresses(&self) -> Vec<(&'static str, String)> {
        let all = NODES.iter().filter(|node| node.0 != "store-2");
        all.map(|(_, host, _, role, port)| (*role, format!("{}.{host}:{port}", self.net))).collect()
    }

    pub fn ask(&self, words: &[&str]) -> Output {
        self.ask_at(&format!("{}.1:17300", self.net), words)
    }

    pub fn ask_at(&self, address: &str, words: &[&str]) -> Output {
        program().args(words).args(["--at", address]).output().unwrap()
    }

    pub fn json(&self, words: &[&str]) -> JsonValue {
        let output = self.ask(&[words, &["--json"]].concat());
        jzon::parse(&String::from_utf8_lossy(&output.stdout)).unwrap_or(JsonValue::Null)
    }

    /// Status, head and body of an answer, if there is one.
    fn http(
        &self,
        at: &str,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Option<(u16, String, String)> {
        http(&format!("{}.{at}", self.net), method, path, headers, body)
    }

    fn accepted_message(&self, path: &str, id: &str) -> String {
        let headers = format!("X-Request-Id: {id}\r\n");
        let send = || self.http("4:18263", "POST", path, &headers, "heavy").filter(|answer| answer.0 == 202);
        let head = self.eventually(send).expect("a message is taken").1;
        let name = head.lines().find_map(|line| line.strip_prefix("X-Queue-Message-Id: "));
        name.unwrap().to_string()
    }

    /// The name of a message that has run, the last of some: the stores take them by turns, and each has delivered one.
    pub fn delivered_message(&self) -> String {
        let deliver = |number: u8| {
            let name = self.accepted_message("/in/1", &format!("m-{number}"));
            let state = || self.http("4:18263", "GET", &format!("/v1/message/{name}"), "", "");
            let complete = || state().filter(|answer| answer.2.contains(&format!("s-m-{number}")));
            self.eventually(complete).expect("the message has run");
            name
        };
        (1..=3).map(deliver).for_each(drop);
        deliver(4)
    }

    /// The name of a message whose service has no executor.
    pub fn waiting_message(&self) -> String {
        self.accepted_message("/stuck/1", "m-9")
    }

    /// Files with the configuration that is in force, another one under its number, and one under a lower number.
    pub fn configurations(&self) -> (String, String, String) {
        let file = |name: &str, text: &str| {
            let path = self.dir.join(name);
            fs::write(&path, text).unwrap();
            path.to_str().unwrap().to_string()
        };
        (
            file("own.json", CONFIGURATION),
            file("other.json", &CONFIGURATION.replacen("\"max_wait_s\":60,", "\"max_wait_s\":61,", 1)),
            file("lower.json", &CONFIGURATION.replacen("\"revision\":7", "\"revision\":6", 1)),
        )
    }

    /// Ends all processes in order.
    pub fn end(&mut self) {
        for (name, child) in &mut self.children {
            let signalled = Command::new("kill").arg(child.id().to_string()).status().unwrap();
            assert!(signalled.success() && child.wait().unwrap().success(), "{name}");
        }
        self.children.clear();
    }

    /// Serves the service `crane`, and sends its heartbeats.
    fn play_executor(&self) {
        let at = format!("{}.9:18080", self.net);
        let listener = TcpListener::bind(&at).unwrap();
        std::thread::spawn(move || {
            listener.incoming().flatten().for_each(|stream| drop(std::thread::spawn(move || serve(stream))));
        });
        let (control, is_over) = (format!("{}.1:18262", self.net), Arc::clone(&self.is_over));
        std::thread::spawn(move || {
            for count in 1.. {
                let body = format!(
                    r#"{{"backend":"crane","address":"{at}","zone":"z1","revision":"v1","capacity":4,
                    "state":"serving","cold_left_ms":0,"call_count":{count}}}"#
                );
                let _ = http(&control, "POST", "/v1/servers/i-crane-1/heartbeat", "", &body);
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::park_timeout(Duration::from_millis(150));
            }
        });
    }
}

fn http(at: &str, method: &str, path: &str, headers: &str, body: &str) -> Option<(u16, String, String)> {
    let address: SocketAddr = at.parse().unwrap();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: quay.example\r\nConnection: close\r\n{headers}")
        .ok()?;
    write!(stream, "Content-Length: {length}\r\n\r\n{body}").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, head.to_string(), body.to_string()))
}

/// Answers each request on a connection with success.
fn serve(mut stream: TcpStream) {
    let (mut bytes, mut some) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut some) {
            Ok(read) if read > 0 => bytes.extend_from_slice(&some[..read]),
            _ => return,
        }
        let text = String::from_utf8_lossy(&bytes).to_string();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let header = |name: &str| {
            let line = head.lines().find(|line| line.starts_with(name))?;
            Some(line.split_once(": ")?.1.to_string())
        };
        let length: usize = header("Content-Length").map_or(0, |length| length.parse().unwrap());
        if body.len() < length {
            continue;
        }
        bytes.clear();
        let id = header("X-Request-Id").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Server-Seal: s-{id}\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = stream.write_all(answer.as_bytes());
    }
}
