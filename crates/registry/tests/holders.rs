//! Several control nodes on a simulated clock. Each executor sends its heartbeats to one of them, which tells the others when they
//! begin and when they stop, and little in between.

mod support;

use std::collections::BTreeSet;
use stileroute_registry::*;
use support::{heartbeat, member};

const HEARTBEAT_INTERVAL: Millis = 1200;
/// An executor is silent so long after its last heartbeat: 3.2 intervals and 0.3 s.
const SILENCE_LIMIT: Millis = 4140;
const TICK: Millis = 20;

fn beat_of(executor: usize, sequence: u64) -> Heartbeat {
    heartbeat(&format!("e-{executor}"), 1 + executor as u16, sequence, ExecutorState::Serving)
}

/// An executor: the control node that it calls, and how often it has called.
#[derive(Clone, Copy)]
struct Executor {
    calls: usize,
    sequence: u64,
    is_alive: bool,
}

/// Control nodes that are all connected, and executors that call them.
struct Fleet {
    now: Millis,
    /// `None`: its process is gone.
    control_nodes: Vec<Option<Registry>>,
    /// Control nodes of an earlier version: they make nothing of an empty list, and know no held executors.
    earlier: BTreeSet<usize>,
    /// These hear nothing of the primary of the control group.
    isolated: BTreeSet<usize>,
    executors: Vec<Executor>,
    /// Heartbeats that control nodes sent to one another.
    passed_on: usize,
}

impl Fleet {
    fn new(control_nodes: usize, earlier: &[usize], executors: usize) -> Fleet {
        let executor = |n: usize| Executor { calls: n % control_nodes, sequence: 0, is_alive: true };
        let mut fleet = Fleet {
            now: 0,
            control_nodes: (0..control_nodes).map(|_| None).collect(),
            earlier: earlier.iter().copied().collect(),
            isolated: BTreeSet::new(),
            executors: (0..executors).map(executor).collect(),
            passed_on: 0,
        };
        (0..control_nodes).for_each(|node| fleet.start(node));
        fleet.run(6000);
        fleet.passed_on = 0;
        fleet
    }

    fn start(&mut self, node: usize) {
        let incarnation = self.now + 1;
        let own = member(node as NodeId, NodeRole::Control);
        self.control_nodes[node] = Some(Registry::new(own, incarnation, HEARTBEAT_INTERVAL, self.now));
        for other in (0..self.control_nodes.len()).filter(|other| *other != node) {
            self.connect(node, other);
            self.connect(other, node);
        }
    }

    fn connect(&mut self, node: usize, other: usize) {
        if self.control_nodes[other].is_none() {
            return;
        }
        let now = self.now;
        if let Some(registry) = &mut self.control_nodes[node] {
            registry.peer_connected(now, member(other as NodeId, NodeRole::Control));
        }
    }

    fn kill(&mut self, node: usize) {
        self.control_nodes[node] = None;
        for registry in self.control_nodes.iter_mut().flatten() {
            registry.peer_disconnected(self.now, node as NodeId);
        }
    }

    fn beat(&mut self, executor: usize, node: usize, sequence: u64) {
        if let Some(registry) = &mut self.control_nodes[node] {
            registry.record_heartbeat(self.now, beat_of(executor, sequence));
        }
    }

    fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.call();
            for node in 0..self.control_nodes.len() {
                self.tick(node);
            }
        }
    }

    /// Each executor calls once in each interval, and another control node when its own is gone.
    fn call(&mut self) {
        let turns = HEARTBEAT_INTERVAL / TICK;
        for n in 0..self.executors.len() {
            let is_due = (self.now / TICK) % turns == n as Millis % turns;
            if !is_due || !self.executors[n].is_alive {
                continue;
            }
            if self.control_nodes[self.executors[n].calls].is_none() {
                self.executors[n].calls = (self.executors[n].calls + 1) % self.control_nodes.len();
            }
            self.executors[n].sequence += 1;
            let Executor { calls, sequence, .. } = self.executors[n];
            self.beat(n, calls, sequence);
        }
    }

    fn tick(&mut self, node: usize) {
        let is_isolated = self.isolated.contains(&node);
        let contact = if is_isolated { GroupContact::Lost } else { GroupContact::NOW };
        let Some(registry) = &mut self.control_nodes[node] else { return };
        registry.tick(self.now, contact, None);
        for effect in registry.take_effects() {
            self.deliver(node, effect);
        }
    }

    fn deliver(&mut self, from: usize, effect: RegistryEffect) {
        let now = self.now;
        let sender = from as NodeId;
        match effect {
            RegistryEffect::SendHeartbeats { to, heartbeats } => {
                self.passed_on += to.len() * heartbeats.len();
                for receiver in to {
                    let registry = self.control_nodes[receiver as usize].as_mut();
                    registry.into_iter().for_each(|r| r.merge_peer_heartbeats(now, heartbeats.clone()));
                }
            }
            RegistryEffect::SendHeldExecutors { to, heartbeats } => {
                self.passed_on += to.len() * heartbeats.len();
                for receiver in to {
                    assert!(!self.earlier.contains(&(receiver as usize)), "sent to an earlier version");
                    let registry = self.control_nodes[receiver as usize].as_mut();
                    registry
                        .into_iter()
                        .for_each(|r| r.merge_held_executors(now, sender, heartbeats.clone()));
                }
            }
            RegistryEffect::SayHolderAware { to } => {
                let is_understood = !self.earlier.contains(&from) && !self.earlier.contains(&(to as usize));
                let registry = self.control_nodes[to as usize].as_mut().filter(|_| is_understood);
                registry.into_iter().for_each(|r| r.peer_is_holder_aware(now, sender));
            }
            RegistryEffect::SendUpdate { .. } | RegistryEffect::BroadcastSessions(_) => {}
        }
    }

    /// At how many control nodes this executor serves.
    fn serves_at(&self, executor: usize) -> usize {
        let id = format!("e-{executor}");
        let serves = |registry: &&Registry| {
            let mut known = registry.executors();
            known.any(|known| known.heartbeat.id == id && known.heartbeat.state == ExecutorState::Serving)
        };
        self.control_nodes.iter().flatten().filter(serves).count()
    }

    fn all_serve_everywhere(&self) -> bool {
        let control_nodes = self.control_nodes.iter().flatten().count();
        (0..self.executors.len()).all(|executor| self.serves_at(executor) == control_nodes)
    }
}

