//! Tests the procedures of docs/replace.md for replaced, retired and lost machines, with three control nodes, three stores and an
//! edge on loopback addresses. Each command of that page is run in the system state that the page shows it for.

use assert_matches::assert_matches;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const DOCS: &str = include_str!("../../../docs/replace.md");
/// The service of this configuration has no executor, so messages that are sent to it stay in the queue.
const CONFIG: &str = r#"{"revision":REV,"routes":[{"name":"stuck","hostname":"quay.example","path_prefix":"/",
 "route_type":"deferred","timeout_ms":1500,"target_ms":80,"priority":1,"backend":"lock","max_tries":4,
 "max_wait_s":600,"run_target_ms":1000}],"backends":[{"name":"lock"}],"limits":{}}"#;

/// Second octet of the loopback networks of the first test; each further test has the next [`NETS_PER_TEST`]. Six tests fit below 255.
const FIRST_NET: u32 = 192;
const NETS_PER_TEST: u32 = 10;
/// First and last port for connections between nodes.
const INTERNAL_PORTS: [u16; 2] = [17300, 17315];
/// The same for a node that is reached through a relay.
const RELAYED_PORTS: [u16; 2] = [17400, 17415];

struct Fleet {
    dir: PathBuf,
    net: String,
    deadline: Instant,
    /// Id of the message whose trace is printed when the test fails.
    message: String,
    children: Vec<(String, Child)>,
    /// The node that is reached through a relay: it listens on ports of its own.
    relayed: Option<&'static str>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.status());
            eprintln!(
                "{:?}",
                self.stilerouted(
                    "message 9c41d07b.655f3c0000002.2b1f8e06 --at 10.1.0.14:7300",
                    &self.message
                )
            );
            for (name, _) in &self.children {
                eprintln!(
                    "{name}:\n{}",
                    fs::read_to_string(self.dir.join(name).join("log")).unwrap_or_default()
                );
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
    fn new() -> Fleet {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let (pid, fleet) = (std::process::id(), FLEETS.fetch_add(1, Ordering::Relaxed));
        let dir = std::env::temp_dir().join(format!("stilerouted-commands-{pid}-{fleet}"));
        // Each test uses a separate loopback network, also when two test runs are active at the same time.
        let second_octet = FIRST_NET + NETS_PER_TEST * fleet + pid / 250 % NETS_PER_TEST;
        let net = format!("127.{second_octet}.{}", 1 + pid % 250);
        Fleet {
            dir,
            net,
            deadline: Instant::now() + Duration::from_secs(60),
            message: String::new(),
            children: Vec::new(),
            relayed: None,
        }
    }

    fn wait_for<T>(&self, what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
        loop {
            if let Some(found) = poll() {
                return found;
            }
            assert!(Instant::now() < self.deadline, "timed out waiting for: {what}");
            std::thread::park_timeout(Duration::from_millis(20));
        }
    }

    /// Starts a node. core-1 to core-3 are hosts 1 to 3, storage-1 to storage-3 hosts 11 to 13, edge-1 host 21 of the network.
    fn start(&mut self, name: &str, first: bool) {
        self.start_with(name, first, &[]);
    }

    fn start_with(&mut self, name: &str, first: bool, words: &[&str]) {
        let (kind, number) = name.split_once('-').unwrap();
        let number: u8 = number.parse().unwrap();
        let (host, serves, role) = match kind {
            "core" => (number, "control", "core"),
            "storage" => (10 + number, "storage", "store"),
            _ => (20 + number, "edge", "edge"),
        };
        let (net, home) = (&self.net, self.dir.join(name));
        fs::create_dir_all(home.join("data")).unwrap();
        let bind = match role {
            "core" => format!(r#""control":"{net}.{host}:18262""#),
            "edge" => format!(r#""front":"{net}.{host}:18263","readiness":"{net}.{host}:18268""#),
            _ => String::new(),
        };
        let data = if role == "edge" { "null".to_string() } else { format!("{:?}", home.join("data")) };
        let ports = if self.relayed == Some(name) { RELAYED_PORTS } else { INTERNAL_PORTS };
        let text = format!(
            r#"{{"node_name":"{name}","role":"any","machine_class":"any","serves":["{serves}"],"ip":"{net}.{host}",
            "zone":"z1","region":"r","zones":{{"z1":"r"}},"bind_addresses":{{{bind}}},"internal_ports":{ports:?},
            "seed_nodes":["{net}.1:18262","{net}.2:18262","{net}.3:18262"],"first_start":{first},
            "limits":{{"disk_mb":64}},"data_dir":{data},"beat_interval_ms":200,"tolerate":{{"machine_losses":1}},
            "bounds":{{"grace_s":6}}}}"#
        );
        let boot = home.join("node.json");
        fs::write(&boot, text).unwrap();
        let log = File::options().create(true).append(true).open(home.join("log")).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_stilerouted"));
        command.args(words).arg("--boot").arg(boot).arg(role).env_remove("STILEROUTE_LOG");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.children.push((name.to_string(), command.spawn().unwrap()));
    }

    fn kill(&mut self, name: &str) {
        let at = self.children.iter().position(|(node, _)| node == name).unwrap();
        let (_, mut child) = self.children.swap_remove(at);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal to the process of a node.
    fn signal(&self, name: &str, signal: &str) {
        let (_, child) = self.children.iter().find(|(node, _)| node == name).unwrap();
        let signalled = Command::new("kill").args([signal, &child.id().to_string()]).status().unwrap();
        assert!(signalled.success());
    }

    /// The exit code of a process that has exited without being killed; `None` while it runs.
    fn exit_code(&mut self, name: &str) -> Option<i32> {
        let (_, child) = self.children.iter_mut().find(|(node, _)| node == name).unwrap();
        child.try_wait().unwrap().and_then(|status| status.code())
    }

    /// Starts the relay to core-3, which closes the connections of `cut_off` and forwards all others.
    fn relay_to_core_3_except(&mut self, cut_off: &'static str) {
        self.relayed = Some("core-3");
        let listener = TcpListener::bind(format!("{}.3:{}", self.net, INTERNAL_PORTS[0])).unwrap();
        let core_3 = format!("{}.3:{}", self.net, RELAYED_PORTS[0]);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let core_3 = core_3.clone();
                std::thread::spawn(move || relay(stream, &core_3, cut_off));
            }
        });
    }

    /// Whether a control node lists an executor as one that may be sent requests.
    fn lists(&self, core: u8, id: &str) -> bool {
        let address = format!("{}.{core}:{}", self.net, INTERNAL_PORTS[0]);
        let mut command = Command::new(env!("CARGO_BIN_EXE_stilerouted"));
        let output = command.args(["status", "--json", "--at", &address]).output().unwrap();
        let status = String::from_utf8_lossy(&output.stdout);
        status.contains(&format!("\"{id}\""))
    }

    /// Swaps the disks of two stopped machines.
    fn swap_disks(&self, first: &str, second: &str) {
        let data = |name: &str| self.dir.join(name).join("data");
        let aside = self.dir.join("aside");
        fs::rename(data(first), &aside).unwrap();
        fs::rename(data(second), data(first)).unwrap();
        fs::rename(aside, data(second)).unwrap();
    }

    fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(name).join("log")).unwrap()
    }

    /// Replaces `from` with `to` in the settings file of a node, and sends SIGHUP to its process.
    fn change_settings(&self, name: &str, from: &str, to: &str) {
        let boot = self.dir.join(name).join("node.json");
        let text = fs::read_to_string(&boot).unwrap();
        assert!(text.contains(from));
        fs::write(&boot, text.replace(from, to)).unwrap();
        self.signal(name, "-HUP");
    }

    /// Replaces the disk of a machine with an empty one.
    fn wipe(&self, name: &str) {
        fs::remove_dir_all(self.dir.join(name).join("data")).unwrap();
    }

    /// Runs a `stilerouted` command of the docs, with the example values replaced by those of this fleet.
    fn stilerouted(&self, words: &str, message: &str) -> Output {
        assert!(DOCS.lines().any(|line| line == format!("stilerouted {words}")), "not in the docs: {words}");
        let words = words
            .replace("10.1.0.14:7300", &format!("{}.3:17300", self.net))
            .replace("/etc/stileroute/node.json", self.dir.join("storage-1/node.json").to_str().unwrap())
            .replace("/var/lib/stilerouted", self.dir.join("storage-1/data").to_str().unwrap())
            .replace("9c41d07b.655f3c0000002.2b1f8e06", message);
        Command::new(env!("CARGO_BIN_EXE_stilerouted")).args(words.split(' ')).output().unwrap()
    }

    /// Sends an HTTP request. Returns the status, the body and the message id of the answer, or `None` without an answer.
    fn http(&self, at: &str, method: &str, path: &str, body: &str) -> Option<(u16, String, String)> {
        let address: SocketAddr = format!("{}.{at}", self.net).parse().unwrap();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
        let id = std::time::UNIX_EPOCH.elapsed().unwrap().as_nanos();
        let head = format!("{method} {path} HTTP/1.1\r\nHost: quay.example\r\nConnection: close\r\n");
        write!(stream, "{head}X-Request-Id: m-{id}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        let name =
            head.lines().find_map(|line| line.strip_prefix("X-Queue-Message-Id: ")).unwrap_or_default();
        Some((head.split(' ').nth(1)?.parse().ok()?, body.to_string(), name.to_string()))
    }

    /// Sends the request of a curl command of the docs to the given control node.
    fn curl(&self, core: u8, line: &str, example: &str, actual: &str) -> Option<(u16, String, String)> {
        assert!(DOCS.lines().any(|shown| shown == line), "not in the docs: {line}");
        let (words, path) = line.split_once(" http://10.1.0.14:8262").unwrap();
        let body = words.split_once(" -d ").map_or("", |(_, body)| body.trim_matches('\''));
        let method = if body.is_empty() { "GET" } else { "POST" };
        self.http(&format!("{core}:18262"), method, &path.replace(example, actual), body)
    }

    fn configure(&self, revision: u64) -> Option<u16> {
        let text = CONFIG.replace("REV", &revision.to_string());
        self.http("3:18262", "POST", "/v1/settings/replace", &text).map(|answer| answer.0)
    }

    fn send(&self) -> Option<(u16, String, String)> {
        self.http("21:18263", "POST", "/crate", "heavy")
    }

    /// Sends messages until one is accepted, and returns its id.
    fn send_until_accepted(&self) -> String {
        self.wait_for("a message is accepted", || self.send().filter(|answer| answer.0 == 202)).2
    }

    /// The stages of a message at the stores that know it: normally one store delivers it and another holds its replica.
    fn stages(&self, message: &str) -> Vec<String> {
        let out =
            self.stilerouted("message 9c41d07b.655f3c0000002.2b1f8e06 --at 10.1.0.14:7300 --json", message);
        let Ok(json) = jzon::parse(&String::from_utf8_lossy(&out.stdout)) else { return Vec::new() };
        let stage = |(_, store): (_, &jzon::JsonValue)| store["stage"].as_str().map(String::from);
        let mut stages: Vec<String> = json["stores"].entries().filter_map(stage).collect();
        stages.sort();
        stages
    }

    fn replicated(&self, message: &str) -> Option<()> {
        (self.stages(message) == ["copy", "waiting"]).then_some(())
    }

    fn status(&self) -> String {
        String::from_utf8(self.stilerouted("status --at 10.1.0.14:7300", "").stdout).unwrap()
    }
}

