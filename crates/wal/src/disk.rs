//! The operations that change a folder or a file in it. A test may observe each of them once it is done, and derive from
//! them all that a loss of power may leave.
//!
//! POSIX: `fsync` of a file makes its bytes durable but not its name; the name is durable once the folder that holds it is
//! synced. After a failed `fsync` Linux may mark pages clean that never reached the disk (Rebello et al., "Can Applications
//! Recover from fsync Failures?", USENIX ATC 2020).

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::error::FileError;
use crate::instrumentation::{DiskAccess, Operation};
use crate::options::Options;

impl Options {
    fn observed(&self, operation: impl FnOnce() -> Operation) {
        if let Some(observer) = &self.operation_observer {
            observer(operation());
        }
    }
}

/// Creates the folder if it is missing. Whoever created it, its name is durable once this returns.
pub fn create_folder(folder: &Path, options: &Options) -> Result<(), FileError> {
    let opening = FileError::on("opening the folder", folder);
    let is_missing = |path: &&Path| !path.as_os_str().is_empty() && !path.exists();
    let missing: Vec<&Path> = folder.ancestors().take_while(is_missing).collect();
    if !missing.is_empty() {
        options.wait_while_stalled(DiskAccess::Write);
        fs::create_dir_all(folder).map_err(opening)?;
        options.observed(|| Operation::FolderCreated);
    }
    for created in missing.into_iter().skip(1).rev() {
        sync(&parent_of(created), options).map_err(opening)?;
    }
    sync(&parent_of(folder), options).map_err(opening)?;
    options.observed(|| Operation::ParentSynced);
    Ok(())
}

/// Creates the folder if it is missing, and does not sync its name: a fault for the search to find.
pub fn create_folder_unsynced(folder: &Path) -> Result<(), FileError> {
    fs::create_dir_all(folder).map_err(FileError::on("opening the folder", folder))
}

fn parent_of(folder: &Path) -> PathBuf {
    match folder.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent.to_path_buf(),
        _ => PathBuf::from("."),
    }
}

fn sync(folder: &Path, options: &Options) -> io::Result<()> {
    options.wait_while_stalled(DiskAccess::Sync);
    File::open(folder)?.sync_all()
}

/// Names that were created, renamed or removed outlive a loss of power from here on.
pub fn sync_folder(folder: &Path, options: &Options) -> Result<(), FileError> {
    sync(folder, options).map_err(FileError::on("syncing the folder", folder))?;
    options.observed(|| Operation::FolderSynced);
    Ok(())
}

/// Renames a file of the folder, over another if there is one.
pub fn rename(folder: &Path, from: &str, to: &str, options: &Options) -> Result<(), FileError> {
    let unnamed = folder.join(from);
    options.wait_while_stalled(DiskAccess::Write);
    fs::rename(&unnamed, folder.join(to)).map_err(FileError::on("renaming", &unnamed))?;
    options.observed(|| Operation::Renamed { from: from.to_string(), to: to.to_string() });
    Ok(())
}

/// Removes a file of the folder. A name that is gone already is no error.
pub fn remove(folder: &Path, name: &str, options: &Options) -> Result<(), FileError> {
    let path = folder.join(name);
    options.wait_while_stalled(DiskAccess::Write);
    match fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(FileError::new("removing", &path, error))
        }
        _ => {
            options.observed(|| Operation::Removed { name: name.to_string() });
            Ok(())
        }
    }
}

/// An open file of the folder.
pub struct DiskFile {
    /// Shared with syncs that run on another thread.
    file: Arc<File>,
    path: PathBuf,
}

impl DiskFile {
    /// An empty file, whatever was there under its name.
    pub fn create(folder: &Path, name: &str, options: &Options) -> Result<DiskFile, FileError> {
        let path = folder.join(name);
        let mut creating = OpenOptions::new();
        creating.read(true).write(true).create(true).truncate(true);
        options.wait_while_stalled(DiskAccess::Write);
        let file = creating.open(&path).map_err(FileError::on("creating", &path))?;
        options.observed(|| Operation::FileCreated { name: name.to_string() });
        Ok(DiskFile { file: Arc::new(file), path })
    }

