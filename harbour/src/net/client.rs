//! Requests that go out, each on a connection that carries nothing else meanwhile.

use super::{ConnId, Event, Millis, Net, Side, CONNECT};
use httparse::Status;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::net::{SocketAddr, SocketAddrV4};
use stileroute_hawser::{framing, has_token, header, Chunks, Framing};

/// An answer, whole.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub seal: Option<String>,
    pub not_run: bool,
    pub load: Option<String>,
    /// Which request it says it answers.
    pub id: Option<String>,
}

/// No answer: the verdict says whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display)]
pub enum Failure {
    /// The connection never opened: it did not run.
    NotConnected,
    /// All connections that the executor takes from here are in use: it was not sent.
    NoRoom,
    /// Reset or closed before an answer: it may have run.
    Broken,
    /// Silence up to the deadline: it may have run.
    Late,
    /// What came is no answer, or another's: it may have run.
    Garbled,
}

impl Failure {
    pub fn may_have_run(self) -> bool {
        !matches!(self, Failure::NotConnected | Failure::NoRoom)
    }
}

pub(super) struct Outward {
    pub to: SocketAddrV4,
    call: Option<Call>,
    /// The requests that were answered here last.
    answered: VecDeque<String>,
    /// A second answer came: whatever comes next may be one too.
    strayed: bool,
    /// Idle since then; and for how long it had been when the call under way took it.
    idle_since: Millis,
    rested: Option<Millis>,
}

/// The call under way.
struct Call {
    ticket: u64,
    deadline: Millis,
    /// The request's id, where its answer repeats it.
    id: Option<String>,
}

impl Outward {
    /// Whose an answer is: `Some(true)` that of the call under way, `Some(false)` a second one to an earlier request.
    fn whose(&self, reply: &Reply) -> Option<bool> {
        let wanted = self.call.as_ref().and_then(|call| call.id.as_deref());
        if wanted.is_none() || wanted == reply.id.as_deref() {
            return Some(true);
        }
        let id = reply.id.as_ref()?;
        self.answered.contains(id).then_some(false)
    }
}

/// Some executors forget connections sooner than they say, and what is sent on one is lost: it may have run, and runs again.
/// After such a loss none that rested for half as long carries a request to that address; so the second and third are seldom
/// lost, and a lower bound is found by halves. It is forgotten in its turn, for the executor may be another by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rest {
    most: Millis,
    until: Millis,
}

const FORGOTTEN: Millis = 20_000;

impl Rest {
    /// A request was lost on a connection that had rested for so long. Shorter rests say nothing: any connection may break.
    fn lost(old: Option<Rest>, now: Millis, rested: Millis) -> Option<Rest> {
        let old = old.filter(|rest| rest.until > now);
        if rested < 40 {
            return old;
        }
        let most = old.map_or(rested / 2, |rest| rest.most.min(rested / 2));
        Some(Rest { most, until: now + FORGOTTEN })
    }

    fn may(rest: Option<Rest>, now: Millis, rested: Millis) -> bool {
        rest.is_none_or(|rest| rest.until <= now || rested <= rest.most)
    }
}

/// Most of one answer's bytes.
const MOST: usize = 1 << 20;
/// An idle connection is given up so long before the other side would close it, and after so long where it says nothing.
const MARGIN: Millis = 400;
const IDLE: Millis = 4000;
/// So many answered requests are remembered of a connection, to know a second answer by.
const ANSWERED: usize = 4;

#[derive(Debug)]
enum Found {
    More,
    Whole { reply: Reply, used: usize, keep: Option<Millis> },
    ToEnd { reply: Reply },
    Garbled,
}

