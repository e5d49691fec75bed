//! Control nodes that lose contact with the others, and with nobody else; and a primary that freezes with a change in its hands.

use crate::control::{kind, Numbers};
use crate::executor::Executor;
use crate::fleet::{Controls, Plain, Role, Towards};
use crate::history::{Content, History, Isolation, Micros, Read, SECOND};
use crate::http::{self, Connection};
use crate::operator::{ask, Operator, Routes, NO_ROUND, REPLACE};
use crate::scenarios::marker;
use crate::schedule::{Schedule, ACK};
use crate::setup::Running;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const LONG_MS: u64 = 20_000;
const SHORT_MS: u64 = 4_000;
/// A change is acknowledged by the others so soon after the primary lost contact.
const TAKEN_OVER: Micros = 3 * SECOND;
/// A change that waits at a control node ends by then, one way or another.
const UNCLEAR_ENDS_MS: u64 = 2_700;
/// Between two orders of one operator.
const PAUSE_MS: u64 = 60;
/// Changes that the others try to get in force before one that the primary had begun.
const OVERTAKEN: usize = 3;
/// The executor drains long after the lease has ended.
const DRAINS_AFTER_MS: u64 = 4_000;
const FREEZE_MS: u64 = 2_500;
/// Routes of a configuration whose answer is larger than what the sockets between hold.
const MANY_ROUTES: u64 = 3_000;

pub fn play(mut running: Running, numbers: &Numbers) -> Plain<History> {
    running.schedule.sleep(1000);
    running.isolate(Towards::Both, LONG_MS, true, numbers)?;
    running.isolate(Towards::Others, SHORT_MS, false, numbers)?;
    running.isolate(Towards::Itself, SHORT_MS, false, numbers)?;
    let schedule = &mut running.schedule;
    for span_ms in [600, 1_400] {
        schedule.heal_while_a_change_waits(span_ms, numbers)?;
    }
    for after_us in [200, 1_000] {
        schedule.freeze_with_a_change(after_us, numbers)?;
    }
    running.end_load();
    running.schedule.sleep(1000);
    Ok(running.end(&[0, 1, 2], Duration::from_secs(10)))
}

/// An operator that reaches one control node alone, and keeps sending and reading.
pub fn press_on(
    schedule: &Schedule,
    to: SocketAddrV4,
    numbers: &Numbers,
    over: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let operator = Operator::new(Arc::new(Mutex::new(vec![to])), &schedule.recorder);
    let (base, services) = (schedule.routes.clone(), schedule.services.clone());
    let first = schedule.first_body();
    let (numbers, over, recorder) = (numbers.clone(), Arc::clone(over), Arc::clone(&schedule.recorder));
    std::thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            let number = numbers.next();
            let body = operator.prepare(number, &with_marker(&base, number), &services);
            operator.send_to(to, &body);
            operator.read_once(to, NO_ROUND);
            // Nor does it know any more whether an order that changes nothing is acknowledged, or who is there.
            operator.send_to(to, &first);
            ask(&recorder, to, "POST", "/v1/retire/store-99/begin", b"{\"deadline_s\":20}");
            std::thread::sleep(Duration::from_millis(PAUSE_MS));
        }
    })
}

pub fn with_marker(base: &Routes, number: u64) -> Routes {
    let mut routes = base.clone();
    routes.push((marker(number), "alder", 4));
    routes
}

