//! The executors that operators have disabled, shared by the processes of one node. The set is a file that is
//! replaced by rename. In addition each process keeps its own file, locked while the process lives, with the
//! number of the last version of the set that it has applied.

use crate::log_info;
use std::collections::BTreeSet;
use std::fs::{File, TryLockError};
use std::io::{Read, Result, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type NameSet = Arc<BTreeSet<String>>;

/// One version of the set of disabled executors. Each version that is written has the next number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DisabledSet {
    pub number: u64,
    pub names: NameSet,
}

const HEADER: &str = "stileroute: executors out by hand, state ";
const FOOTER: &str = "stileroute: names above: ";

impl DisabledSet {
    fn text(&self) -> String {
        let names: String = self.names.iter().map(|name| format!("{name}\n")).collect();
        format!("{HEADER}{}\n{names}{FOOTER}{}\n", self.number, self.names.len())
    }

    /// Parses the file and reports whether it is complete. All names that are readable in a damaged file stay
    /// disabled: a disk fault must not re-enable an executor that is under maintenance.
    fn read(text: &str) -> (DisabledSet, bool) {
        let (mut number, mut count, mut names) = (None, None, BTreeSet::new());
        for line in text.lines() {
            if let Some(text) = line.strip_prefix(HEADER) {
                number = text.parse().ok();
            } else if let Some(text) = line.strip_prefix(FOOTER) {
                count = text.parse().ok();
            } else if is_valid_name(line) {
                names.insert(line.to_string());
            }
        }
        let is_complete = number.is_some() && count == Some(names.len());
        (DisabledSet { number: number.unwrap_or(0), names: Arc::new(names) }, is_complete)
    }
}

/// Whether the name can be a line of the file and a path segment of an admin request.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= 256 && name.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Identifies a version of the file by inode and modification time; it changes with each rename.
type FileStamp = Option<(u64, i64, i64)>;

/// The set, kept in a folder that the processes of a node share; without a folder it lives as long as the
/// process.
#[derive(Default)]
pub struct DisabledExecutors {
    shared: Option<SharedFiles>,
    /// The latest set that was read or written. The lock serializes changes within this process.
    latest: Mutex<(FileStamp, DisabledSet)>,
}

/// The shared files of one node, identified by its node id.
struct SharedFiles {
    folder: PathBuf,
    node_id: String,
    own_name: String,
    /// The locked file of this process; `None` if it could not be created.
    own_file: Option<File>,
}

/// How often the file is checked for changes by other processes.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Learned executor state older than this is ignored.
const MAX_LEARNED_STATE_AGE: Duration = Duration::from_secs(5);
/// How long a change waits for another process that is changing the set.
const LOCK_TIMEOUT: Duration = Duration::from_millis(200);

impl DisabledExecutors {
    /// Joins the other processes of this node in the folder and loads the current set.
    pub fn join(folder: Option<&Path>, node_id: u64) -> DisabledExecutors {
        let disabled_executors = DisabledExecutors {
            shared: folder.map(|folder| SharedFiles::join(folder, node_id)),
            ..DisabledExecutors::default()
        };
        disabled_executors.poll_change();
        disabled_executors
    }