    /// Opens a file that is there, to read and write it.
    pub fn open(folder: &Path, name: &str) -> Result<DiskFile, FileError> {
        let path = folder.join(name);
        let opened = OpenOptions::new().read(true).write(true).open(&path);
        let file = opened.map_err(FileError::on("opening", &path))?;
        Ok(DiskFile { file: Arc::new(file), path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The same file after it was renamed.
    pub fn renamed(mut self, name: &str) -> DiskFile {
        self.path.set_file_name(name);
        self
    }

    fn name(&self) -> String {
        self.path.file_name().unwrap_or_default().to_string_lossy().into_owned()
    }

    /// Writes at the current offset.
    pub fn write(&mut self, bytes: &[u8], options: &Options) -> Result<(), FileError> {
        let offset = match options.operation_observer {
            Some(_) => self.file.as_ref().stream_position().map_err(FileError::on("writing", &self.path))?,
            None => 0,
        };
        options.wait_while_stalled(DiskAccess::Write);
        let written = self.file.as_ref().write_all(bytes);
        options.observed(|| Operation::Written { name: self.name(), offset, bytes: bytes.to_vec() });
        written.map_err(FileError::on("writing", &self.path))
    }

    /// Sets the length, and makes that the current offset.
    pub fn truncate(&mut self, length: u64, options: &Options) -> Result<(), FileError> {
        options.wait_while_stalled(DiskAccess::Write);
        self.file.set_len(length).map_err(FileError::on("truncating", &self.path))?;
        options.observed(|| Operation::LengthSet { name: self.name(), length });
        self.seek(length)
    }

    /// Sets the current offset.
    pub fn seek(&mut self, offset: u64) -> Result<(), FileError> {
        let sought = self.file.as_ref().seek(SeekFrom::Start(offset));
        sought.map(drop).map_err(FileError::on("seeking in", &self.path))
    }

    /// Fills the buffer from the current offset on.
    pub fn read_exact(&mut self, buffer: &mut [u8]) -> Result<(), FileError> {
        self.file.as_ref().read_exact(buffer).map_err(FileError::on("reading", &self.path))
    }

    /// What a thread needs that syncs the file while this one writes to it.
    pub fn syncer(&self) -> FileSyncer {
        FileSyncer { file: Arc::clone(&self.file), path: self.path.clone() }
    }

    /// Makes the bytes durable, and of the metadata only what reading them needs (`fdatasync`).
    pub fn sync_data(&self, options: &Options) -> Result<(), FileError> {
        self.syncer().sync_data(options)
    }

    /// Makes the bytes and all metadata durable (`fsync`).
    pub fn sync_all(&self, options: &Options) -> Result<(), FileError> {
        self.syncer().sync_all(options)
    }
}

/// Syncs an open file of the folder, while another thread may write to it.
///
/// What was written before a sync began is durable once it has ended; what was written meanwhile may or may not be.
pub struct FileSyncer {
    file: Arc<File>,
    path: PathBuf,
}

impl FileSyncer {
    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Makes the bytes durable, and of the metadata only what reading them needs (`fdatasync`).
    pub fn sync_data(&self, options: &Options) -> Result<(), FileError> {
        self.sync(File::sync_data, options)
    }

    /// Makes the bytes and all metadata durable (`fsync`).
    pub fn sync_all(&self, options: &Options) -> Result<(), FileError> {
        self.sync(File::sync_all, options)
    }

    fn sync(&self, sync: fn(&File) -> io::Result<()>, options: &Options) -> Result<(), FileError> {
        let name = || self.path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        options.observed(|| Operation::SyncBegun { name: name() });
        options.wait_while_stalled(DiskAccess::Sync);
        sync(&self.file).map_err(FileError::on("syncing", &self.path))?;
        options.observed(|| Operation::FileSynced { name: name() });
        Ok(())
    }
}
