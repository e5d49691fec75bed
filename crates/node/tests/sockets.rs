//! The node as a process, with fake executors and a fake discovery service on loopback.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Instant;
use stileroute_testbed::stand::{
    at_end, entries, entry, nowhere, read_message, Act, Discovery, Fleet, Push, Script, Signal,
};

#[test]
fn push_outcomes_give_the_response_that_the_category_allows() {
    // The fate of the first push, the category, the status of the response, and the number of pushes.
    let cases: [(&str, Script, &str, u16, usize); 13] = [
        ("acked", |_| DONE, "once", 200, 1),
        ("rejected", |n| first(n, FULL), "once", 200, 2),
        ("handed back", |n| first(n, Act::Lines(0, &["{\"state\":\"returned\"}\n"])), "once", 200, 2),
        ("closed unanswered", |n| first(n, Act::Close), "once", 500, 1),
        ("broken off", |n| first(n, Act::Lines(0, &["{\"state\":\"started\"}\n"])), "once", 500, 1),
        ("killed", |n| first(n, Act::Lines(0, &["{\"state\":\"lost\"}\n"])), "once", 500, 1),
        ("error", |n| first(n, ERROR), "once", 500, 1),
        ("503 without X-Rejected", |n| first(n, BUSY), "once", 500, 1),
        ("rejected as invalid", |n| first(n, INVALID), "once", 400, 1),
        ("rejected as invalid", |n| first(n, INVALID), "safe", 400, 1),
        ("closed unanswered", |n| first(n, Act::Close), "safe", 200, 2),
        ("error", |n| first(n, ERROR), "marked", 200, 2),
        ("garbled", |n| first(n, Act::Text("no HTTP\r\n\r\n")), "safe", 200, 2),
    ];
    for (what, script, category, status, pushes) in cases {
        let (node, fleet, ..) = start_node_with_executors(3, script);
        let (got, _, body) = node.ask(category, 9000);
        assert_eq!((got, fleet.count()), (status, pushes), "{what}, {category}");
        assert!(status != 200 || body == "a\"b", "{what}: {body}");
        let seen = fleet.pushes.lock().unwrap();
        assert!(pushes < 2 || seen[0].executor != seen[1].executor, "{what}");
        for Push { text, .. } in seen.iter() {
            assert!(
                text.starts_with("POST /api/k?x=%20 HTTP/1.1\r\n") && text.ends_with("\r\n\r\nHTTP/1.1 ")
            );
            assert!(text.contains("X-Call-Id: 0") && text.contains("Idempotency-Key: m"), "{text}");
            let left = text.lines().find_map(|line| line.strip_prefix("X-Budget-Ms: ")).unwrap();
            assert!((1..=9000).contains(&left.parse::<u32>().unwrap()), "{text}");
        }
    }
}

#[test]
fn unreachable_executor_never_ran_the_op() {
    let (fleet, mut addresses) = Fleet::start(1, |_| DONE);
    // The connection is refused, because the listener at this address is closed.
    addresses.insert(0, nowhere());
    let (_discovery, at) = Discovery::start(entries(&addresses));
    let node = Node::start(at, "");
    wait_until("ready", || node.ready() == 200);
    (0..6).for_each(|_| assert_eq!(node.ask("once", 9000).0, 200));
    wait_until("a refused connection", || node.logged("ended: refused"));
    assert_eq!(fleet.count(), 6);
}

