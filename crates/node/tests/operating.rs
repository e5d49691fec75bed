//! Operation of a node process: the admin server, its metrics, and the commands of operators.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};
use stileroute_testbed::stand::{
    entries, entry, nowhere, read_message, Act, Discovery, Fleet, NodeProcess, Signal,
};

/// Starts a node with an admin address.
fn start_with_admin(discovery: SocketAddr, known: &str, sockets: usize) -> (Node, SocketAddr) {
    let text = configuration(discovery, known, sockets);
    let process = NodeProcess::start(Path::new(env!("CARGO_BIN_EXE_stileroute")), &text, &[]).unwrap();
    wait_for_admin_address(discovery, process)
}

/// The same with an inherited listener; a further node on the same listener is its successor.
fn start_with_shared_listener(
    discovery: SocketAddr,
    known: &str,
    listener: &TcpListener,
    shared_folder: &Path,
) -> (Node, SocketAddr) {
    let (text, binary) = (configuration(discovery, known, 256), Path::new(env!("CARGO_BIN_EXE_stileroute")));
    let env = [("TMPDIR", shared_folder.display().to_string())];
    let process = NodeProcess::inherit(binary, &text, &env, listener.try_clone().unwrap().into()).unwrap();
    wait_for_admin_address(discovery, process)
}

fn configuration(discovery: SocketAddr, known: &str, sockets: usize) -> String {
    let known = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{known}]}}"#);
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0","discovery":"{discovery}","limits":{{"sockets":{sockets}}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

fn wait_for_admin_address(discovery: SocketAddr, process: NodeProcess) -> (Node, SocketAddr) {
    let node = Node { discovery, at: process.at, process };
    let admin_address = admin_address_of(&node);
    (node, admin_address)
}

fn admin_address_of(node: &Node) -> SocketAddr {
    let mut at = None;
    wait_until("an admin address", || {
        let log = node.process.log.lock().unwrap();
        at = log.iter().find_map(|line| line.strip_prefix("operators call at ")?.parse().ok());
        at.is_some()
    });
    at.unwrap()
}

