//! Where something could go another way than it does by itself.

use crate::sea::{Due, Grain, Kinds, Sea, Spans, Step, ROUND};
use stileroute_pilotage_planted::{Millis, Record, Signal};

/// What takes another turn, at the state before a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Turn {
    /// The process ends, and is back after so long; so many of the records under way are on disk.
    Kill {
        node: usize,
        reached: usize,
        back: Millis,
    },
    Power {
        node: usize,
        reached: usize,
        back: Millis,
    },
    Wipe {
        node: usize,
        back: Millis,
    },
    Freeze {
        node: usize,
        span: Millis,
    },
    Cut {
        a: usize,
        b: usize,
        span: Millis,
    },
    CutOff {
        node: usize,
        span: Millis,
    },
    /// What the one sends reaches the other only later; the other way all is well.
    OneWay {
        from: usize,
        to: usize,
        span: Millis,
    },
    /// It hears nobody, and is heard.
    Deaf {
        node: usize,
        span: Millis,
    },
    /// It hears all, and nobody hears it.
    Mute {
        node: usize,
        span: Millis,
    },
    /// A node more.
    Join {
        node: usize,
    },
    /// It is lost for good, and an empty one comes a moment later.
    Replace {
        node: usize,
        with: usize,
    },
    /// It is cut off, and an empty one comes a moment later; then it is back.
    Presumed {
        node: usize,
        with: usize,
    },
    /// An empty one comes, and the other is told to end, for good.
    Succeed {
        node: usize,
        with: usize,
    },
    /// It is lost for good, with nobody in its place.
    Gone {
        node: usize,
    },
    /// These two meet each other, and none of the rest.
    Split {
        node: usize,
        with: usize,
        span: Millis,
    },
    /// SIGTERM.
    Release {
        node: usize,
    },
    /// The message that comes next, and all that follow it from there, come so much later.
    Late {
        from: usize,
        to: usize,
        by: Millis,
    },
    /// The connection breaks and is made anew at once: what was on its way, both ways, is lost.
    Lost {
        from: usize,
        to: usize,
    },
    DiskLate {
        node: usize,
        by: Millis,
    },
    DiskRefuses {
        node: usize,
    },
}

/// Less than the silence after which others stand, about as long, and until another copy has been named.
const BACK: [Millis; 3] = [20, 1_100, 2_200];
const FROZEN: [Millis; 3] = [300, 1_000, 2_200];
const APART: [Millis; 2] = [500, 1_600];
/// A cut, a freeze or an absence that outlasts whatever the group waits for.
const LONG: [Millis; 1] = [20_000];
/// After whatever else is due now; longer than the lease.
const LATE: [Millis; 3] = [1, 150, 950];
const DISK_LATE: [Millis; 2] = [60, 1_150];
/// A node that is lost for good is replaced so much later, and one that is replaced by plan ends so long after the new one came.
const SUCCESSOR: Millis = 300;
const PLANNED: Millis = 600;
/// A cut is noticed by the connections so late.
const CUT_NOTICED: Millis = 200;

impl Turn {
    /// Those with one number come to much the same, a little earlier or later.
    pub fn kin(&self) -> (u8, usize, usize, Millis) {
        match *self {
            Turn::Kill { node, back, .. } => (0, node, 0, back),
            Turn::Power { node, back, .. } => (1, node, 0, back),
            Turn::Wipe { node, back } => (2, node, 0, back),
            Turn::Freeze { node, span } => (3, node, 0, span),
            Turn::Cut { a, b, span } => (4, a.min(b), a.max(b), span),
            Turn::CutOff { node, span } => (5, node, 0, span),
            Turn::Release { node } => (6, node, 0, 0),
            Turn::Late { from, to, by } => (7, from, to, by),
            Turn::Lost { from, to } => (8, from.min(to), from.max(to), 0),
            Turn::DiskLate { node, by } => (9, node, 0, by),
            Turn::DiskRefuses { node } => (10, node, 0, 0),
            Turn::OneWay { from, to, span } => (11, from, to, span),
            Turn::Deaf { node, span } => (12, node, 0, span),
            Turn::Mute { node, span } => (13, node, 0, span),
            Turn::Join { node } => (14, node, 0, 0),
            Turn::Replace { node, with } => (15, node, with, 0),
            Turn::Succeed { node, with } => (16, node, with, 0),
            Turn::Gone { node } => (17, node, 0, 0),
            Turn::Split { node, with, span } => (18, node, with, span),
            Turn::Presumed { node, with } => (19, node, with, 0),
        }
    }
    /// It counts as trouble, and else as a delay.
    pub fn trouble(&self) -> bool {
        !matches!(
            self,
            Turn::Late { .. } | Turn::Lost { .. } | Turn::DiskLate { .. } | Turn::DiskRefuses { .. }
        )
    }
}

