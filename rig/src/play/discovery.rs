//! The list service as each node sees it: an agent with a listener of its own, told of changes late.

use super::executors::listen;
use super::http::{Message, Reader};
use super::world::{locked, World};
use crate::fleet::seconds;
use crate::settings::endpoint;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stileroute::tariff::Time;
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
    pub address: SocketAddr,
    pub status: Status,
    pub since_ms: i64,
    /// The version in which it changed last.
    changed: u64,
}

impl Entry {
    pub fn new(name: &str, zone: &str, kind: &str, cell: usize, address: SocketAddr) -> Entry {
        let (name, zone, kind) = (name.to_string(), zone.to_string(), kind.to_string());
        Entry { name, zone, kind, cell, address, status: Status::Ready, since_ms: 0, changed: 1 }
    }

    fn json(&self) -> serde_json::Value {
        let status = match self.status {
            Status::Ready => "Ready",
            Status::Terminating => "Terminating",
            Status::Gone => "Gone",
        };
        let at = self.address.to_string();
        endpoint(&self.name, &at, &self.zone, &self.kind, self.cell, status, self.since_ms)
    }
}

struct Told {
    version: u64,
    entries: Vec<Entry>,
    /// The whole list goes out once, as it stood before.
    whole_from: u64,
}

/// News for one agent.
enum News {
    One(usize, Status, i64),
    /// All statuses, as they stood at some time.
    All(Vec<(Status, i64)>),
}

pub struct Agent {
    node: usize,
    world: Arc<World>,
    told: Mutex<Told>,
    version: watch::Sender<u64>,
    news: mpsc::UnboundedSender<(Time, News)>,
    /// Counts its addresses: connections to an older one end.
    place: watch::Sender<u64>,
    late: Mutex<Pcg64Mcg>,
}

impl Agent {
    pub fn start(
        world: &Arc<World>,
        node: usize,
        entries: Vec<Entry>,
        late: Pcg64Mcg,
    ) -> Result<(Arc<Agent>, SocketAddr), String> {
        let (news, coming) = mpsc::unbounded_channel();
        let agent = Arc::new(Agent {
            node,
            world: world.clone(),
            told: Mutex::new(Told { version: 1, entries, whole_from: 0 }),
            version: watch::channel(1).0,
            news,
            place: watch::channel(0).0,
            late: Mutex::new(late),
        });
        tokio::spawn(agent.clone().hear(coming));
        let at = agent.open()?;
        Ok((agent, at))
    }

    /// A listener at a new address; what it had before closes by and by.
    pub fn open(self: &Arc<Agent>) -> Result<SocketAddr, String> {
        let listener =
            listen(SocketAddr::from(([127, 0, 78, 1], 0))).map_err(|e| format!("listener: {e}"))?;
        let at = listener.local_addr().map_err(|error| error.to_string())?;
        self.place.send_modify(|place| *place += 1);
        let place = *self.place.borrow();
        tokio::spawn(self.clone().serve(listener, place));
        Ok(at)
    }

    /// A change that the agent will be told of, late as the list is.
    pub fn tell(&self, x: usize, status: Status, since_ms: i64) {
        self.send(News::One(x, status, since_ms));
    }

    pub fn tell_all(&self, all: Vec<(Status, i64)>) {
        self.send(News::All(all));
    }

    fn send(&self, news: News) {
        let [least, most] = self.world.plan.fleet.list.late_s;
        let late = seconds(locked(&self.late).random_range(least..=most));
        let stale = self.world.weather(|weather| weather.list_late().unwrap_or(0));
        let _ = self.news.send((self.world.now() + late + stale, news));
    }

    /// News in the order in which it was sent, each at its time.
    async fn hear(self: Arc<Agent>, mut coming: mpsc::UnboundedReceiver<(Time, News)>) {
        while let Some((at, news)) = coming.recv().await {
            tokio::time::sleep_until(self.world.instant(at)).await;
            let mut told = locked(&self.told);
            told.version += 1;
            let version = told.version;
            match news {
                News::One(x, status, since_ms) => {
                    let entry = &mut told.entries[x];
                    (entry.status, entry.since_ms, entry.changed) = (status, since_ms, version);
                }
                News::All(all) => {
                    for (entry, (status, since_ms)) in told.entries.iter_mut().zip(all) {
                        (entry.status, entry.since_ms, entry.changed) = (status, since_ms, version);
                    }
                    told.whole_from = version;
                }
            }
            drop(told);
            self.version.send_replace(version);
        }
    }

    async fn serve(self: Arc<Agent>, listener: TcpListener, place: u64) {
        let mut places = self.place.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let own = self.clone();
                        tokio::spawn(async move {
                            let mut places = own.place.subscribe();
                            let moved = async {
                                let _ = places.wait_for(|now| *now > place).await;
                                tokio::time::sleep(Duration::from_millis(1500)).await;
                            };
                            tokio::select! {
                                () = own.connection(stream) => {}
                                () = moved => {}
                            }
                        });
                    }
                }
                _ = places.wait_for(|now| *now > place) => return,
            }
        }
    }

    async fn connection(&self, mut stream: TcpStream) {
        let mut reader = Reader::default();
        let mut bytes = [0; 4096];
        loop {
            match reader.next(false) {
                Ok(Some(message)) => {
                    if !self.answer(&mut stream, &message).await {
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

    async fn answer(&self, stream: &mut TcpStream, message: &Message) -> bool {
        let query = message.path.split_once('?').map_or("", |(_, query)| query);
        let value = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let since: Option<u64> = value("since").and_then(|text| text.parse().ok());
        let wait: u64 = value("timeout_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        if let Some(since) = since {
            let mut versions = self.version.subscribe();
            let newer = versions.wait_for(|version| *version > since);
            let _ = tokio::time::timeout(Duration::from_millis(wait.min(60_000)), newer).await;
        }
        // It is silent while the service is down.
        let mut changes = self.world.changed.subscribe();
        while self.world.weather(|weather| weather.list_late().is_none()) {
            if changes.changed().await.is_err() {
                return false;
            }
        }
        let (body, lines) = {
            let told = locked(&self.told);
            let whole = since.is_none_or(|since| since < told.whole_from);
            let since = since.filter(|_| !whole).unwrap_or(0);
            let news =
                |entry: &&Entry| if whole { entry.status != Status::Gone } else { entry.changed > since };
            let entries: Vec<_> = told.entries.iter().filter(news).map(Entry::json).collect();
            let lines: Vec<(usize, bool)> = told
                .entries
                .iter()
                .enumerate()
                .filter(|(_, entry)| whole || entry.changed > since)
                .map(|(x, entry)| (x, entry.status == Status::Ready))
                .collect();
            (serde_json::json!({"index": told.version, "snapshot": whole, "endpoints": entries}), lines)
        };
        let body = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all(format!("{head}{body}").as_bytes()).await.is_err() {
            return false;
        }
        let now = self.world.now();
        let mut ledger = locked(&self.world.ledger);
        for (x, active) in lines {
            ledger.told(self.node, x, now, active);
        }
        true
    }
}
