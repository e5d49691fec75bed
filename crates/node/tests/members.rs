//! Membership among several processes on loopback: all members learn of each other, and of a kill, a leave, a
//! pause and a restart. Messages without the right key are ignored.

mod common;

use common::{ms, wait_until, SETTINGS};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use stileroute_testbed::stand::{entries, nowhere, Discovery, NodeProcess, Signal};

/// A UDP port that is free at the moment.
fn free_port() -> u16 {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

struct Cluster {
    discovery: SocketAddr,
    seeds: Vec<u16>,
    more: String,
    /// Number of nodes according to the settings.
    nodes: usize,
}

struct MemberProcess {
    process: NodeProcess,
    admin_address: SocketAddr,
}

impl Cluster {
    fn new(nodes: usize, more: &str) -> Cluster {
        let (_, discovery) = Discovery::start(entries(&[nowhere()]));
        Cluster { discovery, seeds: vec![free_port(), free_port()], more: more.to_string(), nodes }
    }

    /// Starts a process with this name, listening on a seed's port or on any.
    fn start_with(&self, name: usize, more: &str) -> MemberProcess {
        let listen = self.seeds.get(name).copied().unwrap_or(0);
        let seeds: Vec<String> =
            self.seeds.iter().map(|free_port| format!("\"127.0.0.1:{free_port}\"")).collect();
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
        let mut admin_address = None;
        wait_until("an admin address", || {
            admin_address = process.said("operators call at ").and_then(|at| at.parse().ok());
            admin_address.is_some()
        });
        MemberProcess { process, admin_address: admin_address.unwrap() }
    }

    fn start(&self, name: usize) -> MemberProcess {
        self.start_with(name, &self.more)
    }
}

impl MemberProcess {
    fn get(&self, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.admin_address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        (head[9..12].parse().unwrap(), body.to_string())
    }

    fn metric(&self, name: &str) -> u64 {
        let (_, text) = self.get("/metrics");
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("svc_members_{name} ")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// Number of lines in the member list that contain this text.
    fn lists(&self, word: &str) -> usize {
        self.get("/members").1.lines().filter(|line| line.contains(word)).count()
    }
}

/// Waits until the condition holds for all members and returns the seconds it took.
fn until_all(what: &str, all: &[MemberProcess], holds: impl Fn(&MemberProcess) -> bool) -> f64 {
    let start = Instant::now();
    wait_until(what, || all.iter().all(&holds));
    start.elapsed().as_secs_f64()
}

#[test]
fn all_members_learn_of_a_kill_a_leave_a_pause_and_a_restart() {
    let cluster = Cluster::new(12, "all = true");
    let mut all: Vec<MemberProcess> = (0..12).map(|name| cluster.start(name)).collect();
    until_all("all know all", &all, |member| member.lists(" alive ") == 12);
    let suspected =
        |all: &[MemberProcess]| all.iter().map(|member| member.metric("suspected_total")).sum::<u64>();
    assert_eq!(suspected(&all), 0);
    // A member that leaves announces it, so it is not suspected. A node that shuts down still serves its
    // clients for a while before that.
    let mut leaving = all.pop().unwrap();
    leaving.process.signal(Signal::SIGTERM).unwrap();
    assert!(leaving.process.wait(Duration::from_secs(10)).is_some());
    let elapsed_s = until_all("that it left is known", &all, |member| member.lists(" left ") == 1);
    assert!(elapsed_s < 5.0 && suspected(&all) == 0, "{elapsed_s} s");
    // A killed member is suspected, then declared dead, and counted as one that may still be sending.
    drop(all.pop().unwrap());
    until_all("the kill is known", &all, |member| member.lists(" dead ") == 1);
    assert!(all.iter().all(|member| member.lists(" alive ") == 10 && member.lists(" left ") == 1));
    // It restarts under the same name with a later incarnation.
    all.push(cluster.start(10));
    until_all("it is back", &all, |member| member.lists(" alive ") == 11);
    // One member is paused long enough to be declared dead. After it resumes, it declares no other member dead
    // and is alive to all again.
    all[5].process.signal(Signal::SIGSTOP).unwrap();
    std::thread::sleep(ms(5000));
    all[5].process.signal(Signal::SIGCONT).unwrap();
    until_all("it is alive again", &all, |member| member.lists(" alive ") == 11);
    assert!(all[5].metric("stood_still_total") >= 1 && all[5].lists(" dead ") == 0);
    assert_eq!(all[5].metric("likely"), 11);
    // Each member has notified its dispatch loop of 12 nodes that may be sending, which limit the budgets, and
    // 12 that are likely to be live.
    assert!(all[..10].iter().all(|member| member.process.logged("members: 12 live, 12 may be sending")));
}

#[test]
fn unauthenticated_messages_are_ignored_and_a_successor_is_no_second_member() {
    let folder = std::env::temp_dir();
    let key = |name: &str, digit: &str| -> PathBuf {
        let path = folder.join(format!("stileroute-key-{name}-{}", std::process::id()));
        std::fs::write(&path, digit.repeat(64)).unwrap();
        path
    };
    let (right, wrong) = (key("right", "5"), key("wrong", "6"));
    let with = |path: &Path| format!("key-file = \"{}\"", path.display());
    let cluster = Cluster::new(4, &with(&right));
    let mut all: Vec<MemberProcess> = (0..4).map(|name| cluster.start(name)).collect();
    until_all("all know all", &all, |member| member.lists(" alive ") == 4);
    let (wrong_key, without_key) = (cluster.start_with(8, &with(&wrong)), cluster.start_with(9, ""));
    wait_until("unauthenticated messages were rejected", || {
        all[0].metric("strangers_total") + all[1].metric("strangers_total") > 4
    });
    assert!(all.iter().all(|member| member.lists(" alive ") == 4));
    assert_eq!((wrong_key.lists(" alive "), without_key.lists(" alive ")), (1, 1));
    // Malformed datagrams, and one longer than the maximum message.
    let malformed_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for text in [&b""[..], b"\x02", &[7; 2000], b"GET / HTTP/1.1\r\n\r\n"] {
        malformed_sender.send_to(text, ("127.0.0.1", cluster.seeds[0])).unwrap();
    }
    wait_until("malformed messages are counted", || {
        all[0].metric("garbled_total") + all[0].metric("strangers_total") > 6
    });
    // A second process starts with the name of a running one: the older one stops sending, and no member is
    // suspected.
    std::thread::sleep(ms(10_500));
    let successor = cluster.start(3);
    let old = std::mem::replace(&mut all[3], successor);
    wait_until("the older process has noticed", || {
        old.process.logged("another process has this node's name, and its place")
    });
    until_all("four are there", &all, |member| member.lists(" alive ") == 4 && member.lists(" dead ") == 0);
    assert_eq!(all.iter().map(|member| member.metric("suspected_total")).sum::<u64>(), 0);
    // The settings do not say that all nodes are members, so budgets assume at least the number of nodes in the
    // settings.
    assert!(all.iter().all(|member| member.metric("safe") == 4));
    [right, wrong].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn invalid_members_section_is_rejected_and_without_one_membership_is_off() {
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
    // Without the section there is no socket, no thread and no metric, and the admin request returns 404.
    let cluster = Cluster::new(1, "");
    let on = cluster.start(0);
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{}","admin_addr":"127.0.0.1:0","settings":{SETTINGS}}}"#,
        nowhere()
    );
    let process = NodeProcess::start(binary, &text, &[]).unwrap();
    wait_until("an admin address", || process.said("operators call at ").is_some());
    let admin_address = process.said("operators call at ").unwrap().parse().unwrap();
    let off = MemberProcess { process, admin_address };
    assert_eq!(off.get("/members").0, 404);
    assert!(!off.get("/metrics").1.contains("members"));
    wait_until("figures", || on.get("/metrics").1.contains("svc_members_likely 1\n"));
    let threads = |member: &MemberProcess| {
        std::fs::read_dir(format!("/proc/{}/task", member.process.id())).unwrap().count()
    };
    wait_until("its threads are there", || threads(&on) == threads(&off) + 1);
}