#[test]
fn connections_are_reused_and_nothing_is_written_to_a_stale_one() {
    const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n{\"state\":\"done\",\"result\":\"ok\"}\n";
    let (node, fleet, ..) =
        start_node_with_executors(1, |n| if n < 2 { DONE } else { Act::TextThenClose(OK) });
    let mut client = node.client();
    for number in 0..5 {
        assert_eq!(ask(&mut client, "marked", 9000).0, 200, "op {number}");
        // From the third op on, the executor has by now closed the connection without announcing it.
        sleep(ms(400));
    }
    let connections: Vec<usize> = fleet.pushes.lock().unwrap().iter().map(|push| push.connection).collect();
    assert_eq!(connections, [0, 0, 0, 1, 2]);
    assert!(node.logged("ended: stale"));
    // An op that may be pushed only once never uses a connection that was left idle.
    let before = fleet.connections.load(Ordering::SeqCst);
    (0..3).for_each(|_| assert_eq!(ask(&mut client, "once", 9000).0, 200));
    assert_eq!(fleet.connections.load(Ordering::SeqCst), before + 3);
}

#[test]
fn connection_closed_before_the_last_byte_costs_no_op() {
    // One executor closes each connection as soon as part of a request has arrived, usually before its last
    // byte. On a busy machine the whole request may get through, and then the op may have run.
    let cutter = TcpListener::bind("127.0.0.1:0").unwrap();
    let (fleet, mut addresses) = Fleet::start(1, |_| DONE);
    addresses.insert(0, cutter.local_addr().unwrap());
    let cuts = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0)]);
    let counted = cuts.clone();
    spawn(move || {
        for stream in cutter.incoming() {
            let (mut stream, mut some) = (stream.unwrap(), [0; 4096]);
            let read = stream.read(&mut some).unwrap_or(0);
            let whole = some[..read].ends_with(b"\r\n\r\nHTTP/1.1 ");
            counted[usize::from(whole)].fetch_add(1, Ordering::SeqCst);
        }
    });
    let (_discovery, at) = Discovery::start(entries(&addresses));
    let node = Node::start(at, "");
    wait_until("ready", || node.ready() == 200);
    let (mut asked, mut served) = (0, 0);
    wait_until("some are cut before their last byte", || {
        for category in ["once", "marked"] {
            asked += 1;
            served += usize::from(node.ask(category, 9000).0 == 200);
        }
        asked >= 12 && cuts[0].load(Ordering::SeqCst) > 0
    });
    assert!(asked - served <= cuts[1].load(Ordering::SeqCst), "{served} of {asked}, {cuts:?}");
    assert_eq!(fleet.count(), served);
    // An executor is not ejected for closing idle connections.
    let (node, fleet, ..) = start_node_with_executors(1, |n| if n % 2 == 1 { Act::Close } else { DONE });
    for _ in 0..6 {
        assert_eq!(node.ask("marked", 9000).0, 200);
        // The end of the response arrives shortly after its final line.
        sleep(ms(50));
    }
    assert!(fleet.count() >= 11 && node.logged("ended: broken") && !node.logged("set aside"));
}