/// Forwards a connection to `to` in both directions, unless its first bytes contain the name of `cut_off`.
fn relay(mut stream: TcpStream, to: &str, cut_off: &str) -> Option<()> {
    let mut first = [0; 4096];
    let length = stream.read(&mut first).ok()?;
    if first[..length].windows(cut_off.len()).any(|bytes| bytes == cut_off.as_bytes()) {
        return None;
    }
    let mut target = TcpStream::connect(to).ok()?;
    target.write_all(&first[..length]).ok()?;
    let (mut back_from, mut back_to) = (target.try_clone().ok()?, stream.try_clone().ok()?);
    std::thread::spawn(move || std::io::copy(&mut back_from, &mut back_to));
    std::io::copy(&mut stream, &mut target).ok()?;
    Some(())
}

const ALL_NODES: [&str; 7] = ["core-1", "core-2", "core-3", "storage-1", "storage-2", "storage-3", "edge-1"];

/// Starts all processes, and waits until a configuration is in force.
fn configured_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    ALL_NODES.iter().for_each(|name| fleet.start(name, true));
    fleet.wait_for("the configuration is accepted", || fleet.configure(7).filter(|status| *status == 200));
    fleet
}

/// Guards against nodes that use the data of a swapped disk. Each of the four nodes (two stores and two control nodes) must exit
/// with an error that names the owner of its disk. Once the disks are back in their own machines, nothing may be lost.
#[test]
fn swapped_disks_are_refused_before_anything_in_them_is_used() {
    let mut fleet = configured_fleet();
    fleet.message = fleet.send_until_accepted();
    fleet.wait_for("the message is on two disks", || fleet.replicated(&fleet.message));
    let swapped = [("storage-1", "storage-2"), ("core-1", "core-2")];
    for (one, other) in swapped {
        [one, other].iter().for_each(|name| fleet.kill(name));
        fleet.swap_disks(one, other);
        for (name, owner) in [(one, other), (other, one)] {
            fleet.start(name, false);
            let code = loop {
                assert!(Instant::now() < fleet.deadline, "{name} runs with the disk of another node");
                match fleet.exit_code(name) {
                    Some(code) => break code,
                    None => std::thread::park_timeout(Duration::from_millis(20)),
                }
            };
            assert_ne!(code, 0);
            let log = fleet.log(name);
            let reason = log.lines().last().unwrap();
            assert!(reason.contains(&format!("belongs to {owner:?}")), "{log}");
        }
        [one, other].iter().for_each(|name| fleet.kill(name));
        fleet.swap_disks(one, other);
        [one, other].iter().for_each(|name| fleet.start(name, false));
    }
    fleet.wait_for("the message is on two disks as before", || fleet.replicated(&fleet.message));
    let read = || fleet.http("1:18262", "GET", "/v1/settings/read", "").filter(|answer| answer.0 == 200);
    assert!(fleet.wait_for("the configuration", read).1.contains("\"revision\":7"));
}

