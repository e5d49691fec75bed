//! Checks of what the simulated clients and executors have seen and of what is on the disks.

use super::configuration::RATE_LIMIT_PER_S;
use super::*;

/// Answers that a message may get, as a multiple of those that end it without faults: a store that has lost its
/// record of some attempts may repeat them.
const BUDGET_MULTIPLE: usize = 3;

impl Simulation {
    /// The state that each disk would give after a power loss, or after a kill with `all`.
    pub(super) fn disks(&self, all: bool) -> Vec<StateTable> {
        let read = |store: &Store| {
            let mut table = StateTable::default();
            let records: Vec<_> =
                if all { store.disk.written().collect() } else { store.disk.synced().collect() };
            for record in records {
                table.apply_record(postcard::from_bytes(record).unwrap());
            }
            table
        };
        self.stores.iter().map(read).collect()
    }

    /// Checks all guarantees that the simulated clients and executors can observe. With `ended`, no message may be
    /// waiting any more.
    pub fn check(&self, ended: bool) {
        let is_near_fault = |at: u64| {
            self.fault_periods.iter().any(|(from, to)| *from <= at && at <= to + REDELIVERY_TOLERANCE_MS)
        };
        for (n, sent) in self.messages.iter().enumerate() {
            let id = &sent.message.id;
            let runs: Vec<&Execution> = self.executions.iter().filter(|r| r.id == *id).collect();
            if sent.is_rejected {
                assert!(runs.is_empty(), "{id} was rejected and ran");
                continue;
            }
            if let Some(read) = runs.iter().filter_map(|r| r.read_at).min() {
                let again = runs.iter().find(|r| r.started_at > read && !is_near_fault(r.started_at));
                assert!(
                    again.is_none(),
                    "{id} ran again at {} after {read}: {runs:?}",
                    again.unwrap().started_at
                );
            }
            let early = runs.iter().find(|r| r.started_at < sent.sent_at + sent.message.delay_ms);
            assert!(early.is_none(), "{id} ran before its time: {early:?}");
            // A message with an idempotency key may have been merged with another one: see `check_keys`.
            if sent.name.is_none() || sent.message.idempotency_key.is_some() {
                continue;
            }
            let callbacks: Vec<_> =
                self.callbacks.iter().filter(|(of, _, is_delivered)| of == id && *is_delivered).collect();
            let Some((state, bytes)) = self.lookup(n) else {
                panic!("{id} is lost: {sent:?} {runs:?}, callbacks {callbacks:?}");
            };
            match &state {
                MessageState::Waiting => {
                    assert!(!ended, "{id} still waits: {sent:?} {runs:?}");
                    assert_eq!(bytes.as_ref(), Some(&sent.message.body), "{id}");
                }
                MessageState::Complete { seal } => {
                    assert!(
                        runs.iter().any(|r| r.completed_at.is_some()) && *seal == format!("s-{id}"),
                        "{id}"
                    );
                }
                MessageState::Failed => {
                    let gone = sent.message.target.starts_with("/gone/");
                    let is_rejected = runs.iter().any(|r| r.behavior == Behavior::Rejects);
                    let failed = runs.iter().filter(|r| r.behavior == Behavior::Fails).count();
                    let late = self.now > sent.sent_at + (self.max_wait_s * 1000.0) as u64;
                    let reason = gone || is_rejected || late || failed >= self.max_tries as usize;
                    assert!(reason, "{id} failed without a reason: {runs:?}");
                    assert_eq!(bytes.as_ref(), Some(&sent.message.body), "{id}: body of a failed message");
                }
            }
            let state_name =
                if matches!(state, MessageState::Complete { .. }) { "complete" } else { "failed" };
            if ended {
                assert!(
                    callbacks.iter().any(|(_, body, _)| body.contains(state_name)),
                    "{id}: no callback {runs:?}"
                );
            }
        }
        self.check_keys(ended);
        self.check_attempt_budget();
        self.check_order();
        // Most requests that any window of 5 s may hold.
        let most = (RATE_LIMIT_PER_S * 5.0 * 1.1 + 5.0) as usize;
        let excess = self.rate_limited_requests_at.windows(most + 1).find(|w| w[most] - w[0] < 5000);
        assert!(excess.is_none(), "over the rate limit: {excess:?}");
    }

