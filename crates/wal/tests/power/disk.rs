//! A simulated disk that records which operations are not durable yet. A loss of power may undo each of them
//! independently.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use stileroute_wal::Operation;

/// The files of a folder: a map from each file name to the file's bytes.
pub type Files = BTreeMap<String, Vec<u8>>;

#[derive(Clone, Debug)]
enum Change {
    Write { at: usize, bytes: Vec<u8> },
    Length(usize),
}

/// The result of an unsynced change after a loss of power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    Kept,
    Lost,
    /// Only the first half of the write's bytes is present, and the file ends after it, unless it was longer before.
    Truncated,
    /// The first half of the write's bytes is present, and zeros are in place of the second half.
    Zeroed,
}

const OUTCOMES: [WriteOutcome; 4] =
    [WriteOutcome::Kept, WriteOutcome::Lost, WriteOutcome::Truncated, WriteOutcome::Zeroed];

impl Change {
    fn apply(&self, outcome: WriteOutcome, to: &mut Vec<u8>) {
        match self {
            Change::Length(len) if outcome != WriteOutcome::Lost => to.resize(*len, 0),
            Change::Length(_) => {}
            Change::Write { at, bytes } => {
                let half = bytes.len() / 2;
                let bytes = match outcome {
                    WriteOutcome::Kept => bytes.clone(),
                    WriteOutcome::Lost => return,
                    WriteOutcome::Truncated => bytes[..half].to_vec(),
                    WriteOutcome::Zeroed => [&bytes[..half], &vec![0; bytes.len() - half]].concat(),
                };
                let end = at + bytes.len();
                to.resize(to.len().max(end), 0);
                to[*at..end].copy_from_slice(&bytes);
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Content {
    synced: Vec<u8>,
    changes: Vec<Change>,
    /// Number of changes that the running sync covers, which are those made before it started.
    covered: usize,
}

impl Content {
    fn after(&self, write_outcomes: impl Iterator<Item = WriteOutcome>) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        self.changes
            .iter()
            .zip(write_outcomes)
            .for_each(|(change, outcome)| change.apply(outcome, &mut bytes));
        bytes
    }

    fn visible(&self) -> Vec<u8> {
        self.after(std::iter::repeat(WriteOutcome::Kept))
    }

    /// Marks the changes made before the running sync started as durable. Changes made during the sync may still be
    /// lost.
    fn sync_covered(&mut self) {
        for change in self.changes.drain(..std::mem::take(&mut self.covered)) {
            change.apply(WriteOutcome::Kept, &mut self.synced);
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    contents: Vec<Content>,
    /// File names as running processes see them, each with an index into `contents`.
    names: BTreeMap<String, usize>,
    /// File names that were durable after the last sync of the folder. Changes to names since then are in
    /// `unsynced_names`; a rename is two entries there, one for each name.
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<(String, Option<usize>)>,
    /// Whether the name of the folder itself is durable.
    is_folder_durable: bool,
}

// Each test binary uses only some of these methods.
#[allow(dead_code)]
impl Disk {
    /// Creates a disk that contains the given files, all of them durable.
    pub fn with_durable_files(files: &Files) -> Disk {
        let contents =
            files.values().map(|bytes| Content { synced: bytes.clone(), ..Content::default() }).collect();
        let names: BTreeMap<String, usize> = files.keys().cloned().zip(0..).collect();
        Disk {
            contents,
            durable_names: names.clone(),
            names,
            unsynced_names: Vec::new(),
            is_folder_durable: true,
        }
    }

    pub fn apply(&mut self, operation: &Operation) {
        match operation {
            Operation::FolderCreated => self.is_folder_durable = false,
            Operation::ParentSynced => self.is_folder_durable = true,
            Operation::FileCreated { name } if self.names.contains_key(name) => {
                self.add_change(name, Change::Length(0));
            }
            Operation::FileCreated { name } => {
                self.contents.push(Content::default());
                self.set_name(name, Some(self.contents.len() - 1));
            }
            Operation::Written { name, offset, bytes } => {
                self.add_change(name, Change::Write { at: *offset as usize, bytes: bytes.clone() });
            }
            Operation::LengthSet { name, length } => self.add_change(name, Change::Length(*length as usize)),
            Operation::SyncBegun { name } => {
                let content = &mut self.contents[self.names[name]];
                content.covered = content.changes.len();
            }
            Operation::FileSynced { name } => self.contents[self.names[name]].sync_covered(),
            Operation::Renamed { from, to } => {
                let content = self.names[from];
                self.set_name(from, None);
                self.set_name(to, Some(content));
            }
            Operation::Removed { name } => self.set_name(name, None),
            Operation::FolderSynced => {
                self.durable_names = self.names.clone();
                self.unsynced_names.clear();
                let is_unnamed = |at: &usize| !self.names.values().any(|content| content == at);
                for at in (0..self.contents.len()).filter(is_unnamed).collect::<Vec<_>>() {
                    self.contents[at] = Content::default();
                }
            }
        }
    }

    fn add_change(&mut self, name: &str, change: Change) {
        self.contents[self.names[name]].changes.push(change);
    }

    fn set_name(&mut self, name: &str, content: Option<usize>) {
        match content {
            Some(content) => self.names.insert(name.to_string(), content),
            None => self.names.remove(name),
        };
        self.unsynced_names.push((name.to_string(), content));
    }

    /// Returns the files that the next process finds after this process is killed.
    pub fn visible_files(&self) -> Files {
        self.names.iter().map(|(name, content)| (name.clone(), self.contents[*content].visible())).collect()
    }

    pub fn bytes(&self) -> u64 {
        self.visible_files().values().map(|bytes| bytes.len() as u64).sum()
    }

    /// Returns every state of the folder that a loss of power may leave.
    pub fn outcomes(&self) -> Vec<Files> {
        let mut all = Vec::new();
        if !self.is_folder_durable {
            all.push(Files::new());
        }
        for subset in 0..1_u32 << self.unsynced_names.len() {
            let mut names = self.durable_names.clone();
            for (at, (name, content)) in self.unsynced_names.iter().enumerate() {
                match content {
                    _ if subset >> at & 1 == 0 => {}
                    Some(content) => drop(names.insert(name.clone(), *content)),
                    None => drop(names.remove(name)),
                }
            }
            for write_outcomes in self.write_outcomes(&names) {
                let mut rest = write_outcomes.into_iter();
                let files = names.iter().map(|(name, content)| {
                    let content = &self.contents[*content];
                    let write_outcomes: Vec<WriteOutcome> =
                        rest.by_ref().take(content.changes.len()).collect();
                    (name.clone(), content.after(write_outcomes.into_iter()))
                });
                all.push(files.collect());
            }
        }
        all
    }

    /// Returns one of the states that a loss of power may leave, chosen by the random function `draw`, which returns a
    /// number below its argument.
    pub fn random_outcome(&self, draw: &mut dyn FnMut(u64) -> u64) -> Files {
        if !self.is_folder_durable && draw(2) == 0 {
            return Files::new();
        }
        let mut names = self.durable_names.clone();
        for (name, content) in &self.unsynced_names {
            match content {
                _ if draw(2) == 0 => {}
                Some(content) => drop(names.insert(name.clone(), *content)),
                None => drop(names.remove(name)),
            }
        }
        let mut surviving = |content: &usize| {
            let content = &self.contents[*content];
            let write_outcomes: Vec<WriteOutcome> =
                content.changes.iter().map(|_| OUTCOMES[draw(4) as usize]).collect();
            content.after(write_outcomes.into_iter())
        };
        names.iter().map(|(name, content)| (name.clone(), surviving(content))).collect()
    }

    /// Returns combinations of results for the unsynced changes: all combinations for up to two changes. For more
    /// changes: all kept, all lost, and each change individually with each result while the others are kept.
    fn write_outcomes(&self, names: &BTreeMap<String, usize>) -> Vec<Vec<WriteOutcome>> {
        let changes: usize = names.values().map(|content| self.contents[*content].changes.len()).sum();
        if changes <= 2 {
            let combinations = OUTCOMES.len().pow(changes as u32);
            let outcome =
                |number: usize, at: usize| OUTCOMES[number / OUTCOMES.len().pow(at as u32) % OUTCOMES.len()];
            return (0..combinations)
                .map(|number| (0..changes).map(|at| outcome(number, at)).collect())
                .collect();
        }
        let mut all = vec![vec![WriteOutcome::Kept; changes], vec![WriteOutcome::Lost; changes]];
        for (at, outcome) in (0..changes).flat_map(|at| OUTCOMES.map(|outcome| (at, outcome))) {
            let mut write_outcomes = vec![WriteOutcome::Kept; changes];
            write_outcomes[at] = outcome;
            all.push(write_outcomes);
        }
        all
    }
}

pub fn write(dir: &Path, files: &Files) {
    let _ = fs::remove_dir_all(dir);
    fs::create_dir_all(dir).unwrap();
    for (name, bytes) in files {
        fs::write(dir.join(name), bytes).unwrap();
    }
}
