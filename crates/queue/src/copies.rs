//! Copies of messages at other stores: making them, telling their ends, taking over what a lost store owned,
//! and settling with one that is back who delivers what.

use crate::message::{End, Handed, Key, Millis, Node, Owned, PeerMessage, Range, Record, Shared, Stands};
use crate::planted::Planted;
use crate::queue::{Effect, Entry, Queue, Stage, Waits};
use crate::repair::range;
use std::collections::BTreeSet;

/// A copy that is not confirmed for so long is asked of another store: well before an edge gives up a silent
/// store (200 ms).
pub const COPY_WAIT: Millis = 120;
/// One that is not safe by then is taken back: its edge gives up soon (400 ms) and asks another store, and a
/// message that two stores have taken runs twice.
const GIVE_UP: u64 = 360;
/// A store that is no member and not connected for so long has lost what it owned to its copies.
const GONE: Millis = 2000;
/// A connection that one side has given up may look well to the other for so long.
const DEAF: Millis = 1600;
/// The next in line waits so much longer, for the first may be about to take over.
const LINE: Millis = 1500;
/// One that did not confirm a copy in time is asked only after the others for so long.
const SLOW: Millis = 1500;
/// After its start a store waits so long for those that hold copies of what it owned.
const PATIENCE: Millis = 3000;
/// What was taken over because its owner is gone waits so long: others may know that it has ended, or who has it, and say so.
const ASK: Millis = 100;
/// By then whatever came in a sleep has been read.
const AWAKE: Millis = 300;

/// Another store.
#[derive(Debug, Default)]
pub struct Peer {
    pub zone: usize,
    pub connected: bool,
    pub leaving: bool,
    /// It is to be emptied for good, and when it was last told that nobody counts on it.
    pub(crate) retiring: bool,
    pub(crate) relieved_at: Millis,
    /// It is a member, as the control nodes tell.
    pub listed: bool,
    pub(crate) since: Millis,
    /// When what it owned was last looked for.
    looked: Millis,
    /// What it owned was not there any more when it was last looked for.
    pub(crate) written_off: bool,
    /// When digests were last compared.
    pub(crate) compared: Millis,
    /// Its disk had no room: others are asked for copies until then.
    pub(crate) full_until: Millis,
    disk: Option<u64>,
    /// It has said all about what both hold, on this connection.
    pub(crate) stood: bool,
    out: Outbox,
}

/// What is told to another store at the end of the turn, or with the next batch of ends.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub copy: Vec<Shared>,
    pub copied: Vec<Key>,
    pub not_copied: Vec<Key>,
    pub handed: Vec<(Key, u32)>,
    pub not_handed: Vec<Key>,
    pub own: Vec<Owned>,
    pub drop: Vec<Key>,
    pub ends: Vec<(Key, End, bool)>,
    pub ends_kept: Vec<Key>,
    pub called: Vec<Key>,
    pub handover: Vec<Handed>,
}

impl Peer {
    pub fn new(now: Millis) -> Peer {
        Peer { since: now, ..Peer::default() }
    }
}

impl Queue {
    pub(crate) fn to(&mut self, node: Node) -> &mut Outbox {
        &mut self.peers.entry(node).or_default().out
    }

    /// The stores that are members, as the control nodes tell.
    pub fn members(&mut self, now: Millis, stores: &[(Node, usize)]) {
        self.acquainted = true;
        let listed = |peers: &std::collections::BTreeMap<Node, Peer>| -> Vec<Node> {
            peers.iter().filter(|(_, p)| p.listed).map(|(node, _)| *node).collect()
        };
        let before = listed(&self.peers);
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for (node, zone) in stores.iter().filter(|(node, _)| *node != self.terms.me) {
            let peer = self.peers.entry(*node).or_insert_with(|| Peer::new(now));
            (peer.zone, peer.listed) = (*zone, true);
        }
        if listed(&self.peers) != before {
            self.rows.changed = now;
        }
        self.deal_duties(now);
    }

    /// A connection to another store is open: each says what it holds in common with the other.
    pub fn up(&mut self, now: Millis, node: Node) {
        let peer = self.peers.entry(node).or_default();
        (peer.connected, peer.leaving, peer.stood, peer.since) = (true, false, false, now);
        // One that is to be emptied yet says so again: an order that was lost with its power is none.
        peer.retiring = false;
        peer.out = Outbox::default();
        self.rows.changed = now;
        self.push(Effect::Send { to: node, note: PeerMessage::Disk(self.terms.disk) });
        // One of the two begins: the other answers with what differs.
        if self.terms.me < node {
            self.compare(now, node, 0);
        }
        // Ends that were told while it was away, or got lost with the connection.
        let mine = self.owned_here().filter(|(_, e)| e.copies.contains(&node));
        let owed: Vec<(Key, End, bool)> =
            mine.filter_map(|(key, e)| Some((key, e.end.clone()?, e.owed))).collect();
        self.to(node).ends.extend(owed);
        self.ends_at.get_or_insert(now);
        if self.leaving {
            self.push(Effect::Send { to: node, note: PeerMessage::Leaving });
        }
        if self.retiring {
            self.push(Effect::Send { to: node, note: PeerMessage::Retiring });
        }
    }