    /// Checks that a message is not run again after executors have failed or rejected it [`BUDGET_MULTIPLE`] times as
    /// often as its route allows, whichever stores have owned it in between. Only answers that a store has read
    /// count.
    fn check_attempt_budget(&self) {
        for sent in &self.messages {
            let id = &sent.message.id;
            let mut runs: Vec<&Execution> = self.executions.iter().filter(|r| r.id == *id).collect();
            runs.sort_by_key(|run| run.started_at);
            let budgets = [
                (Behavior::Fails, BUDGET_MULTIPLE * self.max_tries as usize),
                (Behavior::Rejects, BUDGET_MULTIPLE),
            ];
            for (behavior, budget) in budgets {
                let answers =
                    runs.iter().filter(|run| run.behavior == behavior).filter_map(|run| run.failure_read_at);
                let Some(used_up_at) = answers.clone().nth(budget - 1) else { continue };
                let beyond = runs.iter().find(|run| run.started_at > used_up_at);
                assert!(beyond.is_none(), "{id} ran again after {budget} times {behavior:?}: {runs:?}");
            }
        }
    }

    pub(super) fn check_order(&self) {
        let runs = |m: &SentMessage| -> Vec<&Execution> {
            self.executions.iter().filter(|r| r.id == m.message.id).collect()
        };
        for later in self.messages.iter().filter(|m| m.message.ordering_key.is_some()) {
            let Some(start) = runs(later).iter().map(|r| r.started_at).min() else { continue };
            let before = |m: &&SentMessage| m.name.is_some() && m.answered_at < later.sent_at;
            let row = self.messages.iter().filter(|m| m.message.ordering_key == later.message.ordering_key);
            for earlier in row.filter(before) {
                let runs = runs(earlier);
                let done = runs.iter().filter_map(|r| r.completed_at).min();
                let rejected = runs.iter().find(|r| r.behavior == Behavior::Rejects).map(|r| r.ended_at);
                let failed =
                    runs.iter().filter(|r| r.behavior == Behavior::Fails).nth(self.max_tries as usize - 1);
                let end = [done, rejected, failed.map(|r| r.ended_at)].into_iter().flatten().min();
                let end = end.unwrap_or(earlier.sent_at + (self.max_wait_s * 1000.0) as u64);
                let (a, b) = (&earlier.message.id, &later.message.id);
                assert!(end <= start, "{b} started at {start}, before {a} had ended at {end}");
            }
        }
    }

    /// How far the store's retirement has come by its own account; `None` while its process is not running.
    pub fn retirement_state(&self, at: usize) -> Option<RetirementState> {
        Some(self.stores[at].queue.as_ref()?.retirement_state())
    }

    /// Describes the unfinished messages of a store's process, for the text of a failed assertion.
    pub fn describe(&self, at: usize) -> String {
        let Some(queue) = &self.stores[at].queue else { return "its process is not there".into() };
        format!("{:?} {:?}", queue.stage_counts(self.time(at)), queue.missing_replicas())
    }

    /// Checks that every accepted message, live or ended, is on at least `least` disks.
    pub fn check_disks(&self, least: usize) {
        let disks = self.disks(true);
        for sent in self.messages.iter() {
            let Some(name) = &sent.name else { continue };
            let key = Key::parse(name).unwrap().key;
            let holds = |table: &&StateTable| {
                table.messages.get(&key).is_some_and(|kept| kept.end.is_some() || kept.replica.is_some())
            };
            let disk_count = disks.iter().filter(holds).count();
            assert!(
                disk_count >= least,
                "{} ({name}) is on {disk_count} disks at {}",
                sent.message.id,
                self.now
            );
        }
    }

    /// Checks that, at rest, every accepted message is on `replica_count` + 1 disks.
    pub fn check_replicas(&self) {
        self.check_replicas_without(usize::MAX);
    }

    /// Checks that every accepted message is on `replica_count` + 1 disks even without the disk of the store `gone`.
    pub fn check_replicas_without(&self, gone: usize) {
        let mut disks = self.disks(false);
        disks
            .iter_mut()
            .enumerate()
            .filter(|(at, _)| *at == gone)
            .for_each(|(_, l)| *l = StateTable::default());
        for (n, sent) in self.messages.iter().enumerate() {
            let Some((state, _)) = self.lookup(n) else { continue };
            let key = Key::parse(sent.name.as_deref().unwrap()).unwrap().key;
            let is_live = state == MessageState::Waiting;
            let lies = |l: &&StateTable| {
                let kept = l.messages.get(&key);
                kept.is_some_and(|k| {
                    if is_live {
                        k.end.is_none() && k.replica.is_some()
                    } else {
                        k.end.is_some()
                    }
                })
            };
            let disk_count = disks.iter().filter(lies).count();
            assert!(
                disk_count > self.replica_count,
                "{} ({state:?}) is on {disk_count} disks",
                sent.message.id
            );
        }
    }

    /// Checks that no disk holds anything that a restart would take for a live message.
    pub fn check_no_live_leftovers(&self) {
        for (store, table) in self.stores.iter().zip(self.disks(true)) {
            let left = table.messages.iter().find(|(_, kept)| kept.end.is_none() && kept.replica.is_some());
            assert!(left.is_none(), "left on the disk of {:x}: {left:?}", store.node);
        }
    }
}
