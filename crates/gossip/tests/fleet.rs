//! Fleets of members in simulated time, with messages lost and late, members killed, stopped, paused, cut off and started
//! again. Figures are simulated.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_gossip::{Datagram, Detector, Settings, State, Time, SECOND};

const TICK: Time = SECOND / 20;

struct Node {
    id: u64,
    members: Option<Detector>,
    /// Takes no time until then, and what comes waits.
    paused: Time,
    held: Vec<(SocketAddrV4, Vec<u8>)>,
}

struct Net {
    now: Time,
    tick: Time,
    settings: Settings,
    nodes: Vec<Node>,
    by_at: BTreeMap<SocketAddrV4, usize>,
    /// What is on its way, in order of time.
    air: BTreeMap<(Time, u64), (SocketAddrV4, SocketAddrV4, Vec<u8>)>,
    count: u64,
    loss: f64,
    /// Nodes in the set and those outside hear nothing of each other.
    cut: BTreeSet<usize>,
    chance: Pcg64Mcg,
}

fn at(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8), 7000)
}

fn id(node: usize) -> u64 {
    (node as u64 + 1) * 1_000_003
}

fn settings() -> Settings {
    // Any listed one will do: two of all.
    Settings { seeds: vec![at(0), at(1)], ..Settings::default() }
}

impl Net {
    fn new(count: usize, seed: u64) -> Net {
        let mut net = Net::empty(count, seed);
        (0..count).for_each(|node| net.start(node, 1));
        net
    }

    /// None of the nodes has started.
    fn empty(count: usize, seed: u64) -> Net {
        let nodes = (0..count)
            .map(|node| Node { id: id(node), members: None, paused: 0, held: Vec::new() })
            .collect();
        let by_at = (0..count).map(|node| (at(node), node)).collect();
        let chance = Pcg64Mcg::seed_from_u64(seed);
        Net {
            now: 0,
            tick: TICK,
            settings: settings(),
            nodes,
            by_at,
            air: BTreeMap::new(),
            count: 0,
            loss: 0.0,
            cut: BTreeSet::new(),
            chance,
        }
    }

    fn start(&mut self, node: usize, life: u64) {
        let own = Detector::new(
            self.nodes[node].id,
            life,
            at(node),
            (node % 3) as u8,
            self.settings.clone(),
            node as u64 + life * 977,
        );
        self.nodes[node].members = Some(own);
    }

    fn post(&mut self, from: usize, sends: Vec<Datagram>) {
        for send in sends {
            if !self.chance.random_bool(self.loss) {
                self.count += 1;
                let late = self.chance.random_range(5..30);
                self.air.insert((self.now + late, self.count), (at(from), send.to, send.bytes));
            }
        }
    }

    fn run(&mut self, time: Time) {
        let end = self.now + time;
        while self.now < end {
            self.now += self.tick;
            while let Some(entry) = self.air.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (from, to, text) = entry.remove();
                let (Some(sender), Some(node)) =
                    (self.by_at.get(&from).copied(), self.by_at.get(&to).copied())
                else {
                    continue;
                };
                if self.cut.contains(&sender) != self.cut.contains(&node) {
                    continue;
                }
                if self.now < self.nodes[node].paused {
                    self.nodes[node].held.push((from, text));
                } else if let Some(members) = &mut self.nodes[node].members {
                    let sends = members.receive(self.now, from, &text);
                    self.post(node, sends);
                }
            }
            for node in 0..self.nodes.len() {
                if self.now < self.nodes[node].paused {
                    continue;
                }
                for (from, text) in std::mem::take(&mut self.nodes[node].held) {
                    let sends = self.nodes[node].members.as_mut().map(|m| m.receive(self.now, from, &text));
                    self.post(node, sends.unwrap_or_default());
                }
                let sends = self.nodes[node].members.as_mut().map(|members| members.tick(self.now));
                self.post(node, sends.unwrap_or_default());
            }
        }
    }

    /// What a node holds of another.
    fn state(&self, node: usize, of: usize) -> Option<State> {
        let members = self.nodes[node].members.as_ref()?;
        members.members().find(|member| member.entry.id == id(of)).map(|member| member.entry.state)
    }

    fn living(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].members.as_ref().is_some_and(|m| !m.is_stopped))
            .collect()
    }

    fn all(&self, holds: impl Fn(&Net, usize) -> bool) -> bool {
        self.living().into_iter().all(|node| holds(self, node))
    }

    /// Seconds until all hold it, or none within so many.
    fn until(&mut self, most: Time, holds: impl Fn(&Net, usize) -> bool) -> Option<f64> {
        let begun = self.now;
        while self.now < begun + most * SECOND {
            if self.all(&holds) {
                return Some((self.now - begun) as f64 / SECOND as f64);
            }
            self.run(SECOND / 5);
        }
        None
    }

    fn figure(&self, of: impl Fn(&Detector) -> u64) -> u64 {
        self.nodes.iter().filter_map(|node| node.members.as_ref()).map(of).sum()
    }
}

