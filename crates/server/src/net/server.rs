//! Requests that come in: when one is waited for no longer, and what is done once a connection has its last answer. What
//! bytes mean is told by `connection`.

pub(super) mod connection;

use super::{ConnectionId, Event, Millis, Net, Side};
use connection::{Dialogue, Read, RequestLimits, Response, CONTINUE};

pub(super) struct Inward {
    pub port: usize,
    pub dialogue: Dialogue,
    /// When the request had come whole.
    since: Millis,
}

impl Inward {
    pub fn new(port: usize) -> Inward {
        Inward { port, dialogue: Dialogue::default(), since: 0 }
    }
}

impl RequestLimits {
    /// Bytes that one request may take with its framing; chunks of a few bytes each are worth nobody's memory.
    pub fn most(&self) -> usize {
        self.max_head_bytes + 2 * self.max_body_bytes + (64 << 10)
    }
}

impl Net {
    pub(super) fn take_request(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(Side::Inward(inward)) = self.get(id).map(|conn| &conn.side) else { return };
        let port = inward.port;
        let bounds = self.bounds(port);
        let Some(conn) = self.get(id).filter(|conn| !conn.close_after) else { return };
        let Side::Inward(inward) = &mut conn.side else { return };
        match inward.dialogue.read(&mut conn.input, &bounds) {
            Read::Nothing => {}
            Read::Part { first, expects } => {
                if expects {
                    conn.out.extend_from_slice(CONTINUE);
                    self.soil(id);
                }
                if first {
                    self.put_off(id, now + bounds.request_timeout_ms);
                }
            }
            Read::Request(request) => {
                inward.since = now;
                if conn.input.is_empty() && conn.input.capacity() > super::KEEP {
                    conn.input = Vec::new();
                }
                conn.deadline = Millis::MAX;
                self.happened.push_back(Event::Request { connection: id, listener: port, request: *request });
            }
            Read::Refused(status) => {
                inward.since = now;
                self.malformed_inputs += u64::from(status == 400);
                self.respond(id, Response::empty(status));
            }
        }
    }

    /// More bytes have come than any request may have: whole requests are taken, and anything else is refused.
    pub(super) fn too_much(&mut self, id: ConnectionId) {
        self.take_request(id);
        let Some(conn) = self.get(id).filter(|conn| !conn.close_after) else { return };
        let Side::Inward(inward) = &conn.side else { return };
        if !inward.dialogue.is_busy() {
            self.refuse(id, 413);
        }
    }

    fn refuse(&mut self, id: ConnectionId, status: u16) {
        let now = self.now;
        let Some(conn) = self.get(id) else { return };
        let Side::Inward(inward) = &mut conn.side else { return };
        inward.since = now;
        inward.dialogue.refuse(status);
        self.respond(id, Response::empty(status));
    }

    /// Answers the request that the connection waits on.
    pub fn respond(&mut self, id: ConnectionId, answer: Response) {
        let now = self.now;
        let Some(conn) = self.get(id) else { return };
        let Side::Inward(inward) = &mut conn.side else { return };
        let Some(close) = inward.dialogue.answer(&answer, conn.ended, &mut conn.out) else { return };
        let (port, since) = (inward.port, inward.since);
        conn.close_after |= close;
        *self.responses.entry((port, answer.status)).or_default() += 1;
        if answer.status == 202 {
            self.accept_latency.record(now.saturating_sub(since));
        }
        self.soil(id);
        let idle_ms = self.bounds(port).idle_timeout_ms;
        self.put_off(id, now + idle_ms);
        self.take_request(id);
    }

    fn put_off(&mut self, id: ConnectionId, deadline: Millis) {
        if let Some(conn) = self.get(id) {
            conn.deadline = deadline;
        }
        self.watch(id, deadline);
    }

    /// A request that did not come whole in time, or a connection on which none comes.
    pub(super) fn slow_request(&mut self, id: ConnectionId) {
        let Some(conn) = self.get(id) else { return };
        let Side::Inward(inward) = &conn.side else { return };
        if inward.dialogue.has_begun() {
            self.refuse(id, 408);
        } else if !inward.dialogue.is_busy() {
            self.close(id);
        }
    }

    /// Closes connections on which nothing is under way.
    pub fn close_idle_connections(&mut self, port: usize) {
        let idle: Vec<ConnectionId> = (0..self.conns.len())
            .filter(|at| {
                self.conns[*at].1.as_ref().is_some_and(|conn| {
                    let quiet = conn.input.is_empty() && conn.out.is_empty();
                    let free = |inward: &Inward| {
                        inward.port == port && !inward.dialogue.is_busy() && !inward.dialogue.has_begun()
                    };
                    matches!(&conn.side, Side::Inward(inward) if free(inward)) && quiet
                })
            })
            .map(|at| self.id(at))
            .collect();
        idle.into_iter().for_each(|id| self.close(id));
    }
}
