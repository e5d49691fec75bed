//! The node in operation, as a process: the operators' address, its figures, and what operators do there.

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

/// A node with an operators' address.
fn operated(discovery: SocketAddr, known: &str, sockets: usize) -> (Node, SocketAddr) {
    let text = configuration(discovery, known, sockets);
    let process = NodeProcess::start(Path::new(env!("CARGO_BIN_EXE_stileroute")), &text, &[]).unwrap();
    begun(discovery, process)
}

/// The same with a listener handed in; a further one on the same is its successor.
fn shared(discovery: SocketAddr, known: &str, listener: &TcpListener, home: &Path) -> (Node, SocketAddr) {
    let (text, binary) = (configuration(discovery, known, 256), Path::new(env!("CARGO_BIN_EXE_stileroute")));
    let env = [("TMPDIR", home.display().to_string())];
    let process = NodeProcess::inherit(binary, &text, &env, listener.try_clone().unwrap().into()).unwrap();
    begun(discovery, process)
}

fn configuration(discovery: SocketAddr, known: &str, sockets: usize) -> String {
    let known = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{known}]}}"#);
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0","discovery":"{discovery}","limits":{{"sockets":{sockets}}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

fn begun(discovery: SocketAddr, process: NodeProcess) -> (Node, SocketAddr) {
    let node = Node { discovery, at: process.at, process };
    let calls = calls_at(&node);
    (node, calls)
}

fn calls_at(node: &Node) -> SocketAddr {
    let mut at = None;
    until("an address for operators", || {
        let log = node.process.log.lock().unwrap();
        at = log.iter().find_map(|line| line.strip_prefix("operators call at ")?.parse().ok());
        at.is_some()
    });
    at.unwrap()
}