/// Sends one admin request; returns status and body.
fn admin_request(at: SocketAddr, line: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    stream.write_all(format!("{line} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap_or_else(|error| panic!("{line}: {error}"));
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    (head[9..12].parse().unwrap(), body.to_string())
}

fn metric(at: SocketAddr, name: &str) -> i64 {
    let (status, text) = admin_request(at, "GET /metrics");
    assert_eq!(status, 200);
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

/// What the clients saw: number of responses by status and category, and number of disconnects without a
/// response.
type Seen = std::collections::BTreeMap<(&'static str, &'static str), i64>;

#[test]
fn metrics_match_what_clients_and_executors_saw() {
    let (fleet, addresses) = Fleet::start(3, |number| match number % 7 {
        0 => FULL,
        1 => ERROR,
        2 => Act::Close,
        3 => Act::Lines(60, &["{\"state\":\"started\"}\n{\"state\":\"done\",\"result\":\"r\"}\n"]),
        _ => DONE,
    });
    let (_discovery, at) = Discovery::start(entries(&addresses));
    let (node, admin_address) = start_with_admin(at, "", 64);
    wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
    let names = ["safe", "once", "marked"];
    for name in names {
        assert_eq!(metric(admin_address, &format!("svc_answered_total{{group=\"{name}\"}}")), 0);
    }
    // More concurrent requests than the node permits, so that some are rejected on arrival; some clients
    // disconnect at once.
    let seen = Mutex::new(Seen::new());
    std::thread::scope(|scope| {
        for client in 0..20 {
            let (seen, node) = (&seen, &node);
            scope.spawn(move || {
                let mut stream = node.client();
                for round in 0..15 {
                    let name = names[(client + round) % 3];
                    if (client + round) % 11 == 0 {
                        let mut leaves = node.client();
                        leaves.write_all(request(name, 3000).as_bytes()).unwrap();
                        *seen.lock().unwrap().entry(("left", name)).or_default() += 1;
                    }
                    stream.write_all(request(name, 3000).as_bytes()).unwrap();
                    let (status, head, _) = read_answer(&mut stream);
                    let what = match status {
                        200 => "answered",
                        503 => "deferred",
                        _ => "errored",
                    };
                    *seen.lock().unwrap().entry((what, name)).or_default() += 1;
                    if head.contains("Connection: close") {
                        stream = node.client();
                    }
                }
            });
        }
    });
    wait_until("no op is in flight", || metric(admin_address, "svc_current") == 0);
    let seen = seen.lock().unwrap();
    let count = |what, name| seen.get(&(what, name)).copied().unwrap_or(0);
    for name in names {
        for what in ["answered", "deferred", "errored"] {
            let (reported, true_count) =
                (metric(admin_address, &format!("svc_{what}_total{{group=\"{name}\"}}")), count(what, name));
            // An op whose client disconnected may be counted under any result or none.
            let most = true_count + count("left", name);
            assert!(
                (true_count..=most).contains(&reported),
                "{what} {name}: {reported}, saw {true_count} to {most}"
            );
        }
    }
    assert!(count("errored", "once") > 0 && count("answered", "safe") > 0, "{seen:?}");
    assert_eq!(metric(admin_address, "svc_sends_total"), fleet.count() as i64);
    assert_eq!((metric(admin_address, "svc_cluster_size"), node.ready()), (3, 200));
}

#[test]
fn admin_requests_are_answered_beside_a_crowd_of_silent_connections() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let (_node, admin_address) = start_with_admin(nowhere(), &entries(&addresses), 64);
    let mut held: Vec<TcpStream> = Vec::new();
    for round in 0..5 {
        for number in 0..40 {
            let mut connection = TcpStream::connect(admin_address).unwrap();
            if number % 2 == 0 {
                connection.write_all(b"GET /metrics HTTP/1.1\r\nHos").unwrap();
            }
            held.push(connection);
        }
        for line in ["GET /ready", "GET /metrics"] {
            let start = Instant::now();
            assert_eq!(admin_request(admin_address, line).0, 200);
            assert!(start.elapsed() < Duration::from_secs(1), "round {round}: {:?}", start.elapsed());
        }
    }
    // The most recent connections are still open, and one of them can complete its request.
    let mut last = held.pop().unwrap();
    last.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    last.set_read_timeout(Some(WAIT)).unwrap();
    let mut text = String::new();
    last.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[test]
fn node_is_ready_from_the_first_executor_until_shutdown() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let (discovery, at) = Discovery::start(String::new());
    let (mut node, admin_address) = start_with_admin(at, "", 1024);
    sleep(Duration::from_millis(100));
    assert_eq!(admin_request(admin_address, "GET /ready").0, 503);
    discovery.tell(6, true, entries(&addresses));
    wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
    // Neither address serves the paths of the other.
    assert_eq!(
        (admin_request(admin_address, "GET /-/ready").0, admin_request(admin_address, "POST /api/k").0),
        (404, 404)
    );
    assert_eq!(
        (admin_request(node.at, "GET /ready").0, admin_request(node.at, "GET /metrics").0),
        (405, 405)
    );
    node.signal(Signal::SIGTERM);
    wait_until("no more", || admin_request(admin_address, "GET /ready").0 == 503);
    assert!(node.process.wait(WAIT).is_some_and(|status| status.success()));
}

/// A client that sends requests until it is stopped. It counts answered requests, and requests that crossed the
/// close of their connection and were sent again.
fn run_client(at: SocketAddr, stop: &AtomicBool, answered: &AtomicUsize, crossed: &AtomicUsize) {
    let open = || {
        let stream = TcpStream::connect(at).expect("no connection is refused");
        stream.set_read_timeout(Some(WAIT)).unwrap();
        stream
    };
    let mut stream = open();
    while !stop.load(Ordering::SeqCst) {
        let text = request("marked", 3000);
        let mut sent = stream.write_all(text.as_bytes()).is_ok();
        let mut answer = if sent { read_message(&mut stream) } else { None };
        if answer.is_none() {
            crossed.fetch_add(1, Ordering::SeqCst);
            stream = open();
            sent = stream.write_all(text.as_bytes()).is_ok();
            answer = if sent { read_message(&mut stream) } else { None };
        }
        let (head, _) = answer.expect("a request that was sent again is answered");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        answered.fetch_add(1, Ordering::SeqCst);
        if head.contains("Connection: close") {
            stream = open();
        }
        sleep(Duration::from_millis(3));
    }
}

#[test]
fn process_is_replaced_under_load_without_failed_requests() {
    let (fleet, addresses) = Fleet::start(3, |_| {
        Act::Lines(8, &["{\"state\":\"started\"}\n{\"state\":\"done\",\"result\":\"r\"}\n"])
    });
    let (_discovery, at) = Discovery::start(entries(&addresses));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (shared_folder, clients) = (SharedFolder::new(), listener.local_addr().unwrap());
    let (mut node, admin_address) =
        start_with_shared_listener(at, &entries(&addresses), &listener, &shared_folder.0);
    wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
    let (stop, answered, crossed) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let stop_on_drop = StopOnDrop(&stop);
        for _ in 0..8 {
            scope.spawn(|| run_client(clients, &stop, &answered, &crossed));
        }
        for round in 0..3 {
            // A successor that fails to become ready has no effect.
            let text = configuration(at, "", 256).replace("\"settings\"", "\"nothing\"");
            let binary = Path::new(env!("CARGO_BIN_EXE_stileroute"));
            let file = OwnedFd::from(listener.try_clone().unwrap());
            assert!(NodeProcess::inherit(binary, &text, &[], file).is_err());
            let (next, admin_address) =
                start_with_shared_listener(at, &entries(&addresses), &listener, &shared_folder.0);
            wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
            let before = std::mem::replace(&mut node, next);
            before.signal(Signal::SIGTERM);
            let (mut before, start) = (before, Instant::now());
            assert!(before.process.wait(WAIT).is_some_and(|status| status.success()), "round {round}");
            assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
            let goal = answered.load(Ordering::SeqCst) + 100;
            wait_until("the successor serves", || answered.load(Ordering::SeqCst) > goal);
        }
        drop(stop_on_drop);
    });
    let (answered, crossed) = (answered.into_inner(), crossed.into_inner());
    assert!(crossed <= 2, "{crossed} requests crossed the end of their connection");
    let pushes = fleet.pushes.lock().unwrap();
    let ids: std::collections::HashSet<&str> =
        pushes.iter().filter_map(|push| push.text.split("X-Call-Id: ").nth(1)?.get(..16)).collect();
    assert_eq!((ids.len(), pushes.len()), (answered, answered), "one push for each op");
}

