//! The faults that leave somebody alive and behind, and machines that come and go for good.

use crate::client::Plan;
use crate::fleet::{Plain, Role, EACH};
use crate::history::{Micros, Read, SECOND};
use crate::http;
use crate::operator::Operator;
use crate::schedule::{Schedule, ACK, APPLY, TAKEN_OVER};
use std::net::SocketAddrV4;
use std::sync::{Arc, Barrier};
use std::time::Duration;

/// A store with the little that lies here is emptied in that time, at the rate of repair.
const EMPTIED: Micros = 20 * SECOND;
/// Rounds in which two operators send at once.
const RACES: u64 = 6;

/// How the control primary is left behind.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Behind {
    Frozen,
    CutOff,
}

pub fn marker(number: u64) -> &'static str {
    // A few dozen over the life of the process.
    Box::leak(format!("/mark-{number}/").into_boxed_str())
}

impl Schedule {
    /// All control nodes read back the same, and it is in force at every edge: that version.
    pub fn agreed(&mut self, why: &str) -> Option<u64> {
        self.round += 1;
        let reads = self.operator.read_all(self.round, Duration::from_secs(5));
        for _ in reads.iter().filter(|read| read.is_none()) {
            self.take(&format!("an answer of every control node to who reads ({why})"), None, ACK);
        }
        let force = reads.into_iter().flatten().max()?;
        self.in_force(force, why);
        self.say(&format!("{force} is read back by all and in force at every edge ({why})"));
        if !self.routes.iter().any(|(prefix, ..)| *prefix == marker(force)) {
            self.routes.push((marker(force), "alder", 4));
        }
        Some(force)
    }

    /// How long until every edge takes messages for the route of a version.
    pub fn in_force(&mut self, version: u64, why: &str) -> Option<Micros> {
        let begun = self.recorder.now();
        let taken =
            (0..EACH).map(|edge| self.clients.until_taken(marker(version), edge, Duration::from_secs(8)));
        let last = taken.collect::<Option<Vec<Micros>>>().and_then(|all| all.into_iter().max());
        let took = last.map(|at| at.saturating_sub(begun));
        self.take(&format!("version {version} in force at every edge ({why})"), took, APPLY);
        took
    }

    /// As agreed, and the markers of other versions are gone from the edges.
    fn settled(&mut self, numbers: &[u64], why: &str) {
        let Some(force) = self.agreed(why) else { return };
        // What was turned away or taken where another version is in force is for the judge to find.
        self.sleep(APPLY / 1000 + 100);
        for other in numbers.iter().filter(|other| **other != force) {
            for edge in 0..EACH {
                self.clients.send(&Plan::to(marker(*other)), edge, &mut None);
            }
        }
    }

    /// Two operators send different configurations to two control nodes at the same instant, again and again.
    pub fn race(&mut self, first: u64) {
        self.say("two operators send different configurations to two control nodes at once");
        let gate = Arc::new(Barrier::new(2));
        let controls = self.fleet.here(Role::Core);
        let order = |side: u64| {
            let mut operator = Operator::new(self.fleet.controls(), &self.recorder);
            let (gate, base, services) = (Arc::clone(&gate), self.routes.clone(), self.services.clone());
            let to: Vec<SocketAddrV4> = controls.iter().map(|at| self.fleet.control(*at)).collect();
            std::thread::spawn(move || {
                let mut unclear = 0;
                for step in 0..RACES {
                    // By turns either has the higher number.
                    let number = first + 2 * step + (side + step) % 2;
                    let mut routes = base.clone();
                    routes.push((marker(number), "alder", 4));
                    operator.first = Some(to[(step + side) as usize % to.len()]);
                    gate.wait();
                    let (_, acked) = operator.replace(number, &routes, &services, Duration::from_secs(5));
                    unclear += u64::from(acked.is_none());
                }
                unclear
            })
        };
        let both = [order(0), order(1)];
        let unclear: u64 = both.into_iter().filter_map(|thread| thread.join().ok()).sum();
        for _ in 0..unclear {
            self.take("the acknowledgement of one of two configurations at once", None, ACK);
        }
        let numbers: Vec<u64> = (first..first + 2 * RACES).collect();
        self.settled(&numbers, "two operators at once");
    }