/// A simulated executor, which detects connections to its address and sends heartbeats.
struct SimulatedExecutor {
    id: &'static str,
    listener: TcpListener,
}

impl SimulatedExecutor {
    fn new(id: &'static str) -> SimulatedExecutor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        SimulatedExecutor { id, listener }
    }

    fn was_called(&self) -> bool {
        self.listener.accept().is_ok()
    }

    fn heartbeat(&self, fleet: &Fleet, core: u8, call_count: u64) -> Option<u16> {
        self.heartbeat_with_state(fleet, core, call_count, "serving")
    }

    fn heartbeat_with_state(&self, fleet: &Fleet, core: u8, call_count: u64, state: &str) -> Option<u16> {
        let address = self.listener.local_addr().unwrap();
        let body = format!(
            r#"{{"backend":"lock","address":"{address}","zone":"z1","capacity":4,"state":"{state}",
            "cold_left_ms":0,"call_count":{call_count}}}"#
        );
        let path = format!("/v1/servers/{}/heartbeat", self.id);
        fleet.http(&format!("{core}:18262"), "POST", &path, &body).map(|answer| answer.0)
    }
}

/// Time after which all stores must know that an executor has left, from the acknowledgement of its leave. The smallest
/// `drain_ms` of the operators' sites is 3 s.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Guards against a late heartbeat that registers an executor again after it left. The heartbeat was under way when the executor
/// left, and arrives through another control node. No request may be sent to the executor, not even after a restart of all
/// control nodes. Another executor of the service must be called.
#[test]
fn a_heartbeat_that_comes_after_a_leave_brings_no_executor_back() {
    let mut fleet = configured_fleet();
    let (left, other) = (SimulatedExecutor::new("e-left"), SimulatedExecutor::new("e-other"));
    fleet.wait_for("heartbeat acknowledged", || left.heartbeat(&fleet, 1, 1).filter(|status| *status == 200));
    let leave = || fleet.http("2:18262", "POST", "/v1/servers/e-left/leave", "{}");
    fleet.wait_for("its leave is acknowledged", || leave().filter(|answer| answer.0 == 200));
    fleet.message = fleet.send_until_accepted();
    // Until a store knows of the leave, it may still call the executor; after this time no store may.
    std::thread::park_timeout(LEAVE_PROPAGATION_TIME);
    while left.was_called() {}
    let assert_not_called = |fleet: &Fleet, call_count: u64| {
        let until = Instant::now() + Duration::from_millis(1500);
        while Instant::now() < until {
            left.heartbeat(fleet, 3, call_count);
            assert!(!left.was_called(), "called after it left, heartbeat {call_count}");
            std::thread::park_timeout(Duration::from_millis(100));
        }
    };
    assert_not_called(&fleet, 9);
    let cores = ["core-1", "core-2", "core-3"];
    cores.iter().for_each(|name| fleet.kill(name));
    cores.iter().for_each(|name| fleet.start(name, false));
    fleet.wait_for("the cores lead again", || fleet.configure(8).filter(|status| *status == 200));
    assert_not_called(&fleet, 12);
    let mut call_count = 0;
    fleet.wait_for("another executor is called", || {
        call_count += 1;
        other.heartbeat(&fleet, 1, call_count);
        other.was_called().then_some(())
    });
}