fn parse(bytes: &[u8]) -> Found {
    let mut from = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut head = httparse::Response::new(&mut headers);
        let end = match head.parse(&bytes[from..]) {
            Ok(Status::Complete(end)) => from + end,
            Ok(Status::Partial) if bytes.len() > MOST => return Found::Garbled,
            Ok(Status::Partial) => return Found::More,
            Err(_) => return Found::Garbled,
        };
        let status = head.code.unwrap_or(0);
        if (100..200).contains(&status) {
            from = end;
            continue;
        }
        let headers = &*head.headers;
        let text = |name| header(headers, name).map(str::to_string);
        let reply = Reply {
            status,
            seal: text("X-Server-Seal"),
            not_run: header(headers, "X-Not-Run").is_some(),
            load: text("X-Server-Load"),
            id: text("X-Request-Id"),
        };
        let Some(framing) = framing(headers, head.version) else { return Found::Garbled };
        let used = match framing {
            None if status == 204 || status == 304 => end,
            None | Some(Framing::ToEnd) => return Found::ToEnd { reply },
            Some(Framing::Length(length)) if length > MOST => return Found::Garbled,
            Some(Framing::Length(length)) if bytes.len() - end < length => return Found::More,
            Some(Framing::Length(length)) => end + length,
            Some(Framing::Chunked) => {
                let mut chunks = Chunks::default();
                let Ok(used) = chunks.feed(&bytes[end..], |_| {}) else { return Found::Garbled };
                if !chunks.done() {
                    return if bytes.len() > MOST { Found::Garbled } else { Found::More };
                }
                end + used
            }
        };
        let close = has_token(headers, "Connection", "close") || head.version == Some(0);
        // `timeout=5` among the words of Keep-Alive, in seconds.
        let told = header(headers, "Keep-Alive").and_then(|text| {
            let word = text.split([',', ' ']).find_map(|part| part.trim().strip_prefix("timeout="))?;
            word.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)
        });
        let keep =
            told.map_or(IDLE, |seconds| (seconds * 1000.0) as Millis).saturating_sub(MARGIN).min(60_000);
        return Found::Whole { reply, used, keep: (!close && keep > 0).then_some(keep) };
    }
}

impl Net {
    /// Sends a request; its end comes as `Event::Replied`. Takes an idle connection, or opens one of at most `most`.
    /// `id`: what its answer has to name.
    pub fn call(
        &mut self,
        to: SocketAddrV4,
        bytes: &[u8],
        ticket: u64,
        deadline: Millis,
        most: usize,
        id: Option<&str>,
    ) -> Result<(), Failure> {
        let wanted = id.map(str::to_string);
        let now = self.now;
        let fresh = loop {
            let pool = self.pools.entry(to).or_default();
            pool.most = most.max(1);
            let rest = pool.rest;
            let Some(id) = pool.idle.pop() else { break None };
            let good = self.get(id).is_some_and(|conn| !conn.ended && conn.deadline > now + 5);
            if good && Rest::may(rest, now, self.rests(id)) {
                break Some(id);
            }
            self.close(id);
        };
        let rested = fresh.map(|id| self.rests(id));
        let id = match fresh {
            Some(id) => id,
            None => {
                if self.pools.get(&to).is_some_and(|pool| pool.open >= most.max(1)) {
                    return Err(Failure::NoRoom);
                }
                let stream = TcpStream::connect(SocketAddr::V4(to)).map_err(|_| Failure::NotConnected)?;
                let side = Side::Outward(Outward {
                    to,
                    call: None,
                    answered: VecDeque::new(),
                    strayed: false,
                    idle_since: now,
                    rested: None,
                });
                let id = self.enter(stream, side, false, Millis::MAX).ok_or(Failure::NoRoom)?;
                self.pools.entry(to).or_default().open += 1;
                self.opened += 1;
                id
            }
        };
        let until = if fresh.is_some() { deadline } else { deadline.min(now + CONNECT) };
        if let Some(conn) = self.get(id) {
            conn.deadline = until;
            conn.out.extend_from_slice(bytes);
            if let Side::Outward(outward) = &mut conn.side {
                (outward.call, outward.rested) = (Some(Call { ticket, deadline, id: wanted }), rested);
            }
        }
        self.watch(id, until);
        self.soil(id);
        Ok(())
    }