    pub fn down(&mut self, now: Millis, node: Node) {
        let peer = self.peers.entry(node).or_default();
        (peer.connected, peer.stood, peer.since) = (false, false, now);
        peer.out = Outbox::default();
        self.relieved.remove(&node);
        self.passing.gone(node);
        let waiting: Vec<Key> = self
            .landing
            .iter()
            .map(|(_, key)| *key)
            .filter(|key| self.entries.get(key).is_some_and(|e| e.missing.contains(&node)))
            .collect();
        for key in waiting {
            self.copy_elsewhere(now, key, Some(node));
        }
        // It may have taken these or not. They stay as they are until it says so, here or after the next
        // start; but nobody waits for its answer any more.
        self.handing.retain(|_, to| *to != node);
        self.lost_on_the_way(now, node);
        self.row_lost(now, node);
    }

    /// Nothing is started here: others may deliver what this store owns, and it would not know.
    ///
    /// They take over once they have missed its connection for `GONE` and the control nodes have called its session
    /// lapsed. It knows the one (`lapsed`, `heard`) by its own steady clock, and of the other that they may have missed it
    /// up to `DEAF` before it missed them. Nor does it start anything when it is heard again, or has slept, before they
    /// have said what became of its messages.
    ///
    /// After a long sleep it does not matter whether they are heard: what they said before they gave this store up may be read
    /// first, and the ends of their connections later.
    pub(crate) fn look_after_fence(&mut self, now: Millis, slept: bool, long: bool) {
        let silent = self.lapsed || !self.heard;
        let apart = |p: &Peer| p.listed && !p.connected && now + DEAF > p.since + GONE;
        if long || (silent && (slept || self.fence.is_some() || self.peers.values().any(apart))) {
            self.figures.fenced += u64::from(self.fence.is_none());
            self.fence = Some(now);
        }
        let Some(since) = self.fence.filter(|_| !silent) else { return };
        let settled = self.peers.values().all(|p| p.stood || !(p.listed || p.connected));
        if (settled && now >= since + AWAKE) || now > since + PATIENCE {
            self.fence = None;
            self.ask_before_all(now);
        }
    }

    /// Zone and region of a store.
    fn place(&self, zone: usize) -> (usize, usize) {
        (zone, self.terms.regions.get(zone).copied().unwrap_or(usize::MAX))
    }

    /// Where so many copies of a message go, beside those that lie at `stay`: into as many zones and regions as have to be
    /// borne and one more, and nearby from then on, for bytes between zones are dear. Where too few are there, into what is.
    pub(crate) fn choose(&self, now: Millis, stay: &[Node], not: &[Node], wanted: usize) -> Vec<Node> {
        let own = self.place(self.terms.zone);
        let mut places = vec![own];
        places.extend(stay.iter().filter_map(|node| self.peers.get(node)).map(|p| self.place(p.zone)));
        let mut chosen: Vec<Node> = Vec::new();
        for _ in 0..wanted {
            let zones: BTreeSet<usize> = places.iter().map(|(zone, _)| *zone).collect();
            let regions: BTreeSet<usize> = places.iter().map(|(_, region)| *region).collect();
            let bear = self.terms.bear;
            let (more_zones, more_regions) = (zones.len() <= bear.zones, regions.len() <= bear.regions);
            let able = self.peers.iter().filter(|(node, p)| {
                p.connected
                    && !p.leaving
                    && !not.contains(node)
                    && !stay.contains(node)
                    && !chosen.contains(node)
            });
            let next = able.min_by_key(|(node, p)| {
                let (zone, region) = self.place(p.zone);
                // Safe first: one that is slow, in another zone, is waited for rather than two copies lost with one zone.
                (
                    more_regions && regions.contains(&region),
                    more_zones && zones.contains(&zone),
                    now < p.full_until,
                    region != own.1,
                    zone != own.0,
                    // In a ring from this store on, so that copies are spread over all.
                    node.wrapping_sub(self.terms.me),
                )
            });
            let Some((node, peer)) = next else { break };
            places.push(self.place(peer.zone));
            chosen.push(*node);
        }
        chosen
    }

