//! The control node: executors' and operators' calls, sessions of nodes, the configuration with the others, and news.

mod in_hand;
mod ledger;
mod report;
mod retire;
#[cfg(test)]
mod tests;

use crate::calls::{
    self, Call, Desk, Done, Heard, Heartbeat, InForce, Leave, ReadSettings, Replace, Replaced, RetireBegin,
    RetireRead, Settings,
};
use crate::links::Word;
use crate::net::{Answer, Bounds, ConnId, Event, Millis, Request};
use crate::node::{lot, Common};
use crate::report::Told;
use crate::signals::{Beat, Class, Hello, Member, Passed, PassedKind, Retiring, Signal, Standing};
use in_hand::{InHand, Origin};
use ledger::Ledger;
use std::net::SocketAddrV4;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use stileroute_charter::Config;
use stileroute_logbook::{Logbook, Options, Trouble};
use stileroute_pilotage::{Effect, Pilotage, Terms, Verdict};
use stileroute_roster::{Effect as Notice, Roster};

pub struct Core {
    common: Common,
    control: usize,
    pilot: Pilotage,
    disk: Logbook,
    disk_said: Receiver<(u64, Result<(), Trouble>)>,
    roster: Roster,
    in_hand: InHand,
    told: retire::Told,
    released: Option<Millis>,
    heard_at: Millis,
}

impl Core {
    pub fn new(mut common: Common) -> miette::Result<Core> {
        let boot = &common.boot;
        let at = boot
            .control
            .ok_or_else(|| miette::miette!("settings: bind_addresses.control: missing for this role"))?;
        let dir = boot
            .data_dir
            .clone()
            .ok_or_else(|| miette::miette!("settings: data_dir: missing for a control node"))?;
        let dir = dir.join("watch");
        std::fs::create_dir_all(&dir).map_err(|e| miette::miette!("{}: {e}", dir.display()))?;
        let (said, disk_said) = std::sync::mpsc::channel();
        let waker = std::sync::Arc::clone(&common.waker);
        let done = move |ticket, result| {
            let _ = said.send((ticket, result));
            let _ = waker.wake();
        };
        let options = Options {
            room: boot.means.disk_mb << 20,
            checkpoint_after: 4 << 20,
            lazy_sync: Duration::from_millis(200),
            ..Options::new("watch")
        };
        let (disk, ledger) = Logbook::open::<Ledger>(&dir, options, done)
            .map_err(|e| miette::miette!("{}: {e}", dir.display()))?;
        let losses = boot.losses.machines;
        let terms = Terms::new(at, boot.seeds.clone(), boot.first_start, losses, lot());
        let terms = Terms { places: boot.losses.places(), ..terms };
        let bounds = Bounds { body: LARGEST_BODY, ..Bounds::default() };
        let control =
            common.net.listen(at, Some(bounds)).map_err(|e| miette::miette!("control address: {e}"))?;
        let now = common.net.now();
        let me = member_of(common.links.me(), 0);
        let roster = Roster::new(me, lot(), common.boot.beat_interval_ms, now);
        let pilot = Pilotage::new(terms, ledger.0, now);
        tracing::info!(blank = pilot.blank(), epoch = pilot.watch().map_or(0, |w| w.epoch), "disk read");
        Ok(Core {
            control,
            pilot,
            disk,
            disk_said,
            roster,
            in_hand: InHand::new(lot()),
            told: retire::Told::default(),
            released: None,
            heard_at: 0,
            common,
        })
    }

    pub fn run(mut self) -> miette::Result<()> {
        loop {
            let now = self.common.net.now();
            let until = self.pilot.next(now).min(self.roster.next());
            let (words, events) = self.common.turn(until);
            words.into_iter().for_each(|word| self.word(word));
            events.into_iter().for_each(|event| self.event(event));
            self.inquiries();
            let now = self.common.net.now();
            self.pilot.tick(now);
            self.carry_out();
            self.connect();
            self.tell(now);
            self.look_after_retirements(now);
            self.give_up_overdue(now);
            if self.common.told_to_end() {
                self.pilot.release(now);
                self.carry_out();
            }
            if self.may_end(now) {
                self.common.net.flush_all();
                self.disk.stop();
                return Ok(());
            }
        }
    }