    /// For how long a connection has been idle.
    fn rests(&mut self, id: ConnId) -> Millis {
        let now = self.now;
        match self.get(id).map(|conn| &conn.side) {
            Some(Side::Outward(outward)) => now.saturating_sub(outward.idle_since),
            _ => 0,
        }
    }

    /// No byte of an answer came on a connection that had carried others.
    fn lost_at_rest(&mut self, id: ConnId) {
        let now = self.now;
        let Some(conn) = self.get(id).filter(|conn| conn.input.is_empty()) else { return };
        let Side::Outward(Outward { to, rested: Some(rested), .. }) = conn.side else { return };
        self.lost_at_rest += 1;
        let pool = self.pools.entry(to).or_default();
        pool.rest = Rest::lost(pool.rest, now, rested);
    }

    pub(super) fn take_reply(&mut self, id: ConnId) {
        let now = self.now;
        loop {
            let Some(conn) = self.get(id) else { return };
            let Side::Outward(outward) = &mut conn.side else { return };
            if conn.input.is_empty() {
                return;
            }
            let Some(ticket) = outward.call.as_ref().map(|call| call.ticket) else {
                // A second answer, or bytes that nobody asked for: whatever comes next here would be another's.
                return self.close(id);
            };
            let (reply, used, keep) = match parse(&conn.input) {
                Found::More | Found::ToEnd { .. } => return,
                Found::Garbled => return self.finish(id, ticket, Err(Failure::Garbled), None),
                Found::Whole { reply, used, keep } => (reply, used, keep),
            };
            let whose = outward.whose(&reply);
            conn.input.drain(..used);
            if conn.input.capacity() > super::KEEP && conn.input.is_empty() {
                conn.input = Vec::new();
            }
            match whose {
                Some(true) => {
                    let more = !conn.input.is_empty() || conn.ended || outward.strayed;
                    let keep = keep.filter(|_| !more).map(|keep| now + keep);
                    return self.finish(id, ticket, Ok(reply), keep);
                }
                // A second answer to a request before: the one that is waited for comes behind it. Taken for it, or with the
                // connection given up, a message that is running would run again.
                Some(false) => outward.strayed = true,
                // Kept, this connection would hand each request the answer to the one before, for as long as it is used:
                // seconds after the executor is well again each of them would run twice.
                None => return self.finish(id, ticket, Err(Failure::Garbled), None),
            }
        }
    }

    /// Tells how the call ended, and keeps the connection until then, if at all.
    fn finish(&mut self, id: ConnId, ticket: u64, result: Result<Reply, Failure>, keep: Option<Millis>) {
        self.happened.push_back(Event::Replied { ticket, result });
        let now = self.now;
        if let Some(conn) = self.get(id) {
            if let Side::Outward(outward) = &mut conn.side {
                let answered = outward.call.take().and_then(|call| call.id);
                let to = outward.to;
                // With more stores each one's part is smaller: those over it go as they fall idle, or the executor would
                // reset as many of others.
                let over = self.pools.get(&to).is_some_and(|pool| pool.open > pool.most);
                if let Some(until) = keep.filter(|_| !over) {
                    let Some(conn) = self.get(id) else { return };
                    let Side::Outward(outward) = &mut conn.side else { return };
                    outward.idle_since = now;
                    outward.answered.truncate(ANSWERED - 1);
                    answered.into_iter().for_each(|id| outward.answered.push_front(id));
                    conn.deadline = until;
                    self.watch(id, until);
                    self.pools.entry(to).or_default().idle.push(id);
                    return;
                }
            }
        }
        self.close(id);
    }

