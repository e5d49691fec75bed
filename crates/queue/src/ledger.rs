//! What the records on disk come to: read at the start, and folded when the log is made shorter.

use crate::message::{End, Key, Record, Shared};
use std::collections::HashMap;
use stileroute_wal::StateMachine;

/// Ends are asked for so long, and then for nothing.
const KEPT: u64 = 240_000;
/// So many lives of a disk are remembered. A message that is asked after for longer than that has waited too long.
const LIVES: usize = 64;

#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub shared: Option<Shared>,
    pub end: Option<(End, bool, u64)>,
}

#[derive(Debug, Default)]
pub struct Ledger {
    /// The disk's number.
    pub disk: Option<u64>,
    /// The first numbers of the lives that began with this disk, the newest last.
    pub begun: Vec<u64>,
    /// It is to be emptied.
    pub retire: bool,
    pub all: HashMap<Key, Kept>,
    pub unread: u64,
    latest: u64,
}

impl Ledger {
    pub fn enter(&mut self, record: Record) {
        match record {
            Record::Born { disk, first } => {
                self.disk = Some(disk);
                self.begun.push(first);
                if self.begun.len() > LIVES {
                    self.begun.remove(0);
                }
            }
            Record::Put { shared } => {
                let kept = self.all.entry(shared.key).or_default();
                // Of one that has ended only what was not known: the bytes of a dead one, passed on by another store.
                let live = kept.end.is_none();
                if kept.shared.as_ref().is_none_or(|old| live && old.term <= shared.term) {
                    kept.shared = Some(shared);
                }
            }
            Record::End { key, end, owed, at } => {
                self.latest = self.latest.max(at);
                let kept = self.all.entry(key).or_default();
                // What a call-back needs is kept, the rest is not: but of dead ones the bytes are asked for.
                if let Some(shared) = kept.shared.as_mut().filter(|_| end != End::Failed) {
                    shared.message.body = Vec::new();
                }
                kept.end = Some((end, owed, at));
            }
            Record::Called { key } => {
                if let Some((_, owed, _)) = self.all.get_mut(&key).and_then(|kept| kept.end.as_mut()) {
                    *owed = false;
                }
            }
            Record::Own { key, owner, term, copies } => {
                if let Some(shared) = self.all.get_mut(&key).and_then(|kept| kept.shared.as_mut()) {
                    if term >= shared.term {
                        (shared.owner, shared.term, shared.copies) = (owner, term, copies);
                    }
                }
            }
            Record::Retire => self.retire = true,
            Record::Drop { key } => {
                self.all.remove(&key);
            }
        }
    }
}

impl StateMachine for Ledger {
    fn apply(&mut self, record: &[u8]) {
        match postcard::from_bytes(record) {
            Ok(record) => self.enter(record),
            Err(_) => self.unread += 1,
        }
    }

    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        let mut put = |record: &Record| {
            if let Ok(bytes) = postcard::to_stdvec(record) {
                out(&bytes);
            }
        };
        if let Some(disk) = self.disk {
            self.begun.iter().for_each(|first| put(&Record::Born { disk, first: *first }));
        }
        if self.retire {
            put(&Record::Retire);
        }
        for (key, kept) in &self.all {
            let old = |at: u64| at + KEPT < self.latest;
            if kept.end.as_ref().is_some_and(|(_, owed, at)| !owed && old(*at)) {
                continue;
            }
            if let Some(shared) = &kept.shared {
                put(&Record::Put { shared: shared.clone() });
            }
            if let Some((end, owed, at)) = &kept.end {
                put(&Record::End { key: *key, end: end.clone(), owed: *owed, at: *at });
            }
        }
    }
}
