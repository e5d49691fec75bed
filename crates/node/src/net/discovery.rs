//! Follows the executor list: starts a watch when the dispatch loop asks for it and keeps it until it fails.

use super::{exchange, ExchangeError};
use crate::interfaces::Event;
use crate::log_info;
use crate::wire::discovery::{self, EndpointList};
use crossbeam_channel::{Receiver, Sender};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long a watch request waits for changes (4 s), and how much longer the response may take before discovery
/// counts as silent (1.5 s).
const LONG_POLL_MS: u64 = 4000;
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The address of discovery and the current connection to it. A configuration reload can change the address.
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

    /// Switches to a new address and closes the old connection at once. Updates from the old address are
    /// ignored from then on, and those of the new one must not wait until the old watch times out.
    pub fn change_address(&self, to: SocketAddr) {
        let mut state = self.state();
        if state.0 != to {
            state.0 = to;
            if let Some(stream) = state.1.take() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            // Sent after the address is set, so that a thread waiting between two watches wakes up and finds
            // the new one.
            let _ = self.refresh.try_send(());
        }
    }

    /// Registers the connection. Returns false if the address was changed in the meantime.
    fn register_stream(&self, address: SocketAddr, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        state.1 = Some(stream.clone());
        state.0 == address
    }
}

/// Runs until the dispatch loop ends. `refresh` comes from the dispatch loop, which decides when to ask again.
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
            // Must run before the address is compared: a request that is dropped here must not be one for the
            // new address.
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

/// Why the requests to discovery at one address ended.
#[derive(Debug, Error)]
enum WatchEnd {
    /// No connection could be made.
    #[error("unreached")]
    NotConnected,
    /// The configured address has changed.
    #[error("moved")]
    AddressChanged,
    /// The dispatch loop has ended.
    #[error("stopped")]
    Stopped,
    /// The service was overloaded and rejected the request.
    #[error("turned-away")]
    Rejected,
    /// A response arrived but contained no valid list.
    #[error("garbled")]
    Malformed,
    /// No response arrived.
    #[error("{0}")]
    NoAnswer(ExchangeError),
}

/// Sends watch requests one after another, starting from the last known version. The complete list is requested
/// only if no version is known, for example at a new address: it costs the service every entry, and hundreds of
/// nodes that start or reconnect together would each request what they already know. Returns the reason why the
/// watch ended.
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
                // Discovery may close the connection after a response; the watch then continues on a new one.
                reusable_stream = (!close).then_some(stream);
                list
            }
            Err(end) => return end,
        };
        if discovery_address.address() != address {
            return WatchEnd::AddressChanged;
        }
        // Another discovery address numbers its versions independently.
        let is_first_from_address = known_version.is_none() && last_version.is_some();
        *last_version = Some((address, known_version.map_or(list.index, |before| before.max(list.index))));
        if dispatch_loop.send(Event::ExecutorList { list: (&list).into(), is_first_from_address }).is_err() {
            return WatchEnd::Stopped;
        }
    }
}

/// Requests a list. Also returns whether the connection closes after the response.
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
