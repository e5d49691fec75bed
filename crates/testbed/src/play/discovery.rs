//! Discovery: replicas that are told of changes late, each as late as it is, and bear only so many calls. A node is told
//! the addresses of its own ways to the executors.

use super::http::{Message, Reader};
use super::ways::{host_of, listen_for_all, node_of};
use super::world::{locked, World};
use crate::settings::endpoint;
use crate::sim::Bears;
use crate::time::seconds;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stileroute_dispatch::types::Time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// What the list says of one executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    Ready,
    Terminating,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub domain: usize,
    /// Where it is, where the nodes have no ways of their own to it; else the port of those.
    pub address: Result<SocketAddr, u16>,
}

impl Entry {
    fn json(&self, node: usize, line: &Line) -> serde_json::Value {
        let status = match line.status {
            Status::Ready => "Ready",
            Status::Terminating => "Terminating",
            Status::Gone => "Gone",
        };
        let at = self.address.unwrap_or_else(|port| (host_of(node), port).into()).to_string();
        endpoint(&self.name, &at, &self.zone, &self.kind, self.cell, status, line.since_ms)
    }
}

/// What a replica says of an executor, and the version in which that changed last; zero for one it does not know.
#[derive(Clone, Copy, Debug)]
struct Line {
    status: Status,
    since_ms: i64,
    changed: u64,
}

struct Told {
    version: u64,
    lines: Vec<Line>,
    bears: Bears,
}

/// News for one replica.
enum News {
    One(usize, Status, i64),
    /// All statuses, as they stood at some time.
    All(Vec<(Status, i64)>),
}

/// One replica.
struct Replica {
    told: Mutex<Told>,
    version: watch::Sender<u64>,
    news: mpsc::UnboundedSender<(Time, News)>,
    late: Mutex<Pcg64Mcg>,
}

/// The service, with all its replicas behind one listener: which of them a caller means follows from which node it is.
pub struct Service {
    world: Arc<World>,
    entries: Vec<Entry>,
    replicas: Vec<Replica>,
    /// By node: counts its addresses; connections to an older one end.
    places: Vec<watch::Sender<u64>>,
}

impl Service {
    /// Starts it with all executors ready since a time; gives its port.
    pub fn start(
        world: &Arc<World>,
        entries: Vec<Entry>,
        since_ms: i64,
        late: impl Fn(usize) -> Pcg64Mcg,
    ) -> Result<(Arc<Service>, u16), String> {
        let line = Line { status: Status::Ready, since_ms, changed: 1 };
        let (mut replicas, mut coming) = (Vec::new(), Vec::new());
        for number in 0..world.plan.replicas() {
            let (news, come) = mpsc::unbounded_channel();
            coming.push(come);
            let told = Told { version: 1, lines: vec![line; entries.len()], bears: Bears::default() };
            let late = Mutex::new(late(number));
            replicas.push(Replica { told: Mutex::new(told), version: watch::channel(1).0, news, late });
        }
        let places = (0..world.plan.nodes.count).map(|_| watch::channel(0).0).collect();
        let service = Arc::new(Service { world: world.clone(), entries, replicas, places });
        for (number, come) in coming.into_iter().enumerate() {
            tokio::spawn(service.clone().hear(number, come));
        }
        let port = service.open()?;
        Ok((service, port))
    }

    /// A listener more, at a new port.
    fn open(self: &Arc<Service>) -> Result<u16, String> {
        let listener = listen_for_all(None).map_err(|error| format!("listener: {error}"))?;
        let port = listener.local_addr().map_err(|error| error.to_string())?.port();
        tokio::spawn(self.clone().serve(listener));
        Ok(port)
    }

    /// A new address for some nodes; what they had before closes by and by.
    pub fn move_nodes(self: &Arc<Service>, nodes: &[usize]) -> Result<u16, String> {
        let port = self.open()?;
        nodes.iter().for_each(|node| self.places[*node].send_modify(|place| *place += 1));
        Ok(port)
    }

    /// A change that every replica will be told of, late as it is.
    pub fn tell(&self, x: usize, status: Status, since_ms: i64) {
        (0..self.replicas.len()).for_each(|number| self.send(number, News::One(x, status, since_ms)));
    }

    pub fn tell_all(&self, all: &[(Status, i64)]) {
        (0..self.replicas.len()).for_each(|number| self.send(number, News::All(all.to_vec())));
    }

    /// The replica is back with nothing, and each executor tells it of itself; or with the list and the version of some
    /// time before.
    pub fn back_with(&self, replica: usize, now: &[(Status, i64)], then: Option<(u64, Vec<(Status, i64)>)>) {
        let own = &self.replicas[replica];
        {
            let mut told = locked(&own.told);
            match then {
                None => {
                    told.version = 1;
                    told.lines.iter_mut().for_each(|line| line.changed = 0);
                }
                Some((version, all)) => {
                    told.version = version;
                    for (line, (status, since_ms)) in told.lines.iter_mut().zip(all) {
                        *line = Line { status, since_ms, changed: version };
                    }
                }
            }
            own.version.send_replace(told.version);
        }
        if locked(&own.told).lines.iter().all(|line| line.changed == 0) {
            for (x, (status, since_ms)) in now.iter().enumerate() {
                self.send(replica, News::One(x, *status, *since_ms));
            }
        }
    }

    fn send(&self, number: usize, news: News) {
        let list = &self.world.plan.fleet.list;
        let [least, most] = list.late_s;
        let lag = if list.lag_s.is_empty() { 0.0 } else { list.lag_s[number % list.lag_s.len()] };
        let own = &self.replicas[number];
        let late = seconds(locked(&own.late).random_range(least..=most) + lag);
        let stale = self.world.weather(|weather| weather.list_late(number).unwrap_or(0));
        let _ = own.news.send((self.world.now() + late + stale, news));
    }

