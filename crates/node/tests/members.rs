//! Membership among several processes of the program, on loopback: who is there is known to all, a kill, a leave, a pause and
//! a restart as well, and strangers are not heard.

mod common;

use common::{ms, until, SETTINGS};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use stileroute_testbed::stand::{entries, nowhere, Discovery, NodeProcess, Signal};

/// A port for messages that nobody has just now.
fn port() -> u16 {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

struct Group {
    discovery: SocketAddr,
    seeds: Vec<u16>,
    more: String,
    /// The settings name so many nodes.
    nodes: usize,
}

struct One {
    process: NodeProcess,
    calls: SocketAddr,
}

impl Group {
    fn new(nodes: usize, more: &str) -> Group {
        let (_, discovery) = Discovery::start(entries(&[nowhere()]));
        Group { discovery, seeds: vec![port(), port()], more: more.to_string(), nodes }
    }

    /// A process of this name, at the port of a seed or at any.
    fn start_with(&self, name: usize, more: &str) -> One {
        let listen = self.seeds.get(name).copied().unwrap_or(0);
        let seeds: Vec<String> = self.seeds.iter().map(|port| format!("\"127.0.0.1:{port}\"")).collect();
        let operator = format!(
            "[members]\nlisten = \"127.0.0.1:{listen}\"\nseeds = [{}]\nevery = \"200ms\"\n{more}\n",
            seeds.join(", ")
        );
        let settings = SETTINGS
            .replace("\"balancers\":1", &format!("\"balancers\":{}", self.nodes))
            .replace("\"cancel\":true", "\"cancel\":true,\"peers\":true");
        let known = entries(&[nowhere()]);
        let config = format!(
            r#"{{"name":"n{name}","listen":"127.0.0.1:0","discovery":"{}","admin_addr":"127.0.0.1:0","seed":"8c{name:02x}","known":{{"index":1,"snapshot":true,"endpoints":[{known}]}},"settings":{settings}}}"#,
            self.discovery
        );
        let binary = Path::new(env!("CARGO_BIN_EXE_stileroute"));
        let process = NodeProcess::with(binary, &config, Some(&operator), &[], None, None).unwrap();
        let mut calls = None;
        until("an address for operators", || {
            calls = process.said("operators call at ").and_then(|at| at.parse().ok());
            calls.is_some()
        });
        One { process, calls: calls.unwrap() }
    }

    fn start(&self, name: usize) -> One {
        self.start_with(name, &self.more)
    }
}

impl One {
    fn get(&self, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.calls).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        (head[9..12].parse().unwrap(), body.to_string())
    }

    fn figure(&self, name: &str) -> u64 {
        let (_, text) = self.get("/metrics");
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("svc_members_{name} ")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// How many lines of its members say this.
    fn lists(&self, word: &str) -> usize {
        self.get("/members").1.lines().filter(|line| line.contains(word)).count()
    }
}

/// Seconds until it holds at all.
fn until_all(what: &str, all: &[One], holds: impl Fn(&One) -> bool) -> f64 {
    let start = Instant::now();
    until(what, || all.iter().all(&holds));
    start.elapsed().as_secs_f64()
}

#[test]
fn a_kill_a_leave_a_pause_and_a_restart_are_known_to_all() {
    let group = Group::new(12, "all = true");
    let mut all: Vec<One> = (0..12).map(|name| group.start(name)).collect();
    until_all("all know all", &all, |one| one.lists(" alive ") == 12);
    let suspected = |all: &[One]| all.iter().map(|one| one.figure("suspected_total")).sum::<u64>();
    assert_eq!(suspected(&all), 0);
    // It says that it goes, and nobody looks for it. A node that ends serves its clients for a while before.
    let mut leaves = all.pop().unwrap();
    leaves.process.signal(Signal::SIGTERM).unwrap();
    assert!(leaves.process.wait(Duration::from_secs(10)).is_some());
    let took = until_all("that it left is known", &all, |one| one.lists(" left ") == 1);
    assert!(took < 5.0 && suspected(&all) == 0, "{took} s");
    // Killed: suspected, then held dead, and counted as one that may still be sending.
    drop(all.pop().unwrap());
    until_all("the kill is known", &all, |one| one.lists(" dead ") == 1);
    assert!(all.iter().all(|one| one.lists(" alive ") == 10 && one.lists(" left ") == 1));
    // Back, as a later life of the same name.
    all.push(group.start(10));
    until_all("it is back", &all, |one| one.lists(" alive ") == 11);
    // One stands still for as long as it takes to be held dead, blames nobody for it, and is alive to all again.
    all[5].process.signal(Signal::SIGSTOP).unwrap();
    std::thread::sleep(ms(5000));
    all[5].process.signal(Signal::SIGCONT).unwrap();
    until_all("it is alive again", &all, |one| one.lists(" alive ") == 11);
    assert!(all[5].figure("stood_still_total") >= 1 && all[5].lists(" dead ") == 0);
    assert_eq!(all[5].figure("likely"), 11);
    // Each has told its desk: of budgets for who may be sending, of the rest for who is likely there.
    assert!(all[..10].iter().all(|one| one.process.logged("members: 12 live, 12 may be sending")));
}

#[test]
fn strangers_are_not_heard_and_a_successor_is_no_second_member() {
    let folder = std::env::temp_dir();
    let key = |name: &str, digit: &str| -> PathBuf {
        let path = folder.join(format!("stileroute-key-{name}-{}", std::process::id()));
        std::fs::write(&path, digit.repeat(64)).unwrap();
        path
    };
    let (right, wrong) = (key("right", "5"), key("wrong", "6"));
    let with = |path: &Path| format!("key-file = \"{}\"", path.display());
    let group = Group::new(4, &with(&right));
    let mut all: Vec<One> = (0..4).map(|name| group.start(name)).collect();
    until_all("all know all", &all, |one| one.lists(" alive ") == 4);
    let (stranger, silent) = (group.start_with(8, &with(&wrong)), group.start_with(9, ""));
    until("strangers were turned away", || {
        all[0].figure("strangers_total") + all[1].figure("strangers_total") > 4
    });
    assert!(all.iter().all(|one| one.lists(" alive ") == 4));
    assert_eq!((stranger.lists(" alive "), silent.lists(" alive ")), (1, 1));
    // Garbage, and what is longer than a message may be.
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    for text in [&b""[..], b"\x02", &[7; 2000], b"GET / HTTP/1.1\r\n\r\n"] {
        noise.send_to(text, ("127.0.0.1", group.seeds[0])).unwrap();
    }
    until("garbage is counted", || all[0].figure("garbled_total") + all[0].figure("strangers_total") > 6);
    // A process that takes the place of one beside it: the older one says nothing more, and nobody is missed.
    std::thread::sleep(ms(10_500));
    let next = group.start(3);
    let old = std::mem::replace(&mut all[3], next);
    until("the older one knows", || {
        old.process.logged("another process has this node's name, and its place")
    });
    until_all("four are there", &all, |one| one.lists(" alive ") == 4 && one.lists(" dead ") == 0);
    assert_eq!(all.iter().map(|one| one.figure("suspected_total")).sum::<u64>(), 0);
    // Not all nodes are said to be members, so the settings' number is the least that budgets go by.
    assert!(all.iter().all(|one| one.figure("safe") == 4));
    [right, wrong].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn a_bad_section_is_named_and_without_one_there_is_nothing_of_it() {
    let cases = [
        ("listen = \"here\"", ":2:1: members.listen: 'here' is no IPv4 address"),
        ("seeds = [\"127.0.0.1:9\"]", ": members: needs listen"),
        ("listen = \"0.0.0.0:9\"", "others need to be told one, by advertise"),
        ("listen = \"127.0.0.1:0\"\nseeds = [\"x:1\"]", ": members.seeds: 'x:1' is no IPv4"),
        ("listen = \"127.0.0.1:0\"\nevery = \"10ms\"", ":3:1: members.every: must be from 200ms"),
        ("listen = \"127.0.0.1:0\"\nkey-file = \"/nowhere\"", ":3:1: members.key-file: /nowhere: "),
        ("listen = \"127.0.0.1:0\"\nsees = 1", ":3:1: members.sees: "),
    ];
    let settings = SETTINGS.replace("\"cancel\":true", "\"cancel\":true,\"peers\":true");
    let config = |settings: &str| {
        format!(r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{}","settings":{settings}}}"#, nowhere())
    };
    let binary = Path::new(env!("CARGO_BIN_EXE_stileroute"));
    let start = |settings: &str, operator: &str| {
        NodeProcess::with(binary, &config(settings), Some(operator), &[], None, None).map(|_| ()).unwrap_err()
    };
    for (section, expected) in cases {
        let error = start(&settings, &format!("[members]\n{section}\n"));
        assert!(error.contains(expected), "{section}: {error}");
    }
    let error = start(SETTINGS, "[members]\nlisten = \"127.0.0.1:0\"\n");
    assert!(error.contains("settings.caps.peers does not allow messages"), "{error}");
    // Without the section: no socket, no thread, no figure, and the call says so.
    let group = Group::new(1, "");
    let on = group.start(0);
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{}","admin_addr":"127.0.0.1:0","settings":{SETTINGS}}}"#,
        nowhere()
    );
    let process = NodeProcess::start(binary, &text, &[]).unwrap();
    until("an address for operators", || process.said("operators call at ").is_some());
    let calls = process.said("operators call at ").unwrap().parse().unwrap();
    let off = One { process, calls };
    assert_eq!(off.get("/members").0, 404);
    assert!(!off.get("/metrics").1.contains("members"));
    until("figures", || on.get("/metrics").1.contains("svc_members_likely 1\n"));
    let threads = |one: &One| std::fs::read_dir(format!("/proc/{}/task", one.process.id())).unwrap().count();
    until("its threads are there", || threads(&on) == threads(&off) + 1);
}
