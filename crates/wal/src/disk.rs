//! All operations that change the log's folder or a file in it. A test can observe each operation after it completes,
//! and derive every state of the folder that a loss of power may leave.
//!
//! Under POSIX, `fsync` of a file makes its bytes durable but not its name; the name is durable once the folder that
//! contains the file has been synced. After a failed `fsync`, Linux may mark pages as clean that never reached the
//! disk (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::error::FileError;
use crate::instrumentation::{DiskAccess, Operation};
use crate::options::Options;

impl Options {
    fn notify_observer(&self, operation: impl FnOnce() -> Operation) {
        if let Some(observer) = &self.operation_observer {
            observer(operation());
        }
    }
}

/// Creates the log's folder if it is missing. The folder's name is durable once this returns, whichever process
/// created the folder.
pub fn create_folder(folder: &Path, options: &Options) -> Result<(), FileError> {
    let open_error = FileError::on("opening the folder", folder);
    let is_missing = |path: &&Path| !path.as_os_str().is_empty() && !path.exists();
    let missing: Vec<&Path> = folder.ancestors().take_while(is_missing).collect();
    if !missing.is_empty() {
        options.wait_while_stalled(DiskAccess::Write);
        fs::create_dir_all(folder).map_err(open_error)?;
        options.notify_observer(|| Operation::FolderCreated);
    }
    for created in missing.into_iter().skip(1).rev() {
        sync(&parent_of(created), options).map_err(open_error)?;
    }
    sync(&parent_of(folder), options).map_err(open_error)?;
    options.notify_observer(|| Operation::ParentSynced);
    Ok(())
}

/// Creates the log's folder if it is missing, without syncing its parent: a planted fault that the power-loss tests
/// have to detect.
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

/// Syncs the folder: all creations, renames and removals of files in it that were made before the call survive a loss
/// of power.
pub fn sync_folder(folder: &Path, options: &Options) -> Result<(), FileError> {
    sync(folder, options).map_err(FileError::on("syncing the folder", folder))?;
    options.notify_observer(|| Operation::FolderSynced);
    Ok(())
}

/// Renames a file of the folder, and replaces the file that has the new name if there is one.
pub fn rename(folder: &Path, from: &str, to: &str, options: &Options) -> Result<(), FileError> {
    let source_path = folder.join(from);
    options.wait_while_stalled(DiskAccess::Write);
    fs::rename(&source_path, folder.join(to)).map_err(FileError::on("renaming", &source_path))?;
    options.notify_observer(|| Operation::Renamed { from: from.to_string(), to: to.to_string() });
    Ok(())
}

/// Removes a file of the folder. A file that does not exist is not an error.
pub fn remove(folder: &Path, name: &str, options: &Options) -> Result<(), FileError> {
    let path = folder.join(name);
    options.wait_while_stalled(DiskAccess::Write);
    match fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(FileError::new("removing", &path, error))
        }
        _ => {
            options.notify_observer(|| Operation::Removed { name: name.to_string() });
            Ok(())
        }
    }
}

/// An open file of the log's folder.
pub struct DiskFile {
    /// The file handle, shared with syncs that run on another thread.
    file: Arc<File>,
    path: PathBuf,
}

impl DiskFile {
    /// Creates an empty file for reading and writing, and truncates an existing file of that name.
    pub fn create(folder: &Path, name: &str, options: &Options) -> Result<DiskFile, FileError> {
        let path = folder.join(name);
        let mut create_options = OpenOptions::new();
        create_options.read(true).write(true).create(true).truncate(true);
        options.wait_while_stalled(DiskAccess::Write);
        let file = create_options.open(&path).map_err(FileError::on("creating", &path))?;
        options.notify_observer(|| Operation::FileCreated { name: name.to_string() });
        Ok(DiskFile { file: Arc::new(file), path })
    }

