//! Whom operators took out, as the processes of one node share it: a file that is replaced by rename, and beside it one
//! for each process, locked as long as that lives, in which it says which state of the set it has carried out.

use crate::say;
use std::collections::BTreeSet;
use std::fs::{File, TryLockError};
use std::io::{Read, Result, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Names = Arc<BTreeSet<String>>;

/// One state of the set; each that is written has the next number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub number: u64,
    pub names: Names,
}

const FIRST: &str = "stileroute: executors out by hand, state ";
const LAST: &str = "stileroute: names above: ";

impl State {
    fn text(&self) -> String {
        let names: String = self.names.iter().map(|name| format!("{name}\n")).collect();
        format!("{FIRST}{}\n{names}{LAST}{}\n", self.number, self.names.len())
    }

    /// Reads it, and whether it is whole. Whatever can be read of a damaged one stays out: a slip of a disk must not put
    /// an executor back that is being worked on.
    fn read(text: &str) -> (State, bool) {
        let (mut number, mut last, mut names) = (None, None, BTreeSet::new());
        for line in text.lines() {
            if let Some(text) = line.strip_prefix(FIRST) {
                number = text.parse().ok();
            } else if let Some(text) = line.strip_prefix(LAST) {
                last = text.parse().ok();
            } else if is_name(line) {
                names.insert(line.to_string());
            }
        }
        let whole = number.is_some() && last == Some(names.len());
        (State { number: number.unwrap_or(0), names: Arc::new(names) }, whole)
    }
}

/// What may stand in a line of its own, and in the path of a call.
pub fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= 256 && name.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Which file is there: it changes with each rename.
type Stamp = Option<(u64, i64, i64)>;

/// The set, in a folder that the processes of a node share; without one it lives as long as the process.
#[derive(Default)]
pub struct Outs {
    shared: Option<Shared>,
    /// One change at a time in this process; what was read or made last.
    latest: Mutex<(Stamp, State)>,
}

/// The files, of one node by its mark.
struct Shared {
    folder: PathBuf,
    mark: String,
    own_name: String,
    /// The own one, locked; none where it could not be written.
    own: Option<File>,
}

/// How often to look for what another process has written.
pub const LOOK: Duration = Duration::from_millis(20);
/// How old what was learned may be.
const KEPT: Duration = Duration::from_secs(5);
/// How long a change waits for another process that is just changing the set.
const TURN: Duration = Duration::from_millis(200);

impl Outs {
    /// Joins the processes of this node in that folder, with the set as they left it.
    pub fn join(folder: Option<&Path>, mark: u64) -> Outs {
        let outs = Outs { shared: folder.map(|folder| Shared::join(folder, mark)), ..Outs::default() };
        outs.news();
        outs
    }

