use super::super::CallReply;
use super::pool::IDLE_LIMIT_LIFETIME_MS;
use super::*;
use assert_matches::assert_matches;

/// Test executor on loopback with its accepted connections, and the event loop that calls it.
struct TestExecutor {
    net: Net,
    socket: std::net::TcpListener,
    connections: Vec<std::net::TcpStream>,
}

impl TestExecutor {
    fn new() -> TestExecutor {
        let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        TestExecutor { net: Net::new(16).unwrap().0, socket, connections: Vec::new() }
    }

    /// Sends one request, and answers it with these replies on the connection on which it arrived.
    fn call_with_id(&mut self, id: &str, replies: &[&str]) -> (usize, Result<CallReply, CallError>) {
        self.call(Some(id), id, replies, 8)
    }

    fn call(
        &mut self,
        expected_request_id: Option<&str>,
        id: &str,
        replies: &[&str],
        connection_limit: usize,
    ) -> (usize, Result<CallReply, CallError>) {
        let SocketAddr::V4(to) = self.socket.local_addr().unwrap() else { panic!("no IPv4") };
        let text = format!("POST / HTTP/1.1\r\nX-Request-Id: {id}\r\n\r\n");
        let deadline = self.net.refresh_now() + 5000;
        let call = OutgoingCall {
            to,
            request: text.as_bytes(),
            call_id: 7,
            deadline,
            max_connections: connection_limit,
            request_id: expected_request_id,
        };
        self.net.call(call).unwrap();
        let mut connection_index = None;
        loop {
            for event in self.net.poll(deadline.min(self.net.now() + 20)) {
                if let Event::CallCompleted { result, .. } = event {
                    return (connection_index.unwrap_or_else(|| panic!("{id}: {result:?}")), result);
                }
            }
            if let Ok((connection, _)) = self.socket.accept() {
                connection.set_nonblocking(true).unwrap();
                self.connections.push(connection);
            }
            let has_request = |connection: &mut std::net::TcpStream| {
                let mut bytes = [0; 512];
                std::io::Read::read(connection, &mut bytes).is_ok_and(|length| length > 0)
            };
            if let Some(index) = self.connections.iter_mut().position(has_request) {
                connection_index = Some(index);
                for id in replies {
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nX-Server-Seal: of-{id}\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                    );
                    std::io::Write::write_all(&mut self.connections[index], text.as_bytes()).unwrap();
                }
            }
        }
    }
}

fn seal(result: Result<CallReply, CallError>) -> String {
    result.unwrap().seal.unwrap()
}

#[test]
fn a_second_reply_is_not_taken_for_the_reply_to_the_next_call() {
    let mut executor = TestExecutor::new();
    let (first, result) = executor.call_with_id("a", &["a"]);
    assert_eq!(seal(result), "of-a");
    let (same, result) = executor.call_with_id("b", &["a", "b"]);
    assert_eq!((same, seal(result).as_str()), (first, "of-b"), "the second reply to request a is skipped");
    let (other, result) = executor.call_with_id("c", &["c"]);
    assert_eq!(seal(result), "of-c");
    assert_ne!(other, first, "a connection that received a stray reply is not reused");
}

#[test]
fn a_connection_is_closed_after_a_reply_to_an_unknown_request() {
    let mut executor = TestExecutor::new();
    let (first, result) = executor.call_with_id("a", &["stranger"]);
    assert_eq!(result.err(), Some(CallError::InvalidReply));
    let (other, result) = executor.call_with_id("b", &["b"]);
    assert_eq!((other, seal(result).as_str()), (first + 1, "of-b"));
}

#[test]
fn a_call_lost_on_an_idle_connection_shortens_the_idle_limit() {
    // An executor that closes connections after 320 ms of idle time: a loss after 900 ms gives only a rough limit, a
    // loss after 340 ms a sufficient one.
    let mut limit = None;
    assert!(IdleLimit::allows(limit, 0, 4000));
    for (now, idle_ms, limit_ms) in [(0, 900, 450), (500, 440, 220), (900, 30, 220), (1000, 900, 220)] {
        limit = IdleLimit::after_loss(limit, now, idle_ms);
        assert_matches!(limit, Some(limit) if limit.max_idle_ms == limit_ms && limit.expires_at > now + IDLE_LIMIT_LIFETIME_MS / 2);
        assert!(
            IdleLimit::allows(limit, now, limit_ms) && !IdleLimit::allows(limit, now, limit_ms + 1),
            "{idle_ms}"
        );
    }
    // After this time another executor may run at the address.
    assert!(IdleLimit::allows(limit, 1000 + IDLE_LIMIT_LIFETIME_MS, 4000));
    assert_matches!(
        IdleLimit::after_loss(limit, 1000 + IDLE_LIMIT_LIFETIME_MS, 900),
        Some(IdleLimit { max_idle_ms: 450, .. })
    );
    assert_matches!(IdleLimit::after_loss(None, 0, 39), None);
}

#[test]
fn a_retry_uses_another_connection() {
    // A second reply to the first attempt may follow; by its identifier it could not be distinguished from the reply
    // to the retry.
    let mut executor = TestExecutor::new();
    let (first, _) = executor.call_with_id("a", &["a"]);
    let (other, result) = executor.call_with_id("a", &["a"]);
    assert_eq!((other, seal(result).as_str()), (first + 1, "of-a"));
    assert_eq!(executor.call_with_id("b", &["b"]).0, other, "both connections are kept for other requests");
    // If no further connection may be opened, an idle one is closed to free capacity for the retry.
    let mut executor = TestExecutor::new();
    let (first, _) = executor.call(Some("a"), "a", &["a"], 1);
    let (other, result) = executor.call(Some("a"), "a", &["a"], 1);
    assert_eq!((other, seal(result).as_str()), (first + 1, "of-a"));
}

#[test]
fn calls_without_a_request_id_use_separate_connections() {
    let mut executor = TestExecutor::new();
    let (delivery, _) = executor.call_with_id("a", &["a"]);
    let (callback, result) = executor.call(None, "b", &["b"], 8);
    assert!(result.is_ok());
    assert_ne!(callback, delivery);
    assert_eq!(
        executor.call(None, "c", &["c"], 8).0,
        callback,
        "calls without a request id share a connection"
    );
    assert_eq!(executor.call_with_id("d", &["d"]).0, delivery);
    // Bytes that arrived after a reply must not be taken for the next reply, even if the event loop has not read them
    // yet.
    std::io::Write::write_all(
        &mut executor.connections[callback],
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    )
    .unwrap();
    let SocketAddr::V4(to) = executor.socket.local_addr().unwrap() else { panic!("no IPv4") };
    let idle = executor.net.pools[&PoolKey { to, replies_name_request: false }].idle[0];
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(5);
    while executor.net.has_no_unread_input(idle) && std::time::Instant::now() < deadline {
        std::thread::yield_now();
    }
    let (other, result) = executor.call(None, "e", &["e"], 8);
    assert_eq!((other, seal(result).as_str()), (callback + 1, "of-e"));
}