/// Stops the client threads at the end of the test, also after a failure; otherwise joining them would never
/// return.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

#[test]
fn disabling_fails_if_a_successor_could_not_learn_of_it() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, admin_address) =
        start_with_shared_listener(nowhere(), &entries(&addresses), &listener, Path::new("/nowhere/at/all"));
    wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
    assert_eq!(admin_request(admin_address, "PUT /executors/disable/s-0").0, 503);
    assert_eq!(metric(admin_address, "svc_cluster_unhealthy"), 0);
}

#[test]
fn client_with_expect_header_gets_100_continue() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let (node, _) = start_with_admin(nowhere(), &entries(&addresses), 256);
    let mut client = node.client();
    for _ in 0..2 {
        let text = request("safe", 3000).replace("Host: h\r\n", "Host: h\r\nExpect: 100-continue\r\n");
        let (head, body) = text.split_at(text.len() - 9);
        client.write_all(head.as_bytes()).unwrap();
        assert_eq!(read_answer(&mut client).0, 100);
        client.write_all(body.as_bytes()).unwrap();
        assert_eq!(read_answer(&mut client).0, 200);
    }
}

#[test]
fn watch_continues_from_the_known_list_version() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let (discovery, at) = Discovery::start(entries(&addresses));
    let (_node, admin_address) = start_with_admin(at, "", 256);
    wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
    wait_until("the watch goes on", || discovery.calls() > 1);
    let admin_address = discovery.calls.lock().unwrap().clone();
    assert_eq!(
        admin_address[..2],
        ["/api/targets?since=1&timeout_ms=4000", "/api/targets?since=5&timeout_ms=4000"]
    );
}

#[test]
fn two_processes_stay_within_the_descriptor_limit_of_one_node() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (shared_folder, clients) = (SharedFolder::new(), listener.local_addr().unwrap());
    let (mut first, admin_address) =
        start_with_shared_listener(nowhere(), &entries(&addresses), &listener, &shared_folder.0);
    wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let stop_on_drop = StopOnDrop(&stop);
        // A crowd of silent connections that reconnects whenever it is closed.
        scope.spawn(|| {
            let mut held = std::collections::VecDeque::new();
            while !stop.load(Ordering::SeqCst) {
                held.extend(TcpStream::connect(clients));
                if held.len() > 400 {
                    held.pop_front();
                }
            }
        });
        wait_until("full", || first.process.descriptors() > 120);
        let (second, admin_address) =
            start_with_shared_listener(nowhere(), &entries(&addresses), &listener, &shared_folder.0);
        wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
        let start = Instant::now();
        let mut most = 0;
        while start.elapsed() < Duration::from_millis(1500) {
            most = most.max(first.process.descriptors() + second.process.descriptors());
            sleep(Duration::from_millis(5));
        }
        assert!((120..=256).contains(&most), "{most} descriptors");
        first.signal(Signal::SIGTERM);
        assert!(first.process.wait(WAIT).is_some());
        wait_until("the successor uses its whole budget", || second.process.descriptors() > 120);
        drop(stop_on_drop);
    });
}