/// One call: status and body.
fn call(at: SocketAddr, line: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    stream.write_all(format!("{line} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap_or_else(|error| panic!("{line}: {error}"));
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    (head[9..12].parse().unwrap(), body.to_string())
}

fn figure(at: SocketAddr, name: &str) -> i64 {
    let (status, text) = call(at, "GET /metrics");
    assert_eq!(status, 200);
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

/// What one of the clients saw: statuses by category, and how many left without an answer.
type Seen = std::collections::BTreeMap<(&'static str, &'static str), i64>;

#[test]
fn the_figures_are_those_that_clients_and_executors_saw() {
    let (fleet, addresses) = Fleet::start(3, |number| match number % 7 {
        0 => FULL,
        1 => ERROR,
        2 => Act::Close,
        3 => Act::Lines(60, &["{\"state\":\"started\"}\n{\"state\":\"done\",\"result\":\"r\"}\n"]),
        _ => DONE,
    });
    let (_discovery, at) = Discovery::start(entries(&addresses));
    let (node, calls) = operated(at, "", 64);
    until("ready", || call(calls, "GET /ready").0 == 200);
    let names = ["safe", "once", "marked"];
    for name in names {
        assert_eq!(figure(calls, &format!("svc_answered_total{{group=\"{name}\"}}")), 0);
    }
    // More at once than the node may have in hand, so that some are refused at the door; some leave at once.
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
                    let (status, head, _) = hear(&mut stream);
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
    until("nothing in hand", || figure(calls, "svc_current") == 0);
    let seen = seen.lock().unwrap();
    let count = |what, name| seen.get(&(what, name)).copied().unwrap_or(0);
    for name in names {
        for what in ["answered", "deferred", "errored"] {
            let (told, true_count) =
                (figure(calls, &format!("svc_{what}_total{{group=\"{name}\"}}")), count(what, name));
            // What its client left may stand under any count or none.
            let most = true_count + count("left", name);
            assert!((true_count..=most).contains(&told), "{what} {name}: {told}, saw {true_count} to {most}");
        }
    }
    assert!(count("errored", "once") > 0 && count("answered", "safe") > 0, "{seen:?}");
    assert_eq!(figure(calls, "svc_sends_total"), fleet.count() as i64);
    assert_eq!((figure(calls, "svc_cluster_size"), node.ready()), (3, 200));
}

#[test]
fn calls_are_answered_beside_more_silent_callers_than_there_are_places() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let (_node, calls) = operated(nowhere(), &entries(&addresses), 64);
    let mut held: Vec<TcpStream> = Vec::new();
    for round in 0..5 {
        for number in 0..40 {
            let mut caller = TcpStream::connect(calls).unwrap();
            if number % 2 == 0 {
                caller.write_all(b"GET /metrics HTTP/1.1\r\nHos").unwrap();
            }
            held.push(caller);
        }
        for line in ["GET /ready", "GET /metrics"] {
            let start = Instant::now();
            assert_eq!(call(calls, line).0, 200);
            assert!(start.elapsed() < Duration::from_secs(1), "round {round}: {:?}", start.elapsed());
        }
    }
    // The latest few are still there, and one of them may go on with its call.
    let mut last = held.pop().unwrap();
    last.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    last.set_read_timeout(Some(WAIT)).unwrap();
    let mut text = String::new();
    last.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[test]
fn ready_is_yes_from_the_first_executor_to_the_signal() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let (discovery, at) = Discovery::start(String::new());
    let (mut node, calls) = operated(at, "", 1024);
    sleep(Duration::from_millis(100));
    assert_eq!(call(calls, "GET /ready").0, 503);
    discovery.tell(6, true, entries(&addresses));
    until("ready", || call(calls, "GET /ready").0 == 200);
    // Neither address answers for the other.
    assert_eq!((call(calls, "GET /-/ready").0, call(calls, "POST /api/k").0), (404, 404));
    assert_eq!((call(node.at, "GET /ready").0, call(node.at, "GET /metrics").0), (405, 405));
    node.signal(Signal::SIGTERM);
    until("no more", || call(calls, "GET /ready").0 == 503);
    assert!(node.process.wait(WAIT).is_some_and(|status| status.success()));
}

/// A client that goes on asking until told to stop: answers by status, and requests that crossed the end of their
/// connection and were sent again.
fn goes_on(at: SocketAddr, stop: &AtomicBool, answered: &AtomicUsize, crossed: &AtomicUsize) {
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
fn a_process_is_replaced_under_load_and_nobody_notices() {
    let (fleet, addresses) = Fleet::start(3, |_| {
        Act::Lines(8, &["{\"state\":\"started\"}\n{\"state\":\"done\",\"result\":\"r\"}\n"])
    });
    let (_discovery, at) = Discovery::start(entries(&addresses));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (home, clients) = (Home::new(), listener.local_addr().unwrap());
    let (mut node, calls) = shared(at, &entries(&addresses), &listener, &home.0);
    until("ready", || call(calls, "GET /ready").0 == 200);
    let (stop, answered, crossed) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let stops = Stops(&stop);
        for _ in 0..8 {
            scope.spawn(|| goes_on(clients, &stop, &answered, &crossed));
        }
        for round in 0..3 {
            // A successor that never comes to its yes changes nothing.
            let text = configuration(at, "", 256).replace("\"settings\"", "\"nothing\"");
            let binary = Path::new(env!("CARGO_BIN_EXE_stileroute"));
            let file = OwnedFd::from(listener.try_clone().unwrap());
            assert!(NodeProcess::inherit(binary, &text, &[], file).is_err());
            let (next, calls) = shared(at, &entries(&addresses), &listener, &home.0);
            until("ready", || call(calls, "GET /ready").0 == 200);
            let before = std::mem::replace(&mut node, next);
            before.signal(Signal::SIGTERM);
            let (mut before, start) = (before, Instant::now());
            assert!(before.process.wait(WAIT).is_some_and(|status| status.success()), "round {round}");
            assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
            let goal = answered.load(Ordering::SeqCst) + 100;
            until("the successor serves", || answered.load(Ordering::SeqCst) > goal);
        }
        drop(stops);
    });
    let (answered, crossed) = (answered.into_inner(), crossed.into_inner());
    assert!(crossed <= 2, "{crossed} requests crossed the end of their connection");
    let pushes = fleet.pushes.lock().unwrap();
    let ids: std::collections::HashSet<&str> =
        pushes.iter().filter_map(|push| push.text.split("X-Call-Id: ").nth(1)?.get(..16)).collect();
    assert_eq!((ids.len(), pushes.len()), (answered, answered), "one push for each op");
}

/// Ends the clients with the test, also one that fails: they would be waited for without end.
struct Stops<'a>(&'a AtomicBool);

impl Drop for Stops<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

#[test]
fn what_a_successor_could_not_know_is_a_no() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, calls) = shared(nowhere(), &entries(&addresses), &listener, Path::new("/nowhere/at/all"));
    until("ready", || call(calls, "GET /ready").0 == 200);
    assert_eq!(call(calls, "PUT /executors/disable/s-0").0, 503);
    assert_eq!(figure(calls, "svc_cluster_unhealthy"), 0);
}

#[test]
fn a_client_that_asks_first_is_told_to_send_its_body() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let (node, _) = operated(nowhere(), &entries(&addresses), 256);
    let mut client = node.client();
    for _ in 0..2 {
        let text = request("safe", 3000).replace("Host: h\r\n", "Host: h\r\nExpect: 100-continue\r\n");
        let (head, body) = text.split_at(text.len() - 9);
        client.write_all(head.as_bytes()).unwrap();
        assert_eq!(hear(&mut client).0, 100);
        client.write_all(body.as_bytes()).unwrap();
        assert_eq!(hear(&mut client).0, 200);
    }
}

