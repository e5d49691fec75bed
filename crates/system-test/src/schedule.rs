//! What is played on the fleet: configurations, losses, restarts.

use crate::client::{Clients, Plan};
use crate::fleet::{Fleet, Plain, Role, EACH};
use crate::history::{Answered, Micros, Seen, Sent, Take, SECOND};
use crate::operator::{configuration, Operator, Routes, Services};
use crate::recorder::Recorder;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub const ACK: Micros = 5 * SECOND;
pub const APPLY: Micros = 3 * SECOND;
pub const RECOVER: Micros = 12 * SECOND;
/// What a lost store held is delivered by another, in the time that a machine needs to be in touch, and a little.
pub const TAKEN_OVER: Micros = 5 * SECOND;
pub const CEILING: f64 = 30.0;

pub const FIRST: [(&str, &str, u32); 5] = [
    ("/alder/", "alder", 4),
    ("/birch/", "birch", 3),
    ("/cedar/", "cedar", 4),
    ("/elm/", "alder", 4),
    ("/larch/", "birch", 4),
];
/// `/elm/` is dropped, `/larch/` goes to another service, `/fir/` is new.
pub const SECOND_SET: [(&str, &str, u32); 5] = [
    ("/alder/", "alder", 4),
    ("/birch/", "birch", 3),
    ("/cedar/", "cedar", 4),
    ("/larch/", "alder", 4),
    ("/fir/", "birch", 4),
];
pub const LOAD: [(&str, u64); 6] =
    [("/alder/", 53), ("/birch/", 25), ("/cedar/", 8), ("/elm/", 4), ("/larch/", 6), ("/fir/", 4)];

pub struct Schedule {
    /// Printed before each line.
    pub label: String,
    pub fleet: Fleet,
    pub recorder: Arc<Recorder>,
    pub clients: Arc<Clients>,
    pub operator: Operator,
    pub services: Services,
    pub routes: Routes,
    pub takeovers: Vec<(&'static str, Micros)>,
    /// Of reads at all control nodes.
    pub round: u32,
}

impl Schedule {
    pub fn sleep(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }

    pub fn say(&self, what: &str) {
        println!("{}{:7.2} s  {what}", self.label, self.recorder.now() as f64 / SECOND as f64);
    }

    /// No process has ended by itself.
    pub fn none_fallen(&mut self) {
        if let Some(what) = self.fleet.fallen() {
            self.seen(&what, false);
        }
    }

    pub fn seen(&self, what: &str, right: bool) {
        self.recorder.write().seen.push(Seen { what: what.to_string(), right });
    }

    /// Of what was answered: no answer in time is another thing than a wrong one.
    pub fn answered(&self, what: &str, right: Option<bool>) {
        match right {
            Some(right) => self.seen(what, right),
            None => self.take(&format!("an answer ({what})"), None, ACK),
        }
    }

    pub fn take(&self, what: &str, took: Option<Micros>, most: Micros) {
        self.recorder.write().takes.push(Take { what: what.to_string(), took, most });
    }

    /// A configuration with one more route, and how long until it is acknowledged and in force at all edges.
    pub fn change(&mut self, number: u64, prefix: &'static str, why: &str) -> Option<Micros> {
        self.routes.push((prefix, "alder", 4));
        let routes = self.routes.clone();
        let (_, acked) = self.operator.replace(number, &routes, &self.services, Duration::from_secs(10));
        self.take(&format!("the acknowledgement of version {number} ({why})"), acked, ACK);
        let begun = self.recorder.now();
        let mut force = Some(0);
        for edge in 0..EACH {
            let taken = self.clients.until_taken(prefix, edge, Duration::from_secs(8));
            force = force.zip(taken).map(|(most, at)| most.max(at.saturating_sub(begun)));
        }
        self.take(&format!("version {number} in force at every edge ({why})"), force, APPLY);
        let ms = |span: Option<Micros>| span.map_or("never".to_string(), |us| format!("{} ms", us / 1000));
        self.say(&format!("version {number}: acknowledged in {}, in force in {}", ms(acked), ms(force)));
        acked
    }

    /// The machine is gone from now on, for so long.
    pub fn trouble(&self, from: Micros) {
        let to = self.recorder.now();
        self.recorder.write().troubles.push((from, to));
    }

    pub fn configurations(&mut self) {
        let (services, old) = (self.services.clone(), configuration(3, &FIRST.to_vec(), &self.services));
        self.routes = SECOND_SET.to_vec();
        let routes = self.routes.clone();
        let (body, acked) = self.operator.replace(8, &routes, &services, Duration::from_secs(10));
        self.take("the acknowledgement of version 8", acked, ACK);
        let most = Duration::from_secs(5);
        let mut wrong = routes.clone();
        wrong.push(("/oak/", "nobody", 4));
        let wrong = configuration(9, &wrong, &services);
        let said =
            self.operator.order("POST", "/v1/settings/replace", &wrong, most).map(|(status, _)| status);
        self.answered("a route to an unknown service is refused", said.map(|status| status == 400));
        let half = &body[..body.len() / 2];
        let said = self.operator.order("POST", "/v1/settings/replace", half, most).map(|(status, _)| status);
        self.answered("half a configuration is refused", said.map(|status| status == 400));
        let said = self.operator.order("POST", "/v1/settings/replace", &old, most).map(|(status, _)| status);
        self.answered("an older version is acknowledged", said.map(|status| status == 200));
        let read = self.operator.read(most);
        self.answered("version 8 is read back byte for byte", read.map(|read| read == body.as_bytes()));
        self.say("version 8 in the place of 3, an invalid one refused, an older one changes nothing");
    }

