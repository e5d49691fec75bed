//! Where something could go another way in the queue.

use super::fleet::{Event, Fleet};
use stileroute_queue::Millis;

/// What takes another choice, at the state before a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueChoice {
    /// The process ends, so many of the records under way are on disk, and it is back after so long.
    Kill {
        store: usize,
        reached: usize,
        back: Millis,
    },
    /// And others notice late.
    Power {
        store: usize,
        reached: usize,
        back: Millis,
    },
    /// It is back with an empty disk.
    Wipe {
        store: usize,
        back: Millis,
    },
    Freeze {
        store: usize,
        span: Millis,
    },
    /// Between two, both ways or one.
    Cut {
        from: usize,
        to: usize,
        both: bool,
        span: Millis,
    },
    /// From all stores and from the control nodes.
    CutOff {
        store: usize,
        span: Millis,
    },
    /// SIGTERM; it starts again.
    Leave {
        store: usize,
    },
    /// The word that comes next, and all behind it, come so much later.
    Late {
        from: usize,
        to: usize,
        by: Millis,
    },
}

/// Before others miss it, and after they have taken over.
const BACK: [Millis; 2] = [700, 7000];
const FROZEN: [Millis; 2] = [700, 4000];
const APART: [Millis; 2] = [500, 4000];
const LATE: [Millis; 2] = [30, 400];
/// An orderly end, until it is back.
const LEFT: Millis = 500;
/// A connection that hears nothing is given up after so long, and a session lapses.
const SILENT: Millis = 1000;
pub const LAPSE: Millis = 2500;
/// One that is cut off knows after so long that its session may have lapsed, and that it is not heard.
const DEAF: [Millis; 2] = [1500, 2500];
const LAPSE_OFF: Millis = 1700;

impl QueueChoice {
    /// How long it lasts.
    fn span(&self) -> Millis {
        match *self {
            QueueChoice::Kill { back, .. }
            | QueueChoice::Power { back, .. }
            | QueueChoice::Wipe { back, .. } => back,
            QueueChoice::Freeze { span, .. }
            | QueueChoice::Cut { span, .. }
            | QueueChoice::CutOff { span, .. } => span,
            QueueChoice::Leave { .. } => LEFT,
            QueueChoice::Late { by, .. } => by,
        }
    }

    fn strikes(&self) -> Option<usize> {
        match *self {
            QueueChoice::Kill { store, .. }
            | QueueChoice::Power { store, .. }
            | QueueChoice::Wipe { store, .. }
            | QueueChoice::Freeze { store, .. }
            | QueueChoice::CutOff { store, .. }
            | QueueChoice::Leave { store } => Some(store),
            QueueChoice::Cut { from, .. } => Some(from),
            QueueChoice::Late { .. } => None,
        }
    }

    /// It counts as trouble, and else as a delay.
    pub fn trouble(&self) -> bool {
        !matches!(self, QueueChoice::Late { .. })
    }
}

impl Fleet {
    /// All choices that may be taken here: at the store that has just done something.
    pub fn choices(&self, troubles: bool, delays: bool) -> Vec<QueueChoice> {
        let mut choices = Vec::new();
        let Some(store) = self.touched.filter(|store| self.stores[*store].runs(self.now)) else {
            return choices;
        };
        if troubles {
            self.troubles_of(store, &mut choices);
        }
        if delays {
            for to in (0..self.stores.len()).filter(|to| self.on_its_way(store, *to)) {
                choices.extend(LATE.map(|by| QueueChoice::Late { from: store, to, by }));
            }
        }
        choices
    }