/// Guards against a departure that only one control node knows of: if that node is cut off, the others serve the stores without it
/// and requests go on to the executor (DRAIN). While both others are frozen nobody else can know of it, and no call may be
/// acknowledged, for as long as the called node still counts as in contact. A refused call that is repeated at the same node is
/// acknowledged once another node is there.
#[test]
fn a_departure_is_acknowledged_only_once_another_control_node_has_recorded_it() {
    let fleet = configured_fleet();
    for (called, id) in [(1u8, "e-1"), (2, "e-2"), (3, "e-3")] {
        let executor = SimulatedExecutor::new(id);
        let leave = || {
            let answer =
                fleet.http(&format!("{called}:18262"), "POST", &format!("/v1/servers/{id}/leave"), "{}");
            answer.map(|answer| answer.0)
        };
        let others: Vec<String> =
            (1..=3).filter(|core| *core != called).map(|core| format!("core-{core}")).collect();
        let serving = || executor.heartbeat(&fleet, called, 1).filter(|status| *status == 200);
        fleet.wait_for("heartbeat acknowledged", serving);

        others.iter().for_each(|name| fleet.signal(name, "-STOP"));
        assert_eq!(executor.heartbeat_with_state(&fleet, called, 2, "draining"), Some(503), "core-{called}");
        others.iter().for_each(|name| fleet.signal(name, "-CONT"));
        let draining =
            || executor.heartbeat_with_state(&fleet, called, 3, "draining").filter(|status| *status == 200);
        fleet.wait_for("draining is acknowledged", draining);

        others.iter().for_each(|name| fleet.signal(name, "-STOP"));
        assert_eq!(leave(), Some(503), "core-{called}");
        fleet.signal(&others[0], "-CONT");
        fleet.wait_for("the leave is acknowledged", || leave().filter(|status| *status == 200));
        fleet.signal(&others[1], "-CONT");
    }
}

