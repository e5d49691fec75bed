//! Several control nodes on a simulated clock. Each executor sends its heartbeats to one control node, its
//! holder. The holder reports to the others when the heartbeats begin and when they stop, and repeats little in
//! between.

mod support;

use std::collections::BTreeSet;
use stileroute_registry::*;
use support::{heartbeat, member};

const HEARTBEAT_INTERVAL: Millis = 1200;
/// Time after its last heartbeat at which an executor goes offline: 3.2 heartbeat intervals and 0.3 s.
const HEARTBEAT_TIMEOUT: Millis = 4140;
const TICK: Millis = 20;

fn heartbeat_of(executor: usize, sequence: u64) -> Heartbeat {
    heartbeat(&format!("e-{executor}"), 1 + executor as u16, sequence, ExecutorState::Serving)
}

/// A simulated executor: the control node that receives its heartbeats, and the sequence number of its last
/// heartbeat.
#[derive(Clone, Copy)]
struct Executor {
    control_node: usize,
    sequence: u64,
    is_alive: bool,
}

/// Control nodes that are all connected with each other, and executors that send them heartbeats.
struct Fleet {
    now: Millis,
    /// The registry of each control node; `None` if its process is not running.
    control_nodes: Vec<Option<Registry>>,
    /// Control nodes of an earlier release, which ignore an empty list and do not know `SendHeldExecutors`.
    earlier_release: BTreeSet<usize>,
    /// Control nodes that hear no primary of the control group.
    isolated: BTreeSet<usize>,
    executors: Vec<Executor>,
    /// Number of heartbeats that control nodes have sent to each other.
    forwarded_heartbeats: usize,
}

impl Fleet {
    fn new(control_nodes: usize, earlier_release: &[usize], executors: usize) -> Fleet {
        let executor = |n: usize| Executor { control_node: n % control_nodes, sequence: 0, is_alive: true };
        let mut fleet = Fleet {
            now: 0,
            control_nodes: (0..control_nodes).map(|_| None).collect(),
            earlier_release: earlier_release.iter().copied().collect(),
            isolated: BTreeSet::new(),
            executors: (0..executors).map(executor).collect(),
            forwarded_heartbeats: 0,
        };
        (0..control_nodes).for_each(|node| fleet.start(node));
        fleet.run(6000);
        fleet.forwarded_heartbeats = 0;
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

    fn send_heartbeat(&mut self, executor: usize, node: usize, sequence: u64) {
        if let Some(registry) = &mut self.control_nodes[node] {
            registry.record_heartbeat(self.now, heartbeat_of(executor, sequence));
        }
    }

    fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.send_due_heartbeats();
            for node in 0..self.control_nodes.len() {
                self.tick(node);
            }
        }
    }

    /// Sends one heartbeat of each live executor in every interval. An executor turns to another control node
    /// if its own is not running.
    fn send_due_heartbeats(&mut self) {
        let ticks_per_interval = HEARTBEAT_INTERVAL / TICK;
        for n in 0..self.executors.len() {
            let is_due = (self.now / TICK) % ticks_per_interval == n as Millis % ticks_per_interval;
            if !is_due || !self.executors[n].is_alive {
                continue;
            }
            if self.control_nodes[self.executors[n].control_node].is_none() {
                self.executors[n].control_node =
                    (self.executors[n].control_node + 1) % self.control_nodes.len();
            }
            self.executors[n].sequence += 1;
            let Executor { control_node, sequence, .. } = self.executors[n];
            self.send_heartbeat(n, control_node, sequence);
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
                self.forwarded_heartbeats += to.len() * heartbeats.len();
                for receiver in to {
                    let registry = self.control_nodes[receiver as usize].as_mut();
                    registry
                        .into_iter()
                        .for_each(|registry| registry.merge_peer_heartbeats(now, heartbeats.clone()));
                }
            }
            RegistryEffect::SendHeldExecutors { to, heartbeats } => {
                self.forwarded_heartbeats += to.len() * heartbeats.len();
                for receiver in to {
                    assert!(
                        !self.earlier_release.contains(&(receiver as usize)),
                        "held executors sent to a control node of an earlier release"
                    );
                    let registry = self.control_nodes[receiver as usize].as_mut();
                    registry
                        .into_iter()
                        .for_each(|registry| registry.merge_held_executors(now, sender, heartbeats.clone()));
                }
            }
            RegistryEffect::SayHolderAware { to } => {
                let both_support_holders =
                    !self.earlier_release.contains(&from) && !self.earlier_release.contains(&(to as usize));
                let registry = self.control_nodes[to as usize].as_mut().filter(|_| both_support_holders);
                registry.into_iter().for_each(|registry| registry.peer_is_holder_aware(now, sender));
            }
            RegistryEffect::SendUpdate { .. } | RegistryEffect::BroadcastSessions(_) => {}
        }
    }

    /// The number of control nodes at which this executor is in the state `Serving`.
    fn serving_count(&self, executor: usize) -> usize {
        let id = format!("e-{executor}");
        let serves = |registry: &&Registry| {
            let mut records = registry.executors();
            records
                .any(|record| record.heartbeat.id == id && record.heartbeat.state == ExecutorState::Serving)
        };
        self.control_nodes.iter().flatten().filter(serves).count()
    }

    fn all_serve_at_all_control_nodes(&self) -> bool {
        let control_nodes = self.control_nodes.iter().flatten().count();
        (0..self.executors.len()).all(|executor| self.serving_count(executor) == control_nodes)
    }
}

