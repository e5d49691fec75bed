//! The disk of a store with a queue. An append is in memory until it is written, and its records are synced some time
//! later. Writes and syncs can be held back separately.

use std::collections::VecDeque;

/// Time after which the log syncs what it has written without being asked to.
const BACKGROUND_SYNC_MS: u64 = 200;
/// Duration of a sync, unless a scenario sets another value.
const SYNC_MS: u64 = 2;

/// How a process ends, as far as its disk is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskCut {
    /// The process is gone; the machine keeps running.
    Kill,
    /// The machine loses power.
    PowerLoss,
    /// The disk is replaced by an empty one.
    DiskLoss,
}

/// The disk's answer to an append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppendAnswer {
    /// Ticket of the append.
    pub ticket: u64,
    /// The records are stored as durably as was requested.
    pub is_ok: bool,
}

/// An append that has not been answered.
#[derive(Debug)]
struct Append {
    ticket: u64,
    /// The append is answered only after a sync.
    needs_sync: bool,
    /// Size of its records.
    bytes: usize,
    /// The records of the append while they are in memory.
    in_memory: Vec<Vec<u8>>,
    /// Position of the records once they are written.
    written: Option<WrittenAppend>,
}

/// Position of a written append.
#[derive(Clone, Copy, Debug)]
struct WrittenAppend {
    /// Index of the first record.
    begin: usize,
    /// When the sync ends that the append waits for.
    sync_ends_at: u64,
}

/// A sync in progress that no append waits for.
#[derive(Clone, Copy, Debug)]
struct BackgroundSync {
    ends_at: u64,
    /// Number of records that the sync covers.
    covered: usize,
}

/// Records in the crash buffer. They survive a kill and are removed once their append was answered without an error.
#[derive(Debug)]
struct BufferedRecords {
    ticket: u64,
    records: Vec<Vec<u8>>,
}

/// The disk of one store.
///
/// Several syncs may run at once and end in the order in which they began. Each covers what was written when it
/// began.
#[derive(Debug)]
pub struct SimulatedDisk {
    /// The written records, and whether a sync has covered each.
    records: Vec<(Vec<u8>, bool)>,
    unanswered: VecDeque<Append>,
    background_syncs: VecDeque<BackgroundSync>,
    /// Records in the crash buffer, by the append that contains them too.
    crash_buffer: Vec<BufferedRecords>,
    /// No write ends before this time.
    writes_held_until: u64,
    /// No sync ends before this time.
    syncs_held_until: u64,
    /// Duration of a sync.
    pub sync_ms: u64,
    /// The disk is full: synced writes of more bytes than this fail.
    pub largest_synced_write: usize,
}

impl Default for SimulatedDisk {
    fn default() -> SimulatedDisk {
        SimulatedDisk {
            records: Vec::new(),
            unanswered: VecDeque::new(),
            background_syncs: VecDeque::new(),
            crash_buffer: Vec::new(),
            writes_held_until: 0,
            syncs_held_until: 0,
            sync_ms: SYNC_MS,
            largest_synced_write: usize::MAX,
        }
    }
}

impl SimulatedDisk {
    /// The records that a process finds that starts now.
    pub fn written(&self) -> impl Iterator<Item = &Vec<u8>> {
        self.records.iter().map(|(record, _)| record)
    }

    /// The records that survive a power loss.
    pub fn synced(&self) -> impl Iterator<Item = &Vec<u8>> {
        self.records.iter().filter(|(_, is_synced)| *is_synced).map(|(record, _)| record)
    }

    /// Writes and syncs a record before the process continues.
    pub fn write_synced(&mut self, record: Vec<u8>) {
        self.records.push((record, true));
    }

    /// Lets no write end before `until`.
    pub fn hold_writes(&mut self, until: u64) {
        self.writes_held_until = self.writes_held_until.max(until);
    }

    /// Lets no sync end before `until`.
    pub fn hold_syncs(&mut self, until: u64) {
        self.syncs_held_until = self.syncs_held_until.max(until);
    }

    /// Puts records of an append into the crash buffer.
    pub fn write_crash_buffer(&mut self, ticket: u64, records: Vec<Vec<u8>>) {
        if !records.is_empty() {
            self.crash_buffer.push(BufferedRecords { ticket, records });
        }
    }

