//! Ways between nodes and executors, discovery, or other nodes. Each node knows whoever it talks to under a host of its
//! own, so one listener with one task stands for the ways of all nodes; which of them has come shows in the address
//! that it came to. Bytes are passed on, and meet what the weather says of that node's way.

use super::executors::part_of;
use super::world::{span, World};
use crate::faults::{Way, Weather};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

const IN_A_ROW: usize = 250;

/// The host under which a node, and no other, knows what it talks to.
pub fn host_of(node: usize) -> IpAddr {
    let (high, low) = (node / IN_A_ROW, node % IN_A_ROW);
    Ipv4Addr::new(127, 100 + (high / IN_A_ROW) as u8, (high % IN_A_ROW) as u8, 1 + low as u8).into()
}

/// Which node has come to this address.
pub fn node_of(host: IpAddr) -> Option<usize> {
    let IpAddr::V4(host) = host else { return None };
    let [net, top, high, low] = host.octets().map(usize::from);
    (net == 127 && top >= 100 && low >= 1).then(|| ((top - 100) * IN_A_ROW + high) * IN_A_ROW + low - 1)
}

/// A listener for all hosts of the loopback device, and of no other device, at a port outside of those that outgoing
/// connections take.
pub fn listen_for_all(port: Option<u16>) -> std::io::Result<TcpListener> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    const PORTS: std::ops::Range<u16> = 12_000..32_000;
    let count = PORTS.end - PORTS.start;
    let open = |port: u16| {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind_device(Some(b"lo"))?;
        socket.bind(SocketAddr::from(([0, 0, 0, 0], port)))?;
        socket.listen(1024)
    };
    if let Some(port) = port {
        return open(port);
    }
    // Several rigs at once begin far from each other.
    let from = (std::process::id() as u16).wrapping_mul(613) % count;
    loop {
        let tried = NEXT.fetch_add(1, Ordering::Relaxed);
        match open(PORTS.start + (from.wrapping_add(tried)) % count) {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse && tried < count => {}
            opened => return opened,
        }
    }
}

/// What the weather says of the way of a node.
pub type Look = Arc<dyn Fn(&Weather, usize) -> Way + Send + Sync>;

/// The ways of all nodes to one other process.
pub struct Middleman {
    world: Arc<World>,
    look: Look,
    /// Where it leads, by node.
    to: Box<dyn Fn(usize) -> SocketAddr + Send + Sync>,
    connections: AtomicU64,
}

impl Middleman {
    /// Opens the ways; gives the port at which each node finds its own, under its own host.
    pub fn start(
        world: &Arc<World>,
        look: Look,
        to: Box<dyn Fn(usize) -> SocketAddr + Send + Sync>,
    ) -> Result<u16, String> {
        let listener = listen_for_all(None).map_err(|error| format!("listener: {error}"))?;
        let port = listener.local_addr().map_err(|error| error.to_string())?.port();
        let own = Middleman { world: world.clone(), look, to, connections: AtomicU64::new(0) };
        tokio::spawn(Arc::new(own).serve(listener, port));
        Ok(port)
    }

    fn way(&self, node: usize) -> Way {
        self.world.weather(|weather| (self.look)(weather, node))
    }

    fn refuses_all(&self) -> bool {
        let count = self.world.plan.nodes.count;
        self.world.weather(|weather| (0..count).all(|node| (self.look)(weather, node).refused))
    }

