//! Where something could go another way than it does by itself.

use crate::world::{Due, Grain, Kinds, Spans, Step, World, ROUND};
use stileroute_control_group_planted::{Message, Millis, Record};

/// What takes another choice, at the state before a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Choice {
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

/// Less than the silence after which others stand, about as long, and until another replica has been named.
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

impl Choice {
    /// Those with one number come to much the same, a little earlier or later.
    pub fn kin(&self) -> (u8, usize, usize, Millis) {
        match *self {
            Choice::Kill { node, back, .. } => (0, node, 0, back),
            Choice::Power { node, back, .. } => (1, node, 0, back),
            Choice::Wipe { node, back } => (2, node, 0, back),
            Choice::Freeze { node, span } => (3, node, 0, span),
            Choice::Cut { a, b, span } => (4, a.min(b), a.max(b), span),
            Choice::CutOff { node, span } => (5, node, 0, span),
            Choice::Release { node } => (6, node, 0, 0),
            Choice::Late { from, to, by } => (7, from, to, by),
            Choice::Lost { from, to } => (8, from.min(to), from.max(to), 0),
            Choice::DiskLate { node, by } => (9, node, 0, by),
            Choice::DiskRefuses { node } => (10, node, 0, 0),
            Choice::OneWay { from, to, span } => (11, from, to, span),
            Choice::Deaf { node, span } => (12, node, 0, span),
            Choice::Mute { node, span } => (13, node, 0, span),
            Choice::Join { node } => (14, node, 0, 0),
            Choice::Replace { node, with } => (15, node, with, 0),
            Choice::Succeed { node, with } => (16, node, with, 0),
            Choice::Gone { node } => (17, node, 0, 0),
            Choice::Split { node, with, span } => (18, node, with, span),
            Choice::Presumed { node, with } => (19, node, with, 0),
        }
    }
    /// It counts as trouble, and else as a delay.
    pub fn trouble(&self) -> bool {
        !matches!(
            self,
            Choice::Late { .. } | Choice::Lost { .. } | Choice::DiskLate { .. } | Choice::DiskRefuses { .. }
        )
    }
}

impl World {
    /// All choices that may be taken here. Trouble strikes a node where it has just done something: between two steps of one
    /// node, what others do is not changed by when it strikes there.
    pub fn choices(&self, troubles: bool, delays: bool) -> Vec<Choice> {
        let mut choices = Vec::new();
        let fine = self.bounds.grain == Grain::Fine;
        if let Some((node, _)) =
            self.touched.filter(|(i, weighty)| troubles && (*weighty || fine) && self.up(*i))
        {
            self.troubles(node, &mut choices);
        }
        if delays {
            self.delays(fine, &mut choices);
        }
        choices
    }

