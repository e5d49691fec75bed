//! The folder: its names, its opening, and the segment that is written to.

use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use crate::frame::{self, End, Kind, FILE_HEAD};
use crate::{Options, Step, Trouble};

pub const MISSING: &str = "the file is missing";
pub const FORMAT: &str = "FORMAT";
const PROGRAM: &str = "stileroute-logbook";

pub fn log_name(number: u64) -> String {
    format!("log-{number:010}")
}

pub fn snapshot_name(number: u64) -> String {
    format!("snapshot-{number:010}")
}

/// Names that were made or renamed outlive a power loss from here on.
pub fn sync(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

#[derive(Default)]
pub struct Names {
    pub logs: BTreeSet<u64>,
    pub snapshots: BTreeSet<u64>,
    pub unfinished: Vec<String>,
    pub others: Vec<String>,
    pub format: bool,
}

impl Names {
    pub fn read(dir: &Path) -> Result<Names, Trouble> {
        let listing = Trouble::io("listing the folder");
        let mut names = Names::default();
        for found in fs::read_dir(dir).map_err(&listing)? {
            let name = found.map_err(&listing)?.file_name().to_string_lossy().into_owned();
            let number = |prefix: &str| {
                let number = name.strip_prefix(prefix)?.parse().ok()?;
                (format!("{prefix}{number:010}") == name).then_some(number)
            };
            if name == FORMAT {
                names.format = true;
            } else if let Some(number) = number("log-") {
                names.logs.insert(number);
            } else if let Some(number) = number("snapshot-") {
                names.snapshots.insert(number);
            } else if name.ends_with(".tmp") {
                names.unfinished.push(name);
            } else {
                names.others.push(name);
            }
        }
        Ok(names)
    }

    /// The first segment that the newest snapshot does not cover.
    pub fn base(&self) -> u64 {
        self.snapshots.last().copied().unwrap_or(1)
    }

    /// The segments to be read. Each must be there; there are none before the first was made.
    pub fn live(&self) -> RangeInclusive<u64> {
        let last = self.logs.last().copied().filter(|last| *last >= self.base());
        self.base()..=last.or(self.snapshots.last().copied()).unwrap_or(0)
    }
}

/// The kind that FORMAT names.
pub fn kind_of(dir: &Path) -> Result<String, Trouble> {
    let file = dir.join(FORMAT);
    let bytes = fs::read(&file).map_err(Trouble::io("reading FORMAT"))?;
    let text = String::from_utf8_lossy(&bytes);
    let words: Vec<&str> = text.split_whitespace().collect();
    match words[..] {
        [PROGRAM, version, kind] if version == frame::VERSION.to_string() => Ok(kind.to_string()),
        _ => {
            let found = format!("{:?}", text.chars().take(80).collect::<String>());
            Err(Trouble::Format { file: file.display().to_string(), found })
        }
    }
}

/// Written beside and renamed: under its own name it is whole.
fn write_format(dir: &Path, kind: &str) -> io::Result<()> {
    let unfinished = dir.join("FORMAT.tmp");
    let mut file = File::create(&unfinished)?;
    writeln!(file, "{PROGRAM} {} {kind}", frame::VERSION)?;
    file.sync_all()?;
    fs::rename(unfinished, dir.join(FORMAT))?;
    sync(dir)
}

/// An opened folder.
pub struct Folder {
    pub dir: PathBuf,
    pub options: Options,
    /// The first segment the snapshot does not cover; there is no snapshot at 1.
    pub base: u64,
    /// Bytes of the snapshot, and of the segments between it and the one written to.
    pub snapshot: u64,
    pub closed: u64,
    pub log: Segment,
}

impl Folder {
    pub fn open(dir: &Path, options: Options, on_record: &mut dyn FnMut(&[u8])) -> Result<Folder, Trouble> {
        let opening = Trouble::io("opening the folder");
        if !dir.exists() {
            fs::create_dir_all(dir).map_err(&opening)?;
            if let Some(parent) = dir.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                sync(parent).map_err(&opening)?;
            }
        }
        let names = Names::read(dir)?;
        if !names.format {
            let data = names.logs.iter().map(|&number| log_name(number));
            let data = data.chain(names.snapshots.iter().map(|&number| snapshot_name(number)));
            let foreign = names.unfinished.iter().filter(|name| *name != "FORMAT.tmp").cloned();
            if let Some(name) = data.chain(foreign).chain(names.others.iter().cloned()).next() {
                let found = format!("no such file, but {name}");
                return Err(Trouble::Format { file: dir.join(FORMAT).display().to_string(), found });
            }
            write_format(dir, options.kind).map_err(Trouble::io("writing FORMAT"))?;
        }
        let kind = kind_of(dir)?;
        if kind != options.kind {
            let found = format!("it keeps {kind:?}, not {:?}", options.kind);
            return Err(Trouble::Format { file: dir.join(FORMAT).display().to_string(), found });
        }

        let live = names.live();
        if let Some(missing) = live.clone().find(|number| !names.logs.contains(number)) {
            return Err(Trouble::damaged(&log_name(missing), MISSING));
        }
        for name in &names.unfinished {
            match fs::remove_file(dir.join(name)) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => {
                    return Err(Trouble::io("removing an unfinished file")(error));
                }
                _ => {}
            }
        }
        let (base, mut snapshot, mut closed) = (names.base(), 0, 0);
        if names.snapshots.contains(&base) {
            snapshot = whole(dir, Kind::Snapshot, base, on_record)?;
        }
        let mut log = None;
        for number in live.clone() {
            if number != *live.end() {
                closed += whole(dir, Kind::Log, number, on_record)?;
                continue;
            }
            let path = dir.join(log_name(number));
            let scan = frame::scan(&path, Kind::Log, number, on_record)?;
            match &scan.end {
                End::Damaged(reason) => return Err(Trouble::damaged(&log_name(number), reason.as_str())),
                End::Torn(reason) => {
                    tracing::warn!(
                        file = log_name(number),
                        good = scan.good,
                        len = scan.len,
                        reason,
                        "torn end"
                    );
                }
                End::Whole => {}
            }
            if scan.good >= FILE_HEAD {
                log = Some(Segment::reopen(&path, number, &scan).map_err(Trouble::io("cutting a torn end"))?);
            }
        }
        let log = match log {
            Some(log) => log,
            None => Segment::create(dir, base.max(*live.end()), &options)
                .map_err(Trouble::io("making a segment"))?,
        };
        // A process that was killed may have renamed without a sync: first the names, then what they replace.
        sync(dir).map_err(Trouble::io("syncing the folder"))?;
        if let Err(error) = remove_before(dir, base) {
            tracing::warn!(%error, "what a snapshot replaced is still there");
        }
        Ok(Folder { dir: dir.to_path_buf(), options, base, snapshot, closed, log })
    }
}