    fn latest(&self) -> MutexGuard<'_, (Stamp, State)> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn is_shared(&self) -> bool {
        self.shared.is_some()
    }

    pub fn state(&self) -> State {
        self.latest().1.clone()
    }

    /// The set, if another process has written it since this was last asked.
    pub fn news(&self) -> Option<State> {
        let shared = self.shared.as_ref()?;
        shared.look(&mut self.latest())
    }

    /// Changes the set and keeps it; the new state, which is the one before where nothing changes.
    pub fn change(&self, name: &str, out: bool) -> Result<State> {
        let mut latest = self.latest();
        // Two processes that change it at once would each write the set without the other's name.
        let _turn = self.shared.as_ref().map(Shared::turn).transpose()?;
        if let Some(shared) = &self.shared {
            shared.look(&mut latest);
        }
        let mut names = BTreeSet::clone(&latest.1.names);
        let changed = if out { names.insert(name.to_string()) } else { names.remove(name) };
        if changed {
            let state = State { number: latest.1.number + 1, names: Arc::new(names) };
            match &self.shared {
                Some(shared) => {
                    shared.replace("outs", &state.text())?;
                    shared.look(&mut latest);
                }
                None => latest.1 = state,
            }
        }
        Ok(latest.1.clone())
    }

    /// Keeps what was learned for a successor; it only helps, so nothing is made of a failure.
    pub fn keep(&self, learned: &str) {
        let Some(shared) = &self.shared else { return };
        let _ = shared.replace("learned", learned);
    }

    /// What another process of this node, living or just ended, has kept.
    pub fn kept(&self) -> Option<String> {
        let path = self.shared.as_ref()?.path("learned");
        let age = std::fs::metadata(&path).and_then(|found| found.modified()).ok()?.elapsed();
        age.is_ok_and(|age| age < KEPT).then(|| std::fs::read_to_string(&path).ok())?
    }

    /// Says to the other processes that this one has carried out the state of this number.
    pub fn carried_out(&self, number: u64) {
        let Some(shared) = &self.shared else { return };
        let Some(own) = &shared.own else { return };
        if let Err(error) = own.write_all_at(format!("{number:020}\n").as_bytes(), 0) {
            say!("{}: {error}", shared.own_name);
        }
    }

    /// Another process of the node lives.
    pub fn beside(&self) -> bool {
        self.shared.as_ref().is_some_and(|shared| !shared.others().is_empty())
    }

    /// Whether each other process that lives has carried it out.
    pub fn all_have(&self, number: u64) -> bool {
        self.shared.as_ref().is_none_or(|shared| shared.others().iter().all(|other| *other >= number))
    }
}

impl Shared {
    /// A folder that can't be written stops no start, and hides no set that can be read there.
    fn join(folder: &Path, mark: u64) -> Shared {
        let mark = format!("stileroute-{mark:016x}");
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own_name = format!("{mark}.{}-{}.process", std::process::id(), since.as_nanos());
        let mut shared = Shared { folder: folder.to_path_buf(), mark, own_name, own: None };
        shared.own = shared
            .enter()
            .map_err(|error| say!("{}: {error}: executors out by hand can't be kept", folder.display()))
            .ok();
        shared.others();
        shared
    }

    /// The own file gets its name when it is locked: unlocked, another process would take it for one of a process that
    /// has ended, and clear it away.
    fn enter(&self) -> Result<File> {
        let place = self.folder.join(&self.own_name);
        let beside = place.with_extension("new");
        let own = File::create_new(&beside)?;
        own.try_lock()?;
        std::fs::rename(&beside, &place)?;
        Ok(own)
    }

    fn path(&self, end: &str) -> PathBuf {
        self.folder.join(format!("{}.{end}", self.mark))
    }