fn likely(net: &Net, node: usize) -> usize {
    net.nodes[node].members.as_ref().map_or(0, |members| members.count(net.now).likely)
}

fn safe(net: &Net, node: usize) -> usize {
    net.nodes[node].members.as_ref().map_or(0, |members| members.count(net.now).possibly_sending)
}

/// A fleet in which all know all.
fn whole(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed);
    let took = net.until(60, |net, node| likely(net, node) == count);
    assert!(took.is_some_and(|took| took < 30.0), "{count}: {took:?}");
    net
}

#[test]
fn all_that_start_in_one_moment_find_each_other_by_two_that_are_listed() {
    for count in [2, 3, 30, 300] {
        let net = whole(count, 1);
        let members = net.nodes[0].members.as_ref().unwrap();
        assert_eq!(members.count(net.now).by_domain.values().sum::<usize>(), count);
        assert_eq!(net.figure(|members| members.counters.suspected), 0);
    }
    let mut alone = Net::new(1, 1);
    alone.run(30 * SECOND);
    assert_eq!((likely(&alone, 0), safe(&alone, 0)), (1, 1));
}

/// Twelve processes that start within a third of a second, in any order, as after a deployment. One that is up before its seeds asked
/// them in vain and again a second later, and asked nobody for the list that it had missed: 167 of 400 such fleets took more than a second
/// after the last start, the worst 3.0 s, and in CI one of twelve nodes had counted ten after a second
/// (`a_partition_between_nodes_is_seen_by_both_sides_and_heals`).
#[test]
fn nodes_that_start_before_their_seeds_know_all_within_a_second() {
    const COUNT: usize = 12;
    let every = SECOND / 5;
    for seed in 0..100 {
        let mut net = Net::empty(COUNT, seed);
        net.tick = every / 10;
        net.settings = Settings {
            seeds: vec![at(0), at(1), at(2)],
            probe_interval: every,
            probe_timeout: every * 3 / 10,
            ..Settings::default()
        };
        let mut order: Vec<usize> = (0..COUNT).collect();
        order.shuffle(&mut net.chance);
        for node in order {
            net.start(node, 1);
            let next_after = net.chance.random_range(0..=SECOND / 33);
            net.run(next_after);
        }
        net.run(SECOND);
        assert!(net.all(|net, node| likely(net, node) == COUNT), "seed {seed}");
    }
}

#[test]
fn a_kill_a_leave_and_a_restart_are_known_to_all_within_their_time() {
    for (count, most) in [(30, 20.0), (300, 30.0)] {
        let mut net = whole(count, 2);
        net.nodes[5].members = None;
        let took = net.until(60, |net, node| net.state(node, 5) == Some(State::Dead)).unwrap();
        assert!(took < most, "{count}: a kill was known after {took} s");
        assert!(net.all(|net, node| safe(net, node) == count && likely(net, node) == count - 1));
        // It leaves: nobody suspects it.
        let before = net.figure(|members| members.counters.suspected);
        let sends = net.nodes[7].members.as_mut().unwrap().leave();
        net.post(7, sends);
        let took = net.until(60, |net, node| net.state(node, 7) == Some(State::Left)).unwrap();
        assert!(
            took < 10.0 && net.figure(|members| members.counters.suspected) == before,
            "{count}: {took} s"
        );
        // And is back, killed or not, as a new life.
        net.start(5, 2);
        net.start(7, 2);
        let took = net.until(60, |net, node| likely(net, node) == count).unwrap();
        assert!(took < 10.0, "{count}: back after {took} s");
    }
}