    fn latest(&self) -> MutexGuard<'_, (FileStamp, DisabledSet)> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn is_shared(&self) -> bool {
        self.shared.is_some()
    }

    pub fn state(&self) -> DisabledSet {
        self.latest().1.clone()
    }

    /// The set, if another process has written it since the last call.
    pub fn poll_change(&self) -> Option<DisabledSet> {
        let shared = self.shared.as_ref()?;
        shared.reload_if_changed(&mut self.latest())
    }

    /// Changes the set, writes it, and returns the resulting version; the version stays the same if nothing
    /// changes.
    pub fn change(&self, name: &str, disabled: bool) -> Result<DisabledSet> {
        let mut latest = self.latest();
        // Two processes that change the set at once would each write it without the other's name.
        let _change_lock = self.shared.as_ref().map(SharedFiles::lock_for_change).transpose()?;
        if let Some(shared) = &self.shared {
            shared.reload_if_changed(&mut latest);
        }
        let mut names = BTreeSet::clone(&latest.1.names);
        let changed = if disabled { names.insert(name.to_string()) } else { names.remove(name) };
        if changed {
            let state = DisabledSet { number: latest.1.number + 1, names: Arc::new(names) };
            match &self.shared {
                Some(shared) => {
                    shared.replace("outs", &state.text())?;
                    shared.reload_if_changed(&mut latest);
                }
                None => latest.1 = state,
            }
        }
        Ok(latest.1.clone())
    }

    /// Saves the learned executor state for a successor. Failures are ignored, since the state is only an
    /// optimization.
    pub fn save_learned_state(&self, text: &str) {
        let Some(shared) = &self.shared else { return };
        let _ = shared.replace("learned", text);
    }

    /// The learned state that another process of this node, running or just ended, has saved.
    pub fn load_learned_state(&self) -> Option<String> {
        let path = self.shared.as_ref()?.path("learned");
        let age = std::fs::metadata(&path).and_then(|found| found.modified()).ok()?.elapsed();
        age.is_ok_and(|age| age < MAX_LEARNED_STATE_AGE).then(|| std::fs::read_to_string(&path).ok())?
    }

    /// Tells the other processes that this one has applied the given version of the set.
    pub fn mark_applied(&self, number: u64) {
        let Some(shared) = &self.shared else { return };
        let Some(own_file) = &shared.own_file else { return };
        if let Err(error) = own_file.write_all_at(format!("{number:020}\n").as_bytes(), 0) {
            log_info!("{}: {error}", shared.own_name);
        }
    }

    /// Whether another process of this node is running.
    pub fn has_sibling(&self) -> bool {
        self.shared.as_ref().is_some_and(|shared| !shared.applied_by_others().is_empty())
    }

    /// Whether every other running process has applied this version.
    pub fn all_applied(&self, number: u64) -> bool {
        self.shared
            .as_ref()
            .is_none_or(|shared| shared.applied_by_others().iter().all(|applied| *applied >= number))
    }
}

impl SharedFiles {
    /// A folder that is not writable does not prevent the start, and a set that can be read there is still
    /// used.
    fn join(folder: &Path, node_id: u64) -> SharedFiles {
        let node_id = format!("stileroute-{node_id:016x}");
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own_name = format!("{node_id}.{}-{}.process", std::process::id(), since.as_nanos());
        let mut shared = SharedFiles { folder: folder.to_path_buf(), node_id, own_name, own_file: None };
        shared.own_file = shared
            .create_own_file()
            .map_err(|error| log_info!("{}: {error}: disabled executors cannot be stored", folder.display()))
            .ok();
        shared.applied_by_others();
        shared
    }

    /// The file gets its final name only after it is locked: another process would take an unlocked file for
    /// one of an ended process and delete it.
    fn create_own_file(&self) -> Result<File> {
        let final_path = self.folder.join(&self.own_name);
        let temporary_path = final_path.with_extension("new");
        let own_file = File::create_new(&temporary_path)?;
        own_file.try_lock()?;
        std::fs::rename(&temporary_path, &final_path)?;
        Ok(own_file)
    }