#[test]
fn the_watch_goes_on_from_the_list_that_is_known() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let (discovery, at) = Discovery::start(entries(&addresses));
    let (_node, calls) = operated(at, "", 256);
    until("ready", || call(calls, "GET /ready").0 == 200);
    until("the watch goes on", || discovery.calls() > 1);
    let calls = discovery.calls.lock().unwrap().clone();
    assert_eq!(calls[..2], ["/api/targets?since=1&timeout_ms=4000", "/api/targets?since=5&timeout_ms=4000"]);
}

#[test]
fn two_processes_keep_within_the_descriptors_of_one_node() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (home, clients) = (Home::new(), listener.local_addr().unwrap());
    let (mut first, calls) = shared(nowhere(), &entries(&addresses), &listener, &home.0);
    until("ready", || call(calls, "GET /ready").0 == 200);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let stops = Stops(&stop);
        // A crowd that says nothing and comes again when it is sent away.
        scope.spawn(|| {
            let mut held = std::collections::VecDeque::new();
            while !stop.load(Ordering::SeqCst) {
                held.extend(TcpStream::connect(clients));
                if held.len() > 400 {
                    held.pop_front();
                }
            }
        });
        until("full", || first.process.descriptors() > 120);
        let (second, calls) = shared(nowhere(), &entries(&addresses), &listener, &home.0);
        until("ready", || call(calls, "GET /ready").0 == 200);
        let start = Instant::now();
        let mut most = 0;
        while start.elapsed() < Duration::from_millis(1500) {
            most = most.max(first.process.descriptors() + second.process.descriptors());
            sleep(Duration::from_millis(5));
        }
        assert!((120..=256).contains(&most), "{most} descriptors");
        first.signal(Signal::SIGTERM);
        assert!(first.process.wait(WAIT).is_some());
        until("all its places again", || second.process.descriptors() > 120);
        drop(stops);
    });
}

#[test]
fn a_process_that_is_told_to_end_leaves_new_connections_to_its_successor() {
    const SLOW: Act = Act::Lines(1500, &["{\"state\":\"started\"}\n{\"state\":\"done\",\"result\":\"r\"}\n"]);
    let (_fleet, addresses) = Fleet::start(1, |number| first(number, SLOW));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let home = Home::new();
    let (mut before, calls) = shared(nowhere(), &entries(&addresses), &listener, &home.0);
    until("ready", || call(calls, "GET /ready").0 == 200);
    let mut early = before.client();
    early.write_all(request("once", 4000).as_bytes()).unwrap();
    until("in hand", || figure(calls, "svc_current") == 1);
    before.signal(Signal::SIGTERM);
    until("told", || before.logged("left to the successor"));
    let mut late = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    late.write_all(request("marked", 4000).as_bytes()).unwrap();
    late.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    assert!(late.read(&mut [0]).is_err(), "taken by who is ending");
    let (_next, _) = shared(nowhere(), &entries(&addresses), &listener, &home.0);
    late.set_read_timeout(Some(WAIT)).unwrap();
    assert_eq!((hear(&mut late).0, hear(&mut early).0), (200, 200));
    assert!(before.process.wait(WAIT).is_some_and(|status| status.success()));
}

/// A folder of the test's own, for what processes of one node share.
struct Home(std::path::PathBuf);

impl Home {
    fn new() -> Home {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("stileroute-home-{}-{}", std::process::id(), NUMBER.fetch_add(1, Ordering::SeqCst));
        // In memory where there is such a folder: a disk that is just writing a build's gigabyte holds a rename up for
        // longer than the second in which a call is owed, and the call is then a no, as it should be.
        let memory = Path::new("/dev/shm");
        let folder = if memory.is_dir() { memory.to_path_buf() } else { std::env::temp_dir() };
        let path = folder.join(name);
        std::fs::create_dir(&path).unwrap();
        Home(path)
    }
}

