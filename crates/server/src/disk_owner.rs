//! Whose disk a data folder is. Beside each log lies a file with the name of the node that it belongs to, so that folders that
//! were swapped between machines are noticed before anything in them is used: a control node would count the other's vote twice,
//! and a store would deliver what is not its own.
//!
//! The name is written once, before the log is created, by way of a synced temporary file: a file that is there is complete. A
//! folder from before this file existed, or one that lost it with the power, is claimed by the node that opens it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What follows the log's schema in the file's name.
const SUFFIX: &str = "owner";
/// What follows it while the file is being written.
const UNFINISHED_SUFFIX: &str = "owner.tmp";

/// Why a data folder can't be used by this node.
#[derive(Debug, thiserror::Error)]
pub enum OwnerError {
    /// Another node has written the folder.
    #[error(
        "{}: it belongs to {owner:?}, and this is {node:?}: give each machine its own folder back, or start with an empty one",
        file.display()
    )]
    BelongsToOther {
        /// The file that says so.
        file: PathBuf,
        /// The node that has written the folder.
        owner: String,
        /// This node.
        node: String,
    },
    /// The file can't be read or written.
    #[error("{}: {source}", file.display())]
    Unusable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
}

/// The file that names the owner of a log.
fn owner_file(data_dir: &Path, schema: &str) -> PathBuf {
    data_dir.join(schema).with_extension(SUFFIX)
}

/// The node that a log belongs to; `None` where no file names it.
pub fn read(data_dir: &Path, schema: &str) -> io::Result<Option<String>> {
    match fs::read_to_string(owner_file(data_dir, schema)) {
        Ok(text) => Ok(Some(text.trim_end().to_string())),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Makes sure that a log belongs to this node. The data folder has to exist.
///
/// # Errors
///
/// Where it belongs to another node, or the file that says so can't be read or written.
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
    let unfinished = data_dir.join(schema).with_extension(UNFINISHED_SUFFIX);
    let mut file = File::create(&unfinished)?;
    writeln!(file, "{node}")?;
    file.sync_all()?;
    fs::rename(&unfinished, owner_file(data_dir, schema))?;
    File::open(data_dir)?.sync_all()
}

#[cfg(test)]
mod tests;
