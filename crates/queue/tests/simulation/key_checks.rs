//! Checks of idempotency keys, as clients and executors see them.

use super::*;

impl Simulation {
    /// All messages that clients have sent, by idempotency key.
    pub(super) fn sent_by_key(&self) -> BTreeMap<String, Vec<usize>> {
        let mut sent: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (n, message) in self.messages.iter().enumerate() {
            if let Some(key) = &message.message.idempotency_key {
                sent.entry(key.clone()).or_default().push(n);
            }
        }
        sent
    }

    /// Checks that at most one of the messages with the same key runs, that all accepted ones have the same name, and
    /// that the state of the message with that name is known. With `ended`, no message may be waiting any more.
    pub fn check_keys(&self, ended: bool) {
        self.check_keys_run_once();
        for (key, sent) in self.sent_by_key() {
            let ids: Vec<&str> = sent.iter().map(|n| self.messages[*n].message.id.as_str()).collect();
            let runs: Vec<&Execution> =
                self.executions.iter().filter(|run| ids.contains(&run.id.as_str())).collect();
            let accepted: Vec<usize> =
                sent.iter().copied().filter(|n| self.messages[*n].name.is_some()).collect();
            let names: BTreeSet<&String> =
                accepted.iter().filter_map(|n| self.messages[*n].name.as_ref()).collect();
            assert!(names.len() <= 1, "{key} has the names {names:?}");
            let Some(first) = accepted.first() else { continue };
            let Some((state, _)) = self.lookup(*first) else { panic!("{key} is lost: {runs:?}") };
            match state {
                MessageState::Waiting => assert!(!ended, "{key} still waits: {runs:?}"),
                MessageState::Complete { seal } => {
                    let complete =
                        runs.iter().find(|run| run.completed_at.is_some() && seal == format!("s-{}", run.id));
                    assert!(complete.is_some(), "{key} is complete with {seal}: {runs:?}");
                }
                MessageState::Failed => {
                    let late = self.now > self.messages[*first].sent_at + (self.max_wait_s * 1000.0) as u64;
                    assert!(late, "{key} failed without a reason: {runs:?}");
                }
            }
        }
    }

    /// Checks that at most one of the messages with the same key runs.
    pub fn check_keys_run_once(&self) {
        for (key, sent) in self.sent_by_key() {
            let ids: Vec<&str> = sent.iter().map(|n| self.messages[*n].message.id.as_str()).collect();
            let runs = self.executions.iter().filter(|run| ids.contains(&run.id.as_str()));
            let ran: BTreeSet<&str> = runs.map(|run| run.id.as_str()).collect();
            assert!(ran.len() <= 1, "{key} ran as {ran:?}");
        }
    }

    /// Number of accepted keys, and number of keys sent.
    pub fn accepted_keys(&self) -> (usize, usize) {
        let sent = self.sent_by_key();
        let is_accepted = |sent: &&Vec<usize>| sent.iter().any(|n| self.messages[*n].name.is_some());
        (sent.values().filter(is_accepted).count(), sent.len())
    }
}