#[test]
fn steady_heartbeats_are_rarely_forwarded_and_no_executor_goes_offline() {
    let mut fleet = Fleet::new(3, &[], 120);
    for _ in 0..60 {
        fleet.run(1000);
        assert!(fleet.all_serve_at_all_control_nodes(), "at {} ms", fleet.now);
    }
    // Each of the 120 executors is reported to the two other control nodes once in ten seconds, not in every
    // interval of 1.2 s.
    assert!(
        fleet.forwarded_heartbeats <= 2 * 120 * 7,
        "{} heartbeats forwarded in a minute",
        fleet.forwarded_heartbeats
    );
}

#[test]
fn a_control_node_of_an_earlier_release_is_sent_each_heartbeat() {
    let mut fleet = Fleet::new(3, &[2], 60);
    for _ in 0..30 {
        fleet.run(1000);
        assert!(fleet.all_serve_at_all_control_nodes(), "at {} ms", fleet.now);
    }
    let min_forwarded = 40 * 25;
    assert!(
        fleet.forwarded_heartbeats >= min_forwarded,
        "{} heartbeats forwarded",
        fleet.forwarded_heartbeats
    );
}

#[test]
fn an_executor_without_heartbeats_goes_offline_at_all_control_nodes_within_the_time_out() {
    let mut fleet = Fleet::new(3, &[], 30);
    fleet.executors[4].is_alive = false;
    fleet.run(HEARTBEAT_TIMEOUT - HEARTBEAT_INTERVAL);
    assert_eq!(fleet.serving_count(4), 3);
    fleet.run(HEARTBEAT_INTERVAL + 300);
    assert_eq!(fleet.serving_count(4), 0);
    // The executor had only timed out: its next heartbeat brings it back online, whichever control node
    // receives it.
    fleet.executors[4].is_alive = true;
    fleet.executors[4].control_node = 0;
    fleet.run(HEARTBEAT_INTERVAL + TICK);
    assert!(fleet.all_serve_at_all_control_nodes());
}

#[test]
fn executors_of_a_lost_control_node_move_to_others_and_dead_ones_go_offline() {
    let mut fleet = Fleet::new(3, &[], 60);
    fleet.run(9000);
    fleet.kill(1);
    // One executor of the killed control node stops at the same moment.
    fleet.executors[4].is_alive = false;
    for _ in 0..40 {
        fleet.run(100);
        let others = (0..60).filter(|executor| *executor != 4);
        assert!(others.clone().all(|executor| fleet.serving_count(executor) == 2), "at {} ms", fleet.now);
    }
    fleet.run(HEARTBEAT_TIMEOUT);
    assert_eq!(fleet.serving_count(4), 0);
    fleet.start(1);
    fleet.run(4000);
    assert_eq!((0..60).filter(|executor| fleet.serving_count(*executor) == 3).count(), 59);
}

#[test]
fn an_executor_that_moves_to_another_control_node_is_not_set_offline_by_the_previous_one() {
    let mut fleet = Fleet::new(3, &[], 30);
    for control_node in [1, 2, 0, 2] {
        fleet.executors[9].control_node = control_node;
        for _ in 0..300 {
            fleet.run(TICK);
            assert_eq!(fleet.serving_count(9), 3, "holder {control_node} at {} ms", fleet.now);
        }
    }
}

#[test]
fn a_late_heartbeat_at_another_control_node_sets_no_executor_offline() {
    let mut fleet = Fleet::new(3, &[], 30);
    // Each control node knows a different sequence number of the executor: its holder the latest, the others
    // one that is seconds old.
    fleet.run(8000);
    let late_sequence = fleet.executors[9].sequence - 1;
    fleet.send_heartbeat(9, 1, late_sequence);
    for _ in 0..120 {
        fleet.run(100);
        assert_eq!(fleet.serving_count(9), 3, "at {} ms", fleet.now);
    }
}

#[test]
fn an_executor_held_by_an_isolated_control_node_times_out_elsewhere() {
    let mut fleet = Fleet::new(3, &[], 30);
    // An isolated control node sets no executor offline, because executors may send their heartbeats to the
    // other control nodes. Those are connected to it all the same and have to apply the time-out themselves.
    fleet.isolated.insert(1);
    fleet.executors[4].is_alive = false;
    fleet.run(HEARTBEAT_TIMEOUT + HOLDER_REFRESH_INTERVAL + 2500);
    assert_eq!(fleet.serving_count(4), 1);
}

#[test]
fn a_deregistration_at_one_control_node_is_final_at_all() {
    let mut fleet = Fleet::new(3, &[], 30);
    fleet.executors[9].is_alive = false;
    let (now, id) = (fleet.now, "e-9");
    fleet.control_nodes[2].as_mut().unwrap().deregister_executor(now, id);
    fleet.run(100);
    assert_eq!(fleet.serving_count(9), 0);
    for node in 0..3 {
        let sequence = fleet.executors[9].sequence + 5;
        fleet.send_heartbeat(9, node, sequence);
        fleet.run(100);
        assert_eq!(fleet.serving_count(9), 0);
    }
}
