//! Recovery, checkpoints and troubles, on folders of their own.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use assert_matches::assert_matches;
use stileroute_wal::{
    verify, AppendError, FileState, OpenError, Options, ReadError, StateMachine, Statistics, Step, Wal,
    MAX_RECORD_BYTES,
};

/// Of records KEY=VALUE the last of each key; KEY= alone removes it.
#[derive(Default, Debug, PartialEq, Clone)]
struct Keys(BTreeMap<String, String>);

impl StateMachine for Keys {
    fn apply(&mut self, record: &[u8]) {
        let text = std::str::from_utf8(record).expect("text");
        let (key, value) = text.split_once('=').expect("a key");
        self.0.remove(key);
        if !value.is_empty() {
            self.0.insert(key.into(), value.into());
        }
    }

    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        self.0.iter().for_each(|(key, value)| out(format!("{key}={value}").as_bytes()));
    }
}

struct Dir(PathBuf);

impl Dir {
    fn new() -> Dir {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name = format!("wal-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        Dir(std::env::temp_dir().join(name))
    }

    fn copy(&self) -> Dir {
        let copy = Dir::new();
        fs::create_dir_all(&copy.0).unwrap();
        for (name, bytes) in self.read() {
            fs::write(copy.0.join(name), bytes).unwrap();
        }
        copy
    }

    fn read(&self) -> BTreeMap<String, Vec<u8>> {
        let files = fs::read_dir(&self.0).unwrap().map(|file| file.unwrap());
        files
            .filter_map(|file| Some((file.file_name().into_string().unwrap(), fs::read(file.path()).ok()?)))
            .collect()
    }

    fn edit(&self, name: &str, edit: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = fs::read(self.0.join(name)).unwrap();
        edit(&mut bytes);
        fs::write(self.0.join(name), bytes).unwrap();
    }

    /// What an opening finds; it is open no more.
    fn fold(&self) -> Result<Keys, OpenError> {
        Wal::open(&self.0, options(), |_, _| {}).map(|(_, fold)| fold)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

const LOG: &str = "log-0000000001";

/// No sync but those that are asked for.
fn options() -> Options {
    Options { max_sync_delay: Duration::from_secs(3600), ..Options::new("keys") }
}

fn hooked(hook: impl Fn(Step) -> io::Result<()> + Send + Sync + 'static) -> Options {
    Options { step_hook: Some(Arc::new(hook)), ..options() }
}

struct Book {
    book: Wal,
    answers: Receiver<(u64, Result<(), AppendError>)>,
    ticket: u64,
}

impl Book {
    fn open(dir: &Path, options: Options) -> (Book, Keys) {
        let (sender, answers) = channel();
        let done = move |ticket, result| sender.send((ticket, result)).unwrap();
        let (book, fold) = Wal::open(dir, options, done).unwrap();
        (Book { book, answers, ticket: 0 }, fold)
    }

    fn queue(&mut self, records: &[&str], sync: bool) {
        self.ticket += 1;
        self.book.append(
            self.ticket,
            records.iter().map(|record| record.as_bytes().to_vec()).collect(),
            sync,
        );
    }

    fn answer(&self) -> (u64, Result<(), AppendError>) {
        self.answers.recv_timeout(Duration::from_secs(20)).unwrap()
    }

    fn put(&mut self, records: &[&str], sync: bool) -> Result<(), AppendError> {
        self.queue(records, sync);
        let (ticket, result) = self.answer();
        assert_eq!(ticket, self.ticket);
        result
    }
}

fn keys(records: &[&str]) -> Keys {
    let mut keys = Keys::default();
    records.iter().for_each(|record| keys.apply(record.as_bytes()));
    keys
}

#[test]
fn what_was_answered_is_there_after_a_drop_and_after_a_stop() {
    let dir = Dir::new();
    let (mut book, fold) = Book::open(&dir.0, options());
    assert_eq!(fold, Keys::default());
    book.put(&["a=1", "b=2"], true).unwrap();
    book.put(&["a=3"], false).unwrap();
    // As after a kill: what was answered is in the file while the process still stands.
    assert_eq!(dir.copy().fold().unwrap(), keys(&["a=3", "b=2"]));
    drop(book);
    let (mut book, fold) = Book::open(&dir.0, options());
    assert_eq!(fold, keys(&["a=3", "b=2"]));
    book.put(&["b="], false).unwrap();
    book.queue(&["c=4"], false);
    book.book.close();
    assert_eq!(dir.fold().unwrap(), keys(&["a=3", "c=4"]));
}

#[test]
fn answers_come_in_order_and_a_held_writer_makes_one_sync_of_what_queued() {
    let dir = Dir::new();
    let gate = Arc::new(Mutex::new(()));
    let (entered, at_write) = channel();
    let (gate_, entered) = (gate.clone(), Mutex::new(entered));
    let (mut book, _) = Book::open(
        &dir.0,
        hooked(move |step| {
            if step == Step::WriteEntries {
                entered.lock().unwrap().send(()).unwrap();
                drop(gate_.lock().unwrap());
            }
            Ok(())
        }),
    );
    let held = gate.lock().unwrap();
    book.queue(&["a=1"], true);
    at_write.recv().unwrap();
    (0..20).for_each(|n| book.queue(&[&format!("n{n}=1")], n % 2 == 0));
    book.queue(&[&format!("big={}", "x".repeat(MAX_RECORD_BYTES - 3))], true);
    book.queue(&[], true);
    drop(held);
    for ticket in 1..=23 {
        let (answered, result) = book.answer();
        assert_eq!(answered, ticket);
        assert_eq!(matches!(result, Err(AppendError::RecordTooLarge { .. })), ticket == 22, "{result:?}");
    }
    assert_matches!(book.book.statistics(), Statistics { records: 21, syncs: 2, failures: 0, .. });
}

#[test]
fn records_without_sync_are_synced_after_a_while() {
    let dir = Dir::new();
    let (sender, synced) = channel();
    let sender = Mutex::new(sender);
    let hook = move |step| {
        if step == Step::SyncSegment {
            let _ = sender.lock().unwrap().send(());
        }
        Ok(())
    };
    let (mut book, _) =
        Book::open(&dir.0, Options { max_sync_delay: Duration::from_millis(5), ..hooked(hook) });
    book.put(&["a=1"], false).unwrap();
    synced.recv_timeout(Duration::from_secs(20)).unwrap();
}

#[test]
fn a_torn_end_is_cut_off_at_every_byte_and_by_garbage() {
    let dir = Dir::new();
    let (mut book, _) = Book::open(&dir.0, options());
    book.put(&["a=1"], true).unwrap();
    book.put(&["b=2"], true).unwrap();
    let good = dir.read()[LOG].len();
    book.put(&["c=3", "d=4"], true).unwrap();
    drop(book);
    let len = dir.read()[LOG].len();
    for at in good..len {
        for garbage in [&[][..], &[0; 40], &[0xff; 3]] {
            let torn = dir.copy();
            torn.edit(LOG, |bytes| {
                bytes.truncate(at);
                bytes.extend(garbage);
            });
            let (mut book, fold) = Book::open(&torn.0, options());
            assert_eq!(fold, keys(&["a=1", "b=2"]), "cut at {at}");
            book.put(&["e=5"], true).unwrap();
            drop(book);
            assert_eq!(torn.fold().unwrap(), keys(&["a=1", "b=2", "e=5"]), "cut at {at}");
        }
    }
}

#[test]
fn a_hole_is_damage_where_it_was_synced_and_a_torn_end_where_not() {
    let dir = Dir::new();
    let (mut book, _) = Book::open(&dir.0, options());
    let mut ends = vec![dir.read()[LOG].len()];
    for (n, sync) in [true, true, false, false, false].into_iter().enumerate() {
        book.put(&[&format!("n{n}=1")], sync).unwrap();
        ends.push(dir.read()[LOG].len());
    }
    drop(book);
    for byte in 0..ends[4] {
        let copy = dir.copy();
        copy.edit(LOG, |bytes| bytes[byte] ^= 0x10);
        let report = verify(&copy.0, &mut |_| {}).unwrap();
        if byte < ends[2] {
            assert_matches!(copy.fold(), Err(OpenError::Read(ReadError::Corrupted { file, .. })) if file == LOG, "byte {byte}");
            assert!(!report.opens());
        } else {
            let whole = ends.iter().filter(|end| **end <= byte).count() - 1;
            assert_eq!(copy.fold().unwrap().0.len(), whole, "byte {byte}");
            assert_matches!(&report.files[0].state, FileState::TornTail { offset, .. } if *offset == ends[whole] as u64);
        }
    }
}

const STEPS: [Step; 9] = [
    Step::CreateSegment,
    Step::RenameSegment,
    Step::SyncFolderAfterSegment,
    Step::ReadForCheckpoint,
    Step::WriteSnapshot,
    Step::SyncSnapshot,
    Step::RenameSnapshot,
    Step::SyncFolderAfterSnapshot,
    Step::RemoveCovered,
];

/// Appends, all in one segment until its limit is reached, then more while the checkpoint runs; the fold of all.
fn through_a_checkpoint(
    dir: &Dir,
    hook: impl Fn(Step) -> io::Result<()> + Send + Sync + 'static,
) -> (Book, Keys) {
    let (sender, checkpointed) = channel();
    let sender = Mutex::new(sender);
    let hook = move |step| {
        if step == Step::CheckpointEnded {
            let _ = sender.lock().unwrap().send(());
        }
        hook(step)
    };
    let (mut book, mut all) = Book::open(&dir.0, Options { checkpoint_after_bytes: 2000, ..hooked(hook) });
    for n in 0..100 {
        let records = [format!("key{}={n}", n % 10), format!("gone={n}"), "gone=".into()];
        let records: Vec<&str> = records.iter().map(String::as_str).collect();
        book.put(&records, n % 3 == 0).unwrap();
        records.iter().for_each(|record| all.apply(record.as_bytes()));
        if n == 50 {
            checkpointed.recv_timeout(Duration::from_secs(20)).unwrap();
        }
    }
    (book, all)
}

#[test]
fn a_checkpoint_keeps_what_lives_and_drops_what_is_folded_killed_at_any_step() {
    let (dir, copies) = (Dir::new(), Arc::new(Mutex::new(Vec::new())));
    let (root, kept) = (dir.0.clone(), copies.clone());
    let (book, all) = through_a_checkpoint(&dir, move |step| {
        if STEPS.contains(&step) {
            let root = Dir(root.clone());
            kept.lock().unwrap().push((step, root.copy()));
            std::mem::forget(root);
        }
        Ok(())
    });
    assert!(book.book.statistics().checkpoints >= 1);
    book.book.close();
    assert_eq!(dir.fold().unwrap(), all);
    let files = dir.read();
    assert!(!files.contains_key(LOG), "{:?}", files.keys());
    let bytes: usize = files.values().map(Vec::len).sum();
    assert!(bytes < 5000, "{bytes} bytes left of some 9000");

    let copies = copies.lock().unwrap();
    for wanted in STEPS {
        assert!(copies.iter().any(|(step, _)| *step == wanted), "{wanted:?} was not passed");
    }
    for (step, copy) in copies.iter() {
        // Each tenth key was last written within the last ten appends, however far the copy came.
        let mut read = Keys::default();
        let report = verify(&copy.0, &mut |record| read.apply(record)).unwrap();
        let fold = copy.fold().unwrap();
        assert_eq!(read, fold, "{step:?}: {report}");
        if fold == Keys::default() {
            assert!(STEPS[..3].contains(step), "{step:?}: empty, but not at the opening");
            continue;
        }
        let values: BTreeSet<u32> = fold.0.values().map(|value| value.parse().unwrap()).collect();
        let (first, last) = (*values.first().unwrap(), *values.last().unwrap());
        assert_eq!((fold.0.len(), last - first), (10, 9), "{step:?}: {fold:?}");
        assert!(!copy.read().keys().any(|name| name.ends_with(".tmp")));
    }
}

#[test]
fn a_checkpoint_that_fails_at_any_step_loses_nothing() {
    for failing in STEPS {
        let dir = Dir::new();
        let failed = AtomicU64::new(0);
        let (book, all) = through_a_checkpoint(&dir, move |step| match step {
            // The opening makes a segment too.
            _ if step == failing && failed.fetch_add(1, Ordering::Relaxed) > 0 => {
                Err(io::Error::other("broken"))
            }
            _ => Ok(()),
        });
        drop(book);
        assert_eq!(dir.fold().unwrap(), all, "{failing:?}");
    }
}

#[test]
fn after_a_failed_write_or_sync_nothing_of_it_is_left_and_the_next_succeeds() {
    for (step, code) in [(Step::WriteEntries, 28), (Step::WriteEntries, 5), (Step::SyncSegment, 5)] {
        let dir = Dir::new();
        let broken = Arc::new(AtomicU64::new(0));
        let broken_ = broken.clone();
        let (mut book, _) = Book::open(
            &dir.0,
            hooked(move |at| match broken_.load(Ordering::Relaxed) {
                1 if at == step => Err(io::Error::from_raw_os_error(code)),
                _ => Ok(()),
            }),
        );
        book.put(&["a=1"], true).unwrap();
        book.put(&["lazy=1"], false).unwrap();
        broken.store(1, Ordering::Relaxed);
        for _ in 0..3 {
            match book.put(&["b=2", "c=3"], true).unwrap_err() {
                AppendError::DiskFull => assert_eq!(code, 28),
                AppendError::Write(_) => assert_eq!((step, code), (Step::WriteEntries, 5)),
                error => assert_matches!((step, error), (Step::SyncSegment, AppendError::Sync(_))),
            }
        }
        assert_eq!(dir.copy().fold().unwrap(), keys(&["a=1", "lazy=1"]));
        broken.store(0, Ordering::Relaxed);
        book.put(&["d=4"], true).unwrap();
        assert_eq!(book.book.statistics().failures, 3);
        drop(book);
        assert_eq!(dir.fold().unwrap(), keys(&["a=1", "d=4", "lazy=1"]));
    }
}

#[test]
fn a_full_disk_refuses_until_what_frees_room_was_folded() {
    let dir = Dir::new();
    let room = 200_000;
    let (sender, checkpointed) = channel();
    let sender = Mutex::new(sender);
    let hook = move |step| {
        if step == Step::CheckpointEnded {
            let _ = sender.lock().unwrap().send(());
        }
        Ok(())
    };
    let (mut book, mut all) = Book::open(&dir.0, Options { capacity_bytes: room, ..hooked(hook) });
    let mut full = false;
    for n in 0..1000 {
        let record = format!("key{n}={}", "x".repeat(1000));
        match book.put(&[&record], true) {
            Ok(()) => all.apply(record.as_bytes()),
            Err(trouble) => {
                assert_matches!(trouble, AppendError::DiskFull);
                full = true;
                break;
            }
        }
        let used: usize = dir.read().values().map(Vec::len).sum();
        assert!(used as u64 <= room, "{used}");
    }
    assert!(full && all.0.len() > 60, "{} keys", all.0.len());
    let ends: Vec<String> = all.0.keys().map(|key| format!("{key}=")).collect();
    for end in &ends {
        book.put(&[end], false).unwrap();
    }
    // What was refused asks for a checkpoint, unless one is under way; each that ends may be the one.
    while book.put(&["after=1"], true).is_err() {
        checkpointed.recv_timeout(Duration::from_secs(20)).unwrap();
    }
    drop(book);
    assert_eq!(dir.fold().unwrap(), keys(&["after=1"]));
}

#[test]
fn another_format_or_kind_is_refused_by_name_and_left_as_it_is() {
    let dir = Dir::new();
    Book::open(&dir.0, options()).0.put(&["a=1"], true).unwrap();
    let other = Wal::open::<Keys>(&dir.0, Options::new("queue"), |_, _| {}).err().unwrap();
    assert!(other.to_string().contains("\"keys\""), "{other}");
    let edits: [&dyn Fn(&Dir); 4] = [
        &|dir| fs::write(dir.0.join("FORMAT"), "stileroute-logbook 2 keys\n").unwrap(),
        &|dir| fs::write(dir.0.join("FORMAT"), "").unwrap(),
        &|dir| fs::remove_file(dir.0.join("FORMAT")).unwrap(),
        &|dir| {
            fs::remove_file(dir.0.join(LOG))
                .and(fs::rename(dir.0.join("FORMAT"), dir.0.join("notes")))
                .unwrap()
        },
    ];
    for edit in edits {
        let copy = dir.copy();
        edit(&copy);
        let before = copy.read();
        assert_matches!(copy.fold(), Err(OpenError::Read(ReadError::UnknownFormat { file, .. })) if file.ends_with("FORMAT"));
        assert_eq!(copy.read(), before);
    }
    // Killed before the folder had a format: new.
    let dir = Dir::new();
    fs::create_dir_all(&dir.0).unwrap();
    fs::write(dir.0.join("FORMAT.tmp"), "stiler").unwrap();
    assert_eq!(dir.fold().unwrap(), Keys::default());
    for head in 0..20 {
        dir.edit(LOG, |bytes| bytes.truncate(head));
        assert_eq!(dir.fold().unwrap(), Keys::default());
    }
}

#[test]
fn a_missing_or_broken_file_is_reported_and_verify_changes_nothing() {
    let dir = Dir::new();
    let (book, all) = through_a_checkpoint(&dir, |_| Ok(()));
    drop(book);
    let before = dir.read();
    let mut read = Keys::default();
    let report = verify(&dir.0, &mut |record| read.apply(record)).unwrap();
    assert!(report.opens() && report.to_string().starts_with("keys: opens, "), "{report}");
    assert_eq!((read, dir.read()), (all, before.clone()));

    for (name, bytes) in before.iter().filter(|(name, _)| *name != "FORMAT") {
        let copy = dir.copy();
        copy.edit(name, |bytes| bytes[30] ^= 1);
        fs::write(copy.0.join("log-0000000000.tmp"), "x").unwrap();
        let spoilt = copy.read();
        let report = verify(&copy.0, &mut |_| {}).unwrap();
        assert!(report.to_string().contains("log-0000000000.tmp: 0 records, 0 bytes, left over"), "{report}");
        assert_eq!(copy.read(), spoilt);
        if bytes.len() > 100 {
            assert_matches!(copy.fold(), Err(OpenError::Read(ReadError::Corrupted { file, .. })) if file == *name);
            assert!(!report.opens(), "{report}");
        }
    }
    let copy = dir.copy();
    let log = before.keys().find(|name| name.starts_with("log-")).unwrap();
    fs::remove_file(copy.0.join(log)).unwrap();
    assert_matches!(copy.fold(), Err(OpenError::Read(ReadError::Corrupted { file, .. })) if file == *log);
    assert!(!verify(&copy.0, &mut |_| {}).unwrap().opens());
}

#[test]
fn a_record_of_the_largest_configuration_is_kept_through_a_checkpoint_and_one_byte_more_is_refused() {
    let dir = Dir::new();
    let (mut book, _) = Book::open(&dir.0, options());
    let largest = format!("a={}", "x".repeat(MAX_RECORD_BYTES - 2));
    book.put(&[&largest], true).unwrap();
    assert_matches!(book.put(&[&format!("{largest}x")], true), Err(AppendError::RecordTooLarge { bytes }) if bytes == MAX_RECORD_BYTES + 1);
    drop(book);
    let (sender, checkpointed) = channel();
    let sender = Mutex::new(sender);
    let hook = move |step| {
        if step == Step::CheckpointEnded {
            let _ = sender.lock().unwrap().send(());
        }
        Ok(())
    };
    let (mut book, _) = Book::open(&dir.0, Options { checkpoint_after_bytes: 4 << 20, ..hooked(hook) });
    book.put(&["b=1"], true).unwrap();
    checkpointed.recv_timeout(Duration::from_secs(20)).unwrap();
    drop(book);
    assert_eq!(dir.fold().unwrap(), keys(&[&largest, "b=1"]));
    assert!(dir.read().keys().any(|name| name.starts_with("snapshot-")));
}

/// Two folders of one kind, of the same history, each with a snapshot and a segment.
fn two_folders() -> (Dir, Dir) {
    let (one, other) = (Dir::new(), Dir::new());
    for dir in [&one, &other] {
        drop(through_a_checkpoint(dir, |_| Ok(())));
    }
    (one, other)
}

#[test]
fn a_file_of_another_folder_is_refused_by_name_and_so_is_another_folders_format() {
    let (one, other) = two_folders();
    let strange = other.read();
    for name in one.read().into_keys() {
        let Some(bytes) = strange.get(&name) else { continue };
        let copy = one.copy();
        fs::write(copy.0.join(&name), bytes).unwrap();
        let before = copy.read();
        let trouble = copy.fold().unwrap_err();
        assert_matches!(&trouble, OpenError::Read(ReadError::WrongFolder { file, .. }) if *file == name || name == "FORMAT");
        let line = trouble.to_string();
        assert!(line.contains(": folder: it was written in ") && !line.contains('\n'), "{line}");
        assert_eq!(verify(&copy.0, &mut |_| {}).unwrap_err().to_string(), line);
        assert_eq!(copy.read(), before);
    }
    assert!(one.fold().is_ok() && other.fold().is_ok());
}

#[test]
fn a_folder_that_was_made_before_there_were_identities_opens_and_goes_on_without() {
    let dir = Dir::new();
    Book::open(&dir.0, options()).0.put(&["a=1"], true).unwrap();
    dir.edit("FORMAT", |bytes| *bytes = b"stileroute-logbook 1 keys\n".to_vec());
    dir.edit(LOG, |bytes| {
        bytes[12..16].fill(0);
        let sum = crc32fast::hash(&bytes[..16]);
        bytes[16..20].copy_from_slice(&sum.to_le_bytes());
    });
    for _ in 0..2 {
        let (mut book, fold) = Book::open(&dir.0, options());
        assert_eq!(fold, keys(&["a=1"]));
        book.put(&["a=1"], true).unwrap();
    }
}

#[test]
fn an_append_that_fills_a_segment_waits_for_the_checkpoint_that_makes_room() {
    let dir = Dir::new();
    let (go, may_go) = channel::<()>();
    let may_go = Mutex::new(may_go);
    let hook = move |step| {
        if step == Step::ReadForCheckpoint {
            let _ = may_go.lock().unwrap().recv();
        }
        Ok(())
    };
    let (mut book, _) =
        Book::open(&dir.0, Options { capacity_bytes: 8000, checkpoint_after_bytes: 1000, ..hooked(hook) });
    let large = |key: &str| format!("key={key}{}", "x".repeat(1300));
    for key in ["1", "2"] {
        book.put(&[&large(key)], true).unwrap();
    }
    // The first is in a closed segment, whose checkpoint is held; the second in the one written to; no room for the third.
    book.queue(&[&large("3")], true);
    book.queue(&["after=1"], true);
    drop(go);
    for _ in 0..2 {
        assert_matches!(book.answer(), (_, Ok(())));
    }
    book.book.close();
    assert_eq!(dir.fold().unwrap(), keys(&[&large("3"), "after=1"]));
}