    pub(super) fn reply_to_end(&mut self, id: ConnId) {
        let Some(conn) = self.get(id) else { return };
        let Side::Outward(outward) = &conn.side else { return };
        let Some(ticket) = outward.call.as_ref().map(|call| call.ticket) else { return self.close(id) };
        let result = match parse(&conn.input) {
            Found::ToEnd { reply } => Ok(reply),
            _ => Err(Failure::Broken),
        };
        self.lost_at_rest(id);
        self.finish(id, ticket, result, None);
    }

    pub(super) fn broke(&mut self, id: ConnId) {
        let Some(conn) = self.get(id) else { return };
        let open = conn.open;
        let Side::Outward(outward) = &conn.side else { return };
        let Some(ticket) = outward.call.as_ref().map(|call| call.ticket) else { return self.close(id) };
        let failure = if open { Failure::Broken } else { Failure::NotConnected };
        self.lost_at_rest(id);
        self.finish(id, ticket, Err(failure), None);
    }

    pub(super) fn late(&mut self, id: ConnId) {
        let now = self.now;
        let Some(conn) = self.get(id) else { return };
        let open = conn.open;
        let Side::Outward(outward) = &conn.side else { return };
        match outward.call.as_ref().map(|call| (call.ticket, call.deadline)) {
            None => self.close(id),
            Some((ticket, deadline)) if now >= deadline || !open => {
                let failure = if open { Failure::Late } else { Failure::NotConnected };
                self.finish(id, ticket, Err(failure), None);
            }
            Some((_, deadline)) => {
                conn.deadline = deadline;
                self.watch(id, deadline);
            }
        }
    }

    pub(super) fn left(&mut self, id: ConnId, to: SocketAddrV4) {
        let now = self.now;
        if let Some(pool) = self.pools.get_mut(&to) {
            pool.open = pool.open.saturating_sub(1);
            pool.idle.retain(|idle| *idle != id);
            if pool.open == 0 && pool.rest.is_none_or(|rest| rest.until <= now) {
                self.pools.remove(&to);
            }
        }
    }