    /// Opens an existing file for reading and writing.
    pub fn open(folder: &Path, name: &str) -> Result<DiskFile, FileError> {
        let path = folder.join(name);
        let opened = OpenOptions::new().read(true).write(true).open(&path);
        let file = opened.map_err(FileError::on("opening", &path))?;
        Ok(DiskFile { file: Arc::new(file), path })
    }

    /// Path of the open file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Updates the stored path after the file was renamed within its folder.
    pub fn renamed(mut self, name: &str) -> DiskFile {
        self.path.set_file_name(name);
        self
    }

    fn name(&self) -> String {
        self.path.file_name().unwrap_or_default().to_string_lossy().into_owned()
    }

    /// Writes the bytes at the file's current offset.
    pub fn write(&mut self, bytes: &[u8], options: &Options) -> Result<(), FileError> {
        let offset = match options.operation_observer {
            Some(_) => self.file.as_ref().stream_position().map_err(FileError::on("writing", &self.path))?,
            None => 0,
        };
        options.wait_while_stalled(DiskAccess::Write);
        let written = self.file.as_ref().write_all(bytes);
        options.notify_observer(|| Operation::Written { name: self.name(), offset, bytes: bytes.to_vec() });
        written.map_err(FileError::on("writing", &self.path))
    }

    /// Sets the file's length in bytes, and moves the current offset to the new end of the file.
    pub fn truncate(&mut self, length: u64, options: &Options) -> Result<(), FileError> {
        options.wait_while_stalled(DiskAccess::Write);
        self.file.set_len(length).map_err(FileError::on("truncating", &self.path))?;
        options.notify_observer(|| Operation::LengthSet { name: self.name(), length });
        self.seek(length)
    }

    /// Moves the file's current offset, in bytes from its start.
    pub fn seek(&mut self, offset: u64) -> Result<(), FileError> {
        let seek_result = self.file.as_ref().seek(SeekFrom::Start(offset));
        seek_result.map(drop).map_err(FileError::on("seeking in", &self.path))
    }

    /// Reads from the file's current offset until the buffer is full.
    pub fn read_exact(&mut self, buffer: &mut [u8]) -> Result<(), FileError> {
        self.file.as_ref().read_exact(buffer).map_err(FileError::on("reading", &self.path))
    }

    /// Returns a handle with which another thread can sync the file while this one writes to it.
    pub fn syncer(&self) -> FileSyncer {
        FileSyncer { file: Arc::clone(&self.file), path: self.path.clone() }
    }

    /// Makes the file's bytes durable, and only as much of its metadata as is needed to read them (`fdatasync`).
    pub fn sync_data(&self, options: &Options) -> Result<(), FileError> {
        self.syncer().sync_data(options)
    }

    /// Makes the file's bytes and all of its metadata durable (`fsync`).
    pub fn sync_all(&self, options: &Options) -> Result<(), FileError> {
        self.syncer().sync_all(options)
    }
}

/// A handle that syncs an open file of the log's folder while another thread may write to the file.
///
/// Bytes that were written before a sync started are durable once it has completed; bytes that were written during the
/// sync may or may not be durable.
pub struct FileSyncer {
    file: Arc<File>,
    path: PathBuf,
}

impl FileSyncer {
    /// Path of the file that is synced.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Makes the file's bytes durable, and only as much of its metadata as is needed to read them (`fdatasync`).
    pub fn sync_data(&self, options: &Options) -> Result<(), FileError> {
        self.sync(File::sync_data, options)
    }

    /// Makes the file's bytes and all of its metadata durable (`fsync`).
    pub fn sync_all(&self, options: &Options) -> Result<(), FileError> {
        self.sync(File::sync_all, options)
    }

    fn sync(&self, sync: fn(&File) -> io::Result<()>, options: &Options) -> Result<(), FileError> {
        let name = || self.path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        options.notify_observer(|| Operation::SyncBegun { name: name() });
        options.wait_while_stalled(DiskAccess::Sync);
        sync(&self.file).map_err(FileError::on("syncing", &self.path))?;
        options.notify_observer(|| Operation::FileSynced { name: name() });
        Ok(())
    }
}
