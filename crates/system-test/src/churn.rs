//! Many changes with restarts in between, two contents under one number, and orders that are sent again.

use crate::control::Numbers;
use crate::fleet::{Plain, Role};
use crate::history::{Ask, History, Micros, SECOND};
use crate::isolation::with_marker;
use crate::operator::{ask, Operator, NO_ROUND};
use crate::scenarios::marker;
use crate::schedule::{Schedule, ACK};
use crate::setup::Running;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CHURN: Duration = Duration::from_secs(20);
const MOST_CHANGES: u64 = 1000;
const LEAST_CHANGES: usize = 300;
/// Two operators, each with several orders under way.
const UNDER_WAY: usize = 2 * 4;
/// Routes that make a change large enough for the disk log to begin new segments meanwhile.
const ROUTES: u64 = 120;
/// The disk log of a control node begins anew with a snapshot after 4 MB; the segments before may still lie there.
const DISK_BYTES: u64 = 10 << 20;
/// A control node that was started again answers with what is current.
const CAUGHT_UP: Micros = 4 * SECOND;
/// Between two losses: the first has caught up.
const BETWEEN_MS: u64 = 4200;
const PAIRS: usize = 5;
const RETIRE: &[u8] = b"{\"deadline_s\":20}";

pub fn play(mut running: Running, numbers: &Numbers) -> Plain<History> {
    let schedule = &mut running.schedule;
    schedule.sleep(1000);
    schedule.many_changes(numbers)?;
    let pairs = schedule.pairs_under_one_number(numbers);
    schedule.lose_primary_for_a_while()?;
    schedule.send_again(&pairs, "after a takeover");
    schedule.restart_control_nodes()?;
    schedule.send_again(&pairs, "after all control nodes were started again");
    schedule.change_acknowledged("after all control nodes were started again", numbers);
    schedule.agreed("after all control nodes were started again");
    schedule.retire_two_at_once()?;
    running.end_load();
    running.schedule.sleep(1500);
    Ok(running.end(&[0, 1, 2], Duration::from_secs(10)))
}

impl Schedule {
    fn many_changes(&mut self, numbers: &Numbers) -> Plain<()> {
        self.routes.extend((0..ROUTES).map(|one| (marker(2_000_000 + one), "birch", 4)));
        let stop = Arc::new(AtomicBool::new(false));
        let first = numbers.next();
        let workers: Vec<JoinHandle<()>> =
            (0..UNDER_WAY).map(|_| self.keep_changing(first + MOST_CHANGES, numbers, &stop)).collect();
        let until = Instant::now() + CHURN;
        self.say(&format!("two operators send changes, {UNDER_WAY} at once"));
        self.sleep(2000);
        let (primary, other) = self.primary_and_other()?;
        self.restart_core(other, Restart::InOrder)?;
        self.restart_core(primary, Restart::Killed)?;
        let (_, other) = self.primary_and_other()?;
        self.restart_core(other, Restart::WithoutDisk)?;
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        stop.store(true, Ordering::Relaxed);
        for worker in workers {
            let _ = worker.join();
        }
        self.account(first);
        Ok(())
    }