impl Running {
    /// The primary loses contact with the other control nodes, with an operator on each side.
    fn isolate(&mut self, towards: Towards, span_ms: u64, drain: bool, numbers: &Numbers) -> Plain<()> {
        let schedule = &mut self.schedule;
        let primary = schedule.primary()?;
        let isolated = schedule.fleet.control(primary);
        let draining = if drain { Some(self.start_draining(primary)?) } else { None };
        let schedule = &mut self.schedule;
        let name = match towards {
            Towards::Both => "cut off",
            Towards::Others => "not heard by the others",
            Towards::Itself => "deaf to the others",
        };
        let over = Arc::new(AtomicBool::new(false));
        let from = schedule.recorder.now();
        schedule.fleet.cut_towards(Role::Core, primary, &[Role::Core], towards, true);
        schedule.say(&format!("core-{}, which leads, is {name} for {} s", primary + 1, span_ms / 1000));
        let other_side = press_on(schedule, isolated, numbers, &over);
        let leaving = draining.map(|(executor, controls)| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(DRAINS_AFTER_MS));
                // The others have just heard that it serves; that it drains it tells the isolated one alone.
                *controls.lock().unwrap_or_else(PoisonError::into_inner) = vec![isolated];
                executor.leave();
            })
        });
        schedule.go_on_without(primary, from, from + span_ms * 1000, name, numbers);

        schedule.fleet.cut_towards(Role::Core, primary, &[Role::Core], towards, false);
        let to = schedule.recorder.now();
        let control = isolated.to_string();
        schedule.recorder.write().isolations.push(Isolation { control, from, to });
        schedule.back_in_contact(isolated, to, name);
        over.store(true, Ordering::Relaxed);
        let _ = other_side.join();
        leaving.map(JoinHandle::join);
        schedule.sleep(UNCLEAR_ENDS_MS);
        schedule.agreed(name);
        Ok(())
    }

    /// An executor that calls another control node than the primary, and where it finds it.
    fn start_draining(&mut self, primary: usize) -> Plain<(Arc<Executor>, Controls)> {
        let schedule = &self.schedule;
        let other = schedule.fleet.here(Role::Core).into_iter().find(|at| *at != primary).unwrap_or(0);
        let controls = Arc::new(Mutex::new(vec![schedule.fleet.control(other)]));
        let at = schedule.fleet.outside(20, 9000);
        let (kind, found) = (kind("alder"), Arc::clone(&controls));
        let executor = Executor::start("alder-20", at, kind, found, &schedule.recorder, &self.runs)?;
        schedule.sleep(1500);
        Ok((executor, controls))
    }
}

impl Schedule {
    pub fn primary(&self) -> Plain<usize> {
        self.fleet.primary().ok_or_else(|| "no control node says that it leads".to_string())
    }

    /// An operator that reaches all but one: a change comes in force within the bounds, and then one after the other.
    fn go_on_without(&mut self, primary: usize, from: Micros, until: Micros, name: &str, numbers: &Numbers) {
        let others: Vec<usize> =
            self.fleet.here(Role::Core).into_iter().filter(|at| *at != primary).collect();
        let to: Vec<SocketAddrV4> = others.iter().map(|at| self.fleet.control(*at)).collect();
        let mut operator = Operator::new(Arc::new(Mutex::new(to.clone())), &self.recorder);
        let services = self.services.clone();
        // A service of its own for one route: a store or an edge that goes by the old version is seen.
        let (old, new) = if self.routes[2].1 == "birch" { ("birch", "alder") } else { ("alder", "birch") };
        self.routes[2].1 = new;
        let (acked, first) = self.first_change_of_others(&mut operator, to[0], from, numbers);
        self.take(&format!("the acknowledgement by the others (the primary is {name})"), acked, TAKEN_OVER);
        let force = self.in_force(first, name);
        let ms = |span: Option<Micros>| span.map_or("never".to_string(), |us| format!("{} ms", us / 1000));
        self.say(&format!(
            "the others acknowledge after {}, every edge has it {} later; {old} is out of date for one route",
            ms(acked),
            ms(force)
        ));
        self.routes.push((marker(first), "alder", 4));
        let mut turn = 0;
        while self.recorder.now() < until {
            let number = numbers.next();
            operator.first = Some(to[turn % to.len()]);
            let (_, acked) = operator.replace(
                number,
                &with_marker(&self.routes, number),
                &services,
                Duration::from_secs(5),
            );
            if acked.is_none() {
                self.take(
                    &format!("the acknowledgement of version {number} (the primary is {name})"),
                    None,
                    ACK,
                );
            }
            operator.read_once(to[(turn + 1) % to.len()], NO_ROUND);
            turn += 1;
            self.sleep(PAUSE_MS);
        }
        self.say(&format!("{turn} more changes at the others"));
    }

