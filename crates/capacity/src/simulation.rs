//! Many nodes, one clock, one thread: steps of a millisecond in which whoever has something to do takes a turn.

use crate::allocation::live_bytes;
use crate::control_node::ControlNode;
use crate::heartbeat::{wire_bytes, Executor, INTERVAL};
use crate::layout::{distance, Distance, Layout, INTERNAL_PORTS};
use crate::links::Links;
use crate::member_node::MemberNode;
use crate::net::{Action, ConnectionId, Event, Millis, Net};
use crate::protocol::{Frame, Heartbeat, NodeRole};
use crate::traffic::{Flow, Role, Traffic};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use stileroute_control_group::PersistedState;

/// Each frame is preceded by its length.
const FRAME_HEAD: usize = 4;
/// Numbers of connections that one life of a node opens.
const CONNS_OF_A_LIFE: ConnectionId = 1 << 24;
/// All processes begin within so long of each other.
const START_SPREAD: Millis = 300;
/// Bytes of a configuration in which its version stands.
const VERSION_BYTES: usize = 8;

fn delay(far: Distance) -> Millis {
    match far {
        Distance::SameZone => 1,
        Distance::SameRegion => 2,
        Distance::OtherRegion => 10,
    }
}

/// A configuration that carries its version and otherwise only weight.
pub fn configuration(version: u64, bytes: usize) -> Vec<u8> {
    let mut body = version.to_le_bytes().to_vec();
    body.resize(bytes.max(VERSION_BYTES), b'x');
    body
}

pub fn version_of(body: &[u8]) -> u64 {
    let head = body.get(..VERSION_BYTES).and_then(|head| head.try_into().ok());
    head.map_or(0, u64::from_le_bytes)
}

enum Part {
    Control(Box<ControlNode>),
    Member(Box<MemberNode>),
}

struct Running {
    net: Net,
    links: Links,
    part: Part,
    wake: Millis,
}

enum Delivery {
    Link(Event),
    Heartbeat(Heartbeat),
}

/// What one node has cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time of its turns.
    pub cpu_ns: u64,
    pub turns: u64,
    /// Bytes on the heap that it holds.
    pub state: i64,
}

pub struct Simulation {
    pub layout: Layout,
    pub now: Millis,
    nodes: Vec<Option<Running>>,
    disks: Vec<Option<PersistedState>>,
    by_address: HashMap<SocketAddrV4, usize>,
    /// The other end of each connection, and whose it is.
    ends: HashMap<ConnectionId, (usize, ConnectionId)>,
    conns_of: Vec<BTreeSet<ConnectionId>>,
    deliveries: BTreeMap<Millis, Vec<(usize, Delivery)>>,
    wakes: BTreeSet<(Millis, usize)>,
    starts: BTreeSet<(Millis, usize)>,
    pub executors: Vec<Executor>,
    heartbeats: BTreeMap<Millis, Vec<usize>>,
    pub traffic: Traffic,
    pub costs: Vec<Cost>,
    lives: u64,
    accepted: ConnectionId,
    seed: u64,
}

impl Simulation {
    pub fn new(layout: Layout, seed: u64) -> Simulation {
        let count = layout.places.len();
        let by_address = layout.places.iter().enumerate().map(|(at, place)| (place.listens_at(), at));
        let mut simulation = Simulation {
            now: 0,
            nodes: (0..count).map(|_| None).collect(),
            disks: vec![None; count],
            by_address: by_address.collect(),
            ends: HashMap::new(),
            conns_of: vec![BTreeSet::new(); count],
            deliveries: BTreeMap::new(),
            wakes: BTreeSet::new(),
            starts: BTreeSet::new(),
            executors: Vec::new(),
            heartbeats: BTreeMap::new(),
            traffic: Traffic::new(count),
            costs: vec![Cost::default(); count],
            lives: 0,
            accepted: 1 << 62,
            seed,
            layout,
        };
        for at in 0..count {
            let start = simulation.chance(START_SPREAD);
            simulation.starts.insert((start, at));
        }
        for number in 0..simulation.layout.executors {
            let service = number % simulation.layout.services;
            let zone = (number / simulation.layout.services) % crate::layout::REGION_OF_ZONE.len();
            simulation.executors.push(Executor { number, service, zone, life: 1, call_count: 0 });
            let first = START_SPREAD + simulation.chance(INTERVAL);
            simulation.heartbeats.entry(first).or_default().push(number);
        }
        simulation
    }