    pub(crate) fn copy_to(&mut self, to: Node, shared: Shared) {
        self.to(to).copy.push(shared);
    }

    pub(crate) fn shared(&self, now: Millis, key: Key) -> Option<Shared> {
        let e = self.entries.get(&key)?;
        Some(Shared {
            key,
            owner: e.owner,
            term: e.term,
            copies: e.copies.clone(),
            due_in: e.due.saturating_sub(now),
            waited: e.waited(now),
            tries: e.tries,
            message: e.message.clone(),
        })
    }

    /// A copy of what is live or has a call-back owed; the end follows the message.
    pub(crate) fn copy_anew(&mut self, now: Millis, key: Key, to: Node) {
        let own = self.entries.get(&key).filter(|e| e.owner == self.terms.me && (e.end.is_none() || e.owed));
        let Some((end, owed)) = own.map(|e| (e.end.clone(), e.owed)) else { return };
        if let Some(shared) = self.shared(now, key) {
            self.figures.copied_anew += 1;
            self.copy_to(to, shared);
        }
        if let Some(end) = end {
            self.to(to).ends.push((key, end, owed));
            self.ends_at.get_or_insert(now + COPY_WAIT);
        }
    }

    pub(crate) fn look_after_landing(&mut self, now: Millis) {
        while let Some((at, key)) = self.landing.first().copied().filter(|(at, _)| *at <= now) {
            self.landing.remove(&(at, key));
            self.copy_elsewhere(now, key, None);
        }
    }