#[test]
fn process_in_shutdown_leaves_new_connections_to_its_successor() {
    const SLOW: Act = Act::Lines(1500, &["{\"state\":\"started\"}\n{\"state\":\"done\",\"result\":\"r\"}\n"]);
    let (_fleet, addresses) = Fleet::start(1, |number| first(number, SLOW));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let shared_folder = SharedFolder::new();
    let (mut before, admin_address) =
        start_with_shared_listener(nowhere(), &entries(&addresses), &listener, &shared_folder.0);
    wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
    let mut early = before.client();
    early.write_all(request("once", 4000).as_bytes()).unwrap();
    wait_until("an op is in flight", || metric(admin_address, "svc_current") == 1);
    before.signal(Signal::SIGTERM);
    wait_until("the listener is left to the successor", || before.logged("left to the successor"));
    let mut late = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    late.write_all(request("marked", 4000).as_bytes()).unwrap();
    late.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    assert!(late.read(&mut [0]).is_err(), "accepted by the process in shutdown");
    let (_next, _) = start_with_shared_listener(nowhere(), &entries(&addresses), &listener, &shared_folder.0);
    late.set_read_timeout(Some(WAIT)).unwrap();
    assert_eq!((read_answer(&mut late).0, read_answer(&mut early).0), (200, 200));
    assert!(before.process.wait(WAIT).is_some_and(|status| status.success()));
}

/// A temporary folder for the files that the processes of one node share.
struct SharedFolder(std::path::PathBuf);

impl SharedFolder {
    fn new() -> SharedFolder {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("stileroute-home-{}-{}", std::process::id(), NUMBER.fetch_add(1, Ordering::SeqCst));
        // Kept in memory if /dev/shm exists: a disk that is busy writing a gigabyte of build output can delay a
        // rename for more than the second in which an admin request is answered, which then correctly fails.
        let memory = Path::new("/dev/shm");
        let folder = if memory.is_dir() { memory.to_path_buf() } else { std::env::temp_dir() };
        let path = folder.join(name);
        std::fs::create_dir(&path).unwrap();
        SharedFolder(path)
    }
}

impl Drop for SharedFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn inherited_descriptor_that_is_no_listener_ends_the_process_with_one_line() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let files: [OwnedFd; 3] = [
        UdpSocket::bind("127.0.0.1:0").unwrap().into(),
        stream.into(),
        std::fs::File::open("/dev/null").unwrap().into(),
    ];
    let (binary, text) = (Path::new(env!("CARGO_BIN_EXE_stileroute")), configuration(nowhere(), "", 256));
    for file in files {
        let error = NodeProcess::inherit(binary, &text, &[], file).map(|_| ()).unwrap_err();
        assert!(error.contains("BALANCER_PASSED_SOCKET: descriptor 3 is no "), "{error}");
    }
    for number in ["3", "x", "-1", "1"] {
        let env = [("BALANCER_PASSED_SOCKET", number.to_string())];
        let error = NodeProcess::start(binary, &text, &env).map(|_| ()).unwrap_err();
        assert!(error.contains("BALANCER_PASSED_SOCKET: "), "{number}: {error}");
    }
}

/// Number of pushes seen so far at this executor.
fn at_executor(fleet: &Fleet, executor: usize) -> usize {
    fleet.pushes.lock().unwrap().iter().filter(|push| push.executor == executor).count()
}

