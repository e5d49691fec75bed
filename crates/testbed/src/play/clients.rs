//! Clients: an open loop, in which each job is due at its time whatever became of those before it, and rude ones.

use super::executors::result_of;
use super::http::{Message, Reader};
use super::world::{locked, World};
use crate::judge::{Answer, Saw};
use crate::load::{Asked, Source};
use crate::time::ms;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stileroute_dispatch::types::Time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at};

/// A node as the front sees it.
#[derive(Debug)]
pub struct Seen {
    pub at: SocketAddr,
    pub domain: usize,
    pub takes: bool,
    /// Until when clients are sent to it though it is gone: the front has not found out.
    pub seen_until: Time,
    /// Counts its starts, and the kills, each twice, before and after: what it held then is its clients' to retry. What
    /// one that was asked to end held is owed all the same.
    pub life: u64,
    pub killed: u64,
    /// Stands still since, and the last stretch in which it did.
    pub paused: Option<Time>,
    pub stood: (Time, Time),
    idle: Vec<TcpStream>,
}

impl Seen {
    /// Its kept connections were to a process that is gone.
    pub fn forget_idle(&mut self) {
        self.idle.clear();
    }
}

/// The front: which node a client's next connection goes to.
pub struct Front {
    nodes: Mutex<Vec<Seen>>,
    source: Mutex<Source>,
}

impl Front {
    pub fn new(nodes: Vec<(SocketAddr, usize)>, source: Source) -> Front {
        let seen = |(at, domain)| Seen {
            at,
            domain,
            takes: true,
            seen_until: 0,
            life: 0,
            killed: 0,
            paused: None,
            stood: (0, 0),
            idle: Vec::new(),
        };
        Front { nodes: Mutex::new(nodes.into_iter().map(seen).collect()), source: Mutex::new(source) }
    }

    pub fn node<T>(&self, node: usize, work: impl FnOnce(&mut Seen) -> T) -> T {
        work(&mut locked(&self.nodes)[node])
    }

    fn pick(&self, domain: usize, now: Time) -> Option<usize> {
        let nodes = locked(&self.nodes);
        let sends = |n: &usize| nodes[*n].takes || now < nodes[*n].seen_until;
        let ready: Vec<usize> = (0..nodes.len()).filter(sends).collect();
        let near: Vec<usize> = ready.iter().copied().filter(|n| nodes[*n].domain == domain).collect();
        let among = if near.is_empty() { ready } else { near };
        (!among.is_empty()).then(|| among[locked(&self.source).pick(among.len())])
    }

    pub fn draw(&self, due: Time, world: &World) -> (Asked, Time) {
        let mut source = locked(&self.source);
        world.weather(|weather| {
            let asked = source.draw(due, weather);
            (asked, due + source.gap(weather))
        })
    }
}

/// How long a client waits for a connection to a node, and how long before it tries another.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_PAUSE: Duration = Duration::from_millis(20);

enum Heard {
    Whole(Message),
    /// The connection ended with nothing at all said on it.
    Closed,
    Broken,
    Late,
}

/// Reads one answer.
async fn hear(stream: &mut TcpStream, until: tokio::time::Instant) -> Heard {
    let mut reader = Reader::default();
    let mut bytes = [0; 4096];
    loop {
        match timeout_at(until, stream.read(&mut bytes)).await {
            Err(_) => return Heard::Late,
            Ok(Ok(read)) if read > 0 => reader.feed(&bytes[..read]),
            Ok(_) => return if reader.is_empty() { Heard::Closed } else { Heard::Broken },
        }
        match reader.next(true) {
            Ok(Some(message)) => return Heard::Whole(message),
            Ok(None) => {}
            Err(_) => return Heard::Broken,
        }
    }
}

