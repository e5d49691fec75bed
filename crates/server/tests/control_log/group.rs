//! Three control nodes, their connections and an operator, on one clock that jumps to whatever is due.

use std::collections::BTreeMap;
use std::path::Path;

use stileroute_control_group::{Effect, GroupSettings, Message, Millis, NodeId, Verdict};
use stileroute_wal::Step;

use crate::machine::{Machine, Trouble};

const NODES: usize = 3;
/// Milliseconds: a message's way, an operator's patience with one node, and until a machine is back.
const WAY: Millis = 2;
const PATIENCE: Millis = 500;
const BACK: Millis = 300;

enum Happening {
    Said { from: (usize, u64), message: Message },
    Persisted { ticket: u64 },
    Link { peer: usize, up: bool },
    Start,
}

struct Order {
    version: u64,
    body: Vec<u8>,
    at: usize,
    attempt: u64,
    /// The next attempt.
    again: Millis,
    done: bool,
}

pub struct Group {
    now: Millis,
    machines: Vec<Machine>,
    queue: BTreeMap<(Millis, u64), (usize, u64, Happening)>,
    next: u64,
    luck: u64,
    order: Option<Order>,
    /// The highest version that was acknowledged.
    acked: u64,
    armed: Option<(usize, Step, Trouble, usize)>,
    /// Where trouble struck.
    pub struck: Vec<(Step, Trouble)>,
    /// Started, and not yet caught up: since when, and with what.
    behind: Vec<(usize, Millis, u64)>,
}

fn voter(i: usize) -> NodeId {
    NodeId::new([10, 0, 0, i as u8 + 1].into(), 9000)
}

fn index(voter: NodeId) -> usize {
    usize::from(voter.ip().octets()[3]) - 1
}

impl Group {
    pub fn new(seed: u64) -> Group {
        // Many thousands of syncs: in memory, where there is such a folder.
        let memory = Path::new("/dev/shm");
        let parent = if memory.is_dir() { memory.to_path_buf() } else { std::env::temp_dir() };
        let dir = |i| parent.join(format!("control-log-{}-{seed}-{i}", std::process::id()));
        let mut group = Group {
            now: 1000,
            machines: (0..NODES).map(|i| Machine::new(dir(i))).collect(),
            queue: BTreeMap::new(),
            next: 0,
            luck: seed | 1,
            order: None,
            acked: 0,
            armed: None,
            struck: Vec::new(),
            behind: Vec::new(),
        };
        (0..NODES).for_each(|i| group.start(i));
        group
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.luck ^= self.luck << 13;
        self.luck ^= self.luck >> 7;
        self.luck ^= self.luck << 17;
        self.luck % most
    }

    fn at(&mut self, after: Millis, node: usize, what: Happening) {
        self.next += 1;
        self.queue.insert((self.now + after, self.next), (node, self.machines[node].life, what));
    }

    fn link(&mut self, a: usize, b: usize, up: bool) {
        self.at(1, a, Happening::Link { peer: b, up });
        self.at(1, b, Happening::Link { peer: a, up });
    }

    fn start(&mut self, i: usize) {
        let first = self.machines[i].life == 0;
        let terms =
            GroupSettings::new(voter(i), (0..NODES).map(voter).collect(), first, 1, self.draw(u64::MAX));
        self.machines[i].start(terms, self.now);
        if !first {
            self.behind.push((i, self.now, self.acked));
        }
        for peer in (0..NODES).filter(|peer| *peer != i) {
            if self.machines[peer].group().is_some() {
                self.link(i, peer, true);
            }
        }
        self.carry_out(i);
    }

    // ---- Trouble ----

    pub fn armed(&self) -> bool {
        self.armed.is_some()
    }

    /// At one of the copies, the first time it comes there.
    pub fn arm(&mut self, step: Step, trouble: Trouble, which: usize) {
        let watches = self.machines.iter_mut().filter_map(|machine| machine.group()?.view().cloned());
        let watch = watches.max_by_key(|watch| watch.epoch).expect("a node runs");
        let node = index(watch.replicas[which % watch.replicas.len()]);
        self.armed = Some((node, step, trouble, 0));
        self.machines[node].arm(Some(step));
    }

    fn strike(&mut self, i: usize) {
        let Some((_, step, trouble, _)) = self.armed.take() else { return };
        self.struck.push((step, trouble));
        let mut luck = self.draw(u64::MAX);
        self.machines[i].end(trouble, &mut |most| {
            luck = luck.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (luck >> 33) % most
        });
        for peer in (0..NODES).filter(|peer| *peer != i) {
            self.at(1, peer, Happening::Link { peer: i, up: false });
        }
        self.at(BACK, i, Happening::Start);
    }

    // ---- The operator ----

    /// Until it is acknowledged.
    pub fn change(&mut self, version: u64, body: Vec<u8>, most: Millis) {
        let (at, until) = (self.draw(NODES as u64) as usize, self.now + most);
        let again = self.now;
        self.order = Some(Order { version, body, at, attempt: 0, again, done: false });
        while self.order.as_ref().is_some_and(|order| !order.done) {
            assert!(self.now < until, "change {version} was not acknowledged within {most} ms");
            self.step();
        }
        self.acked = version;
        self.drop_a_trap_that_is_not_passed();
    }

    /// One that is no copy any more writes too little to come to its step.
    fn drop_a_trap_that_is_not_passed(&mut self) {
        let Some((node, step, trouble, changes)) = self.armed else { return };
        self.armed = Some((node, step, trouble, changes + 1));
        if changes > 12 {
            self.machines[node].arm(None);
            self.arm(step, trouble, changes);
        }
    }