    /// The duty is with another, and calls that are in hand have been answered.
    fn may_end(&mut self, now: Millis) -> bool {
        let Some(since) = self.common.leaving_since else { return false };
        let released = self.released.is_some_and(|at| now > at + 400);
        if now > since + 300 {
            self.common.net.stop_listening(self.control);
        }
        (released && self.common.net.in_hand() == 0 && self.in_hand.len() == 0)
            || now > since + self.common.boot.bounds.grace_ms.saturating_sub(1500)
    }

    /// Of two control nodes the one with the lower address opens the connection.
    fn connect(&mut self) {
        if !self.common.stirred() {
            return;
        }
        let me = self.common.boot.ip;
        let mut all: Vec<std::net::Ipv4Addr> = self.common.boot.seeds.iter().map(|s| *s.ip()).collect();
        all.extend(self.pilot.watch().iter().flat_map(|w| w.voters.iter().map(|v| *v.ip())));
        all.extend(self.roster.members.iter().filter(|m| m.class == Class::Core).map(|m| m.ip));
        // One that is no seed is not known to the others: it opens the connections itself.
        let seed = self.common.boot.seeds.iter().any(|s| *s.ip() == me);
        let wanted: Vec<SocketAddrV4> = all
            .into_iter()
            .filter(|ip| {
                *ip > me || (!seed && *ip != me && self.common.links.hellos(Class::Core).all(|h| h.ip != *ip))
            })
            .map(|ip| self.common.links.address(ip, Class::Core))
            .collect();
        let now = self.common.net.now();
        self.common.links.want(now, wanted);
    }

    // ---- What is said ----