/// Guards against a departure that a control node has confirmed and keeps to itself: the node that took the call may have lost its
/// connection with the third one, whose stores would go on sending requests to the executor (DRAIN).
#[test]
fn a_control_node_that_confirms_a_departure_sends_it_on() {
    let mut fleet = Fleet::new();
    fleet.relay_to_core_3_except("core-1");
    ["core-1", "core-2", "core-3"].iter().for_each(|name| fleet.start(name, true));
    let executor = SimulatedExecutor::new("e-departing");
    let mut call_count = 0;
    fleet.wait_for("core-2 accepts heartbeats, and core-3 knows of the executor", || {
        call_count += 1;
        executor.heartbeat(&fleet, 2, call_count).filter(|status| *status == 200)?;
        fleet.lists(3, executor.id).then_some(())
    });
    let leave = || fleet.http("1:18262", "POST", "/v1/servers/e-departing/leave", "{}");
    fleet.wait_for("the leave is acknowledged", || leave().filter(|answer| answer.0 == 200));
    std::thread::park_timeout(LEAVE_PROPAGATION_TIME);
    assert!(!fleet.lists(3, executor.id), "core-3 still lists the executor");
}

const BEGIN: &str = "curl -d '{\"deadline_s\":30}' http://10.1.0.14:8262/v1/retire/storage-3/begin";
const READ: &str = "curl http://10.1.0.14:8262/v1/retire/storage-3/read";

