//! The folder: its names, its opening, and the segment that is written to.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Read, Seek, SeekFrom};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use crate::disk::{self, DiskFile};
use crate::frame::{self, End, Expected, Identity, Kind, FILE_HEAD};
use crate::planted::PlantedFault;
use crate::{Options, Step, Trouble};

pub const MISSING: &str = "the file is missing";
pub const FORMAT: &str = "FORMAT";
const FORMAT_UNFINISHED: &str = "FORMAT.tmp";
/// As it has stood on disks since before the package had its present name.
const PROGRAM: &str = "stileroute-logbook";
/// `frame::VERSION`, as it stands in FORMAT.
const VERSION_WORD: &str = "1";

pub fn log_name(number: u64) -> String {
    format!("log-{number:010}")
}

pub fn snapshot_name(number: u64) -> String {
    format!("snapshot-{number:010}")
}

pub fn file_name(expected: Expected) -> String {
    match expected.kind {
        Kind::Log => log_name(expected.number),
        Kind::Snapshot => snapshot_name(expected.number),
    }
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

/// What FORMAT says.
pub struct Format {
    pub kind: String,
    pub identity: Identity,
}

pub fn read_format(dir: &Path) -> Result<Format, Trouble> {
    let file = dir.join(FORMAT);
    let bytes = fs::read(&file).map_err(Trouble::io("reading FORMAT"))?;
    let text = String::from_utf8_lossy(&bytes);
    let words: Vec<&str> = text.split_whitespace().collect();
    let (kind, identity) = match words[..] {
        [PROGRAM, VERSION_WORD, kind] => (kind, Some(0)),
        [PROGRAM, VERSION_WORD, kind, identity] => (kind, u32::from_str_radix(identity, 16).ok()),
        _ => ("", None),
    };
    let Some(identity) = identity else {
        let found = format!("{:?}", text.chars().take(80).collect::<String>());
        return Err(Trouble::Format { file: file.display().to_string(), found });
    };
    Ok(Format { kind: kind.to_string(), identity: Identity(identity) })
}

/// Written beside and renamed: under its own name it is whole.
fn write_format(dir: &Path, options: &Options) -> io::Result<()> {
    let mut file = DiskFile::make(dir, FORMAT_UNFINISHED, options)?;
    let text = format!("{PROGRAM} {VERSION_WORD} {} {}\n", options.schema, Identity::draw());
    file.write(text.as_bytes(), options)?;
    file.sync_all(options)?;
    disk::rename(dir, FORMAT_UNFINISHED, FORMAT, options)
}

/// An opened folder.
pub struct Folder {
    pub dir: PathBuf,
    pub options: Options,
    pub identity: Identity,
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
        if options.planted(PlantedFault::ParentUnsynced) {
            fs::create_dir_all(dir).map_err(&opening)?;
        } else {
            disk::make_folder(dir, &options).map_err(&opening)?;
        }
        let names = Names::read(dir)?;
        if !names.format {
            let data = names.logs.iter().map(|&number| log_name(number));
            let data = data.chain(names.snapshots.iter().map(|&number| snapshot_name(number)));
            let foreign = names.unfinished.iter().filter(|name| *name != FORMAT_UNFINISHED).cloned();
            if let Some(name) = data.chain(foreign).chain(names.others.iter().cloned()).next() {
                let found = format!("no such file, but {name}");
                return Err(Trouble::Format { file: dir.join(FORMAT).display().to_string(), found });
            }
            write_format(dir, &options).map_err(Trouble::io("writing FORMAT"))?;
        }
        let Format { kind, identity } = read_format(dir)?;
        if kind != options.schema {
            let found = format!("it keeps {kind:?}, not {:?}", options.schema);
            return Err(Trouble::Format { file: dir.join(FORMAT).display().to_string(), found });
        }

        // A process that was killed may have renamed without a sync. First these names are made lasting, then others are made
        // that take them for given, and what they replace is removed.
        if !names.format || !options.planted(PlantedFault::NamesTrusted) {
            disk::sync_folder(dir, &options).map_err(Trouble::io("syncing the folder"))?;
        }

        let live = names.live();
        if let Some(missing) = live.clone().find(|number| !names.logs.contains(number)) {
            return Err(Trouble::damaged(&log_name(missing), MISSING));
        }
        for name in &names.unfinished {
            disk::remove(dir, name, &options).map_err(Trouble::io("removing an unfinished file"))?;
        }
        let (base, mut snapshot, mut closed) = (names.base(), 0, 0);
        if names.snapshots.contains(&base) {
            let expected = Expected { kind: Kind::Snapshot, number: base, folder: identity };
            snapshot = whole(dir, expected, on_record)?;
        }
        let mut log = None;
        for number in live.clone() {
            let expected = Expected { kind: Kind::Log, number, folder: identity };
            if number != *live.end() {
                closed += whole(dir, expected, on_record)?;
                continue;
            }
            let mut scan = frame::scan(&dir.join(log_name(number)), expected, on_record)?;
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
                if options.planted(PlantedFault::TornTaken) {
                    scan.good = scan.len;
                }
                let segment = Segment::reopen(dir, number, &scan, &options);
                log = Some(segment.map_err(Trouble::io("cutting a torn end"))?);
            }
        }
        let log = match log {
            Some(log) => log,
            None => Segment::create(dir, base.max(*live.end()), identity, &options)
                .map_err(Trouble::io("making a segment"))?,
        };
        if let Err(error) = remove_before(dir, base, &options) {
            tracing::warn!(%error, "what a snapshot replaced is still there");
        }
        Ok(Folder { dir: dir.to_path_buf(), options, identity, base, snapshot, closed, log })
    }
}

