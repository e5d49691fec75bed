//! Who lives: probes, directly and by way of others, suspicion that the suspected can refute, and news that rides on every
//! message. Each instance sends and hears about as much, however many there are.

use crate::table::{Count, Entry, How, Member, State, Table};
use crate::wire::{room, Dropped, Key, Kind, Message};
use crate::{Time, SECOND};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How often and how patiently, and where the others are first looked for.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Any of the others; one that answers is enough.
    pub seeds: Vec<SocketAddrV4>,
    pub key: Option<Key>,
    /// One member is probed so often; a tenth of it is the least that a tick should wait.
    pub every: Time,
    /// After so long without an answer others are asked to probe it.
    pub timeout: Time,
    /// So many others.
    pub indirect: usize,
    /// A suspicion lasts so many probes times the logarithm of the number of members at least.
    pub patience: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        let seeds = Vec::new();
        Settings { seeds, key: None, every: SECOND, timeout: SECOND * 3 / 10, indirect: 3, patience: 3.0 }
    }
}

/// A message that is to go out.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    pub to: SocketAddrV4,
    pub text: Vec<u8>,
}

/// What happened so far, for figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub garbled: u64,
    pub strangers: u64,
    pub replayed: u64,
    /// Suspicions that began here, and those of this instance that it refuted.
    pub suspected: u64,
    pub refuted: u64,
    /// Times that this instance was found to have stood still.
    pub stood_still: u64,
    /// Another process has the same id and lives.
    pub conflicts: u64,
}

/// A probe that is out.
struct Probe {
    id: u64,
    seq: u32,
    /// When others are asked, and when it has failed.
    ask_at: Time,
    over_at: Time,
    asked: bool,
    /// How many of those asked have said that they hear us but not it.
    nacks: usize,
}

/// A probe that another has asked for.
struct Errand {
    seq: u32,
    their_seq: u32,
    to: SocketAddrV4,
    nack_at: Time,
    over_at: Time,
}

/// A suspicion: it is confirmed when its time is over, and that comes sooner the more others share it.
struct Suspicion {
    begun: Time,
    by: Vec<u64>,
}

/// News that still rides along, and how often it has.
struct News {
    entry: Entry,
    rides: usize,
}

/// The worse this instance hears, the longer it waits before it holds that against others; at most so much longer.
const DEAFEST: usize = 8;
/// News rides along so many times the natural logarithm of the number of members.
const RIDES: f64 = 2.0;
/// From the longest to the shortest time that a suspicion lasts.
const LONGER: f64 = 6.0;
/// So many others that share it make it last the shortest time.
const SHARED: usize = 3;
/// Whoever seems dead is looked for again so often, in case only the way between was: and the seeds, while alone.
const AGAIN: Time = 5 * SECOND;
/// For so long after its start a process takes one of its name with a later life for the one before it, whose clock was set
/// back since; from then on for its successor.
const YOUNG: Time = 10 * SECOND;
/// All that another holds is asked for so often for every so many members, so that it costs the same in a large fleet;
/// more often after a start, and after having been held dead.
const WHOLE: Time = 30 * SECOND;
const WHOLE_OF: f64 = 50.0;

pub struct Members {
    settings: Settings,
    /// What this instance tells of itself.
    own: Entry,
    number: u64,
    seq: u32,
    table: Table,
    order: Vec<u64>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    suspicions: BTreeMap<u64, Suspicion>,
    news: Vec<News>,
    /// How badly this instance hears: nought is well.
    deaf: usize,
    next_probe: Time,
    next_again: Time,
    next_whole: Time,
    whole_every: Time,
    last_tick: Option<Time>,
    born: Option<Time>,
    /// It has left, or another process has taken its place.
    pub over: bool,
    chance: Pcg64Mcg,
    pub figures: Figures,
}