    /// A change at the others that is in force itself, and when the first was acknowledged. One of a higher number that the
    /// primary had begun may be in force instead: then it is acknowledged and changes nothing.
    fn first_change_of_others(
        &mut self,
        operator: &mut Operator,
        other: SocketAddrV4,
        from: Micros,
        numbers: &Numbers,
    ) -> (Option<Micros>, u64) {
        let services = self.services.clone();
        let mut acked = None;
        for _ in 0..OVERTAKEN {
            let number = numbers.next();
            let routes = with_marker(&self.routes, number);
            let (_, took) = operator.replace(number, &routes, &services, Duration::from_secs(8));
            acked = acked.or(took.map(|_| self.acked(number) - from));
            if operator.read_once(other, NO_ROUND) == Some(number) {
                return (acked, number);
            }
        }
        (acked, 0)
    }

    /// The configuration that the schedule began with, as it was sent.
    fn first_body(&self) -> String {
        let history = self.recorder.write();
        let first = history.versions.first().map(|version| version.body.clone()).unwrap_or_default();
        String::from_utf8(first).unwrap_or_default()
    }

    /// How long until a node that was isolated says again what is current.
    fn back_in_contact(&mut self, node: SocketAddrV4, from: Micros, name: &str) {
        let until = Instant::now() + Duration::from_secs(6);
        let mut back = None;
        while back.is_none() && Instant::now() < until {
            back = self.operator.read_once(node, NO_ROUND).map(|_| self.recorder.now() - from);
            self.sleep(10);
        }
        self.take(&format!("an answer of the node that was {name}"), back, ACK);
        let ms = back.map_or("never".to_string(), |us| format!("after {} ms", us / 1000));
        self.say(&format!("they are in contact again, and it answers {ms}"));
    }

    /// A change is sent to the primary alone, in `asked`; whether it was acknowledged is told at the end.
    fn send_late(&mut self, to: SocketAddrV4, numbers: &Numbers) -> (String, JoinHandle<Option<u16>>) {
        let number = numbers.next();
        let body = self.operator.prepare(number, &with_marker(&self.routes, number), &self.services);
        let sent = body.clone();
        let asked = std::thread::spawn(move || {
            let said = http::call(to, "POST", REPLACE, sent.as_bytes(), Duration::from_secs(8));
            said.ok().map(|message| message.status())
        });
        (body, asked)
    }

    fn end_late(&mut self, body: &str, asked: JoinHandle<Option<u16>>) -> Option<u16> {
        let said = asked.join().ok().flatten();
        if said == Some(200) {
            self.operator.acknowledged(body);
        }
        said
    }

    /// A short cut with a change in the primary's hands: it waits when contact comes back.
    fn heal_while_a_change_waits(&mut self, span_ms: u64, numbers: &Numbers) -> Plain<()> {
        let primary = self.primary()?;
        let to = self.fleet.control(primary);
        let from = self.recorder.now();
        self.fleet.cut(Role::Core, primary, &[Role::Core], true);
        let (body, asked) = self.send_late(to, numbers);
        self.sleep(span_ms);
        self.fleet.cut(Role::Core, primary, &[Role::Core], false);
        let healed = self.recorder.now();
        self.recorder.write().isolations.push(Isolation { control: to.to_string(), from, to: healed });
        let said = self.end_late(&body, asked);
        let took = self.recorder.now() - healed;
        self.say(&format!(
            "a cut of {span_ms} ms with a change at core-{}: it says {} {} ms after",
            primary + 1,
            said.unwrap_or(0),
            took / 1000
        ));
        self.change_acknowledged("after a short cut", numbers);
        self.sleep(UNCLEAR_ENDS_MS.saturating_sub(took / 1000));
        self.agreed("a cut that heals while a change waits");
        Ok(())
    }