    /// Closes what is idle to an address where nobody is asked any more.
    pub fn forget(&mut self, to: SocketAddrV4) {
        let idle = self.pools.get_mut(&to).map(|pool| std::mem::take(&mut pool.idle)).unwrap_or_default();
        idle.into_iter().for_each(|id| self.close(id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    #[test]
    fn an_answer_is_whole_when_its_framing_says_so() {
        let begin = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Request-Id: i\r\n";
        let rows = [
            (format!("{begin}Content-Length: 2\r\n\r\nok"), Some(IDLE - MARGIN)),
            (
                format!("{begin}Content-Length: 0\r\nKeep-Alive: timeout=5, max=9\r\n\r\n"),
                Some(5000 - MARGIN),
            ),
            (format!("{begin}Content-Length: 0\r\nKeep-Alive: timeout=0.2\r\n\r\n"), None),
            (format!("{begin}Content-Length: 0\r\nKeep-Alive: timeout=-1\r\n\r\n"), Some(IDLE - MARGIN)),
            (format!("{begin}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), Some(IDLE - MARGIN)),
            (format!("{begin}Connection: close\r\nContent-Length: 2\r\n\r\nok"), None),
            (format!("HTTP/1.1 100 Continue\r\n\r\n{begin}Content-Length: 2\r\n\r\nok"), Some(IDLE - MARGIN)),
        ];
        for (text, keeps) in rows {
            for cut in 0..text.len() {
                assert_matches!(parse(&text.as_bytes()[..cut]), Found::More, "{:?}", &text[..cut]);
            }
            // A second answer behind it is not part of it.
            let second = text.clone() + "HTTP/1.1 200 OK\r\n\r\n";
            for (text, used) in [(&text, text.len()), (&second, text.len())] {
                assert_matches!(parse(text.as_bytes()), Found::Whole { reply, used: u, keep } => {
                    assert_eq!((reply.status, u, keep), (200, used, keeps), "{text:?}");
                    assert_eq!((reply.seal.as_deref(), reply.id.as_deref()), (Some("s"), Some("i")));
                });
            }
        }
        let busy = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Server-Load: 1,2,3\r\nContent-Length: 0\r\n\r\n";
        assert_matches!(parse(busy.as_bytes()), Found::Whole { reply, .. } => {
            assert_eq!((reply.status, reply.not_run, reply.load.as_deref()), (503, true, Some("1,2,3")));
        });
        assert_matches!(parse(b"HTTP/1.1 204 None\r\n\r\n"), Found::Whole { .. });
        assert_matches!(parse(b"HTTP/1.1 200 OK\r\n\r\nto the end"), Found::ToEnd { .. });
    }

    /// An executor on loopback: connections that came, and the last request's end.
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

        /// One request, and these answers to it on the connection by which it came.
        fn ask(&mut self, id: &str, answers: &[&str]) -> (usize, Result<Reply, Failure>) {
            let SocketAddr::V4(to) = self.socket.local_addr().unwrap() else { panic!("no IPv4") };
            let text = format!("POST / HTTP/1.1\r\nX-Request-Id: {id}\r\n\r\n");
            let deadline = self.net.look() + 5000;
            self.net.call(to, text.as_bytes(), 7, deadline, 8, Some(id)).unwrap();
            let mut from = None;
            loop {
                for event in self.net.turn(deadline.min(self.net.now() + 20)) {
                    if let Event::Replied { result, .. } = event {
                        return (from.unwrap(), result);
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

    fn seal(result: Result<Reply, Failure>) -> String {
        result.unwrap().seal.unwrap()
    }

    #[test]
    fn a_second_answer_is_not_taken_for_the_next() {
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
    fn after_the_answer_to_another_request_a_connection_is_used_no_more() {
        let mut peer = Peer::new();
        let (first, result) = peer.ask("a", &["stranger"]);
        assert_eq!(result.err(), Some(Failure::Garbled));
        let (other, result) = peer.ask("b", &["b"]);
        assert_eq!((other, seal(result).as_str()), (first + 1, "of-b"));
    }

    #[test]
    fn a_connection_that_was_forgotten_bounds_how_long_the_next_may_rest() {
        // Executors that forget what rested 320 ms: what was lost at 900 ms says little, at 340 enough.
        let mut rest = None;
        assert!(Rest::may(rest, 0, 4000));
        for (now, rested, most) in [(0, 900, 450), (500, 440, 220), (900, 30, 220), (1000, 900, 220)] {
            rest = Rest::lost(rest, now, rested);
            assert_matches!(rest, Some(rest) if rest.most == most && rest.until > now + FORGOTTEN / 2);
            assert!(Rest::may(rest, now, most) && !Rest::may(rest, now, most + 1), "{rested}");
        }
        // The executor may be another by then.
        assert!(Rest::may(rest, 1000 + FORGOTTEN, 4000));
        assert_matches!(Rest::lost(rest, 1000 + FORGOTTEN, 900), Some(Rest { most: 450, .. }));
        assert_matches!(Rest::lost(None, 0, 39), None);
    }

    #[test]
    fn garbage_is_no_answer() {
        let rows = [
            "\0\u{1}\u{2}rubbish",
            "HTTP/1.1 abc\r\n\r\n",
            "HTTP/2 200 OK\r\n\r\n",
            "ok\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ];
        for text in rows {
            assert_matches!(parse(text.as_bytes()), Found::Garbled, "{text:?}");
        }
        let endless =
            b"HTTP/1.1 200 ".iter().copied().chain(std::iter::repeat_n(b'a', MOST)).collect::<Vec<_>>();
        assert_matches!(parse(&endless), Found::Garbled);
        for failure in [Failure::NotConnected, Failure::NoRoom] {
            assert!(!failure.may_have_run());
        }
        for failure in [Failure::Broken, Failure::Late, Failure::Garbled] {
            assert!(failure.may_have_run());
        }
    }
}