#[test]
fn steady_heartbeats_are_hardly_passed_on_and_nobody_goes_offline() {
    let mut fleet = Fleet::new(3, &[], 120);
    for _ in 0..60 {
        fleet.run(1000);
        assert!(fleet.all_serve_everywhere(), "at {} ms", fleet.now);
    }
    // Each of 120 executors to two others: once in ten seconds, not in every 1.2 s.
    assert!(fleet.passed_on <= 2 * 120 * 7, "{} heartbeats passed on in a minute", fleet.passed_on);
}

#[test]
fn a_control_node_of_an_earlier_version_is_told_of_each_heartbeat() {
    let mut fleet = Fleet::new(3, &[2], 60);
    for _ in 0..30 {
        fleet.run(1000);
        assert!(fleet.all_serve_everywhere(), "at {} ms", fleet.now);
    }
    let to_the_earlier = 40 * 25;
    assert!(fleet.passed_on >= to_the_earlier, "{} heartbeats passed on", fleet.passed_on);
}

#[test]
fn a_silent_executor_goes_offline_everywhere_in_the_same_time() {
    let mut fleet = Fleet::new(3, &[], 30);
    fleet.executors[4].is_alive = false;
    fleet.run(SILENCE_LIMIT - HEARTBEAT_INTERVAL);
    assert_eq!(fleet.serves_at(4), 3);
    fleet.run(HEARTBEAT_INTERVAL + 300);
    assert_eq!(fleet.serves_at(4), 0);
    // It was only silent: its next heartbeat, wherever it comes, brings it back.
    fleet.executors[4].is_alive = true;
    fleet.executors[4].calls = 0;
    fleet.run(HEARTBEAT_INTERVAL + TICK);
    assert!(fleet.all_serve_everywhere());
}

#[test]
fn executors_of_a_lost_control_node_call_others_and_the_dead_among_them_go_offline() {
    let mut fleet = Fleet::new(3, &[], 60);
    fleet.run(9000);
    fleet.kill(1);
    // One of its executors is lost in the same moment.
    fleet.executors[4].is_alive = false;
    for _ in 0..40 {
        fleet.run(100);
        let others = (0..60).filter(|executor| *executor != 4);
        assert!(others.clone().all(|executor| fleet.serves_at(executor) == 2), "at {} ms", fleet.now);
    }
    fleet.run(SILENCE_LIMIT);
    assert_eq!(fleet.serves_at(4), 0);
    fleet.start(1);
    fleet.run(4000);
    assert_eq!((0..60).filter(|executor| fleet.serves_at(*executor) == 3).count(), 59);
}

#[test]
fn an_executor_that_calls_another_control_node_is_not_ended_by_the_one_before() {
    let mut fleet = Fleet::new(3, &[], 30);
    for calls in [1, 2, 0, 2] {
        fleet.executors[9].calls = calls;
        for _ in 0..300 {
            fleet.run(TICK);
            assert_eq!(fleet.serves_at(9), 3, "calls {calls} at {} ms", fleet.now);
        }
    }
}

#[test]
fn a_late_heartbeat_at_another_control_node_ends_nobody() {
    let mut fleet = Fleet::new(3, &[], 30);
    // Each control node knows another sequence of it: the holder the last one, the others one of seconds ago.
    fleet.run(8000);
    let late = fleet.executors[9].sequence - 1;
    fleet.beat(9, 1, late);
    for _ in 0..120 {
        fleet.run(100);
        assert_eq!(fleet.serves_at(9), 3, "at {} ms", fleet.now);
    }
}

#[test]
fn what_an_isolated_control_node_holds_does_not_serve_for_ever() {
    let mut fleet = Fleet::new(3, &[], 30);
    // It declares nobody silent, for executors may call the others; these are connected to it all the same.
    fleet.isolated.insert(1);
    fleet.executors[4].is_alive = false;
    fleet.run(SILENCE_LIMIT + HOLDER_REFRESH_INTERVAL + 2500);
    assert_eq!(fleet.serves_at(4), 1);
}

#[test]
fn a_leave_at_any_control_node_is_known_everywhere_and_stays() {
    let mut fleet = Fleet::new(3, &[], 30);
    fleet.executors[9].is_alive = false;
    let (now, id) = (fleet.now, "e-9");
    fleet.control_nodes[2].as_mut().unwrap().deregister_executor(now, id);
    fleet.run(100);
    assert_eq!(fleet.serves_at(9), 0);
    for node in 0..3 {
        let sequence = fleet.executors[9].sequence + 5;
        fleet.beat(9, node, sequence);
        fleet.run(100);
        assert_eq!(fleet.serves_at(9), 0);
    }
}