#[test]
fn machines_are_replaced_retired_and_lost_as_the_page_says() {
    let mut fleet = configured_fleet();
    fleet.message = fleet.send_until_accepted();
    fleet.wait_for("the message is on two disks", || fleet.replicated(&fleet.message));

    replace_a_store_without_its_disk(&mut fleet);
    retire_a_store(&mut fleet);
    check_that_the_retirement_is_remembered(&mut fleet);
    lose_too_many_stores_for_a_while(&mut fleet);
    lose_the_disks_of_all_stores(&mut fleet);
    lose_the_disks_of_most_cores(&mut fleet);
    apply_a_long_configuration(&mut fleet);
}

/// After a store lost its disk, its messages must be replicated again and the system must list the store again.
fn replace_a_store_without_its_disk(fleet: &mut Fleet) {
    fleet.kill("storage-1");
    fleet.wipe("storage-1");
    let checked = fleet.stilerouted("check boot /etc/stileroute/node.json", "");
    assert!(checked.status.success(), "{checked:?}");
    fleet.start("storage-1", false);
    fleet.wait_for("two disks again, with the new one there", || {
        (fleet.replicated(&fleet.message).is_some() && fleet.status().contains("store storage-1 "))
            .then_some(())
    });
}

/// Retires one of the three stores; the retirement of one of the last two must be rejected.
fn retire_a_store(fleet: &mut Fleet) {
    // A primary that has just started does not know the members yet: until it does, it may answer 503, and then only 404.
    fleet.wait_for("no such store", || {
        let status = fleet.curl(3, BEGIN, "storage-3", "storage-9").map(|answer| answer.0);
        assert_matches!(status, Some(404 | 503));
        (status == Some(404)).then_some(())
    });
    // The control node that had the store's session before may not see that the store accepted the order, so all are asked.
    let core_with = |line: &str, part: &str| {
        let says = |a: (u16, String, String)| a.0 == 200 && a.1.contains(part);
        (1..=3).rev().find(|core| fleet.curl(*core, line, "", "").is_some_and(says))
    };
    // Only two stores are left and the loss of one must be tolerated, so no store is spare and the operator gets a warning.
    let answer = r#"{"spare_stores":0,"warning":"no spare store is left: the loss of another stops intake"}"#;
    fleet.wait_for("the order is accepted", || core_with(BEGIN, answer));
    let core = fleet.wait_for("the store is empty", || core_with(READ, "complete"));
    assert_eq!(fleet.curl(core, BEGIN, "storage-3", "storage-2").map(|answer| answer.0), Some(409));
    fleet.kill("storage-3");
    fleet.wipe("storage-3");
    fleet.wait_for("the message is on the two stores that are left", || fleet.replicated(&fleet.message));
}