    /// A configuration is acknowledged, and who acknowledged it is lost with its disk.
    pub fn lose_primary(&mut self) -> Plain<()> {
        let primary = self.fleet.primary().ok_or("no control node says that it leads")?;
        let routes = self.routes.clone();
        let (body, acked) = self.operator.replace(10, &routes, &self.services, Duration::from_secs(10));
        let from = self.recorder.now();
        self.fleet.kill(Role::Core, primary);
        self.fleet.wipe(Role::Core, primary)?;
        self.take("the acknowledgement of version 10", acked, ACK);
        self.say(&format!(
            "core-{} leads, acknowledges version 10, is killed and loses its disk",
            primary + 1
        ));
        let read = self.operator.read(Duration::from_secs(10));
        let right = read.map(|read| read == body.as_bytes());
        self.answered("after the loss of the primary, version 10 is read back byte for byte", right);
        if self.change(12, "/gorse/", "after the loss of the primary").is_some() {
            self.takeovers.push(("control", self.acked(12).saturating_sub(from)));
        }
        self.sleep(2500);
        self.fleet.start(Role::Core, primary)?;
        self.trouble(from);
        Ok(())
    }

    pub fn acked(&self, number: u64) -> Micros {
        let history = self.recorder.write();
        let version = history.versions.iter().find(|v| v.number == number);
        version.and_then(|v| v.acked).unwrap_or(0)
    }

    pub fn lose_store(&mut self, at: usize, disk: bool) -> Plain<()> {
        let from = self.recorder.now();
        if disk {
            // The others stall for a moment, so that copies of large ones, which are not due yet, are still under way.
            let plan = Plan { delay_ms: 1500, large: true, ..Plan::to("/alder/") };
            let others: Vec<usize> = (0..EACH).filter(|other| *other != at).collect();
            others.iter().for_each(|other| self.fleet.stall(Role::Store, *other, true));
            self.clients.burst(&plan, at, 160);
            self.sleep(250);
            self.fleet.kill(Role::Store, at);
            others.iter().for_each(|other| self.fleet.stall(Role::Store, *other, false));
        }
        self.fleet.kill(Role::Store, at);
        self.say(&format!("store-{} is killed{}", at + 1, if disk { ", its disk is lost" } else { "" }));
        if disk {
            self.fleet.wipe(Role::Store, at)?;
        }
        self.sleep(if disk { 1500 } else { 8000 });
        let took = (!disk).then(|| self.waited(from));
        self.fleet.start(Role::Store, at)?;
        self.trouble(from);
        self.say(&format!("store-{} is started again", at + 1));
        if let Some(took) = took {
            self.take("until all that a lost store held had run elsewhere", Some(took), TAKEN_OVER);
            self.takeovers.push(("store", took));
        }
        Ok(())
    }

    /// Until the last message that was accepted before a loss and had not run has run, where there is no ceiling.
    pub fn waited(&self, from: Micros) -> Micros {
        let now = self.recorder.now();
        let history = self.recorder.write();
        let mut first: HashMap<&str, Micros> = HashMap::new();
        for arrival in history.arrivals.iter().filter(|a| a.ran()) {
            let at = first.entry(&arrival.id).or_insert(arrival.at);
            *at = arrival.at.min(*at);
        }
        let accepted = |s: &&Sent| s.answered == Answered::Status(202) && s.answered_at < from;
        let before = history
            .sent
            .iter()
            .filter(accepted)
            .filter(|s| !["/cedar/", "/elm/"].contains(&s.prefix.as_str()));
        let run = |s: &Sent| first.get(s.id.as_str()).copied().unwrap_or(now);
        before.map(|s| run(s).saturating_sub(from.max(s.at + s.delay))).max().unwrap_or(0)
    }

    pub fn orderly(&mut self, role: Role, at: usize, name: &str) -> Plain<()> {
        self.say(&format!("{name} is asked to end"));
        let took = self.fleet.stop(role, at).map(|took| took.as_micros() as Micros);
        self.take(&format!("the end of {name} after SIGTERM"), took, 6 * SECOND);
        self.sleep(1000);
        self.fleet.start(role, at)?;
        self.say(&format!("{name} has ended and is started again"));
        Ok(())
    }

    pub fn lose_all(&mut self) -> Plain<()> {
        self.routes.push(("/hazel/", "alder", 4));
        let routes = self.routes.clone();
        let (body, acked) = self.operator.replace(90, &routes, &self.services, Duration::from_secs(10));
        let from = self.recorder.now();
        self.fleet.kill_all();
        self.take("the acknowledgement of version 90", acked, ACK);
        self.say("version 90 is acknowledged, and all nine are killed");
        self.sleep(1000);
        self.fleet.start_all()?;
        self.trouble(from);
        let begun = self.recorder.now();
        let read = self.operator.read(Duration::from_secs(10));
        let right = read.map(|read| read == body.as_bytes());
        self.answered("after the loss of all, version 90 is read back byte for byte", right);
        let back = self.clients.until_taken("/hazel/", 0, Duration::from_secs(15));
        let took = back.map(|at| at.saturating_sub(begun));
        self.take("a message on a route of version 90 after the loss of all", took, RECOVER);
        self.takeovers.extend(took.map(|took| ("all", took)));
        self.say("all run again");
        Ok(())
    }
}
