//! Records which node owns a data folder. An owner file beside each log holds the name of the node that the log belongs to, so
//! that folders that were swapped between machines are detected before their data is used. With a swapped folder, a control node
//! would count the other node's vote twice, and a store would deliver messages that it does not own.
//!
//! The owner's name is written once, before the log is created, to a temporary file that is synced and then renamed: an owner
//! file that exists is therefore complete. A data folder without an owner file (it was created before owner files existed, or a
//! power loss removed the file) is claimed by the node that opens it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Extension of the owner file; the file's stem is the schema of the log.
const OWNER_EXTENSION: &str = "owner";
/// Extension of the owner file while it is being written.
const TEMPORARY_EXTENSION: &str = "owner.tmp";

/// Why a data folder can't be used by this node.
#[derive(Debug, thiserror::Error)]
pub enum OwnerError {
    /// The data folder was written by another node.
    #[error(
        "{}: it belongs to {owner:?}, and this is {node:?}: give each machine its own folder back, or start with an empty one",
        file.display()
    )]
    BelongsToOther {
        /// The owner file, which names the other node.
        file: PathBuf,
        /// Name of the node that has written the data folder.
        owner: String,
        /// Name of this node.
        node: String,
    },
    /// The owner file can't be read or written.
    #[error("{}: {source}", file.display())]
    Unusable {
        /// The owner file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Path of the file that names the owner of a log.
fn owner_file(data_dir: &Path, schema: &str) -> PathBuf {
    data_dir.join(schema).with_extension(OWNER_EXTENSION)
}

/// Name of the node that a log belongs to; `None` if there is no owner file.
pub fn read(data_dir: &Path, schema: &str) -> io::Result<Option<String>> {
    match fs::read_to_string(owner_file(data_dir, schema)) {
        Ok(text) => Ok(Some(text.trim_end().to_string())),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Checks that a log belongs to this node, and claims it for this node if it has no owner file. The data folder must exist.
///
/// # Errors
///
/// If the log belongs to another node, or its owner file can't be read or written.
pub fn claim(data_dir: &Path, schema: &str, node: &str) -> Result<(), OwnerError> {
    let file = owner_file(data_dir, schema);
    let unusable = |source| OwnerError::Unusable { file: file.clone(), source };
    match read(data_dir, schema).map_err(unusable)? {
        Some(owner) if owner == node => Ok(()),
        Some(owner) => Err(OwnerError::BelongsToOther { file, owner, node: node.to_string() }),
        None => write(data_dir, schema, node).map_err(unusable),
    }
}

fn write(data_dir: &Path, schema: &str, node: &str) -> io::Result<()> {
    let temporary_file = data_dir.join(schema).with_extension(TEMPORARY_EXTENSION);
    let mut file = File::create(&temporary_file)?;
    writeln!(file, "{node}")?;
    file.sync_all()?;
    fs::rename(&temporary_file, owner_file(data_dir, schema))?;
    File::open(data_dir)?.sync_all()
}

#[cfg(test)]
mod tests;