/// Checks that a control node acknowledges the same retirement order again, and still reports the retirement as complete.
fn check_retirement_at_core(fleet: &Fleet, core: u8) {
    fleet.wait_for("acknowledged again", || {
        let again = fleet.curl(core, BEGIN, "", "").map(|answer| answer.0);
        assert_matches!(again, None | Some(200 | 503), "an order that was accepted is rejected");
        (again == Some(200)).then_some(())
    });
    fleet.wait_for("still complete", || {
        let state = fleet.curl(core, READ, "", "").map(|answer| (answer.0, answer.1.contains("complete")));
        assert_matches!(state, None | Some((200, true) | (503, _)), "the retirement is no longer complete");
        (state == Some((200, true))).then_some(())
    });
}

/// The retirement of a store whose machine is gone must be remembered, even after all control nodes were killed.
fn check_that_the_retirement_is_remembered(fleet: &mut Fleet) {
    (1..=3).for_each(|core| check_retirement_at_core(fleet, core));
    let retire = |words: &[&str]| {
        let at = format!("{}.3:17300", fleet.net);
        let mut command = Command::new(env!("CARGO_BIN_EXE_stilerouted"));
        command.args(["retire", "storage-3", "--at", &at]).args(words).output().unwrap()
    };
    let (ordered, emptied) = (retire(&[]), retire(&["--status"]));
    assert_eq!((ordered.status.code(), emptied.status.code()), (Some(0), Some(0)));
    let stdout = |output: &Output| String::from_utf8(output.stdout.clone()).unwrap();
    let warning = "WARNING: no spare store is left: the loss of another stops intake";
    let order = "storage-3 has the order: ask with --status until it is empty";
    assert_eq!(stdout(&ordered), format!("{order}\n{warning}\n"));
    assert_eq!(stdout(&emptied), "storage-3 is empty: take it away with its disk\n");
    let cores = ["core-1", "core-2", "core-3"];
    cores.iter().for_each(|name| fleet.kill(name));
    cores.iter().for_each(|name| fleet.start(name, false));
    (1..=3).for_each(|core| check_retirement_at_core(fleet, core));
}

const STORES: [&str; 2] = ["storage-1", "storage-2"];

/// While more stores are down than tolerated, messages must be rejected. After the stores restart with their disks, all
/// messages must be back.
fn lose_too_many_stores_for_a_while(fleet: &mut Fleet) {
    STORES.into_iter().for_each(|name| fleet.kill(name));
    fleet.wait_for("rejected", || fleet.send().filter(|answer| answer.0 == 503));
    assert!(fleet.stages(&fleet.message).is_empty());
    let verified = fleet.stilerouted("state verify /var/lib/stilerouted", "");
    let text = String::from_utf8_lossy(&verified.stdout);
    assert!(verified.status.success() && text.contains("opens: true"), "{verified:?}");
    STORES.into_iter().for_each(|name| fleet.start(name, false));
    fleet.wait_for("all is back", || fleet.replicated(&fleet.message));
}

/// When all stores lose their disks, a message is lost. No store may claim to know the message, and its status must be 503 until
/// all stores have answered, and then 404.
fn lose_the_disks_of_all_stores(fleet: &mut Fleet) {
    STORES.into_iter().for_each(|name| fleet.kill(name));
    STORES.into_iter().for_each(|name| fleet.wipe(name));
    let verified = fleet.stilerouted("state verify /var/lib/stilerouted", "");
    assert_eq!(verified.status.code(), Some(2), "{verified:?}");
    STORES.into_iter().for_each(|name| fleet.start(name, false));
    fleet.send_until_accepted();
    let message = &fleet.message;
    let asked = fleet.stilerouted("message 9c41d07b.655f3c0000002.2b1f8e06 --at 10.1.0.14:7300", message);
    assert_eq!(asked.status.code(), Some(1), "{asked:?}");
    let state = || {
        fleet.http("21:18263", "GET", &format!("/v1/message/{message}"), "").filter(|reply| reply.0 != 503)
    };
    assert_eq!(fleet.wait_for("its state", state).0, 404);
}

const MOST_CORES: [&str; 2] = ["core-1", "core-2"];