    fn troubles(&self, node: usize, choices: &mut Vec<Choice>) {
        let at = &self.nodes[node];
        if at.gone {
            return;
        }
        let lost = self.nodes.iter().enumerate().filter(|(i, n)| *i != node && n.seen.lost).count();
        let bearable = lost < self.bounds.tolerated_losses;
        if self.bounds.kinds == Kinds::Growth {
            return self.growth(node, bearable, choices);
        }
        let of = |spans: &'static [Millis], one: usize| match self.bounds.spans {
            Spans::All => spans,
            Spans::One => &spans[one..=one],
            Spans::Long => &LONG,
        };
        for back in of(&BACK, 1).iter().copied() {
            for reached in 0..=at.writing.len() {
                // A disk that has nothing yet is as good as lost.
                let view = |(_, _, record): &(Millis, u64, Record)| matches!(record, Record::View(_));
                let holds = at.disk.view.is_some() || at.writing.iter().take(reached).any(view);
                if bearable || holds {
                    choices.push(Choice::Kill { node, reached, back });
                    choices.push(Choice::Power { node, reached, back });
                }
            }
            if bearable {
                choices.push(Choice::Wipe { node, back });
            }
        }
        choices.extend(of(&FROZEN, 1).iter().map(|span| Choice::Freeze { node, span: *span }));
        for span in of(&APART, 1).iter().copied() {
            choices.push(Choice::CutOff { node, span });
            // Of three a node that meets one of the others meets the rest: with five that is not gone through.
            let others = (0..self.nodes.len()).filter(|b| *b != node && self.joined[self.way(node, *b)]);
            for b in others {
                choices.push(Choice::Cut { a: node, b, span });
                choices.push(Choice::OneWay { from: node, to: b, span });
            }
            choices.push(Choice::Deaf { node, span });
            choices.push(Choice::Mute { node, span });
        }
        choices.push(Choice::Release { node });
        self.growth(node, bearable, choices);
    }

    fn growth(&self, node: usize, bearable: bool, choices: &mut Vec<Choice>) {
        let spare = (self.bounds.nodes..self.nodes.len()).find(|i| self.nodes[*i].life == 0);
        // Before the first configuration nobody joins, and none is replaced.
        if let Some(with) = spare.filter(|_| self.invariants.highest > 0) {
            choices.push(Choice::Join { node: with });
            if bearable {
                choices.push(Choice::Replace { node, with });
                choices.push(Choice::Succeed { node, with });
                choices.push(Choice::Presumed { node, with });
            }
        }
        let came = (self.bounds.nodes..self.nodes.len()).filter(|i| self.nodes[*i].life > 0);
        for with in came {
            if bearable {
                choices.push(Choice::Gone { node });
            }
            if with != node && self.up(with) {
                choices.push(Choice::Split { node, with, span: APART[1] });
            }
        }
    }

    fn delays(&self, fine: bool, choices: &mut Vec<Choice>) {
        match self.next() {
            Some((_, Step::Said(from, to))) => {
                let head = self.wires[self.wire(from, to)].front();
                let heartbeat = |s: &Message| matches!(s, Message::Heartbeat(_) | Message::HeartbeatAck(_));
                if head.is_some_and(|(_, message)| fine || !heartbeat(message)) {
                    choices.extend(LATE.map(|by| Choice::Late { from, to, by }));
                    choices.push(Choice::Lost { from, to });
                }
            }
            Some((_, Step::Synced(node))) => {
                choices.extend(DISK_LATE.map(|by| Choice::DiskLate { node, by }));
                // Where there is nothing on disk yet, one that refuses would be a disk that was lost.
                if self.nodes[node].disk.view.is_some() {
                    choices.push(Choice::DiskRefuses { node });
                }
            }
            _ => {}
        }
    }

    pub fn take(&mut self, choice: Choice) {
        self.note(|| format!("== {choice:?}"));
        self.touched = None;
        match choice {
            Choice::Kill { node, reached, back } => {
                self.end(node, reached, true, false);
                self.at_least(back, Due::Start(node));
            }
            Choice::Power { node, reached, back } => {
                self.end(node, reached, false, false);
                self.at_least(back, Due::Start(node));
            }
            Choice::Wipe { node, back } => {
                self.end(node, 0, false, true);
                self.at_least(back, Due::Start(node));
            }
            Choice::Freeze { node, span } => {
                self.nodes[node].frozen = true;
                self.at_least(span, Due::Thaw(node));
            }
            Choice::Cut { a, b, span } => self.cut(a, b, span),
            Choice::CutOff { node, span } => self.cut_off(node, span),
            Choice::OneWay { from, to, span } => self.hold(from, to, span),
            Choice::Deaf { node, span } => {
                (0..self.nodes.len()).filter(|b| *b != node).for_each(|b| self.hold(b, node, span));
            }
            Choice::Mute { node, span } => {
                (0..self.nodes.len()).filter(|b| *b != node).for_each(|b| self.hold(node, b, span));
            }
            Choice::Join { node } => self.start(node),
            Choice::Replace { node, with } => {
                self.lose(node);
                self.at_least(SUCCESSOR, Due::Start(with));
            }
            Choice::Presumed { node, with } => {
                self.cut_off(node, APART[1]);
                (self.nodes[node].presumed, self.nodes[node].seen.lost) = (true, true);
                self.at_least(SUCCESSOR, Due::Start(with));
            }
            Choice::Succeed { node, with } => {
                self.start(with);
                self.nodes[node].gone = true;
                self.nodes[node].seen.lost = true;
                self.at_least(PLANNED, Due::Retire(node));
            }
            Choice::Gone { node } => self.lose(node),
            Choice::Split { node, with, span } => {
                for other in (0..self.nodes.len()).filter(|i| ![node, with].contains(i)) {
                    self.cut(node, other, span);
                    self.cut(with, other, span);
                }
            }
            Choice::Release { node } => self.with(node, |group, now| group.shut_down(now)),
            Choice::Late { from, to, by } => {
                let (until, wire) = (self.next().map_or(self.now, |(at, _)| at) + by, self.wire(from, to));
                self.wires[wire].iter_mut().for_each(|(due, _)| *due = (*due).max(until));
            }
            Choice::Lost { from, to } => {
                self.part(from, to, 1, None);
                // Made anew a moment later, when both have heard of it.
                let way = self.way(from, to);
                self.cuts[way] += 1;
                self.at(3, Due::Heal(from, to));
            }
            Choice::DiskLate { node, by } => {
                let until = self.next().map_or(self.now, |(at, _)| at) + by;
                self.nodes[node].writing.iter_mut().for_each(|(due, ..)| *due = (*due).max(until));
            }
            Choice::DiskRefuses { node } => {
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
