//! Follows the list of executors: asks when the desk says so, then holds the watch until it breaks.

use super::{exchange, ExchangeError};
use crate::interfaces::Event;
use crate::log_info;
use crate::wire::discovery::{self, EndpointList};
use crossbeam_channel::{Receiver, Sender};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long a watch waits for news, and how much longer an answer may take before discovery counts as silent.
const LONG_POLL_MS: u64 = 4000;
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Where discovery is, and the connection that is held to it. A new configuration may name another place.
pub struct DiscoveryAddress {
    state: Mutex<(SocketAddr, Option<Arc<TcpStream>>)>,
    refresh: Sender<()>,
}

impl DiscoveryAddress {
    pub fn new(address: SocketAddr, refresh: Sender<()>) -> Arc<DiscoveryAddress> {
        Arc::new(DiscoveryAddress { state: Mutex::new((address, None)), refresh })
    }

    fn state(&self) -> MutexGuard<'_, (SocketAddr, Option<Arc<TcpStream>>)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn address(&self) -> SocketAddr {
        self.state().0
    }

    /// Leaves the old address at once, wherever the thread is waiting: what is told there is no longer heeded,
    /// and what the new one has told must not wait for the old watch to run out.
    pub fn change_address(&self, to: SocketAddr) {
        let mut state = self.state();
        if state.0 != to {
            state.0 = to;
            if let Some(stream) = state.1.take() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            // After the address: a thread that rests between two watches wakes and finds the new one.
            let _ = self.refresh.try_send(());
        }
    }

    /// Enters the connection; false if its address was left meanwhile.
    fn register_stream(&self, address: SocketAddr, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        state.1 = Some(stream.clone());
        state.0 == address
    }
}

/// Serves until the desk is gone. `ask` comes from the desk, which also decides when to ask again.
pub fn run(
    discovery_address: &DiscoveryAddress,
    known_version: i64,
    refresh: Receiver<()>,
    dispatch_loop: Sender<Event>,
) {
    let mut last_version = (known_version >= 0).then(|| (discovery_address.address(), known_version));
    while refresh.recv().is_ok() {
        let was_rejected = loop {
            let address = discovery_address.address();
            let end = watch(address, discovery_address, &mut last_version, &dispatch_loop);
            discovery_address.state().1 = None;
            // Before the address is looked at: a call that is dropped here must not be that of a new one.
            while refresh.try_recv().is_ok() {}
            let address_changed = discovery_address.address() != address;
            let end = if address_changed { WatchEnd::AddressChanged } else { end };
            log_info!("discovery {address}: connection ended: {end}");
            if !address_changed {
                break matches!(end, WatchEnd::Rejected);
            }
        };
        if dispatch_loop.send(Event::DiscoveryFailed { was_rejected }).is_err() {
            return;
        }
    }
}

/// Why the calls to discovery at one address ended.
#[derive(Debug, Error)]
enum WatchEnd {
    /// No connection could be made.
    #[error("unreached")]
    NotConnected,
    /// Discovery is asked at another address now.
    #[error("moved")]
    AddressChanged,
    /// The node ends.
    #[error("stopped")]
    Stopped,
    /// The service had no room for the call.
    #[error("turned-away")]
    Rejected,
    /// An answer came that holds no list.
    #[error("garbled")]
    Malformed,
    /// No answer came.
    #[error("{0}")]
    NoAnswer(ExchangeError),
}

/// Watch after watch, from the version that is known. Only where none is known, as at another address, a call for the whole
/// list comes first: it costs the service each line, and hundreds of nodes that start or lose it together would
/// each make it pay for what they know already. Gives the reason why it ended.
fn watch(
    address: SocketAddr,
    discovery_address: &DiscoveryAddress,
    last_version: &mut Option<(SocketAddr, i64)>,
    dispatch_loop: &Sender<Event>,
) -> WatchEnd {
    let host = address.to_string();
    let mut reusable_stream = None;
    loop {
        let stream = match reusable_stream.take() {
            Some(stream) => stream,
            None => match TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT) {
                Ok(stream) => Arc::new(stream),
                Err(_) => return WatchEnd::NotConnected,
            },
        };
        if !discovery_address.register_stream(address, &stream) {
            return WatchEnd::AddressChanged;
        }
        let _ = stream.set_nodelay(true);
        let known_version =
            last_version.filter(|last_version| last_version.0 == address).map(|last_version| last_version.1);
        let wait = known_version.map_or(0, |_| LONG_POLL_MS);
        let request = discovery::request(&host, known_version.map(|version| (version, wait)));
        let list = match request_list(&stream, &request, Duration::from_millis(wait) + RESPONSE_TIMEOUT) {
            Ok((list, close)) => {
                // Discovery may close a connection after an answer; the watch goes on on a new one.
                reusable_stream = (!close).then_some(stream);
                list
            }
            Err(end) => return end,
        };
        if discovery_address.address() != address {
            return WatchEnd::AddressChanged;
        }
        // Another place counts its versions in its own way.
        let is_first_from_address = known_version.is_none() && last_version.is_some();
        *last_version = Some((address, known_version.map_or(list.index, |before| before.max(list.index))));
        if dispatch_loop.send(Event::ExecutorList { list: (&list).into(), is_first_from_address }).is_err() {
            return WatchEnd::Stopped;
        }
    }
}

/// Asks for a list; beside it whether the connection ends with the answer.
fn request_list(stream: &TcpStream, request: &str, wait: Duration) -> Result<(EndpointList, bool), WatchEnd> {
    let _ = stream.set_write_timeout(Some(RESPONSE_TIMEOUT));
    let answer = exchange(stream, request, Instant::now() + wait).map_err(|error| match error {
        ExchangeError::Malformed(error) => malformed(&error),
        error => WatchEnd::NoAnswer(error),
    })?;
    if matches!(answer.status, 429 | 503) {
        return Err(WatchEnd::Rejected);
    }
    let list = discovery::read(&answer).map_err(|error| malformed(&error))?;
    Ok((list, answer.closes_connection))
}

fn malformed(error: &dyn std::error::Error) -> WatchEnd {
    log_info!("discovery: answer can't be read: {error}");
    WatchEnd::Malformed
}