impl Folder {
    /// Bytes of the files that count.
    pub fn used(&self) -> u64 {
        self.snapshot + self.closed + self.log.len
    }
}

/// Reads a file that must be whole; its length.
pub fn whole(dir: &Path, expected: Expected, on_record: &mut dyn FnMut(&[u8])) -> Result<u64, Trouble> {
    let name = file_name(expected);
    let scan = frame::scan(&dir.join(&name), expected, on_record)?;
    match scan.end {
        End::Whole => Ok(scan.len),
        End::Torn(reason) | End::Damaged(reason) => Err(Trouble::damaged(&name, reason)),
    }
}

/// Removes what the snapshot `base` covers. The names may come back at a power loss, and are removed again.
pub fn remove_before(dir: &Path, base: u64, options: &Options) -> io::Result<()> {
    let names = Names::read(dir).map_err(|trouble| io::Error::other(trouble.to_string()))?;
    for &number in names.logs.range(..base) {
        disk::remove(dir, &log_name(number), options)?;
    }
    for &number in names.snapshots.range(..base) {
        disk::remove(dir, &snapshot_name(number), options)?;
    }
    Ok(())
}

/// The segment that is written to.
pub struct Segment {
    file: DiskFile,
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
    pub fn create(dir: &Path, number: u64, folder: Identity, options: &Options) -> io::Result<Segment> {
        let name = log_name(number);
        let unfinished = format!("{name}.tmp");
        options.at(Step::CreateSegment)?;
        let mut file = DiskFile::make(dir, &unfinished, options)?;
        file.write(&frame::file_head(Expected { kind: Kind::Log, number, folder }), options)?;
        file.sync_all(options)?;
        options.at(Step::RenameSegment)?;
        disk::rename(dir, &unfinished, &name, options)?;
        let file = file.called(&name);
        let named = match options.at(Step::SyncFolderAfterSegment) {
            Ok(()) if options.planted(PlantedFault::SegmentNameUnsynced) => Ok(()),
            Ok(()) => disk::sync_folder(dir, options),
            failed => failed,
        };
        let nameless = named.is_err();
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
    fn reopen(dir: &Path, number: u64, scan: &frame::Scan, options: &Options) -> io::Result<Segment> {
        let mut file = DiskFile::open(dir, &log_name(number))?;
        let (good, entries) = (scan.good, scan.entries);
        if scan.len > good && !options.planted(PlantedFault::NotCut) {
            file.cut(good, options)?;
        }
        file.file.seek(SeekFrom::Start(good))?;
        file.sync_all(options)?;
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
        self.mend(options)?;
        let written = match options.at(Step::WriteEntries) {
            Ok(()) => self.file.write(bytes, options),
            Err(error) => self.file.write(&bytes[..bytes.len() / 2], options).and(Err(error)),
        };
        if written.is_err() {
            self.cut = true;
            let _ = self.mend(options);
            return written;
        }
        self.len += bytes.len() as u64;
        self.entries = self.entries.wrapping_add(entries);
        Ok(())
    }

    /// Takes back what was written behind `len`.
    pub fn back_to(&mut self, len: u64, entries: u32, options: &Options) {
        (self.len, self.entries, self.cut) = (len, entries, true);
        let _ = self.mend(options);
    }

    fn mend(&mut self, options: &Options) -> io::Result<()> {
        if self.cut {
            self.shortened = true;
            self.file.cut(self.len, options)?;
            self.cut = false;
        }
        Ok(())
    }

    /// From here on a loss of power can't take the segment's name back.
    pub fn sync_name(&mut self, dir: &Path, options: &Options) -> io::Result<()> {
        if self.nameless {
            disk::sync_folder(dir, options)?;
            self.nameless = false;
        }
        Ok(())
    }

    /// Whether a sync was needed and done.
    pub fn sync(&mut self, dir: &Path, options: &Options) -> io::Result<bool> {
        self.sync_name(dir, options)?;
        self.mend(options)?;
        if self.synced == self.len && !self.shortened {
            return Ok(false);
        }
        if self.doubt {
            self.write_anew(options)?;
        }
        self.doubt = true;
        options.at(Step::SyncSegment)?;
        if self.shortened {
            self.file.sync_all(options)?;
        } else {
            self.file.sync_data(options)?;
        }
        (self.doubt, self.shortened) = (false, false);
        (self.synced, self.synced_entries) = (self.len, self.entries);
        Ok(true)
    }

    fn write_anew(&mut self, options: &Options) -> io::Result<()> {
        let mut bytes = vec![0; (self.len - self.synced) as usize];
        self.cut = true;
        self.file.file.seek(SeekFrom::Start(self.synced))?;
        self.file.file.read_exact(&mut bytes)?;
        if !frame::are_entries(&bytes) {
            tracing::error!(
                bytes = bytes.len(),
                "records without sync are lost: a sync failed, and they read otherwise"
            );
            (self.len, self.entries) = (self.synced, self.synced_entries);
            return self.mend(options);
        }
        self.file.file.seek(SeekFrom::Start(self.synced))?;
        self.file.write(&bytes, options)?;
        self.cut = false;
        Ok(())
    }
}