/// Guards against overlapping pushes: a complete response without a final status leaves the job possibly
/// running. The next push must start only after the connection of the first one is closed, otherwise two pushes
/// are open at once.
#[test]
fn push_without_final_status_is_closed_before_the_next_starts() {
    const NOTHING: Act = Act::Text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    const STARTED: Act = Act::Text(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n{\"state\":\"started\"}\n\r\n0\r\n\r\n",
    );
    const LOST: Act = Act::Text(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n{\"state\":\"lost\"}\n\r\n0\r\n\r\n",
    );
    let scripts: [(&str, Script); 3] = [
        ("nothing", |n| first(n, NOTHING)),
        ("started", |n| first(n, STARTED)),
        ("lost", |n| first(n, LOST)),
    ];
    for (what, script) in scripts {
        let (node, fleet, ..) = start_node_with_executors(2, script);
        assert_eq!(node.ask("safe", 5000).0, 200, "{what}");
        let connections: Vec<usize> =
            fleet.pushes.lock().unwrap().iter().map(|push| push.connection).collect();
        assert_eq!(connections.len(), 2, "{what}");
        // The close was sent before the next push started, but the fake executor's thread may record it a
        // moment later.
        let start = Instant::now();
        while !fleet.over.lock().unwrap().contains(&connections[0]) {
            assert!(start.elapsed() < ms(500), "{what}: the first push is still out");
            sleep(ms(2));
        }
    }
}

#[test]
fn silent_executor_delays_no_other_op() {
    // An at-most-once op is answered at its deadline and its push is cancelled; another op is not affected.
    let (node, fleet, ..) = start_node_with_executors(1, |n| first(n, Act::Silent));
    let (mut waiting, mut other) = (node.client(), node.client());
    let start = Instant::now();
    waiting.write_all(request("once", 1500).as_bytes()).unwrap();
    wait_until("the first push", || fleet.count() == 1);
    assert_eq!(ask(&mut other, "safe", 9000).0, 200);
    waiting.set_nonblocking(true).unwrap();
    assert!(waiting.peek(&mut [0]).is_err(), "the second op waited for the first");
    waiting.set_nonblocking(false).unwrap();
    assert_eq!(read_answer(&mut waiting).0, 500);
    assert!((ms(1400)..ms(3000)).contains(&start.elapsed()), "not in its time: {:?}", start.elapsed());
    wait_until("the push is cancelled", || fleet.given_up.load(Ordering::SeqCst) == 1);
    wait_until("a line for it", || node.logged("ended: called-off"));
    // A push that has not started is cancelled and the op moves to another executor; the client's response is
    // left to the second push.
    let (node, fleet, ..) = start_node_with_executors(2, |n| first(n, Act::Silent));
    assert_eq!(node.ask("safe", 9000).0, 200);
    assert_eq!(fleet.count(), 2);
    wait_until("the push is cancelled", || fleet.given_up.load(Ordering::SeqCst) == 1);
}

#[test]
fn disconnecting_client_withdraws_its_op() {
    let (node, fleet, ..) = start_node_with_executors(1, |_| Act::Silent);
    let mut client = node.client();
    client.write_all(request("once", 9000).as_bytes()).unwrap();
    wait_until("the push", || fleet.count() == 1);
    drop(client);
    wait_until("the push is cancelled", || fleet.given_up.load(Ordering::SeqCst) == 1);
    wait_until("a line for it", || node.logged("ended: withdrawn"));
}

#[test]
fn invalid_requests_are_rejected_with_a_reason_and_never_pushed() {
    let (node, fleet, ..) = start_node_with_executors(1, |_| DONE);
    let good = request("marked", 9000);
    let cases = [
        ("X-Call-Id: ", "X-Other: ", 400, "X-Call-Id"),
        ("X-Call-Class: ", "X-Other: ", 400, "X-Call-Class"),
        ("Class: marked", "Class: strange", 400, "X-Call-Class"),
        ("X-Budget-Ms: 9000", "X-Other: 1", 400, "X-Budget-Ms"),
        ("X-Budget-Ms: 9000", "X-Budget-Ms: -1", 400, "X-Budget-Ms"),
        ("X-Budget-Ms: 9000", "X-Budget-Ms: soon", 400, "X-Budget-Ms"),
        ("X-Budget-Ms: 9000", "X-Budget-Ms: +5", 400, "X-Budget-Ms"),
        ("X-Budget-Ms: 9000", "X-Budget-Ms: 4294967295", 400, "X-Budget-Ms"),
        ("X-Call-Id: ", "X-Call-Id: \u{fc}", 400, "X-Call-Id"),
        ("Idempotency-Key: ", "X-Other: ", 400, "Idempotency-Key"),
        ("X-Call-Cost: ", "X-Call-Cost: x", 400, "X-Call-Cost"),
        ("slots=1", "slots=none", 400, "X-Call-Info"),
        ("slots=1", "slots=+1e1", 400, "X-Call-Info"),
        ("POST ", "PUT ", 405, "PUT"),
        ("POST ", "POST POST ", 400, "malformed"),
        ("Content-Length: 9", "Content-Length: 70000", 413, "64 KiB"),
    ];
    for (from, to, status, word) in cases {
        let mut client = node.client();
        client.write_all(good.replacen(from, to, 1).as_bytes()).unwrap();
        let (got, head, body) = read_answer(&mut client);
        assert!(got == status && body.contains(word), "{to}: {got} {body}");
        assert!(head.contains("Connection: close"), "{head}");
    }
    assert_eq!(fleet.count(), 0);
    // A request that is rejected because of its head must not be reset while its client is still sending at
    // full speed.
    let mut client = node.client();
    let large = good.replacen("Content-Length: 9", "Content-Length: 60000000", 1);
    client.write_all(large.as_bytes()).unwrap();
    let mut sender = client.try_clone().unwrap();
    let sent = spawn(move || (0..60).all(|_| sender.write_all(&vec![b'x'; 1 << 20]).is_ok()));
    assert_eq!(read_answer(&mut client).0, 413);
    assert!(at_end(&mut client));
    assert!(sent.join().unwrap(), "reset while it was sending");
    // No op is kept longer than its category's TTL.
    assert_eq!(ask(&mut node.client(), "safe", 3_000_000).0, 200);
    assert!(fleet.pushes.lock().unwrap()[0].text.contains("X-Budget-Ms: 19"));
    // Two requests sent at once are answered in order, and a connection that is to be closed is closed.
    let mut client = node.client();
    let last = request("safe", 9000).replace("Host: h", "Connection: close");
    client.write_all(format!("{}{last}", request("marked", 9000)).as_bytes()).unwrap();
    assert_eq!([read_answer(&mut client).0, read_answer(&mut client).0], [200, 200]);
    assert!(at_end(&mut client));
}

#[test]
fn invalid_requests_affect_neither_executors_nor_other_clients() {
    // A request rejected as invalid by one executor would be rejected by all, so no executor is ejected for it.
    let (node, fleet, ..) = start_node_with_executors(3, |n| if n < 6 { INVALID } else { DONE });
    (0..6).for_each(|_| assert_eq!(node.ask("marked", 9000).0, 400));
    (0..6).for_each(|_| assert_eq!(node.ask("once", 9000).0, 200));
    assert!(fleet.count() == 12 && !node.logged("set aside"));
    // A request with the id of another client's open request must not receive its response.
    let (node, fleet, ..) = start_node_with_executors(2, |_| Act::Silent);
    let (mut client, text) = (node.client(), request("once", 9000));
    client.write_all(text.as_bytes()).unwrap();
    wait_until("the push", || fleet.count() == 1);
    let mut other = node.client();
    other.write_all(text.as_bytes()).unwrap();
    let (status, _, body) = read_answer(&mut other);
    assert!(status == 409 && body.contains("X-Call-Id") && at_end(&mut other), "{status} {body}");
    assert_eq!(fleet.count(), 1);
}

#[test]
fn crowd_of_silent_connections_displaces_no_client() {
    let (fleet, addresses) = Fleet::start(1, |_| DONE);
    let (_discovery, at) = Discovery::start(entries(&addresses));
    // The limits permit 17 requests in flight and 15 other clients.
    let node = Node::start_with(at, &entries(&addresses), SETTINGS, 64);
    let begun = Instant::now();
    let mut crowd = Vec::new();
    for number in 0..240 {
        let mut stranger = node.client();
        let text = ["", "POST /api HTTP/1.1\r\nX-Call-Id: 7", "GET /-/ready HTTP/1.1\r\n\r\n"][number % 3];
        let _ = stranger.write_all(text.as_bytes());
        crowd.push(stranger);
        if number % 20 == 19 {
            // A regular client gets a slot among them on a new connection.
            let start = Instant::now();
            assert_eq!(node.ask("once", 9000).0, 200, "after {number} strangers");
            assert!(start.elapsed() < ms(1000), "after {number} strangers: {:?}", start.elapsed());
        }
    }
    assert_eq!(fleet.count(), 12);
    // Each silent client gets a response, or its connection is closed.
    for stranger in &mut crowd {
        let left = (begun + ms(4000)).saturating_duration_since(Instant::now()).max(ms(1));
        stranger.set_read_timeout(Some(left)).unwrap();
        let mut told = Vec::new();
        let end = stranger.read_to_end(&mut told);
        assert!(end.is_ok() || !told.is_empty() || at_end(stranger), "neither answered nor closed");
    }
    // A partial request gets status 408 if no other client needs its slot.
    let mut slow = node.client();
    let start = Instant::now();
    slow.write_all(b"POST /api HTTP/1.1\r\n").unwrap();
    assert_eq!(read_answer(&mut slow).0, 408);
    assert!((ms(1500)..ms(3000)).contains(&start.elapsed()), "{:?}", start.elapsed());
}

#[test]
fn unread_log_blocks_nothing() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let mut node = Node::start_with(nowhere(), &entries(&addresses), SETTINGS, 1024);
    // The reader of the log first blocks with a full socket buffer and then closes the socket.
    let (reader, mut log) = UnixStream::pair().unwrap();
    log.set_nonblocking(true).unwrap();
    while log.write(&[b'x'; 4096]).is_ok() {}
    log.set_nonblocking(false).unwrap();
    node.at = nowhere();
    let mut deaf = Command::new(env!("CARGO_BIN_EXE_stileroute"))
        .env("BALANCER_CONFIG", &node.process.config)
        .env("BALANCER_LISTEN", node.at.to_string())
        .stderr(std::os::fd::OwnedFd::from(log))
        .spawn()
        .unwrap();
    let start = Instant::now();
    while TcpStream::connect(node.at).is_err() && start.elapsed() < WAIT {
        sleep(ms(5));
    }
    let ask = |node: &Node| {
        let mut client = node.client();
        client.set_read_timeout(Some(ms(5000))).unwrap();
        client.write_all(request("once", 9000).as_bytes()).unwrap();
        read_message(&mut client).is_some_and(|(head, _)| head.starts_with("HTTP/1.1 200"))
    };
    let stuck = ask(&node) && ask(&node);
    drop(reader);
    sleep(ms(100));
    let gone = ask(&node) && ask(&node);
    deaf.kill().unwrap();
    deaf.wait().unwrap();
    assert!(stuck && gone, "standing still: {stuck}, gone: {gone}");
}

#[test]
fn executor_list_is_followed_and_kept_while_discovery_is_silent() {
    let (node, fleet, discovery, addresses) = start_node_with_executors(2, |_| DONE);
    // Which executors serve the next `count` ops.
    let served = |count: usize| {
        let before = fleet.count();
        (0..count).for_each(|_| assert_eq!(node.ask("safe", 9000).0, 200));
        let mut by: HashMap<usize, usize> = HashMap::new();
        fleet.pushes.lock().unwrap()[before..].iter().for_each(|p| *by.entry(p.executor).or_default() += 1);
        let mut by: Vec<usize> = by.into_keys().collect();
        by.sort_unstable();
        by
    };
    assert_eq!(served(12), [0, 1]);
    discovery.tell(6, false, entry(0, &addresses[0], "Terminating"));
    wait_until("the idle connection there is closed", || node.logged("ended: unlisted"));
    assert_eq!(served(8), [1]);
    // An older list version, then silence: neither has an effect.
    discovery.tell(3, true, entry(1, &addresses[1], "Gone"));
    let before = discovery.calls();
    wait_until("the watch goes on", || discovery.calls() > before + 1);
    assert_eq!(served(4), [1]);
    *discovery.silent.lock().unwrap() = true;
    wait_until("silence is noticed", || node.logged("ended: silent"));
    wait_until("discovery will be asked again", || node.logged("list: call refused"));
    assert_eq!(served(4), [1]);
    // Discovery returns with a snapshot in which one executor has another index and the other is missing.
    discovery.tell(9, true, entry(7, &addresses[0], "Ready"));
    *discovery.silent.lock().unwrap() = false;
    wait_until("the new list is used", || served(1) == [0]);
    assert_eq!(served(4), [0]);
    assert!(discovery.calls.lock().unwrap().iter().any(|call| call.contains("since=6&timeout_ms=")));
}

#[test]
fn known_executors_serve_while_discovery_is_unreachable() {
    let (_fleet, addresses) = Fleet::start(1, |_| DONE);
    let node = Node::start(nowhere(), &entries(&addresses));
    assert_eq!((node.ready(), node.ask("once", 9000).0), (200, 200));
    // Without known executors the node is not ready and rejects requests.
    let node = Node::start(nowhere(), "");
    assert_eq!((node.ready(), node.ask("safe", 9000).0), (503, 503));
}

#[test]
fn full_node_rejects_requests_and_loses_none() {
    // The limits permit nine requests in flight, nine other clients and ten executor connections.
    let limited = |script: Script| {
        let (fleet, addresses) = Fleet::start(1, script);
        let (_discovery, at) = Discovery::start(entries(&addresses));
        (Node::start_with(at, &entries(&addresses), SETTINGS, 40), fleet)
    };
    let (node, fleet) = limited(|_| Act::Silent);
    let mut waiting: Vec<TcpStream> = (0..9).map(|_| node.client()).collect();
    for client in &mut waiting {
        client.write_all(request("once", 9000).as_bytes()).unwrap();
    }
    wait_until("all requests are in flight", || fleet.count() == 9);
    let mut other = node.client();
    for _ in 0..4 {
        // A retry is harmless and does not even need a new connection.
        let (status, head, body) = ask(&mut other, "once", 9000);
        assert!(status == 503 && head.contains("Retry-After: 0.2000"), "{status} {head} {body}");
    }
    assert_eq!(fleet.count(), 9);
    // When a client disconnects, the next one is served.
    drop(waiting.pop());
    wait_until("a client slot is free", || node.logged("ended: withdrawn"));
    wait_until("a next one is pushed", || {
        waiting.push(node.client());
        let _ = waiting.last_mut().unwrap().write_all(request("once", 9000).as_bytes());
        sleep(ms(50));
        fleet.count() > 9
    });
    // Idle clients are evicted, the one idle longest first.
    let (node, _fleet) = limited(|_| DONE);
    let mut clients = Vec::new();
    for number in 0..30 {
        clients.push(node.client());
        assert_eq!(ask(&mut clients[number], "once", 9000).0, 200, "client {number}");
    }
    assert!(at_end(&mut clients[0]) && node.logged("ended: evicted"));
}

#[test]
fn shutdown_finishes_ops_in_flight_and_closes_client_connections() {
    const LATE: &[&str] = &["{\"state\":\"started\"}\n{\"state\":\"done\",\"result\":\"late\"}\n"];
    let (mut node, fleet, ..) = start_node_with_executors(2, |n| first(n, Act::Lines(2500, LATE)));
    let (mut waiting, mut idle) = (node.client(), node.client());
    waiting.write_all(request("once", 9000).as_bytes()).unwrap();
    wait_until("the push", || fleet.count() == 1);
    node.signal(Signal::SIGTERM);
    wait_until("the signal is seen", || node.logged("end asked for"));
    let start = Instant::now();
    assert_eq!(node.ready(), 503);
    // Connected and new clients are served for a while: this connection may be the only node that the client
    // can reach.
    sleep(ms(900));
    assert_eq!((ask(&mut idle, "once", 9000).0, node.ask("once", 9000).0), (200, 200));
    assert!(at_end(&mut idle) && start.elapsed() > ms(1200), "steered off after {:?}", start.elapsed());
    let (status, head, _) = node.ask("once", 9000);
    assert!(status == 200 && head.contains("Connection: close"), "{head}");
    let (status, head, body) = read_answer(&mut waiting);
    assert_eq!((status, body.as_str()), (200, "late"));
    assert!(head.contains("Connection: close"), "{head}");
    assert_eq!(node.process.wait(WAIT).and_then(|status| status.code()), Some(0));
}

#[test]
fn reload_switches_to_the_new_discovery_address() {
    let (node, fleet, _, addresses) = start_node_with_executors(2, |_| DONE);
    let (mut at, mut client) = (node.discovery, node.client());
    for round in 0..4 {
        // Each new discovery address lists only one executor, with a version below the known one.
        let left = round % 2;
        let (discovery, to) = Discovery::start(entry(left, &addresses[left], "Ready"));
        discovery.tell(3 - round as i64 % 2, true, entry(left, &addresses[left], "Ready"));
        node.reload(&at.to_string(), &to.to_string());
        at = to;
        let start = Instant::now();
        wait_until("the new list is used", || {
            let before = fleet.count();
            assert_eq!(ask(&mut client, "safe", 9000).0, 200);
            fleet.pushes.lock().unwrap()[before..].iter().all(|push| push.executor == left)
                && node.logged(&format!("discovery {at}, before"))
                && discovery.calls() > 1
        });
        assert!(start.elapsed() < ms(1000), "the old watch was held for {:?}", start.elapsed());
    }
    assert!(node.logged("ended: moved"));
    // An invalid file is reported with its key, and the previous configuration stays in effect.
    node.reload("\"granularity-ns\":4000000", "\"granularity-ns\":\"x\"");
    wait_until("the fault is logged", || node.logged("configuration not taken: settings.granularity-ns: "));
    assert_eq!(ask(&mut client, "safe", 9000).0, 200);
}

#[test]
fn invalid_configuration_ends_the_process_with_one_line() {
    for config in [None, Some("/nonexistent/config.json")] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_stileroute"));
        command.env_remove("BALANCER_CONFIG").envs(config.map(|path| ("BALANCER_CONFIG", path)));
        let out = command.output().unwrap();
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(out.status.code() == Some(2) && text.lines().count() == 1, "{text}");
        assert!(text.contains("BALANCER_CONFIG"), "{text}");
    }
}