    /// A copy that does not come is asked of another store. The slow one may have it all the same and is told
    /// to drop it: it would else take over together with the other. `from`: it is known that this one has no
    /// copy.
    fn copy_elsewhere(&mut self, now: Millis, key: Key, from: Option<Node>) {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Landing) else { return };
        if let Some(at) = entry.landing.take() {
            self.landing.remove(&(at, key));
        }
        let gives_up = entry.waited(now) >= GIVE_UP;
        let next = (now + COPY_WAIT).min(now + GIVE_UP.saturating_sub(entry.waited(now))).max(now + 1);
        let me = self.terms.me;
        let slow = |node: &Node| *node != me && from.is_none_or(|from| from == *node);
        let slow: Vec<Node> = entry.missing.iter().copied().filter(slow).collect();
        let copies = entry.copies.clone();
        if gives_up {
            return self.undo(key);
        }
        entry.landing = Some(next);
        self.landing.insert((next, key));
        if entry.asking {
            // Nothing has been sent yet: whoever is gone by then is replaced at the next look.
            return;
        }
        let list_stays = self.planted(Planted::OldCopyList);
        for from in slow {
            // Others get the copies of the next messages: each would wait here as long as this one has.
            self.peers.entry(from).or_default().full_until = now + SLOW;
            let stay: Vec<Node> = copies.iter().copied().filter(|node| *node != from).collect();
            let Some(to) = self.choose(now, &stay, &copies, 1).first().copied() else { continue };
            let Some(entry) = self.entries.get_mut(&key) else { return };
            entry.missing.iter_mut().filter(|m| **m == from).for_each(|m| *m = to);
            entry.copies.iter_mut().filter(|c| **c == from).for_each(|c| *c = to);
            // On disk before the answer: after a restart those that hold copies are waited for, and no
            // others.
            let (term, copies) = (entry.term, entry.copies.clone());
            if !list_stays {
                entry.missing.push(me);
                self.record(&Record::Own { key, owner: me, term, copies }, true);
                self.wait_for_disk(Waits::Own(key));
            }
            if !self.planted(Planted::DropUnsent) {
                self.to(from).drop.push(key);
            }
            if let Some(shared) = self.shared(now, key) {
                self.copy_to(to, shared);
            }
        }
    }

    /// A note of another store.
    pub fn note(&mut self, now: Millis, from: Node, note: PeerMessage) {
        match note {
            PeerMessage::Copy(all) => all.into_iter().for_each(|shared| self.keep_copy(now, from, shared)),
            PeerMessage::Copied(keys) => keys.into_iter().for_each(|key| self.safe_at(now, key, from)),
            PeerMessage::NotCopied(keys) => {
                self.peers.entry(from).or_default().full_until = now + 2000;
                for key in keys {
                    self.copy_elsewhere(now, key, Some(from));
                    self.not_on(now, key, from);
                }
            }
            PeerMessage::Ends(all) => {
                all.into_iter().for_each(|(key, end, owed)| self.told_end(now, key, end, owed))
            }
            PeerMessage::Called(keys) => {
                for key in keys {
                    // Of one that has not ended here all is needed yet.
                    if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_some()) {
                        entry.owed = false;
                        entry.strip();
                        self.file(key);
                        self.record(&Record::Called { key }, false);
                    }
                }
            }
            PeerMessage::Own(all) => {
                for owned in all {
                    self.contradict(now, from, &owned);
                    self.owned_by(now, owned);
                }
            }
            PeerMessage::Drop(keys) => {
                for key in keys {
                    match self.entries.get(&key).filter(|e| e.end.is_none()).map(|e| e.owner == from) {
                        Some(true) => {
                            self.remove(key);
                            self.record(&Record::Drop { key }, false);
                        }
                        Some(false) => self.figures.former += 1,
                        None => {}
                    }
                }
            }
            PeerMessage::Lost(keys) => {
                for key in keys {
                    // Of several that hold a copy one takes over at once, and the others if it does not.
                    let mine = self.entries.get(&key).filter(|e| e.owner == from);
                    let Some(line) = mine.map(|e| self.line(e)) else { continue };
                    match line {
                        0 => self.take_over(now, key, None),
                        _ => {
                            self.lost.insert(key, from);
                            self.orphans.insert((now + line * LINE, key));
                        }
                    }
                }
            }
            PeerMessage::Want(keys) => {
                keys.into_iter().for_each(|key| self.not_yet_on(now, key, from));
            }
            PeerMessage::Digests { disk, over, sums } => self.digests(now, from, disk, over, &sums),
            PeerMessage::Standing { disk, answer, ranges, live } => {
                self.standing(now, from, disk, &ranges, live);
                if answer {
                    self.list_ranges(from, ranges, false);
                }
                self.push(Effect::Send { to: from, note: PeerMessage::Stood });
            }
            PeerMessage::Stood => self.stood(now, from),
            PeerMessage::Disk(disk) => self.seen_disk(from, disk),
            PeerMessage::Handover(keys) => {
                for handed in keys {
                    self.take_over(now, handed.key, Some((from, handed)));
                }
            }
            PeerMessage::HandoverTaken(keys) => {
                for (key, term) in keys {
                    self.handing.remove(&key);
                    self.counted_on_by(from);
                    let Some(entry) = self.entries.get(&key) else { continue };
                    self.figures.handed_over += 1;
                    let mut copies = entry.copies.clone();
                    copies.retain(|node| *node != from);
                    copies.push(self.terms.me);
                    self.owned_by(now, Owned { key, owner: from, term, copies });
                }
            }
            PeerMessage::HandoverRefused(keys) => {
                for key in keys {
                    self.handing.remove(&key);
                    if self.retiring {
                        // It holds no copy after all: it gets one, or another does, before it is asked again.
                        if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Held) {
                            entry.stage = Stage::Waiting;
                        }
                        self.not_on(now, key, from);
                    }
                }
            }
            PeerMessage::RowAsk { number, row, taken, key, announced } => {
                self.row_asked(now, from, (number, row, taken, key, announced));
            }
            PeerMessage::RowLive { number, beyond, live } => self.row_told(now, from, number, beyond, live),
            PeerMessage::RowDone(all) => self.row_done(all),
            PeerMessage::Leaving => {
                self.rows.changed = now;
                self.peers.entry(from).or_default().leaving = true;
                self.deal_duties(now);
            }
            PeerMessage::Retiring => {
                let peer = self.peers.entry(from).or_default();
                (peer.leaving, peer.retiring) = (true, true);
                self.deal_duties(now);
            }
            PeerMessage::Relieved => {
                self.relieved.insert(from);
            }
            PeerMessage::KnownEnds(ends) => self.keep_ends(now, from, ends),
            PeerMessage::EndsKept(keys) => self.passing.kept(from, keys),
            PeerMessage::TokensWanted { service, count } => self.tokens_wanted(now, from, service, count),
            PeerMessage::Tokens { service, count } => self.tokens_came(now, from, &service, count),
        }
    }

    fn keep_copy(&mut self, now: Millis, from: Node, shared: Shared) {
        let key = shared.key;
        self.counted_on_by(from);
        if self.stalled(now) && !self.entries.contains_key(&key) {
            return self.to(from).not_copied.push(key);
        }
        let known = self.entries.get(&key).map(|e| (e.term, e.end.clone(), e.owed));
        match known {
            Some((_, Some(end), owed)) => {
                self.to(from).ends.push((key, end, owed));
                self.to(from).copied.push(key);
                self.ends_at.get_or_insert(now);
            }
            Some((term, None, _)) if (term, std::cmp::Reverse(self.owner(key))) > shared.rank() => {
                self.figures.former += 1;
                if let Some(owned) = self.owned(key) {
                    self.push(Effect::Send { to: from, note: PeerMessage::Own(vec![owned]) });
                }
            }
            _ => {
                self.record(&Record::Put { shared: shared.clone() }, true);
                if self.planted(Planted::CopyUnsynced) {
                    self.to(from).copied.push(key);
                } else {
                    self.wait_for_disk(Waits::CopyOf(from, key));
                }
                self.enter(now, &shared, Stage::Copy);
            }
        }
    }

    fn told_end(&mut self, now: Millis, key: Key, end: End, owed: bool) {
        let Some(entry) = self.entries.get(&key) else { return };
        if entry.end.is_some() {
            if !owed && entry.owed {
                self.note(now, 0, PeerMessage::Called(vec![key]));
            }
            return;
        }
        self.ended_elsewhere(now, key, end, owed);
    }

    fn ended_elsewhere(&mut self, now: Millis, key: Key, end: End, owed: bool) {
        let at = self.wall_of(now);
        if !self.planted(Planted::EndUnkept) {
            self.record(&Record::End { key, end: end.clone(), owed, at }, false);
        }
        self.close_copy(now, key, end, owed);
    }

    fn owner(&self, key: Key) -> Node {
        self.entries.get(&key).map_or(Node::MAX, |e| e.owner)
    }

    fn owned(&self, key: Key) -> Option<Owned> {
        let e = self.entries.get(&key)?;
        Some(Owned { key, owner: e.owner, term: e.term, copies: e.copies.clone() })
    }

    /// Another has taken over a message that is known here to have ended, or to be another's.
    fn contradict(&mut self, now: Millis, from: Node, owned: &Owned) {
        let Some(entry) = self.entries.get(&owned.key).filter(|_| owned.owner == from) else { return };
        let known = (entry.term, std::cmp::Reverse(entry.owner));
        if let Some(end) = entry.end.clone() {
            let owed = entry.owed;
            self.to(from).ends.push((owned.key, end, owed));
            self.ends_at.get_or_insert(now);
        } else if known > (owned.term, std::cmp::Reverse(from)) {
            let mine = self.owned(owned.key);
            self.to(from).own.extend(mine);
        }
    }

    /// Who owns a message: the higher term holds, and of equal ones the lower node.
    fn owned_by(&mut self, now: Millis, owned: Owned) {
        let Owned { key, owner, term, copies } = owned;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let newer = term > entry.term || (term == entry.term && owner < entry.owner);
        self.figures.former += u64::from(!newer && owner != entry.owner);
        if !newer || entry.end.is_some() && !entry.owed {
            return;
        }
        (entry.owner, entry.term, entry.copies) = (owner, term, copies.clone());
        if copies.contains(&self.terms.me) {
            self.counted_on_by(owner);
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let ticket = entry.ticket.take();
        entry.landing.take().map(|at| self.landing.remove(&(at, key)));
        let mine = owner == self.terms.me;
        let (ended, out) = (entry.end.is_some(), entry.stage == Stage::Out);
        if !ended && !out {
            entry.stage = if mine { Stage::Held } else { Stage::Copy };
        }
        self.record(&Record::Own { key, owner, term, copies }, mine);
        self.file(key);
        self.handing.remove(&key);
        self.held.remove(&key);
        self.unschedule(key);
        self.uncertain(ticket);
        if mine && ended {
            self.owe(key);
        } else if mine && !out {
            // It was taken over here, and that was lost with the power. Others may have gone on since.
            self.held.insert(key);
            self.release(now);
        }
    }

    /// What the other holds in common with this store: ends, owners and copies are set right by the newer.
    fn standing(&mut self, now: Millis, from: Node, disk: u64, ranges: &[Range], live: Vec<Stands>) {
        let me = self.terms.me;
        self.seen_disk(from, disk);
        let (mut own, mut want, mut drop, mut lost) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let theirs: std::collections::HashSet<Key> = live.iter().map(|stands| stands.key).collect();
        for Stands { key, owner, term, ended } in live {
            let Some(entry) = self.entries.get(&key) else {
                match owner == from {
                    true => want.push(key),
                    // It holds a copy of what was lost with the disk before this one,
                    false if owner == me && key.origin == me && !self.given_here(key.number) => {
                        lost.push(key)
                    }
                    // or of what another had taken, this store has taken over, and its disk has lost,
                    false if owner == me && key.origin != me => lost.push(key),
                    // or of what this store has never finished taking: nobody was told that it is kept.
                    false if owner == me => drop.push(key),
                    false => {}
                }
                continue;
            };
            match (entry.end.clone(), ended) {
                (Some(_), true) => {}
                (Some(end), false) => {
                    let owed = entry.owed;
                    self.to(from).ends.push((key, end, owed));
                }
                // Its end comes in answer to what this store says.
                (None, true) => {}
                (None, false) => {
                    let theirs = Owned { key, owner, term, copies: entry.copies.clone() };
                    if (entry.term, std::cmp::Reverse(entry.owner)) > (term, std::cmp::Reverse(owner)) {
                        own.extend(self.owned(key));
                    } else if entry.owner == me
                        && entry.stage != Stage::Landing
                        && !entry.copies.contains(&from)
                    {
                        // Its copy was replaced by another: if that is safe. Else it is as good as a new one.
                        let enough = entry.thin.is_none() && entry.missing.is_empty();
                        let confirmed = self.is_confirmed(entry);
                        match enough {
                            true if confirmed => drop.push(key),
                            // Whether the other has it is not known before it has spoken.
                            true => {}
                            false => self.adopt(now, key, from),
                        }
                    } else {
                        self.owned_by(now, theirs);
                    }
                }
            }
        }
        // What it should hold and does not: it has lost its disk, or never got the copy.
        let asked: std::collections::HashSet<&Range> = ranges.iter().collect();
        let both =
            self.owned_here().filter(|(key, _)| asked.contains(&range(me, *key)) && !theirs.contains(key));
        let both = both.filter(|(_, e)| e.stage != Stage::Landing && e.copies.contains(&from));
        let anew: Vec<Key> = both.map(|(key, _)| key).collect();
        anew.into_iter().for_each(|key| self.not_yet_on(now, key, from));
        // What it owned and does not name it has ended, never finished taking, or lost: it says which, for
        // this store has named it. Taken over on its silence alone it would run twice.
        self.tell_ends();
        for (note, empty) in [
            (PeerMessage::Own(own.clone()), own.is_empty()),
            (PeerMessage::Want(want.clone()), want.is_empty()),
            (PeerMessage::Drop(drop.clone()), drop.is_empty()),
            (PeerMessage::Lost(lost.clone()), lost.is_empty()),
        ] {
            if !empty {
                self.push(Effect::Send { to: from, note });
            }
        }
    }

    pub(crate) fn seen_disk(&mut self, from: Node, disk: u64) {
        let peer = self.peers.entry(from).or_default();
        if peer.disk.replace(disk).is_some_and(|old| old != disk) {
            tracing::info!(node = from, "a store is back with another disk");
            self.passing.lost(from);
        }
    }

    /// All that another store had to say about what both hold has been said.
    pub(crate) fn stood(&mut self, now: Millis, from: Node) {
        let first = !std::mem::replace(&mut self.peers.entry(from).or_default().stood, true);
        self.release(now);
        if self.leaving && first {
            self.hand_all_over();
        }
    }

    /// This store delivers a message from now on. `from`: the one that gives it away in order.
    fn take_over(&mut self, now: Millis, key: Key, from: Option<(Node, Handed)>) {
        let me = self.terms.me;
        let raised = u32::from(!self.planted(Planted::TermUnraised));
        let asks = !self.planted(Planted::TakenUnasked);
        let giver = from.map(|(node, _)| node);
        let Some(entry) = self.entries.get_mut(&key) else {
            if let Some(giver) = giver {
                self.to(giver).not_handed.push(key);
            }
            return;
        };
        let before = entry.owner;
        if before == me || (entry.end.is_some() && !entry.owed) {
            let term = entry.term;
            if let Some(giver) = giver {
                self.to(giver).handed.push((key, term));
            }
            return;
        }
        entry.owner = me;
        if let Some((_, handed)) = from {
            (entry.term, entry.tries) = (entry.term.max(handed.term), entry.tries.max(handed.tries));
        }
        entry.term += raised;
        entry.copies.retain(|node| *node != me && *node != before);
        entry.copies.extend(giver);
        let (term, ended) = (entry.term, entry.end.is_some());
        if giver.is_none() && asks {
            entry.pause = entry.pause.max(now + ASK);
        }
        entry.missing.clear();
        let copies = entry.copies.clone();
        if !ended && entry.stage != Stage::Out {
            entry.stage = Stage::Waiting;
        }
        self.file(key);
        // The one that had it may come back with an empty disk, or not at all: others get a copy.
        self.look_at_copies(now, key);
        self.expiry(key);
        self.figures.taken_over += 1;
        self.record(&Record::Own { key, owner: me, term, copies: copies.clone() }, true);
        match giver {
            Some(giver) => self.wait_for_disk(Waits::HandedBy(giver, key)),
            None => {
                // All are told, for another may hold a copy that nobody knows of any more, and would take
                // over too.
                let owned = Owned { key, owner: me, term, copies: copies.clone() };
                let all = self.peers.values_mut().filter(|p| p.connected);
                all.for_each(|p| p.out.own.push(owned.clone()));
            }
        }
        if ended {
            self.owe(key);
        } else {
            self.schedule(now, key);
        }
    }

    /// Looks for stores that are gone, and for messages that have waited long enough for those that are not
    /// back.
    pub(crate) fn look_after(&mut self, now: Millis) {
        let heard = self.heard && self.acquainted;
        let gone =
            |p: &Peer| heard && !p.connected && !p.listed && now > p.since + GONE && now >= p.looked + 3000;
        let gone: Vec<Node> = self.peers.iter().filter(|(_, p)| gone(p)).map(|(node, _)| *node).collect();
        for node in gone {
            self.peers.entry(node).or_default().looked = now;
            let mut orphans: Vec<(u64, Key)> =
                self.owned_by_node(node).map(|(key, e)| (self.line(e), key)).collect();
            orphans.sort_unstable();
            self.orphans.extend(orphans.into_iter().map(|(line, key)| (now + line * LINE, key)));
        }
        // So many in one turn: the rest is not late by that, and deliveries go on between.
        for _ in 0..500 {
            let Some((_, key)) = self.orphans.first().copied().filter(|(at, _)| *at <= now) else { break };
            self.orphans.pop_first();
            // Whoever owns it may be back, or another.
            let owner = self.owner(key);
            let back = self.peers.get(&owner).is_none_or(|p| p.connected);
            let lost = self.lost.remove(&key);
            if heard && (lost == Some(owner) || !back) {
                self.take_over(now, key, None);
            }
        }
        self.release(now);
        self.look_at_holders(now);
        self.look_after_retiring(now);
        self.pass_ends_on(now);
    }

    /// How many that hold a copy, and are here, come before this store. One that is no longer named comes
    /// last.
    fn line(&self, entry: &Entry) -> u64 {
        let here = |node: &Node| self.peers.get(node).is_some_and(|p| p.connected);
        let before = entry.copies.iter().take_while(|node| **node != self.terms.me);
        before.filter(|node| here(node)).count() as u64
    }

    /// Messages read from disk go on once all that hold copies have spoken, or are not there.
    fn release(&mut self, now: Millis) {
        if self.held.is_empty() {
            return;
        }
        let spoken = |node: &Node| match self.peers.get(node) {
            Some(peer) => peer.stood || (!peer.connected && now > PATIENCE),
            None => now > PATIENCE,
        };
        let early = self.planted(Planted::ReleasedEarly);
        let ready = |key: &Key| early || self.entries.get(key).is_none_or(|e| e.copies.iter().all(spoken));
        let free: Vec<Key> = self.held.iter().copied().filter(ready).collect();
        for key in free {
            self.held.remove(&key);
            self.ask_before_start(now, key);
            if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Held) {
                entry.stage = Stage::Waiting;
            }
            self.schedule(now, key);
        }
    }

    /// After a fence: what waited meanwhile.
    fn ask_before_all(&mut self, now: Millis) {
        let waiting = self.owned_here().filter(|(_, e)| e.stage == Stage::Waiting);
        let waiting: Vec<Key> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.ask_before_start(now, key);
            self.unschedule(key);
            self.schedule(now, key);
        }
    }

    /// One that holds a copy is not back, and may have given it to another and be gone for good: whoever knows of an end, or
    /// of a newer owner, says so before it is started here.
    fn ask_before_start(&mut self, now: Millis, key: Key) {
        let open = |e: &&Entry| matches!(e.stage, Stage::Held | Stage::Waiting);
        let Some(entry) = self.entries.get(&key).filter(open) else { return };
        let spoken = |node: &Node| self.peers.get(node).is_some_and(|peer| peer.stood);
        let unasked = self.planted(Planted::TakenUnasked) || self.planted(Planted::ReleasedEarly);
        if entry.copies.iter().all(spoken) || unasked {
            return;
        }
        let owned = self.owned(key);
        let all = self.peers.values_mut().filter(|p| p.connected);
        all.for_each(|p| p.out.own.extend(owned.clone()));
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.pause = entry.pause.max(now + ASK);
        }
    }

    // ---- Leaving in order ----

    /// Takes nothing more, and gives what waits to those that hold the copies.
    pub fn leave(&mut self, now: Millis) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        let peers: Vec<Node> =
            self.peers.iter().filter(|(_, p)| p.connected).map(|(node, _)| *node).collect();
        for to in peers {
            self.push(Effect::Send { to, note: PeerMessage::Leaving });
        }
        self.deal_duties(now);
        self.tell_ends();
        self.hand_all_over();
    }

    pub(crate) fn hand_all_over(&mut self) {
        // Offered to one whose connection broke before it answered: once all that hold copies have spoken and none has taken
        // it, it is this store's still, and is offered again. (One that ends leaves that to its next start.)
        let settled =
            |node: &Node| self.peers.get(node).is_none_or(|p| p.stood || !(p.listed || p.connected));
        let refused = |key: &Key, e: &Entry| {
            let open = e.stage == Stage::Held && !self.held.contains(key);
            self.retiring && open && e.copies.iter().all(settled)
        };
        let waiting: Vec<Key> = self
            .owned_here()
            .filter(|(key, e)| e.stage == Stage::Waiting || e.end.is_some() || refused(key, e))
            .map(|(key, _)| key)
            .filter(|key| !self.handing.contains_key(key))
            .collect();
        for key in waiting {
            self.hand_over(key);
        }
    }

    /// Names the successor of one message: it is nobody's until the successor has said yes.
    pub(crate) fn hand_over(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        let able = |node: &&Node| self.peers.get(node).is_some_and(|p| p.connected && p.stood && !p.leaving);
        let safe = entry.copies.iter().filter(|node| !entry.missing.contains(node));
        let (term, tries) = (entry.term, entry.tries);
        let successors = safe.copied().filter(|node| able(&node));
        let most = if self.planted(Planted::HandedTwice) { usize::MAX } else { 1 };
        for to in successors.take(most).collect::<Vec<Node>>() {
            self.unschedule(key);
            if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_none()) {
                entry.stage = Stage::Held;
            }
            self.handing.insert(key, to);
            self.to(to).handover.push(Handed { key, term, tries });
        }
    }

    // ---- What goes out ----

    pub(crate) fn tell_ends(&mut self) {
        self.ends_at = None;
        let mut notes = Vec::new();
        for (node, peer) in self.peers.iter_mut().filter(|(_, p)| p.connected) {
            for part in std::mem::take(&mut peer.out.ends).chunks(4000) {
                notes.push((*node, PeerMessage::Ends(part.to_vec())));
            }
            if !peer.out.called.is_empty() {
                notes.push((*node, PeerMessage::Called(std::mem::take(&mut peer.out.called))));
            }
        }
        notes.into_iter().for_each(|(to, note)| self.push(Effect::Send { to, note }));
    }

    pub(crate) fn tell(&mut self) {
        let mut notes = Vec::new();
        for (node, peer) in self.peers.iter_mut().filter(|(_, p)| p.connected) {
            let out = &mut peer.out;
            while !out.copy.is_empty() {
                // Frames are bounded: no more than a megabyte or so in one.
                let mut size = 0;
                let fits = |s: &&Shared| {
                    size += s.message.body.len() + 512;
                    size < 1 << 20
                };
                let some = out.copy.iter().take_while(fits).count().max(1);
                notes.push((*node, PeerMessage::Copy(out.copy.drain(..some).collect())));
            }
            if !out.copied.is_empty() {
                notes.push((*node, PeerMessage::Copied(std::mem::take(&mut out.copied))));
            }
            if !out.not_copied.is_empty() {
                notes.push((*node, PeerMessage::NotCopied(std::mem::take(&mut out.not_copied))));
            }
            if !out.drop.is_empty() {
                notes.push((*node, PeerMessage::Drop(std::mem::take(&mut out.drop))));
            }
            if !out.own.is_empty() {
                for part in std::mem::take(&mut out.own).chunks(4000) {
                    notes.push((*node, PeerMessage::Own(part.to_vec())));
                }
            }
            if !out.ends_kept.is_empty() {
                notes.push((*node, PeerMessage::EndsKept(std::mem::take(&mut out.ends_kept))));
            }
            if !out.not_handed.is_empty() {
                notes.push((*node, PeerMessage::HandoverRefused(std::mem::take(&mut out.not_handed))));
            }
            if !out.handed.is_empty() {
                notes.push((*node, PeerMessage::HandoverTaken(std::mem::take(&mut out.handed))));
            }
            if !out.handover.is_empty() {
                // Ends first: what has ended must not be run by the successor.
                if !out.ends.is_empty() {
                    notes.push((*node, PeerMessage::Ends(std::mem::take(&mut out.ends))));
                }
                notes.push((*node, PeerMessage::Handover(std::mem::take(&mut out.handover))));
            }
        }
        notes.into_iter().for_each(|(to, note)| self.push(Effect::Send { to, note }));
    }
}