    pub fn change_acknowledged(&mut self, why: &str, numbers: &Numbers) -> Option<Micros> {
        let number = numbers.next();
        let (routes, services) = (with_marker(&self.routes, number), self.services.clone());
        let (_, acked) = self.operator.replace(number, &routes, &services, Duration::from_secs(10));
        self.take(&format!("the acknowledgement of version {number} ({why})"), acked, ACK);
        acked
    }

    /// The primary freezes with a change in its hands and a large answer half written, for longer than its lease.
    fn freeze_with_a_change(&mut self, after_us: u64, numbers: &Numbers) -> Plain<()> {
        let primary = self.primary()?;
        let to = self.fleet.control(primary);
        let large = self.large_configuration(numbers);
        let half = self.read_half(to)?;
        let (body, asked) = self.send_late(to, numbers);
        std::thread::sleep(Duration::from_micros(after_us));
        let from = self.recorder.now();
        self.fleet.stall(Role::Core, primary, true);
        self.say(&format!("core-{}, which leads, is frozen with a change and half an answer", primary + 1));
        self.operator.first = self
            .fleet
            .here(Role::Core)
            .into_iter()
            .find(|at| *at != primary)
            .map(|at| self.fleet.control(at));
        self.change_acknowledged("the primary is frozen with a change", numbers);
        self.sleep(FREEZE_MS.saturating_sub((self.recorder.now() - from) / 1000));
        self.fleet.stall(Role::Core, primary, false);
        let woke = self.recorder.now();
        self.recorder.write().freezes.push((from, woke));
        self.read_rest(half, to, large.len());
        let said = self.end_late(&body, asked);
        let ms = (self.recorder.now() - woke) / 1000;
        self.say(&format!("it wakes, and says {} to the change, {ms} ms after", said.unwrap_or(0)));
        self.sleep(UNCLEAR_ENDS_MS.saturating_sub(ms));
        self.agreed("a freeze with a change in hand");
        Ok(())
    }

    /// A configuration that no socket holds whole comes in force.
    fn large_configuration(&mut self, numbers: &Numbers) -> String {
        let number = numbers.next();
        let mut routes = with_marker(&self.routes, number);
        routes.extend((0..MANY_ROUTES).map(|one| (marker(1_000_000 + one), "alder", 4)));
        let services = self.services.clone();
        let (body, acked) = self.operator.replace(number, &routes, &services, Duration::from_secs(10));
        self.take(&format!("the acknowledgement of version {number} with {} bytes", body.len()), acked, ACK);
        body
    }

    /// Asks for the configuration, and reads the beginning of the answer only.
    fn read_half(&mut self, to: SocketAddrV4) -> Plain<(Micros, Connection)> {
        let at = self.recorder.now();
        let mut connection =
            Connection::connect(to, Duration::from_secs(1)).map_err(|e| format!("{to}: {e:?}"))?;
        connection.write(
            format!("GET /v1/settings/read HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n").as_bytes(),
        );
        self.sleep(50);
        Ok((at, connection))
    }

    fn read_rest(&mut self, half: (Micros, Connection), to: SocketAddrV4, length: usize) {
        let (at, mut connection) = half;
        let message = connection.read_message(Instant::now() + Duration::from_secs(5));
        let Some(message) = message.ok().flatten() else {
            self.say("the answer that was half written ends in the middle");
            return;
        };
        if message.status() != 200 {
            return;
        }
        let (answered_at, content, control) =
            (self.recorder.now(), Content::of(&message.body), to.to_string());
        let mut history = self.recorder.write();
        let version = history.versions.iter().rev().find(|v| v.body == message.body).map(|v| v.number);
        history.reads.push(Read { round: NO_ROUND, at, answered_at, control, version, content });
        drop(history);
        self.say(&format!(
            "the answer that was half written comes whole: {} of {length} bytes",
            message.body.len()
        ));
    }
}
