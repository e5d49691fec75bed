//! A migration between configurations: nodes of the old kind (load reports, no messages between nodes) and of
//! the new kind (no load reports, messages, tenant shares, priced connections) run side by side with the same
//! executors.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use stileroute_testbed::stand::{entry, read_message, Discovery, NodeProcess};

const BINARY: &str = env!("CARGO_BIN_EXE_stileroute");
const EXECUTORS: usize = 4;
const SLOTS: usize = 3;
const GRACE: Duration = Duration::from_millis(1000);
/// The keys that only the new kind of node reads, and what the old kind has instead.
const OLD_SETTINGS: &str = r#""report":{"names":["rif"],"source":"piggyback"}"#;
const NEW_SETTINGS: &str = r#""report":{"names":[],"source":"silent"},"prices":{"handshake":0.05,"peer":0.01,"cross-zone":0.02},
"score-parts":{"tail":0.35,"worst-class":0.1},"surplus-benefit":0.05,"weight-kind":"rough",
"tenants":[{"name":"shore","quota-per-s":400},{"name":"harbour","quota-per-s":400}]"#;
const OPERATOR: &str = "[node]\ntenant-header = 'X-Tenant'\n";

/// Executors with a few slots that report a start, run a job, and reject pushes beyond their slots.
#[derive(Default)]
struct Fleet {
    /// Jobs that ran: time, executor and id.
    ran: Mutex<Vec<(Instant, usize, String)>>,
    running: [AtomicUsize; EXECUTORS],
}

impl Fleet {
    fn start() -> (Arc<Fleet>, Vec<SocketAddr>) {
        let fleet = Arc::new(Fleet::default());
        let open = |executor: usize| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let (at, fleet) = (listener.local_addr().unwrap(), fleet.clone());
            spawn(move || {
                for stream in listener.incoming() {
                    let (fleet, stream) = (fleet.clone(), stream.unwrap());
                    spawn(move || fleet.serve(executor, stream));
                }
            });
            at
        };
        let addresses = (0..EXECUTORS).map(open).collect();
        (fleet, addresses)
    }

    fn serve(&self, executor: usize, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        while let Some((head, _)) = read_message(&mut stream) {
            let running = &self.running[executor];
            if running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                running.fetch_sub(1, Ordering::SeqCst);
                let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let id = head.lines().find_map(|line| line.strip_prefix("X-Call-Id: ")).unwrap().to_string();
            self.ran.lock().unwrap().push((Instant::now(), executor, id));
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let mut line = |text: String| {
                let _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            };
            line("{\"state\":\"started\"}\n".to_string());
            sleep(Duration::from_millis(60));
            let now = running.fetch_sub(1, Ordering::SeqCst) - 1;
            line(format!("{{\"state\":\"done\",\"result\":\"x\",\"load\":{{\"inflight\":{now}}}}}\n"));
            let _ = stream.write_all(b"0\r\n\r\n");
        }
    }
}

fn config(me: usize, new: bool, discovery: SocketAddr, peers: &[SocketAddr]) -> String {
    let all: Vec<String> = peers.iter().map(|at| format!("\"{at}\"")).collect();
    let peers_setting =
        if new { format!(r#""peers":{{"nodes":[{}]}},"#, all.join(",")) } else { String::new() };
    let kind_settings = if new { NEW_SETTINGS } else { OLD_SETTINGS };
    format!(
        r#"{{"name":"n{me}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{me}f",{peers_setting}"settings":{{
"balancers":4,"me":{me},"caps":{{"cancel":true,"peers":{new},"retry-after":true,"max-retry-after-ns":2000000000,
"max-pushes":4,"dial-timeout-ns":300000000,"keepalive-ns":10000000000}},"categories":[
{{"name":"safe","target-latency-ns":1000000000,"semantics":"repeatable","ttl-ns":3000000000,"benefit":1}},
{{"name":"once","target-latency-ns":1000000000,"semantics":"once","ttl-ns":3000000000,"benefit":1}}],
"extra":{{"tells-start":true}},"failure-domains":["a"],"shapes":["m"],"granularity-ns":4000000,{kind_settings},
"rules":{{"overload-factor":4,"start-capacity":0.3,"tip-after-ns":1000000000,"warm-within-ns":1000000000}}}}}}"#
    )
}

