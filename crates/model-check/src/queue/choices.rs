//! Where something could go another way in the queue.

use super::fleet::{Event, Fleet, QueueScript};
use std::collections::BTreeSet;
use stileroute_queue::Millis;

/// A fault or a delay that strikes before a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueChoice {
    /// The process is killed; others notice at once.
    Kill {
        /// Index of the store.
        store: usize,
        /// How many of the writes in flight are on disk.
        reached: usize,
        /// Downtime in milliseconds.
        back: Millis,
    },
    /// The machine loses power; others notice late.
    Power {
        /// Index of the store.
        store: usize,
        /// How many of the writes in flight are on disk.
        reached: usize,
        /// Downtime in milliseconds.
        back: Millis,
    },
    /// The process ends, and is back with an empty disk.
    Wipe {
        /// Index of the store.
        store: usize,
        /// Downtime in milliseconds.
        back: Millis,
    },
    /// The process does nothing for a time.
    Freeze {
        /// Index of the store.
        store: usize,
        /// How long it lasts, in milliseconds.
        span: Millis,
    },
    /// A partition between two stores, in one direction or both.
    Cut {
        /// The store from which it comes.
        from: usize,
        /// The store to which nothing arrives, or late.
        to: usize,
        /// The other direction, too.
        both: bool,
        /// How long it lasts, in milliseconds.
        span: Millis,
    },
    /// A partition from all stores and from the control group.
    CutOff {
        /// Index of the store.
        store: usize,
        /// How long it lasts, in milliseconds.
        span: Millis,
    },
    /// A cut into two halves: one store and the majority of the control group on one side, the others on the other.
    Halve {
        /// Index of the store that is heard by the control group.
        alone: usize,
        /// How long it lasts, in milliseconds.
        span: Millis,
    },
    /// A store loses its disk while all other machines lose power, the edges too.
    Blackout {
        /// Index of the store that loses its disk.
        wiped: usize,
        /// Whether the writes in flight at the others are on disk.
        are_written: bool,
        /// Downtime in milliseconds.
        back: Millis,
    },
    /// A graceful shutdown (SIGTERM) and a restart.
    Leave {
        /// Index of the store.
        store: usize,
    },
    /// The next message between two stores, and all behind it, arrive later.
    Late {
        /// The store from which it comes.
        from: usize,
        /// The store to which nothing arrives, or late.
        to: usize,
        /// The delay in milliseconds.
        by: Millis,
    },
}

/// Before others miss it, and after they have taken over.
const DOWNTIMES: [Millis; 2] = [700, 7000];
const FREEZES: [Millis; 2] = [700, 4000];
const PARTITIONS: [Millis; 2] = [500, 4000];
const MESSAGE_DELAYS: [Millis; 2] = [30, 400];
/// An orderly end, until it is back.
const SHUTDOWN_DOWNTIME: Millis = 500;
/// A connection that hears nothing is given up after so long, and a session lapses.
const CONNECTION_TIMEOUT: Millis = 1000;
/// The control group calls the session of a store lapsed so long after it was last heard.
pub const SESSION_LAPSE_DELAY: Millis = 2500;
/// One that is cut off knows after so long that its session may have lapsed, and that it is not heard.
const CONTROL_LOSS_DELAYS: [Millis; 2] = [1500, 2500];
const ISOLATED_SESSION_LAPSE_DELAY: Millis = 1700;

