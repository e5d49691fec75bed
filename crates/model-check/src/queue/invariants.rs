//! What must hold of the queue at every step, and after a calm: seen from its clients, its executor and the disks.

use super::fleet::{Execution, Fleet, SubmittedMessage};
use std::collections::BTreeSet;
use stileroute_queue::{Key, MessageState, Millis, StateTable};

/// Once trouble is over, what was told late or not at all may run again for so long.
const REDELIVERY_TOLERANCE: Millis = 4000;

/// A property of the queue, see [`QueueProperty::sentence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueProperty {
    /// An accepted message that has not run is on some disk.
    AcceptedIsKept,
    /// A message that no store has accepted never runs.
    RefusedNeverRuns,
    /// A completed message does not run again, but for a short time after a fault.
    NoSecondRun,
    /// No store starts what another, that runs, has taken over on its disk.
    OwnerStarts,
    /// No end is reported that did not happen.
    EndIsTrue,
    /// A retired store reports that it is empty only when enough other disks hold all messages.
    EmptiedIsNotNeeded,
    /// After a calm each accepted message has ended, and some store reports it.
    EndIsTold,
    /// Of all messages with one idempotency key one runs at the most, and all that are accepted have its name.
    KeyRunsOnce,
}

impl QueueProperty {
    /// All properties.
    pub const ALL: [QueueProperty; 8] = [
        QueueProperty::AcceptedIsKept,
        QueueProperty::RefusedNeverRuns,
        QueueProperty::NoSecondRun,
        QueueProperty::OwnerStarts,
        QueueProperty::EndIsTrue,
        QueueProperty::EmptiedIsNotNeeded,
        QueueProperty::EndIsTold,
        QueueProperty::KeyRunsOnce,
    ];

    /// The property in one sentence, as the search prints it.
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
            QueueProperty::KeyRunsOnce => {
                "of all messages with one key one runs at most, and all have its name"
            }
        }
    }
}

/// A property that does not hold.
#[derive(Clone, Debug)]
pub struct QueueBreach {
    /// Which one.
    pub property: QueueProperty,
    /// What shows it.
    pub evidence: String,
}

fn holds(ledger: &StateTable, key: Key) -> bool {
    ledger.messages.get(&key).is_some_and(|kept| kept.replica.is_some() || kept.end.is_some())
}

impl Fleet {
    /// The first property that does not hold now.
    pub fn check(&self) -> Option<QueueBreach> {
        let breach = |property, evidence| Some(QueueBreach { property, evidence });
        if let Some(evidence) = self.second_message_of_key() {
            return breach(QueueProperty::KeyRunsOnce, evidence);
        }
        for (at, sent) in self.messages.iter().enumerate() {
            let runs = || self.executions.iter().filter(move |run| run.message == at);
            if sent.is_refused && runs().next().is_some() {
                return breach(QueueProperty::RefusedNeverRuns, format!("message {at}"));
            }
            if let Some(again) = self.second_execution(at) {
                return breach(
                    QueueProperty::NoSecondRun,
                    format!("message {at} at {} ms", again.started_at),
                );
            }
            let Some(key) = sent.key else { continue };
            if !self.has_ended(at) && !self.disks().any(|(_, disk)| holds(disk, key)) {
                return breach(QueueProperty::AcceptedIsKept, format!("message {at} is on no disk"));
            }
            if let Some(evidence) = self.wrongly_reported_end(at, sent, key) {
                return breach(QueueProperty::EndIsTrue, evidence);
            }
        }
        None
    }

    /// The message has been completed, or the executor has rejected it; or another one that stands for its idempotency key.
    pub fn has_ended(&self, sent: usize) -> bool {
        let key = &self.messages[sent].message.idempotency_key;
        let is_same = |other: usize| {
            other == sent || (key.is_some() && self.messages[other].message.idempotency_key == *key)
        };
        self.executions.iter().any(|run| is_same(run.message) && run.ends_message && run.ended_at <= self.now)
    }