fn request(world: &World, op: usize, job: usize, asked: &Asked) -> String {
    let category = &world.plan.category[asked.category];
    let hint = asked.hint.map_or(String::new(), |hint| format!("X-Call-Cost: {}\r\n", hint * 100));
    let path = category.path.clone().unwrap_or_else(|| format!("/api/{job:016x}"));
    let tenant = world.plan.tenant.get(asked.tenant);
    let tenant = tenant.map_or(String::new(), |tenant| format!("X-Tenant: {}\r\n", tenant.name));
    format!(
        "POST {path} HTTP/1.1\r\nHost: rig\r\nX-Call-Id: {op:016x}\r\nX-Call-Class: {}\r\n\
         X-Budget-Ms: {}\r\nIdempotency-Key: {job:032x}\r\n{hint}{tenant}X-Call-Info: slots={},memory={}\r\n\
         Content-Length: 32\r\n\r\n{job:032x}",
        category.name, category.ttl_ms as u64, category.slots, category.memory
    )
}

/// A client's job: tried again after a nack, as often as clients do.
pub async fn job(world: Arc<World>, front: Arc<Front>, job: usize, asked: Asked) {
    for number in 0..=world.plan.load.retries {
        let Some(answer) = one_try(&world, &front, job, &asked).await else { return };
        let Answer::Nacked(retry_after) = answer else { return };
        if number < world.plan.load.retries {
            let wait = retry_after.max(ms(world.plan.load.retry_wait_ms));
            sleep(super::world::span(wait)).await;
        }
    }
}

/// A connection to a node, and what the front knew of the node before the connection was made.
///
/// Whatever ends the node's process after that may have ended the connection too, so an op that is sent on it later is
/// judged by these counts and not by those that hold when it is sent.
#[derive(Debug)]
pub struct NodeConnection {
    stream: TcpStream,
    node: usize,
    /// When the client first looked for a node.
    wanted: Time,
    /// Requests were sent on it before; the node may have closed it since.
    reused: bool,
    life: u64,
    killed: u64,
}

impl NodeConnection {
    /// Connects to a node that the front sends clients of this domain to. A node that is just gone is left for another,
    /// until `give_up`; none where no node takes clients by then.
    pub async fn open(world: &World, front: &Front, domain: usize, give_up: Time) -> Option<NodeConnection> {
        let wanted = world.now();
        loop {
            let node = front.pick(domain, world.now())?;
            // An idle connection to a process that is gone stands for nobody; a new one finds out.
            let (at, idle, life, killed) = front.node(node, |seen| {
                let idle = if seen.takes { seen.idle.pop() } else { None };
                (seen.at, idle, seen.life, seen.killed)
            });
            if let Some(stream) = idle {
                return Some(NodeConnection { stream, node, wanted, reused: true, life, killed });
            }
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    return Some(NodeConnection { stream, node, wanted, reused: false, life, killed });
                }
                _ if world.now() > give_up => return None,
                _ => sleep(CONNECT_PAUSE).await,
            }
        }
    }
}

/// One op, to its answer; none where there is nobody to answer it.
async fn one_try(world: &World, front: &Front, job: usize, asked: &Asked) -> Option<Answer> {
    let ttl = ms(world.plan.category[asked.category].ttl_ms);
    let connection = NodeConnection::open(world, front, asked.domain, world.now() + ttl).await?;
    ask(world, front, job, asked, connection).await
}