    fn word(&mut self, word: Word) {
        let now = self.common.net.now();
        match word {
            Word::Up(hello) if hello.class == Class::Core => {
                if let Some(control) = hello.control {
                    self.pilot.link(now, control, true);
                    self.pilot.learn(control);
                }
                self.roster.core_up(now, member_of(&hello, 0));
            }
            Word::Up(_) => {}
            Word::Down(node, Class::Core) => {
                let control = self.roster.members.iter().find(|m| m.node == node).and_then(|m| m.control);
                if let Some(control) = control {
                    self.pilot.link(now, control, false);
                }
                // It may have settled what was passed to it.
                for (place, kind) in self.in_hand.lost(node) {
                    self.said(place, kind.uncertain());
                }
                self.roster.core_down(node);
            }
            Word::Down(node, _) => self.roster.session_down(now, node),
            Word::Said(from, class, Signal::Ask { life, version, config, retiring })
                if class != Class::Core =>
            {
                if let Some(hello) = self.common.links.hello(from) {
                    let member = Member { retiring, ..member_of(hello, config) };
                    self.roster.asked(now, member, life, version);
                }
            }
            Word::Said(from, Class::Core, Signal::Pilot(signal)) => {
                if let Some(voter) = self.common.links.hello(from).and_then(|h| h.control) {
                    self.pilot.signal(now, voter, signal);
                }
            }
            Word::Said(from, Class::Core, Signal::Sessions(members)) => {
                self.roster.told_sessions(now, from, members)
            }
            Word::Said(_, Class::Core, Signal::Beats(beats)) => self.roster.told_beats(now, beats),
            Word::Said(from, Class::Core, Signal::Pass { ticket, call }) => {
                let place = self.in_hand.open(now, Origin::Core(from, ticket));
                if let Some(answer) = self.settle_passed(place, call) {
                    self.said(place, answer);
                }
            }
            Word::Said(from, Class::Core, Signal::Settled { ticket, status, body })
                if self.in_hand.waits_for(ticket, from) =>
            {
                let retry = if status == 503 { vec![("Retry-After", "1".to_string())] } else { Vec::new() };
                self.said(ticket, Answer { status, json: true, body, headers: retry, close: false });
            }
            Word::Said(..) => {}
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.common.net.now();
        match event {
            Event::Woken => {
                while let Ok((ticket, result)) = self.disk_said.try_recv() {
                    if let Err(error) = &result {
                        tracing::error!(%error, "disk refuses");
                    }
                    self.pilot.kept(now, ticket, result.is_ok());
                }
            }
            Event::Request { conn, request, .. } => self.request(conn, &request),
            _ => {}
        }
    }

    fn request(&mut self, conn: ConnId, request: &Request) {
        let place = self.in_hand.open(self.common.net.now(), Origin::Client(conn));
        let answer = calls::handle::<Heartbeat, _>(self, place, request)
            .or_else(|| calls::handle::<Leave, _>(self, place, request))
            .or_else(|| calls::handle::<Replace, _>(self, place, request))
            .or_else(|| calls::handle::<ReadSettings, _>(self, place, request))
            .or_else(|| calls::handle::<RetireBegin, _>(self, place, request))
            .or_else(|| calls::handle::<RetireRead, _>(self, place, request));
        match answer {
            Some(Some(answer)) => self.said(place, answer),
            Some(None) => {}
            None => self.said(place, Answer::bare(404)),
        }
    }

    /// A call that another control node passed on.
    fn settle_passed(&mut self, place: u64, call: Passed) -> Option<Answer> {
        match call {
            Passed::Replace { body, .. } => match Replace::read("", &body) {
                Ok(call) => self.settle(place, call).map(Answer::from),
                Err(reason) => Some(calls::fault(400, &reason)),
            },
            Passed::Read => self.settle(place, ReadSettings).map(Answer::from),
            Passed::RetireBegin { node } => self.settle(place, RetireBegin { node }).map(Answer::from),
            Passed::RetireRead { node } => self.settle(place, RetireRead { node }).map(Answer::from),
        }
    }

    fn said(&mut self, place: u64, answer: Answer) {
        match self.in_hand.close(place) {
            Some(Origin::Client(conn)) => {
                let close = self.common.leaving_since.is_some();
                self.common.net.answer(conn, Answer { close, ..answer });
            }
            Some(Origin::Core(node, ticket)) => {
                let signal = Signal::Settled { ticket, status: answer.status, body: answer.body };
                self.common.links.say(&mut self.common.net, node, &signal);
            }
            None => {}
        }
    }

    /// What this node can't settle goes to the one that can, if it is known and there.
    fn pass(&mut self, place: u64, primary: Option<SocketAddrV4>) {
        let to = primary.and_then(|p| self.common.links.by_control(p));
        let call = to.and_then(|to| self.in_hand.pass(place, to));
        let sent = to.zip(call).is_some_and(|(to, call)| {
            self.common.links.say(&mut self.common.net, to, &Signal::Pass { ticket: place, call })
        });
        if let Some(kind) = self.in_hand.kind(place).filter(|_| !sent) {
            self.said(place, kind.not_now());
        }
    }

    /// The one that was to settle them has said nothing for too long.
    fn give_up_overdue(&mut self, now: Millis) {
        for (place, kind) in self.in_hand.overdue(now) {
            self.said(place, kind.uncertain());
        }
    }

    fn carry_out(&mut self) {
        loop {
            let effects = self.pilot.take();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.effect(effect));
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, signal } => {
                if let Some(node) = self.common.links.by_control(to) {
                    self.common.links.say(&mut self.common.net, node, &Signal::Pilot(signal));
                }
            }
            Effect::Keep { ticket, record } => {
                self.disk.append(ticket, vec![ledger::bytes(&record)], true);
            }
            Effect::Answer { ticket, verdict } => self.answered(ticket, verdict),
            Effect::Chart { ticket, chart } => {
                let settings = chart.map_or(Settings::None, |chart| Settings::Whole(chart.body));
                self.said(ticket, settings.into());
            }
            Effect::InForce { .. } => self.in_force(),
            Effect::Turn { epoch, what } => tracing::info!(epoch, what, "control duty"),
            Effect::Released => self.released = Some(self.common.net.now()),
        }
    }

    /// How an order to the primary ended.
    fn answered(&mut self, place: u64, verdict: Verdict) {
        let Some(kind) = self.in_hand.kind(place) else { return };
        match verdict {
            Verdict::NotPrimary { primary } => self.pass(place, primary),
            Verdict::Uncertain => self.said(place, kind.uncertain()),
            Verdict::NotDone => self.said(place, kind.not_now()),
            Verdict::Accepted | Verdict::Unchanged if kind == PassedKind::RetireBegin => {
                self.in_hand.await_store(place);
            }
            Verdict::Accepted | Verdict::Unchanged => {
                let answer = self.acknowledged(place, verdict).map_or_else(|| kind.uncertain(), Answer::from);
                self.said(place, answer);
            }
        }
    }

    /// What is in force as a change is acknowledged: the one that was sent, or the one by which it was found to be none.
    fn acknowledged(&self, place: u64, verdict: Verdict) -> Option<Replaced> {
        let (version, body) = self.in_hand.configuration(place)?;
        if verdict == Verdict::Accepted {
            return Some(Replaced::InForce(InForce::new(version, body, true)));
        }
        let held = self.pilot.held();
        Some(Replaced::InForce(InForce::new(held.version, &held.body, body == held.body)))
    }

    /// The replicated value changed: the configuration may have, or which stores are retired.
    fn in_force(&mut self) {
        let Some(chart) = self.pilot.in_force() else { return };
        let known = self.common.config.as_ref().map_or(0, |config| config.revision);
        if chart.version > 0 && chart.version != known {
            tracing::info!(version = chart.version, "configuration in force");
            self.common.config = Config::read(&chart.body).ok().map(std::sync::Arc::new);
        }
    }

    /// A control node in an executor's own zone, where this one is in another: a beat there crosses none. Bare, as an address
    /// and port; a URL is not followed.
    fn near_core(&self, zone: &str) -> Option<String> {
        if self.common.boot.zone == zone {
            return None;
        }
        let near = self.common.links.hellos(Class::Core).find(|h| h.zone == zone)?;
        near.control.map(|at| at.to_string())
    }

    /// Who is there, and who is told of it.
    fn tell(&mut self, now: Millis) {
        let in_touch = self.pilot.in_touch(now);
        if now >= self.heard_at {
            self.heard_at = now + HEARD;
            for core in self.common.links.class(Class::Core) {
                if let Some(at) = self.common.links.heard(core) {
                    self.roster.core_heard(core, at);
                }
            }
        }
        let force = self.pilot.in_force().filter(|chart| chart.version > 0);
        let force = force.map(|chart| (chart.version, chart.body.as_slice()));
        self.roster.tick(now, in_touch, force);
        for effect in self.roster.take() {
            let (to, signal) = match effect {
                Notice::News { to, news } => (vec![to], Signal::News(news)),
                Notice::AllBeats { to, beats } => (vec![to], Signal::Beats(beats)),
                Notice::TellBeats(beats) => (self.common.links.class(Class::Core), Signal::Beats(beats)),
                Notice::TellSessions(all) => (self.common.links.class(Class::Core), Signal::Sessions(all)),
            };
            for node in to {
                self.common.links.say(&mut self.common.net, node, &signal);
            }
        }
    }
}

