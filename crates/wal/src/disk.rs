//! The operations that change a folder or a file in it. A test may observe each of them once it is done, and build from
//! them what a loss of power may leave.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::Options;

/// What was done. Files are known by the name that they had at that moment.
#[doc(hidden)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    FolderCreated,
    /// The folder that holds the folder.
    ParentSynced,
    /// Made, or emptied if it was there.
    FileCreated {
        name: String,
    },
    Written {
        name: String,
        at: u64,
        bytes: Vec<u8>,
    },
    LengthSet {
        name: String,
        len: u64,
    },
    FileSynced {
        name: String,
    },
    Renamed {
        from: String,
        to: String,
    },
    Removed {
        name: String,
    },
    FolderSynced,
}

/// An open file of the folder, known by its name.
pub struct DiskFile {
    pub file: File,
    name: String,
}

impl Options {
    fn observed(&self, operation: impl FnOnce() -> Operation) {
        if let Some(observer) = &self.operation_observer {
            observer(operation());
        }
    }
}

/// Makes the folder if it is missing. Whoever made it, its name is lasting once this returns.
pub fn make_folder(dir: &Path, options: &Options) -> io::Result<()> {
    let missing: Vec<&Path> =
        dir.ancestors().take_while(|path| !path.as_os_str().is_empty() && !path.exists()).collect();
    if !missing.is_empty() {
        fs::create_dir_all(dir)?;
        options.observed(|| Operation::FolderCreated);
    }
    for made in missing.into_iter().skip(1).rev() {
        File::open(parent_of(made))?.sync_all()?;
    }
    File::open(parent_of(dir))?.sync_all()?;
    options.observed(|| Operation::ParentSynced);
    Ok(())
}

fn parent_of(dir: &Path) -> PathBuf {
    match dir.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent.to_path_buf(),
        _ => PathBuf::from("."),
    }
}

/// Names that were made, renamed or removed outlive a power loss from here on.
pub fn sync_folder(dir: &Path, options: &Options) -> io::Result<()> {
    File::open(dir)?.sync_all()?;
    options.observed(|| Operation::FolderSynced);
    Ok(())
}

pub fn rename(dir: &Path, from: &str, to: &str, options: &Options) -> io::Result<()> {
    fs::rename(dir.join(from), dir.join(to))?;
    options.observed(|| Operation::Renamed { from: from.to_string(), to: to.to_string() });
    Ok(())
}

/// A name that is gone already is no error.
pub fn remove(dir: &Path, name: &str, options: &Options) -> io::Result<()> {
    match fs::remove_file(dir.join(name)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => options.observed(|| Operation::Removed { name: name.to_string() }),
    }
    Ok(())
}

impl DiskFile {
    /// Empty, whatever was there under its name.
    pub fn make(dir: &Path, name: &str, options: &Options) -> io::Result<DiskFile> {
        let mut opening = OpenOptions::new();
        let file = opening.read(true).write(true).create(true).truncate(true).open(dir.join(name))?;
        options.observed(|| Operation::FileCreated { name: name.to_string() });
        Ok(DiskFile { file, name: name.to_string() })
    }

    pub fn open(dir: &Path, name: &str) -> io::Result<DiskFile> {
        let file = OpenOptions::new().read(true).write(true).open(dir.join(name))?;
        Ok(DiskFile { file, name: name.to_string() })
    }

    /// It has been renamed.
    pub fn called(self, name: &str) -> DiskFile {
        DiskFile { name: name.to_string(), ..self }
    }

    /// At the present place.
    pub fn write(&mut self, bytes: &[u8], options: &Options) -> io::Result<()> {
        let at = if options.operation_observer.is_some() { self.file.stream_position()? } else { 0 };
        let written = self.file.write_all(bytes);
        options.observed(|| Operation::Written { name: self.name.clone(), at, bytes: bytes.to_vec() });
        written
    }

    /// Sets the length, and goes there.
    pub fn cut(&mut self, len: u64, options: &Options) -> io::Result<()> {
        self.file.set_len(len)?;
        options.observed(|| Operation::LengthSet { name: self.name.clone(), len });
        self.file.seek(SeekFrom::Start(len))?;
        Ok(())
    }

    pub fn sync_data(&mut self, options: &Options) -> io::Result<()> {
        self.file.sync_data()?;
        options.observed(|| Operation::FileSynced { name: self.name.clone() });
        Ok(())
    }

    pub fn sync_all(&mut self, options: &Options) -> io::Result<()> {
        self.file.sync_all()?;
        options.observed(|| Operation::FileSynced { name: self.name.clone() });
        Ok(())
    }
}