    /// Two messages with the one idempotency key have run, or are accepted under two names.
    fn second_message_of_key(&self) -> Option<String> {
        let is_keyed = |at: usize| self.messages[at].message.idempotency_key.is_some();
        let mut ran = self.executions.iter().map(|run| run.message).filter(|at| is_keyed(*at));
        if let Some(first) = ran.next() {
            if let Some(second) = ran.find(|at| *at != first) {
                return Some(format!("messages {first} and {second} have run"));
            }
        }
        let accepted = self.messages.iter().filter(|sent| sent.message.idempotency_key.is_some());
        let names: BTreeSet<Key> = accepted.filter_map(|sent| sent.key).collect();
        (names.len() > 1).then(|| format!("accepted as {names:?}"))
    }

    fn disks(&self) -> impl Iterator<Item = (usize, &StateTable)> {
        let left = self.stores.iter().enumerate().filter(|(_, store)| !store.is_removed);
        left.map(|(at, store)| (at, &store.disk.kept))
    }

    fn second_execution(&self, sent: usize) -> Option<&Execution> {
        let trouble = |at: Millis| {
            self.fault_periods.iter().any(|(from, to)| *from <= at && at <= to + REDELIVERY_TOLERANCE)
        };
        let runs = || self.executions.iter().filter(move |run| run.message == sent);
        let read = runs().filter_map(|run| run.read_at).min()?;
        runs().find(|run| run.started_at > read && !trouble(run.started_at))
    }

    fn wrongly_reported_end(&self, at: usize, sent: &SubmittedMessage, key: Key) -> Option<String> {
        let told = self.stores.iter().filter_map(|store| store.queue.as_ref()?.lookup(key));
        for (state, _) in told {
            let right = match state {
                MessageState::Waiting => true,
                MessageState::Complete { .. } => !sent.is_rejected_by_executor && self.has_ended(at),
                MessageState::Failed => sent.is_rejected_by_executor && self.has_ended(at),
            };
            if !right {
                return Some(format!("message {at} is told {state:?}"));
            }
        }
        None
    }

    /// A store has just said that it is empty: its disk may go, and another after it.
    pub fn check_empty_store(&self, emptied: usize) -> Option<QueueBreach> {
        // A disk that was lost is the loss that is borne.
        let enough = if self.stores.iter().any(|store| store.has_lost_disk) { 1 } else { 2 };
        let short = |(at, sent): &(usize, &SubmittedMessage)| {
            let on = |key| self.disks().filter(|(at, disk)| *at != emptied && holds(disk, key)).count();
            !self.has_ended(*at) && sent.key.is_some_and(|key| on(key) < enough)
        };
        let (at, _) = self.messages.iter().enumerate().find(short)?;
        let evidence = format!("message {at} is on fewer than {enough} other disks");
        Some(QueueBreach { property: QueueProperty::EmptiedIsNotNeeded, evidence })
    }

    /// A store starts a message.
    pub fn check_start(&self, store: usize, key: Key) -> Option<QueueBreach> {
        let starts = &self.stores[store];
        let term = starts
            .queue
            .as_ref()
            .and_then(|queue| Some(queue.message_view(self.now - starts.started_at, key)?.term));
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
    pub fn check_after_calm(&self) -> Option<QueueBreach> {
        let told = |key| {
            let all = self.stores.iter().filter_map(|store| Some(store.queue.as_ref()?.lookup(key)?.0));
            all.into_iter().any(|state| state != MessageState::Waiting)
        };
        let missing = |sent: &&SubmittedMessage| sent.key.is_some_and(|key| !told(key));
        let at = self.messages.iter().position(|sent| missing(&sent))?;
        let ended = self.has_ended(at);
        let evidence = format!(
            "of message {at} no end is told, {}",
            if ended { "and it ran" } else { "nor did it run" }
        );
        Some(QueueBreach { property: QueueProperty::EndIsTold, evidence })
    }

    /// All that was accepted has its end told, and nothing that was sent waits for an answer.
    pub fn is_settled(&self) -> bool {
        let open = self.messages.iter().any(|m| m.key.is_none() && !m.is_refused && !m.is_uncertain);
        !open && self.check_after_calm().is_none()
    }
}