/// Reads a file that must be whole; its length.
pub fn whole(dir: &Path, kind: Kind, number: u64, on_record: &mut dyn FnMut(&[u8])) -> Result<u64, Trouble> {
    let name = if kind == Kind::Log { log_name(number) } else { snapshot_name(number) };
    let scan = frame::scan(&dir.join(&name), kind, number, on_record)?;
    match scan.end {
        End::Whole => Ok(scan.len),
        End::Torn(reason) | End::Damaged(reason) => Err(Trouble::damaged(&name, reason)),
    }
}

/// Removes what the snapshot `base` covers. The names may come back at a power loss, and are removed again.
pub fn remove_before(dir: &Path, base: u64) -> io::Result<()> {
    let names = Names::read(dir).map_err(|trouble| io::Error::other(trouble.to_string()))?;
    for &number in names.logs.range(..base) {
        fs::remove_file(dir.join(log_name(number)))?;
    }
    for &number in names.snapshots.range(..base) {
        fs::remove_file(dir.join(snapshot_name(number)))?;
    }
    Ok(())
}

/// The segment that is written to.
pub struct Segment {
    file: File,
    pub number: u64,
    /// Up to where it is good, and the count of entries there.
    pub len: u64,
    pub entries: u32,
    /// Up to where it is synced, and the count of entries there.
    pub synced: u64,
    synced_entries: u32,
    /// More may lie behind `len`, and the place to write at is elsewhere.
    cut: bool,
    /// It was made shorter, and not synced since: what was cut off could come back.
    shortened: bool,
    /// A sync failed. The system may take what it could not write for written, and the next sync would succeed without it: what
    /// lies behind `synced` is read back and written anew before.
    doubt: bool,
    /// The name has not been synced.
    pub nameless: bool,
}