#[test]
fn disabled_executor_gets_no_push_until_enabled_even_across_an_upgrade() {
    let (fleet, addresses) = Fleet::start(3, |_| DONE);
    let (discovery, at) = Discovery::start(entries(&addresses));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (shared_folder, clients) = (SharedFolder::new(), listener.local_addr().unwrap());
    let (mut node, mut admin_address) = start_with_shared_listener(at, "", &listener, &shared_folder.0);
    wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
    assert_eq!(admin_request(admin_address, "PUT /executors/disable/s-9").0, 404);
    assert_eq!(admin_request(admin_address, "PUT /executors/enable/s-9").0, 404);
    let (stop, answered, crossed) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let stop_on_drop = StopOnDrop(&stop);
        for _ in 0..6 {
            scope.spawn(|| run_client(clients, &stop, &answered, &crossed));
        }
        wait_until("all are used", || (0..3).all(|executor| at_executor(&fleet, executor) > 5));
        let assert_no_push = |executor: usize, what: &str| {
            let (before, goal) = (at_executor(&fleet, executor), answered.load(Ordering::SeqCst) + 60);
            wait_until(what, || answered.load(Ordering::SeqCst) > goal);
            assert_eq!(at_executor(&fleet, executor), before, "{what}");
        };
        // A push that began before the response may still arrive; it takes a moment to be counted.
        let set_disabled = |admin_address, line: &str| {
            let (status, why) = admin_request(admin_address, line);
            assert_eq!(status, 200, "{line}: {why}");
            sleep(Duration::from_millis(20));
        };
        set_disabled(admin_address, "PUT /executors/disable/s-1");
        set_disabled(admin_address, "PUT /executors/disable/s-1");
        assert_no_push(1, "out");
        assert_eq!(
            (metric(admin_address, "svc_cluster_size"), metric(admin_address, "svc_cluster_unhealthy")),
            (3, 1)
        );
        discovery.tell(7, false, entry(1, &addresses[1], "Gone"));
        wait_until("gone", || metric(admin_address, "svc_cluster_size") == 2);
        discovery.tell(8, true, entries(&addresses));
        wait_until("back in the list", || metric(admin_address, "svc_cluster_size") == 3);
        assert_no_push(1, "listed again");
        // Learned state is saved four times a second.
        sleep(Duration::from_millis(600));
        // The successor knows the disabled set, and a change made at either process applies to both.
        let (next, next_calls) =
            start_with_shared_listener(at, &entries(&addresses), &listener, &shared_folder.0);
        wait_until("ready", || admin_request(next_calls, "GET /ready").0 == 200);
        set_disabled(admin_address, "PUT /executors/disable/s-2");
        assert_eq!(metric(next_calls, "svc_cluster_unhealthy"), 2);
        set_disabled(next_calls, "PUT /executors/enable/s-1");
        assert_eq!(metric(admin_address, "svc_cluster_unhealthy"), 1);
        assert_no_push(2, "out at both");
        let mut before = std::mem::replace(&mut node, next);
        admin_address = next_calls;
        before.signal(Signal::SIGTERM);
        assert_no_push(2, "out while the older one ends");
        assert!(before.process.wait(WAIT).is_some());
        assert!(node.logged("takes over what was learned of 3 executors"));
        assert_no_push(2, "out at the successor");
        // A single enable request undoes repeated disabling, and the executor is used again within five
        // seconds.
        for executor in [1, 2] {
            let (before, start) = (at_executor(&fleet, executor), Instant::now());
            set_disabled(admin_address, &format!("PUT /executors/enable/s-{executor}"));
            wait_until("in use again", || at_executor(&fleet, executor) > before);
            assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
        }
        drop(stop_on_drop);
    });
    assert_eq!(metric(admin_address, "svc_cluster_unhealthy"), 0);
}

#[test]
fn push_waiting_for_its_connection_is_withheld_when_its_executor_is_disabled() {
    for comes_up in [true, false] {
        // The accept queue of this executor is full, so a new connection waits until its time-out.
        let deaf = TcpListener::bind("127.0.0.1:0").unwrap();
        let deaf_at = deaf.local_addr().unwrap();
        socket2::SockRef::from(&deaf).listen(0).unwrap();
        let filler = TcpStream::connect(deaf_at).unwrap();
        let (fleet, addresses) = Fleet::start(1, |_| DONE);
        let known = [entry(0, &deaf_at, "Ready"), entry(1, &nowhere(), "Terminating")].join(",");
        let (discovery, at) = Discovery::start(known.clone());
        let (node, admin_address) = start_with_admin(at, &known, 256);
        wait_until("ready", || admin_request(admin_address, "GET /ready").0 == 200);
        let mut client = node.client();
        client.write_all(request("once", 5000).as_bytes()).unwrap();
        wait_until("an op is in flight", || metric(admin_address, "svc_current") == 1);
        sleep(Duration::from_millis(50));
        assert_eq!(admin_request(admin_address, "PUT /executors/disable/s-0").0, 200);
        if comes_up {
            // From here on a connection would succeed but must not be used; the op goes to the executor that is
            // listed next.
            drop((filler, deaf.accept()));
        }
        discovery.tell(9, false, entry(1, &addresses[0], "Ready"));
        assert_eq!(read_answer(&mut client).0, 200);
        assert_eq!((fleet.count(), metric(admin_address, "svc_sends_total")), (1, 1));
        assert!(!node.logged("set aside"), "a disabled executor was ejected");
        deaf.set_nonblocking(true).unwrap();
        while let Ok((mut late, _)) = deaf.accept() {
            let mut byte = [0];
            late.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
            assert!(
                !matches!(late.read(&mut byte), Ok(1..)),
                "a disabled executor received a byte of a push"
            );
        }
    }
}