/// Sends one op on a connection and waits for its answer; none where its node was killed or stands still.
pub async fn ask(
    world: &World,
    front: &Front,
    job: usize,
    asked: &Asked,
    connection: NodeConnection,
) -> Option<Answer> {
    let NodeConnection { mut stream, node, wanted, mut reused, life, killed } = connection;
    let ttl = ms(world.plan.category[asked.category].ttl_ms);
    let now = world.now();
    let op = locked(&world.ledger).open(job, node, asked.category, now, now + ttl);
    let text = request(world, op, job, asked);
    let heard = loop {
        let sent = stream.write_all(text.as_bytes()).await;
        let deadline = world.now() + ttl;
        locked(&world.ledger).sheets[op].deadline = deadline;
        let heard = match sent {
            Ok(()) => hear(&mut stream, world.instant(deadline + world.patience)).await,
            Err(_) => Heard::Closed,
        };
        // A node may close an idle connection just as a request is on its way there.
        if !matches!(heard, Heard::Closed) || !std::mem::take(&mut reused) {
            break heard;
        }
        let at = front.node(node, |seen| seen.at);
        match TcpStream::connect(at).await {
            Ok(fresh) => {
                let _ = fresh.set_nodelay(true);
                stream = fresh;
            }
            Err(_) => break Heard::Closed,
        }
    };
    let now = world.now();
    let (dead, stood) = front.node(node, |seen| {
        let stood = seen.paused.is_some() || seen.stood.1 > wanted;
        (seen.killed != killed || killed % 2 == 1, stood)
    });
    let answer = match heard {
        Heard::Whole(message) => {
            let answer = match message.status {
                200 if message.body == result_of(op).as_bytes() => Answer::Acked,
                // Served with what no executor made for it.
                200 => Answer::Nothing,
                429 | 503 => {
                    let after =
                        message.header("retry-after").and_then(|text| text.trim().parse::<f64>().ok());
                    Answer::Nacked(
                        after.map_or(0, |seconds| crate::time::seconds(seconds.clamp(0.0, 3600.0))),
                    )
                }
                _ => Answer::DeadLettered,
            };
            if !message.closes() {
                front.node(node, |seen| {
                    if seen.life == life {
                        seen.idle.push(stream);
                    }
                });
            }
            answer
        }
        // What a killed node held, or one that stands still, is its client's to retry.
        _ if dead || stood => {
            world.saw(op, now, Saw::Released);
            return None;
        }
        Heard::Late => return None,
        Heard::Closed | Heard::Broken => Answer::Nothing,
    };
    if stood && now > locked(&world.ledger).sheets[op].deadline {
        world.saw(op, now, Saw::Released);
        return Some(answer);
    }
    world.answered(op, answer);
    Some(answer)
}

/// What a rude client sends, and how long it may be left with nothing.
const RUDE: [&str; 8] = [
    "GET / HTTP/9.9\r\n\r\n",
    "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
    "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: nothing-of-the-kind\r\nX-Budget-Ms: 100\r\nContent-Length: 0\r\n\r\n",
    "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Budget-Ms: soon\r\nContent-Length: 99999999999\r\n\r\n",
    "\0\0\0\0\r\n\r\n",
    "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Call-",
    "",
];

/// One rude client, at a pace that leaves the usual ones room, until the day is over. Gives how many it sent and
/// how many were left with neither an error nor a close.
pub async fn rude(world: Arc<World>, front: Arc<Front>, number: usize, end: Time) -> (u64, u64) {
    let (mut sent, mut left) = (0, 0);
    while world.now() < end {
        let node = (number + sent as usize) % world.plan.nodes.count;
        let (at, takes) = front.node(node, |seen| (seen.at, seen.takes && seen.paused.is_none()));
        let text = RUDE[(number + sent as usize / world.plan.nodes.count) % RUDE.len()];
        sent += 1;
        if takes {
            if let Ok(Ok(mut stream)) = timeout(Duration::from_millis(500), TcpStream::connect(at)).await {
                let _ = stream.write_all(text.as_bytes()).await;
                let until = tokio::time::Instant::now() + Duration::from_millis(3_000);
                let owed = match hear(&mut stream, until).await {
                    Heard::Whole(message) => !(400..600).contains(&message.status),
                    Heard::Late => true,
                    Heard::Closed | Heard::Broken => false,
                };
                let still = front.node(node, |seen| seen.takes && seen.paused.is_none());
                left += u64::from(owed && still);
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
    (sent, left)
}
