//! The listener and its accept loop.

use super::clients::Clients;
use crate::say;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

pub fn open(at: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(at).map_err(|error| format!("listen: {at}: {error}"))
}

/// A pause after a failed accept: without descriptors the next would fail at once, and spin.
pub const PAUSE: Duration = Duration::from_millis(10);

/// Accepts until the process ends.
pub fn run(listener: TcpListener, clients: Arc<Clients>) {
    loop {
        clients.seats.room(clients.budget.clients);
        match listener.accept() {
            Ok((stream, _)) => clients.welcome(stream),
            Err(error) => {
                say!("listener: accept failed: {error}");
                std::thread::sleep(PAUSE);
            }
        }
    }
}