/// Longest body of a call that is read at all; each kind of call has a bound of its own below it.
const LARGEST_BODY: usize = 8 << 20;
/// How often it is looked when other control nodes were heard.
const HEARD: Millis = 200;

fn member_of(hello: &Hello, config: u64) -> Member {
    Member {
        node: hello.node,
        name: hello.name.clone(),
        class: hello.class,
        zone: hello.zone.clone(),
        ip: hello.ip,
        life: hello.life,
        control: hello.control,
        config,
        retiring: Retiring::No,
    }
}

impl Desk<Heartbeat> for Core {
    fn settle(&mut self, _: u64, call: Heartbeat) -> Option<Heard> {
        let now = self.common.net.now();
        let beat_url = self.near_core(&call.zone);
        self.roster.beat(
            now,
            Beat {
                id: call.id,
                backend: call.backend,
                address: call.address,
                zone: call.zone,
                capacity: call.capacity,
                standing: if call.draining { Standing::Draining } else { Standing::Serving },
                cold_left_ms: call.cold_left_ms,
                call_count: call.call_count,
                age_ms: 0,
            },
        );
        // Cut off from the others it could not tell them: the executor is to tell another as well.
        Some(Heard { beat_url, told: self.pilot.in_touch(now) || !self.roster.ready })
    }
}

impl Desk<Leave> for Core {
    fn settle(&mut self, _: u64, call: Leave) -> Option<Done> {
        self.roster.leave(&call.id);
        Some(Done)
    }
}

impl Desk<Replace> for Core {
    fn settle(&mut self, place: u64, call: Replace) -> Option<Replaced> {
        let now = self.common.net.now();
        self.in_hand.keep(place, Passed::Replace { version: call.version, body: call.body.clone() });
        self.pilot.replace(now, place, call.version, call.body);
        self.carry_out();
        None
    }
}

impl Desk<ReadSettings> for Core {
    fn settle(&mut self, place: u64, _: ReadSettings) -> Option<Settings> {
        let now = self.common.net.now();
        self.in_hand.keep(place, Passed::Read);
        self.pilot.read(now, place);
        self.carry_out();
        None
    }
}
