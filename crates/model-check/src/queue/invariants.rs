//! What must hold of the queue at every step, and after a calm: seen from its clients, its executor and the disks.

use super::fleet::{Fleet, Run, Sent};
use stileroute_queue::{Key, MessageState, Millis, StateTable};

/// Once trouble is over, what was told late or not at all may run again for so long.
const QUIET: Millis = 4000;

/// Each in one sentence: its text is what the search prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueProperty {
    AcceptedIsKept,
    RefusedNeverRuns,
    NoSecondRun,
    OwnerStarts,
    EndIsTrue,
    EmptiedIsNotNeeded,
    EndIsTold,
}

impl QueueProperty {
    pub const ALL: [QueueProperty; 7] = [
        QueueProperty::AcceptedIsKept,
        QueueProperty::RefusedNeverRuns,
        QueueProperty::NoSecondRun,
        QueueProperty::OwnerStarts,
        QueueProperty::EndIsTrue,
        QueueProperty::EmptiedIsNotNeeded,
        QueueProperty::EndIsTold,
    ];

    pub fn sentence(self) -> &'static str {
        match self {
            QueueProperty::AcceptedIsKept => "what was accepted and has not run is on a disk that is left",
            QueueProperty::RefusedNeverRuns => "what was refused never runs",
            QueueProperty::NoSecondRun => {
                "nothing runs again after a success that was read, but for 4 s after a trouble"
            }
            QueueProperty::OwnerStarts => {
                "no store starts what another, that is up, has taken over on its disk"
            }
            QueueProperty::EndIsTrue => "nothing is told complete or failed that did not end so",
            QueueProperty::EmptiedIsNotNeeded => {
                "a store says that it is empty only when all lies on enough other disks"
            }
            QueueProperty::EndIsTold => {
                "after a calm what was accepted has ended, and that is told, on whatever disks are left"
            }
        }
    }
}

#[derive(Clone, Debug)]
pub struct QueueBreach {
    pub property: QueueProperty,
    pub evidence: String,
}

fn holds(ledger: &StateTable, key: Key) -> bool {
    ledger.messages.get(&key).is_some_and(|kept| kept.replica.is_some() || kept.end.is_some())
}

impl Fleet {
    /// What is broken now, if anything.
    pub fn look(&self) -> Option<QueueBreach> {
        let breach = |property, evidence| Some(QueueBreach { property, evidence });
        for (at, sent) in self.messages.iter().enumerate() {
            let runs = || self.runs.iter().filter(move |run| run.sent == at);
            if sent.refused && runs().next().is_some() {
                return breach(QueueProperty::RefusedNeverRuns, format!("message {at}"));
            }
            if let Some(again) = self.again(at) {
                return breach(QueueProperty::NoSecondRun, format!("message {at} at {} ms", again.at));
            }
            let Some(key) = sent.key else { continue };
            if !self.has_ended(at) && !self.disks().any(|(_, disk)| holds(disk, key)) {
                return breach(QueueProperty::AcceptedIsKept, format!("message {at} is on no disk"));
            }
            if let Some(evidence) = self.told_wrong(at, sent, key) {
                return breach(QueueProperty::EndIsTrue, evidence);
            }
        }
        None
    }

    /// It has been done, or the executor refused it.
    pub fn has_ended(&self, sent: usize) -> bool {
        self.runs.iter().any(|run| run.sent == sent && run.ends && run.over <= self.now)
    }

    fn disks(&self) -> impl Iterator<Item = (usize, &StateTable)> {
        let left = self.stores.iter().enumerate().filter(|(_, store)| !store.vanished);
        left.map(|(at, store)| (at, &store.disk.kept))
    }

    fn again(&self, sent: usize) -> Option<&Run> {
        let trouble = |at: Millis| self.troubles.iter().any(|(from, to)| *from <= at && at <= to + QUIET);
        let runs = || self.runs.iter().filter(move |run| run.sent == sent);
        let read = runs().filter_map(|run| run.read).min()?;
        runs().find(|run| run.at > read && !trouble(run.at))
    }

    fn told_wrong(&self, at: usize, sent: &Sent, key: Key) -> Option<String> {
        let told = self.stores.iter().filter_map(|store| store.queue.as_ref()?.lookup(key));
        for (state, _) in told {
            let right = match state {
                MessageState::Waiting => true,
                MessageState::Complete { .. } => !sent.refuses && self.has_ended(at),
                MessageState::Failed => sent.refuses && self.has_ended(at),
            };
            if !right {
                return Some(format!("message {at} is told {state:?}"));
            }
        }
        None
    }

    /// A store has just said that it is empty: its disk may go, and another after it.
    pub fn look_at_emptied(&self, emptied: usize) -> Option<QueueBreach> {
        // A disk that was lost is the loss that is borne.
        let enough = if self.stores.iter().any(|store| store.lost_disk) { 1 } else { 2 };
        let short = |(at, sent): &(usize, &Sent)| {
            let on = |key| self.disks().filter(|(at, disk)| *at != emptied && holds(disk, key)).count();
            !self.has_ended(*at) && sent.key.is_some_and(|key| on(key) < enough)
        };
        let (at, _) = self.messages.iter().enumerate().find(short)?;
        let evidence = format!("message {at} is on fewer than {enough} other disks");
        Some(QueueBreach { property: QueueProperty::EmptiedIsNotNeeded, evidence })
    }

    /// A store starts a message.
    pub fn look_at_start(&self, store: usize, key: Key) -> Option<QueueBreach> {
        let starts = &self.stores[store];
        let term = starts
            .queue
            .as_ref()
            .and_then(|queue| Some(queue.message_view(self.now - starts.began, key)?.term));
        let newer = |(at, other): &(usize, &super::stores::Store)| {
            let shared = other.disk.kept.messages.get(&key).and_then(|kept| kept.replica.as_ref());
            *at != store
                && other.runs(self.now)
                && shared.is_some_and(|s| s.owner == other.node && term.is_some_and(|term| s.term > term))
        };
        let (at, _) = self.stores.iter().enumerate().find(newer)?;
        let evidence = format!("{key:?} is started by store {store}, and store {at} has taken it over");
        Some(QueueBreach { property: QueueProperty::OwnerStarts, evidence })
    }

    /// After the calm.
    pub fn look_at_calm(&self) -> Option<QueueBreach> {
        let told = |key| {
            let all = self.stores.iter().filter_map(|store| Some(store.queue.as_ref()?.lookup(key)?.0));
            all.into_iter().any(|state| state != MessageState::Waiting)
        };
        let missing = |sent: &&Sent| sent.key.is_some_and(|key| !told(key));
        let at = self.messages.iter().position(|sent| missing(&sent))?;
        let ended = self.has_ended(at);
        let evidence = format!(
            "of message {at} no end is told, {}",
            if ended { "and it ran" } else { "nor did it run" }
        );
        Some(QueueBreach { property: QueueProperty::EndIsTold, evidence })
    }

    /// All that was accepted has its end told, and nothing that was sent waits for an answer.
    pub fn settled(&self) -> bool {
        let open = self.messages.iter().any(|m| m.key.is_none() && !m.refused && !m.unclear);
        !open && self.look_at_calm().is_none()
    }
}