impl Members {
    /// `life` must be higher than that of the process before, if there was one: Unix time does, and where it was set back
    /// the instance hears of its former death and answers it.
    pub fn new(id: u64, life: u64, at: SocketAddrV4, domain: u8, settings: Settings, seed: u64) -> Members {
        Members {
            settings,
            own: Entry { id, life, at, domain, state: State::Alive, by: 0 },
            number: 0,
            seq: 0,
            table: Table::default(),
            order: Vec::new(),
            probe: None,
            errands: Vec::new(),
            suspicions: BTreeMap::new(),
            news: Vec::new(),
            deaf: 0,
            next_probe: 0,
            next_again: 0,
            next_whole: 0,
            whole_every: SECOND,
            last_tick: None,
            born: None,
            over: false,
            chance: Pcg64Mcg::seed_from_u64(seed),
            figures: Figures::default(),
        }
    }

    pub fn own(&self) -> &Entry {
        &self.own
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members.values()
    }

    pub fn count(&self, now: Time) -> Count {
        self.table.count(now, self.own.domain)
    }

    /// How many live, this instance among them.
    fn living(&self) -> f64 {
        1.0 + self.table.living() as f64
    }

    /// How often news rides along: so often it gets to all, but for a vanishing part.
    fn rides(&self) -> usize {
        (RIDES * (self.living() + 1.0).ln()).ceil() as usize
    }

    /// Longer while this instance hears badly.
    fn patient(&self, time: Time) -> Time {
        time * (1 + self.deaf as Time)
    }

    fn hears(&mut self, worse: bool) {
        self.deaf = if worse { (self.deaf + 1).min(DEAFEST) } else { self.deaf.saturating_sub(1) };
    }

    fn seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    // ---- What goes out ----

    fn send(&mut self, out: &mut Vec<Send>, to: SocketAddrV4, kind: Kind, mut entries: Vec<Entry>) {
        let rides = self.rides();
        let left = room().saturating_sub(entries.len());
        // What has ridden least goes first; what has ridden enough is dropped.
        self.news.sort_by_key(|news| news.rides);
        for news in self.news.iter_mut().take(left) {
            news.rides += 1;
            entries.push(news.entry);
        }
        self.news.retain(|news| news.rides < rides);
        self.number += 1;
        let message = Message { from: self.own.id, life: self.own.life, number: self.number, kind, entries };
        let text = message.write(self.settings.key.as_ref());
        self.figures.sent += 1;
        self.figures.sent_bytes += text.len() as u64;
        out.push(Send { to, text });
    }

    fn spread(&mut self, entry: Entry) {
        self.news.retain(|news| news.entry.id != entry.id);
        self.news.push(News { entry, rides: 0 });
    }

    /// Some living members, but for some.
    fn some(&mut self, count: usize, but: &[u64]) -> Vec<(u64, SocketAddrV4)> {
        let living: Vec<(u64, SocketAddrV4)> = self
            .table
            .members
            .values()
            .filter(|member| member.entry.state == State::Alive && !but.contains(&member.entry.id))
            .map(|member| (member.entry.id, member.entry.at))
            .collect();
        living.sample(&mut self.chance, count).copied().collect()
    }

    // ---- Time ----