#[test]
fn nobody_suspects_a_member_that_announced_that_it_leaves() {
    // A probe may be under way at any point when the announcement goes out, so many fleets at many points of time.
    for count in [12, 60] {
        let mut suspected = Vec::new();
        for seed in 0..100 {
            let mut net = whole(count, seed);
            net.run(seed as Time * TICK);
            let before = net.figure(|members| members.counters.suspected);
            let sends = net.nodes[7].members.as_mut().unwrap().leave();
            net.post(7, sends);
            let took = net.until(20, |net, node| net.state(node, 7) == Some(State::Left)).unwrap();
            assert!(took < 10.0, "{count} members, seed {seed}: known to all after {took} s");
            if net.figure(|members| members.counters.suspected) > before {
                suspected.push(seed);
            }
        }
        assert!(suspected.is_empty(), "{count} members: suspected with the seeds {suspected:?}");
    }
}

/// With 32 others told by the member itself, a suspicion came up in 6 of 20 such fleets: whoever probed it meanwhile had not been
/// told, nor had any of the three that it asked.
#[test]
fn nobody_in_a_large_fleet_suspects_a_member_that_leaves() {
    for seed in 2..10 {
        let mut net = whole(300, seed);
        net.nodes[5].members = None;
        net.until(60, |net, node| net.state(node, 5) == Some(State::Dead)).unwrap();
        let before = net.figure(|members| members.counters.suspected);
        let sends = net.nodes[7].members.as_mut().unwrap().leave();
        net.post(7, sends);
        net.until(60, |net, node| net.state(node, 7) == Some(State::Left)).unwrap();
        assert_eq!(net.figure(|members| members.counters.suspected), before, "seed {seed}");
    }
}

#[test]
fn lost_messages_kill_hardly_anybody_and_nobody_for_long() {
    // A part of all messages, and how many of a hundred may hold somebody dead after two minutes of it.
    for (loss, most) in [(0.05, 0), (0.2, 3)] {
        let mut net = whole(100, 3);
        net.loss = loss;
        net.run(120 * SECOND);
        let wrong =
            |net: &Net, node: usize| (0..100).any(|other| net.state(node, other) == Some(State::Dead));
        let dead = net.living().into_iter().filter(|node| wrong(&net, *node)).count();
        assert!(dead <= most, "{dead} hold somebody dead at {loss} of all messages lost");
        let part = net.figure(|members| members.counters.suspected) as f64 / (100.0 * 120.0);
        assert!(part < loss / 2.0, "{part} of the probes at {loss} ended in a suspicion");
        net.loss = 0.0;
        let took = net.until(60, |net, node| likely(net, node) == 100).unwrap();
        assert!(took < 30.0, "{took} s");
    }
}

#[test]
fn who_stood_still_holds_nobody_dead_and_is_back_at_once() {
    let mut net = whole(60, 4);
    // A third stands still for ten seconds, long enough to be held dead by some.
    let until = net.now + 10 * SECOND;
    (0..20).for_each(|node| net.nodes[node].paused = until);
    net.run(10 * SECOND + TICK);
    // On waking up they blame nobody: all that they hold dead are others that stood still as well.
    net.run(5 * SECOND);
    assert!(net.all(|net, node| (20..60).all(|other| net.state(node, other) != Some(State::Dead))));
    assert!(net.nodes[..20].iter().all(|node| node.members.as_ref().unwrap().counters.pauses > 0));
    let took = net.until(60, |net, node| likely(net, node) == 60).unwrap();
    assert!(took < 20.0, "{took} s");
}

#[test]
fn both_sides_of_a_partition_go_on_and_count_who_may_still_send() {
    let mut net = whole(40, 5);
    net.cut = (0..10).collect();
    net.run(60 * SECOND);
    for node in 0..40 {
        let own = if node < 10 { 10 } else { 30 };
        assert_eq!((likely(&net, node), safe(&net, node)), (own, 40), "node {node}");
    }
    net.cut.clear();
    let took = net.until(60, |net, node| likely(net, node) == 40).unwrap();
    assert!(took < 40.0, "healed after {took} s");
}

#[test]
fn each_sends_about_as_much_in_a_fleet_ten_times_as_large() {
    let cost = |count: usize| {
        let mut net = whole(count, 6);
        net.run(200 * SECOND);
        let before = net.figure(|members| members.counters.sent_bytes);
        net.run(180 * SECOND);
        (net.figure(|members| members.counters.sent_bytes) - before) as f64 / 180.0 / count as f64
    };
    let (few, many) = (cost(30), cost(300));
    assert!(many < 1.5 * few && many < 400.0, "{few} and {many} bytes a second");
}