    /// A number below `most` (xorshift).
    pub fn chance(&mut self, most: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        (mixed ^ (mixed >> 27)) % most.max(1)
    }

    /// Forgets what was counted; the state that nodes hold is not forgotten.
    pub fn reset_counters(&mut self) {
        self.traffic = Traffic::new(self.nodes.len());
        self.costs.iter_mut().for_each(|cost| (cost.cpu_ns, cost.turns) = (0, 0));
    }

    pub fn run_until(&mut self, until: Millis) {
        while self.now < until {
            self.step();
            self.now += 1;
        }
    }

    // ---- What is done to the fleet ----

    pub fn stop(&mut self, at: usize) {
        if let Some(running) = self.nodes[at].take() {
            if let Part::Control(node) = running.part {
                self.disks[at] = Some(node.into_disk());
            }
        }
        for conn in std::mem::take(&mut self.conns_of[at]) {
            self.cut(at, conn);
        }
        self.costs[at].state = 0;
    }

    pub fn start_at(&mut self, when: Millis, at: usize) {
        self.starts.insert((when, at));
    }

    /// An operator's configuration, at the control node that leads: the first seed does as long as nothing is lost.
    pub fn configure(&mut self, version: u64, bytes: usize) {
        let now = self.now;
        if let Some(Running { part: Part::Control(node), .. }) = &mut self.nodes[0] {
            node.replace_configuration(now, version, configuration(version, bytes));
        }
        self.wakes.insert((now, 0));
    }

    /// An executor ends without a word, and another life of it is there at once.
    pub fn renew_executor(&mut self, number: usize) {
        let executor = &mut self.executors[number];
        (executor.life, executor.call_count) = (executor.life + 1, 0);
    }

    // ---- What is asked of it ----

    pub fn members(&self, class: NodeRole) -> impl Iterator<Item = (usize, &MemberNode)> {
        let of_class = move |at: &usize| self.layout.places[*at].class == class;
        (0..self.nodes.len()).filter(of_class).filter_map(|at| match &self.nodes[at] {
            Some(Running { part: Part::Member(node), .. }) => Some((at, node.as_ref())),
            _ => None,
        })
    }

    pub fn controls(&self) -> impl Iterator<Item = &ControlNode> {
        self.nodes.iter().flatten().filter_map(|running| match &running.part {
            Part::Control(node) => Some(node.as_ref()),
            Part::Member(_) => None,
        })
    }

    pub fn connections(&self, at: usize) -> usize {
        self.conns_of[at].len()
    }

    // ---- A step of the clock ----

    fn step(&mut self) {
        let mut active: BTreeMap<usize, Vec<Delivery>> = BTreeMap::new();
        while let Some((_, at)) = self.starts.first().copied().filter(|(when, _)| *when <= self.now) {
            self.starts.pop_first();
            self.start(at);
            active.entry(at).or_default();
        }
        for number in self.heartbeats.remove(&self.now).unwrap_or_default() {
            self.call(number);
            self.heartbeats.entry(self.now + INTERVAL).or_default().push(number);
        }
        while let Some(entry) = self.deliveries.first_entry().filter(|entry| *entry.key() <= self.now) {
            for (at, delivery) in entry.remove() {
                active.entry(at).or_default().push(delivery);
            }
        }
        while let Some((_, at)) = self.wakes.first().copied().filter(|(when, _)| *when <= self.now) {
            self.wakes.pop_first();
            active.entry(at).or_default();
        }
        active.into_iter().for_each(|(at, deliveries)| self.turn(at, deliveries));
    }