impl Segment {
    /// Made beside and renamed: a segment that has a name has a head, and the one before it is closed.
    pub fn create(dir: &Path, number: u64, options: &Options) -> io::Result<Segment> {
        let path = dir.join(log_name(number));
        let unfinished = dir.join(format!("{}.tmp", log_name(number)));
        options.at(Step::SegmentMake)?;
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&unfinished)?;
        file.write_all(&frame::file_head(Kind::Log, number))?;
        file.sync_all()?;
        options.at(Step::SegmentRename)?;
        fs::rename(unfinished, path)?;
        let nameless = options.at(Step::SegmentFolder).and_then(|()| sync(dir)).is_err();
        let (len, synced) = (FILE_HEAD, FILE_HEAD);
        Ok(Segment {
            file,
            number,
            len,
            entries: 0,
            synced,
            synced_entries: 0,
            cut: false,
            shortened: false,
            doubt: false,
            nameless,
        })
    }

    /// Synced even if nothing was cut off: what a killed process left may not have been, and now counts.
    fn reopen(path: &Path, number: u64, scan: &frame::Scan) -> io::Result<Segment> {
        let mut file = OpenOptions::new().read(true).write(true).open(path)?;
        let (good, entries) = (scan.good, scan.entries);
        if scan.len > good {
            file.set_len(good)?;
        }
        file.seek(SeekFrom::Start(good))?;
        file.sync_all()?;
        Ok(Segment {
            file,
            number,
            len: good,
            entries,
            synced: good,
            synced_entries: entries,
            cut: false,
            shortened: false,
            doubt: false,
            nameless: false,
        })
    }

    /// All or nothing.
    pub fn write(&mut self, bytes: &[u8], entries: u32, options: &Options) -> io::Result<()> {
        self.mend()?;
        let written = match options.at(Step::Write) {
            Ok(()) => self.file.write_all(bytes),
            Err(error) => self.file.write_all(&bytes[..bytes.len() / 2]).and(Err(error)),
        };
        if written.is_err() {
            self.cut = true;
            let _ = self.mend();
            return written;
        }
        self.len += bytes.len() as u64;
        self.entries = self.entries.wrapping_add(entries);
        Ok(())
    }

    /// Takes back what was written behind `len`.
    pub fn back_to(&mut self, len: u64, entries: u32) {
        (self.len, self.entries, self.cut) = (len, entries, true);
        let _ = self.mend();
    }

    fn mend(&mut self) -> io::Result<()> {
        if self.cut {
            self.file.set_len(self.len)?;
            self.shortened = true;
            self.file.seek(SeekFrom::Start(self.len))?;
            self.cut = false;
        }
        Ok(())
    }

    /// Whether a sync was needed and done.
    pub fn sync(&mut self, dir: &Path, options: &Options) -> io::Result<bool> {
        if self.nameless {
            sync(dir)?;
            self.nameless = false;
        }
        self.mend()?;
        if self.synced == self.len && !self.shortened {
            return Ok(false);
        }
        if self.doubt {
            self.write_anew()?;
        }
        self.doubt = true;
        options.at(Step::Sync)?;
        if self.shortened {
            self.file.sync_all()?;
        } else {
            self.file.sync_data()?;
        }
        (self.doubt, self.shortened) = (false, false);
        (self.synced, self.synced_entries) = (self.len, self.entries);
        Ok(true)
    }

    fn write_anew(&mut self) -> io::Result<()> {
        let mut bytes = vec![0; (self.len - self.synced) as usize];
        self.cut = true;
        self.file.seek(SeekFrom::Start(self.synced))?;
        self.file.read_exact(&mut bytes)?;
        if !frame::are_entries(&bytes) {
            tracing::error!(
                bytes = bytes.len(),
                "records without sync are lost: a sync failed, and they read otherwise"
            );
            (self.len, self.entries) = (self.synced, self.synced_entries);
            return self.mend();
        }
        self.file.seek(SeekFrom::Start(self.synced))?;
        self.file.write_all(&bytes)?;
        self.cut = false;
        Ok(())
    }
}