    /// Takes the records from the crash buffer that a process finds when it starts.
    pub fn take_crash_buffer(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.crash_buffer).into_iter().flat_map(|kept| kept.records).collect()
    }

    /// Whether everything that was appended is written and synced.
    pub fn is_at_rest(&self) -> bool {
        self.unanswered.is_empty() && self.records.iter().all(|(_, is_synced)| *is_synced)
    }

    /// Replaces all records. The disk must be at rest.
    pub fn replace(&mut self, records: Vec<Vec<u8>>) {
        self.background_syncs.clear();
        self.records = records.into_iter().map(|record| (record, true)).collect();
    }

    /// Queues an append.
    pub fn append(&mut self, now: u64, ticket: u64, records: Vec<Vec<u8>>, needs_sync: bool) {
        let bytes = records.iter().map(Vec::len).sum();
        self.unanswered.push_back(Append { ticket, needs_sync, bytes, in_memory: records, written: None });
        self.write(now);
    }

    /// Performs the writes and syncs that are due, and answers appends in order.
    pub fn advance(&mut self, now: u64) -> Vec<AppendAnswer> {
        self.write(now);
        self.end_background_syncs(now);
        let mut answers = Vec::new();
        while let Some(written) = self.unanswered.front().and_then(|append| append.written) {
            let needs_sync = self.unanswered[0].needs_sync;
            if needs_sync && now < written.sync_ends_at.max(self.syncs_held_until) {
                break;
            }
            if needs_sync && self.unanswered[0].bytes > self.largest_synced_write {
                answers.extend(self.roll_back(written.begin));
                break;
            }
            let Some(append) = self.unanswered.pop_front() else { break };
            if needs_sync {
                let covered = self.unanswered.front().and_then(|next| next.written);
                self.mark_synced(covered.map_or(self.records.len(), |next| next.begin));
            }
            self.crash_buffer.retain(|kept| kept.ticket != append.ticket);
            answers.push(AppendAnswer { ticket: append.ticket, is_ok: true });
        }
        answers
    }

    /// When [`advance`](SimulatedDisk::advance) has something to do; the time may be in the past.
    pub fn next_due_at(&self) -> Option<u64> {
        let answer = self.unanswered.front().map(|append| match append.written {
            None => self.writes_held_until,
            Some(written) if append.needs_sync => written.sync_ends_at.max(self.syncs_held_until),
            Some(_) => 0,
        });
        let background = self.background_syncs.front().map(|sync| sync.ends_at.max(self.syncs_held_until));
        let write = self.unanswered.back().filter(|append| append.written.is_none());
        let write = write.map(|_| self.writes_held_until);
        [answer, background, write].into_iter().flatten().min()
    }

    /// Closes the disk after an orderly end of the process: everything queued is synced.
    pub fn close(&mut self) {
        for append in std::mem::take(&mut self.unanswered) {
            self.records.extend(append.in_memory.into_iter().map(|record| (record, true)));
        }
        self.background_syncs.clear();
        self.crash_buffer.clear();
        self.mark_synced(self.records.len());
    }

    /// Removes what does not survive: a kill keeps the written records and the crash buffer, a power loss keeps only
    /// the synced records.
    pub fn cut(&mut self, cut: DiskCut) {
        self.unanswered.clear();
        self.background_syncs.clear();
        match cut {
            DiskCut::Kill => {}
            DiskCut::PowerLoss => {
                self.crash_buffer.clear();
                self.records.retain(|(_, is_synced)| *is_synced);
            }
            DiskCut::DiskLoss => {
                self.crash_buffer.clear();
                self.records.clear();
            }
        }
    }

    /// Writes the appends in memory, unless writes are held back.
    fn write(&mut self, now: u64) {
        if now < self.writes_held_until {
            return;
        }
        let earlier = self.unanswered.iter().filter(|append| append.needs_sync);
        let mut sync_ends_at = earlier.filter_map(|append| Some(append.written?.sync_ends_at)).max();
        for append in self.unanswered.iter_mut().filter(|append| append.written.is_none()) {
            let begin = self.records.len();
            let records = std::mem::take(&mut append.in_memory);
            self.records.extend(records.into_iter().map(|record| (record, false)));
            let ends_at = (now + self.sync_ms).max(sync_ends_at.unwrap_or(0));
            append.written = Some(WrittenAppend { begin, sync_ends_at: ends_at });
            if append.needs_sync {
                sync_ends_at = Some(ends_at);
            } else {
                let (ends_at, covered) = (now + BACKGROUND_SYNC_MS, self.records.len());
                self.background_syncs.push_back(BackgroundSync { ends_at, covered });
            }
        }
    }

    fn end_background_syncs(&mut self, now: u64) {
        while let Some(sync) = self.background_syncs.front().copied() {
            if now < sync.ends_at.max(self.syncs_held_until) {
                return;
            }
            self.background_syncs.pop_front();
            self.mark_synced(sync.covered);
        }
    }

    fn mark_synced(&mut self, covered: usize) {
        let covered = covered.min(self.records.len());
        self.records[..covered].iter_mut().for_each(|(_, is_synced)| *is_synced = true);
    }

    /// Handles a failed sync: everything written from record `first` on is lost, none of it answered yet.
    fn roll_back(&mut self, first: usize) -> Vec<AppendAnswer> {
        self.records.truncate(first);
        self.background_syncs.iter_mut().for_each(|sync| sync.covered = sync.covered.min(first));
        let is_written = |append: &&Append| append.written.is_some();
        let count = self.unanswered.iter().take_while(is_written).count();
        let lost = self.unanswered.drain(..count);
        lost.map(|append| AppendAnswer { ticket: append.ticket, is_ok: false }).collect()
    }
}