    async fn serve(self: Arc<Self>, first: TcpListener, port: u16) {
        let mut changes = self.world.changed.subscribe();
        let mut listener = Some(first);
        loop {
            // While it refuses everyone nobody listens; one that refuses some resets theirs at once.
            if self.refuses_all() {
                listener = None;
            } else if listener.is_none() {
                listener = listen_for_all(Some(port)).ok();
            }
            let accept = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                accepted = accept => {
                    let Ok((stream, _)) = accepted else { continue };
                    let node = stream.local_addr().ok().and_then(|at| node_of(at.ip()));
                    let Some(node) = node.filter(|node| *node < self.world.plan.nodes.count) else { continue };
                    if self.way(node).refused {
                        let _ = stream.set_zero_linger();
                        continue;
                    }
                    let number = self.connections.fetch_add(1, Ordering::SeqCst);
                    tokio::spawn(self.clone().connection(stream, node, number));
                }
                _ = changes.changed() => {}
            }
        }
    }

    /// Waits until something passes again. What had to wait is reset then: true.
    async fn silence(&self, node: usize, shut: impl Fn(Way) -> bool) -> bool {
        if !shut(self.way(node)) {
            return false;
        }
        let mut changes = self.world.changed.subscribe();
        while shut(self.way(node)) {
            if changes.changed().await.is_err() {
                break;
            }
        }
        true
    }

    async fn connection(self: Arc<Self>, near: TcpStream, node: usize, number: u64) {
        let _ = near.set_nodelay(true);
        if self.silence(node, |way| way.silent() || way.half_open).await {
            let _ = near.set_zero_linger();
            return;
        }
        let Ok(far) = TcpStream::connect((self.to)(node)).await else {
            let _ = near.set_zero_linger();
            return;
        };
        let _ = far.set_nodelay(true);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        // Whichever way ends first, or is broken, takes the other with it.
        tokio::select! {
            () = self.pass(near_read, far_write, node, number, false) => {}
            () = self.pass(far_read, near_write, node, number, true) => {}
        }
    }

    /// Passes bytes one way until it ends or is broken. `back` is the way to the node.
    async fn pass(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        node: usize,
        number: u64,
        back: bool,
    ) {
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
            if self.silence(node, |way| if back { way.shut_back } else { way.shut_there }).await {
                return reset(&from, &to);
            }
            let way = self.way(node);
            pushes += 1;
            let draw = part_of(number * 4096 + pushes, if back { 78 } else { 79 });
            let again = if way.loss > 0.0 && draw < way.loss { way.again } else { 0 };
            if way.delay + again > 0 {
                tokio::time::sleep(span(way.delay + again)).await;
            }
            // A message begins where the other side has had its turn; counting every piece as one is near enough,
            // for heads and lines are written whole.
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

/// Where the nodes send one another messages: by node, the addresses that it is to be configured with.
pub struct Letters {
    /// Where each node listens.
    own: Vec<SocketAddr>,
    /// Where the others send to it, if that is not the same.
    relayed: Vec<SocketAddr>,
}

impl Letters {
    /// Picks an address for each node; where `troubled` all goes by way of the rig, with a socket and a task a node.
    pub async fn open(world: &Arc<World>, troubled: bool) -> Result<Letters, String> {
        let wrong = |error: std::io::Error| format!("messages between nodes: {error}");
        let count = world.plan.nodes.count;
        // Hosts are the rig's own, so a port that is free under the first is free under all.
        let probe = UdpSocket::bind((host_of(0), 0)).await.map_err(wrong)?;
        let port = probe.local_addr().map_err(wrong)?.port();
        drop(probe);
        let own: Vec<SocketAddr> = (0..count).map(|node| (host_of(node), port).into()).collect();
        if !troubled {
            return Ok(Letters { relayed: own.clone(), own });
        }
        let mut sockets = Vec::with_capacity(count);
        for _ in 0..count {
            sockets.push(Arc::new(UdpSocket::bind((Ipv4Addr::new(127, 0, 80, 1), 0)).await.map_err(wrong)?));
        }
        let relayed =
            sockets.iter().map(|socket| socket.local_addr()).collect::<Result<Vec<_>, _>>().map_err(wrong)?;
        let sockets = Arc::new(sockets);
        for (to, at) in own.iter().enumerate() {
            tokio::spawn(relay(world.clone(), sockets.clone(), to, *at));
        }
        Ok(Letters { own, relayed })
    }

    /// Where a node listens, and where the others send to it.
    pub fn at(&self, node: usize) -> (SocketAddr, SocketAddr) {
        (self.own[node], self.relayed[node])
    }

    /// The addresses of all nodes as one of them is told them.
    pub fn of(&self, node: usize) -> Vec<String> {
        let at = |other: usize| if other == node { self.own[other] } else { self.relayed[other] };
        (0..self.own.len()).map(|other| at(other).to_string()).collect()
    }
}

/// Passes on what is sent to one node. It goes out by the socket that stands for its sender, under whose address the
/// receiver knows that.
async fn relay(world: Arc<World>, sockets: Arc<Vec<Arc<UdpSocket>>>, to: usize, at: SocketAddr) {
    let mut bytes = [0; 2048];
    let mut number = 0;
    while let Ok((read, from)) = sockets[to].recv_from(&mut bytes).await {
        let Some(from) = node_of(from.ip()).filter(|from| *from < sockets.len()) else { continue };
        let domain = |node| world.plan.domain_of_node(node);
        let way = world.weather(|weather| weather.between_nodes((from, domain(from)), (to, domain(to))));
        number += 1;
        if way.shut_there || part_of(number, to as u64) < way.loss {
            continue;
        }
        let (socket, text) = (sockets[from].clone(), bytes[..read].to_vec());
        if way.delay > 0 {
            tokio::spawn(async move {
                tokio::time::sleep(span(way.delay)).await;
                let _ = socket.send_to(&text, at).await;
            });
        } else {
            let _ = socket.send_to(&text, at).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_node_has_a_host_of_its_own() {
        for node in [0, 1, 249, 250, 299, 62_499, 62_500, 19_999] {
            assert_eq!(node_of(host_of(node)), Some(node));
        }
        assert_eq!(node_of(Ipv4Addr::new(127, 0, 0, 1).into()), None);
    }
}