    fn troubles_of(&self, store: usize, choices: &mut Vec<QueueChoice>) {
        let under_way = self.stores[store].disk.writing.len();
        let one = self.bounds.one_span;
        let of = |spans: [Millis; 2]| spans.into_iter().skip(usize::from(one));
        let apart = || (0..self.stores.len()).filter(move |other| *other != store);
        for reached in (0..=under_way).filter(|reached| !one || [0, under_way].contains(reached)) {
            choices.extend(of(BACK).map(|back| QueueChoice::Kill { store, reached, back }));
            choices.extend(of(BACK).map(|back| QueueChoice::Power { store, reached, back }));
        }
        // No more disks are lost than are to be borne.
        if !self.stores.iter().any(|other| other.lost_disk) {
            choices.extend(of(BACK).map(|back| QueueChoice::Wipe { store, back }));
        }
        choices.extend(of(FROZEN).map(|span| QueueChoice::Freeze { store, span }));
        choices.extend(of(APART).map(|span| QueueChoice::CutOff { store, span }));
        for to in apart() {
            for span in of(APART) {
                choices.push(QueueChoice::Cut { from: store, to, both: false, span });
                choices.push(QueueChoice::Cut { from: store, to, both: true, span });
            }
        }
        choices.push(QueueChoice::Leave { store });
        if self.bounds.one_away && self.another_is_away(store) {
            choices.retain(|choice| choice.span() < LAPSE);
        }
    }

    /// Or will be, for longer than others wait for it.
    fn another_is_away(&self, store: usize) -> bool {
        self.away.iter().any(|(other, until)| *other != store && *until > self.now)
    }

    pub fn take(&mut self, choice: QueueChoice) {
        if let Some(store) = choice.strikes().filter(|_| choice.span() >= LAPSE) {
            self.away.push((store, self.now + choice.span()));
        }
        self.told(|| format!("TURN {choice:?}"));
        match choice {
            QueueChoice::Kill { store, reached, back } => self.end(store, reached, 5, back),
            QueueChoice::Power { store, reached, back } => self.end(store, reached, SILENT, back),
            QueueChoice::Wipe { store, back } => {
                self.end(store, 0, 5, back);
                self.lose_disk(store);
            }
            QueueChoice::Freeze { store, span } => self.freeze(store, span),
            QueueChoice::Cut { from, to, both, span } => {
                self.cut(from, to, span);
                if both {
                    self.cut(to, from, span);
                }
                self.trouble(span);
                self.break_when_silent(from, to, span);
            }
            QueueChoice::CutOff { store, span } => self.cut_off(store, span),
            QueueChoice::Leave { store } => {
                self.stores[store].leaving = Some(self.now);
                self.trouble(LEFT);
                self.choice(store);
            }
            QueueChoice::Late { from, to, by } => {
                let until = self.now + by;
                self.late.insert((from, to), until);
                self.trouble(by);
            }
        }
    }

    fn end(&mut self, store: usize, reached: usize, noticed: Millis, back: Millis) {
        self.stores[store].disk.end(reached);
        self.stop(store, noticed);
        self.trouble(back);
        self.at(back, Event::Start { at: store });
    }

    fn freeze(&mut self, store: usize, span: Millis) {
        let life = self.stores[store].life;
        self.stores[store].frozen = self.now + span;
        self.trouble(span);
        for other in (0..self.stores.len()).filter(|other| *other != store) {
            self.break_when_silent(store, other, span);
            self.at(span + 60, Event::Up { a: store, b: other });
        }
        if span > LAPSE {
            self.at(LAPSE, Event::Lapse { at: store, life });
        }
        self.at(span, Event::Thaw { at: store, life });
        self.at(span + 100, Event::Members);
    }

    fn cut(&mut self, from: usize, to: usize, span: Millis) {
        let until = self.now + span;
        self.cuts.insert((from, to), until);
        self.at(span + 60, Event::Up { a: from, b: to });
    }

    fn break_when_silent(&mut self, a: usize, b: usize, span: Millis) {
        let pair = (a.min(b), a.max(b));
        if let Some(link) = self.links.get(&pair).copied().filter(|_| span > SILENT) {
            self.at(SILENT, Event::Broken { a: pair.0, b: pair.1, link });
        }
    }

    fn cut_off(&mut self, store: usize, span: Millis) {
        let life = self.stores[store].life;
        self.trouble(span);
        for other in (0..self.stores.len()).filter(|other| *other != store) {
            self.cut(store, other, span);
            self.cut(other, store, span);
            self.break_when_silent(store, other, span);
        }
        self.stores[store].off = true;
        for (after, heard) in DEAF.into_iter().zip([true, false]).filter(|(after, _)| *after < span) {
            self.at(after, Event::Deaf { at: store, life, heard });
        }
        if span > LAPSE_OFF {
            self.at(LAPSE_OFF, Event::Lapse { at: store, life });
        }
        self.at(span, Event::Heard { at: store });
    }
}