    /// One of those that send changes at once, until it is told to stop or there were enough.
    fn keep_changing(&self, until: u64, numbers: &Numbers, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
        let mut operator = Operator::new(self.fleet.controls(), &self.recorder);
        let (base, services) = (self.routes.clone(), self.services.clone());
        let (numbers, stop) = (numbers.clone(), Arc::clone(stop));
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let number = numbers.next();
                if number >= until {
                    return;
                }
                operator.replace(number, &with_marker(&base, number), &services, Duration::from_secs(6));
            }
        })
    }

    /// What became of the changes, and of the disks of control nodes.
    fn account(&mut self, first: u64) {
        let (sent, acked, refused) = {
            let history = self.recorder.write();
            let ours = || history.versions.iter().filter(|v| v.number > first);
            let clear = |status: Option<u16>| matches!(status, Some(400..=499));
            let refused =
                history.orders.iter().filter(|o| matches!(o.ask, Ask::Replace(_)) && clear(o.status));
            (ours().count(), ours().filter(|v| v.acked.is_some()).count(), refused.count())
        };
        self.say(&format!("{sent} changes, {acked} acknowledged"));
        self.answered("so many changes as were meant to be", (acked >= LEAST_CHANGES).then_some(true));
        self.seen("no valid change is refused", refused == 0);
        self.sleep(500);
        self.agreed("after many changes");
        for at in self.fleet.here(Role::Core) {
            let bytes = self.fleet.disk_bytes(Role::Core, at);
            self.say(&format!("core-{} has {:.1} MB on its disk", at + 1, bytes as f64 / 1e6));
            self.seen(
                &format!("core-{} has no more than {DISK_BYTES} bytes on its disk", at + 1),
                bytes <= DISK_BYTES,
            );
        }
    }

    fn primary_and_other(&self) -> Plain<(usize, usize)> {
        let primary = self.primary()?;
        let other = self.fleet.here(Role::Core).into_iter().find(|at| *at != primary);
        Ok((primary, other.ok_or("there is one control node only")?))
    }

    fn restart_core(&mut self, at: usize, how: Restart) -> Plain<()> {
        let from = self.recorder.now();
        if how == Restart::InOrder {
            let took = self.fleet.stop(Role::Core, at).map(|took| took.as_micros() as Micros);
            self.take("the end of a control node after SIGTERM, with changes under way", took, 6 * SECOND);
        }
        self.fleet.kill(Role::Core, at);
        if how == Restart::WithoutDisk {
            self.fleet.wipe(Role::Core, at)?;
        }
        self.sleep(700);
        self.fleet.start(Role::Core, at)?;
        self.trouble(from);
        let started = self.recorder.now();
        let to = self.fleet.control(at);
        let mut caught_up = None;
        while caught_up.is_none() && self.recorder.now() < started + 2 * CAUGHT_UP {
            caught_up = self.operator.read_once(to, NO_ROUND).map(|_| self.recorder.now() - started);
            self.sleep(10);
        }
        self.take(&format!("until a control node knew what is current ({how:?})"), caught_up, CAUGHT_UP);
        let ms = caught_up.map_or("never".to_string(), |us| format!("{} ms after its start", us / 1000));
        self.say(&format!("core-{} was started again ({how:?}) and knows what is current {ms}", at + 1));
        self.sleep(BETWEEN_MS.saturating_sub((self.recorder.now() - started) / 1000));
        Ok(())
    }

    /// Two contents under one number at two control nodes in the same instant: all that were sent.
    fn pairs_under_one_number(&mut self, numbers: &Numbers) -> Vec<String> {
        self.say("two contents under one number at two control nodes, in the same instant");
        let nodes: Vec<SocketAddrV4> = self.control_nodes();
        let mut all = Vec::new();
        for pair in 0..PAIRS {
            let number = numbers.next();
            let gate = Arc::new(Barrier::new(2));
            let send = |side: usize, service: &'static str| {
                let mut routes = with_marker(&self.routes, number);
                routes[2].1 = service;
                let body = self.operator.prepare(number, &routes, &self.services);
                let operator = Operator::new(self.fleet.controls(), &self.recorder);
                let (gate, to, sent) = (Arc::clone(&gate), nodes[(pair + side) % nodes.len()], body.clone());
                let thread = std::thread::spawn(move || {
                    gate.wait();
                    operator.send_to(to, &sent);
                });
                (body, thread)
            };
            let both = [send(0, "alder"), send(1, "birch")];
            let bodies: Vec<String> = both
                .into_iter()
                .map(|(body, thread)| {
                    let _ = thread.join();
                    body
                })
                .collect();
            // Neither takes the other's place, now or when it is sent again.
            self.read_round();
            self.send_again(&bodies, "at once");
            self.read_round();
            all.extend(bodies);
        }
        self.agreed("two contents under one number");
        all
    }

    fn read_round(&mut self) {
        self.round += 1;
        self.operator.read_all(self.round, Duration::from_secs(5));
    }

    fn control_nodes(&self) -> Vec<SocketAddrV4> {
        self.fleet.here(Role::Core).into_iter().map(|at| self.fleet.control(at)).collect()
    }

    /// Each of these to every control node: what was acknowledged is not refused now.
    fn send_again(&mut self, bodies: &[String], when: &str) {
        let mut acknowledged = 0;
        for body in bodies {
            for to in self.control_nodes() {
                acknowledged += u32::from(self.operator.send_to(to, body));
            }
        }
        if bodies.len() > 2 {
            self.say(&format!(
                "{} configurations again at every control node, {when}: {acknowledged} acknowledged",
                bodies.len()
            ));
        }
    }

    fn lose_primary_for_a_while(&mut self) -> Plain<()> {
        let primary = self.primary()?;
        let from = self.recorder.now();
        self.fleet.kill(Role::Core, primary);
        self.say(&format!("core-{}, which leads, is killed", primary + 1));
        self.sleep(1500);
        self.fleet.start(Role::Core, primary)?;
        self.trouble(from);
        self.sleep(1000);
        Ok(())
    }

    fn restart_control_nodes(&mut self) -> Plain<()> {
        let from = self.recorder.now();
        let all = self.fleet.here(Role::Core);
        all.iter().for_each(|at| self.fleet.kill(Role::Core, *at));
        self.sleep(500);
        all.iter().try_for_each(|at| self.fleet.start(Role::Core, *at))?;
        self.trouble(from);
        let read = self.operator.read(Duration::from_secs(8));
        self.answered("a configuration is read back after all control nodes were killed", read.map(|_| true));
        self.say("all control nodes were killed and started again");
        Ok(())
    }

    /// Orders to empty two of three stores at two control nodes in the same instant; the one that is taken is sent again.
    fn retire_two_at_once(&mut self) -> Plain<()> {
        let nodes = self.control_nodes();
        let gate = Arc::new(Barrier::new(2));
        let begin = |store: usize| {
            let (name, to) = (self.fleet.name(Role::Store, store), nodes[store % nodes.len()]);
            let (gate, recorder) = (Arc::clone(&gate), Arc::clone(&self.recorder));
            std::thread::spawn(move || {
                gate.wait();
                let said = ask(&recorder, to, "POST", &retire_target(&name), RETIRE);
                said.map(|message| message.status())
            })
        };
        let both = [begin(0), begin(1)].map(|thread| thread.join().ok().flatten());
        self.say(&format!("orders to empty store-1 and store-2 in the same instant: {both:?}"));
        let taken: Vec<usize> = (0..2).filter(|at| both[*at] == Some(200)).collect();
        self.seen("of two orders at once to empty two of three stores one at most is taken", taken.len() < 2);
        let store = match taken.first() {
            Some(store) => *store,
            None => match self.retire_until_taken() {
                Some(store) => store,
                None => return Ok(()),
            },
        };
        let name = self.fleet.name(Role::Store, store);
        self.retire_again(&name, "while it is emptied");
        self.emptied(store)?;
        self.retire_again(&name, "after it was taken away");
        self.restart_control_nodes()?;
        self.retire_again(&name, "after all control nodes were started again");
        Ok(())
    }

    /// Where both were left unclear: one of them is sent again, as an operator would.
    fn retire_until_taken(&mut self) -> Option<usize> {
        let until = Instant::now() + Duration::from_micros(ACK);
        while Instant::now() < until {
            for store in 0..2 {
                let target = retire_target(&self.fleet.name(Role::Store, store));
                let said = ask(&self.recorder, self.control_nodes()[0], "POST", &target, RETIRE);
                if said.is_some_and(|message| message.status() == 200) {
                    return Some(store);
                }
            }
            self.sleep(200);
        }
        self.take("an order to empty one of three stores", None, ACK);
        None
    }

    /// The order to every control node: the judge looks at what they say, here only at who acknowledges in time.
    fn retire_again(&mut self, name: &str, when: &str) {
        let mut said = Vec::new();
        for to in self.control_nodes() {
            let until = Instant::now() + Duration::from_micros(ACK);
            let mut status = None;
            while !matches!(status, Some(200..=499)) && Instant::now() < until {
                status = ask(&self.recorder, to, "POST", &retire_target(name), RETIRE)
                    .map(|message| message.status());
                self.sleep(20);
            }
            let clear = matches!(status, Some(200..=499));
            self.answered(&format!("the order to empty {name} again, {when}"), clear.then_some(true));
            said.push(status);
        }
        self.say(&format!("the order to empty {name} again, {when}: {said:?}"));
    }
}

fn retire_target(name: &str) -> String {
    format!("/v1/retire/{name}/begin")
}

/// How a control node ends before it is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    InOrder,
    Killed,
    WithoutDisk,
}