impl QueueChoice {
    /// It counts as a fault; else as a delay.
    pub fn is_fault(&self) -> bool {
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
            self.faults_of(store, &mut choices);
        }
        if delays {
            for to in (0..self.stores.len()).filter(|to| self.has_messages_in_flight(store, *to)) {
                choices.extend(MESSAGE_DELAYS.map(|by| QueueChoice::Late { from: store, to, by }));
            }
        }
        choices
    }

    fn faults_of(&self, store: usize, choices: &mut Vec<QueueChoice>) {
        if self.bounds.script == QueueScript::Keys {
            return self.faults_beside_lost_disk(store, choices);
        }
        let under_way = self.stores[store].disk.in_flight.len();
        let one = self.bounds.one_span;
        let of = |spans: [Millis; 2]| spans.into_iter().skip(usize::from(one));
        let apart = || (0..self.stores.len()).filter(move |other| *other != store);
        for reached in (0..=under_way).filter(|reached| !one || [0, under_way].contains(reached)) {
            choices.extend(of(DOWNTIMES).map(|back| QueueChoice::Kill { store, reached, back }));
            choices.extend(of(DOWNTIMES).map(|back| QueueChoice::Power { store, reached, back }));
        }
        // No more disks are lost than are to be borne.
        if !self.stores.iter().any(|other| other.has_lost_disk) {
            choices.extend(of(DOWNTIMES).map(|back| QueueChoice::Wipe { store, back }));
        }
        choices.extend(of(FREEZES).map(|span| QueueChoice::Freeze { store, span }));
        choices.extend(of(PARTITIONS).map(|span| QueueChoice::CutOff { store, span }));
        for to in apart() {
            for span in of(PARTITIONS) {
                choices.push(QueueChoice::Cut { from: store, to, both: false, span });
                choices.push(QueueChoice::Cut { from: store, to, both: true, span });
            }
        }
        choices.push(QueueChoice::Leave { store });
        if self.bounds.fleet_wide {
            choices.extend(of(PARTITIONS).map(|span| QueueChoice::Halve { alone: store, span }));
            if !self.stores.iter().any(|other| other.has_lost_disk) {
                let blackout = |back, are_written| QueueChoice::Blackout { wiped: store, are_written, back };
                choices.extend(of(DOWNTIMES).map(|back| blackout(back, false)));
                choices.extend(of(DOWNTIMES).map(|back| blackout(back, true)));
            }
        }
    }

    /// One disk is lost, and its store is back soon; the other fault outlasts that.
    fn faults_beside_lost_disk(&self, store: usize, choices: &mut Vec<QueueChoice>) {
        let has_lost_disk = self.stores.iter().any(|other| other.has_lost_disk);
        if !has_lost_disk {
            choices.push(QueueChoice::Wipe { store, back: DOWNTIMES[0] });
        }
        // Without a lost disk the second fault is that.
        if !has_lost_disk && !self.fault_periods.is_empty() {
            return;
        }
        let under_way = self.stores[store].disk.in_flight.len();
        for reached in BTreeSet::from([0, under_way]) {
            choices.push(QueueChoice::Kill { store, reached, back: DOWNTIMES[1] });
            choices.push(QueueChoice::Power { store, reached, back: DOWNTIMES[1] });
        }
        choices.push(QueueChoice::Freeze { store, span: FREEZES[1] });
        choices.push(QueueChoice::CutOff { store, span: PARTITIONS[1] });
        for to in (0..self.stores.len()).filter(|other| *other != store) {
            choices.push(QueueChoice::Cut { from: store, to, both: true, span: PARTITIONS[1] });
        }
    }

    /// Lets a choice strike.
    pub fn strike(&mut self, choice: QueueChoice) {
        self.trace_line(|| format!("TURN {choice:?}"));
        match choice {
            QueueChoice::Kill { store, reached, back } => self.end_process(store, reached, 5, back),
            QueueChoice::Power { store, reached, back } => {
                self.end_process(store, reached, CONNECTION_TIMEOUT, back)
            }
            QueueChoice::Wipe { store, back } => {
                self.end_process(store, 0, 5, back);
                self.lose_disk(store);
            }
            QueueChoice::Freeze { store, span } => self.freeze(store, span),
            QueueChoice::Cut { from, to, both, span } => {
                self.partition(from, to, span);
                if both {
                    self.partition(to, from, span);
                }
                self.note_fault(span);
                self.break_when_silent(from, to, span);
            }
            QueueChoice::CutOff { store, span } => self.isolate(store, span),
            QueueChoice::Halve { alone, span } => self.halve(alone, span),
            QueueChoice::Blackout { wiped, are_written, back } => self.black_out(wiped, are_written, back),
            QueueChoice::Leave { store } => {
                self.stores[store].draining_since = Some(self.now);
                self.note_fault(SHUTDOWN_DOWNTIME);
                self.run_turn(store);
            }
            QueueChoice::Late { from, to, by } => {
                let until = self.now + by;
                self.delayed_until.insert((from, to), until);
                self.note_fault(by);
            }
        }
    }

    fn end_process(&mut self, store: usize, reached: usize, noticed: Millis, back: Millis) {
        self.stores[store].disk.abort_writes(reached);
        self.stop(store, noticed);
        self.note_fault(back);
        self.at(back, Event::Start { at: store });
    }

    fn freeze(&mut self, store: usize, span: Millis) {
        let life = self.stores[store].incarnation;
        self.stores[store].frozen_until = self.now + span;
        self.note_fault(span);
        for other in (0..self.stores.len()).filter(|other| *other != store) {
            self.break_when_silent(store, other, span);
            self.at(span + 60, Event::Connect { a: store, b: other });
        }
        if span > SESSION_LAPSE_DELAY {
            self.at(SESSION_LAPSE_DELAY, Event::SessionLapses { at: store, life });
        }
        self.at(span, Event::Thaw { at: store, life });
        self.at(span + 100, Event::MembersTold);
    }

    fn partition(&mut self, from: usize, to: usize, span: Millis) {
        let until = self.now + span;
        self.partitioned_until.insert((from, to), until);
        self.at(span + 60, Event::Connect { a: from, b: to });
    }

    fn break_when_silent(&mut self, a: usize, b: usize, span: Millis) {
        let pair = (a.min(b), a.max(b));
        if let Some(link) = self.connections.get(&pair).copied().filter(|_| span > CONNECTION_TIMEOUT) {
            self.at(CONNECTION_TIMEOUT, Event::Disconnect { a: pair.0, b: pair.1, link });
        }
    }

    fn isolate(&mut self, store: usize, span: Millis) {
        self.note_fault(span);
        self.cut_from_all(store, span);
        self.lose_control(store, span);
    }

    /// The others hear each other, and no control node with a majority.
    fn halve(&mut self, alone: usize, span: Millis) {
        self.note_fault(span);
        self.cut_from_all(alone, span);
        for other in (0..self.stores.len()).filter(|other| *other != alone) {
            self.lose_control(other, span);
        }
    }

    fn cut_from_all(&mut self, store: usize, span: Millis) {
        for other in (0..self.stores.len()).filter(|other| *other != store) {
            self.partition(store, other, span);
            self.partition(other, store, span);
            self.break_when_silent(store, other, span);
        }
    }

    fn lose_control(&mut self, store: usize, span: Millis) {
        let life = self.stores[store].incarnation;
        self.stores[store].is_isolated = true;
        for (after, heard) in
            CONTROL_LOSS_DELAYS.into_iter().zip([true, false]).filter(|(after, _)| *after < span)
        {
            self.at(after, Event::ControlLost { at: store, life, heard });
        }
        if span > ISOLATED_SESSION_LAPSE_DELAY {
            self.at(ISOLATED_SESSION_LAPSE_DELAY, Event::SessionLapses { at: store, life });
        }
        self.at(span, Event::IsolationEnds { at: store });
    }

    fn black_out(&mut self, wiped: usize, are_written: bool, back: Millis) {
        let present: Vec<usize> =
            (0..self.stores.len()).filter(|store| !self.stores[*store].is_removed).collect();
        for store in present {
            let in_flight = self.stores[store].disk.in_flight.len();
            let reached = if are_written && store != wiped { in_flight } else { 0 };
            self.end_process(store, reached, CONNECTION_TIMEOUT, back);
        }
        self.lose_disk(wiped);
        self.lose_edge();
    }
}