/// Sends one op on its own connection; returns its id, category and status.
fn ask(at: SocketAddr, number: usize) -> (String, &'static str, u16) {
    let (id, category) = (format!("{number:016x}"), ["safe", "once"][number % 2]);
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    let tenant = ["shore", "harbour"][number / 2 % 2];
    let text = format!(
        "POST /api/x HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: {category}\r\nX-Budget-Ms: 3000\r\n\
         X-Tenant: {tenant}\r\nX-Call-Cost: 60000\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).unwrap();
    let (head, _) = read_message(&mut stream).expect("an answer in time");
    (id, category, head[9..12].parse().unwrap())
}

#[test]
fn nodes_of_old_and_new_configuration_share_executors_and_neither_starves() {
    let (fleet, addresses) = Fleet::start();
    let listed = |drained: bool| {
        let status = |x: usize| if drained && x == 0 { "Draining" } else { "Ready" };
        let line = |(x, at)| entry(x, at, status(x)).replace("\"weight\":1.0", "\"weight\":3.0");
        addresses.iter().enumerate().map(line).collect::<Vec<_>>().join(",")
    };
    let (discovery, at) = Discovery::start(listed(false));
    let sockets: Vec<UdpSocket> = (0..4).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let peers: Vec<SocketAddr> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    drop(sockets);
    let is_new = |me: usize| me >= 2;
    let nodes: Vec<NodeProcess> = (0..4)
        .map(|me| {
            let config = config(me, is_new(me), at, &peers);
            NodeProcess::start_with(Path::new(BINARY), &config, OPERATOR).unwrap()
        })
        .collect();
    let start = Instant::now();
    for node in &nodes {
        while ready(node.at) != 200 {
            assert!(start.elapsed() < Duration::from_secs(10), "a node is not ready");
        }
    }
    // These datagrams come from no peer and are malformed. They must be counted and dropped without further
    // effect.
    let foreign_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    (0..50u8).for_each(|n| drop(foreign_socket.send_to(&[n; 40], peers[3])));
    let (number, answers) = (AtomicUsize::new(1), Mutex::new(Vec::new()));
    let (started, drained) = (Instant::now(), Mutex::new(None));
    std::thread::scope(|scope| {
        for client in 0..48 {
            // The load is three quarters of the executors' capacity, spread evenly over the nodes.
            let (node, number, answers) = (client % 4, &number, &answers);
            let at = nodes[node].at;
            scope.spawn(move || {
                sleep(Duration::from_millis(client as u64 * 7));
                while started.elapsed() < Duration::from_secs(5) {
                    let answer = ask(at, number.fetch_add(1, Ordering::SeqCst));
                    answers.lock().unwrap().push((node, answer));
                    sleep(Duration::from_millis(340));
                }
            });
        }
        sleep(Duration::from_millis(2500));
        discovery.tell(6, true, listed(true));
        *drained.lock().unwrap() = Some(Instant::now());
    });
    let (ran, answers) = (fleet.ran.lock().unwrap(), answers.into_inner().unwrap());
    let mut runs: HashMap<&str, usize> = HashMap::new();
    ran.iter().for_each(|(_, _, id)| *runs.entry(id).or_default() += 1);
    // Each op gets one response (a missing one makes its client fail). No at-most-once op may run twice, and
    // none that ran may be nacked.
    for (_, (id, category, status)) in answers.iter().filter(|(_, answer)| answer.1 == "once") {
        let runs = runs.get(id.as_str()).copied().unwrap_or(0);
        assert!(runs <= 1 && (runs == 0 || *status != 503), "{category} {id}: {status} after {runs} runs");
    }
    let expected = drained.into_inner().unwrap().unwrap() + GRACE;
    assert!(
        !ran.iter().any(|(when, executor, _)| *executor == 0 && *when > expected),
        "sent to a draining executor"
    );
    let served = |new: bool| {
        let own = answers.iter().filter(|(node, _)| is_new(*node) == new);
        own.clone().filter(|(_, answer)| answer.2 == 200).count() as f64 / own.count() as f64
    };
    let (old, new) = (served(false), served(true));
    assert!(
        answers.len() > 300 && old > 0.8 && new > 0.8,
        "{} ops, served {old:.2}, {new:.2}",
        answers.len()
    );
    assert!((old - new).abs() < 0.15, "one kind starves: old {old:.2}, new {new:.2}");
    assert!(nodes[3].logged("messages dropped"), "dropped messages are logged");
}

fn ready(at: SocketAddr) -> u16 {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"GET /-/ready HTTP/1.1\r\n\r\n").unwrap();
    read_message(&mut stream).map_or(0, |(head, _)| head[9..12].parse().unwrap())
}

#[test]
fn invalid_peer_settings_are_rejected_with_their_key() {
    let at: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let peers: Vec<SocketAddr> = (1..5).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    let good = config(1, true, at, &peers);
    for (from, to, expected) in [
        ("\"peers\":true", "\"peers\":false", "peers: settings.caps.peers does not allow messages"),
        (",\"127.0.0.1:4\"", "", "peers.nodes: 3 addresses where settings.balancers says 4"),
        ("127.0.0.1:4", "127.0.0.1:3", "peers.nodes[3]: '127.0.0.1:3' is given twice"),
        ("127.0.0.1:4", "nowhere", "peers.nodes[3]: not an address with a port: nowhere"),
        ("\"me\":1", "\"me\":4", "settings.me: 4 of 4 instances"),
        ("\"surplus-benefit\":0.05", "\"surplus-benefit\":1.5", "settings.surplus-benefit: not from 0 to 1"),
        ("\"quota-per-s\":400", "\"quota-per-s\":-1", "settings.tenants.quota-per-s: not a number from 0 on"),
        ("\"keepalive-ns\":10000000000", "\"keepalive-ns\":0", "settings.caps.keepalive-ns: needed"),
    ] {
        let wrong = good.replacen(from, to, 1);
        assert_ne!(wrong, good, "{from}");
        let error = NodeProcess::start(Path::new(BINARY), &wrong, &[]).err().unwrap();
        assert!(error.contains(expected), "{error}");
    }
}
