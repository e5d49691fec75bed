//! Requests that go out, each on a connection that carries nothing else meanwhile: which connection takes one, and when it
//! is given up. What bytes on it mean is told by `connection`.

pub(super) mod connection;

use super::{ConnectionId, Event, Millis, Net, Side, CONNECT};
use connection::{Call, CallError, Exchange, Step};
use mio::net::TcpStream;
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};

pub(super) struct Outward {
    pub pool: PoolKey,
    pub exchange: Exchange,
    /// Idle since then; and for how long it had been when the call under way took it.
    idle_since: Millis,
    rested: Option<Millis>,
}

/// Calls whose answers repeat their ids and those whose answers don't never share a connection: a second answer to one of the
/// first would be taken for the answer to one of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PoolKey {
    pub to: SocketAddrV4,
    pub tied: bool,
}

/// Open connections to one address, and those of them that are free.
#[derive(Default)]
pub(super) struct Pool {
    open: usize,
    idle: Vec<ConnectionId>,
    rest: Option<Rest>,
    /// As many as may be open, as was said last.
    most: usize,
}

/// Some executors forget connections sooner than they say, and what is sent on one is lost: it may have run, and runs again.
/// After such a loss none that rested for half as long carries a request to that address; so the second and third are seldom
/// lost, and a lower bound is found by halves. It is forgotten in its turn, for the executor may be another by then.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rest {
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
    ) -> Result<(), CallError> {
        let now = self.now;
        let (key, most) = (PoolKey { to, tied: id.is_some() }, most.max(1));
        let (conn, rested) = match self.idle(key, most, id) {
            Some(conn) => (conn, Some(self.rests(conn))),
            None => (self.open_outward(key, most)?, None),
        };
        let until = if rested.is_some() { deadline } else { deadline.min(now + CONNECT) };
        let bodiless = bytes.starts_with(b"HEAD ");
        if let Some(conn) = self.get(conn) {
            conn.deadline = until;
            conn.out.extend_from_slice(bytes);
            if let Side::Outward(outward) = &mut conn.side {
                outward.rested = rested;
                outward.exchange.begin(Call { ticket, deadline, id: id.map(str::to_string), bodiless });
            }
        }
        self.watch(conn, until);
        self.soil(conn);
        Ok(())
    }

    /// An idle connection that may carry this request. Where none is left to be opened, one that has carried the same
    /// request before is closed for it.
    fn idle(&mut self, key: PoolKey, most: usize, id: Option<&str>) -> Option<ConnectionId> {
        let now = self.now;
        let mut passed_over = Vec::new();
        let found = loop {
            let pool = self.pools.entry(key).or_default();
            pool.most = most;
            let rest = pool.rest;
            let Some(conn) = pool.idle.pop() else { break None };
            let good = self.get(conn).is_some_and(|conn| !conn.ended && conn.deadline > now + 5);
            if !good || !Rest::may(rest, now, self.rests(conn)) || (!key.tied && !self.is_quiet(conn)) {
                self.close(conn);
            } else if id.is_some_and(|id| self.has_carried(conn, id)) {
                passed_over.push(conn);
            } else {
                break Some(conn);
            }
        };
        let full = self.pools.get(&key).is_some_and(|pool| pool.open >= most);
        if found.is_none() && full {
            passed_over.pop().into_iter().for_each(|conn| self.close(conn));
        }
        self.pools.entry(key).or_default().idle.extend(passed_over.into_iter().rev());
        found
    }

    fn has_carried(&mut self, conn: ConnectionId, id: &str) -> bool {
        matches!(self.get(conn).map(|conn| &conn.side), Some(Side::Outward(o)) if o.exchange.has_carried(id))
    }

    /// Neither bytes nor an end wait on it. What came since it fell idle would be taken for the next answer.
    fn is_quiet(&mut self, conn: ConnectionId) -> bool {
        let Some(conn) = self.get(conn) else { return false };
        let mut byte = [0];
        matches!(conn.stream.peek(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    fn open_outward(&mut self, key: PoolKey, most: usize) -> Result<ConnectionId, CallError> {
        if self.pools.get(&key).is_some_and(|pool| pool.open >= most) {
            return Err(CallError::NoCapacity);
        }
        let stream = TcpStream::connect(SocketAddr::V4(key.to)).map_err(|_| CallError::NotConnected)?;
        let exchange = Exchange::default();
        let side = Side::Outward(Outward { pool: key, exchange, idle_since: self.now, rested: None });
        let id = self.enter(stream, side, false, Millis::MAX).ok_or(CallError::NoCapacity)?;
        let pool = self.pools.entry(key).or_default();
        (pool.open, pool.most) = (pool.open + 1, most);
        self.connections_opened += 1;
        Ok(id)
    }

    /// For how long a connection has been idle.
    fn rests(&mut self, id: ConnectionId) -> Millis {
        let now = self.now;
        match self.get(id).map(|conn| &conn.side) {
            Some(Side::Outward(outward)) => now.saturating_sub(outward.idle_since),
            _ => 0,
        }
    }

    /// No byte of an answer came on a connection that had carried others.
    fn lost_at_rest(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(conn) = self.get(id).filter(|conn| conn.input.is_empty()) else { return };
        let Side::Outward(Outward { pool, rested: Some(rested), .. }) = conn.side else { return };
        self.idle_connections_lost += 1;
        let pool = self.pools.entry(pool).or_default();
        pool.rest = Rest::lost(pool.rest, now, rested);
    }

    pub(super) fn take_reply(&mut self, id: ConnectionId) {
        let Some(conn) = self.get(id) else { return };
        let Side::Outward(outward) = &mut conn.side else { return };
        let written = conn.out.is_empty();
        let step = outward.exchange.read(&mut conn.input, written, conn.ended);
        if conn.input.is_empty() && conn.input.capacity() > super::KEEP {
            conn.input = Vec::new();
        }
        self.carry_out(id, step);
    }

    pub(super) fn reply_to_end(&mut self, id: ConnectionId) {
        let Some(conn) = self.get(id) else { return };
        let Side::Outward(outward) = &mut conn.side else { return };
        let busy = outward.exchange.call().is_some();
        let step = outward.exchange.end(&conn.input, conn.out.is_empty());
        if busy {
            self.lost_at_rest(id);
        }
        self.carry_out(id, step);
    }

    pub(super) fn broke(&mut self, id: ConnectionId) {
        let Some(conn) = self.get(id) else { return };
        let Side::Outward(outward) = &mut conn.side else { return };
        let busy = outward.exchange.call().is_some();
        let step = outward.exchange.broke(conn.open);
        if busy {
            self.lost_at_rest(id);
        }
        self.carry_out(id, step);
    }

    pub(super) fn late(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(conn) = self.get(id) else { return };
        let open = conn.open;
        let Side::Outward(outward) = &mut conn.side else { return };
        match outward.exchange.call().map(|call| call.deadline) {
            Some(deadline) if now < deadline && open => {
                conn.deadline = deadline;
                self.watch(id, deadline);
            }
            _ => {
                let step = outward.exchange.late(open);
                self.carry_out(id, step);
            }
        }
    }

    fn carry_out(&mut self, id: ConnectionId, step: Step) {
        match step {
            Step::Wait => {}
            Step::Close => self.close(id),
            Step::Done { ticket, result, keep } => {
                self.happened.push_back(Event::CallCompleted { call_id: ticket, result });
                match keep {
                    Some(keep) => self.rest(id, keep),
                    None => self.close(id),
                }
            }
        }
    }

    /// Keeps a connection for the next call, if there is room for it.
    fn rest(&mut self, id: ConnectionId, keep: Millis) {
        let (now, until) = (self.now, self.now + keep);
        let Some(conn) = self.get(id) else { return };
        let Side::Outward(outward) = &mut conn.side else { return };
        let key = outward.pool;
        outward.idle_since = now;
        conn.deadline = until;
        // With more stores each one's part is smaller: those over it go as they fall idle, or the executor would reset as
        // many of others.
        if self.pools.get(&key).is_some_and(|pool| pool.open > pool.most) {
            return self.close(id);
        }
        self.watch(id, until);
        self.pools.entry(key).or_default().idle.push(id);
    }

    pub(super) fn left(&mut self, id: ConnectionId, key: PoolKey) {
        let now = self.now;
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.open = pool.open.saturating_sub(1);
            pool.idle.retain(|idle| *idle != id);
            if pool.open == 0 && pool.rest.is_none_or(|rest| rest.until <= now) {
                self.pools.remove(&key);
            }
        }
    }

    /// Closes what is idle to an address where nobody is asked any more.
    pub fn close_idle_calls_to(&mut self, to: SocketAddrV4) {
        let pool = self.pools.get_mut(&PoolKey { to, tied: true });
        let idle = pool.map(|pool| std::mem::take(&mut pool.idle)).unwrap_or_default();
        idle.into_iter().for_each(|id| self.close(id));
    }
}

#[cfg(test)]
mod tests;
