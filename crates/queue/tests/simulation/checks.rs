//! What must hold of what the stand-ins have seen, and of what lies on the disks.

use super::configuration::RATE_LIMIT_PER_S;
use super::*;

/// Answers that a message may get, as a multiple of those that end it in calm: a store that lost its memory of some may repeat them.
const BUDGET_MULTIPLE: usize = 3;

impl Simulation {
    /// What each disk would give after a loss of power.
    pub(super) fn disks(&self, all: bool) -> Vec<StateTable> {
        let read = |store: &Store| {
            let mut ledger = StateTable::default();
            let records: Vec<_> =
                if all { store.disk.written().collect() } else { store.disk.synced().collect() };
            for record in records {
                ledger.apply_record(postcard::from_bytes(record).unwrap());
            }
            ledger
        };
        self.stores.iter().map(read).collect()
    }

    /// All that was promised, as far as the stand-ins can see. `ended`: by now nothing may wait any more.
    pub fn check(&self, ended: bool) {
        let trouble = |at: u64| {
            self.fault_periods.iter().any(|(from, to)| *from <= at && at <= to + REDELIVERY_TOLERANCE_MS)
        };
        for (n, sent) in self.messages.iter().enumerate() {
            let id = &sent.message.id;
            let runs: Vec<&Execution> = self.executions.iter().filter(|r| r.id == *id).collect();
            if sent.is_refused {
                assert!(runs.is_empty(), "{id} was refused and ran");
                continue;
            }
            if let Some(read) = runs.iter().filter_map(|r| r.read_at).min() {
                let again = runs.iter().find(|r| r.started_at > read && !trouble(r.started_at));
                assert!(
                    again.is_none(),
                    "{id} ran again at {} after {read}: {runs:?}",
                    again.unwrap().started_at
                );
            }
            let early = runs.iter().find(|r| r.started_at < sent.sent_at + sent.message.delay_ms);
            assert!(early.is_none(), "{id} ran before its time: {early:?}");
            // One with an idempotency key may be another one's: see `check_keys`.
            if sent.name.is_none() || sent.message.idempotency_key.is_some() {
                continue;
            }
            let called: Vec<_> = self.callbacks.iter().filter(|(of, _, taken)| of == id && *taken).collect();
            let Some((state, bytes)) = self.ask(n) else {
                panic!("{id} is lost: {sent:?} {runs:?}, callbacks {called:?}");
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
                    let refused = runs.iter().any(|r| r.behavior == Behavior::Refuses);
                    let failed = runs.iter().filter(|r| r.behavior == Behavior::Fails).count();
                    let late = self.now > sent.sent_at + (self.max_wait_s * 1000.0) as u64;
                    let reason = gone || refused || late || failed >= self.max_tries as usize;
                    assert!(reason, "{id} failed without a reason: {runs:?}");
                    assert_eq!(bytes.as_ref(), Some(&sent.message.body), "{id}: bytes of a dead one");
                }
            }
            let word = if matches!(state, MessageState::Complete { .. }) { "complete" } else { "failed" };
            if ended {
                assert!(called.iter().any(|(_, body, _)| body.contains(word)), "{id}: no call-back {runs:?}");
            }
        }
        self.check_keys(ended);
        self.check_attempt_budget();
        self.check_order();
        // What every span of the window may hold.
        let most = (RATE_LIMIT_PER_S * 5.0 * 1.1 + 5.0) as usize;
        let over = self.paid_requests_at.windows(most + 1).find(|w| w[most] - w[0] < 5000);
        assert!(over.is_none(), "over the ceiling: {over:?}");
    }

    /// A message that executors have failed, or refused, [`BUDGET_MULTIPLE`] times as often as its route allows reaches none again,
    /// whichever stores have had it meanwhile. Counted are answers that a store has read.
    fn check_attempt_budget(&self) {
        for sent in &self.messages {
            let id = &sent.message.id;
            let mut runs: Vec<&Execution> = self.executions.iter().filter(|r| r.id == *id).collect();
            runs.sort_by_key(|run| run.started_at);
            let budgets = [
                (Behavior::Fails, BUDGET_MULTIPLE * self.max_tries as usize),
                (Behavior::Refuses, BUDGET_MULTIPLE),
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
                let refused = runs.iter().find(|r| r.behavior == Behavior::Refuses).map(|r| r.ended_at);
                let failed =
                    runs.iter().filter(|r| r.behavior == Behavior::Fails).nth(self.max_tries as usize - 1);
                let end = [done, refused, failed.map(|r| r.ended_at)].into_iter().flatten().min();
                let end = end.unwrap_or(earlier.sent_at + (self.max_wait_s * 1000.0) as u64);
                let (a, b) = (&earlier.message.id, &later.message.id);
                assert!(end <= start, "{b} started at {start}, before {a} had ended at {end}");
            }
        }
    }

    /// How far a store says that its retirement has come; `None` while its process is not there.
    pub fn retirement_state(&self, at: usize) -> Option<RetirementState> {
        Some(self.stores[at].queue.as_ref()?.retirement_state())
    }

    /// What a store's process holds that has not ended, for the text of a failure.
    pub fn describe(&self, at: usize) -> String {
        let Some(queue) = &self.stores[at].queue else { return "its process is not there".into() };
        format!("{:?} {:?}", queue.stage_counts(self.time(at)), queue.missing_replicas())
    }

    /// Every accepted message, live or ended, lies on so many disks.
    pub fn check_disks(&self, least: usize) {
        let disks = self.disks(true);
        for sent in self.messages.iter() {
            let Some(name) = &sent.name else { continue };
            let key = Key::parse(name).unwrap().key;
            let holds = |table: &&StateTable| {
                table.messages.get(&key).is_some_and(|kept| kept.end.is_some() || kept.replica.is_some())
            };
            let copies = disks.iter().filter(holds).count();
            assert!(copies >= least, "{} ({name}) lies on {copies} disks at {}", sent.message.id, self.now);
        }
    }

    /// At rest every live message lies on `losses` + 1 disks.
    pub fn check_replicas(&self) {
        self.check_replicas_without(usize::MAX);
    }

    /// And when the disk of this store is taken away.
    pub fn check_replicas_without(&self, gone: usize) {
        let mut disks = self.disks(false);
        disks
            .iter_mut()
            .enumerate()
            .filter(|(at, _)| *at == gone)
            .for_each(|(_, l)| *l = StateTable::default());
        for (n, sent) in self.messages.iter().enumerate() {
            let Some((state, _)) = self.ask(n) else { continue };
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
            let copies = disks.iter().filter(lies).count();
            assert!(copies > self.replica_count, "{} ({state:?}) lies on {copies} disks", sent.message.id);
        }
    }

    /// Nothing is left on any disk that a restart would take for a live message.
    pub fn check_no_live_leftovers(&self) {
        for (store, ledger) in self.stores.iter().zip(self.disks(true)) {
            let left = ledger.messages.iter().find(|(_, kept)| kept.end.is_none() && kept.replica.is_some());
            assert!(left.is_none(), "left on the disk of {:x}: {left:?}", store.node);
        }
    }
}
