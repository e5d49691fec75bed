//! A middleman between the nodes of one domain and one executor. It passes bytes on, and does to them what the
//! weather says: nothing passes, they are late, they drip, or the connection is broken after so many.

use super::executors::{listen, part_of};
use super::world::{span, World};
use crate::faults::Way;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

pub struct Middleman {
    world: Arc<World>,
    from: usize,
    executor: usize,
    domain: usize,
    to: SocketAddr,
    connections: AtomicU64,
}

impl Middleman {
    /// Opens a way from the nodes of a domain to an executor; gives its address.
    pub fn start(
        world: &Arc<World>,
        from: usize,
        executor: usize,
        domain: usize,
        to: SocketAddr,
    ) -> Result<SocketAddr, String> {
        let listener =
            listen(SocketAddr::from(([127, 0, 79, 1], 0))).map_err(|e| format!("listener: {e}"))?;
        let at = listener.local_addr().map_err(|error| error.to_string())?;
        let own =
            Middleman { world: world.clone(), from, executor, domain, to, connections: AtomicU64::new(0) };
        tokio::spawn(Arc::new(own).serve(listener, at));
        Ok(at)
    }

    fn way(&self) -> Way {
        self.world.weather(|weather| weather.way(self.from, self.executor, self.domain))
    }

    async fn serve(self: Arc<Self>, first: TcpListener, at: SocketAddr) {
        let mut changes = self.world.changed.subscribe();
        let mut listener = Some(first);
        loop {
            // While it refuses nobody listens.
            if self.way().refused {
                listener = None;
            } else if listener.is_none() {
                listener = listen(at).ok();
            }
            let accept = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                accepted = accept => {
                    if let Ok((stream, _)) = accepted {
                        let number = self.connections.fetch_add(1, Ordering::SeqCst);
                        tokio::spawn(self.clone().connection(stream, number));
                    }
                }
                _ = changes.changed() => {}
            }
        }
    }

    /// Waits until something passes again. What had to wait is reset then: true.
    async fn silence(&self, fresh: bool) -> bool {
        let mut changes = self.world.changed.subscribe();
        let mut waited = false;
        loop {
            let way = self.way();
            let shut = way.silent || (fresh && way.half_open);
            if !shut {
                return waited;
            }
            waited = true;
            if changes.changed().await.is_err() {
                return true;
            }
        }
    }

    async fn connection(self: Arc<Self>, near: TcpStream, number: u64) {
        let _ = near.set_nodelay(true);
        if self.silence(true).await {
            let _ = near.set_zero_linger();
            return;
        }
        let Ok(far) = TcpStream::connect(self.to).await else {
            let _ = near.set_zero_linger();
            return;
        };
        let _ = far.set_nodelay(true);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        // Whichever way ends first, or is broken, takes the other with it.
        tokio::select! {
            () = self.pass(near_read, far_write, number, false) => {}
            () = self.pass(far_read, near_write, number, true) => {}
        }
    }

    /// Passes bytes one way until it ends or is broken. `back` is the way to the node.
    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: u64, back: bool) {
        let mut bytes = vec![0; 16 * 1024];
        let (mut passed, mut pushes) = (0, 0);
        loop {
            let read = match from.read(&mut bytes).await {
                Ok(read) if read > 0 => read,
                _ => return,
            };
            let reset = |from: &OwnedReadHalf, to: &OwnedWriteHalf| {
                let _ = from.as_ref().set_zero_linger();
                let _ = to.as_ref().set_zero_linger();
            };
            if self.silence(false).await {
                return reset(&from, &to);
            }
            let way = self.way();
            if way.delay > 0 {
                tokio::time::sleep(span(way.delay)).await;
            }
            // A message begins where the other side has had its turn; counting every piece as one is near enough,
            // for heads and lines are written whole.
            pushes += 1;
            let meets =
                way.reset > 0.0 && way.back == back && part_of(number * 4096 + pushes, 77) < way.reset;
            if meets && passed + read > way.bytes {
                let _ = to.write_all(&bytes[..way.bytes.min(read)]).await;
                // What was passed on must arrive before the reset does.
                tokio::time::sleep(Duration::from_millis(2)).await;
                return reset(&from, &to);
            }
            if meets {
                passed += read;
            }
            let sent = if way.dribble && !back {
                let mut sent = Ok(());
                for byte in &bytes[..read] {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    sent = to.write_all(&[*byte]).await;
                    if sent.is_err() {
                        break;
                    }
                }
                sent
            } else {
                to.write_all(&bytes[..read]).await
            };
            if sent.is_err() {
                return;
            }
        }
    }
}
