//! A disk that remembers which operations a loss of power may take back, each by itself.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use stileroute_wal::Operation;

/// The names of a folder and the bytes behind each.
pub type Files = BTreeMap<String, Vec<u8>>;

#[derive(Clone, Debug)]
enum Change {
    Write { at: usize, bytes: Vec<u8> },
    Length(usize),
}

/// What becomes of an unsynced change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Kept,
    Lost,
    /// The first half is there, and the file ends behind it, unless it was longer.
    Truncated,
    /// The first half is there, and zeros in place of the second.
    Zeroed,
}

const FATES: [Fate; 4] = [Fate::Kept, Fate::Lost, Fate::Truncated, Fate::Zeroed];

impl Change {
    fn apply(&self, fate: Fate, to: &mut Vec<u8>) {
        match self {
            Change::Length(len) if fate != Fate::Lost => to.resize(*len, 0),
            Change::Length(_) => {}
            Change::Write { at, bytes } => {
                let half = bytes.len() / 2;
                let bytes = match fate {
                    Fate::Kept => bytes.clone(),
                    Fate::Lost => return,
                    Fate::Truncated => bytes[..half].to_vec(),
                    Fate::Zeroed => [&bytes[..half], &vec![0; bytes.len() - half]].concat(),
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
    /// How many of the changes a sync that is running covers: those that were made before it began.
    covered: usize,
}

impl Content {
    fn after(&self, fates: impl Iterator<Item = Fate>) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        self.changes.iter().zip(fates).for_each(|(change, fate)| change.apply(fate, &mut bytes));
        bytes
    }

    fn visible(&self) -> Vec<u8> {
        self.after(std::iter::repeat(Fate::Kept))
    }

    /// What was changed before the sync began is durable; what was changed meanwhile may still be lost.
    fn sync_covered(&mut self) {
        for change in self.changes.drain(..std::mem::take(&mut self.covered)) {
            change.apply(Fate::Kept, &mut self.synced);
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    contents: Vec<Content>,
    /// As running processes see them.
    names: BTreeMap<String, usize>,
    /// As the last sync of the folder left it, and what was done to names since: a rename is two of these, one for each name.
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<(String, Option<usize>)>,
    /// The folder's own name is durable.
    is_folder_durable: bool,
}

// Each file of tests uses its part of it.
#[allow(dead_code)]
impl Disk {
    /// One that holds these, all of them durable.
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

    /// What the next process finds when this one is killed.
    pub fn visible_files(&self) -> Files {
        self.names.iter().map(|(name, content)| (name.clone(), self.contents[*content].visible())).collect()
    }

    pub fn bytes(&self) -> u64 {
        self.visible_files().values().map(|bytes| bytes.len() as u64).sum()
    }

    /// Everything that a loss of power may leave.
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
            for fates in self.fates(&names) {
                let mut rest = fates.into_iter();
                let files = names.iter().map(|(name, content)| {
                    let content = &self.contents[*content];
                    let fates: Vec<Fate> = rest.by_ref().take(content.changes.len()).collect();
                    (name.clone(), content.after(fates.into_iter()))
                });
                all.push(files.collect());
            }
        }
        all
    }

    /// One of the things that a loss of power may leave, chosen by `draw`, which gives a number below its argument.
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
        let mut left = |content: &usize| {
            let content = &self.contents[*content];
            let fates: Vec<Fate> = content.changes.iter().map(|_| FATES[draw(4) as usize]).collect();
            content.after(fates.into_iter())
        };
        names.iter().map(|(name, content)| (name.clone(), left(content))).collect()
    }

    /// Of a few changes every combination; of more, all alike, and each one by itself.
    fn fates(&self, names: &BTreeMap<String, usize>) -> Vec<Vec<Fate>> {
        let changes: usize = names.values().map(|content| self.contents[*content].changes.len()).sum();
        if changes <= 2 {
            let combinations = FATES.len().pow(changes as u32);
            let fate = |number: usize, at: usize| FATES[number / FATES.len().pow(at as u32) % FATES.len()];
            return (0..combinations)
                .map(|number| (0..changes).map(|at| fate(number, at)).collect())
                .collect();
        }
        let mut all = vec![vec![Fate::Kept; changes], vec![Fate::Lost; changes]];
        for (at, fate) in (0..changes).flat_map(|at| FATES.map(|fate| (at, fate))) {
            let mut fates = vec![Fate::Kept; changes];
            fates[at] = fate;
            all.push(fates);
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