    fn start(&mut self, at: usize) {
        let before = live_bytes();
        self.lives += 1;
        let place = &self.layout.places[at];
        let hello = place.peer_info(self.seed ^ (self.lives << 32));
        let part = match place.class {
            NodeRole::Control => {
                let disk = self.disks[at].take();
                Part::Control(Box::new(ControlNode::new(&hello, &self.layout, disk, self.now)))
            }
            _ => Part::Member(Box::new(MemberNode::new(place, &self.layout))),
        };
        let net = Net::new(self.now, self.lives * CONNS_OF_A_LIFE);
        let links = Links::new(hello, INTERNAL_PORTS);
        self.nodes[at] = Some(Running { net, links, part, wake: self.now });
        self.costs[at].state = live_bytes() - before;
    }

    /// An executor calls the control node of its zone, or else of its region, or any.
    fn call(&mut self, number: usize) {
        let executor = &mut self.executors[number];
        executor.call_count += 1;
        let (zone, heartbeat) = (executor.zone, executor.heartbeat());
        let places = self.layout.places.iter().enumerate();
        let up = places.filter(|(at, p)| p.class == NodeRole::Control && self.nodes[*at].is_some());
        let turn = |at: usize| (at + number) % crate::layout::CONTROL_NODES;
        let Some((at, place)) = up.min_by_key(|(at, p)| (distance(zone, p.zone), turn(*at))) else { return };
        let Some(control) = place.control() else { return };
        let far = distance(zone, place.zone);
        let (call, answer) = wire_bytes(&heartbeat, control);
        let flow = |sender| Flow { sender, kind: "heartbeats", distance: far };
        self.traffic.count(flow(Role::Executor), call, None, Some(at));
        self.traffic.count(flow(Role::Control), answer, Some(at), None);
        self.deliver(self.now + delay(far), at, Delivery::Heartbeat(heartbeat));
    }

    fn deliver(&mut self, when: Millis, at: usize, delivery: Delivery) {
        self.deliveries.entry(when).or_default().push((at, delivery));
    }

    fn turn(&mut self, at: usize, deliveries: Vec<Delivery>) {
        let Some(mut running) = self.nodes[at].take() else { return };
        let list = (deliveries.capacity() * size_of::<Delivery>()) as i64;
        let handed_in: i64 = list + deliveries.iter().map(heap_bytes).sum::<i64>();
        let (before, began) = (live_bytes(), thread_cpu_ns());
        let frames = take_turn(&mut running, self.now, deliveries);
        let (ended, after) = (thread_cpu_ns(), live_bytes());
        let list = (frames.capacity() * size_of::<Action>()) as i64;
        let handed_out: i64 = list + frames.iter().map(action_bytes).sum::<i64>();
        let cost = &mut self.costs[at];
        cost.cpu_ns += ended.saturating_sub(began);
        cost.turns += 1;
        cost.state += after - before + handed_in - handed_out;
        self.wakes.remove(&(running.wake, at));
        running.wake = next(&running, self.now).max(self.now + 1);
        self.wakes.insert((running.wake, at));
        self.nodes[at] = Some(running);
        frames.into_iter().for_each(|action| self.carry_out(at, action));
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        match action {
            Action::Dial { conn, to } => self.dial(at, conn, to),
            Action::Send { conn, bytes } => self.send(at, conn, bytes),
            Action::Close { conn } => {
                self.conns_of[at].remove(&conn);
                self.cut(at, conn);
            }
        }
    }