    /// The primary is left behind with an order in its hands whose number is the higher one; the others go on without it.
    pub fn leave_behind(&mut self, how: Behind, number: u64) -> Plain<()> {
        let primary = self.fleet.primary().ok_or("no control node says that it leads")?;
        let (name, what) = match how {
            Behind::Frozen => ("frozen", "after the primary was frozen"),
            Behind::CutOff => ("cut off", "after the primary was cut off"),
        };
        let from = self.recorder.now();
        self.put_behind(how, primary, true);
        self.say(&format!("core-{}, which leads, is {name}", primary + 1));
        let (base, services) = (self.routes.clone(), self.services.clone());
        let with = |number| {
            let mut routes = base.clone();
            routes.push((marker(number), "alder", 4));
            routes
        };
        let (late, to) = (number + 1, self.fleet.control(primary));
        let body = self.operator.prepare(late, &with(late), &services);
        let late_body = body.clone();
        let asked = std::thread::spawn(move || {
            http::call(to, "POST", "/v1/settings/replace", body.as_bytes(), Duration::from_secs(8))
        });
        let other = self.fleet.here(Role::Core).into_iter().find(|at| *at != primary).unwrap_or(0);
        self.operator.first = Some(self.fleet.control(other));
        let (_, acked) = self.operator.replace(number, &with(number), &services, Duration::from_secs(8));
        self.take(&format!("the acknowledgement of version {number} ({what})"), acked, ACK);
        if how == Behind::CutOff {
            // What it says now, if anything, is the newest all the same.
            self.round += 1;
            self.operator.read_at(to, self.round, Duration::from_millis(300));
        }
        self.sleep(4000 - (self.recorder.now().saturating_sub(from) / 1000).min(4000));
        self.put_behind(how, primary, false);
        let to = self.recorder.now();
        let mut history = self.recorder.write();
        let list = if how == Behind::Frozen { &mut history.freezes } else { &mut history.cuts };
        list.push((from, to));
        drop(history);
        let said = asked.join().ok().and_then(Result::ok).map(|message| message.status());
        if said == Some(200) {
            self.operator.acknowledged(&late_body);
        }
        let (ms, said) = (acked.map_or(0, |us| us / 1000), said.unwrap_or(0));
        self.say(&format!(
            "version {number} was acknowledged by others in {ms} ms; it is back, and says {said} to {late}"
        ));
        self.takeovers.push((name, acked.unwrap_or(0)));
        self.sleep(1000);
        self.settled(&[number, late], what);
        Ok(())
    }

    fn put_behind(&mut self, how: Behind, primary: usize, away: bool) {
        match how {
            Behind::Frozen => self.fleet.stall(Role::Core, primary, away),
            Behind::CutOff => self.fleet.cut(Role::Core, primary, &[Role::Core], away),
        }
    }

    /// A store stands still with messages that fall due meanwhile, long enough for others to run them.
    pub fn freeze_store(&mut self, at: usize) {
        let plan = Plan { delay_ms: 1500, ..Plan::to("/alder/") };
        self.clients.burst(&plan, at, 160);
        self.sleep(400);
        let from = self.recorder.now();
        self.fleet.stall(Role::Store, at, true);
        self.say(&format!("store-{} is frozen", at + 1));
        self.sleep(5500);
        self.fleet.stall(Role::Store, at, false);
        let to = self.recorder.now();
        self.recorder.write().freezes.push((from, to));
        self.sleep(500);
        let took = self.waited(from);
        self.take("until all that a frozen store held had run elsewhere", Some(took), TAKEN_OVER);
        self.takeovers.push(("frozen store", took));
        self.say(&format!("store-{} goes on", at + 1));
        self.sleep(2500);
    }

    /// A store is cut off from the other stores alone: it lives, is a member, and can make no copies.
    pub fn cut_store(&mut self, at: usize) {
        let plan = Plan { delay_ms: 1500, ..Plan::to("/alder/") };
        self.clients.burst(&plan, at, 160);
        self.sleep(400);
        let from = self.recorder.now();
        self.fleet.cut(Role::Store, at, &[Role::Store], true);
        self.say(&format!("store-{} is cut off from the other stores", at + 1));
        self.sleep(4000);
        self.fleet.cut(Role::Store, at, &[Role::Store], false);
        let to = self.recorder.now();
        self.recorder.write().cuts.push((from, to));
        self.say("they are in touch again");
        self.sleep(3000);
    }

