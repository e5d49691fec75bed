use super::super::CallReply;
use super::pool::IDLE_LIMIT_LIFETIME_MS;
use super::*;
use assert_matches::assert_matches;

/// Test executor on loopback, with its accepted connections and the outcome of the last call.
struct Peer {
    net: Net,
    socket: std::net::TcpListener,
    conns: Vec<std::net::TcpStream>,
}

impl Peer {
    fn new() -> Peer {
        let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        Peer { net: Net::new(16).unwrap().0, socket, conns: Vec::new() }
    }

    /// Sends one request, and answers it with these replies on the connection on which it arrived.
    fn ask(&mut self, id: &str, answers: &[&str]) -> (usize, Result<CallReply, CallError>) {
        self.call(Some(id), id, answers, 8)
    }

    fn call(
        &mut self,
        tie: Option<&str>,
        id: &str,
        answers: &[&str],
        most: usize,
    ) -> (usize, Result<CallReply, CallError>) {
        let SocketAddr::V4(to) = self.socket.local_addr().unwrap() else { panic!("no IPv4") };
        let text = format!("POST / HTTP/1.1\r\nX-Request-Id: {id}\r\n\r\n");
        let deadline = self.net.refresh_now() + 5000;
        let call = OutgoingCall {
            to,
            request: text.as_bytes(),
            call_id: 7,
            deadline,
            max_connections: most,
            request_id: tie,
        };
        self.net.call(call).unwrap();
        let mut from = None;
        loop {
            for event in self.net.poll(deadline.min(self.net.now() + 20)) {
                if let Event::CallCompleted { result, .. } = event {
                    return (from.unwrap_or_else(|| panic!("{id}: {result:?}")), result);
                }
            }
            if let Ok((conn, _)) = self.socket.accept() {
                conn.set_nonblocking(true).unwrap();
                self.conns.push(conn);
            }
            let asked = |conn: &mut std::net::TcpStream| {
                let mut bytes = [0; 512];
                std::io::Read::read(conn, &mut bytes).is_ok_and(|some| some > 0)
            };
            if let Some(at) = self.conns.iter_mut().position(asked) {
                from = Some(at);
                for id in answers {
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nX-Server-Seal: of-{id}\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                    );
                    std::io::Write::write_all(&mut self.conns[at], text.as_bytes()).unwrap();
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
    let mut peer = Peer::new();
    let (first, result) = peer.ask("a", &["a"]);
    assert_eq!(seal(result), "of-a");
    let (same, result) = peer.ask("b", &["a", "b"]);
    assert_eq!((same, seal(result).as_str()), (first, "of-b"), "the second answer to a is passed over");
    let (other, result) = peer.ask("c", &["c"]);
    assert_eq!(seal(result), "of-c");
    assert_ne!(other, first, "what strayed once is used no more");
}

#[test]
fn a_connection_is_closed_after_a_reply_to_an_unknown_request() {
    let mut peer = Peer::new();
    let (first, result) = peer.ask("a", &["stranger"]);
    assert_eq!(result.err(), Some(CallError::InvalidReply));
    let (other, result) = peer.ask("b", &["b"]);
    assert_eq!((other, seal(result).as_str()), (first + 1, "of-b"));
}

#[test]
fn a_call_lost_on_an_idle_connection_shortens_the_idle_limit() {
    // An executor that closes connections after 320 ms of idle time: a loss after 900 ms gives only a rough limit, a
    // loss after 340 ms a sufficient one.
    let mut limit = None;
    assert!(IdleLimit::allows(limit, 0, 4000));
    for (now, rested, most) in [(0, 900, 450), (500, 440, 220), (900, 30, 220), (1000, 900, 220)] {
        limit = IdleLimit::after_loss(limit, now, rested);
        assert_matches!(limit, Some(limit) if limit.max_idle_ms == most && limit.expires_at > now + IDLE_LIMIT_LIFETIME_MS / 2);
        assert!(IdleLimit::allows(limit, now, most) && !IdleLimit::allows(limit, now, most + 1), "{rested}");
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
    let mut peer = Peer::new();
    let (first, _) = peer.ask("a", &["a"]);
    let (other, result) = peer.ask("a", &["a"]);
    assert_eq!((other, seal(result).as_str()), (first + 1, "of-a"));
    assert_eq!(peer.ask("b", &["b"]).0, other, "both are kept for others");
    // If no further connection may be opened, an idle one is closed to free capacity for the retry.
    let mut peer = Peer::new();
    let (first, _) = peer.call(Some("a"), "a", &["a"], 1);
    let (other, result) = peer.call(Some("a"), "a", &["a"], 1);
    assert_eq!((other, seal(result).as_str()), (first + 1, "of-a"));
}

#[test]
fn calls_without_a_request_id_use_connections_of_their_own() {
    let mut peer = Peer::new();
    let (delivery, _) = peer.ask("a", &["a"]);
    let (callback, result) = peer.call(None, "b", &["b"], 8);
    assert!(result.is_ok());
    assert_ne!(callback, delivery);
    assert_eq!(peer.call(None, "c", &["c"], 8).0, callback, "among themselves they do");
    assert_eq!(peer.ask("d", &["d"]).0, delivery);
    // Bytes that arrived after a reply must not be taken for the next reply, even if the event loop has not read them
    // yet.
    std::io::Write::write_all(&mut peer.conns[callback], b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let SocketAddr::V4(to) = peer.socket.local_addr().unwrap() else { panic!("no IPv4") };
    let idle = peer.net.pools[&PoolKey { to, replies_name_request: false }].idle[0];
    let given_up = std::time::Instant::now() + std::time::Duration::from_secs(5);
    while peer.net.has_no_unread_input(idle) && std::time::Instant::now() < given_up {
        std::thread::yield_now();
    }
    let (other, result) = peer.call(None, "e", &["e"], 8);
    assert_eq!((other, seal(result).as_str()), (callback + 1, "of-e"));
}