    fn dial(&mut self, at: usize, conn: ConnectionId, to: SocketAddrV4) {
        let other = self.by_address.get(&to).copied().filter(|other| self.nodes[*other].is_some());
        let Some(other) = other else {
            return self.deliver(
                self.now + 1,
                at,
                Delivery::Link(Event::PeerDisconnected { connection: conn }),
            );
        };
        self.accepted += 1;
        let accepted = self.accepted;
        self.ends.insert(conn, (other, accepted));
        self.ends.insert(accepted, (at, conn));
        self.conns_of[at].insert(conn);
        self.conns_of[other].insert(accepted);
        let way = delay(self.far(at, other));
        self.deliver(self.now + 2 * way, at, Delivery::Link(Event::PeerConnected { connection: conn }));
        self.deliver(self.now + way, other, Delivery::Link(Event::PeerConnected { connection: accepted }));
    }

    fn far(&self, from: usize, to: usize) -> Distance {
        distance(self.layout.places[from].zone, self.layout.places[to].zone)
    }

    fn send(&mut self, at: usize, conn: ConnectionId, bytes: Vec<u8>) {
        let Some((other, there)) = self.ends.get(&conn).copied() else { return };
        let far = self.far(at, other);
        let sender = Role::from(self.layout.places[at].class);
        let kind = postcard::from_bytes::<Frame>(&bytes).map_or("unread", |frame| frame.category());
        let flow = Flow { sender, kind, distance: far };
        self.traffic.count(flow, bytes.len() + FRAME_HEAD, Some(at), Some(other));
        let event = Event::PeerFrame { connection: there, bytes };
        self.deliver(self.now + delay(far), other, Delivery::Link(event));
    }

    fn cut(&mut self, at: usize, conn: ConnectionId) {
        let Some((other, there)) = self.ends.remove(&conn) else { return };
        self.ends.remove(&there);
        self.conns_of[other].remove(&there);
        let way = delay(self.far(at, other));
        self.deliver(self.now + way, other, Delivery::Link(Event::PeerDisconnected { connection: there }));
    }
}

fn heap_bytes(delivery: &Delivery) -> i64 {
    match delivery {
        Delivery::Link(Event::PeerFrame { bytes, .. }) => bytes.capacity() as i64,
        Delivery::Link(_) => 0,
        Delivery::Heartbeat(heartbeat) => {
            (heartbeat.id.capacity() + heartbeat.backend.capacity() + heartbeat.zone.capacity()) as i64
        }
    }
}

fn action_bytes(action: &Action) -> i64 {
    match action {
        Action::Send { bytes, .. } => bytes.capacity() as i64,
        Action::Dial { .. } | Action::Close { .. } => 0,
    }
}

/// One turn of a node's loop, and what it wants of the network.
fn take_turn(running: &mut Running, now: Millis, deliveries: Vec<Delivery>) -> Vec<Action> {
    let Running { net, links, part, .. } = running;
    net.set_now(now);
    let mut link_events = Vec::new();
    for delivery in deliveries {
        match (delivery, &mut *part) {
            (Delivery::Link(event), _) => {
                links.handle_event(net, event, &mut link_events);
            }
            (Delivery::Heartbeat(heartbeat), Part::Control(node)) => node.record_heartbeat(now, heartbeat),
            (Delivery::Heartbeat(_), Part::Member(_)) => {}
        }
    }
    link_events.extend(links.tick(net));
    for link_event in link_events {
        match part {
            Part::Control(node) => node.link_event(links, now, link_event),
            Part::Member(node) => node.link_event(links, net, link_event),
        }
    }
    match part {
        Part::Control(node) => node.tick(links, net),
        Part::Member(node) => node.tick(links, net),
    }
    net.take_actions()
}

fn next(running: &Running, now: Millis) -> Millis {
    let own = match &running.part {
        Part::Control(node) => node.next_deadline(now),
        Part::Member(node) => node.next(now),
    };
    own.min(running.links.next_deadline())
}

/// Processor time of this thread so far.
pub fn thread_cpu_ns() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call only fills `time`, which outlives it.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) } != 0;
    if failed {
        return 0;
    }
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}