    /// News in the order in which it was sent, each at its time, or when it gets there.
    async fn hear(self: Arc<Service>, number: usize, mut coming: mpsc::UnboundedReceiver<(Time, News)>) {
        let own = &self.replicas[number];
        let mut changes = self.world.changed.subscribe();
        while let Some((at, news)) = coming.recv().await {
            tokio::time::sleep_until(self.world.instant(at)).await;
            let cut = |weather: &crate::faults::Weather| {
                let from = if let News::One(x, ..) = news { Some(self.entries[x].domain) } else { None };
                let lost = weather.list_late(number).is_none();
                lost || from.is_some_and(|domain| weather.news_cut(number, domain))
            };
            while self.world.weather(cut) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
            let mut told = locked(&own.told);
            told.version += 1;
            let version = told.version;
            match news {
                News::One(x, status, since_ms) => {
                    told.lines[x] = Line { status, since_ms, changed: version };
                }
                News::All(all) => {
                    for (line, (status, since_ms)) in told.lines.iter_mut().zip(all) {
                        *line = Line { status, since_ms, changed: version };
                    }
                }
            }
            own.version.send_replace(version);
        }
    }

    async fn serve(self: Arc<Service>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let node = stream.local_addr().ok().and_then(|at| node_of(at.ip()));
            let Some(node) = node.filter(|node| *node < self.places.len()) else { continue };
            let own = self.clone();
            tokio::spawn(async move {
                let mut places = own.places[node].subscribe();
                let place = *places.borrow();
                let moved = async {
                    let _ = places.wait_for(|now| *now > place).await;
                    tokio::time::sleep(Duration::from_millis(1500)).await;
                };
                tokio::select! {
                    () = own.connection(stream, node) => {}
                    () = moved => {}
                }
            });
        }
    }

    async fn connection(&self, mut stream: TcpStream, node: usize) {
        let mut reader = Reader::default();
        let mut bytes = [0; 4096];
        loop {
            match reader.next(false) {
                Ok(Some(message)) => {
                    if !self.answer(&mut stream, &message, node).await {
                        return;
                    }
                }
                Ok(None) => match stream.read(&mut bytes).await {
                    Ok(read) if read > 0 => reader.feed(&bytes[..read]),
                    _ => return,
                },
                Err(_) => return,
            }
        }
    }

    async fn answer(&self, stream: &mut TcpStream, message: &Message, node: usize) -> bool {
        let query = message.path.split_once('?').map_or("", |(_, query)| query);
        let value = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let since: Option<u64> = value("since").and_then(|text| text.parse().ok());
        let wait: u64 = value("timeout_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let (world, number) = (&self.world, self.world.plan.replica_of(node));
        let own = &self.replicas[number];
        let list = &world.plan.fleet.list;
        let calls = world.weather(|weather| weather.overbooked(number)).unwrap_or(list.calls_per_s);
        let takes = {
            let mut told = locked(&own.told);
            // A watch from a version that it never told is answered with all, when its time is up.
            let from = since.filter(|since| *since <= told.version).unwrap_or(0);
            let lines = told.lines.iter().filter(|line| line.changed > from).count();
            told.bears.takes(world.now(), lines, calls, list.lines_per_s)
        };
        {
            let mut ledger = locked(&world.ledger);
            ledger.called[number].push(world.now());
            ledger.turned_away += u64::from(!takes);
        }
        if !takes {
            let text = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        if let Some(since) = since {
            let mut versions = own.version.subscribe();
            let newer = versions.wait_for(|version| *version > since);
            let _ = tokio::time::timeout(Duration::from_millis(wait.min(60_000)), newer).await;
        }
        // It is silent while the service is down.
        let mut changes = world.changed.subscribe();
        while world.weather(|weather| weather.list_late(number).is_none()) {
            if changes.changed().await.is_err() {
                return false;
            }
        }
        let (body, lines, index) = {
            let told = locked(&own.told);
            let whole = since.is_none_or(|since| since > told.version);
            let since = since.filter(|_| !whole).unwrap_or(0);
            let news = |line: &&(usize, Line)| line.1.changed > since;
            let lines: Vec<(usize, Line)> =
                told.lines.iter().copied().enumerate().filter(|line| news(&line)).collect();
            let entries: Vec<_> = lines
                .iter()
                .filter(|(_, line)| !whole || line.status != Status::Gone)
                .map(|(x, line)| self.entries[*x].json(node, line))
                .collect();
            (
                serde_json::json!({"index": told.version, "snapshot": whole, "endpoints": entries}),
                lines,
                told.version,
            )
        };
        let body = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all(format!("{head}{body}").as_bytes()).await.is_err() {
            return false;
        }
        // What is written on a way that is cut tells nobody anything; on a slow one it does later.
        let way = world.weather(|weather| weather.to_discovery(node, number));
        let now = world.now() + way.delay + if way.loss > 0.0 { way.again } else { 0 };
        let mut ledger = locked(&world.ledger);
        // An older version than the node has says nothing to it.
        let older = since.is_some_and(|since| since > index) || way.shut_back;
        for (x, line) in lines.into_iter().filter(|_| !older) {
            ledger.told(node, x, now, line.status == Status::Ready);
            if line.since_ms > 0 {
                ledger.told_start(node, x, now, world.time_of(line.since_ms));
            }
        }
        true
    }
}