impl Drop for Home {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_descriptor_that_is_no_listener_ends_it_with_one_line() {
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

/// Pushes seen so far at this executor.
fn at_executor(fleet: &Fleet, executor: usize) -> usize {
    fleet.pushes.lock().unwrap().iter().filter(|push| push.executor == executor).count()
}

#[test]
fn who_is_out_by_hand_gets_nothing_until_called_back_also_over_an_upgrade() {
    let (fleet, addresses) = Fleet::start(3, |_| DONE);
    let (discovery, at) = Discovery::start(entries(&addresses));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (home, clients) = (Home::new(), listener.local_addr().unwrap());
    let (mut node, mut calls) = shared(at, "", &listener, &home.0);
    until("ready", || call(calls, "GET /ready").0 == 200);
    assert_eq!(call(calls, "PUT /executors/disable/s-9").0, 404);
    assert_eq!(call(calls, "PUT /executors/enable/s-9").0, 404);
    let (stop, answered, crossed) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let stops = Stops(&stop);
        for _ in 0..6 {
            scope.spawn(|| goes_on(clients, &stop, &answered, &crossed));
        }
        until("all are used", || (0..3).all(|executor| at_executor(&fleet, executor) > 5));
        let holds = |executor: usize, what: &str| {
            let (before, goal) = (at_executor(&fleet, executor), answered.load(Ordering::SeqCst) + 60);
            until(what, || answered.load(Ordering::SeqCst) > goal);
            assert_eq!(at_executor(&fleet, executor), before, "{what}");
        };
        // What has begun before the yes may still come in; it takes a moment to be counted.
        let turn = |calls, line: &str| {
            let (status, why) = call(calls, line);
            assert_eq!(status, 200, "{line}: {why}");
            sleep(Duration::from_millis(20));
        };
        turn(calls, "PUT /executors/disable/s-1");
        turn(calls, "PUT /executors/disable/s-1");
        holds(1, "out");
        assert_eq!((figure(calls, "svc_cluster_size"), figure(calls, "svc_cluster_unhealthy")), (3, 1));
        discovery.tell(7, false, entry(1, &addresses[1], "Gone"));
        until("gone", || figure(calls, "svc_cluster_size") == 2);
        discovery.tell(8, true, entries(&addresses));
        until("back in the list", || figure(calls, "svc_cluster_size") == 3);
        holds(1, "listed again");
        // What is learned is kept four times a second.
        sleep(Duration::from_millis(600));
        // The successor knows, and what is called out at either holds at both.
        let (next, next_calls) = shared(at, &entries(&addresses), &listener, &home.0);
        until("ready", || call(next_calls, "GET /ready").0 == 200);
        turn(calls, "PUT /executors/disable/s-2");
        assert_eq!(figure(next_calls, "svc_cluster_unhealthy"), 2);
        turn(next_calls, "PUT /executors/enable/s-1");
        assert_eq!(figure(calls, "svc_cluster_unhealthy"), 1);
        holds(2, "out at both");
        let mut before = std::mem::replace(&mut node, next);
        calls = next_calls;
        before.signal(Signal::SIGTERM);
        holds(2, "out while the older one ends");
        assert!(before.process.wait(WAIT).is_some());
        assert!(node.logged("takes over what was learned of 3 executors"));
        holds(2, "out at the successor");
        // One call back undoes both, and it is used within five seconds.
        for executor in [1, 2] {
            let (before, start) = (at_executor(&fleet, executor), Instant::now());
            turn(calls, &format!("PUT /executors/enable/s-{executor}"));
            until("in use again", || at_executor(&fleet, executor) > before);
            assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
        }
        drop(stops);
    });
    assert_eq!(figure(calls, "svc_cluster_unhealthy"), 0);
}

#[test]
fn a_push_that_waits_for_its_connection_stays_here_and_costs_its_op_nothing() {
    for comes_up in [true, false] {
        // One executor whose queue of connections is full: a new one waits until its time is out.
        let deaf = TcpListener::bind("127.0.0.1:0").unwrap();
        let deaf_at = deaf.local_addr().unwrap();
        socket2::SockRef::from(&deaf).listen(0).unwrap();
        let filler = TcpStream::connect(deaf_at).unwrap();
        let (fleet, addresses) = Fleet::start(1, |_| DONE);
        let known = [entry(0, &deaf_at, "Ready"), entry(1, &nowhere(), "Terminating")].join(",");
        let (discovery, at) = Discovery::start(known.clone());
        let (node, calls) = operated(at, &known, 256);
        until("ready", || call(calls, "GET /ready").0 == 200);
        let mut client = node.client();
        client.write_all(request("once", 5000).as_bytes()).unwrap();
        until("in hand", || figure(calls, "svc_current") == 1);
        sleep(Duration::from_millis(50));
        assert_eq!(call(calls, "PUT /executors/disable/s-0").0, 200);
        if comes_up {
            // From here on it could connect, and must not; the op goes to who comes.
            drop((filler, deaf.accept()));
        }
        discovery.tell(9, false, entry(1, &addresses[0], "Ready"));
        assert_eq!(hear(&mut client).0, 200);
        assert_eq!((fleet.count(), figure(calls, "svc_sends_total")), (1, 1));
        assert!(!node.logged("set aside"), "held against who was taken out");
        deaf.set_nonblocking(true).unwrap();
        while let Ok((mut late, _)) = deaf.accept() {
            let mut byte = [0];
            late.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
            assert!(!matches!(late.read(&mut byte), Ok(1..)), "a byte of a push came to who is out");
        }
    }
}