    /// What time has brought about. To be called at least ten times in each probing interval.
    pub fn tick(&mut self, now: Time) -> Vec<Send> {
        let mut out = Vec::new();
        if self.over {
            return out;
        }
        self.born.get_or_insert(now);
        self.stood_still(now);
        self.errands_over(now, &mut out);
        self.probe_over(now, &mut out);
        self.suspicions_over(now);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.every;
            self.probe_next(now, &mut out);
        }
        if now >= self.next_again {
            self.next_again = now + if self.alone() { SECOND } else { AGAIN };
            self.look_again(&mut out);
        }
        if now >= self.next_whole {
            self.next_whole = now + self.whole_every;
            let most = WHOLE as f64 * (self.living() / WHOLE_OF).max(1.0);
            self.whole_every = (self.whole_every * 2).min(most as Time);
            if let Some((_, at)) = self.some(1, &[]).pop() {
                self.send(&mut out, at, Kind::Sync { from: 0 }, vec![self.own]);
            }
            self.table.forget(now);
        }
        out
    }

    fn alone(&self) -> bool {
        self.table.living() == 0
    }

    /// Between two ticks far more time has gone than should have: this instance stood still, and has heard nobody. That
    /// says nothing of the others; all that runs out is put off by as much.
    fn stood_still(&mut self, now: Time) {
        let gap = self.last_tick.map_or(0, |last| now - last);
        self.last_tick = Some(now);
        if gap <= self.settings.every {
            return;
        }
        self.figures.stood_still += 1;
        self.deaf = DEAFEST;
        self.suspicions.values_mut().for_each(|suspicion| suspicion.begun += gap);
        self.probe = None;
        self.errands.clear();
    }

    fn probe_next(&mut self, now: Time, out: &mut Vec<Send>) {
        if self.probe.is_some() {
            return;
        }
        // Each once in a round, in an order of its own: nobody is left out for long, and no two go round in step.
        let next = loop {
            match self.order.pop() {
                Some(id) if self.table.lives(id) => break Some(id),
                Some(_) => {}
                None => {
                    let living = self.table.members.iter().filter(|(_, m)| m.entry.state < State::Dead);
                    self.order = living.map(|(id, _)| *id).collect();
                    self.order.shuffle(&mut self.chance);
                    if self.order.is_empty() {
                        break None;
                    }
                }
            }
        };
        let Some(id) = next else { return };
        let (at, seq) = (self.table.members[&id].entry.at, self.seq());
        let (ask_at, over_at) =
            (now + self.patient(self.settings.timeout), now + self.patient(self.settings.every));
        self.probe = Some(Probe { id, seq, ask_at, over_at, asked: false, nacks: 0 });
        // One that is suspected is told so first, that it may answer.
        let entry = self.table.members[&id].entry;
        let told = if entry.state == State::Suspect { vec![entry] } else { Vec::new() };
        self.send(out, at, Kind::Ping { seq, id }, told);
    }

    fn probe_over(&mut self, now: Time, out: &mut Vec<Send>) {
        let Some(probe) = &mut self.probe else { return };
        let (id, seq) = (probe.id, probe.seq);
        if now >= probe.ask_at && !probe.asked {
            probe.asked = true;
            let at = self.table.members.get(&id).map(|member| member.entry.at);
            let others = self.some(self.settings.indirect, &[id]);
            for (_, other) in others {
                at.iter()
                    .for_each(|at| self.send(out, other, Kind::Request { seq, id, at: *at }, Vec::new()));
            }
        }
        let Some(probe) = self.probe.take_if(|probe| now >= probe.over_at) else { return };
        let Some(held) = self.table.members.get(&id).map(|member| member.entry) else { return };
        // Those asked would have said that they hear us: that they don't either may be our own ears.
        let asked = self.settings.indirect.min(self.table.members.len().saturating_sub(1));
        self.hears(probe.asked && probe.nacks < asked.div_ceil(2) && asked > 0);
        let entry = Entry { state: State::Suspect, by: self.own.id, ..held };
        if held.state == State::Alive {
            self.figures.suspected += 1;
        }
        self.suspect(now, entry, How::Silent);
    }

    /// Holds a member suspect, or counts one more who does.
    fn suspect(&mut self, now: Time, entry: Entry, how: How) {
        let by = entry.by;
        if self.table.take(now, entry, how) {
            self.suspicions.insert(entry.id, Suspicion { begun: now, by: vec![by] });
            self.spread(entry);
        } else if let Some(suspicion) = self.suspicions.get_mut(&entry.id) {
            let same =
                self.table.members.get(&entry.id).is_some_and(|member| member.entry.life == entry.life);
            if same && !suspicion.by.contains(&by) && suspicion.by.len() <= SHARED {
                suspicion.by.push(by);
                // That others share it is worth telling on.
                self.spread(entry);
            }
        }
    }

    fn suspicions_over(&mut self, now: Time) {
        let least = self.settings.patience * self.living().log10().max(1.0) * self.settings.every as f64;
        let most = least * LONGER;
        let deaf = 1.0 + self.deaf as f64 / DEAFEST as f64;
        let mut over = Vec::new();
        self.suspicions.retain(|id, suspicion| {
            let Some(member) = self.table.members.get(id) else { return false };
            if member.entry.state != State::Suspect {
                return false;
            }
            let shared = (suspicion.by.len() as f64).ln() / ((SHARED + 1) as f64).ln();
            let lasts = (most - (most - least) * shared.min(1.0)) * deaf;
            let ends = now >= suspicion.begun + lasts as Time;
            if ends {
                over.push(Entry { state: State::Dead, by: 0, ..member.entry });
            }
            !ends
        });
        for entry in over {
            if self.table.take(now, entry, How::Unanswered) {
                self.spread(entry);
            }
        }
    }

    /// Whoever is held dead may only have been out of hearing; and one that is alone looks for anybody.
    fn look_again(&mut self, out: &mut Vec<Send>) {
        let dead = |member: &&Member| member.entry.state == State::Dead;
        let dead: Vec<Entry> = self.table.members.values().filter(dead).map(|member| member.entry).collect();
        if let Some(entry) = dead.choose(&mut self.chance).copied() {
            let seq = self.seq();
            self.send(out, entry.at, Kind::Ping { seq, id: entry.id }, vec![self.own, entry]);
        }
        let own = self.own.at;
        let known: Vec<SocketAddrV4> = self.table.members.values().map(|member| member.entry.at).collect();
        let seeds: Vec<SocketAddrV4> =
            self.settings.seeds.iter().copied().filter(|at| *at != own && !known.contains(at)).collect();
        // Of many that are listed one at a time is asked, and while alone three.
        let count = if self.alone() { 3 } else { 1 };
        let asked: Vec<SocketAddrV4> = seeds.sample(&mut self.chance, count).copied().collect();
        for at in asked {
            self.send(out, at, Kind::Sync { from: 0 }, vec![self.own]);
        }
    }

    // ---- What comes in ----

    /// A message that came from an address.
    pub fn heard(&mut self, now: Time, from: SocketAddrV4, text: &[u8]) -> Vec<Send> {
        let mut out = Vec::new();
        let message = match Message::read(text, self.settings.key.as_ref()) {
            Ok(message) => message,
            Err(dropped) => {
                match dropped {
                    Dropped::Garbled => self.figures.garbled += 1,
                    Dropped::Stranger => self.figures.strangers += 1,
                }
                return out;
            }
        };
        if self.over || (message.from == self.own.id && message.life == self.own.life) {
            return out;
        }
        let known = self.table.members.get_mut(&message.from);
        let stranger = known.is_none();
        if let Some(member) = known {
            if !member.fresh(message.life, message.number) {
                self.figures.replayed += 1;
                // One that started anew by a clock that was set back must hear of the life that it had.
                let entry = member.entry;
                if message.life < entry.life {
                    self.send(&mut out, from, Kind::Told { next: 0 }, vec![entry]);
                }
                return out;
            }
        }
        self.figures.heard += 1;
        for entry in &message.entries {
            self.news_of(now, *entry, message.from);
        }
        if self.over {
            return out;
        }
        if let Some(member) = self.table.members.get_mut(&message.from).filter(|_| stranger) {
            member.fresh(message.life, message.number);
        }
        // That it is heard makes nobody a member: only what it tells of itself does, with the address that it has.
        self.answer(now, from, &message, &mut out);
        out
    }

    /// News of a member, told by one.
    fn news_of(&mut self, now: Time, entry: Entry, by: u64) {
        if entry.id == self.own.id {
            return self.news_of_own(now, entry);
        }
        let how = if entry.id == by { How::Itself } else { How::Told(by) };
        if entry.state == State::Suspect {
            return self.suspect(now, entry, how);
        }
        if self.table.take(now, entry, how) {
            self.suspicions.remove(&entry.id);
            self.spread(entry);
        }
    }

    /// Others hold something of this instance.
    fn news_of_own(&mut self, now: Time, entry: Entry) {
        let same = entry.life == self.own.life;
        if entry.life < self.own.life {
            // Who holds a life of it dead or suspect that is over has not heard of this one.
            if entry.state != State::Alive {
                let own = self.own;
                self.spread(own);
            }
            return;
        }
        if same && entry.state == State::Alive && entry.at == self.own.at {
            return;
        }
        if entry.state == State::Alive && entry.at != self.own.at {
            // Another process has this name. One that has just started takes the place of the older; of two that
            // started in the same moment the lower address gives way.
            let young = self.born.is_none_or(|born| now < born + YOUNG);
            self.figures.conflicts += 1;
            if same && entry.at > self.own.at || !same && !young {
                self.over = true;
                return;
            }
        }
        // Whatever is said of a life, a later one answers it. Who is suspected without cause hears badly.
        if entry.state != State::Alive {
            self.figures.refuted += 1;
            self.hears(true);
            if entry.state == State::Dead {
                self.whole_every = SECOND;
                self.next_whole = now;
            }
        }
        self.own.life = entry.life + 1;
        self.number = 0;
        let own = self.own;
        self.spread(own);
    }

    fn answer(&mut self, now: Time, from: SocketAddrV4, message: &Message, out: &mut Vec<Send>) {
        match message.kind {
            Kind::Ping { seq, id } => {
                // Who is at an address that another had before is not that one.
                if id == self.own.id {
                    self.send(out, from, Kind::Ack { seq }, Vec::new());
                } else {
                    let own = self.own;
                    self.send(out, from, Kind::Told { next: 0 }, vec![own]);
                }
            }
            Kind::Ack { seq } => {
                // From itself, or from one that was asked to probe it.
                let own = |probe: &Probe| probe.seq == seq && (probe.asked || probe.id == message.from);
                if self.probe.as_ref().is_some_and(own) {
                    self.probe = None;
                    self.hears(false);
                } else if let Some(at) = self.errands.iter().position(|errand| errand.seq == seq) {
                    let errand = self.errands.remove(at);
                    self.send(out, errand.to, Kind::Ack { seq: errand.their_seq }, Vec::new());
                }
            }
            Kind::Request { seq: their_seq, id, at } => {
                let seq = self.seq();
                let nack_at = now + self.settings.timeout * 4 / 5;
                let over_at = now + self.settings.every;
                // Asked without end, it runs no more errands than it has members to ask for.
                if self.errands.len() < 64 {
                    self.errands.push(Errand { seq, their_seq, to: from, nack_at, over_at });
                    self.send(out, at, Kind::Ping { seq, id }, Vec::new());
                }
            }
            Kind::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                }
            }
            Kind::Sync { from: first } => {
                let own = (self.own.id >= first).then_some(self.own);
                // One more than there is room for tells where to go on.
                let others =
                    self.table.members.range(first..).map(|(_, member)| member.entry).take(room() + 1);
                let mut entries: Vec<Entry> = others.chain(own).collect();
                entries.sort_by_key(|entry| entry.id);
                let next = entries.get(room()).map_or(0, |entry| entry.id);
                entries.truncate(room());
                self.send(out, from, Kind::Told { next }, entries);
            }
            Kind::Told { next } => {
                if next > 0 {
                    self.send(out, from, Kind::Sync { from: next }, Vec::new());
                }
            }
        }
    }

    fn errands_over(&mut self, now: Time, out: &mut Vec<Send>) {
        let due: Vec<(SocketAddrV4, u32)> =
            self.errands.iter().filter(|e| now >= e.nack_at).map(|e| (e.to, e.their_seq)).collect();
        for errand in &mut self.errands {
            if now >= errand.nack_at {
                errand.nack_at = Time::MAX;
            }
        }
        for (to, seq) in due {
            self.send(out, to, Kind::Nack { seq }, Vec::new());
        }
        self.errands.retain(|errand| now < errand.over_at);
    }

    /// Goes: tells some members so, who tell the others. Nothing is sent after that.
    pub fn leave(&mut self) -> Vec<Send> {
        let mut out = Vec::new();
        if !self.over {
            let own = Entry { state: State::Left, ..self.own };
            let some = self.some(self.rides(), &[]);
            for (_, at) in some {
                self.send(&mut out, at, Kind::Told { next: 0 }, vec![own]);
            }
            self.over = true;
        }
        out
    }
}