    pub fn begin_retiring(&mut self, name: &str) -> Option<u16> {
        let target = format!("/v1/retire/{name}/begin");
        let most = Duration::from_secs(5);
        self.operator.order("POST", &target, "{\"deadline_s\":20}", most).map(|(status, _)| status)
    }

    /// Until a store that was told to is empty; then the machine goes for good, with its disk.
    pub fn emptied(&mut self, at: usize) -> Plain<()> {
        let (name, begun) = (self.fleet.name(Role::Store, at), self.recorder.now());
        let target = format!("/v1/retire/{name}/read");
        let complete = |said: Option<(u16, Vec<u8>)>| {
            let body = said.filter(|(status, _)| *status == 200).map(|(_, body)| body).unwrap_or_default();
            let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            value["state"] == "complete"
        };
        let mut took = None;
        while took.is_none() && self.recorder.now() < begun + 2 * EMPTIED {
            if complete(self.operator.order("GET", &target, "", Duration::from_secs(1))) {
                took = Some(self.recorder.now() - begun);
            } else {
                self.sleep(50);
            }
        }
        // No fault is written down: nothing is excused by it.
        self.fleet.take_away(Role::Store, at)?;
        self.take(&format!("until {name} was empty"), took, EMPTIED);
        let ms = took.map_or("never".to_string(), |us| format!("after {} ms", us / 1000));
        self.say(&format!("{name} is empty {ms}, and is taken away with its disk"));
        self.takeovers.extend(took.map(|took| ("emptied", took)));
        Ok(())
    }

    pub fn add(&mut self, role: Role, at: usize) -> Plain<()> {
        self.fleet.add(role, at, false)?;
        self.fleet.start(role, at)?;
        self.say(&format!("{} is added, with an empty disk", self.fleet.name(role, at)));
        Ok(())
    }

    /// A store is lost for good and an empty one at another address takes its place; that is emptied again and taken away, and
    /// one more is added.
    pub fn renew_stores(&mut self) -> Plain<()> {
        let from = self.recorder.now();
        self.fleet.take_away(Role::Store, 1)?;
        self.say("store-2 is lost with its disk, and never comes back");
        self.sleep(1000);
        self.add(Role::Store, 3)?;
        self.trouble(from);
        // It is in touch, and all that lay on the one that was lost lies there.
        self.sleep(4500);
        let said = self.begin_retiring("store-99");
        self.answered("a store that nobody knows is not emptied (404)", said.map(|status| status == 404));
        // It has something to hand over, and something in hand.
        self.clients.burst(&Plan { delay_ms: 900, ..Plan::to("/alder/") }, 0, 160);
        self.sleep(300);
        let said = self.begin_retiring("store-4");
        self.answered("one of three stores is to be emptied", said.map(|status| status == 200));
        let said = self.begin_retiring("store-3");
        let what = "with one told to go, not one of the other two as well (409)";
        self.answered(what, said.map(|status| status == 409));
        self.emptied(3)?;
        self.add(Role::Store, 4)?;
        self.sleep(1500);
        Ok(())
    }

    /// The primary is lost for good; an empty machine at another address takes its place.
    pub fn renew_core(&mut self, number: u64) -> Plain<()> {
        let primary = self.fleet.primary().ok_or("no control node says that it leads")?;
        let from = self.recorder.now();
        self.fleet.take_away(Role::Core, primary)?;
        self.say(&format!("core-{}, which leads, is lost with its disk, and never comes back", primary + 1));
        self.add(Role::Core, 3)?;
        self.trouble(from);
        let mut routes = self.routes.clone();
        routes.push((marker(number), "alder", 4));
        let services = self.services.clone();
        let (_, acked) = self.operator.replace(number, &routes, &services, Duration::from_secs(10));
        self.take(
            &format!("the acknowledgement of version {number} (a control node is replaced)"),
            acked,
            ACK,
        );
        // From then on it counts: one more may be lost.
        self.sleep(1500);
        self.settled(&[number], "a control node is replaced");
        Ok(())
    }
}

/// What is told of reads, for those who look for the reason.
pub fn tell(reads: &[Read]) -> String {
    let all: Vec<String> =
        reads.iter().map(|r| format!("{}: {} {:?}", r.round, r.control, r.version)).collect();
    all.join(", ")
}