/// Kills and wipes both control nodes before either restarts: if they restarted one by one, the others would give a restarted
/// node the current state.
fn restart_without_disks(fleet: &mut Fleet, first: bool) {
    MOST_CORES.into_iter().for_each(|name| fleet.kill(name));
    MOST_CORES.into_iter().for_each(|name| fleet.wipe(name));
    MOST_CORES.into_iter().for_each(|name| fleet.start(name, first));
}

/// When most control nodes lose their disks, there must be no leader until an operator restarts them with `first_start`.
fn lose_the_disks_of_most_cores(fleet: &mut Fleet) {
    restart_without_disks(fleet, false);
    fleet.wait_for("both are blank", || {
        let status = fleet.status();
        (status.contains("blank: core-1")
            && status.contains("blank: core-2")
            && status.contains("nobody leads"))
        .then_some(())
    });
    assert_eq!(fleet.configure(8), Some(503));

    // Manual recovery: the wiped nodes start with `first_start` beside the remaining one, and the configuration is sent again.
    restart_without_disks(fleet, true);
    fleet.wait_for("a configuration is taken again", || fleet.configure(9).filter(|status| *status == 200));
    fleet.wait_for("on all nodes", || (fleet.status().matches("version 9").count() == 6).then_some(()));
    fleet.send_until_accepted();
}

/// A configuration that is longer than one log record must be accepted. A configuration beyond the size limit must be rejected
/// with an error that names the limit, and without harm to any process.
fn apply_a_long_configuration(fleet: &mut Fleet) {
    let long = |revision: &str, length: usize| {
        let text = CONFIG.replace("REV", revision);
        fleet.http("3:18262", "POST", "/v1/settings/replace", &format!("{}{text}", " ".repeat(length)))
    };
    fleet.wait_for("a long one is taken", || long("10", 2 << 20).filter(|answer| answer.0 == 200));
    // A body of this length may time out on a busy machine; whatever happens to its connection, it must not be accepted.
    let rejected = fleet.wait_for("rejected", || {
        let answer = long("11", 5 << 20);
        assert_matches!(answer, None | Some((413 | 503 | 504, ..)));
        answer.filter(|answer| answer.0 == 413)
    });
    assert!(rejected.1.contains("body: over 4194304 bytes"), "{}", rejected.1);
    fleet.wait_for("on all nodes", || (fleet.status().matches("version 10").count() == 6).then_some(()));
    MOST_CORES.iter().for_each(|name| fleet.kill(name));
    MOST_CORES.iter().for_each(|name| fleet.start(name, false));
    let kept = || fleet.http("2:18262", "GET", "/v1/settings/read", "").filter(|answer| answer.0 == 200);
    assert!(fleet.wait_for("read back", kept).1.len() > 2 << 20);
}

/// As docs/server.md documents, SIGHUP must reload the settings completely or not at all, and `--log` sets the log level.
#[test]
fn settings_are_read_again_and_logs_have_levels() {
    let mut fleet = Fleet::new();
    fleet.start("core-1", true);
    fleet.start_with("core-2", true, &["--log", "error"]);
    let up = |host: u8| fleet.http(&format!("{host}:18262"), "GET", "/v1/settings/read", "");
    fleet.wait_for("both answer", || up(1).and(up(2)));
    let logged = |text: &str| fleet.log("core-1").contains(text).then_some(());
    fleet.change_settings("core-1", "\"grace_s\":6", "\"grace_s\":\"long\"");
    fleet.wait_for("the fault is named", || logged("bounds.grace_s"));
    assert!(logged("settings reloaded").is_none());
    fleet.change_settings("core-1", "\"grace_s\":\"long\"", "\"grace_s\":5");
    fleet.wait_for("the reload is logged", || logged("settings reloaded"));
    fleet.change_settings("core-1", "\"node_name\":\"core-1\"", "\"node_name\":\"core-9\"");
    fleet.wait_for("its rejection is logged", || logged("settings name another node: not reloaded"));
    assert!(up(1).is_some() && fleet.log("core-1").contains(" INFO starts"));
    assert_eq!(fleet.log("core-2"), "", "nothing is an error yet");
}