impl Sea {
    /// All turns that may be taken here. Trouble strikes a node where it has just done something: between two steps of one
    /// node, what others do is not changed by when it strikes there.
    pub fn turns(&self, troubles: bool, delays: bool) -> Vec<Turn> {
        let mut turns = Vec::new();
        let fine = self.bounds.grain == Grain::Fine;
        if let Some((node, _)) =
            self.touched.filter(|(i, weighty)| troubles && (*weighty || fine) && self.up(*i))
        {
            self.troubles(node, &mut turns);
        }
        if delays {
            self.delays(fine, &mut turns);
        }
        turns
    }

    fn troubles(&self, node: usize, turns: &mut Vec<Turn>) {
        let at = &self.nodes[node];
        if at.gone {
            return;
        }
        let lost = self.nodes.iter().enumerate().filter(|(i, n)| *i != node && n.seen.lost).count();
        let bearable = lost < self.bounds.losses;
        if self.bounds.kinds == Kinds::Growth {
            return self.growth(node, bearable, turns);
        }
        let of = |spans: &'static [Millis], one: usize| match self.bounds.spans {
            Spans::All => spans,
            Spans::One => &spans[one..=one],
            Spans::Long => &LONG,
        };
        for back in of(&BACK, 1).iter().copied() {
            for reached in 0..=at.writing.len() {
                // A disk that has nothing yet is as good as lost.
                let watch = |(_, _, record): &(Millis, u64, Record)| matches!(record, Record::Watch(_));
                let holds = at.disk.watch.is_some() || at.writing.iter().take(reached).any(watch);
                if bearable || holds {
                    turns.push(Turn::Kill { node, reached, back });
                    turns.push(Turn::Power { node, reached, back });
                }
            }
            if bearable {
                turns.push(Turn::Wipe { node, back });
            }
        }
        turns.extend(of(&FROZEN, 1).iter().map(|span| Turn::Freeze { node, span: *span }));
        for span in of(&APART, 1).iter().copied() {
            turns.push(Turn::CutOff { node, span });
            // Of three a node that meets one of the others meets the rest: with five that is not gone through.
            let others = (0..self.nodes.len()).filter(|b| *b != node && self.joined[self.way(node, *b)]);
            for b in others {
                turns.push(Turn::Cut { a: node, b, span });
                turns.push(Turn::OneWay { from: node, to: b, span });
            }
            turns.push(Turn::Deaf { node, span });
            turns.push(Turn::Mute { node, span });
        }
        turns.push(Turn::Release { node });
        self.growth(node, bearable, turns);
    }

    fn growth(&self, node: usize, bearable: bool, turns: &mut Vec<Turn>) {
        let spare = (self.bounds.nodes..self.nodes.len()).find(|i| self.nodes[*i].life == 0);
        // Before the first configuration nobody joins, and none is replaced.
        if let Some(with) = spare.filter(|_| self.lookout.highest > 0) {
            turns.push(Turn::Join { node: with });
            if bearable {
                turns.push(Turn::Replace { node, with });
                turns.push(Turn::Succeed { node, with });
                turns.push(Turn::Presumed { node, with });
            }
        }
        let came = (self.bounds.nodes..self.nodes.len()).filter(|i| self.nodes[*i].life > 0);
        for with in came {
            if bearable {
                turns.push(Turn::Gone { node });
            }
            if with != node && self.up(with) {
                turns.push(Turn::Split { node, with, span: APART[1] });
            }
        }
    }

    fn delays(&self, fine: bool, turns: &mut Vec<Turn>) {
        match self.next() {
            Some((_, Step::Said(from, to))) => {
                let head = self.wires[self.wire(from, to)].front();
                let pulse = |s: &Signal| matches!(s, Signal::Pulse(_) | Signal::PulseAck { .. });
                if head.is_some_and(|(_, signal)| fine || !pulse(signal)) {
                    turns.extend(LATE.map(|by| Turn::Late { from, to, by }));
                    turns.push(Turn::Lost { from, to });
                }
            }
            Some((_, Step::Synced(node))) => {
                turns.extend(DISK_LATE.map(|by| Turn::DiskLate { node, by }));
                // Where there is nothing on disk yet, one that refuses would be a disk that was lost.
                if self.nodes[node].disk.watch.is_some() {
                    turns.push(Turn::DiskRefuses { node });
                }
            }
            _ => {}
        }
    }

    pub fn take(&mut self, turn: Turn) {
        self.note(|| format!("== {turn:?}"));
        self.touched = None;
        match turn {
            Turn::Kill { node, reached, back } => {
                self.end(node, reached, true, false);
                self.at_least(back, Due::Start(node));
            }
            Turn::Power { node, reached, back } => {
                self.end(node, reached, false, false);
                self.at_least(back, Due::Start(node));
            }
            Turn::Wipe { node, back } => {
                self.end(node, 0, false, true);
                self.at_least(back, Due::Start(node));
            }
            Turn::Freeze { node, span } => {
                self.nodes[node].frozen = true;
                self.at_least(span, Due::Thaw(node));
            }
            Turn::Cut { a, b, span } => self.cut(a, b, span),
            Turn::CutOff { node, span } => self.cut_off(node, span),
            Turn::OneWay { from, to, span } => self.hold(from, to, span),
            Turn::Deaf { node, span } => {
                (0..self.nodes.len()).filter(|b| *b != node).for_each(|b| self.hold(b, node, span));
            }
            Turn::Mute { node, span } => {
                (0..self.nodes.len()).filter(|b| *b != node).for_each(|b| self.hold(node, b, span));
            }
            Turn::Join { node } => self.start(node),
            Turn::Replace { node, with } => {
                self.lose(node);
                self.at_least(SUCCESSOR, Due::Start(with));
            }
            Turn::Presumed { node, with } => {
                self.cut_off(node, APART[1]);
                (self.nodes[node].presumed, self.nodes[node].seen.lost) = (true, true);
                self.at_least(SUCCESSOR, Due::Start(with));
            }
            Turn::Succeed { node, with } => {
                self.start(with);
                self.nodes[node].gone = true;
                self.nodes[node].seen.lost = true;
                self.at_least(PLANNED, Due::Retire(node));
            }
            Turn::Gone { node } => self.lose(node),
            Turn::Split { node, with, span } => {
                for other in (0..self.nodes.len()).filter(|i| ![node, with].contains(i)) {
                    self.cut(node, other, span);
                    self.cut(with, other, span);
                }
            }
            Turn::Release { node } => self.with(node, |pilot, now| pilot.release(now)),
            Turn::Late { from, to, by } => {
                let (until, wire) = (self.next().map_or(self.now, |(at, _)| at) + by, self.wire(from, to));
                self.wires[wire].iter_mut().for_each(|(due, _)| *due = (*due).max(until));
            }
            Turn::Lost { from, to } => {
                self.part(from, to, 1, None);
                // Made anew a moment later, when both have heard of it.
                let way = self.way(from, to);
                self.cuts[way] += 1;
                self.at(3, Due::Heal(from, to));
            }
            Turn::DiskLate { node, by } => {
                let until = self.next().map_or(self.now, |(at, _)| at) + by;
                self.nodes[node].writing.iter_mut().for_each(|(due, ..)| *due = (*due).max(until));
            }
            Turn::DiskRefuses { node } => {
                self.now = self.next().map_or(self.now, |(at, _)| at);
                self.synced(node, false);
            }
        }
    }

    fn lose(&mut self, node: usize) {
        self.end(node, 0, false, false);
        (self.nodes[node].gone, self.nodes[node].seen.lost) = (true, true);
    }

    fn cut_off(&mut self, node: usize, span: Millis) {
        (0..self.nodes.len()).filter(|b| *b != node).for_each(|b| self.cut(node, b, span));
    }
    fn cut(&mut self, a: usize, b: usize, span: Millis) {
        let way = self.way(a, b);
        self.cuts[way] += 1;
        self.part(a, b, CUT_NOTICED, None);
        self.at_least(span, Due::Heal(a, b));
    }

    /// What is on its way, and what is sent from here on, arrives when the span is over, in its order: no connection breaks.
    fn hold(&mut self, from: usize, to: usize, span: Millis) {
        let (until, wire) = ((self.now + span).next_multiple_of(ROUND), self.wire(from, to));
        self.held[wire] = self.held[wire].max(until);
        self.wires[wire].iter_mut().for_each(|(due, _)| *due = (*due).max(until));
        self.at_least(span, Due::Hears(from, to));
    }
}