/// The figures of docs/gossip.md: `cargo test --release -p stileroute-gossip -- --ignored --nocapture`.
#[test]
#[ignore = "prints figures, holds nothing against a bound"]
fn figures() {
    for count in [30, 300] {
        let mut net = Net::new(count, 11);
        let known = net.until(60, |net, node| likely(net, node) == count);
        net.run(200 * SECOND);
        let before = (net.figure(|m| m.counters.sent), net.figure(|m| m.counters.sent_bytes));
        net.run(180 * SECOND);
        let after = (net.figure(|m| m.counters.sent), net.figure(|m| m.counters.sent_bytes));
        let each = |all: u64| all as f64 / 180.0 / count as f64;
        net.nodes[5].members = None;
        let dead = net.until(60, |net, node| net.state(node, 5) == Some(State::Dead));
        let sends = net.nodes[7].members.as_mut().unwrap().leave();
        net.post(7, sends);
        let left = net.until(60, |net, node| net.state(node, 7) == Some(State::Left));
        net.start(5, 2);
        let back = net.until(60, |net, node| net.state(node, 5) == Some(State::Alive) || node == 5);
        net.cut = (0..count / 3).collect();
        net.run(60 * SECOND);
        net.cut.clear();
        let healed = net.until(90, |net, node| likely(net, node) == count - 1);
        println!(
            "{count}: all known {known:?} s; {:.1} messages, {:.0} bytes a second; kill {dead:?}, leave {left:?}, back {back:?}, \
             healed {healed:?} s",
            each(after.0 - before.0),
            each(after.1 - before.1)
        );
    }
}

#[test]
fn a_successor_takes_its_place_and_one_with_a_clock_set_back_gets_a_later_life() {
    let mut net = whole(10, 7);
    net.run(15 * SECOND);
    // A process beside the running one of node 4, at an address of its own.
    let beside = net.nodes.len();
    net.nodes.push(Node { id: id(4), members: None, paused: 0, held: Vec::new() });
    net.by_at.insert(at(beside), beside);
    net.start(beside, 2);
    net.run(20 * SECOND);
    assert!(net.nodes[4].members.as_ref().unwrap().is_stopped, "the older one says nothing more");
    assert!(!net.nodes[beside].members.as_ref().unwrap().is_stopped);
    assert!(
        net.all(|net, node| likely(net, node) == 10) && net.figure(|members| members.counters.suspected) == 0
    );
    // Killed, and started with a clock that was set back: its life begins below the one that it had.
    net.nodes[3].members = None;
    net.run(30 * SECOND);
    net.start(3, 0);
    let took = net.until(30, |net, node| likely(net, node) == 10).unwrap();
    assert!(took < 15.0, "{took} s");
}

#[test]
fn strangers_replays_and_garbage_change_nothing() {
    let key = Some([3; 32]);
    let keyed =
        |node: usize| Detector::new(id(node), 1, at(node), 0, Settings { key, ..settings() }, node as u64);
    let (mut one, mut two) = (keyed(0), keyed(1));
    let hello = two.tick(SECOND).remove(0);
    let answer = one.receive(SECOND, at(1), &hello.bytes);
    assert_eq!(one.count(SECOND).likely, 2);
    two.receive(SECOND, at(0), &answer[0].bytes);
    assert_eq!(two.count(SECOND).likely, 2);
    // Again, from elsewhere, by who doesn't know the key, and spoilt.
    assert!(one.receive(2 * SECOND, at(9), &hello.bytes).is_empty());
    let mut stranger = Detector::new(id(5), 1, at(5), 0, settings(), 5);
    let call = stranger.tick(SECOND).remove(0);
    assert!(one.receive(2 * SECOND, at(5), &call.bytes).is_empty());
    for cut in 0..hello.bytes.len() {
        assert!(one.receive(2 * SECOND, at(1), &hello.bytes[..cut]).is_empty());
    }
    let counters = one.counters;
    assert_eq!((counters.replayed, counters.received, one.count(2 * SECOND).likely), (1, 1, 2));
    assert_eq!(counters.unauthenticated + counters.malformed, 1 + hello.bytes.len() as u64);
}