    fn path(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}.{suffix}", self.node_id))
    }

    /// Takes the lock for changing the set; it is held until the file is dropped.
    fn lock_for_change(&self) -> Result<File> {
        let (lock, start) = (File::create(self.path("turn"))?, Instant::now());
        loop {
            match lock.try_lock() {
                Ok(()) => return Ok(lock),
                Err(TryLockError::WouldBlock) if start.elapsed() < LOCK_TIMEOUT => {
                    std::thread::sleep(POLL_INTERVAL / 10)
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn reload_if_changed(&self, latest: &mut (FileStamp, DisabledSet)) -> Option<DisabledSet> {
        let path = self.path("outs");
        let found = std::fs::metadata(&path).ok();
        let stamp = found.map(|found| (found.ino(), found.mtime(), found.mtime_nsec()));
        if stamp.is_none() || stamp == latest.0 {
            return None;
        }
        let mut text = Vec::new();
        File::open(&path).and_then(|mut file| file.read_to_end(&mut text)).ok()?;
        let (mut state, is_complete) = DisabledSet::read(&String::from_utf8_lossy(&text));
        if !is_complete {
            state.number = state.number.max(latest.1.number);
            log_info!("{}: damaged; the readable names stay disabled: {:?}", path.display(), state.names);
        }
        *latest = (stamp, state);
        Some(latest.1.clone())
    }

    /// Writes a temporary file and renames it to its final name, so that no process reads a partial file.
    fn replace(&self, suffix: &str, text: &str) -> Result<()> {
        let temporary_path = self.path(&format!("{suffix}.new"));
        File::create(&temporary_path)?.write_all(text.as_bytes())?;
        std::fs::rename(&temporary_path, self.path(suffix))
    }

    /// The versions that the other running processes have applied. Files of ended processes are deleted.
    fn applied_by_others(&self) -> Vec<u64> {
        let mut applied_by_others = Vec::new();
        for entry in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            let is_other_process =
                name.starts_with(&self.node_id) && name.ends_with(".process") && name != self.own_name;
            let Some(mut file) = is_other_process.then(|| File::open(entry.path()).ok()).flatten() else {
                continue;
            };
            if file.try_lock().is_ok() {
                let _ = std::fs::remove_file(entry.path());
                continue;
            }
            let mut text = String::new();
            let read = file.read_to_string(&mut text).ok().and_then(|_| text.trim().parse().ok());
            applied_by_others.push(read.unwrap_or(0));
        }
        applied_by_others
    }
}

impl Drop for SharedFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.folder.join(&self.own_name));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn readable_names_of_a_damaged_file_stay_disabled() {
        let complete_text =
            DisabledSet { number: 7, names: Arc::new(["a", "b"].map(str::to_string).into()) }.text();
        let cases: [(&str, u64, &[&str], bool); 6] = [
            (&complete_text, 7, &["a", "b"], true),
            (&complete_text[..complete_text.len() - 3], 7, &["a", "b"], false),
            (&complete_text.replace("b\n", ""), 7, &["a"], false),
            ("a\nb\n", 0, &["a", "b"], false),
            ("\u{0}\u{1}\n", 0, &[], false),
            ("", 0, &[], false),
        ];
        for (text, number, names, is_complete) in cases {
            let names = names.iter().map(|name| name.to_string()).collect();
            let state = DisabledSet { number, names: Arc::new(names) };
            assert_eq!(DisabledSet::read(text), (state, is_complete), "{text:?}");
        }
    }

    #[test]
    fn joining_process_is_not_mistaken_for_an_ended_one() {
        let folder = std::env::temp_dir().join(format!("stileroute-joins-{}", std::process::id()));
        std::fs::create_dir(&folder).unwrap();
        let first_process = DisabledExecutors::join(Some(&folder), 1);
        let stop = std::sync::atomic::AtomicBool::new(false);
        let joined = std::thread::scope(|scope| {
            // Meanwhile these threads scan for other processes and delete every process file that is not
            // locked.
            (0..2).for_each(|_| {
                drop(scope.spawn(|| {
                    while !stop.load(std::sync::atomic::Ordering::Relaxed) && first_process.all_applied(0) {
                        std::thread::yield_now();
                    }
                }))
            });
            let joins = (0..5000).all(|_| {
                let second_process = DisabledExecutors::join(Some(&folder), 1);
                second_process.shared.as_ref().is_some_and(|shared| shared.own_file.is_some())
                    && first_process.has_sibling()
            });
            stop.store(true, std::sync::atomic::Ordering::Relaxed);
            joins
        });
        drop(first_process);
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(joined);
    }

    #[test]
    fn two_processes_share_one_set_and_see_each_other() {
        let folder = std::env::temp_dir().join(format!("stileroute-outs-{}", std::process::id()));
        std::fs::create_dir(&folder).unwrap();
        let (first_process, second_process) =
            (DisabledExecutors::join(Some(&folder), 1), DisabledExecutors::join(Some(&folder), 1));
        let other_node = DisabledExecutors::join(Some(&folder), 2);
        let first = first_process.change("a", true).unwrap();
        assert_eq!(first_process.change("a", true).unwrap(), first, "disabling twice changes nothing");
        assert_eq!(
            (second_process.poll_change(), second_process.poll_change(), other_node.poll_change()),
            (Some(first.clone()), None, None)
        );
        assert!(!first_process.all_applied(first.number), "the other process has not applied it");
        second_process.mark_applied(first.number);
        assert!(first_process.all_applied(first.number));
        let second = second_process.change("b", true).unwrap();
        assert_eq!(second.names.len(), 2);
        // A process that joins later finds the current set, and an ended process is not waited for.
        let names = |disabled_executors: &DisabledExecutors| {
            disabled_executors.state().names.iter().cloned().collect::<Vec<_>>()
        };
        assert_eq!(names(&DisabledExecutors::join(Some(&folder), 1)), ["a", "b"]);
        drop(second_process);
        assert!(first_process.all_applied(second.number));
        assert_eq!(first_process.change("a", false).unwrap().names.iter().collect::<Vec<_>>(), ["b"]);
        drop((first_process, other_node));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