    /// The turn to change the set, until it is dropped.
    fn turn(&self) -> Result<File> {
        let (turn, start) = (File::create(self.path("turn"))?, Instant::now());
        loop {
            match turn.try_lock() {
                Ok(()) => return Ok(turn),
                Err(TryLockError::WouldBlock) if start.elapsed() < TURN => std::thread::sleep(LOOK / 10),
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn look(&self, latest: &mut (Stamp, State)) -> Option<State> {
        let path = self.path("outs");
        let found = std::fs::metadata(&path).ok();
        let stamp = found.map(|found| (found.ino(), found.mtime(), found.mtime_nsec()));
        if stamp.is_none() || stamp == latest.0 {
            return None;
        }
        let mut text = Vec::new();
        File::open(&path).and_then(|mut file| file.read_to_end(&mut text)).ok()?;
        let (mut state, whole) = State::read(&String::from_utf8_lossy(&text));
        if !whole {
            state.number = state.number.max(latest.1.number);
            say!("{}: damaged; what can be read of it stays out: {:?}", path.display(), state.names);
        }
        *latest = (stamp, state);
        Some(latest.1.clone())
    }

    /// Writes a file beside its place and renames it there, so that nobody reads half of it.
    fn replace(&self, end: &str, text: &str) -> Result<()> {
        let beside = self.path(&format!("{end}.new"));
        File::create(&beside)?.write_all(text.as_bytes())?;
        std::fs::rename(&beside, self.path(end))
    }

    /// The states that the other processes have carried out, those that live; files of those that ended are cleared
    /// away.
    fn others(&self) -> Vec<u64> {
        let mut others = Vec::new();
        for entry in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            let theirs = name.starts_with(&self.mark) && name.ends_with(".process") && name != self.own_name;
            let Some(mut file) = theirs.then(|| File::open(entry.path()).ok()).flatten() else { continue };
            if file.try_lock().is_ok() {
                let _ = std::fs::remove_file(entry.path());
                continue;
            }
            let mut text = String::new();
            let read = file.read_to_string(&mut text).ok().and_then(|_| text.trim().parse().ok());
            others.push(read.unwrap_or(0));
        }
        others
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.folder.join(&self.own_name));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_can_be_read_of_a_set_stays_out() {
        let whole = State { number: 7, names: Arc::new(["a", "b"].map(str::to_string).into()) }.text();
        let cases: [(&str, u64, &[&str], bool); 6] = [
            (&whole, 7, &["a", "b"], true),
            (&whole[..whole.len() - 3], 7, &["a", "b"], false),
            (&whole.replace("b\n", ""), 7, &["a"], false),
            ("a\nb\n", 0, &["a", "b"], false),
            ("\u{0}\u{1}\n", 0, &[], false),
            ("", 0, &[], false),
        ];
        for (text, number, names, is_whole) in cases {
            let names = names.iter().map(|name| name.to_string()).collect();
            let state = State { number, names: Arc::new(names) };
            assert_eq!(State::read(text), (state, is_whole), "{text:?}");
        }
    }

    #[test]
    fn who_joins_is_not_taken_for_one_that_has_ended() {
        let folder = std::env::temp_dir().join(format!("stileroute-joins-{}", std::process::id()));
        std::fs::create_dir(&folder).unwrap();
        let one = Outs::join(Some(&folder), 1);
        let stop = std::sync::atomic::AtomicBool::new(false);
        let joined = std::thread::scope(|scope| {
            // It looks for others, and clears away what is not locked, all the while.
            (0..2).for_each(|_| {
                drop(scope.spawn(|| {
                    while !stop.load(std::sync::atomic::Ordering::Relaxed) && one.all_have(0) {
                        std::thread::yield_now();
                    }
                }))
            });
            let joins = (0..5000).all(|_| {
                let other = Outs::join(Some(&folder), 1);
                other.shared.as_ref().is_some_and(|shared| shared.own.is_some()) && one.beside()
            });
            stop.store(true, std::sync::atomic::Ordering::Relaxed);
            joins
        });
        drop(one);
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(joined);
    }

    #[test]
    fn two_processes_share_one_set_and_know_of_each_other() {
        let folder = std::env::temp_dir().join(format!("stileroute-outs-{}", std::process::id()));
        std::fs::create_dir(&folder).unwrap();
        let (one, other) = (Outs::join(Some(&folder), 1), Outs::join(Some(&folder), 1));
        let stranger = Outs::join(Some(&folder), 2);
        let first = one.change("a", true).unwrap();
        assert_eq!(one.change("a", true).unwrap(), first, "twice out is once");
        assert_eq!((other.news(), other.news(), stranger.news()), (Some(first.clone()), None, None));
        assert!(!one.all_have(first.number), "the other has not carried it out");
        other.carried_out(first.number);
        assert!(one.all_have(first.number));
        let second = other.change("b", true).unwrap();
        assert_eq!(second.names.len(), 2);
        // One that comes later finds what is there; one that has ended is not waited for.
        let names = |outs: &Outs| outs.state().names.iter().cloned().collect::<Vec<_>>();
        assert_eq!(names(&Outs::join(Some(&folder), 1)), ["a", "b"]);
        drop(other);
        assert!(one.all_have(second.number));
        assert_eq!(one.change("a", false).unwrap().names.iter().collect::<Vec<_>>(), ["b"]);
        drop((one, stranger));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
