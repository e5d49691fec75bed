//! Follows the list of executors: asks when the desk says so, then holds the watch until it breaks.

use super::{exchange, ExchangeError};
use crate::interfaces::Event;
use crate::say;
use crate::wire::discovery::{self, List};
use crossbeam_channel::{Receiver, Sender};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long a watch waits for news, and how much longer an answer may take before discovery counts as silent.
const WAIT_MS: u64 = 4000;
const LATE: Duration = Duration::from_millis(1500);

/// Where discovery is, and the connection that is held to it. A new configuration may name another place.
pub struct Post {
    state: Mutex<(SocketAddr, Option<Arc<TcpStream>>)>,
    ask: Sender<()>,
}

impl Post {
    pub fn new(at: SocketAddr, ask: Sender<()>) -> Arc<Post> {
        Arc::new(Post { state: Mutex::new((at, None)), ask })
    }

    fn state(&self) -> MutexGuard<'_, (SocketAddr, Option<Arc<TcpStream>>)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn at(&self) -> SocketAddr {
        self.state().0
    }

    /// Leaves the old address at once, wherever the thread is waiting: what is told there is no longer heeded,
    /// and what the new one has told must not wait for the old watch to run out.
    pub fn turn(&self, to: SocketAddr) {
        let mut state = self.state();
        if state.0 != to {
            state.0 = to;
            if let Some(stream) = state.1.take() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            // After the address: a thread that rests between two watches wakes and finds the new one.
            let _ = self.ask.try_send(());
        }
    }

    /// Enters the connection; false if its address was left meanwhile.
    fn enter(&self, at: SocketAddr, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        state.1 = Some(stream.clone());
        state.0 == at
    }
}

/// Serves until the desk is gone. `ask` comes from the desk, which also decides when to ask again.
pub fn run(post: &Post, known: i64, ask: Receiver<()>, desk: Sender<Event>) {
    let mut from = (known >= 0).then(|| (post.at(), known));
    while ask.recv().is_ok() {
        let turned_away = loop {
            let at = post.at();
            let end = follow(at, post, &mut from, &desk);
            post.state().1 = None;
            // Before the address is looked at: a call that is dropped here must not be that of a new one.
            while ask.try_recv().is_ok() {}
            let moved = post.at() != at;
            let end = if moved { WatchEnd::Moved } else { end };
            say!("discovery {at}: connection ended: {end}");
            if !moved {
                break matches!(end, WatchEnd::TurnedAway);
            }
        };
        if desk.send(Event::ListSilent { turned_away }).is_err() {
            return;
        }
    }
}

/// Why the calls to discovery at one address ended.
#[derive(Debug, Error)]
enum WatchEnd {
    /// No connection could be made.
    #[error("unreached")]
    Unreached,
    /// Discovery is asked at another address now.
    #[error("moved")]
    Moved,
    /// The node ends.
    #[error("stopped")]
    Stopped,
    /// The service had no room for the call.
    #[error("turned-away")]
    TurnedAway,
    /// An answer came that holds no list.
    #[error("garbled")]
    Garbled,
    /// No answer came.
    #[error("{0}")]
    NoAnswer(ExchangeError),
}

/// Watch after watch, from the version that is known. Only where none is known, as at another address, a call for the whole
/// list comes first: it costs the service each line, and hundreds of nodes that start or lose it together would
/// each make it pay for what they know already. Gives the reason why it ended.
fn follow(
    at: SocketAddr,
    post: &Post,
    from: &mut Option<(SocketAddr, i64)>,
    desk: &Sender<Event>,
) -> WatchEnd {
    let host = at.to_string();
    let mut held = None;
    loop {
        let stream = match held.take() {
            Some(stream) => stream,
            None => match TcpStream::connect_timeout(&at, LATE) {
                Ok(stream) => Arc::new(stream),
                Err(_) => return WatchEnd::Unreached,
            },
        };
        if !post.enter(at, &stream) {
            return WatchEnd::Moved;
        }
        let _ = stream.set_nodelay(true);
        let newer = from.filter(|from| from.0 == at).map(|from| from.1);
        let wait = newer.map_or(0, |_| WAIT_MS);
        let text = discovery::ask(&host, newer.map(|than| (than, wait)));
        let list = match ask_for(&stream, &text, Duration::from_millis(wait) + LATE) {
            Ok((list, close)) => {
                // Discovery may close a connection after an answer; the watch goes on on a new one.
                held = (!close).then_some(stream);
                list
            }
            Err(end) => return end,
        };
        if post.at() != at {
            return WatchEnd::Moved;
        }
        // Another place counts its versions in its own way.
        let anew = newer.is_none() && from.is_some();
        *from = Some((at, newer.map_or(list.index, |before| before.max(list.index))));
        if desk.send(Event::List { list: (&list).into(), anew }).is_err() {
            return WatchEnd::Stopped;
        }
    }
}

/// Asks for a list; beside it whether the connection ends with the answer.
fn ask_for(stream: &TcpStream, text: &str, wait: Duration) -> Result<(List, bool), WatchEnd> {
    let _ = stream.set_write_timeout(Some(LATE));
    let answer = exchange(stream, text, Instant::now() + wait).map_err(|error| match error {
        ExchangeError::Malformed(error) => unreadable(&error),
        error => WatchEnd::NoAnswer(error),
    })?;
    if matches!(answer.status, 429 | 503) {
        return Err(WatchEnd::TurnedAway);
    }
    let list = discovery::read(&answer).map_err(|error| unreadable(&error))?;
    Ok((list, answer.closes_connection))
}

fn unreadable(error: &dyn std::error::Error) -> WatchEnd {
    say!("discovery: answer can't be read: {error}");
    WatchEnd::Garbled
}