    fn attempt(&mut self) {
        let now = self.now;
        let Some(order) = self.order.as_mut().filter(|order| !order.done && order.again <= now) else {
            return;
        };
        order.attempt += 1;
        order.again = now + PATIENCE;
        let (at, ticket) = (order.at, order.version * 1000 + order.attempt);
        let (version, body) = (order.version, order.body.clone());
        order.at = (at + 1) % NODES;
        match self.machines[at].group() {
            Some(group) => group.replace_configuration(now, ticket, version, body),
            None => self.order.iter_mut().for_each(|order| order.again = now + 30),
        }
        self.carry_out(at);
    }

    fn answered(&mut self, ticket: u64, verdict: Verdict) {
        let now = self.now;
        let Some(order) = &mut self.order else { return };
        if ticket != order.version * 1000 + order.attempt || order.done {
            return;
        }
        match verdict {
            Verdict::Accepted | Verdict::Unchanged => order.done = true,
            Verdict::NotPrimary { primary: Some(primary) } => {
                (order.at, order.again) = (index(primary), now + WAY)
            }
            _ => order.again = now + 30,
        }
    }

    // ---- Events ----

    fn carry_out(&mut self, i: usize) {
        let now = self.now;
        loop {
            let Some(group) = self.machines[i].group() else { return };
            let (effects, due) = (group.take_effects(), group.next_tick(now));
            self.machines[i].due = due;
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry(i, effect);
                if self.machines[i].struck() {
                    return self.strike(i);
                }
            }
        }
    }

    fn carry(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let from = (i, self.machines[i].life);
                self.at(WAY, index(to), Happening::Said { from, message });
            }
            Effect::Persist { ticket, record } => {
                self.machines[i].keep(&record);
                self.at(1, i, Happening::Persisted { ticket });
            }
            Effect::Answer { ticket, verdict } => self.answered(ticket, verdict),
            _ => {}
        }
    }

    fn happen(&mut self, (i, life, what): (usize, u64, Happening)) {
        let now = self.now;
        if life != self.machines[i].life {
            return;
        }
        if matches!(what, Happening::Start) {
            return self.start(i);
        }
        if let Happening::Said { from: (from, life), .. } = &what {
            // The connection ended with the process that spoke.
            if self.machines[*from].life != *life || self.machines[*from].group().is_none() {
                return;
            }
        }
        let Some(group) = self.machines[i].group() else { return };
        match what {
            Happening::Said { from: (from, _), message } => group.handle_message(now, voter(from), message),
            Happening::Persisted { ticket } => group.persisted(now, ticket, true),
            Happening::Link { peer, up } => {
                if up {
                    group.peer_connected(now, voter(peer));
                    group.add_learner(voter(peer));
                } else {
                    group.peer_disconnected(now, voter(peer));
                }
            }
            Happening::Start => {}
        }
        self.carry_out(i);
    }

    /// One thing more.
    fn step(&mut self) {
        let now = self.now;
        let runs = |machine: &mut Machine| machine.group().is_some().then_some(machine.due);
        let due = self.machines.iter_mut().filter_map(runs).min().unwrap_or(Millis::MAX);
        let first = self.queue.keys().next().map_or(Millis::MAX, |(at, _)| *at);
        let again = self.order.as_ref().filter(|order| !order.done).map_or(Millis::MAX, |order| order.again);
        self.now = due.min(first).min(again).max(now);
        if first <= self.now {
            let (_, what) = self.queue.pop_first().expect("it is the first");
            self.happen(what);
        }
        self.attempt();
        let now = self.now;
        for i in 0..NODES {
            if self.machines[i].due <= now {
                if let Some(group) = self.machines[i].group() {
                    group.tick(now);
                }
                self.carry_out(i);
            }
        }
        self.check();
    }

    /// No more than one leads, and with nothing older than what was acknowledged.
    fn check(&mut self) {
        let now = self.now;
        let settled = |machine: &mut Machine| machine.group()?.readable_state(now).map(|state| state.version);
        let leading: Vec<u64> = self.machines.iter_mut().filter_map(settled).collect();
        assert!(leading.len() <= 1, "two lead at {now}");
        let old = leading.iter().find(|version| **version < self.acked);
        assert_eq!(old, None, "leads with old state at {now}: {} was acknowledged", self.acked);
    }

    // ---- What came of it ----

    /// Until all run, and those that came back have caught up. The longest that one of them took.
    pub fn until_whole(&mut self, most: Millis) -> Millis {
        let mut slowest = 0;
        while !self.whole(&mut slowest) {
            for (node, since, _) in &self.behind {
                assert!(self.now <= since + most, "{node} has not caught up {most} ms after its start");
            }
            self.step();
        }
        slowest
    }

    fn whole(&mut self, slowest: &mut Millis) -> bool {
        let mut behind = std::mem::take(&mut self.behind);
        behind.retain(|(node, since, wanted)| {
            let caught_up = self.caught_up(*node, *wanted);
            if caught_up {
                *slowest = (*slowest).max(self.now - since);
            }
            !caught_up
        });
        self.behind = behind;
        self.behind.is_empty() && self.machines.iter_mut().all(|machine| machine.group().is_some())
    }

    fn caught_up(&mut self, node: usize, wanted: u64) -> bool {
        let kept = self.machines[node].kept;
        let Some(group) = self.machines[node].group() else { return true };
        let copy = group.view().is_some_and(|watch| watch.replicas.contains(&voter(node)));
        let force = group.committed().map_or(0, |state| state.version);
        !group.is_awaiting_view() && force >= wanted && (!copy || kept >= wanted)
    }

    pub fn largest_disk(&self) -> u64 {
        self.machines.iter().map(Machine::peak).max().unwrap_or(0)
    }
}
